//! Counters and gauges of the daemon as a whole.

use copperwell_keyspace::replay::Outcome;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

/// Counters and gauges of the daemon as a whole.
#[derive(Debug, Clone, Default)]
pub(crate) struct Metrics {
    appends: Family<Label, Counter>,
    pub(crate) manifest: Gauge,
    pub(crate) members_live: Gauge,
    /// Convictions of requests that others told this daemon of.
    pub(crate) quarantine_heard: Counter,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Label {
    outcome: &'static str,
}

impl Metrics {
    pub(crate) fn new(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let all = metrics.clone();
        registry.register(
            "proposals",
            "Records proposed by this daemon, by outcome",
            all.appends,
        );
        registry.register("manifest_version", "Manifest in force", all.manifest);
        registry.register(
            "members_live",
            "Daemons known to be alive",
            all.members_live,
        );
        registry.register(
            "quarantine_heard",
            "Requests that crash servers, as other leaders told this daemon",
            all.quarantine_heard,
        );
        metrics
    }

    pub(crate) fn appended(&self, outcome: Outcome) {
        let outcome = match outcome {
            Outcome::Applied => "applied",
            Outcome::Repeated => "repeated",
            Outcome::Void => "void",
        };
        self.count(outcome);
    }

    pub(crate) fn append_failed(&self) {
        self.count("unknown");
    }

    fn count(&self, outcome: &'static str) {
        self.appends.get_or_create(&Label { outcome }).inc();
    }
}
