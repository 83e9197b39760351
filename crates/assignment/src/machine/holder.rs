//! Upstreams as holders of keys: what the leader has observed of them, and which can be given keys.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::Observation;
use crate::{Holder, pace::Estimate, table::FULL_SHARE};
use copperwell_message::HashMap;
use copperwell_routing::{Incarnation, UpstreamId, registry::Upstream};

/// The number of consecutive orders without an answer from which on a holder is unresponsive.
const UNRESPONSIVE_ORDERS: u32 = 3;

/// How long a holder must not have answered any order before it is unresponsive.
const UNRESPONSIVE_TIME: Duration = Duration::from_millis(1_200);

/// How long after its last failed order an unresponsive upstream is tried again.
const UNRESPONSIVE_RETRY_DELAY: Duration = Duration::from_secs(15);

/// How long after its last failed order an upstream is tried again to which no connection could be opened, but now
/// can.
const CONNECTABLE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// What the leader has observed of an upstream.
#[derive(Debug, Clone, Copy)]
pub(super) struct State {
    /// The address of the upstream.
    pub(super) address: SocketAddr,
    /// When it last answered an order.
    pub(super) answered_at: Duration,
    /// The number of orders without an answer since then.
    pub(super) unanswered: u32,
    /// When the last of these orders failed.
    pub(super) failed_at: Duration,
    /// Whether no connection could be opened for the last of these orders.
    pub(super) is_unconnected: bool,
    /// When a connection to it was last refused or broke. Another run may be listening at the
    /// address since then.
    pub(super) broken_at: Option<Duration>,
    /// How long requests take there, compared with their typical latency.
    pub(super) slowness: Estimate,
    /// The share of requests that it admits, in parts of [`FULL_SHARE`].
    pub(super) admits: u8,
}

/// Whether a holder keeps its keys.
pub(super) enum Status {
    /// The holder keeps its keys.
    Active,
    /// The holder is draining, no longer listed or unresponsive, so its keys migrate.
    Leaving,
    /// The holder's process has ended, so its keys are free.
    Ended,
    /// The holder has restarted, and its new incarnation keeps the keys.
    Restarted(Incarnation),
}

/// Returns whether some upstream that is not draining answers orders. If none does, there is no
/// point in taking keys away from unresponsive ones.
pub(super) fn is_any_responsive(
    observation: &Observation<'_>,
    states: &HashMap<UpstreamId, State>,
    now: Duration,
) -> bool {
    let is_unresponsive = |id| {
        states
            .get(id)
            .is_some_and(|state| state.is_unresponsive(now))
    };
    let mut not_draining = observation.upstreams.iter().filter(|one| !one.is_draining);
    not_draining.any(|one| !is_unresponsive(&one.id))
}

/// Returns whether a holder warms up and a warm upstream can hold its keys instead.
pub(super) fn is_replaceable_during_warmup(
    holder: &Holder,
    observation: &Observation<'_>,
    states: &HashMap<UpstreamId, State>,
    now: Duration,
) -> bool {
    if !observation.is_warming_up(&holder.id) {
        return false;
    }
    let targets = Targets::new(observation, states, now);
    let mut holders = targets.holders.iter();
    holders.any(|target| !observation.is_warming_up(&target.id))
}

/// Returns whether a holder keeps its keys; `is_any_responsive` says whether any upstream answers
/// orders.
pub(super) fn status_of(
    holder: &Holder,
    is_any_responsive: bool,
    observation: &Observation<'_>,
    states: &HashMap<UpstreamId, State>,
    now: Duration,
) -> Status {
    let state = states.get(&holder.id);
    let Some(upstream) = observation.upstream(&holder.id) else {
        let has_ended = state.is_some_and(|state| state.is_replaced(holder, observation));
        return if has_ended {
            Status::Ended
        } else {
            Status::Leaving
        };
    };
    if upstream.born > holder.born {
        return Status::Restarted(upstream.born);
    }
    let is_unresponsive = state.is_some_and(|state| state.is_unresponsive(now));
    if upstream.is_draining || (is_unresponsive && is_any_responsive) {
        return Status::Leaving;
    }
    Status::Active
}

