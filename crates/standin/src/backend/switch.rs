//! What can be switched on a running stand-in, and what it counts.

use std::{
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use copperwell_backend::order::Load;

/// Header fields by which a request asks for a fault.
pub mod header {
    /// [`CRASH`] or [`HALF`].
    pub const FAULT: &str = "x-standin";
    /// The server stops when the request starts to run.
    pub const CRASH: &str = "crash";
    /// The server closes the connection after half of its answer.
    pub const HALF: &str = "half";
    /// How long the request runs, in milliseconds, instead of the server's own time.
    pub const SERVICE_MS: &str = "x-standin-ms";
    /// How many bytes of padding its answer has.
    pub const PADDING: &str = "x-standin-padding";
}

/// Switches that outlast a restart.
#[derive(Debug, Default)]
pub(super) struct Switches {
    pub(super) drain: AtomicBool,
    pub(super) shed: AtomicBool,
    pub(super) half_answer: AtomicBool,
    answer_delay_ms: AtomicU64,
    misleading: Mutex<Option<Load>>,
}

/// What a stand-in counts over all its runs.
#[derive(Debug, Default)]
pub(super) struct Counters {
    pub(super) connections: AtomicU64,
    pub(super) cancelled: AtomicU64,
    pub(super) refused: AtomicU64,
    pub(super) running: AtomicU32,
    pub(super) running_max: AtomicU32,
    pub(super) crashes: AtomicU64,
}

/// A reading of a stand-in's counters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Connections accepted so far.
    pub connections: u64,
    /// Requests whose caller went away before the answer.
    pub cancelled: u64,
    /// Requests refused without running them.
    pub refused: u64,
    /// Requests that run now.
    pub running: u32,
    /// The most requests that ever ran at a time.
    pub running_max: u32,
    /// Stops caused by a marked request.
    pub crashes: u64,
}

impl Switches {
    pub(super) fn answer_delay(&self) -> Duration {
        Duration::from_millis(self.answer_delay_ms.load(Ordering::Acquire))
    }

    pub(super) fn set_answer_delay(&self, delay: Duration) {
        let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.answer_delay_ms.store(millis, Ordering::Release);
    }

    pub(super) fn misleading(&self) -> Option<Load> {
        self.misleading
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    pub(super) fn set_misleading(&self, load: Option<Load>) {
        *self
            .misleading
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = load;
    }
}

impl Counters {
    pub(super) fn read(&self) -> Counts {
        Counts {
            connections: self.connections.load(Ordering::Acquire),
            cancelled: self.cancelled.load(Ordering::Acquire),
            refused: self.refused.load(Ordering::Acquire),
            running: self.running.load(Ordering::Acquire),
            running_max: self.running_max.load(Ordering::Acquire),
            crashes: self.crashes.load(Ordering::Acquire),
        }
    }
}
