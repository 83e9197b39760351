//! Counts refused control connections, and tells when a daemon's version begins or ceases to differ.

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

/// Addresses remembered whose version differs; beyond it they are told of again.
const SOURCES_MAX: usize = 4096;

/// Refused control connections; cheap to clone, and clones share counters.
#[derive(Debug, Clone, Default)]
pub struct Refusals {
    count: Family<Label, Counter>,
    /// Where daemons of another version are.
    differing: Arc<Mutex<HashSet<IpAddr>>>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Label {
    reason: &'static str,
}

impl Refusals {
    /// None so far.
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

    /// Connections refused for a reason.
    #[must_use]
    pub fn count(&self, refusal: Refusal) -> u64 {
        self.counter(refusal).get()
    }

    /// Notes a connection that was refused.
    pub(super) fn refused(&self, source: IpAddr, refusal: Refusal) {
        self.counter(refusal).inc();
        if matches!(refusal, Refusal::Version(_)) && self.differs(source) {
            warn!("refusing control calls from {source}: {refusal}; upgrade the older daemon");
        }
    }

    /// Notes a connection that was taken.
    pub(super) fn taken(&self, source: IpAddr) {
        let mut differing = self
            .differing
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if differing.remove(&source) {
            info!("taking control calls from {source} again");
        }
    }

    fn counter(&self, refusal: Refusal) -> Counter {
        let reason = refusal.as_str();
        self.count.get_or_create_owned(&Label { reason })
    }

    /// Whether it is news that versions differ.
    fn differs(&self, source: IpAddr) -> bool {
        let mut differing = self
            .differing
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if differing.len() >= SOURCES_MAX {
            differing.clear();
        }
        differing.insert(source)
    }
}
