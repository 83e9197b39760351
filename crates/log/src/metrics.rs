//! Counters of calls to the platform and of what its log did.

use crate::Error;
use copperwell_keyspace::reader::Counts;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

/// Counters of calls to the platform and of what its log did.
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
    /// Peers passed over, as the platform answered where they had no fresh records.
    pub(crate) peers_avoided: Counter,
    unreadable: Counter,
    gaps: Counter,
    restarts: Counter,
    joins: Counter,
    pub(crate) next: Gauge,
    pub(crate) lag: Gauge,
    pub(crate) away: Gauge,
}

/// Who answered a read.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct Source {
    pub(crate) source: &'static str,
}

/// Why a call failed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct Reason {
    reason: &'static str,
}

impl Metrics {
    /// Counters that are registered in `registry`.
    #[must_use]
    pub fn new(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let held = metrics.clone();
        registry.register("log_reads", "Reads of the log", held.reads);
        registry.register(
            "log_reads_failed",
            "Reads of the log that failed",
            held.reads_failed,
        );
        registry.register("log_appends", "Appends tried", held.appends);
        registry.register(
            "log_appends_failed",
            "Appends without a good answer",
            held.appends_failed,
        );
        registry.register(
            "log_appends_repeated",
            "Appends tried again with the same id",
            held.appends_repeated,
        );
        registry.register(
            "log_snapshots_appended",
            "Snapshots appended",
            held.snapshots_appended,
        );
        registry.register(
            "log_snapshots_too_large",
            "Snapshots that were not appended, as the state is too large",
            held.snapshots_too_large,
        );
        registry.register(
            "log_snapshots_adopted",
            "States taken from peers",
            held.snapshots_adopted,
        );
        registry.register(
            "log_unreadable",
            "Entries that are no records",
            held.unreadable,
        );
        registry.register("log_gaps", "Gaps that retention made", held.gaps);
        registry.register(
            "log_restarts",
            "Times the log lost what was read",
            held.restarts,
        );
        registry.register(
            "log_joins",
            "States joined that had grown apart",
            held.joins,
        );
        registry.register(
            "log_peers_avoided",
            "Peers passed over that had no fresh records when the platform had",
            held.peers_avoided,
        );
        registry.register("log_next", "The first offset not read", held.next);
        registry.register("log_lag", "Records known of and not read", held.lag);
        registry.register(
            "log_away",
            "1 if neither the log nor a peer that reads it answers",
            held.away,
        );
        metrics
    }

    pub(crate) fn fail_read(&self, error: Error) {
        self.reads_failed.get_or_create(&reason(error)).inc();
    }

    pub(crate) fn fail_append(&self, error: Error) {
        self.appends_failed.get_or_create(&reason(error)).inc();
    }

    /// Adds what a reader counted since `before`.
    pub(crate) fn add(&self, before: Counts, now: Counts) {
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
