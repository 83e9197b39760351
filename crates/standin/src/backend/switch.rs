//! The settings of a stand-in that can change while it runs, and its counters.

use std::{
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use copperwell_backend::order::Load;

/// Header fields by which a request asks for a fault or a certain answer.
pub mod header {
    /// The fault: [`CRASH`] or [`HALF`].
    pub const FAULT: &str = "x-standin";
    /// The server crashes when the request starts to run.
    pub const CRASH: &str = "crash";
    /// The server closes the connection after half of the answer.
    pub const HALF: &str = "half";
    /// The service time of the request, in milliseconds; overrides the server's own.
    pub const SERVICE_MS: &str = "x-standin-ms";
    /// The size of the padding in the answer, in bytes.
    pub const PADDING: &str = "x-standin-padding";
}

/// Settings that can change while the server runs; they persist across restarts.
#[derive(Debug, Default)]
pub(super) struct Switches {
    pub(super) drain: AtomicBool,
    pub(super) shed: AtomicBool,
    pub(super) half_answer: AtomicBool,
    answer_delay_ms: AtomicU64,
    load_override: Mutex<Option<Load>>,
}

/// Counters of a stand-in over all its runs.
#[derive(Debug, Default)]
pub(super) struct Counters {
    pub(super) connections: AtomicU64,
    pub(super) cancelled: AtomicU64,
    pub(super) refused: AtomicU64,
    pub(super) running: AtomicU32,
    pub(super) running_max: AtomicU32,
    pub(super) crashes: AtomicU64,
}

/// The values of a stand-in's counters at one instant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Connections accepted so far.
    pub connections: u64,
    /// Requests whose caller disconnected before the answer.
    pub cancelled: u64,
    /// Requests refused without running them.
    pub refused: u64,
    /// Requests that are running.
    pub running: u32,
    /// The highest number of requests that ran at the same time.
    pub running_max: u32,
    /// Crashes caused by a request with the [`header::CRASH`] fault.
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

    pub(super) fn load_override(&self) -> Option<Load> {
        self.load_override
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    pub(super) fn set_load_override(&self, load: Option<Load>) {
        *self
            .load_override
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
