//! The keys of a service that are asked for most.

use std::{
    sync::{
        Mutex, PoisonError, TryLockError,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use copperwell_policy::sketch::Sketch;
use tokio::time::Instant;

/// One in so many requests is counted. A prime, so that callers with a period don't fall in step.
const SAMPLE: u32 = 7;

/// Keys that are kept for each service.
const CAPACITY: usize = 128;

/// Longer keys are not counted, in bytes, so that memory is bounded.
const KEY_MAX: usize = 256;

/// After this time a request counts half.
const HALF_LIFE: Duration = Duration::from_secs(20);

/// Keys that are told for each service.
const TOLD: usize = 8;

/// Counts keys in bounded memory; no request ever waits for it.
#[derive(Debug)]
pub(crate) struct Hot {
    seen: AtomicU32,
    counts: Mutex<Counts>,
}

/// A key and its part of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Part {
    /// The key.
    pub(crate) key: String,
    /// In thousandths of the requests; never more than was counted for this key.
    pub(crate) permille: u32,
}

#[derive(Debug)]
struct Counts {
    sketch: Sketch,
    faded: Instant,
}

impl Hot {
    pub(crate) fn new() -> Self {
        Self {
            seen: AtomicU32::new(0),
            counts: Mutex::new(Counts {
                sketch: Sketch::new(CAPACITY),
                faded: Instant::now(),
            }),
        }
    }

    /// Counts a request, or leaves it out if another one is just being counted.
    pub(crate) fn count(&self, key: &str, now: Instant) {
        let seen = self.seen.fetch_add(1, Ordering::Relaxed);
        if !seen.is_multiple_of(SAMPLE) || key.len() > KEY_MAX {
            return;
        }
        let mut counts = match self.counts.try_lock() {
            Ok(counts) => counts,
            Err(TryLockError::Poisoned(poisoned)) => poisoned.into_inner(),
            Err(TryLockError::WouldBlock) => return,
        };
        counts.fade(now);
        counts.sketch.add(key);
    }

    /// The keys that are asked for most, the first one first.
    pub(crate) fn top(&self, now: Instant) -> Vec<Part> {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.fade(now);
        let total = counts.sketch.total().max(1);
        let hot = counts.sketch.top(TOLD).into_iter().map(|hot| Part {
            key: hot.key.to_string(),
            permille: permille(hot.count - hot.error, total),
        });
        // A key that was counted once or twice says nothing.
        hot.filter(|part| part.permille > 0).collect()
    }
}

impl Counts {
    fn fade(&mut self, now: Instant) {
        while self.sketch.total() > 0 && self.faded + HALF_LIFE <= now {
            self.sketch.fade();
            self.faded += HALF_LIFE;
        }
        if self.sketch.total() == 0 {
            self.faded = now;
        }
    }
}

fn permille(count: u64, total: u64) -> u32 {
    u32::try_from(count * 1000 / total).unwrap_or(u32::MAX)
}
