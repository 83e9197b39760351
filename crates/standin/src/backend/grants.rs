//! The grants that a server holds, as a state machine over orders and a given time.

use std::time::Duration;

use copperwell_backend::order::{Fence, Fenced, Give, Held, Refusal, Release, Renew, digest_of};
use copperwell_keyspace::{
    Epoch, GroupId, HashMap, Incarnation, Sequence, ServiceName, ShardIndex, grant::Grant,
    manifest::Fencing,
};
use tokio::time::Instant;

/// What a server knows of its rights.
#[derive(Debug)]
pub struct Grants {
    incarnation: Incarnation,
    fencing: Fencing,
    groups: HashMap<GroupId, Rights>,
}

/// What a server knows of its rights in one group.
#[derive(Debug, Default)]
struct Rights {
    highest: Epoch,
    /// The highest sequence seen of that epoch.
    sequence: Sequence,
    shards: HashMap<ShardIndex, Right>,
}

/// A right to a shard, or the memory of one.
#[derive(Debug, Clone, Copy)]
struct Right {
    /// Epoch and sequence of the last order about this shard, which an older one cannot undo.
    order: Place,
    /// The epoch of the leader that granted or last kept it.
    epoch: Epoch,
    until: Option<Instant>,
    /// False from a release on, while requests of the shard still run.
    accepting: bool,
}

/// The place of an order among all orders of its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    epoch: Epoch,
    sequence: Sequence,
}

/// A change of what the server would accept, for the record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// It holds the shard until then, unless that is prolonged.
    Until(ServiceName, ShardIndex, Instant),
    /// It let go.
    Released(ServiceName, ShardIndex),
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// Its epoch is below the highest that the server has seen.
    Epoch,
    /// The server holds no grant of its shard.
    Unowned,
}

impl Grants {
    /// No grants, for a new run of a server.
    #[must_use]
    pub fn new(incarnation: Incarnation, fencing: Fencing) -> Self {
        Self {
            incarnation,
            fencing,
            groups: HashMap::default(),
        }
    }

    /// Takes a fence.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if a higher epoch was seen.
    pub fn fence(&mut self, order: &Fence, now: Instant) -> Result<Fenced, Refusal> {
        let rights = self.admit(&order.group, order.epoch)?;
        // A lapsed grant is told too, so that a new leader may give the shard to the same server.
        let told = rights
            .shards
            .iter()
            .filter(|(_, right)| right.until.is_some());
        let grants = told.map(|(&shard, right)| Grant {
            service: order.group.service.clone(),
            shard,
            epoch: right.epoch,
            sequence: right.order.sequence,
            remaining: right.remaining(now),
        });
        let grants = grants.collect();
        Ok(Fenced {
            incarnation: self.incarnation,
            grants,
            draining: false,
            clock_ms: 0,
        })
    }

    /// Takes a grant that lasts until `until`; the same one again has no further effect.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if a higher epoch or a later sequence was seen, or it is for another run.
    pub fn give(
        &mut self,
        order: &Give,
        now: Instant,
        until: Instant,
    ) -> Result<Vec<Change>, Refusal> {
        let checked = self.fencing == Fencing::Checked;
        self.check_run(&order.group, order.incarnation)?;
        let rights = self.admit_in_turn(&order.group, order.epoch, order.sequence)?;
        let place = Place {
            epoch: order.epoch,
            sequence: order.sequence,
        };
        let mut changes = Vec::new();
        for shard in &order.shards {
            // An order that comes twice must not prolong what it gave.
            let before = rights.shards.get(shard);
            let seen = before.map(|right| right.order);
            if checked && (seen >= Some(place) || until <= now) {
                continue;
            }
            let until = before.and_then(|right| right.until).max(Some(until));
            let right = Right {
                order: place,
                epoch: order.epoch,
                until,
                accepting: true,
            };
            rights.shards.insert(*shard, right);
            let until = until.unwrap_or(now);
            changes.push(Change::Until(order.group.service.clone(), *shard, until));
        }
        Ok(changes)
    }

    /// Takes a renewal until `until` of all that is held.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if a higher epoch was seen.
    pub fn renew(
        &mut self,
        order: &Renew,
        now: Instant,
        until: Instant,
    ) -> Result<Vec<Change>, Refusal> {
        self.check_run(&order.group, order.incarnation)?;
        let rights = self.admit(&order.group, order.epoch)?;
        let mut changes = Vec::new();
        for (shard, right) in &mut rights.shards {
            if !right.is_held(now) {
                continue;
            }
            right.epoch = order.epoch;
            if right.until < Some(until) {
                right.until = Some(until);
                changes.push(Change::Until(order.group.service.clone(), *shard, until));
            }
        }
        Ok(changes)
    }

