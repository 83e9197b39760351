//! Metrics of links to other daemons.

use copperwell_message::Reason;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};

/// Counters of links to other daemons.
#[derive(Debug, Clone, Default)]
pub struct Metrics {
    failures: Family<Label, Counter>,
    opened: Counter,
    unresponsive: Counter,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Label {
    reason: &'static str,
}

impl Metrics {
    /// Registers the counters.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "link_failures",
            "Requests to other daemons without the owner's answer",
            self.failures.clone(),
        );
        registry.register(
            "link_opened",
            "Links opened to other daemons",
            self.opened.clone(),
        );
        registry.register(
            "link_silent",
            "Links closed because pings went unanswered",
            self.unresponsive.clone(),
        );
    }

    /// Counts a request without the owner's response.
    pub(super) fn count_failure(&self, reason: Reason) {
        let reason = reason.as_str();
        self.failures.get_or_create(&Label { reason }).inc();
    }

    pub(super) fn count_opened(&self) {
        self.opened.inc();
    }

    /// Counts a link that was closed because pings were not answered.
    pub(super) fn count_unresponsive(&self) {
        self.unresponsive.inc();
    }
}
