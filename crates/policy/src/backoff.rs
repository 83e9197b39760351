//! Jittered exponential backoff.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Delays between the attempts of one request, with a bound that doubles up to a maximum.
///
/// A delay is drawn uniformly between half of its bound and the bound, so that requests that failed
/// together do not retry together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    first: Duration,
    max: Duration,
}

impl Backoff {
    /// Creates a backoff whose bound starts at `first` and grows up to `max`.
    #[must_use]
    pub fn new(first: Duration, max: Duration) -> Self {
        Self { first, max }
    }

    /// Draws the delay after attempt number `attempt`, counted from one.
    #[must_use]
    pub fn delay(&self, attempt: u32, random: &mut impl Rng) -> Duration {
        self.bound(attempt).mul_f64(random.random_range(0.5..=1.0))
    }

    /// Returns the longest delay after attempt number `attempt`, counted from one.
    #[must_use]
    pub fn bound(&self, attempt: u32) -> Duration {
        let doublings = attempt.saturating_sub(1).min(u32::BITS - 1);
        self.first.saturating_mul(1 << doublings).min(self.max)
    }
}
