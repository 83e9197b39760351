//! Gauges of upstreams, read from their gates when they are asked for.

use std::{fmt, sync::Arc};

use crate::serving::{Config, Door};
use arc_swap::ArcSwap;
use copperwell_keyspace::ServiceName;
use copperwell_message::Class;
use prometheus_client::{
    collector::Collector,
    encoding::{DescriptorEncoder, EncodeLabelSet, EncodeMetric},
    metrics::{family::Family, gauge::Gauge},
};
use tokio::time::Instant;

/// Gauges of upstreams, read from their gates when they are asked for.
///
/// An upstream that leaves the manifest leaves the gauges too, so labels stay bounded.
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
struct Reading {
    in_flight: Family<UpstreamLabel, Gauge>,
    slots: Family<UpstreamLabel, Gauge>,
    waiting: Family<QueueLabel, Gauge>,
    keys: Family<ServiceLabel, Gauge>,
    hottest: Family<ServiceLabel, Gauge>,
}

impl Gauges {
    /// Gauges of the services in force.
    pub(crate) fn new(config: Arc<ArcSwap<Config>>) -> Self {
        Self { config }
    }

    fn read(&self) -> Reading {
        let reading = Reading::default();
        let now = Instant::now();
        for serving in self.config.load().services.values() {
            let service = &serving.service.name;
            for door in serving.doors() {
                reading.add(service, door);
            }
            let label = ServiceLabel {
                service: service.to_string(),
            };
            let keys = i64::try_from(serving.kept.ids.len()).unwrap_or(i64::MAX);
            reading.keys.get_or_create(&label).set(keys);
            let hot = serving.kept.hot.top(now);
            let hottest = hot.first().map_or(0, |part| i64::from(part.permille));
            reading.hottest.get_or_create(&label).set(hottest);
        }
        reading
    }
}

impl Collector for Gauges {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let reading = self.read();
        let mut encode = |name, help, metric: &dyn EncodeMetric| {
            let to = encoder.encode_descriptor(name, help, None, metric.metric_type())?;
            metric.encode(to)
        };
        encode(
            "dispatch_in_flight",
            "Requests that an upstream runs",
            &reading.in_flight,
        )?;
        encode(
            "dispatch_slots",
            "Requests that an upstream may run now",
            &reading.slots,
        )?;
        encode(
            "dispatch_waiting",
            "Requests that wait for an upstream",
            &reading.waiting,
        )?;
        encode(
            "dispatch_keys",
            "Idempotency keys that are kept",
            &reading.keys,
        )?;
        encode(
            "dispatch_hottest_key_permille",
            "Part of the requests that went to the key asked for most, in thousandths",
            &reading.hottest,
        )
    }
}

impl Reading {
    /// Adds an upstream to which a request has come; the others are those of other daemons.
    fn add(&self, service: &ServiceName, door: &Door) {
        let Some(gate) = door.used_gate() else {
            return;
        };
        let view = gate.view();
        let label = UpstreamLabel {
            service: service.to_string(),
            upstream: door.upstream.name.to_string(),
        };
        let in_flight = self.in_flight.get_or_create_owned(&label);
        in_flight.set(i64::from(view.in_flight));
        let slots = self.slots.get_or_create_owned(&label);
        slots.set(i64::from(view.limit));
        self.add_queue(&label, Class::Interactive, view.interactive);
        self.add_queue(&label, Class::Batch, view.batch);
    }

    fn add_queue(&self, of: &UpstreamLabel, class: Class, waiting: usize) {
        let label = QueueLabel {
            service: of.service.clone(),
            upstream: of.upstream.clone(),
            class: match class {
                Class::Interactive => "interactive",
                Class::Batch => "batch",
            },
        };
        let gauge = self.waiting.get_or_create_owned(&label);
        gauge.set(i64::try_from(waiting).unwrap_or(i64::MAX));
    }
}
