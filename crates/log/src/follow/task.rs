//! The task that reads the log, or a peer, and publishes what it read.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use super::{READ_WAIT, Source, Status, View, is_news, lock};
use crate::{
    Batch, Error, Log, Relay,
    http::check,
    metrics::{Metrics, Source as SourceLabel},
    snapshots::Snapshots,
};
use copperwell_keyspace::{
    id::LogOffset,
    reader::{Phase, Reader},
    record::STREAM,
};
use error_stack::{Report, ResultExt};
use rand::RngExt;
use spdlog::{info, warn};
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout},
};

/// How long a read waits if others depend on its result: a reader's own reads of the log, and
/// reads from a peer.
///
/// Every read that completes, even without a record, confirms that the log is reachable.
const READ_WAIT_SHARED: Duration = Duration::from_secs(1);

/// How long a read waits while a snapshot may have to be appended soon.
const READ_WAIT_URGENT: Duration = Duration::from_millis(300);

/// The first backoff after a failed read; jitter shortens each backoff by up to half.
const BACKOFF_MIN: Duration = Duration::from_millis(100);

/// The longest backoff after failed reads, before jitter.
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// How long a peer may take to send its snapshot, or its records beyond the wait of the read.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(2);

/// How long ago a peer may have read the log before the log counts as unreachable.
const RELAY_AGE_MAX: Duration = Duration::from_secs(5);

/// How long a follower with [`Source::Chosen`] does not read the log after a failed read.
const LOG_BACKOFF: Duration = Duration::from_secs(3);

/// The follower's task, which never holds the reader's lock across an await.
pub(super) struct Task<L, R> {
    pub(super) log: Arc<L>,
    pub(super) relay: Arc<R>,
    pub(super) source: Source,
    pub(super) metrics: Metrics,
    pub(super) reader: Arc<Mutex<Reader>>,
    pub(super) sender: watch::Sender<Arc<View>>,
    pub(super) snapshots: Option<Snapshots>,
    /// Whether the last read was from the log itself; snapshots are appended only then.
    pub(super) reads_log: bool,
    /// The earliest time of the next read of the log after a failed one.
    pub(super) log_retry_at: Instant,
}

impl<L: Log, R: Relay> Task<L, R> {
    pub(super) async fn run(mut self) {
        let mut backoff = BACKOFF_MIN;
        self.adopt_peer_snapshot().await;
        while !self.sender.is_closed() {
            let can_continue = match self.read().await {
                Ok(batch) => self.apply(&batch).await,
                Err(_) => {
                    self.reads_log = false;
                    self.publish_unreachable();
                    self.adopt_peer_snapshot().await;
                    false
                }
            };
            self.append_if_due();
            if can_continue {
                backoff = BACKOFF_MIN;
                continue;
            }
            let jitter = rand::rng().random_range(0.5..1.0);
            sleep(backoff.mul_f64(jitter)).await;
            backoff = (backoff * 2).min(BACKOFF_MAX);
        }
    }

    async fn read(&mut self) -> Result<Batch, Report<Error>> {
        let (reads_log, wait) = match self.source {
            Source::Platform => (true, READ_WAIT),
            Source::Peer => (false, READ_WAIT),
            Source::Chosen if self.relay.is_reader() => (true, READ_WAIT_SHARED),
            Source::Chosen => (false, READ_WAIT),
        };
        if reads_log && !self.is_log_suspended() {
            return match self.read_log(wait).await {
                Ok(batch) => Ok(batch),
                Err(_) => self.read_peer().await,
            };
        }
        let read = self.read_peer().await;
        if read.as_ref().is_ok_and(is_news) || self.is_log_suspended() {
            return read;
        }
        match (self.read_log(wait).await, read) {
            (Ok(batch), _) => {
                self.relay.avoid();
                self.metrics.peers_avoided.inc();
                Ok(batch)
            }
            (Err(_), Ok(batch)) => Ok(batch),
            (Err(report), Err(_)) => Err(report),
        }
    }

    /// Whether the log is not read at present, so that its timeouts do not delay reads from peers.
    fn is_log_suspended(&self) -> bool {
        self.source == Source::Chosen && Instant::now() < self.log_retry_at
    }

    async fn read_log(&mut self, wait: Duration) -> Result<Batch, Report<Error>> {
        let (from, wait) = {
            let reader = lock(&self.reader);
            (reader.position(), effective_wait(&reader, wait))
        };
        let read = self.log.read(STREAM, from, wait).await;
        if read.is_err() {
            lock(&self.reader).record_failed_read();
            self.log_retry_at = Instant::now() + LOG_BACKOFF;
        }
        self.count_read(read, "platform")
    }

    async fn read_peer(&self) -> Result<Batch, Report<Error>> {
        let (from, wait) = {
            let reader = lock(&self.reader);
            (
                reader.position_at_peer(),
                effective_wait(&reader, READ_WAIT_SHARED),
            )
        };
        let read = timeout(wait + SNAPSHOT_TIMEOUT, self.relay.records(from, wait)).await;
        let read = read
            .change_context(Error::Unavailable)
            .and_then(|batch| check(batch?, from));
        self.count_read(read, "peer")
    }

    fn count_read(
        &self,
        read: Result<Batch, Report<Error>>,
        source: &'static str,
    ) -> Result<Batch, Report<Error>> {
        match &read {
            Ok(_) => {
                let label = SourceLabel { source };
                self.metrics.reads.get_or_create(&label).inc();
            }
            Err(report) => self.metrics.record_read_failure(*report.current_context()),
        }
        read
    }

