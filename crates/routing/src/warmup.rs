//! The requests that upstreams get while they warm up.
//!
//! Each daemon knows which upstreams warm up ([`Warmups`]). One daemon, the leader, schedules the requests of all
//! daemons to these ([`Schedules`]); the others send none without its reservation.

use std::time::Duration;

use crate::{Incarnation, UpstreamId, registry::Upstream};
use copperwell_message::HashMap;
use tokio::time::Instant;

use known::{Claim, Known, end_of};
use returned::Return;

pub use limit::{Allowance, Limit};
pub use returned::Confirmation;
pub use schedule::{RESERVATION_TTL, Schedules};

mod known;
mod limit;
mod returned;
mod schedule;

/// What a daemon knows of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It has answered lately, and does not warm up.
    Warm,
    /// It warms up until this time.
    WarmingUp(Instant),
    /// Its process may have been started again since it was last heard.
    Unconfirmed,
}

/// What a daemon knows of all upstreams.
#[derive(Debug, Default)]
pub struct Warmups {
    upstreams: HashMap<UpstreamId, Known>,
}

impl Warmups {
    /// Records what the registration of an upstream says; returns whether the upstream has begun to warm up.
    ///
    /// A registration that has not been written since it was last seen says nothing new.
    pub fn record_registration(&mut self, upstream: &Upstream, now: Instant) -> bool {
        if upstream.warmup.is_zero() && !self.upstreams.contains_key(&upstream.id) {
            return false;
        }
        let known = self.entry(&upstream.id);
        let is_new_run = known.born != upstream.born;
        if is_new_run {
            known.born = upstream.born;
            known.heard_at = None;
            known.answered_from = None;
        }
        let is_unchanged = !is_new_run && known.registered_left == upstream.warmup;
        known.registered_left = upstream.warmup;
        if is_unchanged || upstream.warmup.is_zero() {
            return false;
        }
        let until = end_of(upstream.warmup, now);
        known.begin(now, |known| {
            let before = known.registered.map(|claim| claim.until);
            let until = before.map_or(until, |before| before.max(until));
            known.registered = Some(Claim { since: now, until });
        })
    }

    /// Records a health response to a request that was sent at `sent_at`; returns whether the upstream has begun to
    /// warm up.
    pub fn record_health(
        &mut self,
        id: &UpstreamId,
        left: Duration,
        sent_at: Instant,
        now: Instant,
    ) -> bool {
        let known = self.entry(id);
        known.record_heard(sent_at, now);
        if left.is_zero() {
            return false;
        }
        known.begin(now, |known| {
            known.health_until = known.health_until.max(Some(end_of(left, now)));
        })
    }

    /// Records that a run of an upstream gets requests again after an evacuation that has ended at `ended_at`, so that
    /// it may be cold for `left`; returns whether it has begun to warm up.
    ///
    /// A return that is known already says nothing new.
    pub fn record_return(
        &mut self,
        id: &UpstreamId,
        born: Incarnation,
        ended_at: Instant,
        left: Duration,
        now: Instant,
    ) -> bool {
        let known = self.entry(id);
        let is_known = |one: &Return| one.born == born && one.ended_at == ended_at;
        if left.is_zero() || known.returned.as_ref().is_some_and(is_known) {
            return false;
        }
        let claim = Claim {
            since: now,
            until: end_of(left, now),
        };
        known.begin(now, |known| {
            known.returned = Some(Return::new(born, ended_at, claim));
        })
    }

    /// Records an answer to a request that was sent at `sent_at`.
    pub fn record_answer(&mut self, id: &UpstreamId, sent_at: Instant, now: Instant) {
        self.entry(id).record_heard(sent_at, now);
    }

    /// Records that a connection to an upstream was refused, lost or closed, or stopped responding, at `at`.
    pub fn record_failure(&mut self, id: &UpstreamId, at: Instant) {
        let known = self.entry(id);
        known.failed_at = known.failed_at.max(Some(at));
    }

    /// Returns what is known of an upstream.
    #[must_use]
    pub fn state(&self, id: &str, now: Instant) -> State {
        let Some(known) = self.upstreams.get(id) else {
            return State::Unconfirmed;
        };
        if let Some(warm_at) = known.warm_at(now) {
            return State::WarmingUp(warm_at);
        }
        match known.is_confirmed(now) {
            true => State::Warm,
            false => State::Unconfirmed,
        }
    }

    /// Returns whether a new connection leads to the process that was last heard, whether or not that warms up.
    #[must_use]
    pub fn is_confirmed(&self, id: &str, now: Instant) -> bool {
        let known = self.upstreams.get(id);
        known.is_some_and(|known| known.is_confirmed(now))
    }

    /// Returns how much longer an upstream warms up; `None` if it does not.
    #[must_use]
    pub fn left(&self, id: &str, now: Instant) -> Option<Duration> {
        match self.state(id, now) {
            State::WarmingUp(until) => Some(until.saturating_duration_since(now)),
            State::Warm | State::Unconfirmed => None,
        }
    }

    /// Returns the number of upstreams that warm up.
    #[must_use]
    pub fn warming_up(&self, now: Instant) -> usize {
        let upstreams = self.upstreams.values();
        upstreams
            .filter(|known| known.warm_at(now).is_some())
            .count()
    }

    /// Returns the upstreams whose warm-up has ended since the last call.
    pub fn take_warm(&mut self, now: Instant) -> Vec<UpstreamId> {
        let upstreams = self.upstreams.iter_mut();
        let warm = upstreams.filter(|(_, known)| known.was_cold && known.warm_at(now).is_none());
        let warm = warm.map(|(id, known)| {
            known.was_cold = false;
            id.clone()
        });
        warm.collect()
    }

    /// Forgets upstreams that are no longer registered.
    pub fn retain(&mut self, is_registered: impl Fn(&str) -> bool) {
        self.upstreams.retain(|id, _| is_registered(id));
    }

    fn entry(&mut self, id: &UpstreamId) -> &mut Known {
        self.upstreams.entry(id.clone()).or_default()
    }
}
