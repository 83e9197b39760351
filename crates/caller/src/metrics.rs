//! Counters of ingress.

use copperwell_message::Reason;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};

/// Counters of ingress.
#[derive(Debug, Clone, Default)]
pub struct Metrics {
    pub(crate) requests: Counter,
    pub(crate) refused: Family<Label, Counter>,
    pub(crate) retried: Family<Label, Counter>,
}

/// The label of counters that are split by reason.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct Label {
    reason: &'static str,
}

impl Metrics {
    /// Counters that are registered in `registry`.
    #[must_use]
    pub fn new(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let Self {
            requests,
            refused,
            retried,
        } = metrics.clone();
        registry.register("ingress_requests", "Requests from callers", requests);
        registry.register(
            "ingress_refused",
            "Requests without an owner's answer",
            refused,
        );
        registry.register(
            "ingress_retried",
            "Requests sent to another daemon",
            retried,
        );
        metrics
    }

    pub(crate) fn refuse(&self, reason: Reason) {
        self.refused.get_or_create(&label(reason)).inc();
    }

    pub(crate) fn retry(&self, reason: Reason) {
        self.retried.get_or_create(&label(reason)).inc();
    }
}

fn label(reason: Reason) -> Label {
    Label {
        reason: reason.as_str(),
    }
}
