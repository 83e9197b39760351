//! The grants that a server holds, as a state machine over control orders and explicit timestamps.

use std::time::Duration;

use copperwell_backend::order::{Fence, Fenced, Give, Held, Refusal, Release, Renew, digest_of};
use copperwell_keyspace::{
    Epoch, GroupId, HashMap, Incarnation, Sequence, ServiceName, ShardIndex, grant::Grant,
    manifest::Fencing,
};
use tokio::time::Instant;

/// The grants of one run of a server, by group.
#[derive(Debug)]
pub struct Grants {
    incarnation: Incarnation,
    fencing: Fencing,
    groups: HashMap<GroupId, GroupGrants>,
}

/// The epoch and the grants of one group.
#[derive(Debug, Default)]
struct GroupGrants {
    highest_epoch: Epoch,
    /// The highest sequence number seen in that epoch.
    highest_sequence: Sequence,
    shards: HashMap<ShardIndex, Lease>,
}

/// The lease of a shard, also after it has expired or was released.
#[derive(Debug, Clone, Copy)]
struct Lease {
    /// The version of the last order for this shard; older orders don't override it.
    last_order: Version,
    /// The epoch of the leader that granted or last renewed it.
    epoch: Epoch,
    expires_at: Option<Instant>,
    /// False from a release on, while requests for the shard are still running.
    accepting: bool,
}

/// The position of an order among all orders of its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Version {
    epoch: Epoch,
    sequence: Sequence,
}

/// A change of the shards that the server holds, for the record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The server holds the shard until this instant, unless the lease is renewed.
    HeldUntil(ServiceName, ShardIndex, Instant),
    /// The server has released the shard.
    Released(ServiceName, ShardIndex),
}

/// The reason why a request is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// The request's epoch is below the highest that the server has seen.
    StaleEpoch,
    /// The server holds no grant of the request's shard.
    Unowned,
}

impl Grants {
    /// Creates the state of a new run of a server, without grants.
    #[must_use]
    pub fn new(incarnation: Incarnation, fencing: Fencing) -> Self {
        Self {
            incarnation,
            fencing,
            groups: HashMap::default(),
        }
    }

    /// Applies a fence and returns the grants of its group.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if a higher epoch was seen.
    pub fn fence(&mut self, order: &Fence, now: Instant) -> Result<Fenced, Refusal> {
        let grants_of_group = self.admit(&order.group, order.epoch)?;
        // Expired grants are included, so that a new leader can grant the shard to the same server.
        let remembered = grants_of_group
            .shards
            .iter()
            .filter(|(_, lease)| lease.expires_at.is_some());
        let grants = remembered.map(|(&shard, lease)| Grant {
            service: order.group.service.clone(),
            shard,
            epoch: lease.epoch,
            sequence: lease.last_order.sequence,
            remaining: lease.remaining(now),
        });
        let grants = grants.collect();
        Ok(Fenced {
            incarnation: self.incarnation,
            grants,
            draining: false,
            clock_ms: 0,
        })
    }

    /// Applies a grant that expires at `expires_at`; applying it again has no effect.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if a higher epoch or a later sequence number was seen, or if the order
    /// is for another run.
    pub fn grant(
        &mut self,
        order: &Give,
        now: Instant,
        expires_at: Instant,
    ) -> Result<Vec<Change>, Refusal> {
        let checked = self.fencing == Fencing::Checked;
        self.check_incarnation(&order.group, order.incarnation)?;
        let grants_of_group = self.admit_in_sequence(&order.group, order.epoch, order.sequence)?;
        let version = Version {
            epoch: order.epoch,
            sequence: order.sequence,
        };
        let mut changes = Vec::new();
        for shard in &order.shards {
            // A duplicate of an order must not extend the lease.
            let previous = grants_of_group.shards.get(shard);
            let last_order_seen = previous.map(|lease| lease.last_order);
            if checked && (last_order_seen >= Some(version) || expires_at <= now) {
                continue;
            }
            let expires_at = previous
                .and_then(|lease| lease.expires_at)
                .max(Some(expires_at));
            let lease = Lease {
                last_order: version,
                epoch: order.epoch,
                expires_at,
                accepting: true,
            };
            grants_of_group.shards.insert(*shard, lease);
            let expires_at = expires_at.unwrap_or(now);
            changes.push(Change::HeldUntil(
                order.group.service.clone(),
                *shard,
                expires_at,
            ));
        }
        Ok(changes)
    }

    /// Renews all leases of the group that have not expired, until `expires_at`.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if a higher epoch was seen, or if the order is for another run.
    pub fn renew(
        &mut self,
        order: &Renew,
        now: Instant,
        expires_at: Instant,
    ) -> Result<Vec<Change>, Refusal> {
        self.check_incarnation(&order.group, order.incarnation)?;
        let grants_of_group = self.admit(&order.group, order.epoch)?;
        let mut changes = Vec::new();
        for (shard, lease) in &mut grants_of_group.shards {
            if !lease.is_held(now) {
                continue;
            }
            lease.epoch = order.epoch;
            if lease.expires_at < Some(expires_at) {
                lease.expires_at = Some(expires_at);
                changes.push(Change::HeldUntil(
                    order.group.service.clone(),
                    *shard,
                    expires_at,
                ));
            }
        }
        Ok(changes)
    }

