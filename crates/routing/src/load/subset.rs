//! The subset of the upstreams of a service that a daemon prefers, so that it reuses its connections to them.
//!
//! Subsets are chosen by rendezvous hashing: each daemon ranks the upstreams by a hash of its own name and theirs, and
//! prefers the first ones. Daemons need no coordination, and an upstream that joins or leaves does not change the
//! relative order of the others.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::Duration,
};

use crate::registry::Upstream;
use tokio::time::Instant;

/// The minimum number of upstreams for a subset. With fewer, a subset would save few connections.
const UPSTREAMS_MIN: usize = 24;

/// The minimum size of a subset, so that one upstream remains after the loss of two.
const SIZE_MIN: usize = 3;

/// The minimum number of slots in a subset per mean request in flight of the daemon.
const SLOTS_PER_REQUEST: f64 = 2.0;

/// The minimum number of daemons that prefer an upstream, on average.
const COVERAGE: f64 = 4.0;

/// The target interval between two requests of this daemon to an upstream of the subset.
///
/// Upstreams close connections that are idle for 10 s, and requests do not arrive evenly, so that a longer interval opens
/// more new connections. So does a shorter one, since more requests then find all connections to an upstream in use.
const REUSE_INTERVAL: Duration = Duration::from_millis(1_500);

/// The maximum size of a subset, as a share of the upstreams of the data centre. A larger one would save too few
/// connections.
const SHARE_MAX: f64 = 0.75;

/// The time constant of the moving averages of a daemon's demand.
const DEMAND_TIME: Duration = Duration::from_secs(10);

/// The demand of this daemon for one service.
#[derive(Debug, Clone, Copy)]
pub(super) struct Demand {
    /// The moving average of the number of requests in [`DEMAND_TIME`].
    requests: f64,
    /// The moving average of the number of requests in flight.
    in_flight: f64,
    updated_at: Instant,
    /// The size of the subset at the last request; `None` if no upstream was preferred.
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

    /// Records a request that is sent while `in_flight` others are in flight.
    pub(super) fn record(&mut self, in_flight: u32, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        let decay = (-elapsed.as_secs_f64() / DEMAND_TIME.as_secs_f64()).exp();
        self.requests = self.requests * decay + 1.0;
        self.in_flight += (f64::from(in_flight + 1) - self.in_flight) / self.requests;
        self.updated_at = now;
    }

    /// Records the size of the subset at the last request.
    pub(super) fn record_subset(&mut self, size: Option<usize>) {
        self.subset = size;
    }

    /// Returns the size of the subset, if there is one and it was used within [`DEMAND_TIME`].
    pub(super) fn subset_at(&self, now: Instant) -> Option<usize> {
        let age = now.saturating_duration_since(self.updated_at);
        self.subset.filter(|_| age < DEMAND_TIME)
    }

    /// Returns the number of `upstreams` in its own data centre, `zone`, that this one of `daemons` prefers; `None` if
    /// it prefers none.
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

/// Returns for each upstream whether it is in the subset of a daemon in `zone`.
///
/// The subset has `size` upstreams of the daemon's own data centre, and the same share of the upstreams of each other
/// data centre. The choice between data centres is thus the same as without a subset.
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

/// Returns the seed by which a daemon ranks upstreams.
pub(super) fn identity(daemon: &str) -> u64 {
    rank(0, daemon)
}

/// Returns the rendezvous hash of an upstream for a seed; the lowest ranks first.
fn rank(seed: u64, id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (seed, id).hash(&mut hasher);
    hasher.finish()
}
