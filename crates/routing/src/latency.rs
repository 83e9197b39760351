//! How long requests of each route usually take at an upstream.

use std::time::Duration;

use copperwell_message::HashMap;

/// The weight of a new answer in the decayed mean.
const WEIGHT: f64 = 0.05;

/// The part of a route's objective that its requests are taken to need before one was answered.
const FIRST_GUESS: f64 = 0.3;

/// The most routes that are remembered.
const ROUTES_MAX: usize = 4096;

/// How long requests of each route usually take.
#[derive(Debug, Default)]
pub struct Works {
    means_s: HashMap<String, f64>,
}

impl Works {
    /// How long a request of `route` usually takes.
    #[must_use]
    pub fn of(&self, route: &str, objective: Duration) -> Duration {
        let known = self.means_s.get(route);
        known.map_or(objective.mul_f64(FIRST_GUESS), |mean_s| {
            Duration::from_secs_f64(*mean_s)
        })
    }

    /// Notes an answer that took `took`.
    pub fn note(&mut self, route: &str, took: Duration) {
        let took_s = took.as_secs_f64();
        if let Some(mean_s) = self.means_s.get_mut(route) {
            *mean_s += WEIGHT * (took_s - *mean_s);
        } else if self.means_s.len() < ROUTES_MAX {
            self.means_s.insert(route.to_owned(), took_s);
        }
    }
}
