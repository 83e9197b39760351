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

/// The pause between two appends of a snapshot.
const PAUSE: Duration = Duration::from_secs(2);

/// When a reader appends snapshots, and the append that is under way.
#[derive(Debug)]
pub(crate) struct Snapshots {
    writer: DaemonName,
    every: Duration,
    metrics: Metrics,
    /// Snapshots read so far, and when the last one was.
    read: u64,
    read_at: Instant,
    /// Since when the log lacks something that the reader holds.
    ahead_since: Option<Instant>,
    /// Since when the reader misses records.
    stranded_since: Option<Instant>,
    tried_at: Option<Instant>,
    append: Option<JoinHandle<()>>,
    /// Whether the last snapshot did not fit a record.
    is_too_large: Arc<AtomicBool>,
}

impl Snapshots {
    /// Snapshots that a daemon appends, `every` so often if no other one does.
    pub(crate) fn new(writer: DaemonName, every: Duration, metrics: Metrics) -> Self {
        Self {
            writer,
            every,
            metrics,
            read: 0,
            read_at: Instant::now(),
            ahead_since: None,
            stranded_since: None,
            tried_at: None,
            append: None,
            is_too_large: Arc::default(),
        }
    }

    /// Whether the reader's state should be appended now.
    pub(crate) fn is_due(&mut self, reader: &Reader, now: Instant) -> bool {
        if reader.snapshots() != self.read {
            self.read = reader.snapshots();
            self.read_at = now;
        }
        let since = |holds: bool, since: Option<Instant>| holds.then(|| since.unwrap_or(now));
        self.ahead_since = since(reader.is_ahead(), self.ahead_since);
        self.stranded_since = since(reader.is_stranded(), self.stranded_since);
        let is_busy = self.append.as_ref().is_some_and(|task| !task.is_finished());
        let is_early = self.tried_at.is_some_and(|tried| now - tried < PAUSE);
        let is_unsure = matches!(reader.phase(), Phase::Starting | Phase::Short);
        if is_busy || is_early || is_unsure || reader.state().manifest.is_none() {
            return false;
        }
        let need = checkpoint::Need {
            since: now - self.read_at,
            records: reader.since_snapshot(),
            urgent: self.ahead_since.map(|since| now - since),
            stranded: self.stranded_since.map(|since| now - since),
        };
        let spread = checkpoint::spread_of(&self.writer, reader.next());
        checkpoint::is_due(&need, self.every, spread)
    }

    /// Appends a snapshot in the background.
    pub(crate) fn append<L: Log>(&mut self, log: &Arc<L>, snapshot: Snapshot, now: Instant) {
        self.tried_at = Some(now);
        let record = Record {
            id: Id {
                writer: format!("{}/checkpoint", self.writer).into(),
                incarnation: snapshot.state.life,
                sequence: snapshot.next,
            },
            body: Body::Snapshot(Box::new(snapshot)),
        };
        let (log, metrics) = (log.clone(), self.metrics.clone());
        let is_too_large = self.is_too_large.clone();
        self.append = Some(tokio::spawn(async move {
            // To compress a large state takes longer than a worker may be kept from requests.
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
                Err(report) => metrics.fail_append(*report.current_context()),
            }
        }));
    }
}
