//! How much work each key brings, and how fast upstreams do it.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use copperwell_message::HashMap;
use copperwell_routing::{Key, ServiceName, UpstreamId};
use serde::{Deserialize, Serialize};

/// Keys of a service.
const KEYS: usize = Key::MAX as usize + 1;

/// The time in which an old request counts half as much.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// The most keys that are counted between two reports.
const COUNTED_MAX: usize = 8192;

/// Work since the last report, as one daemon counts it.
#[derive(Debug, Default)]
pub struct Counts {
    services: Mutex<HashMap<ServiceName, Counted>>,
}

#[derive(Debug, Default)]
struct Counted {
    requests: u32,
    keys: HashMap<Key, u32>,
    upstreams: HashMap<UpstreamId, Pace>,
}

/// Work of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The service.
    pub service: ServiceName,
    /// Requests that were asked for.
    pub requests: u32,
    /// Keys and the work that requests for each bring, in milliseconds.
    pub keys: Vec<(Key, u32)>,
    /// Upstreams and how long they took.
    pub upstreams: Vec<(UpstreamId, Pace)>,
}

/// How long an upstream took for what it answered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pace {
    /// Requests that it answered.
    pub answered: u32,
    /// How long they took there, together, in milliseconds.
    pub took_ms: u32,
    /// How long such requests usually take, together, in milliseconds.
    pub usual_ms: u32,
}

/// The decayed work that each key of one service brings, from all daemons.
#[derive(Debug)]
pub struct Demand {
    /// Milliseconds of work.
    loads: Vec<f32>,
    requests: f64,
    work_ms: f64,
    at: Duration,
}

impl Counts {
    /// Counts a request and the work that it brings.
    pub fn ask(&self, service: &ServiceName, key: Key, work: Duration) {
        self.with(service, |counted| {
            counted.requests += 1;
            let keys = &mut counted.keys;
            if keys.len() < COUNTED_MAX || keys.contains_key(&key) {
                *keys.entry(key).or_default() += millis(work).max(1);
            }
        });
    }

    /// Counts an answer that took `took`, where such answers usually take `usual`.
    pub fn answer(&self, service: &ServiceName, id: &UpstreamId, took: Duration, usual: Duration) {
        self.with(service, |counted| {
            let pace = counted.upstreams.entry(id.clone()).or_default();
            pace.answered += 1;
            pace.took_ms += millis(took);
            pace.usual_ms += millis(usual).max(1);
        });
    }

    /// Takes what was counted since the last time.
    pub fn take(&self) -> Vec<Report> {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let taken = std::mem::take(&mut *services);
        let reports = taken.into_iter().map(|(service, counted)| Report {
            service,
            requests: counted.requests,
            keys: counted.keys.into_iter().collect(),
            upstreams: counted.upstreams.into_iter().collect(),
        });
        reports.collect()
    }

    fn with(&self, service: &ServiceName, act: impl FnOnce(&mut Counted)) {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        act(services.entry(service.clone()).or_default());
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

impl Demand {
    /// No requests yet.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            loads: vec![0.0; KEYS],
            requests: 0.0,
            work_ms: 0.0,
            at: now,
        }
    }

    /// Adds what a daemon counted.
    pub fn add(&mut self, requests: u32, keys: &[(Key, u32)]) {
        self.requests += f64::from(requests);
        for (key, work_ms) in keys {
            self.loads[usize::from(*key)] += *work_ms as f32;
            self.work_ms += f64::from(*work_ms);
        }
    }

    /// Lets older requests count less.
    pub fn decay(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at);
        self.at = now;
        let factor = 0.5_f32.powf(passed.as_secs_f32() / HALF_LIFE.as_secs_f32());
        self.requests *= f64::from(factor);
        self.work_ms *= f64::from(factor);
        for load in &mut self.loads {
            *load *= factor;
        }
    }

    /// The work that one request brings, in milliseconds.
    #[must_use]
    pub fn grain(&self) -> f64 {
        if self.requests > 0.0 {
            self.work_ms / self.requests
        } else {
            0.0
        }
    }

    /// The work that a load stands for, in milliseconds a second.
    #[must_use]
    pub fn rate(load: f64) -> f64 {
        load * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
    }

    /// The work of each key, in milliseconds.
    #[must_use]
    pub fn loads(&self) -> &[f32] {
        &self.loads
    }
}
