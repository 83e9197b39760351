//! Metrics of ingress.

use copperwell_message::Reason;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};

/// The counters of ingress.
#[derive(Debug, Clone, Default)]
pub struct Metrics {
    pub(crate) requests: Counter,
    refused: Family<Label, Counter>,
    retried: Family<Label, Counter>,
    cut: Family<Label, Counter>,
    slow: Counter,
}

/// The label of the counters that are kept for each reason.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Label {
    reason: &'static str,
}

impl Metrics {
    /// Creates the counters and registers them in `registry`.
    #[must_use]
    pub fn new(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let Self {
            requests,
            refused,
            retried,
            cut,
            slow,
        } = metrics.clone();
        registry.register("ingress_requests", "Requests from callers", requests);
        registry.register(
            "ingress_refused",
            "Requests without an owner's answer",
            refused,
        );
        registry.register(
            "ingress_retried",
            "Requests, or parts of them, sent once more",
            retried,
        );
        registry.register(
            "ingress_cut",
            "Answers over several keys cut short after they began",
            cut,
        );
        registry.register(
            "ingress_slow_connections",
            "Connections closed because the caller was slow with a head, or in reading",
            slow,
        );
        metrics
    }

    pub(crate) fn record_refusal(&self, reason: Reason) {
        self.refused.get_or_create(&label(reason)).inc();
    }

    pub(crate) fn record_retry(&self, reason: Reason) {
        self.retried.get_or_create(&label(reason)).inc();
    }

    /// Counts a multi-key response that was truncated: a part failed after the response had begun.
    pub(crate) fn record_cut(&self, reason: Reason) {
        self.cut.get_or_create(&label(reason)).inc();
    }

    pub(crate) fn record_slow_connection(&self) {
        self.slow.inc();
    }
}

fn label(reason: Reason) -> Label {
    Label {
        reason: reason.as_str(),
    }
}
