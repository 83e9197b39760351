//! Metrics of the daemon as a whole.

use copperwell_keyspace::replay::Outcome;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

/// Metrics of the daemon as a whole.
#[derive(Debug, Clone, Default)]
pub(crate) struct Metrics {
    appends: Family<Label, Counter>,
    pub(crate) manifest: Gauge,
    pub(crate) members_live: Gauge,
    /// Quarantined requests that other leaders reported to this daemon.
    pub(crate) quarantine_received: Counter,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Label {
    outcome: &'static str,
}

impl Metrics {
    pub(crate) fn new(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let registered = metrics.clone();
        registry.register(
            "proposals",
            "Records proposed by this daemon, by outcome",
            registered.appends,
        );
        registry.register("manifest_version", "Manifest in force", registered.manifest);
        registry.register(
            "members_live",
            "Daemons known to be alive",
            registered.members_live,
        );
        registry.register(
            "quarantine_heard",
            "Requests that crash servers, as other leaders told this daemon",
            registered.quarantine_received,
        );
        metrics
    }

    pub(crate) fn appended(&self, outcome: Outcome) {
        let outcome = match outcome {
            Outcome::Applied => "applied",
            Outcome::Repeated => "repeated",
            Outcome::Void => "void",
        };
        self.count_append(outcome);
    }

    pub(crate) fn append_failed(&self) {
        self.count_append("unknown");
    }

    fn count_append(&self, outcome: &'static str) {
        self.appends.get_or_create(&Label { outcome }).inc();
    }
}
