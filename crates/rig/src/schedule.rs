//! The offered load, drawn from a seed: the same seed gives the same requests at the same times.

use std::time::Duration;

use crate::scenario::{Load, Scenario};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rand_distr::{Distribution, Exp1, Zipf};
use uuid::{Builder, Uuid};

/// A request to offer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offer {
    /// When it is due, from the start of the load.
    pub at: Duration,
    /// The service.
    pub service: String,
    /// The key.
    pub key: String,
    /// A number that no other offer has, so that its answer is told from others'.
    pub number: u64,
    /// Its idempotency key, if it is not repeatable.
    pub once: Option<Once>,
}

/// The random part of an idempotency key; the time part is that of the sending.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Once {
    random: [u8; 10],
}

impl Once {
    /// The next one that a generator gives.
    #[must_use]
    pub fn new(random: &mut impl RngExt) -> Self {
        Self {
            random: random.random(),
        }
    }

    /// The idempotency key of a request that is made at `unix` after the epoch.
    #[must_use]
    pub fn id(self, unix: Duration) -> Uuid {
        let millis = u64::try_from(unix.as_millis()).unwrap_or(u64::MAX);
        Builder::from_unix_timestamp_millis(millis, &self.random).into_uuid()
    }
}

/// All offers of a scenario, in the order of their times.
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
    let keys = Keys::new(load);
    let mut at = Duration::ZERO;
    loop {
        let pause: f64 = Exp1.sample(random);
        at += Duration::from_secs_f64(pause / rate_at(load, at).max(f64::MIN_POSITIVE));
        if at >= duration {
            return;
        }
        let once = random.random_bool(load.once.clamp(0.0, 1.0));
        all.push(Offer {
            at,
            service: load.service.clone(),
            key: keys.draw(at, random),
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

/// Draws keys, the first ranks most often.
struct Keys<'a> {
    load: &'a Load,
    ranks: Option<Zipf<f64>>,
}

impl<'a> Keys<'a> {
    fn new(load: &'a Load) -> Self {
        let zipf = (load.skew > 0.0).then(|| Zipf::new(load.keys as f64, load.skew).ok());
        Self {
            load,
            ranks: zipf.flatten(),
        }
    }

    fn draw(&self, at: Duration, random: &mut StdRng) -> String {
        let rank = match &self.ranks {
            Some(zipf) => zipf.sample(random) as u64 - 1,
            None => random.random_range(0..self.load.keys),
        };
        let era = match self.load.hot_keys_change {
            Some(every) => at.as_millis() / every.as_millis().max(1),
            None => 0,
        };
        // Each era gives the hot ranks to other keys.
        let key = (rank + u64::try_from(era).unwrap_or(0) * 7919) % self.load.keys;
        format!("k{key}")
    }
}
