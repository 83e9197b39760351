//! Upstreams as holders of keys: what the leader has seen of them, and who can be given keys.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::Sight;
use crate::{Holder, pace::Estimate, table::ALL};
use copperwell_message::HashMap;
use copperwell_routing::{Birth, UpstreamId, registry::Upstream};

/// Orders in a row without an answer that make a holder silent.
const SILENT_ORDERS: u32 = 3;

/// How long a holder has not answered any order before it is silent.
const SILENT_TIME: Duration = Duration::from_millis(1_200);

/// How long after its last unanswered order a silent upstream is tried again.
const SILENCE: Duration = Duration::from_secs(15);

/// What the leader has seen of an upstream.
#[derive(Debug, Clone, Copy)]
pub(super) struct State {
    /// Where it listens.
    pub(super) address: SocketAddr,
    /// When it last answered an order.
    pub(super) heard: Duration,
    /// Orders without an answer since then.
    pub(super) unanswered: u32,
    /// When the last of them failed.
    pub(super) failed: Duration,
    /// When a connection to it was refused or broke: what listens there now may be another run.
    pub(super) broke: Option<Duration>,
    /// How fast it works.
    pub(super) pace: Estimate,
    /// The share of requests that it can take, in parts of [`ALL`].
    pub(super) admits: u8,
}

/// What is to become of a holder's keys.
pub(super) enum Fate {
    Stays,
    Leaves,
    /// The holder's process has surely ended.
    Gone,
    /// The holder has begun another run.
    Reborn(Birth),
}

/// Whether some upstream that stays answers orders. If none does, it is of no use to take keys from
/// those that are silent.
pub(super) fn is_any_heard(
    sight: &Sight<'_>,
    states: &HashMap<UpstreamId, State>,
    now: Duration,
) -> bool {
    let is_silent = |id| states.get(id).is_some_and(|state| state.is_silent(now));
    let mut staying = sight.upstreams.iter().filter(|one| !one.is_draining);
    staying.any(|one| !is_silent(&one.id))
}

/// What is to become of a holder's keys; `others` says whether any upstream answers orders.
pub(super) fn fate(
    holder: &Holder,
    others: bool,
    sight: &Sight<'_>,
    states: &HashMap<UpstreamId, State>,
    now: Duration,
) -> Fate {
    let state = states.get(&holder.id);
    let Some(upstream) = sight.of(&holder.id) else {
        let is_gone = state.is_some_and(|state| state.is_replaced(holder, sight));
        return if is_gone { Fate::Gone } else { Fate::Leaves };
    };
    if upstream.born > holder.born {
        return Fate::Reborn(upstream.born);
    }
    let is_silent = state.is_some_and(|state| state.is_silent(now));
    if upstream.is_draining || (is_silent && others) {
        return Fate::Leaves;
    }
    Fate::Stays
}

impl State {
    pub(super) fn at(address: SocketAddr, now: Duration) -> Self {
        Self {
            address,
            pace: Estimate::new(now),
            admits: ALL,
            heard: Duration::ZERO,
            unanswered: 0,
            failed: Duration::ZERO,
            broke: None,
        }
    }

    /// Whether another upstream has the address of a holder, whose process has ended then.
    pub(super) fn is_replaced(&self, holder: &Holder, sight: &Sight<'_>) -> bool {
        sight
            .all
            .iter()
            .any(|one| one.address == self.address && one.id != holder.id && one.born > holder.born)
    }

    pub(super) fn is_silent(&self, now: Duration) -> bool {
        self.unanswered >= SILENT_ORDERS
            && now.saturating_sub(self.heard) > SILENT_TIME
            && now < self.failed + SILENCE
    }
}

/// The upstreams that can be given keys.
pub(super) struct Seats {
    pub(super) holders: Vec<Holder>,
    pub(super) weights: Vec<f64>,
    indices: HashMap<UpstreamId, usize>,
}

impl Seats {
    pub(super) fn new(
        sight: &Sight<'_>,
        states: &HashMap<UpstreamId, State>,
        now: Duration,
    ) -> Self {
        let is_usable = |one: &&Arc<Upstream>| {
            let state = states.get(&one.id);
            !one.is_draining && !state.is_some_and(|state| state.is_silent(now))
        };
        let mut usable: Vec<_> = sight.upstreams.iter().filter(is_usable).collect();
        if usable.is_empty() {
            // No order would ever show that one of them answers again.
            let stay = sight.upstreams.iter().filter(|one| !one.is_draining);
            usable = stay.collect();
        }
        let holder = |one: &&Arc<Upstream>| Holder {
            id: one.id.clone(),
            born: one.born,
        };
        let weight = |one: &&Arc<Upstream>| {
            let slowness = states
                .get(&one.id)
                .map_or(1.0, |state| state.pace.slowness());
            f64::from(one.slots.max(1)) / slowness
        };
        let indices = usable.iter().enumerate();
        Self {
            holders: usable.iter().map(holder).collect(),
            weights: usable.iter().map(weight).collect(),
            indices: indices.map(|(at, one)| (one.id.clone(), at)).collect(),
        }
    }

    pub(super) fn index(&self, holder: &Holder) -> Option<usize> {
        let at = *self.indices.get(&holder.id)?;
        (self.holders[at] == *holder).then_some(at)
    }

    pub(super) fn least(&self, totals: &[f64]) -> Option<usize> {
        let relative = |seat: usize| totals[seat] / self.weights[seat];
        (0..self.holders.len()).min_by(|one, other| relative(*one).total_cmp(&relative(*other)))
    }
}