    /// Takes a release: from here on the shards get no new requests; see [`Grants::let_go`].
    ///
    /// # Errors
    ///
    /// [`Refusal`] if a higher epoch or a later sequence was seen.
    pub fn release(&mut self, order: &Release) -> Result<(), Refusal> {
        let checked = self.fencing == Fencing::Checked;
        let rights = self.admit_in_turn(&order.group, order.epoch, order.sequence)?;
        let place = Place {
            epoch: order.epoch,
            sequence: order.sequence,
        };
        for shard in &order.shards {
            let before = rights.shards.get(shard).copied();
            if checked && before.is_some_and(|right| right.order > place) {
                continue;
            }
            let right = Right {
                order: place,
                epoch: order.epoch,
                until: before.and_then(|right| right.until),
                accepting: false,
            };
            rights.shards.insert(*shard, right);
        }
        Ok(())
    }

    /// Ends the rights to shards of a release when no request of theirs runs any more.
    pub fn let_go(&mut self, order: &Release, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        let Some(rights) = self.groups.get_mut(&order.group) else {
            return changes;
        };
        for shard in &order.shards {
            if let Some(right) = rights.shards.get_mut(shard)
                && !right.accepting
                && right.is_held(now)
            {
                right.until = None;
                changes.push(Change::Released(order.group.service.clone(), *shard));
            }
        }
        changes
    }

    /// Judges a request.
    ///
    /// # Errors
    ///
    /// [`Refused`] if the server checks fencing and the sender has no right.
    pub fn check(
        &self,
        service: &str,
        shard: ShardIndex,
        epoch: Epoch,
        now: Instant,
    ) -> Result<(), Refused> {
        if self.fencing == Fencing::Unchecked {
            return Ok(());
        }
        let groups = self
            .groups
            .iter()
            .filter(|(group, _)| &*group.service == service);
        let mut fenced = false;
        for (_, rights) in groups {
            fenced |= epoch < rights.highest;
            let right = rights.shards.get(&shard);
            let accepts = right.is_some_and(|right| right.accepting && right.is_held(now));
            if accepts && epoch >= rights.highest {
                return Ok(());
            }
        }
        Err(if fenced {
            Refused::Epoch
        } else {
            Refused::Unowned
        })
    }

    /// Whether a request that runs may take effect: the right to its shard has not ended.
    #[must_use]
    pub fn may_finish(&self, service: &str, shard: ShardIndex, now: Instant) -> bool {
        let mut groups = self
            .groups
            .iter()
            .filter(|(group, _)| &*group.service == service);
        self.fencing == Fencing::Unchecked
            || groups.any(|(_, rights)| {
                let right = rights.shards.get(&shard);
                right.is_some_and(|right| right.is_held(now))
            })
    }

    /// What the server holds of a group.
    #[must_use]
    pub fn held(&self, group: &GroupId, now: Instant) -> Held {
        let mut held = Held {
            incarnation: self.incarnation,
            shards: 0,
            digest: 0,
            draining: false,
            in_flight: 0,
            clock_ms: 0,
        };
        if let Some(rights) = self.groups.get(group) {
            for (shard, _) in rights.held(now) {
                held.shards += 1;
                held.digest ^= digest_of(shard);
            }
        }
        held
    }

    /// Refuses an order that was made for another run of the server.
    fn check_run(&self, group: &GroupId, incarnation: Incarnation) -> Result<(), Refusal> {
        if incarnation == self.incarnation || self.fencing == Fencing::Unchecked {
            return Ok(());
        }
        let highest = self.groups.get(group).map_or(0, |rights| rights.highest);
        Err(Refusal {
            incarnation: self.incarnation,
            epoch: highest,
        })
    }

    /// Raises the highest epoch of a group, or refuses one that is lower.
    fn admit(&mut self, group: &GroupId, epoch: Epoch) -> Result<&mut Rights, Refusal> {
        let rights = self.groups.entry(group.clone()).or_default();
        if epoch < rights.highest && self.fencing == Fencing::Checked {
            return Err(Refusal {
                incarnation: self.incarnation,
                epoch: rights.highest,
            });
        }
        if epoch > rights.highest {
            rights.highest = epoch;
            rights.sequence = 0;
        }
        Ok(rights)
    }

    /// As [`Grants::admit`], and refuses an order that comes after a later one of its epoch.
    fn admit_in_turn(
        &mut self,
        group: &GroupId,
        epoch: Epoch,
        sequence: Sequence,
    ) -> Result<&mut Rights, Refusal> {
        let (incarnation, fencing) = (self.incarnation, self.fencing);
        let rights = self.admit(group, epoch)?;
        if sequence < rights.sequence && fencing == Fencing::Checked {
            return Err(Refusal {
                incarnation,
                epoch: rights.highest,
            });
        }
        rights.sequence = rights.sequence.max(sequence);
        Ok(rights)
    }
}

impl Rights {
    fn held(&self, now: Instant) -> impl Iterator<Item = (ShardIndex, Right)> {
        let shards = self.shards.iter().map(|(shard, right)| (*shard, *right));
        shards.filter(move |(_, right)| right.is_held(now))
    }
}

impl Right {
    fn is_held(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    fn remaining(&self, now: Instant) -> Duration {
        self.until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }
}
