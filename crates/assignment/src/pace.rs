//! How fast an upstream works, from what daemons see of it.

use std::time::Duration;

use crate::demand::Pace;

/// Answers after which a new estimate counts as much as the old one.
const ANSWERS: f64 = 10.0;

/// The least time over which an estimate is made.
const INTERVAL: Duration = Duration::from_millis(900);

/// The bounds of an estimate.
const SLOWEST: f64 = 6.0;
const FASTEST: f64 = 0.3;

/// How long requests take at an upstream without a queue, against the usual time.
#[derive(Debug, Clone, Copy)]
pub struct Estimate {
    slowness: f64,
    since: Duration,
    seen: Pace,
}

impl Estimate {
    /// An upstream of which nothing was seen before `now`.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            slowness: 1.0,
            since: now,
            seen: Pace::default(),
        }
    }

    /// Adds what a daemon saw.
    pub fn add(&mut self, pace: &Pace) {
        self.seen.answered += pace.answered;
        self.seen.took_ms += pace.took_ms;
        self.seen.usual_ms += pace.usual_ms;
    }

    /// Brings the estimate up to date for an upstream with `slots`.
    ///
    /// An upstream with more requests than slots has a queue, in which requests spend all the time
    /// that exceeds what its slots need for them (Little's law).
    pub fn settle(&mut self, slots: u32, now: Duration) {
        let passed = now.saturating_sub(self.since);
        if passed < INTERVAL {
            return;
        }
        let seen = std::mem::take(&mut self.seen);
        self.since = now;
        if seen.usual_ms == 0 {
            return;
        }
        let present = f64::from(seen.took_ms) / (passed.as_secs_f64() * 1e3);
        let unqueued = (f64::from(slots) / present.max(f64::MIN_POSITIVE)).min(1.0);
        let ratio = f64::from(seen.took_ms) / f64::from(seen.usual_ms) * unqueued;
        let answered = f64::from(seen.answered);
        let weight = answered / (answered + ANSWERS);
        self.slowness += weight * (ratio.clamp(FASTEST, SLOWEST) - self.slowness);
    }

    /// How many times as long as usual requests take.
    #[must_use]
    pub fn slowness(&self) -> f64 {
        self.slowness
    }
}
