//! A gate that is made for the first request that comes to it.
//!
//! A daemon knows of all upstreams and sends to few, so that most of them never need a gate here.
//!
//! Lock order: the limits, then the gate's own lock.

use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use crate::gate::Gate;

/// An upstream's gate, if any request has come to it.
#[derive(Debug)]
pub(crate) struct Cell {
    limits: Mutex<Limits>,
    gate: OnceLock<Arc<Gate>>,
}

/// What the manifest allows.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limits {
    /// Requests that the upstream runs at a time.
    pub(crate) slots: u32,
    /// Requests that wait for it.
    pub(crate) queue: u32,
}

impl Cell {
    pub(crate) fn new(limits: Limits) -> Self {
        Self {
            limits: Mutex::new(limits),
            gate: OnceLock::new(),
        }
    }

    /// The gate, made now if there was none.
    pub(crate) fn gate(&self) -> &Arc<Gate> {
        if let Some(gate) = self.gate.get() {
            return gate;
        }
        // Held until the gate can be found, so that no change of limits is missed.
        let limits = self.limits();
        self.gate
            .get_or_init(|| Arc::new(Gate::new(limits.slots, limits.queue)))
    }

    /// The gate, if a request has come to it.
    pub(crate) fn made(&self) -> Option<&Arc<Gate>> {
        self.gate.get()
    }

    /// Takes in what a new manifest allows.
    pub(crate) fn resize(&self, limits: Limits) {
        let mut held = self.limits();
        *held = limits;
        if let Some(gate) = self.gate.get() {
            gate.resize(limits.slots, limits.queue);
        }
    }

    fn limits(&self) -> MutexGuard<'_, Limits> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
