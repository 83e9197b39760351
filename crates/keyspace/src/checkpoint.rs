//! Decides when a reader appends a snapshot, so that retention never removes state that only the
//! log holds.

use std::time::Duration;

use crate::id::{DaemonName, LogOffset};
use xxhash_rust::xxh3::xxh3_64;

/// The period of snapshots; must be well below the retention time of the log.
pub const PERIOD: Duration = Duration::from_mins(10);
/// The number of records after which a snapshot is due even before the period has passed.
pub const RECORDS_MAX: u64 = 512;
/// The shortest delay before a snapshot that restores records lost by the log.
pub const RESTORE_DELAY_MIN: Duration = Duration::from_millis(500);

/// The shortest wait of a reader with missing records before it continues without them.
pub const GAP_WAIT_MIN: Duration = Duration::from_secs(5);

/// The inputs of the decision whether a snapshot is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Need {
    /// The time since a snapshot was last read, or since this reader started.
    pub since_snapshot: Duration,
    /// The number of records read since then.
    pub records: u64,
    /// How long the log has lacked records that this reader has read.
    pub ahead_for: Option<Duration>,
    /// How long this reader has lacked records that no snapshot replaced.
    pub gap_for: Option<Duration>,
}

/// Whether a reader should append a snapshot now.
///
/// Every reader decides for itself. The factor `jitter`, from 0 to 1, makes them decide at
/// different times; once the others have read the first one's snapshot, they wait again.
#[must_use]
pub fn is_due(need: &Need, period: Duration, jitter: f64) -> bool {
    if let Some(missing_for) = need.ahead_for {
        return missing_for >= RESTORE_DELAY_MIN.mul_f64(1.0 + 3.0 * jitter);
    }
    if let Some(gap_for) = need.gap_for {
        return gap_for >= GAP_WAIT_MIN.mul_f64(1.0 + jitter);
    }
    let delay_factor = 1.0 + jitter / 4.0;
    need.since_snapshot >= period.mul_f64(delay_factor)
        || need.records as f64 >= RECORDS_MAX as f64 * delay_factor
}

/// Returns a reader's jitter after the snapshot at `offset`, which differs by reader and offset.
#[must_use]
pub fn jitter_of(reader: &DaemonName, offset: LogOffset) -> f64 {
    let hash = xxh3_64(format!("{reader}/{offset}").as_bytes());
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
