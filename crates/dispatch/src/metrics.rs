//! Counters and histograms of the engine.

use copperwell_message::Reason;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter::Counter,
        family::Family,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

/// The upper bound of the first histogram bucket.
const LATENCY_BUCKET_MIN_SECONDS: f64 = 0.000_25;

/// The number of histogram buckets; each bound is twice the previous one.
const LATENCY_BUCKET_COUNT: u16 = 16;

/// The counters and histograms of the engine.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    /// Requests received.
    pub(crate) requests: Counter,
    /// Requests sent to upstreams, retries included.
    pub(crate) sends: Counter,
    /// Requests that ended without an answer from the owner.
    refusals: Family<Label, Counter>,
    /// Retries, by the reason of the failed attempt.
    retries: Family<Label, Counter>,
    /// Retries denied by the retry budget, by the reason of the failed attempt.
    retries_denied: Family<Label, Counter>,
    /// Requests cancelled by their caller.
    pub(crate) cancellations: Counter,
    /// Requests suspected of crashing a server.
    pub(crate) suspects: Counter,
    /// Requests quarantined for crashing servers.
    pub(crate) convictions: Counter,
    /// Resends that joined a request in flight.
    pub(crate) joins: Counter,
    /// Resends answered with a recorded outcome.
    pub(crate) kept: Counter,
    /// Observations dropped because the channel to the driver was full.
    pub(crate) observations_lost: Counter,
    /// Seconds from the arrival of a request to the head of its answer.
    pub(crate) latency: Histogram,
    /// Seconds that a request waited for a slot.
    pub(crate) queueing: Histogram,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Label {
    reason: &'static str,
}

impl Metrics {
    /// Creates the metrics with all counters at zero.
    pub(crate) fn new() -> Self {
        Self {
            requests: Counter::default(),
            sends: Counter::default(),
            refusals: Family::default(),
            retries: Family::default(),
            retries_denied: Family::default(),
            cancellations: Counter::default(),
            suspects: Counter::default(),
            convictions: Counter::default(),
            joins: Counter::default(),
            kept: Counter::default(),
            observations_lost: Counter::default(),
            latency: histogram(),
            queueing: histogram(),
        }
    }

    /// Registers all counters and histograms.
    pub(crate) fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("dispatch");
        registry.register("requests", "Requests that came", self.requests.clone());
        registry.register("sends", "Requests sent to upstreams", self.sends.clone());
        registry.register(
            "refusals",
            "Requests that ended without an answer from the owner",
            self.refusals.clone(),
        );
        registry.register(
            "retries",
            "Tries that followed a failed one",
            self.retries.clone(),
        );
        registry.register(
            "retries_denied",
            "Tries that the retry budget did not allow",
            self.retries_denied.clone(),
        );
        registry.register(
            "cancellations",
            "Requests whose caller went away",
            self.cancellations.clone(),
        );
        registry.register(
            "suspects",
            "Requests that were in flight on a server that crashed",
            self.suspects.clone(),
        );
        registry.register(
            "convictions",
            "Requests that were found to crash servers",
            self.convictions.clone(),
        );
        registry.register(
            "joins",
            "Resends that joined a request in flight",
            self.joins.clone(),
        );
        registry.register("kept", "Resends that got a kept outcome", self.kept.clone());
        registry.register(
            "observations_lost",
            "Observations of servers that were dropped",
            self.observations_lost.clone(),
        );
        registry.register(
            "latency_seconds",
            "Time from a request's arrival to the head of its answer",
            self.latency.clone(),
        );
        registry.register(
            "queueing_seconds",
            "Time that a request waited for its slot",
            self.queueing.clone(),
        );
    }

    /// Counts a request that ended without an answer from the owner.
    pub(crate) fn record_refusal(&self, reason: Reason) {
        self.refusals.get_or_create(&Label::from(reason)).inc();
    }

    /// Counts a retry of an attempt that failed for `reason`.
    pub(crate) fn record_retry(&self, reason: Reason) {
        self.retries.get_or_create(&Label::from(reason)).inc();
    }

    /// Counts a retry denied by the budget, after an attempt that failed for `reason`.
    pub(crate) fn record_denied_retry(&self, reason: Reason) {
        self.retries_denied
            .get_or_create(&Label::from(reason))
            .inc();
    }
}

impl From<Reason> for Label {
    fn from(reason: Reason) -> Self {
        Self {
            reason: reason.as_str(),
        }
    }
}

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(
        LATENCY_BUCKET_MIN_SECONDS,
        2.0,
        LATENCY_BUCKET_COUNT,
    ))
}
