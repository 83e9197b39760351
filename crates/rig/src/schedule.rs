//! Generates the offered load from a seed: the same seed gives the same requests at the same times.

use std::time::Duration;

use crate::scenario::{Load, Scenario};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rand_distr::{Distribution, Exp1, Zipf};
use uuid::{Builder, Uuid};

/// A request that is due at a given time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offer {
    /// When the request is due, from the start of the load.
    pub at: Duration,
    /// The service.
    pub service: String,
    /// The key.
    pub key: String,
    /// A unique number, which identifies the answer to this request.
    pub number: u64,
    /// The random part of the idempotency key, if the request is not repeatable.
    pub once: Option<Once>,
}

/// The random part of an idempotency key.
///
/// The key is a UUIDv7, whose time part is set when the request is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Once {
    random: [u8; 10],
}

impl Once {
    /// Creates the random part with a generator.
    #[must_use]
    pub fn new(random: &mut impl RngExt) -> Self {
        Self {
            random: random.random(),
        }
    }

    /// Returns the idempotency key of a request that is sent at `since_epoch`, a Unix time.
    #[must_use]
    pub fn id(self, since_epoch: Duration) -> Uuid {
        let millis = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
        Builder::from_unix_timestamp_millis(millis, &self.random).into_uuid()
    }
}

/// Returns all offers of a scenario, ordered by the time at which they are due.
#[must_use]
pub fn offers(scenario: &Scenario, seed: u64) -> Vec<Offer> {
    let mut all = Vec::new();
    for (index, load) in (0..).zip(&scenario.load) {
        let mut random = StdRng::seed_from_u64(seed.wrapping_mul(31).wrapping_add(index));
        offers_of(load, scenario.duration, &mut random, &mut all);
    }
    all.sort_by_key(|offer| offer.at);
    for (number, offer) in (0..).zip(&mut all) {
        offer.number = number;
    }
    all
}

fn offers_of(load: &Load, duration: Duration, random: &mut StdRng, all: &mut Vec<Offer>) {
    let keys = KeySampler::new(load);
    let mut at = Duration::ZERO;
    loop {
        // Exponential intervals between requests make the arrivals a Poisson process.
        let interval: f64 = Exp1.sample(random);
        at += Duration::from_secs_f64(interval / rate_at(load, at).max(f64::MIN_POSITIVE));
        if at >= duration {
            return;
        }
        let once = random.random_bool(load.once.clamp(0.0, 1.0));
        all.push(Offer {
            at,
            service: load.service.clone(),
            key: keys.sample(at, random),
            number: 0,
            once: once.then(|| Once::new(random)),
        });
    }
}

fn rate_at(load: &Load, at: Duration) -> f64 {
    match &load.burst {
        Some(burst) if at >= burst.at && at < burst.at + burst.lasts => load.rate * burst.factor,
        _ => load.rate,
    }
}

/// Samples keys; the lowest ranks are the hottest.
struct KeySampler<'a> {
    load: &'a Load,
    zipf: Option<Zipf<f64>>,
}

impl<'a> KeySampler<'a> {
    fn new(load: &'a Load) -> Self {
        let zipf = (load.skew > 0.0).then(|| Zipf::new(load.keys as f64, load.skew).ok());
        Self {
            load,
            zipf: zipf.flatten(),
        }
    }

    fn sample(&self, at: Duration, random: &mut StdRng) -> String {
        let rank = match &self.zipf {
            Some(zipf) => zipf.sample(random) as u64 - 1,
            None => random.random_range(0..self.load.keys),
        };
        let period = match self.load.hot_keys_change {
            Some(every) => at.as_millis() / every.as_millis().max(1),
            None => 0,
        };
        // Shifts the ranks in each period, so that other keys become hot.
        let key = (rank + u64::try_from(period).unwrap_or(0) * 7919) % self.load.keys;
        format!("k{key}")
    }
}
