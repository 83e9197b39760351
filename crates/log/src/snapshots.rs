//! Appends snapshots of the state when they are due.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use crate::{Log, metrics::Metrics};
use copperwell_keyspace::{
    checkpoint,
    id::DaemonName,
    reader::{Phase, Reader},
    record::{Body, Id, Record, STREAM, Snapshot},
};
use spdlog::warn;
use tokio::{
    task::{JoinHandle, spawn_blocking},
    time::Instant,
};

/// The shortest time between two appends of a snapshot by this process.
const APPEND_INTERVAL_MIN: Duration = Duration::from_secs(2);

/// Decides when to append a snapshot and runs at most one append at a time.
#[derive(Debug)]
pub(crate) struct Snapshots {
    writer: DaemonName,
    interval: Duration,
    metrics: Metrics,
    /// How many snapshots were read when `read_at` was set.
    read: u64,
    /// When a snapshot was last read, or when this process started.
    read_at: Instant,
    /// Since when the log has lacked records that the reader holds.
    ahead_since: Option<Instant>,
    /// Since when the reader has missed records without a snapshot in their place.
    gap_since: Option<Instant>,
    attempted_at: Option<Instant>,
    task: Option<JoinHandle<()>>,
    /// Whether the last snapshot exceeded the size of a record; it is logged only once.
    is_too_large: Arc<AtomicBool>,
}

impl Snapshots {
    /// Creates the schedule of a daemon that appends a snapshot every `interval`, unless another
    /// daemon did.
    pub(crate) fn new(writer: DaemonName, interval: Duration, metrics: Metrics) -> Self {
        Self {
            writer,
            interval,
            metrics,
            read: 0,
            read_at: Instant::now(),
            ahead_since: None,
            gap_since: None,
            attempted_at: None,
            task: None,
            is_too_large: Arc::default(),
        }
    }

    /// Whether a snapshot of the reader's state should be appended now.
    pub(crate) fn is_due(&mut self, reader: &Reader, now: Instant) -> bool {
        if reader.snapshots() != self.read {
            self.read = reader.snapshots();
            self.read_at = now;
        }
        let since = |holds: bool, since: Option<Instant>| holds.then(|| since.unwrap_or(now));
        self.ahead_since = since(reader.is_ahead(), self.ahead_since);
        self.gap_since = since(reader.has_open_gap(), self.gap_since);
        let is_in_flight = self.task.as_ref().is_some_and(|task| !task.is_finished());
        let is_early = self
            .attempted_at
            .is_some_and(|attempted| now - attempted < APPEND_INTERVAL_MIN);
        let is_uncertain = matches!(reader.phase(), Phase::Starting | Phase::Short);
        if is_in_flight || is_early || is_uncertain || reader.state().manifest.is_none() {
            return false;
        }
        let need = checkpoint::Need {
            since_snapshot: now - self.read_at,
            records: reader.since_snapshot(),
            ahead_for: self.ahead_since.map(|since| now - since),
            gap_for: self.gap_since.map(|since| now - since),
        };
        let jitter = checkpoint::jitter_of(&self.writer, reader.next());
        checkpoint::is_due(&need, self.interval, jitter)
    }

    /// Appends a snapshot in the background.
    pub(crate) fn append<L: Log>(&mut self, log: &Arc<L>, snapshot: Snapshot, now: Instant) {
        self.attempted_at = Some(now);
        let record = Record {
            id: Id {
                writer: format!("{}/checkpoint", self.writer).into(),
                incarnation: snapshot.state.generation,
                sequence: snapshot.next,
            },
            body: Body::Snapshot(Box::new(snapshot)),
        };
        let (log, metrics) = (log.clone(), self.metrics.clone());
        let is_too_large = self.is_too_large.clone();
        self.task = Some(tokio::spawn(async move {
            // Compressing a large state on a worker thread would delay requests for too long.
            let encoded = spawn_blocking(move || record.encode().ok()).await;
            let Some(bytes) = encoded.ok().flatten() else {
                if !is_too_large.swap(true, Ordering::Relaxed) {
                    warn!("the state is too large for a snapshot; remove services or upstreams");
                }
                metrics.snapshots_too_large.inc();
                return;
            };
            is_too_large.store(false, Ordering::Relaxed);
            match log.append(STREAM, bytes).await {
                Ok(_) => {
                    metrics.snapshots_appended.inc();
                }
                Err(report) => metrics.record_append_failure(*report.current_context()),
            }
        }));
    }
}
