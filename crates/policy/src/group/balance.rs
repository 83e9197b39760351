//! Load of shards, and moves that even it out.

use std::time::Duration;

use super::{
    Group,
    message::Load,
    place::{Goal, Place},
};
use crate::placement::{Bound, Holder, Item, rebalance};
use copperwell_keyspace::{ShardIndex, UpstreamName};
use tokio::time::Instant;

/// How often load is weighed.
pub(super) const PERIOD: Duration = Duration::from_secs(5);

/// After this time a request counts half.
const HALF_LIFE: Duration = Duration::from_secs(20);

/// What a shard without requests counts, in requests, so that idle shards are spread too.
const BASE: f64 = 1.0;

/// A shard that has moved stays for this time.
const REST: Duration = Duration::from_secs(60);

/// When shards move.
const BOUND: Bound = Bound {
    high: 1.15,
    enough: 1.05,
    low: 0.5,
    gain: 0.05,
    chance: 3.0,
    moves: 4,
};

/// The requests of a shard, the older ones counted less.
#[derive(Debug, Clone, Copy)]
pub(super) struct Decayed {
    requests: f64,
    at: Instant,
    moved: Option<Instant>,
}

impl Group {
    /// Notes requests.
    pub(super) fn on_load(&mut self, loads: &[Load], now: Instant) {
        for load in loads {
            if self.shards.contains_key(&load.shard) {
                let decayed = self.decayed(load.shard, now);
                decayed.requests += f64::from(load.requests);
            }
        }
    }

    /// The load of a shard.
    pub(super) fn load_of(&self, shard: ShardIndex, now: Instant) -> f64 {
        let decayed = self.loads.get(&shard);
        BASE + decayed.map_or(0.0, |decayed| decayed.requests_at(now))
    }

    /// Begins to move shards if an upstream has too much or too little.
    pub(super) fn balance(&mut self, now: Instant) {
        if now < self.balance_at {
            return;
        }
        self.balance_at = now + PERIOD;
        let is_busy = !self.free.is_empty() || !self.leaving.is_empty();
        let is_whole = self
            .servers
            .values()
            .all(|server| server.is_open() || !server.holds());
        if is_busy || !is_whole || self.is_isolated(now) {
            return;
        }
        let open = self.servers.iter().filter(|(_, server)| server.is_open());
        let names: Vec<UpstreamName> = open.map(|(name, _)| name.clone()).collect();
        let holders = names.iter().filter_map(|name| self.holder(name, now));
        for target in rebalance(holders.collect(), &BOUND) {
            self.decayed(target.shard, now).moved = Some(now);
            self.begin_move(target.shard, Goal::Upstream(target.upstream));
        }
    }

    fn holder(&self, name: &UpstreamName, now: Instant) -> Option<Holder> {
        let server = self.servers.get(name)?;
        let (resting, ready): (Vec<ShardIndex>, Vec<ShardIndex>) = server
            .owned
            .iter()
            .partition(|shard| !self.may_move(**shard, now));
        let items = ready.iter().map(|shard| Item {
            shard: *shard,
            load: self.load_of(*shard, now),
            next: None,
        });
        Some(Holder {
            upstream: name.clone(),
            slots: server.upstream.slots,
            fixed: resting.iter().map(|shard| self.load_of(*shard, now)).sum(),
            shards: items.collect(),
        })
    }

    fn may_move(&self, shard: ShardIndex, now: Instant) -> bool {
        let moved = self.loads.get(&shard).and_then(|decayed| decayed.moved);
        let rested = moved.is_none_or(|moved| moved + REST <= now);
        rested && matches!(self.shards.get(&shard), Some(Place::Owned { .. }))
    }

    fn decayed(&mut self, shard: ShardIndex, now: Instant) -> &mut Decayed {
        let decayed = self.loads.entry(shard).or_insert(Decayed {
            requests: 0.0,
            at: now,
            moved: None,
        });
        decayed.requests = decayed.requests_at(now);
        decayed.at = now;
        decayed
    }
}

impl Decayed {
    fn requests_at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.requests * (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }
}
