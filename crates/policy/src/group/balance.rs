//! Tracks the load of each shard and moves shards to balance it.

use std::time::Duration;

use super::{
    Group,
    message::Load,
    ownership::{Destination, Ownership},
};
use crate::placement::{Bound, Holder, Item, rebalance};
use copperwell_keyspace::{ShardIndex, UpstreamName};
use tokio::time::Instant;

/// Time between two checks of the load balance.
pub(super) const REBALANCE_INTERVAL: Duration = Duration::from_secs(5);

/// Half-life of the exponential decay of request counts.
const HALF_LIFE: Duration = Duration::from_secs(20);

/// Load of a shard without requests, in requests, so that idle shards are spread too.
const BASE_LOAD: f64 = 1.0;

/// Time after a move during which balancing does not move the shard again.
const MOVE_COOLDOWN: Duration = Duration::from_secs(60);

const BOUND: Bound = Bound {
    high: 1.15,
    target: 1.05,
    low: 0.5,
    min_gain: 0.05,
    noise: 3.0,
    max_moves: 4,
};

/// The exponentially decayed request count of a shard.
#[derive(Debug, Clone, Copy)]
pub(super) struct ShardLoad {
    requests: f64,
    updated_at: Instant,
    moved_at: Option<Instant>,
}

impl Group {
    /// Adds reported request counts to the shards' loads.
    pub(super) fn on_load(&mut self, loads: &[Load], now: Instant) {
        for load in loads {
            if self.shards.contains_key(&load.shard) {
                let shard_load = self.shard_load_mut(load.shard, now);
                shard_load.requests += f64::from(load.requests);
            }
        }
    }

    /// Returns the load of a shard, in decayed requests plus [`BASE_LOAD`].
    pub(super) fn load_of(&self, shard: ShardIndex, now: Instant) -> f64 {
        let load = self.loads.get(&shard);
        BASE_LOAD + load.map_or(0.0, |load| load.requests_at(now))
    }

    /// Starts moving shards if the load of an upstream is outside of [`BOUND`].
    ///
    /// Waits while shards are free or draining, or while a server that may hold shards accepts no
    /// grants.
    pub(super) fn rebalance(&mut self, now: Instant) {
        if now < self.rebalance_at {
            return;
        }
        self.rebalance_at = now + REBALANCE_INTERVAL;
        let is_busy = !self.free.is_empty() || !self.draining.is_empty();
        let is_stable = self
            .servers
            .values()
            .all(|server| server.accepts_grants() || !server.may_hold_shards());
        if is_busy || !is_stable || self.is_isolated(now) {
            return;
        }
        let accepting = self
            .servers
            .iter()
            .filter(|(_, server)| server.accepts_grants());
        let names: Vec<UpstreamName> = accepting.map(|(name, _)| name.clone()).collect();
        let holders = names.iter().filter_map(|name| self.holder(name, now));
        for assignment in rebalance(holders.collect(), &BOUND) {
            self.shard_load_mut(assignment.shard, now).moved_at = Some(now);
            self.drain_shard(assignment.shard, Destination::Upstream(assignment.upstream));
        }
    }

    fn holder(&self, name: &UpstreamName, now: Instant) -> Option<Holder> {
        let server = self.servers.get(name)?;
        let (fixed, movable): (Vec<ShardIndex>, Vec<ShardIndex>) = server
            .owned
            .iter()
            .partition(|shard| !self.is_movable(**shard, now));
        let items = movable.iter().map(|shard| Item {
            shard: *shard,
            load: self.load_of(*shard, now),
            preferred: None,
        });
        Some(Holder {
            upstream: name.clone(),
            slots: server.upstream.slots,
            fixed: fixed.iter().map(|shard| self.load_of(*shard, now)).sum(),
            shards: items.collect(),
        })
    }

    /// Returns whether balancing may move a shard now.
    fn is_movable(&self, shard: ShardIndex, now: Instant) -> bool {
        let moved_at = self.loads.get(&shard).and_then(|load| load.moved_at);
        let has_cooled_down = moved_at.is_none_or(|moved_at| moved_at + MOVE_COOLDOWN <= now);
        has_cooled_down && matches!(self.shards.get(&shard), Some(Ownership::Owned { .. }))
    }

    /// Returns a shard's load, decayed to `now`.
    fn shard_load_mut(&mut self, shard: ShardIndex, now: Instant) -> &mut ShardLoad {
        let load = self.loads.entry(shard).or_insert(ShardLoad {
            requests: 0.0,
            updated_at: now,
            moved_at: None,
        });
        load.requests = load.requests_at(now);
        load.updated_at = now;
        load
    }
}

impl ShardLoad {
    /// Returns the request count decayed to `now`.
    fn requests_at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        self.requests * (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }
}
