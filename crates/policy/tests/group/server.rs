//! A fake of a backend server's side of the fencing interface.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use copperwell_keyspace::{Epoch, Incarnation, Sequence, ShardIndex, grant::Grant};
use copperwell_policy::group::message::{Answer, Failure, Order};

/// A time since the start of the test.
pub(crate) type Moment = Duration;

/// A period in which a server accepted a shard's requests.
#[derive(Debug, Clone)]
pub(crate) struct Span {
    pub(crate) shard: ShardIndex,
    pub(crate) from: Moment,
    pub(crate) until: Moment,
}

#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) incarnation: Incarnation,
    /// Whether the server refuses orders that arrive out of order.
    pub(crate) is_checked: bool,
    pub(crate) is_draining: bool,
    highest_epoch: Epoch,
    last_sequences: HashMap<Epoch, Sequence>,
    held: BTreeMap<ShardIndex, Held>,
    /// How far the server's clock is ahead.
    clock_offset: Duration,
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
    pub(crate) fn new(clock_offset: Duration) -> Self {
        Self {
            incarnation: 1,
            is_checked: true,
            is_draining: false,
            highest_epoch: 0,
            last_sequences: HashMap::new(),
            held: BTreeMap::new(),
            clock_offset,
            spans: Vec::new(),
        }
    }

    /// Starts a new run, which holds nothing.
    pub(crate) fn restart(&mut self, now: Moment) {
        for shard in self.held.keys().copied().collect::<Vec<_>>() {
            self.release(shard, now);
        }
        self.incarnation += 1;
        self.highest_epoch = 0;
        self.last_sequences.clear();
        self.clock_offset += Duration::from_secs(3);
    }

    /// Returns all periods in which the server accepted shards, including unfinished ones.
    pub(crate) fn spans(&self) -> Vec<Span> {
        let valid = self.held.iter().map(|(shard, held)| Span {
            shard: *shard,
            from: held.since,
            until: held.until,
        });
        self.spans.iter().cloned().chain(valid).collect()
    }

    pub(crate) fn holds(&self, shard: ShardIndex, now: Moment) -> bool {
        self.held.get(&shard).is_some_and(|held| held.until > now)
    }

    /// Handles an order of a leader with this epoch.
    pub(crate) fn handle(
        &mut self,
        epoch: Epoch,
        order: &Order,
        shard_digest: fn(ShardIndex) -> u64,
        now: Moment,
    ) -> Result<Answer, Failure> {
        let is_for_other_run = match order {
            Order::Grant { incarnation, .. } | Order::Renew { incarnation, .. } => {
                *incarnation != self.incarnation
            }
            Order::Fence | Order::Release { .. } => false,
        };
        let is_out_of_order =
            epoch < self.highest_epoch || is_for_other_run || !self.is_next(epoch, order);
        if self.is_checked && is_out_of_order {
            return Err(Failure::Refused {
                incarnation: self.incarnation,
                epoch: self.highest_epoch,
            });
        }
        self.highest_epoch = self.highest_epoch.max(epoch);
        match order {
            Order::Fence => return Ok(self.report(now)),
            Order::Grant {
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
                    self.release(*shard, now);
                }
            }
        }
        let valid = self.held.iter().filter(|(_, held)| held.until > now);
        Ok(Answer::Accepted {
            incarnation: self.incarnation,
            shards: u32::try_from(valid.clone().count()).unwrap(),
            digest: valid.fold(0, |sum, (shard, _)| sum ^ shard_digest(*shard)),
            draining: self.is_draining,
            clock_ms: self.clock_ms(now),
        })
    }

    fn is_next(&mut self, epoch: Epoch, order: &Order) -> bool {
        let (Order::Grant { sequence, .. } | Order::Release { sequence, .. }) = order else {
            return true;
        };
        let last = self.last_sequences.entry(epoch).or_default();
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
        let valid = self.held.get(&shard).filter(|held| held.until > now);
        let since = valid.map_or(now, |held| held.since);
        let until = valid.map_or(until, |held| held.until.max(until));
        if valid.is_none() {
            self.release(shard, now);
        }
        let held = Held {
            epoch,
            sequence,
            since,
            until,
        };
        self.held.insert(shard, held);
    }

    pub(crate) fn release(&mut self, shard: ShardIndex, now: Moment) {
        if let Some(held) = self.held.remove(&shard) {
            self.spans.push(Span {
                shard,
                from: held.since,
                until: held.until.min(now),
            });
        }
    }

    /// Returns the end of a lease: the sooner of `lease` from now and `until_ms` by its own clock.
    fn end(&self, lease: Duration, until_ms: u64, now: Moment) -> Moment {
        let latest = Duration::from_millis(until_ms).saturating_sub(self.clock_offset);
        latest.min(now + lease)
    }

    fn clock_ms(&self, now: Moment) -> u64 {
        u64::try_from((now + self.clock_offset).as_millis()).unwrap()
    }
}
