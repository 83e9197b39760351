//! Estimates the pace of an upstream: how slow it is, from the latencies that daemons measure.

use std::time::Duration;

use crate::demand::Pace;

/// The number of answers at which a new estimate has the same weight as the old one.
const EQUAL_WEIGHT_ANSWERS: f64 = 10.0;

/// The minimum time between two estimates.
const INTERVAL_MIN: Duration = Duration::from_millis(900);

/// The highest ratio that is used for an estimate.
const SLOWNESS_MAX: f64 = 6.0;
/// The lowest ratio that is used for an estimate.
const SLOWNESS_MIN: f64 = 0.3;

/// How long requests take at an upstream without queueing, relative to their typical latency.
#[derive(Debug, Clone, Copy)]
pub struct Estimate {
    slowness: f64,
    updated_at: Duration,
    observed: Pace,
}

impl Estimate {
    /// Creates the estimate of an upstream that has not been observed before `now`.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            slowness: 1.0,
            updated_at: now,
            observed: Pace::default(),
        }
    }

    /// Adds the latencies that a daemon measured.
    pub fn add(&mut self, pace: &Pace) {
        self.observed.answered += pace.answered;
        self.observed.took_ms += pace.took_ms;
        self.observed.usual_ms += pace.usual_ms;
    }

    /// Updates the estimate of an upstream that has `slots` slots.
    ///
    /// The average number of requests at an upstream is their total latency for each unit of time
    /// (Little's law). If it exceeds the number of slots, requests spend the excess share of their
    /// latency in a queue, which does not count.
    pub fn update(&mut self, slots: u32, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at);
        if elapsed < INTERVAL_MIN {
            return;
        }
        let observed = std::mem::take(&mut self.observed);
        self.updated_at = now;
        if observed.usual_ms == 0 {
            return;
        }
        let concurrency = f64::from(observed.took_ms) / (elapsed.as_secs_f64() * 1e3);
        let unqueued_share = (f64::from(slots) / concurrency.max(f64::MIN_POSITIVE)).min(1.0);
        let ratio = f64::from(observed.took_ms) / f64::from(observed.usual_ms) * unqueued_share;
        let answered = f64::from(observed.answered);
        let weight = answered / (answered + EQUAL_WEIGHT_ANSWERS);
        self.slowness += weight * (ratio.clamp(SLOWNESS_MIN, SLOWNESS_MAX) - self.slowness);
    }

    /// Returns by which factor requests take longer than is typical.
    #[must_use]
    pub fn value(&self) -> f64 {
        self.slowness
    }
}