    /// Applies a batch and publishes the new view; returns whether the next read needs no backoff.
    async fn apply(&mut self, batch: &Batch) -> bool {
        self.reads_log = batch.relayed.is_none();
        let (is_outdated, is_stuck) = {
            let mut reader = lock(&self.reader);
            let (counts, position) = (reader.counts(), next_position(&reader, batch));
            reader.apply_batch(batch);
            self.metrics.add_counts(counts, reader.counts());
            let is_same = next_position(&reader, batch) == position;
            let is_stuck = is_same && batch.next != position;
            (reader.is_superseded_by(batch), is_stuck)
        };
        self.publish(batch);
        let has_gap = lock(&self.reader).phase() == Phase::Gap;
        if is_outdated || has_gap {
            self.adopt_peer_snapshot().await;
        }
        // A stale peer responds at once, so that reading on would be a busy loop.
        !is_stuck && !is_outdated && is_news(batch)
    }

    /// Adopts a peer's state if it is ahead of this one.
    async fn adopt_peer_snapshot(&self) {
        let response = timeout(SNAPSHOT_TIMEOUT, self.relay.snapshot()).await;
        let Ok(Ok(snapshot)) = response else { return };
        let mut reader = lock(&self.reader);
        if !reader.adopt(&snapshot) {
            return;
        }
        self.metrics.snapshots_adopted.inc();
        let (state, next) = (reader.state().clone(), reader.next());
        drop(reader);
        info!(
            "adopted a peer's state up to offset {next}: manifest version {}",
            state.version()
        );
        self.update(|view| View {
            state: state.clone(),
            next,
            ..view.clone()
        });
    }

    fn publish(&self, batch: &Batch) {
        let age = batch.relayed.map_or(Duration::ZERO, |relayed| relayed.age);
        let now = Instant::now();
        let last_read = now.checked_sub(age).unwrap_or(now);
        let is_starting = self.sender.borrow().status == Status::Starting;
        let (state, next, status) = {
            let reader = lock(&self.reader);
            let is_behind = reader.next() < batch.next;
            let status = match reader.phase() {
                _ if !is_fresh(batch) => Status::Away(last_read),
                // Until the end of the log is reached, the state is too old to act on.
                Phase::Following if is_starting && is_behind => Status::Starting,
                Phase::Starting => Status::Starting,
                Phase::Following | Phase::Short => Status::Current,
                Phase::Gap => Status::Gap,
                Phase::Restarted => Status::Restarted,
            };
            (reader.state().clone(), reader.next(), status)
        };
        self.metrics
            .next
            .set(i64::try_from(next).unwrap_or(i64::MAX));
        let lag = batch.next.saturating_sub(next);
        self.metrics.lag.set(i64::try_from(lag).unwrap_or(i64::MAX));
        let is_unreachable = matches!(status, Status::Away(_));
        self.metrics.away.set(is_unreachable.into());
        self.update(|view| View {
            state: state.clone(),
            next,
            status,
            last_read: view.last_read.max(Some(last_read)),
            reads_log: batch.relayed.is_none(),
        });
    }

    fn publish_unreachable(&self) {
        self.metrics.away.set(1);
        self.update(|view| {
            let status = match view.status {
                Status::Away(since) => Status::Away(since),
                _ => Status::Away(Instant::now()),
            };
            View {
                status,
                reads_log: false,
                ..view.clone()
            }
        });
    }

    fn update(&self, change: impl Fn(&View) -> View) {
        let view = change(&self.sender.borrow());
        let before = self.sender.send_replace(Arc::new(view.clone()));
        if std::mem::discriminant(&before.status) == std::mem::discriminant(&view.status) {
            return;
        }
        match view.status {
            Status::Current => info!("following the log from offset {}", view.next),
            Status::Starting => {}
            Status::Away(_) => warn!("neither the log nor a peer that reads it responds"),
            Status::Gap => warn!(
                "the log no longer keeps the records from offset {}",
                view.next
            ),
            Status::Restarted => warn!("the log lost records before offset {}", view.next),
        }
    }

    /// Appends a snapshot if one is due and the last read was from the log itself.
    fn append_if_due(&mut self) {
        let Some(snapshots) = &mut self.snapshots else {
            return;
        };
        let now = Instant::now();
        let due = {
            let reader = lock(&self.reader);
            let is_due = self.reads_log && snapshots.is_due(&reader, now);
            is_due.then(|| reader.snapshot_to_append())
        };
        if let Some(snapshot) = due {
            snapshots.append(&self.log, snapshot, now);
        }
    }
}

fn effective_wait(reader: &Reader, wait: Duration) -> Duration {
    if reader.is_ahead() || reader.has_open_gap() {
        READ_WAIT_URGENT
    } else {
        wait
    }
}

/// Returns the offset to read next from the source of a batch.
fn next_position(reader: &Reader, batch: &Batch) -> LogOffset {
    match batch.relayed {
        Some(_) => reader.position_at_peer(),
        None => reader.position(),
    }
}

/// Whether a batch is recent enough for the log to count as reachable.
fn is_fresh(batch: &Batch) -> bool {
    batch
        .relayed
        .is_none_or(|relayed| relayed.age <= RELAY_AGE_MAX)
}
