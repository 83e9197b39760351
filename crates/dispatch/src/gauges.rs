//! Gauges of services and upstreams, read when the metrics are collected.

use std::{fmt, sync::Arc};

use crate::config::{ActiveUpstream, Config};
use arc_swap::ArcSwap;
use copperwell_keyspace::ServiceName;
use copperwell_message::Class;
use prometheus_client::{
    collector::Collector,
    encoding::{DescriptorEncoder, EncodeLabelSet, EncodeMetric},
    metrics::{family::Family, gauge::Gauge},
};
use tokio::time::Instant;

/// Gauges of services and upstreams, read when the metrics are collected.
///
/// An upstream that is removed from the manifest is removed from the gauges too, which bounds the
/// number of labels.
#[derive(Debug)]
pub(crate) struct Gauges {
    config: Arc<ArcSwap<Config>>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct UpstreamLabel {
    service: String,
    upstream: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct QueueLabel {
    service: String,
    upstream: String,
    class: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabel {
    service: String,
}

#[derive(Debug, Default)]
struct Snapshot {
    in_flight: Family<UpstreamLabel, Gauge>,
    slots: Family<UpstreamLabel, Gauge>,
    waiting: Family<QueueLabel, Gauge>,
    keys: Family<ServiceLabel, Gauge>,
    hottest: Family<ServiceLabel, Gauge>,
}

impl Gauges {
    /// Creates the gauges of the services in `config`.
    pub(crate) fn new(config: Arc<ArcSwap<Config>>) -> Self {
        Self { config }
    }

    fn read(&self) -> Snapshot {
        let snapshot = Snapshot::default();
        let now = Instant::now();
        for service in self.config.load().services.values() {
            let name = &service.settings.name;
            for upstream in service.upstreams() {
                snapshot.add(name, upstream);
            }
            let label = ServiceLabel {
                service: name.to_string(),
            };
            let keys = i64::try_from(service.state.window.len()).unwrap_or(i64::MAX);
            snapshot.keys.get_or_create(&label).set(keys);
            let hot_keys = service.state.hot_keys.top(now);
            let hottest = hot_keys
                .first()
                .map_or(0, |share| i64::from(share.permille));
            snapshot.hottest.get_or_create(&label).set(hottest);
        }
        snapshot
    }
}

impl Collector for Gauges {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let snapshot = self.read();
        let mut encode = |name, help, metric: &dyn EncodeMetric| {
            let encoder = encoder.encode_descriptor(name, help, None, metric.metric_type())?;
            metric.encode(encoder)
        };
        encode(
            "dispatch_in_flight",
            "Requests that an upstream runs",
            &snapshot.in_flight,
        )?;
        encode(
            "dispatch_slots",
            "Requests that an upstream may run now",
            &snapshot.slots,
        )?;
        encode(
            "dispatch_waiting",
            "Requests that wait for an upstream",
            &snapshot.waiting,
        )?;
        encode(
            "dispatch_keys",
            "Idempotency keys that are kept",
            &snapshot.keys,
        )?;
        encode(
            "dispatch_hottest_key_permille",
            "Part of the requests that went to the key asked for most, in thousandths",
            &snapshot.hottest,
        )
    }
}

impl Snapshot {
    /// Adds an upstream that has received requests from this daemon; other daemons serve the rest.
    fn add(&self, name: &ServiceName, upstream: &ActiveUpstream) {
        let Some(limiter) = upstream.existing_limiter() else {
            return;
        };
        let stats = limiter.stats();
        let label = UpstreamLabel {
            service: name.to_string(),
            upstream: upstream.settings.name.to_string(),
        };
        let in_flight = self.in_flight.get_or_create_owned(&label);
        in_flight.set(i64::from(stats.in_flight));
        let slots = self.slots.get_or_create_owned(&label);
        slots.set(i64::from(stats.limit));
        self.add_queue(&label, Class::Interactive, stats.interactive);
        self.add_queue(&label, Class::Batch, stats.batch);
    }

    fn add_queue(&self, label: &UpstreamLabel, class: Class, waiting: usize) {
        let label = QueueLabel {
            service: label.service.clone(),
            upstream: label.upstream.clone(),
            class: match class {
                Class::Interactive => "interactive",
                Class::Batch => "batch",
            },
        };
        let gauge = self.waiting.get_or_create_owned(&label);
        gauge.set(i64::try_from(waiting).unwrap_or(i64::MAX));
    }
}