impl State {
    pub(super) fn new(address: SocketAddr, now: Duration) -> Self {
        Self {
            address,
            slowness: Estimate::new(now),
            admits: FULL_SHARE,
            answered_at: Duration::ZERO,
            unanswered: 0,
            failed_at: Duration::ZERO,
            is_unconnected: false,
            broken_at: None,
        }
    }

    /// Returns whether another upstream has the address of a holder, which proves that the holder's
    /// process has ended.
    pub(super) fn is_replaced(&self, holder: &Holder, observation: &Observation<'_>) -> bool {
        observation
            .all
            .iter()
            .any(|one| one.address == self.address && one.id != holder.id && one.born > holder.born)
    }

    /// Takes the upstream for responsive again if only connections failed, and one can be opened now.
    pub(super) fn update_connectable(&mut self, is_connectable: bool, now: Duration) {
        if self.is_unconnected && is_connectable && now >= self.failed_at + CONNECTABLE_RETRY_DELAY
        {
            self.unanswered = 0;
            self.is_unconnected = false;
        }
    }

    pub(super) fn is_unresponsive(&self, now: Duration) -> bool {
        self.unanswered >= UNRESPONSIVE_ORDERS
            && now.saturating_sub(self.answered_at) > UNRESPONSIVE_TIME
            && now < self.failed_at + UNRESPONSIVE_RETRY_DELAY
    }
}

/// The upstreams that can be given keys.
pub(super) struct Targets {
    pub(super) holders: Vec<Holder>,
    /// Their relative capacities: the number of slots divided by the slowness.
    pub(super) weights: Vec<f64>,
    indices: HashMap<UpstreamId, usize>,
}

impl Targets {
    pub(super) fn new(
        observation: &Observation<'_>,
        states: &HashMap<UpstreamId, State>,
        now: Duration,
    ) -> Self {
        let is_usable = |one: &&Arc<Upstream>| {
            let state = states.get(&one.id);
            !one.is_draining && !state.is_some_and(|state| state.is_unresponsive(now))
        };
        let mut usable: Vec<_> = observation.upstreams.iter().filter(is_usable).collect();
        if usable.is_empty() {
            // Without orders, the leader would never find out that one of them answers again.
            let not_draining = observation.upstreams.iter().filter(|one| !one.is_draining);
            usable = not_draining.collect();
        }
        let is_warm = |one: &&Arc<Upstream>| !observation.is_warming_up(&one.id);
        if usable.iter().any(is_warm) {
            usable.retain(is_warm);
        }
        let holder = |one: &&Arc<Upstream>| Holder {
            id: one.id.clone(),
            born: one.born,
        };
        let weight = |one: &&Arc<Upstream>| {
            let slowness = states
                .get(&one.id)
                .map_or(1.0, |state| state.slowness.value());
            f64::from(one.slots.max(1)) / slowness
        };
        let indices = usable.iter().enumerate();
        Self {
            holders: usable.iter().map(holder).collect(),
            weights: usable.iter().map(weight).collect(),
            indices: indices
                .map(|(index, one)| (one.id.clone(), index))
                .collect(),
        }
    }

    /// Returns the index of a holder; `None` if it cannot be given keys or has restarted.
    pub(super) fn index_of(&self, holder: &Holder) -> Option<usize> {
        let index = *self.indices.get(&holder.id)?;
        (self.holders[index] == *holder).then_some(index)
    }

    /// Returns the index of the holder whose total load is the lowest relative to its weight.
    pub(super) fn least_loaded(&self, totals: &[f64]) -> Option<usize> {
        let relative = |index: usize| totals[index] / self.weights[index];
        (0..self.holders.len()).min_by(|one, other| relative(*one).total_cmp(&relative(*other)))
    }
}
