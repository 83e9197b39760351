//! Jittered exponential backoff.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Waiting times between the tries of one request: each up to twice the one before, up to a bound.
///
/// The wait is drawn evenly between half of the bound and the bound, so that requests that failed
/// together do not come back together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    first: Duration,
    most: Duration,
}

impl Backoff {
    /// A backoff that starts around `first` and ends around `most`.
    #[must_use]
    pub fn new(first: Duration, most: Duration) -> Self {
        Self { first, most }
    }

    /// The wait after try number `tries`, counted from one.
    #[must_use]
    pub fn delay(&self, tries: u32, random: &mut impl Rng) -> Duration {
        self.bound(tries).mul_f64(random.random_range(0.5..=1.0))
    }

    /// The longest wait after try number `tries`, counted from one.
    #[must_use]
    pub fn bound(&self, tries: u32) -> Duration {
        let doublings = tries.saturating_sub(1).min(u32::BITS - 1);
        self.first.saturating_mul(1 << doublings).min(self.most)
    }
}
