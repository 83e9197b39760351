//! A small fake of a backend server's side of the fencing interface.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use copperwell_keyspace::{Epoch, Incarnation, Sequence, ShardIndex, grant::Grant};
use copperwell_policy::group::message::{Answer, Failure, Order};

/// A time since the start of the run.
pub(crate) type Moment = Duration;

/// The time in which a server accepted a shard's requests.
#[derive(Debug, Clone)]
pub(crate) struct Span {
    pub(crate) shard: ShardIndex,
    pub(crate) from: Moment,
    pub(crate) until: Moment,
}

#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) incarnation: Incarnation,
    /// Whether it refuses what comes out of order.
    pub(crate) is_checked: bool,
    pub(crate) is_draining: bool,
    highest: Epoch,
    sequences: HashMap<Epoch, Sequence>,
    held: BTreeMap<ShardIndex, Held>,
    /// What its clock is ahead.
    ahead: Duration,
    spans: Vec<Span>,
}

#[derive(Debug, Clone)]
struct Held {
    epoch: Epoch,
    sequence: Sequence,
    since: Moment,
    until: Moment,
}

impl Server {
    pub(crate) fn new(ahead: Duration) -> Self {
        Self {
            incarnation: 1,
            is_checked: true,
            is_draining: false,
            highest: 0,
            sequences: HashMap::new(),
            held: BTreeMap::new(),
            ahead,
            spans: Vec::new(),
        }
    }

    /// Forgets everything, as a new run does.
    pub(crate) fn restart(&mut self, now: Moment) {
        for shard in self.held.keys().copied().collect::<Vec<_>>() {
            self.let_go(shard, now);
        }
        self.incarnation += 1;
        self.highest = 0;
        self.sequences.clear();
        self.ahead += Duration::from_secs(3);
    }

    /// All times in which it accepted shards, those that last included.
    pub(crate) fn record(&self) -> Vec<Span> {
        let live = self.held.iter().map(|(shard, held)| Span {
            shard: *shard,
            from: held.since,
            until: held.until,
        });
        self.spans.iter().cloned().chain(live).collect()
    }

    pub(crate) fn holds(&self, shard: ShardIndex, now: Moment) -> bool {
        self.held.get(&shard).is_some_and(|held| held.until > now)
    }

    pub(crate) fn take(
        &mut self,
        epoch: Epoch,
        order: &Order,
        digest: fn(ShardIndex) -> u64,
        now: Moment,
    ) -> Result<Answer, Failure> {
        let is_other_run = match order {
            Order::Give { incarnation, .. } | Order::Renew { incarnation, .. } => {
                *incarnation != self.incarnation
            }
            Order::Fence | Order::Release { .. } => false,
        };
        let is_late = epoch < self.highest || is_other_run || !self.is_next(epoch, order);
        if self.is_checked && is_late {
            return Err(Failure::Refused {
                incarnation: self.incarnation,
                epoch: self.highest,
            });
        }
        self.highest = self.highest.max(epoch);
        match order {
            Order::Fence => return Ok(self.report(now)),
            Order::Give {
                sequence,
                lease,
                until_ms,
                shards,
                ..
            } => {
                let until = self.end(*lease, *until_ms, now);
                for shard in shards.iter().filter(|_| until > now) {
                    self.grant(*shard, epoch, *sequence, until, now);
                }
            }
            Order::Renew {
                lease, until_ms, ..
            } => {
                let until = self.end(*lease, *until_ms, now);
                for held in self.held.values_mut().filter(|held| held.until > now) {
                    held.until = held.until.max(until);
                    held.epoch = epoch;
                }
            }
            Order::Release { shards, .. } => {
                for shard in shards {
                    self.let_go(*shard, now);
                }
            }
        }
        let live = self.held.iter().filter(|(_, held)| held.until > now);
        Ok(Answer::Held {
            incarnation: self.incarnation,
            shards: u32::try_from(live.clone().count()).unwrap(),
            digest: live.fold(0, |sum, (shard, _)| sum ^ digest(*shard)),
            draining: self.is_draining,
            clock_ms: self.clock_ms(now),
        })
    }

    fn is_next(&mut self, epoch: Epoch, order: &Order) -> bool {
        let (Order::Give { sequence, .. } | Order::Release { sequence, .. }) = order else {
            return true;
        };
        let last = self.sequences.entry(epoch).or_default();
        let is_next = sequence > last;
        *last = (*last).max(*sequence);
        is_next
    }

    fn report(&self, now: Moment) -> Answer {
        let grants = self.held.iter().map(|(shard, held)| Grant {
            service: "calendar".into(),
            shard: *shard,
            epoch: held.epoch,
            sequence: held.sequence,
            remaining: held.until.saturating_sub(now),
        });
        Answer::Fenced {
            incarnation: self.incarnation,
            grants: grants.collect(),
            draining: self.is_draining,
            clock_ms: self.clock_ms(now),
        }
    }

    fn grant(
        &mut self,
        shard: ShardIndex,
        epoch: Epoch,
        sequence: Sequence,
        until: Moment,
        now: Moment,
    ) {
        let live = self.held.get(&shard).filter(|held| held.until > now);
        let since = live.map_or(now, |held| held.since);
        let until = live.map_or(until, |held| held.until.max(until));
        if live.is_none() {
            self.let_go(shard, now);
        }
        let held = Held {
            epoch,
            sequence,
            since,
            until,
        };
        self.held.insert(shard, held);
    }

    pub(crate) fn let_go(&mut self, shard: ShardIndex, now: Moment) {
        if let Some(held) = self.held.remove(&shard) {
            self.spans.push(Span {
                shard,
                from: held.since,
                until: held.until.min(now),
            });
        }
    }

    fn end(&self, lease: Duration, until_ms: u64, now: Moment) -> Moment {
        let latest = Duration::from_millis(until_ms).saturating_sub(self.ahead);
        latest.min(now + lease)
    }

    fn clock_ms(&self, now: Moment) -> u64 {
        u64::try_from((now + self.ahead).as_millis()).unwrap()
    }
}
