//! When a reader appends a snapshot, so that retention never takes what only the log holds.

use std::time::Duration;

use crate::id::{DaemonName, LogOffset};
use xxhash_rust::xxh3::xxh3_64;

/// The time between snapshots; must be well below the time that the log keeps records.
pub const EVERY: Duration = Duration::from_mins(10);
/// Records after which a snapshot is due earlier.
pub const RECORDS_MAX: u64 = 512;
/// The shortest wait before a snapshot that puts back what the log has lost.
pub const URGENT_AFTER: Duration = Duration::from_millis(500);

/// The shortest wait before a reader that misses records goes on without them.
pub const STRANDED_AFTER: Duration = Duration::from_secs(5);

/// What the decision rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Need {
    /// Time since a snapshot was last read, or since this reader started.
    pub since: Duration,
    /// Records read since then.
    pub records: u64,
    /// How long the log has lacked something that this reader holds.
    pub urgent: Option<Duration>,
    /// How long this reader has missed records that no snapshot stood in for.
    pub stranded: Option<Duration>,
}

/// Whether a reader should append a snapshot now.
///
/// Every reader decides for itself; `spread`, from 0 to 1, makes them decide at different times,
/// and one whose snapshot is read by the others makes them wait again.
#[must_use]
pub fn is_due(need: &Need, every: Duration, spread: f64) -> bool {
    if let Some(lacking) = need.urgent {
        return lacking >= URGENT_AFTER.mul_f64(1.0 + 3.0 * spread);
    }
    if let Some(stranded) = need.stranded {
        return stranded >= STRANDED_AFTER.mul_f64(1.0 + spread);
    }
    let late = 1.0 + spread / 4.0;
    need.since >= every.mul_f64(late) || need.records as f64 >= RECORDS_MAX as f64 * late
}

/// A reader's spread after the snapshot at `offset`: differs between readers and between times.
#[must_use]
pub fn spread_of(reader: &DaemonName, offset: LogOffset) -> f64 {
    let hash = xxh3_64(format!("{reader}/{offset}").as_bytes());
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
