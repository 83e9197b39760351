//! Sampled counts of the most requested keys of a service.

use std::{
    sync::{
        Mutex, PoisonError, TryLockError,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use copperwell_policy::sketch::Sketch;
use tokio::time::Instant;

/// Every n-th request is counted. A prime, so that callers with a regular pattern of keys do not
/// line up with the sampling.
const SAMPLE_INTERVAL: u32 = 7;

/// The number of keys tracked for each service.
const TRACKED_KEYS_MAX: usize = 128;

/// Longer keys are not counted, which bounds memory.
const KEY_MAX_BYTES: usize = 256;

/// The time after which a request counts half.
const HALF_LIFE: Duration = Duration::from_secs(20);

/// The number of keys reported for each service.
const REPORTED_KEYS_MAX: usize = 8;

/// Counts keys in bounded memory and never makes a request wait.
#[derive(Debug)]
pub(crate) struct KeyCounter {
    requests: AtomicU32,
    counts: Mutex<Counts>,
}

/// A key and its share of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct KeyShare {
    /// The key.
    pub(crate) key: String,
    /// Thousandths of the requests; a lower bound, never more than was counted for this key.
    pub(crate) permille: u32,
}

#[derive(Debug)]
struct Counts {
    sketch: Sketch,
    decayed_at: Instant,
}

impl KeyCounter {
    pub(crate) fn new() -> Self {
        Self {
            requests: AtomicU32::new(0),
            counts: Mutex::new(Counts {
                sketch: Sketch::new(TRACKED_KEYS_MAX),
                decayed_at: Instant::now(),
            }),
        }
    }

    /// Counts a request, or skips it while the counts are locked.
    pub(crate) fn count(&self, key: &str, now: Instant) {
        let requests = self.requests.fetch_add(1, Ordering::Relaxed);
        if !requests.is_multiple_of(SAMPLE_INTERVAL) || key.len() > KEY_MAX_BYTES {
            return;
        }
        let mut counts = match self.counts.try_lock() {
            Ok(counts) => counts,
            Err(TryLockError::Poisoned(poisoned)) => poisoned.into_inner(),
            Err(TryLockError::WouldBlock) => return,
        };
        counts.decay(now);
        counts.sketch.add(key);
    }

    /// Returns the most requested keys, in descending order of requests.
    pub(crate) fn top(&self, now: Instant) -> Vec<KeyShare> {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.decay(now);
        let total = counts.sketch.total().max(1);
        let hot = counts
            .sketch
            .top(REPORTED_KEYS_MAX)
            .into_iter()
            .map(|hot| KeyShare {
                key: hot.key.to_string(),
                permille: permille(hot.count - hot.error, total),
            });
        // A key that was counted only once or twice is not significant.
        hot.filter(|share| share.permille > 0).collect()
    }
}

impl Counts {
    fn decay(&mut self, now: Instant) {
        while self.sketch.total() > 0 && self.decayed_at + HALF_LIFE <= now {
            self.sketch.decay();
            self.decayed_at += HALF_LIFE;
        }
        if self.sketch.total() == 0 {
            self.decayed_at = now;
        }
    }
}

fn permille(count: u64, total: u64) -> u32 {
    u32::try_from(count * 1000 / total).unwrap_or(u32::MAX)
}
