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

pub(crate) use queue::QueueMetrics;

mod queue;

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
        let registry = registry.sub_registry_with_prefix("gateway");
        metrics.register_requests(registry);
        metrics.register_load(registry);
        metrics.register_sending(registry);
        metrics.register_state(registry);
        metrics
    }

    /// Registers the counters of requests and how they end.
    fn register_requests(&self, registry: &mut Registry) {
        registry.register("requests", "Requests from callers", self.requests.clone());
        registry.register(
            "relayed_for_others",
            "Requests that other daemons could not send to their upstreams themselves",
            self.relayed_in.clone(),
        );
        registry.register(
            "refused",
            "Requests answered without an upstream's answer",
            self.refusals.clone(),
        );
        registry.register(
            "retried",
            "Requests sent once more, by the reason before",
            self.retries.clone(),
        );
        registry.register(
            "not_retried",
            "Requests not sent once more though that was allowed, for lack of budget",
            self.denied_retries.clone(),
        );
        registry.register(
            "answered",
            "Upstreams' answers passed on",
            self.responses.clone(),
        );
        registry.register(
            "slow_heads",
            "Callers too slow in sending a head",
            self.slow_heads.clone(),
        );
        registry.register(
            "cancelled",
            "Callers that left before their answer",
            self.cancelled.clone(),
        );
    }

    /// Registers the counters and gauges of load balancing.
    fn register_load(&self, registry: &mut Registry) {
        registry.register(
            "closed_upstreams",
            "Times that an upstream asked for no requests for a time",
            self.closed_upstreams.clone(),
        );
        registry.register(
            "load_reports_ignored",
            "Load reports of upstreams that cannot be true",
            self.ignored_reports.clone(),
        );
        registry.register(
            "subset_spill_overs",
            "Requests for which an upstream outside of the preferred subset was chosen",
            self.spill_overs.clone(),
        );
        registry.register(
            "subset_upstreams",
            "Upstreams of the own data centre that this daemon prefers; absent for services whose upstreams it uses alike",
            self.subsets.clone(),
        );
    }

    /// Registers the histograms of latencies, and what becomes of a request before it is sent.
    fn register_sending(&self, registry: &mut Registry) {
        registry.register(
            "log_thinned",
            "Lines about failures that were left out, to bound the log",
            self.suppressed_lines.clone(),
        );
        registry.register(
            "latency_seconds",
            "Time that requests take, by stage",
            self.latency.clone(),
        );
        registry.register(
            "withdrawn",
            "Requests not sent to the upstream selected: it had left since, warms up, or the list was too old to tell",
            self.withdrawn.clone(),
        );
        registry.register(
            "list_age_seconds",
            "Age of the list of upstreams when a request is sent to one of them",
            self.list_age.clone(),
        );
        registry.register(
            "unsent_seconds",
            "Time from the choice of an upstream until the request is sent there",
            self.unsent.clone(),
        );
    }

    /// Registers the state of the configuration, the queues, the lists and the reads of the store.
    fn register_state(&self, registry: &mut Registry) {
        registry.register(
            "configuration_version",
            "Configuration in force",
            self.configuration.clone(),
        );
        registry.register(
            "upstreams",
            "Upstreams that are registered",
            self.upstreams.clone(),
        );
        self.queue.register(registry);
        registry.register(
            "upstreams_age_seconds",
            "How long ago the read of the list of upstreams started, here or at another daemon; -1 for never",
            self.upstreams_age.clone(),
        );
        registry.register(
            "configuration_age_seconds",
            "How long ago the configuration was seen to be the newest; -1 for never",
            self.configuration_age.clone(),
        );
        registry.register(
            "leader_age_seconds",
            "How long ago the leader told what it knows; -1 for never",
            self.leader_age.clone(),
        );
        registry.register(
            "daemons",
            "Daemons that share the retry budget, as far as is known",
            self.daemons.clone(),
        );
        registry.register(
            "retries_left",
            "Retries that the budget of a service pays for now",
            self.retries_left.clone(),
        );
        registry.register(
            "configuration_defects",
            "Parts of the configuration that are not understood, by kind",
            self.defects.clone(),
        );
        registry.register(
            "evacuated",
            "What is still in evacuated data centres, by kind",
            self.evacuated.clone(),
        );
        registry.register(
            "unreadable",
            "Registrations that could not be understood",
            self.invalid_registrations.clone(),
        );
        registry.register(
            "unread",
            "Readings of the store that failed",
            self.read_failures.clone(),
        );
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
