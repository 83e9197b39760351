//! Counters and gauges.

use std::sync::atomic::AtomicI64;

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

/// Counters and gauges of the ownership driver.
#[derive(Debug, Clone, Default)]
pub(crate) struct Counters {
    /// Control orders sent, by kind and result.
    pub(crate) orders: Family<Order, Counter>,
    /// Shards that moved from one upstream to another.
    pub(crate) moves: Counter,
    /// Groups that this daemon started to lead, by reason.
    pub(crate) starts: Family<Cause, Counter>,
    /// Groups that this daemon stopped leading, by reason.
    pub(crate) stops: Family<Cause, Counter>,
    /// Events and inputs dropped because their queue was full.
    pub(crate) dropped: Counter,
    /// Groups led.
    pub(crate) led: Gauge<i64, AtomicI64>,
    /// Groups for which this daemon is the standby.
    pub(crate) standby: Gauge<i64, AtomicI64>,
    /// Shards of groups led that no server holds, by reason.
    pub(crate) unserved: Family<Cause, Gauge<i64, AtomicI64>>,
}

/// Labels of [`Counters::orders`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct Order {
    pub(crate) kind: &'static str,
    pub(crate) result: &'static str,
}

/// The label of starts, stops and shards that no server holds.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct Cause {
    pub(crate) reason: &'static str,
}

impl Counters {
    pub(crate) fn new(registry: &mut Registry) -> Self {
        let counters = Self::default();
        let registry = registry.sub_registry_with_prefix("ownership");
        registry.register(
            "orders",
            "Control orders to servers, by kind and result",
            counters.orders.clone(),
        );
        registry.register(
            "moves",
            "Shards that went to another upstream",
            counters.moves.clone(),
        );
        registry.register("starts", "Groups taken, by reason", counters.starts.clone());
        registry.register(
            "stops",
            "Groups given up, by reason",
            counters.stops.clone(),
        );
        registry.register(
            "dropped",
            "Events that found their queue full",
            counters.dropped.clone(),
        );
        registry.register("groups_led", "Groups led", counters.led.clone());
        registry.register(
            "groups_standby",
            "Groups for which this daemon is the standby",
            counters.standby.clone(),
        );
        registry.register(
            "shards_unserved",
            "Shards of groups led that nobody holds, by reason",
            counters.unserved.clone(),
        );
        counters
    }

    pub(crate) fn order(&self, kind: &'static str, result: &'static str) {
        self.orders.get_or_create(&Order { kind, result }).inc();
    }

    pub(crate) fn start(&self, reason: &'static str) {
        self.starts.get_or_create(&Cause { reason }).inc();
    }

    /// Changes the number of shards that no server holds.
    pub(crate) fn unserved(&self, reason: &'static str, change: i64) {
        if change != 0 {
            self.unserved
                .get_or_create(&Cause { reason })
                .inc_by(change);
        }
    }

    pub(crate) fn stop(&self, reason: &'static str) {
        self.stops.get_or_create(&Cause { reason }).inc();
    }
}