    /// Begins a release: from here on, new requests for the shards are rejected.
    ///
    /// [`Grants::complete_release`] ends the leases.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if a higher epoch or a later sequence number was seen.
    pub fn release(&mut self, order: &Release) -> Result<(), Refusal> {
        let checked = self.fencing == Fencing::Checked;
        let grants_of_group = self.admit_in_sequence(&order.group, order.epoch, order.sequence)?;
        let version = Version {
            epoch: order.epoch,
            sequence: order.sequence,
        };
        for shard in &order.shards {
            let previous = grants_of_group.shards.get(shard).copied();
            if checked && previous.is_some_and(|lease| lease.last_order > version) {
                continue;
            }
            let lease = Lease {
                last_order: version,
                epoch: order.epoch,
                expires_at: previous.and_then(|lease| lease.expires_at),
                accepting: false,
            };
            grants_of_group.shards.insert(*shard, lease);
        }
        Ok(())
    }

    /// Ends the leases of the released shards; called when no request for them is running any more.
    pub fn complete_release(&mut self, order: &Release, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        let Some(grants_of_group) = self.groups.get_mut(&order.group) else {
            return changes;
        };
        for shard in &order.shards {
            if let Some(lease) = grants_of_group.shards.get_mut(shard)
                && !lease.accepting
                && lease.is_held(now)
            {
                lease.expires_at = None;
                changes.push(Change::Released(order.group.service.clone(), *shard));
            }
        }
        changes
    }

    /// Checks whether the server accepts a request for a shard, sent under `epoch`.
    ///
    /// # Errors
    ///
    /// Returns a [`Rejection`] if the server checks fencing, and the epoch is stale or the shard is
    /// not held.
    pub fn check(
        &self,
        service: &str,
        shard: ShardIndex,
        epoch: Epoch,
        now: Instant,
    ) -> Result<(), Rejection> {
        if self.fencing == Fencing::Unchecked {
            return Ok(());
        }
        let groups = self
            .groups
            .iter()
            .filter(|(group, _)| &*group.service == service);
        let mut is_stale = false;
        for (_, grants_of_group) in groups {
            is_stale |= epoch < grants_of_group.highest_epoch;
            let lease = grants_of_group.shards.get(&shard);
            let accepts = lease.is_some_and(|lease| lease.accepting && lease.is_held(now));
            if accepts && epoch >= grants_of_group.highest_epoch {
                return Ok(());
            }
        }
        Err(if is_stale {
            Rejection::StaleEpoch
        } else {
            Rejection::Unowned
        })
    }

    /// Returns whether a running request may take effect: the lease of its shard has not ended.
    #[must_use]
    pub fn may_finish(&self, service: &str, shard: ShardIndex, now: Instant) -> bool {
        let mut groups = self
            .groups
            .iter()
            .filter(|(group, _)| &*group.service == service);
        self.fencing == Fencing::Unchecked
            || groups.any(|(_, grants_of_group)| {
                let lease = grants_of_group.shards.get(&shard);
                lease.is_some_and(|lease| lease.is_held(now))
            })
    }

    /// Returns a summary of the shards of a group that the server holds.
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
        if let Some(grants_of_group) = self.groups.get(group) {
            for (shard, _) in grants_of_group.held(now) {
                held.shards += 1;
                held.digest ^= digest_of(shard);
            }
        }
        held
    }

    /// Refuses an order for another run of the server.
    fn check_incarnation(&self, group: &GroupId, incarnation: Incarnation) -> Result<(), Refusal> {
        if incarnation == self.incarnation || self.fencing == Fencing::Unchecked {
            return Ok(());
        }
        let highest = self
            .groups
            .get(group)
            .map_or(0, |grants_of_group| grants_of_group.highest_epoch);
        Err(Refusal {
            incarnation: self.incarnation,
            epoch: highest,
        })
    }

    /// Raises the highest epoch of a group, or refuses a lower one.
    fn admit(&mut self, group: &GroupId, epoch: Epoch) -> Result<&mut GroupGrants, Refusal> {
        let grants_of_group = self.groups.entry(group.clone()).or_default();
        if epoch < grants_of_group.highest_epoch && self.fencing == Fencing::Checked {
            return Err(Refusal {
                incarnation: self.incarnation,
                epoch: grants_of_group.highest_epoch,
            });
        }
        if epoch > grants_of_group.highest_epoch {
            grants_of_group.highest_epoch = epoch;
            grants_of_group.highest_sequence = 0;
        }
        Ok(grants_of_group)
    }

    /// Like [`Grants::admit`], but also refuses an order that is older than the last one of its
    /// epoch.
    fn admit_in_sequence(
        &mut self,
        group: &GroupId,
        epoch: Epoch,
        sequence: Sequence,
    ) -> Result<&mut GroupGrants, Refusal> {
        let (incarnation, fencing) = (self.incarnation, self.fencing);
        let grants_of_group = self.admit(group, epoch)?;
        if sequence < grants_of_group.highest_sequence && fencing == Fencing::Checked {
            return Err(Refusal {
                incarnation,
                epoch: grants_of_group.highest_epoch,
            });
        }
        grants_of_group.highest_sequence = grants_of_group.highest_sequence.max(sequence);
        Ok(grants_of_group)
    }
}

impl GroupGrants {
    fn held(&self, now: Instant) -> impl Iterator<Item = (ShardIndex, Lease)> {
        let shards = self.shards.iter().map(|(shard, lease)| (*shard, *lease));
        shards.filter(move |(_, lease)| lease.is_held(now))
    }
}

impl Lease {
    fn is_held(&self, now: Instant) -> bool {
        self.expires_at.is_some_and(|expires_at| now < expires_at)
    }

    fn remaining(&self, now: Instant) -> Duration {
        self.expires_at.map_or(Duration::ZERO, |expires_at| {
            expires_at.saturating_duration_since(now)
        })
    }
}
