//! Counts refused control connections, and logs when a version mismatch starts or ends.

use std::{
    net::IpAddr,
    sync::{Arc, Mutex, PoisonError},
};

use super::Refusal;
use copperwell_keyspace::HashSet;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};
use spdlog::{info, warn};

/// Maximum number of remembered addresses with a version mismatch; beyond it all are forgotten, and
/// logged again on their next connection.
const MISMATCHED_MAX: usize = 4096;

/// Counters of refused control connections; cheap to clone, and clones share the counters.
#[derive(Debug, Clone, Default)]
pub struct Refusals {
    count: Family<Label, Counter>,
    /// Addresses of daemons that last connected with another version.
    mismatched: Arc<Mutex<HashSet<IpAddr>>>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Label {
    reason: &'static str,
}

impl Refusals {
    /// Creates counters that start at zero.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers the counter.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "control_refused",
            "Control connections of others that were refused",
            self.count.clone(),
        );
    }

    /// Returns the number of connections that were refused for a reason.
    #[must_use]
    pub fn count(&self, refusal: Refusal) -> u64 {
        self.counter(refusal).get()
    }

    /// Counts a refused connection, and logs a new version mismatch.
    pub(super) fn record_refused(&self, source: IpAddr, refusal: Refusal) {
        self.counter(refusal).inc();
        if matches!(refusal, Refusal::Version(_)) && self.insert_mismatched(source) {
            warn!("refused control connection from {source}: {refusal}; upgrade the older daemon");
        }
    }

    /// Records an accepted connection, and logs the end of a version mismatch.
    pub(super) fn record_accepted(&self, source: IpAddr) {
        let mut mismatched = self
            .mismatched
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if mismatched.remove(&source) {
            info!("accepting control connections from {source} again: protocol versions match");
        }
    }

    fn counter(&self, refusal: Refusal) -> Counter {
        let reason = refusal.as_str();
        self.count.get_or_create_owned(&Label { reason })
    }

    /// Remembers a version mismatch; true if it is new.
    fn insert_mismatched(&self, source: IpAddr) -> bool {
        let mut mismatched = self
            .mismatched
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if mismatched.len() >= MISMATCHED_MAX {
            mismatched.clear();
        }
        mismatched.insert(source)
    }
}
