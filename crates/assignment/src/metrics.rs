//! Metrics of leadership and grants.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

/// Counters and gauges of leadership and grants. Clones share the same values.
#[derive(Debug, Clone, Default)]
pub struct Metrics {
    pub(crate) leading: Gauge,
    pub(crate) terms: Counter,
    pub(crate) orders: Family<Label, Counter>,
    pub(crate) swaps: Family<Label, Counter>,
    pub(crate) transfers: Family<Label, Counter>,
    pub(crate) successors: Gauge,
    pub(crate) is_successor: Gauge,
    pub(crate) ranges: Gauge,
    pub(crate) unserved: Gauge,
}

/// The action that is counted, and its outcome.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct Label {
    pub(crate) action: &'static str,
    pub(crate) outcome: &'static str,
}

impl Metrics {
    /// Creates the metrics and registers them in `registry`.
    #[must_use]
    pub fn new(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let all = metrics.clone();
        let registry = registry.sub_registry_with_prefix("assignment");
        registry.register("leading", "Whether this daemon leads", all.leading);
        registry.register("terms", "Times that this daemon began to lead", all.terms);
        registry.register("orders", "Orders to upstreams, by outcome", all.orders);
        registry.register("swaps", "Conditional writes, by outcome", all.swaps);
        registry.register(
            "transfers",
            "Configurations fetched from other daemons, by outcome",
            all.transfers,
        );
        registry.register(
            "successors",
            "Daemons that are asked for configurations while there is no leader",
            all.successors,
        );
        registry.register(
            "successor",
            "Whether this daemon may lead next, and reads the store for others",
            all.is_successor,
        );
        registry.register(
            "ranges",
            "Ranges of keys that this daemon leads",
            all.ranges,
        );
        registry.register("unserved", "Ranges that nobody serves now", all.unserved);
        metrics
    }

    pub(crate) fn count_order(&self, action: &'static str, outcome: &'static str) {
        self.orders.get_or_create(&Label { action, outcome }).inc();
    }

    pub(crate) fn count_transfer(&self, outcome: &'static str) {
        let action = "fetch";
        let label = Label { action, outcome };
        self.transfers.get_or_create(&label).inc();
    }

    pub(crate) fn count_swap(&self, outcome: &'static str) {
        let action = "swap";
        self.swaps.get_or_create(&Label { action, outcome }).inc();
    }
}
