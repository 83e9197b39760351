//! Migration of shards to another upstream, another group or another leader.

use std::{collections::BTreeMap, time::Duration};

use super::{
    Group, Phase, REPEAT_INTERVAL,
    message::{Action, Route, Ticket},
    ownership::{Destination, Draining, Ownership},
};
use copperwell_keyspace::{GroupId, ShardIndex};
use tokio::time::Instant;

/// The most shards that drain at a time.
const CONCURRENT_MOVES_MAX: usize = 8;

/// The most shards that wait for the log to assign them to another group.
const DETACHED_MAX: usize = 64;

/// Time for which a detached shard waits for others, so that one report names them all.
const DETACHED_BATCH_DELAY: Duration = Duration::from_millis(100);

/// After this time a draining upstream's remaining shards are all moved at once.
pub(super) const GRADUAL_DRAIN_MAX: Duration = Duration::from_secs(1);

impl Group {
    /// Marks a draining shard as idle; the ticket of an earlier wait is ignored.
    pub(super) fn on_idle(&mut self, shard: ShardIndex, ticket: Ticket) {
        if let Some(Ownership::Draining(draining)) = self.shards.get_mut(&shard)
            && draining.ticket == ticket
        {
            draining.is_idle = true;
        }
    }

    /// Starts to hand the leadership over to another daemon.
    pub(super) fn on_hand_over(&mut self) {
        self.phase = Phase::HandingOver;
        let shards: Vec<ShardIndex> = self.shards.keys().copied().collect();
        for shard in shards {
            self.drain_shard(shard, Destination::Keep);
        }
        self.changed.extend(self.shards.keys());
    }

    /// Records which shards another group is to own.
    pub(super) fn on_migrate(&mut self, shards: &[ShardIndex], to: &GroupId) {
        for shard in shards
            .iter()
            .filter(|shard| self.shards.contains_key(shard))
        {
            self.migrating.insert(*shard, to.clone());
        }
    }

    /// Starts moving the shards of draining upstreams.
    pub(super) fn drain_servers(&mut self, now: Instant) {
        let mut candidates = Vec::new();
        for server in self.servers.values_mut() {
            if !server.is_draining() {
                server.draining_since = None;
                continue;
            }
            let since = *server.draining_since.get_or_insert(now);
            let all = now >= since + GRADUAL_DRAIN_MAX;
            let limit = if all {
                usize::MAX
            } else {
                CONCURRENT_MOVES_MAX
            };
            let held = server.owned.iter().copied();
            candidates.extend(held.take(limit).map(|shard| (shard, all)));
        }
        for (shard, all) in candidates {
            let is_owned = matches!(self.shards.get(&shard), Some(Ownership::Owned { .. }));
            if is_owned && (all || self.draining.len() < CONCURRENT_MOVES_MAX) {
                self.drain_shard(shard, Destination::Any);
            }
        }
    }

    /// Drains the shards that another group is to own, and detaches those that are free.
    pub(super) fn detach_migrating(&mut self, now: Instant) {
        for (shard, to) in self.migrating.clone() {
            let has_capacity =
                self.draining.len() < CONCURRENT_MOVES_MAX && self.detached.len() < DETACHED_MAX;
            match self.shards.get(&shard) {
                Some(Ownership::Owned { .. }) if has_capacity => {
                    self.drain_shard(shard, Destination::Any);
                }
                Some(Ownership::Free(free)) if self.is_grantable(free, now) => {
                    let batch_end = now + DETACHED_BATCH_DELAY;
                    let is_first = self.detached.is_empty();
                    self.announce_detached_at = if is_first {
                        batch_end
                    } else {
                        batch_end.min(self.announce_detached_at)
                    };
                    self.set_ownership(shard, Ownership::Detached { to });
                }
                _ => {}
            }
        }
    }

    /// Holds a shard's new requests and waits until those in flight have ended.
    pub(super) fn drain_shard(&mut self, shard: ShardIndex, destination: Destination) {
        let Some(
            Ownership::Owned { holder, token }
            | Ownership::Draining(Draining { holder, token, .. }),
        ) = self.shards.get(&shard)
        else {
            return;
        };
        let (holder, token) = (holder.clone(), *token);
        self.ticket += 1;
        let ticket = self.ticket;
        let draining = Draining {
            holder,
            token,
            ticket,
            is_idle: false,
            destination,
        };
        self.set_ownership(shard, Ownership::Draining(draining));
        // Hold the route before waiting, so that no request is missed.
        self.set_route(shard, Route::Held);
        self.actions.push(Action::AwaitIdle { shard, ticket });
    }

    /// Reports the detached shards, again and again until the log assigns them.
    pub(super) fn announce_detached(&mut self, now: Instant) {
        if self.detached.is_empty() || now < self.announce_detached_at {
            return;
        }
        self.announce_detached_at = now + REPEAT_INTERVAL;
        let mut detached: BTreeMap<GroupId, Vec<ShardIndex>> = BTreeMap::new();
        for shard in &self.detached {
            if let Some(Ownership::Detached { to }) = self.shards.get(shard) {
                detached.entry(to.clone()).or_default().push(*shard);
            }
        }
        for (to, shards) in detached {
            self.actions.push(Action::Detached { shards, to });
        }
    }

    /// Completes a handover once no request is in flight.
    pub(super) fn finish_handover(&mut self) {
        if self.phase != Phase::HandingOver {
            return;
        }
        let is_busy = |shard: &ShardIndex| {
            let ownership = self.shards.get(shard);
            matches!(ownership, Some(Ownership::Draining(draining)) if !draining.is_idle)
        };
        if !self.draining.iter().any(is_busy) {
            self.stop();
            self.actions.push(Action::HandedOver);
        }
    }
}
