//! The load of each key, and the latency of each upstream.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use copperwell_message::HashMap;
use copperwell_routing::{Key, ServiceName, UpstreamId};
use serde::{Deserialize, Serialize};

/// The number of keys of a service.
const KEY_COUNT: usize = Key::MAX as usize + 1;

/// The time after which a request has half its weight.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// The maximum number of keys that are counted between two reports.
const COUNTED_KEYS_MAX: usize = 8192;

/// The load and latencies that one daemon has counted since its last report.
#[derive(Debug, Default)]
pub struct Counts {
    services: Mutex<HashMap<ServiceName, ServiceCounts>>,
}

#[derive(Debug, Default)]
struct ServiceCounts {
    requests: u32,
    keys: HashMap<Key, u32>,
    upstreams: HashMap<UpstreamId, Pace>,
}

/// The load of one service and the latencies of its upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The service.
    pub service: ServiceName,
    /// The number of requests.
    pub requests: u32,
    /// Keys and the work of the requests for each, in milliseconds.
    pub keys: Vec<(Key, u32)>,
    /// Upstreams and their latencies.
    pub upstreams: Vec<(UpstreamId, Pace)>,
}

/// The total latency of the requests that an upstream answered, and what is typical for them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pace {
    /// The number of answered requests.
    pub answered: u32,
    /// How long they took in total, in milliseconds.
    pub took_ms: u32,
    /// How long such requests typically take in total, in milliseconds.
    pub usual_ms: u32,
}

/// The exponentially decayed load of each key of one service, from all daemons.
#[derive(Debug)]
pub struct Demand {
    /// The decayed work of each key, in milliseconds.
    loads: Vec<f32>,
    requests: f64,
    work_ms: f64,
    decayed_at: Duration,
}

impl Counts {
    /// Counts a request for a key and its work, which is how long such requests typically take.
    pub fn count_request(&self, service: &ServiceName, key: Key, work: Duration) {
        self.with(service, |counts| {
            counts.requests += 1;
            let keys = &mut counts.keys;
            if keys.len() < COUNTED_KEYS_MAX || keys.contains_key(&key) {
                *keys.entry(key).or_default() += millis(work).max(1);
            }
        });
    }

    /// Counts a request that an upstream answered after `took`, where `usual` is typical.
    pub fn count_response(
        &self,
        service: &ServiceName,
        id: &UpstreamId,
        took: Duration,
        usual: Duration,
    ) {
        self.with(service, |counts| {
            let pace = counts.upstreams.entry(id.clone()).or_default();
            pace.answered += 1;
            pace.took_ms += millis(took);
            pace.usual_ms += millis(usual).max(1);
        });
    }

    /// Returns what was counted since the last call, and resets the counts.
    pub fn take(&self) -> Vec<Report> {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let taken = std::mem::take(&mut *services);
        let reports = taken.into_iter().map(|(service, counts)| Report {
            service,
            requests: counts.requests,
            keys: counts.keys.into_iter().collect(),
            upstreams: counts.upstreams.into_iter().collect(),
        });
        reports.collect()
    }

    fn with(&self, service: &ServiceName, update: impl FnOnce(&mut ServiceCounts)) {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        update(services.entry(service.clone()).or_default());
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

impl Demand {
    /// Creates a demand without any load.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            loads: vec![0.0; KEY_COUNT],
            requests: 0.0,
            work_ms: 0.0,
            decayed_at: now,
        }
    }

    /// Adds the load that a daemon counted.
    pub fn add(&mut self, requests: u32, keys: &[(Key, u32)]) {
        self.requests += f64::from(requests);
        for (key, work_ms) in keys {
            self.loads[usize::from(*key)] += *work_ms as f32;
            self.work_ms += f64::from(*work_ms);
        }
    }

    /// Decays the weight of older requests.
    pub fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.decayed_at);
        self.decayed_at = now;
        let factor = 0.5_f32.powf(elapsed.as_secs_f32() / HALF_LIFE.as_secs_f32());
        self.requests *= f64::from(factor);
        self.work_ms *= f64::from(factor);
        for load in &mut self.loads {
            *load *= factor;
        }
    }

    /// Returns the average work of one request, in milliseconds.
    #[must_use]
    pub fn work_per_request_ms(&self) -> f64 {
        if self.requests > 0.0 {
            self.work_ms / self.requests
        } else {
            0.0
        }
    }

    /// Converts a decayed load to the rate of work, in milliseconds per second.
    #[must_use]
    pub fn rate(load: f64) -> f64 {
        load * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
    }

    /// Returns the decayed work of each key, in milliseconds.
    #[must_use]
    pub fn loads(&self) -> &[f32] {
        &self.loads
    }
}
