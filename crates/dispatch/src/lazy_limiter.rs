//! A concurrency limiter that is created by its first request.
//!
//! A daemon knows all upstreams but sends to few, so most of them never need a limiter here.
//!
//! Lock order: the limits, then the limiter's own lock.

use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use crate::limiter::Limiter;

/// The limiter of an upstream, created by the first request for it.
#[derive(Debug)]
pub(crate) struct LazyLimiter {
    limits: Mutex<Limits>,
    limiter: OnceLock<Arc<Limiter>>,
}

/// The limits that the manifest sets for an upstream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limits {
    /// Requests that the upstream runs concurrently.
    pub(crate) slots: u32,
    /// Requests that may queue for it.
    pub(crate) queue: u32,
}

impl LazyLimiter {
    pub(crate) fn new(limits: Limits) -> Self {
        Self {
            limits: Mutex::new(limits),
            limiter: OnceLock::new(),
        }
    }

    /// Returns the limiter, creating it if there is none yet.
    pub(crate) fn get_or_create(&self) -> &Arc<Limiter> {
        if let Some(limiter) = self.limiter.get() {
            return limiter;
        }
        // The lock is held until the limiter is stored, so that it misses no change of limits.
        let limits = self.limits();
        self.limiter
            .get_or_init(|| Arc::new(Limiter::new(limits.slots, limits.queue)))
    }

    /// Returns the limiter if a request has created it.
    pub(crate) fn get(&self) -> Option<&Arc<Limiter>> {
        self.limiter.get()
    }

    /// Applies the limits of a new manifest.
    pub(crate) fn resize(&self, limits: Limits) {
        let mut current = self.limits();
        *current = limits;
        if let Some(limiter) = self.limiter.get() {
            limiter.resize(limits.slots, limits.queue);
        }
    }

    fn limits(&self) -> MutexGuard<'_, Limits> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
