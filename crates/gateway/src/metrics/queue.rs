//! Gauges, histograms and counters of queued requests.

use std::time::Duration;

use super::{ReasonLabel, new_histogram};
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

/// What is counted of queued requests; clones share their values.
#[derive(Debug, Clone)]
pub(crate) struct QueueMetrics {
    /// Requests that wait for a holder of their key, or for a permit.
    pub(crate) all: Gauge,
    lengths: Family<PriorityLabel, Gauge>,
    waits: Family<PriorityLabel, Histogram, fn() -> Histogram>,
    refusals: Family<ReasonLabel, Counter>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PriorityLabel {
    priority: u32,
}

impl QueueMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "queue",
            "Requests that wait for a holder of their key, or for room at an upstream",
            self.all.clone(),
        );
        registry.register(
            "queue_length",
            "Requests that wait for room at an upstream, by priority",
            self.lengths.clone(),
        );
        registry.register(
            "queue_wait_seconds",
            "Time for which requests waited for room at an upstream before they got it, by priority",
            self.waits.clone(),
        );
        registry.register(
            "queue_refused",
            "Requests refused, as they would wait or have waited for too long for room at an upstream, by cause",
            self.refusals.clone(),
        );
    }

    /// Returns the number of queued requests of a priority.
    pub(crate) fn length(&self, priority: u32) -> Gauge {
        self.lengths
            .get_or_create(&priority_label(priority))
            .clone()
    }

    /// Records how long a request waited for its permit.
    pub(crate) fn observe_wait(&self, priority: u32, wait: Duration) {
        let histogram = self.waits.get_or_create(&priority_label(priority));
        histogram.observe(wait.as_secs_f64());
    }

    /// Records a refusal.
    pub(crate) fn record_refusal(&self, cause: &'static str) {
        let label = ReasonLabel { reason: cause };
        self.refusals.get_or_create(&label).inc();
    }
}

impl Default for QueueMetrics {
    fn default() -> Self {
        Self {
            all: Gauge::default(),
            lengths: Family::default(),
            waits: Family::new_with_constructor(new_histogram),
            refusals: Family::default(),
        }
    }
}

/// The highest priority number that has a label of its own, which bounds the number of labels.
const PRIORITY_LABEL_MAX: u32 = 15;

fn priority_label(priority: u32) -> PriorityLabel {
    PriorityLabel {
        priority: priority.min(PRIORITY_LABEL_MAX),
    }
}
