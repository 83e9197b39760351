//! When to read the platform's list of VMs, which lags and grows with the number of VMs.

use std::time::Duration;

use tokio::time::Instant;

/// Minimum interval between two reads.
pub const INTERVAL_MIN: Duration = Duration::from_secs(1);

/// Interval between two routine reads for each VM on the list.
const ROUTINE_INTERVAL_PER_VM: Duration = Duration::from_millis(120);

/// Minimum interval between two routine reads.
const ROUTINE_INTERVAL_MIN: Duration = Duration::from_secs(10);

/// Why the list should be read, in order of decreasing urgency.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// A group waits for evidence that a VM is gone.
    Evidence,
    /// A live member is not on the list, or hardly any member is known. Only a VM that was seen on
    /// the list can be detected as removed from it.
    Unlisted,
    /// No information is missing.
    Routine,
}

/// Spaces the reads of the list.
///
/// A live member may be missing from the list while it lags, or for good, so the intervals between
/// reads for [`Need::Unlisted`] double. Only a waiting group justifies a read every second.
#[derive(Debug, Clone, Default)]
pub struct Schedule {
    last: Option<Read>,
}

#[derive(Debug, Clone, Copy)]
struct Read {
    at: Instant,
    need: Need,
    interval: Duration,
}

impl Schedule {
    /// Creates a schedule whose first read is due at once.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether a read is due, given the number of VMs on the list so far.
    #[must_use]
    pub fn is_due(&self, need: Need, listed: usize, now: Instant) -> bool {
        let Some(last) = self.last else { return true };
        let interval = if last.need == need {
            last.interval
        } else {
            initial_interval(need, listed)
        };
        now >= last.at + interval
    }

    /// Records a read, successful or not.
    pub fn record_read(&mut self, need: Need, listed: usize, now: Instant) {
        let previous = self.last.filter(|last| last.need == need);
        let interval = match previous {
            Some(last) if need == Need::Unlisted => routine_interval(listed).min(2 * last.interval),
            _ => initial_interval(need, listed),
        };
        self.last = Some(Read {
            at: now,
            need,
            interval,
        });
    }
}

fn initial_interval(need: Need, listed: usize) -> Duration {
    match need {
        Need::Evidence | Need::Unlisted => INTERVAL_MIN,
        Need::Routine => routine_interval(listed),
    }
}

fn routine_interval(listed: usize) -> Duration {
    let interval =
        ROUTINE_INTERVAL_PER_VM.saturating_mul(u32::try_from(listed).unwrap_or(u32::MAX));
    interval.max(ROUTINE_INTERVAL_MIN)
}
