//! Counters and histograms of requests.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use crate::{trail::Sending, view::View};
use copperwell_message::Reason;
use copperwell_routing::configuration::defect;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};
use tokio::time::Instant;

/// The upper bound of the first bucket of latencies, in seconds.
const FIRST_BUCKET_S: f64 = 0.001;

/// The number of latency buckets; each upper bound is twice the one before.
const BUCKETS: u16 = 15;

/// Counters and histograms of requests; clones share their values.
#[derive(Debug, Clone)]
pub struct Metrics {
    pub(crate) requests: Counter,
    /// Requests of other daemons.
    pub(crate) relayed_in: Counter,
    refusals: Family<ReasonLabel, Counter>,
    retries: Family<ReasonLabel, Counter>,
    denied_retries: Family<ReasonLabel, Counter>,
    responses: Family<StatusLabel, Counter>,
    /// Callers that sent a request head too slowly.
    pub(crate) slow_heads: Counter,
    pub(crate) cancelled: Counter,
    /// Times that an upstream wanted no requests for a time.
    pub(crate) closed_upstreams: Counter,
    /// Load reports that cannot be true.
    pub(crate) ignored_reports: Counter,
    /// Requests for upstreams outside of the preferred subset.
    spill_overs: Counter,
    /// The sizes of the preferred subsets.
    subsets: Family<ServiceLabel, Gauge>,
    pub(crate) suppressed_lines: Counter,
    /// Requests for which another upstream was selected, since the one before had left or the list was too old.
    pub(crate) withdrawn: Counter,
    latency: Family<StageLabel, Histogram, fn() -> Histogram>,
    /// The age of the list of upstreams when a request is sent.
    list_age: Histogram,
    /// The time from the choice of an upstream until the request is sent there.
    unsent: Histogram,
    configuration: Gauge,
    pub(crate) upstreams: Gauge,
    /// Requests that wait for a holder of their key, or for a permit.
    pub(crate) queue: QueueMetrics,
    upstreams_age: Gauge<f64, AtomicU64>,
    configuration_age: Gauge<f64, AtomicU64>,
    leader_age: Gauge<f64, AtomicU64>,
    daemons: Gauge,
    retries_left: Family<ServiceLabel, Gauge<f64, AtomicU64>>,
    /// What the configuration in force has that is not understood, by kind.
    defects: Family<DefectLabel, Gauge>,
    /// What is still in evacuated data centres.
    evacuated: Family<EvacuationLabel, Gauge>,
    pub(crate) invalid_registrations: Counter,
    pub(crate) read_failures: Family<SourceLabel, Counter>,
}

