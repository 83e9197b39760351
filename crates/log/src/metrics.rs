//! Metrics of calls to the platform and of the state of its log.

use crate::Error;
use copperwell_keyspace::reader::Counts;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

/// Metrics of calls to the platform and of the state of its log.
#[derive(Debug, Clone, Default)]
pub struct Metrics {
    pub(crate) reads: Family<Source, Counter>,
    pub(crate) reads_failed: Family<Reason, Counter>,
    pub(crate) appends: Counter,
    pub(crate) appends_failed: Family<Reason, Counter>,
    pub(crate) appends_repeated: Counter,
    pub(crate) snapshots_appended: Counter,
    pub(crate) snapshots_too_large: Counter,
    pub(crate) snapshots_adopted: Counter,
    /// Peers abandoned because they were stale although the platform responded.
    pub(crate) peers_avoided: Counter,
    unreadable: Counter,
    gaps: Counter,
    restarts: Counter,
    joins: Counter,
    pub(crate) next: Gauge,
    pub(crate) lag: Gauge,
    pub(crate) away: Gauge,
}

/// Labels with the source of a successful read.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct Source {
    pub(crate) source: &'static str,
}

/// Labels with the reason of a failed call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct Reason {
    reason: &'static str,
}

impl Metrics {
    /// Creates metrics and registers them in `registry`.
    #[must_use]
    pub fn new(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let registered = metrics.clone();
        registry.register("log_reads", "Reads of the log", registered.reads);
        registry.register(
            "log_reads_failed",
            "Reads of the log that failed",
            registered.reads_failed,
        );
        registry.register("log_appends", "Appends tried", registered.appends);
        registry.register(
            "log_appends_failed",
            "Appends without a good answer",
            registered.appends_failed,
        );
        registry.register(
            "log_appends_repeated",
            "Appends tried again with the same id",
            registered.appends_repeated,
        );
        registry.register(
            "log_snapshots_appended",
            "Snapshots appended",
            registered.snapshots_appended,
        );
        registry.register(
            "log_snapshots_too_large",
            "Snapshots that were not appended, as the state is too large",
            registered.snapshots_too_large,
        );
        registry.register(
            "log_snapshots_adopted",
            "States taken from peers",
            registered.snapshots_adopted,
        );
        registry.register(
            "log_unreadable",
            "Entries that are no records",
            registered.unreadable,
        );
        registry.register("log_gaps", "Gaps that retention made", registered.gaps);
        registry.register(
            "log_restarts",
            "Times the log lost what was read",
            registered.restarts,
        );
        registry.register(
            "log_joins",
            "States joined that had grown apart",
            registered.joins,
        );
        registry.register(
            "log_peers_avoided",
            "Peers passed over that had no fresh records when the platform had",
            registered.peers_avoided,
        );
        registry.register("log_next", "The first offset not read", registered.next);
        registry.register("log_lag", "Records known of and not read", registered.lag);
        registry.register(
            "log_away",
            "1 if neither the log nor a peer that reads it answers",
            registered.away,
        );
        metrics
    }

    pub(crate) fn record_read_failure(&self, error: Error) {
        self.reads_failed.get_or_create(&reason(error)).inc();
    }

    pub(crate) fn record_append_failure(&self, error: Error) {
        self.appends_failed.get_or_create(&reason(error)).inc();
    }

    /// Adds the difference between two counts of a reader.
    pub(crate) fn add_counts(&self, before: Counts, now: Counts) {
        self.unreadable.inc_by(now.unreadable - before.unreadable);
        self.gaps.inc_by(now.gaps - before.gaps);
        self.restarts.inc_by(now.restarts - before.restarts);
        self.joins.inc_by(now.joins - before.joins);
    }
}

fn reason(error: Error) -> Reason {
    let reason = match error {
        Error::NotAppended => "not_appended",
        Error::MaybeAppended => "maybe_appended",
        Error::Unavailable => "unavailable",
        Error::Invalid => "invalid",
    };
    Reason { reason }
}
