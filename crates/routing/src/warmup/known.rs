//! What a daemon knows of the warm-up of one upstream.

use std::time::Duration;

use super::returned::Return;
use crate::Incarnation;
use tokio::time::Instant;

/// The part by which the remaining time that an upstream names is extended, as clocks and reports differ.
const MARGIN_RATIO: f64 = 0.05;

/// The time by which it is extended in addition.
const MARGIN: Duration = Duration::from_millis(100);

/// The longest remaining time that is believed.
const LEFT_MAX: Duration = Duration::from_secs(300);

/// How long after an answer of an upstream new connections to it lead to the same process.
const CONFIRMED_TIME: Duration = Duration::from_secs(1);

/// What is known of one upstream.
#[derive(Debug, Default)]
pub(super) struct Known {
    pub(super) born: Incarnation,
    /// The remaining time in its last registration.
    pub(super) registered_left: Duration,
    /// Until when it warms up by its registration.
    pub(super) registered: Option<Claim>,
    /// Until when it warms up by its health responses.
    pub(super) health_until: Option<Instant>,
    /// Its latest return from an evacuation.
    pub(super) returned: Option<Return>,
    /// Whether it was seen to warm up since it was last reported as warm.
    pub(super) was_cold: bool,
    /// When an answer of it last arrived.
    pub(super) heard_at: Option<Instant>,
    /// When the latest request was sent that it has answered.
    pub(super) answered_from: Option<Instant>,
    /// When a connection to it was last refused, lost or closed, or stopped responding.
    pub(super) failed_at: Option<Instant>,
}

/// Something by which an upstream counts as warming up, that is not its own word at this moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Claim {
    /// When this daemon learned of it.
    pub(super) since: Instant,
    pub(super) until: Instant,
}

impl Known {
    pub(super) fn is_confirmed(&self, now: Instant) -> bool {
        let heard_at = self.heard_at.filter(|at| now < *at + CONFIRMED_TIME);
        // An answer shows that failures before its request are over.
        heard_at.is_some() && self.failed_at < self.answered_from
    }

    pub(super) fn record_heard(&mut self, sent_at: Instant, now: Instant) {
        self.heard_at = self.heard_at.max(Some(now));
        self.answered_from = self.answered_from.max(Some(sent_at));
    }

    /// Returns until when it warms up by its registration or a return, if it does.
    pub(super) fn claimed_until(&self) -> Option<Instant> {
        let returned = self.returned.filter(|one| !one.is_confirmed);
        let returned = returned.map(|one| one.claim.until);
        self.registered.map(|claim| claim.until).max(returned)
    }

    /// Returns the latest end of its warm-up that anything names, if it is not over.
    pub(super) fn warm_at(&self, now: Instant) -> Option<Instant> {
        let warm_at = self.claimed_until().max(self.health_until);
        warm_at.filter(|at| now < *at)
    }

    /// Records with `change` that it warms up; returns whether it has begun with that.
    pub(super) fn begin(&mut self, now: Instant, change: impl FnOnce(&mut Self)) -> bool {
        let was_warm = self.warm_at(now).is_none();
        change(self);
        self.was_cold = true;
        was_warm
    }
}

/// Returns when an upstream is warm that names `left` as the remaining time.
pub(super) fn end_of(left: Duration, now: Instant) -> Instant {
    now + left.min(LEFT_MAX).mul_f64(1.0 + MARGIN_RATIO) + MARGIN
}
