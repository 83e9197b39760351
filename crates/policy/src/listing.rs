//! When to read the platform's list of VMs, which is long where there are many, and lags.

use std::time::Duration;

use tokio::time::Instant;

/// The shortest time between two readings.
pub const INTERVAL: Duration = Duration::from_secs(1);

/// The time between two readings at rest, for each VM that is listed.
const REST_BY_VM: Duration = Duration::from_millis(120);

/// The shortest time between two readings at rest.
const REST_MIN: Duration = Duration::from_secs(10);

/// What a reading could bring; the most pressing first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// A group waits for the list to say that a VM is gone.
    Evidence,
    /// Somebody alive is not on the list, or hardly anybody is known. Only a VM that was seen on the
    /// list can be found to have left it.
    Unlisted,
    /// Nothing is missed.
    Rest,
}

/// Spaces the readings of the list.
///
/// A member may be missing for as long as the list lags, or for good, so the pauses grow. Only a group
/// that waits is worth a reading every second.
#[derive(Debug, Clone, Default)]
pub struct Schedule {
    read: Option<Reading>,
}

#[derive(Debug, Clone, Copy)]
struct Reading {
    at: Instant,
    need: Need,
    pause: Duration,
}

impl Schedule {
    /// A schedule by which the first reading is due at once.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether the list is to be read now, with `listed` VMs on it so far.
    #[must_use]
    pub fn is_due(&self, need: Need, listed: usize, now: Instant) -> bool {
        let Some(read) = self.read else { return true };
        let pause = if read.need == need {
            read.pause
        } else {
            first_pause(need, listed)
        };
        now >= read.at + pause
    }

    /// Notes a reading, also one that failed.
    pub fn note(&mut self, need: Need, listed: usize, now: Instant) {
        let before = self.read.filter(|read| read.need == need);
        let pause = match before {
            Some(read) if need == Need::Unlisted => rest(listed).min(2 * read.pause),
            _ => first_pause(need, listed),
        };
        self.read = Some(Reading {
            at: now,
            need,
            pause,
        });
    }
}

fn first_pause(need: Need, listed: usize) -> Duration {
    match need {
        Need::Evidence | Need::Unlisted => INTERVAL,
        Need::Rest => rest(listed),
    }
}

/// The time between two readings at rest.
fn rest(listed: usize) -> Duration {
    let by_vm = REST_BY_VM.saturating_mul(u32::try_from(listed).unwrap_or(u32::MAX));
    by_vm.max(REST_MIN)
}
