//! How often each key is asked for.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use copperwell_message::HashMap;
use copperwell_routing::{Key, ServiceName};
use serde::{Deserialize, Serialize};

/// Keys of a service.
const KEYS: usize = Key::MAX as usize + 1;

/// The time in which an old request counts half as much.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// The most keys that are counted between two reports.
const COUNTED_MAX: usize = 8192;

/// Requests by key since the last report, as one daemon counts them.
#[derive(Debug, Default)]
pub struct Counts {
    counts: Mutex<HashMap<ServiceName, HashMap<Key, u32>>>,
}

/// Requests by key of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The service.
    pub service: ServiceName,
    /// Keys and how often each was asked for.
    pub counts: Vec<(Key, u32)>,
}

/// The decayed number of requests for each key of one service, from all daemons.
#[derive(Debug)]
pub struct Demand {
    loads: Vec<f32>,
    at: Duration,
}

impl Counts {
    /// Counts a request.
    pub fn count(&self, service: &ServiceName, key: Key) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let keys = counts.entry(service.clone()).or_default();
        if keys.len() < COUNTED_MAX || keys.contains_key(&key) {
            *keys.entry(key).or_default() += 1;
        }
    }

    /// Takes what was counted since the last time.
    pub fn take(&self) -> Vec<Report> {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let taken = std::mem::take(&mut *counts);
        let reports = taken.into_iter().map(|(service, keys)| Report {
            service,
            counts: keys.into_iter().collect(),
        });
        reports.collect()
    }
}

impl Demand {
    /// No requests yet.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            loads: vec![0.0; KEYS],
            at: now,
        }
    }

    /// Adds a daemon's counts.
    pub fn add(&mut self, counts: impl IntoIterator<Item = (Key, u32)>) {
        for (key, count) in counts {
            self.loads[usize::from(key)] += count as f32;
        }
    }

    /// Lets older requests count less.
    pub fn decay(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at);
        self.at = now;
        let factor = 0.5_f32.powf(passed.as_secs_f32() / HALF_LIFE.as_secs_f32());
        for load in &mut self.loads {
            *load *= factor;
        }
    }

    /// The load of each key.
    #[must_use]
    pub fn loads(&self) -> &[f32] {
        &self.loads
    }
}
