//! A budget of bytes for what a process buffers for callers and upstreams.
//!
//! A [`Permit`] is acquired before bytes are read, and is then owned by them: [`Permit::bind`] returns bytes that
//! release the permit when their last clone is dropped, whether they were written, cancelled, or left in the queue of a
//! closed connection.
//!
//! A streamed body reserves its chunks through a [`Flow`]. When the budget is exhausted, each flow may still hold one
//! chunk at a time, so that every body makes progress regardless of how much is held for the readers of others.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;
use prometheus_client::{
    metrics::{counter::Counter, gauge::Gauge},
    registry::Registry,
};
use tokio::sync::Notify;

/// The bytes that are reserved for the next chunk of a body, and the maximum size of a read from an upstream under a
/// limit. Reads are kept small because the budget does not include what the HTTP library reads ahead.
pub const CHUNK_BYTES: usize = 8 << 10;

/// The budget is the memory of the process divided by this. The rest is for connections, tables and code.
const MEMORY_DIVISOR: usize = 4;

/// The share of the budget that responses may use, in quarters. The rest is left for request bodies, so that slow
/// readers of responses do not cause requests with a body to be refused.
const RESPONSE_QUARTERS: usize = 3;

/// A budget of bytes; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Budget {
    /// `None` if there is no limit.
    shared: Option<Arc<Shared>>,
}

#[derive(Debug)]
struct Shared {
    limit_bytes: usize,
    used_bytes: AtomicUsize,
    metrics: Metrics,
}

#[derive(Debug, Default)]
struct Metrics {
    used: Gauge,
    limit: Gauge,
    streamed: Counter,
    paced: Counter,
    refused: Counter,
}

/// Bytes of a budget, which are released on drop.
#[derive(Debug)]
pub struct Permit {
    shared: Option<Arc<Shared>>,
    flow: Option<Arc<Held>>,
    bytes: usize,
}

/// The chunks of one streamed body.
#[derive(Debug)]
pub struct Flow {
    budget: Budget,
    held: Arc<Held>,
}

/// The chunks of one flow that are in memory.
#[derive(Debug, Default)]
struct Held {
    /// The number of permits.
    permits: AtomicUsize,
    /// Signals that a permit was released.
    released: Notify,
}

/// Bytes that own their permit.
struct Bound {
    /// A copy, since a slice of a read buffer would keep the whole buffer in memory, which is not in the budget.
    bytes: Box<[u8]>,
    #[expect(dead_code, reason = "held until the bytes are dropped")]
    permit: Permit,
}

impl AsRef<[u8]> for Bound {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Budget {
    /// Creates a budget without a limit.
    #[must_use]
    pub fn unlimited() -> Self {
        Self::default()
    }

    /// Creates a budget of `limit_bytes`.
    #[must_use]
    pub fn new(limit_bytes: usize) -> Self {
        let metrics = Metrics::default();
        metrics.limit.set(gauge_value(limit_bytes));
        Self {
            shared: Some(Arc::new(Shared {
                limit_bytes,
                used_bytes: AtomicUsize::new(0),
                metrics,
            })),
        }
    }

    /// Creates the budget of a process that is killed when it uses `memory_bytes`; `None` gives a budget without a
    /// limit.
    #[must_use]
    pub fn of_process(memory_bytes: Option<usize>) -> Self {
        memory_bytes.map_or_else(Self::unlimited, |bytes| Self::new(bytes / MEMORY_DIVISOR))
    }

    /// Registers the metrics, if the budget has a limit.
    pub fn register(&self, registry: &mut Registry) {
        let Some(shared) = &self.shared else { return };
        let registry = registry.sub_registry_with_prefix("memory");
        let metrics = &shared.metrics;
        registry.register(
            "buffered_bytes",
            "Bytes of bodies that are buffered",
            metrics.used.clone(),
        );
        registry.register(
            "buffered_limit_bytes",
            "The bytes that may be buffered",
            metrics.limit.clone(),
        );
        registry.register(
            "streamed",
            "Short responses that were not read whole, as there was no room",
            metrics.streamed.clone(),
        );
        registry.register(
            "paced",
            "Chunks that were not read until the one before was written, as there was no room",
            metrics.paced.clone(),
        );
        registry.register(
            "refused",
            "Requests with a body that were refused, as there was no room",
            metrics.refused.clone(),
        );
    }

    /// Acquires the bytes of a response that is read whole; `None` if they exceed the share of responses.
    #[must_use]
    pub fn try_response(&self, bytes: usize) -> Option<Permit> {
        let permit = self.try_acquire(bytes, Shared::response_limit);
        if permit.is_none() {
            self.count(|metrics| &metrics.streamed);
        }
        permit
    }