/// A stage of a request whose duration is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// From the arrival of the request until an upstream is selected.
    Queue,
    /// From the start of an attempt until its end.
    Upstream,
    /// From the arrival of the request until its response.
    Total,
}

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
    fn register(&self, registry: &mut Registry) {
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

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StatusLabel {
    status: u16,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StageLabel {
    stage: &'static str,
    kind: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DefectLabel {
    kind: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EvacuationLabel {
    zone: String,
    kind: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabel {
    service: String,
}

/// The data that could not be read from the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct SourceLabel {
    pub(crate) what: &'static str,
}

impl Metrics {
    /// Creates metrics and registers them in `registry`.
    #[must_use]
    pub fn new(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let all = metrics.clone();
        let registry = registry.sub_registry_with_prefix("gateway");
        registry.register("requests", "Requests from callers", all.requests);
        registry.register(
            "relayed_for_others",
            "Requests that other daemons could not send to their upstreams themselves",
            all.relayed_in,
        );
        registry.register(
            "refused",
            "Requests answered without an upstream's answer",
            all.refusals,
        );
        registry.register(
            "retried",
            "Requests sent once more, by the reason before",
            all.retries,
        );
        registry.register(
            "not_retried",
            "Requests not sent once more though that was allowed, for lack of budget",
            all.denied_retries,
        );
        registry.register("answered", "Upstreams' answers passed on", all.responses);
        registry.register(
            "slow_heads",
            "Callers too slow in sending a head",
            all.slow_heads,
        );
        registry.register(
            "cancelled",
            "Callers that left before their answer",
            all.cancelled,
        );
        registry.register(
            "closed_upstreams",
            "Times that an upstream asked for no requests for a time",
            all.closed_upstreams,
        );
        registry.register(
            "load_reports_ignored",
            "Load reports of upstreams that cannot be true",
            all.ignored_reports,
        );
        registry.register(
            "subset_spill_overs",
            "Requests for which an upstream outside of the preferred subset was chosen",
            all.spill_overs,
        );
        registry.register(
            "subset_upstreams",
            "Upstreams of the own data centre that this daemon prefers; absent for services whose upstreams it uses alike",
            all.subsets,
        );
        registry.register(
            "log_thinned",
            "Lines about failures that were left out, to bound the log",
            all.suppressed_lines,
        );
        registry.register(
            "latency_seconds",
            "Time that requests take, by stage",
            all.latency,
        );
        registry.register(
            "withdrawn",
            "Requests not sent to the upstream selected: it had left since, warms up, or the list was too old to tell",
            all.withdrawn,
        );
        registry.register(
            "list_age_seconds",
            "Age of the list of upstreams when a request is sent to one of them",
            all.list_age,
        );
        registry.register(
            "unsent_seconds",
            "Time from the choice of an upstream until the request is sent there",
            all.unsent,
        );
        registry.register(
            "configuration_version",
            "Configuration in force",
            all.configuration,
        );
        registry.register("upstreams", "Upstreams that are registered", all.upstreams);
        all.queue.register(registry);
        registry.register(
            "upstreams_age_seconds",
            "How long ago the read of the list of upstreams started, here or at another daemon; -1 for never",
            all.upstreams_age,
        );
        registry.register(
            "configuration_age_seconds",
            "How long ago the configuration was seen to be the newest; -1 for never",
            all.configuration_age,
        );
        registry.register(
            "leader_age_seconds",
            "How long ago the leader told what it knows; -1 for never",
            all.leader_age,
        );
        registry.register(
            "daemons",
            "Daemons that share the retry budget, as far as is known",
            all.daemons,
        );
        registry.register(
            "retries_left",
            "Retries that the budget of a service pays for now",
            all.retries_left,
        );
        registry.register(
            "configuration_defects",
            "Parts of the configuration that are not understood, by kind",
            all.defects,
        );
        registry.register(
            "evacuated",
            "What is still in evacuated data centres, by kind",
            all.evacuated,
        );
        registry.register(
            "unreadable",
            "Registrations that could not be understood",
            all.invalid_registrations,
        );
        registry.register(
            "unread",
            "Readings of the store that failed",
            all.read_failures,
        );
        metrics
    }

    /// Updates the gauges that are derived from `view`.
    pub fn update_gauges(&self, view: &View) {
        let seconds = |age: Option<Duration>| age.map_or(-1.0, |age| age.as_secs_f64());
        let configuration = view.configuration();
        let version = configuration.as_ref().map_or(0, |known| known.version);
        let defects = configuration
            .as_ref()
            .map_or(&[][..], |known| known.defects());
        for kind in defect::Kind::ALL {
            let count = defects.iter().filter(|one| one.kind == *kind).count();
            let label = DefectLabel {
                kind: kind.as_str(),
            };
            let gauge = self.defects.get_or_create(&label);
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
        self.configuration
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        self.upstreams_age.set(seconds(view.upstreams_age()));
        self.configuration_age
            .set(seconds(view.configuration_age()));
        self.leader_age.set(seconds(view.leader_age()));
        view.update_warmup_gauge();
        let daemons = view.keys.daemons.load(Ordering::Relaxed);
        self.daemons.set(i64::from(daemons));
        // Evacuations that have ended must not stay on the metrics page.
        self.evacuated.clear();
        for evacuation in view.evacuations() {
            let zone = &evacuation.zone;
            let gauge = |kind, count: usize| {
                let zone = zone.to_string();
                let gauge = self
                    .evacuated
                    .get_or_create(&EvacuationLabel { zone, kind });
                gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
            };
            gauge("upstreams", evacuation.upstreams);
            gauge("requests", evacuation.in_flight as usize);
            gauge("key-ranges", evacuation.key_ranges);
        }
        // Services that were removed from the configuration must not stay on the metrics page.
        self.retries_left.clear();
        for (service, left) in view.retries_left() {
            let service = service.to_string();
            let label = ServiceLabel { service };
            self.retries_left.get_or_create(&label).set(left);
        }
        let loads = view.loads();
        let (subsets, spill_overs) = (loads.subsets(Instant::now()), loads.spill_overs());
        drop(loads);
        self.spill_overs
            .inner()
            .fetch_max(spill_overs, Ordering::Relaxed);
        self.subsets.clear();
        for (service, size) in subsets {
            let service = service.to_string();
            let size = i64::try_from(size).unwrap_or(i64::MAX);
            self.subsets
                .get_or_create(&ServiceLabel { service })
                .set(size);
        }
    }

    pub(crate) fn record_refusal(&self, reason: Reason) {
        let reason = reason.as_str();
        self.refusals.get_or_create(&ReasonLabel { reason }).inc();
    }

    pub(crate) fn record_retry(&self, reason: Reason) {
        let reason = reason.as_str();
        self.retries.get_or_create(&ReasonLabel { reason }).inc();
    }

    pub(crate) fn record_denied_retry(&self, reason: Reason) {
        let reason = reason.as_str();
        self.denied_retries
            .get_or_create(&ReasonLabel { reason })
            .inc();
    }

    pub(crate) fn record_response(&self, status: u16) {
        self.responses.get_or_create(&StatusLabel { status }).inc();
    }

    /// Records how old the list was by which a request was sent, if it was.
    pub(crate) fn observe_sending(&self, sending: Sending) {
        let histograms = [
            (&self.list_age, sending.age),
            (&self.unsent, sending.waited),
        ];
        for (histogram, time) in histograms {
            if let Some(time) = time {
                histogram.observe(time.as_secs_f64());
            }
        }
    }

    pub(crate) fn observe(&self, stage: Stage, is_repeatable: bool, duration: Duration) {
        let label = StageLabel {
            stage: match stage {
                Stage::Queue => "queue",
                Stage::Upstream => "upstream",
                Stage::Total => "whole",
            },
            kind: if is_repeatable { "repeatable" } else { "once" },
        };
        self.latency
            .get_or_create(&label)
            .observe(duration.as_secs_f64());
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            requests: Counter::default(),
            relayed_in: Counter::default(),
            refusals: Family::default(),
            retries: Family::default(),
            denied_retries: Family::default(),
            responses: Family::default(),
            slow_heads: Counter::default(),
            cancelled: Counter::default(),
            closed_upstreams: Counter::default(),
            ignored_reports: Counter::default(),
            spill_overs: Counter::default(),
            subsets: Family::default(),
            suppressed_lines: Counter::default(),
            latency: Family::new_with_constructor(new_histogram),
            withdrawn: Counter::default(),
            list_age: new_histogram(),
            unsent: new_histogram(),
            configuration: Gauge::default(),
            upstreams: Gauge::default(),
            queue: QueueMetrics::default(),
            upstreams_age: Gauge::default(),
            configuration_age: Gauge::default(),
            leader_age: Gauge::default(),
            daemons: Gauge::default(),
            retries_left: Family::default(),
            defects: Family::default(),
            evacuated: Family::default(),
            invalid_registrations: Counter::default(),
            read_failures: Family::default(),
        }
    }
}

fn new_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKETS))
}
