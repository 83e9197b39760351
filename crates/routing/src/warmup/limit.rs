//! The limit of requests to an upstream while it warms up.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The window in which the requests to an upstream are bounded.
pub(super) const WINDOW: Duration = Duration::from_secs(1);

/// How many requests may follow each other at once, as the time in which they would be due.
pub(super) const BURST_TIME: Duration = Duration::from_millis(500);

/// The most reservations of one upstream that are remembered.
pub(super) const RESERVATIONS_MAX: usize = 4_096;

/// How far all daemons together may exceed the rate that a service names for upstreams that warm up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// The factor on the rate.
    pub overshoot: f64,
    /// The requests in any second beyond that.
    pub slack: f64,
}

/// The limit of an upstream of a service while it warms up.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// The requests a second that it takes.
    pub rate: f64,
    /// The most requests in any one second, from all daemons together.
    pub per_second: f64,
}

impl Limit {
    /// Returns the limit of upstreams that take `rate` requests a second.
    #[must_use]
    pub fn new(rate: f64, allowance: Allowance) -> Self {
        Self {
            rate,
            per_second: rate * allowance.overshoot + allowance.slack,
        }
    }

    /// Returns the most requests in any one second that one leader admits: half of the limit, as the leader before it
    /// may have admitted as many.
    #[must_use]
    pub fn share(&self) -> usize {
        // A conversion saturates, and turns what is no number into 0.
        ((self.per_second / 2.0).floor() as usize).min(RESERVATIONS_MAX)
    }

    /// Returns the interval between two requests; `None` if one leader can admit none.
    #[must_use]
    pub fn interval(&self) -> Option<Duration> {
        // A window of a second has the requests of 1.5 s and one more, because of the burst.
        let window_s = (WINDOW + BURST_TIME).as_secs_f64();
        let rate = self.rate.min((self.per_second / 2.0 - 1.0) / window_s);
        if self.share() == 0 || rate <= 0.0 {
            return None;
        }
        Duration::try_from_secs_f64(1.0 / rate).ok()
    }
}
