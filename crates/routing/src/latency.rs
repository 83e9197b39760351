//! Estimates how long requests of each route take at an upstream.

use std::time::Duration;

use copperwell_message::HashMap;

/// The weight of a new response in the exponential moving average.
const WEIGHT: f64 = 0.05;

/// The initial estimate before the first response, as a share of the route's objective.
const INITIAL_RATIO: f64 = 0.3;

/// The most routes that are tracked.
const ROUTES_MAX: usize = 4096;

/// The exponential moving averages of the time that requests of each route take.
#[derive(Debug, Default)]
pub struct RouteLatencies {
    means_s: HashMap<String, f64>,
}

impl RouteLatencies {
    /// Returns how long a request of `route` usually takes.
    #[must_use]
    pub fn usual(&self, route: &str, objective: Duration) -> Duration {
        let known = self.measured(route);
        known.unwrap_or_else(|| objective.mul_f64(INITIAL_RATIO))
    }

    /// Returns how long requests of `route` have usually taken; `None` if there was none.
    #[must_use]
    pub fn measured(&self, route: &str) -> Option<Duration> {
        let mean_s = self.means_s.get(route)?;
        Some(Duration::from_secs_f64(*mean_s))
    }

    /// Records a response that took `elapsed`.
    pub fn record(&mut self, route: &str, elapsed: Duration) {
        let elapsed_s = elapsed.as_secs_f64();
        if let Some(mean_s) = self.means_s.get_mut(route) {
            *mean_s += WEIGHT * (elapsed_s - *mean_s);
        } else if self.means_s.len() < ROUTES_MAX {
            self.means_s.insert(route.to_owned(), elapsed_s);
        }
    }
}