    /// Acquires the bytes of a request body; `None` if they exceed the budget.
    #[must_use]
    pub fn try_request(&self, bytes: usize) -> Option<Permit> {
        let permit = self.try_acquire(bytes, |shared| shared.limit_bytes);
        if permit.is_none() {
            self.count(|metrics| &metrics.refused);
        }
        permit
    }

    /// Creates the flow of a streamed body.
    #[must_use]
    pub fn flow(&self) -> Flow {
        Flow {
            budget: self.clone(),
            held: Arc::default(),
        }
    }

    /// Returns whether another chunk of a response fits into the budget.
    #[must_use]
    pub fn has_capacity(&self) -> bool {
        self.shared.as_ref().is_none_or(|shared| {
            shared.used_bytes.load(Ordering::Acquire) + CHUNK_BYTES <= shared.response_limit()
        })
    }

    /// Returns the maximum size of a read; `None` if there is no limit.
    #[must_use]
    pub fn read_bytes(&self) -> Option<usize> {
        self.shared.as_ref().map(|_| CHUNK_BYTES)
    }

    /// Returns the number of bytes in use.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        let shared = self.shared.as_ref();
        shared.map_or(0, |shared| shared.used_bytes.load(Ordering::Acquire))
    }

    fn try_acquire(&self, bytes: usize, limit: fn(&Shared) -> usize) -> Option<Permit> {
        if let Some(shared) = &self.shared
            && !shared.try_add(bytes, limit(shared))
        {
            return None;
        }
        Some(Permit {
            shared: self.shared.clone(),
            flow: None,
            bytes,
        })
    }

    fn count(&self, counter: impl Fn(&Metrics) -> &Counter) {
        if let Some(shared) = &self.shared {
            counter(&shared.metrics).inc();
        }
    }
}

impl Shared {
    fn response_limit(&self) -> usize {
        self.limit_bytes / 4 * RESPONSE_QUARTERS
    }

    fn try_add(&self, bytes: usize, limit: usize) -> bool {
        let add = |used: usize| used.checked_add(bytes).filter(|used| *used <= limit);
        let added = self
            .used_bytes
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, add);
        if added.is_ok() {
            self.metrics.used.inc_by(gauge_value(bytes));
        }
        added.is_ok()
    }

    /// Adds bytes that are in memory already, even if they exceed the limit.
    fn add(&self, bytes: usize) {
        self.used_bytes.fetch_add(bytes, Ordering::AcqRel);
        self.metrics.used.inc_by(gauge_value(bytes));
    }

    fn remove(&self, bytes: usize) {
        self.used_bytes.fetch_sub(bytes, Ordering::AcqRel);
        self.metrics.used.dec_by(gauge_value(bytes));
    }
}

impl Flow {
    /// Reserves the next chunk: immediately if it fits into the budget, and otherwise once all earlier chunks were
    /// dropped.
    ///
    /// If the future is dropped, nothing is acquired.
    pub async fn reserve(&self, bytes: usize) -> Permit {
        let Some(shared) = &self.budget.shared else {
            return Permit {
                shared: None,
                flow: None,
                bytes,
            };
        };
        let mut is_paced = false;
        while !shared.try_add(bytes, shared.response_limit()) {
            if self.held.permits.load(Ordering::Acquire) == 0 {
                // One chunk of each body may exceed the budget, so that every body makes progress.
                shared.add(bytes);
                break;
            }
            if !is_paced {
                is_paced = true;
                shared.metrics.paced.inc();
            }
            self.held.released.notified().await;
        }
        self.held.permits.fetch_add(1, Ordering::AcqRel);
        Permit {
            shared: Some(shared.clone()),
            flow: Some(self.held.clone()),
            bytes,
        }
    }
}

impl Permit {
    /// Adjusts the permit to the number of bytes that were actually read, even if they exceed the limit.
    pub fn resize(&mut self, bytes: usize) {
        if let Some(shared) = &self.shared {
            match bytes.checked_sub(self.bytes) {
                Some(more) => shared.add(more),
                None => shared.remove(self.bytes - bytes),
            }
        }
        self.bytes = bytes;
    }

    /// Resizes the permit to the length of `bytes`, and returns bytes that own it until their last clone is dropped.
    #[must_use]
    pub fn bind(mut self, bytes: Bytes) -> Bytes {
        if self.shared.is_none() || bytes.is_empty() {
            return bytes;
        }
        self.resize(bytes.len());
        Bytes::from_owner(Bound {
            bytes: bytes.as_ref().into(),
            permit: self,
        })
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(shared) = &self.shared {
            shared.remove(self.bytes);
        }
        if let Some(held) = &self.flow {
            held.permits.fetch_sub(1, Ordering::AcqRel);
            held.released.notify_one();
        }
    }
}

fn gauge_value(bytes: usize) -> i64 {
    i64::try_from(bytes).unwrap_or(i64::MAX)
}

#[cfg(test)]
mod tests;
