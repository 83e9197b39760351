//! Which of many upstreams a daemon prefers, so that it uses the connections to them again.
//!
//! Each daemon ranks the upstreams of a service by a hash of its own name and theirs, and prefers the first ones. Daemons
//! need not agree on anything, and an upstream that joins or leaves changes only its own place.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::Duration,
};

use crate::registry::Upstream;
use tokio::time::Instant;

/// The number of upstreams below which a daemon uses all of them: a subset would save few connections there.
const UPSTREAMS_MIN: usize = 24;

/// The least size of a subset, so that the loss of two upstreams leaves one.
const SIZE_MIN: usize = 3;

/// The slots of a subset for each request that a daemon has in flight on average.
const SLOTS_PER_REQUEST: f64 = 2.0;

/// How many daemons prefer each upstream on average, at least.
const COVERAGE: f64 = 4.0;

/// The mean time between two requests to an upstream of the subset. Upstreams close connections that are idle for 10 s.
/// In simulations 3 s had up to three times as many new connections, and 1 s up to 1.7 times, as more requests then meet
/// all connections of an upstream in use; requests met as many full upstreams.
const REUSE_INTERVAL: Duration = Duration::from_millis(1_500);

/// The share of the upstreams of a data centre above which a subset saves too little.
const SHARE_MAX: f64 = 0.75;

/// The time over which the demand of a daemon is averaged.
const DEMAND_TIME: Duration = Duration::from_secs(10);

/// The requests of this daemon for one service.
#[derive(Debug, Clone, Copy)]
pub(super) struct Demand {
    /// Requests in [`DEMAND_TIME`].
    requests: f64,
    /// The mean of the requests in flight.
    in_flight: f64,
    updated_at: Instant,
    /// The size of the subset of the last request; `None` if all upstreams were used alike.
    subset: Option<usize>,
}

impl Demand {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            requests: 0.0,
            in_flight: 0.0,
            updated_at: now,
            subset: None,
        }
    }

    /// Records a request beside `in_flight` others.
    pub(super) fn record(&mut self, in_flight: u32, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        let decay = (-elapsed.as_secs_f64() / DEMAND_TIME.as_secs_f64()).exp();
        self.requests = self.requests * decay + 1.0;
        self.in_flight += (f64::from(in_flight + 1) - self.in_flight) / self.requests;
        self.updated_at = now;
    }

    /// Records how many upstreams were preferred for the last request.
    pub(super) fn record_subset(&mut self, size: Option<usize>) {
        self.subset = size;
    }

    /// Returns the size of the subset, if there is one and it was used lately.
    pub(super) fn subset_at(&self, now: Instant) -> Option<usize> {
        let age = now.saturating_duration_since(self.updated_at);
        self.subset.filter(|_| age < DEMAND_TIME)
    }

    /// Returns how many of the `upstreams` in its data centre a daemon in `zone` prefers, one of `daemons`; `None` if it
    /// uses all alike.
    pub(super) fn size(
        &self,
        upstreams: &[Arc<Upstream>],
        zone: &str,
        daemons: u32,
    ) -> Option<usize> {
        let usable = upstreams.iter().filter(|one| !one.is_draining);
        let (count, slots) = usable.fold((0, 0), |(count, slots), one| {
            (count + 1, slots + one.slots.max(1))
        });
        let usable = upstreams.iter().filter(|one| !one.is_draining);
        let own = match usable.filter(|one| &*one.zone == zone).count() {
            0 => count,
            own => own,
        };
        if count < UPSTREAMS_MIN || daemons == 0 {
            return None;
        }
        let total = count as f64;
        let slots = f64::from(slots) / total;
        let rate = self.requests / DEMAND_TIME.as_secs_f64();
        let by_demand = SLOTS_PER_REQUEST * self.in_flight / slots;
        let by_coverage = COVERAGE * total / f64::from(daemons);
        let by_reuse = rate * REUSE_INTERVAL.as_secs_f64();
        let size = by_demand.max(by_coverage).max(by_reuse).ceil();
        let size = (size as usize).max(SIZE_MIN);
        (size as f64 <= SHARE_MAX * own as f64).then_some(size)
    }
}

/// Returns which upstreams a daemon in `zone` prefers: `size` in its own data centre, and as large a share of the
/// upstreams of each other one. Thus it chooses between data centres as it would among all upstreams.
pub(super) fn members(
    upstreams: &[Arc<Upstream>],
    identity: u64,
    zone: &str,
    size: usize,
) -> Vec<bool> {
    let mut ranked: Vec<(&str, u64, usize)> = Vec::with_capacity(upstreams.len());
    for (index, upstream) in upstreams.iter().enumerate() {
        if !upstream.is_draining {
            ranked.push((&upstream.zone, rank(identity, &upstream.id), index));
        }
    }
    ranked.sort_unstable();
    let zones = || ranked.chunk_by(|one, other| one.0 == other.0);
    let own = zones().find(|members| members[0].0 == zone);
    let share = size as f64 / own.map_or(ranked.len(), <[_]>::len) as f64;
    let mut is_member = vec![false; upstreams.len()];
    for members in zones() {
        let count = (share * members.len() as f64).ceil() as usize;
        for (_, _, index) in members.iter().take(count) {
            is_member[*index] = true;
        }
    }
    is_member
}

/// Returns the number of a daemon for its ranks of upstreams.
pub(super) fn identity(daemon: &str) -> u64 {
    rank(0, daemon)
}

fn rank(seed: u64, id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (seed, id).hash(&mut hasher);
    hasher.finish()
}
