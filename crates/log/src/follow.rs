//! Follows the log and publishes the replicated state.

mod held;
mod task;

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use crate::{Batch, Log, Relay, metrics::Metrics, snapshots::Snapshots};
use copperwell_keyspace::{
    checkpoint,
    id::{DaemonName, LogOffset},
    reader::Reader,
    replay::State,
};
use tokio::{sync::watch, task::JoinHandle, time::Instant};

pub use held::Held;
use task::Task;

/// How long a read waits for a record.
pub const READ_WAIT: Duration = Duration::from_secs(4);

/// How long ago a peer may have read the log before this process reads the log itself and then
/// changes to another peer: twice the shared wait, for a peer that reads from a reader in turn, and
/// half of it for the network.
const RELAY_AGE_RECENT: Duration = Duration::from_millis(2500);

/// The replicated state as this process has read it.
#[derive(Debug, Clone)]
pub struct View {
    /// The state up to `next`.
    pub state: Arc<State>,
    /// The first offset that the state does not include.
    pub next: LogOffset,
    /// Whether the view is current, and why if it is not.
    pub status: Status,
    /// When the log was last read, by this process or by the peer that relayed its records.
    pub last_read: Option<Instant>,
    /// Whether the last read was from the log itself and succeeded.
    pub reads_log: bool,
}

/// How far a view agrees with the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// The end of the log has not been reached yet.
    Starting,
    /// The last read succeeded.
    Current,
    /// The log has not been reachable, directly or through a peer, since this instant.
    Away(Instant),
    /// Retention removed records that this process has not read; waits for a snapshot.
    Gap,
    /// The log lost records that this process has read; the state still includes them.
    Restarted,
}

/// Where a follower reads from first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Source {
    /// The platform; peers if it does not respond.
    #[default]
    Platform,
    /// Peers; the platform if their records are missing or stale.
    Peer,
    /// The platform if [`Relay::is_reader`] returns `true`, and peers otherwise; each is the
    /// fallback of the other.
    Chosen,
}

/// Settings of a [`Follower`].
#[derive(Debug, Clone)]
pub struct Settings {
    source: Source,
    writer: Option<DaemonName>,
    checkpoint_interval: Duration,
}

impl Settings {
    /// Creates settings of a follower that never appends.
    #[must_use]
    pub fn new(source: Source) -> Self {
        Self {
            source,
            writer: None,
            checkpoint_interval: checkpoint::PERIOD,
        }
    }

    /// Lets the follower append snapshots when they are due, in the name of a daemon.
    #[must_use]
    pub fn with_writer(mut self, writer: impl Into<DaemonName>) -> Self {
        self.writer = Some(writer.into());
        self
    }

    /// Sets the time between snapshots, which must be well below the retention time of the log.
    #[must_use]
    pub fn with_checkpoint_interval(mut self, interval: Duration) -> Self {
        self.checkpoint_interval = interval;
        self
    }
}

/// A handle to a task that follows the log; dropping it ends the task.
#[derive(Debug)]
pub struct Follower {
    held: Held,
    task: JoinHandle<()>,
}

impl Follower {
    /// Starts a follower that has no metrics and appends no snapshots.
    pub fn start<L: Log, R: Relay>(log: Arc<L>, relay: Arc<R>, source: Source) -> Self {
        Self::start_with(log, relay, Settings::new(source), Metrics::default())
    }

    /// Starts a follower.
    pub fn start_with<L: Log, R: Relay>(
        log: Arc<L>,
        relay: Arc<R>,
        settings: Settings,
        metrics: Metrics,
    ) -> Self {
        let reader = Reader::new();
        let (sender, view) = watch::channel(Arc::new(View {
            state: reader.state().clone(),
            next: 0,
            status: Status::Starting,
            last_read: None,
            reads_log: false,
        }));
        let reader = Arc::new(Mutex::new(reader));
        let held = Held {
            reader: reader.clone(),
            view,
        };
        let interval = settings.checkpoint_interval;
        let snapshots = settings
            .writer
            .map(|writer| Snapshots::new(writer, interval, metrics.clone()));
        let task = Task {
            log,
            relay,
            source: settings.source,
            metrics,
            reader,
            sender,
            snapshots,
            reads_log: false,
            log_retry_at: Instant::now(),
        };
        Self {
            held,
            task: tokio::spawn(task.run()),
        }
    }

    /// Returns a receiver of the latest view.
    #[must_use]
    pub fn view(&self) -> watch::Receiver<Arc<View>> {
        self.held.view.clone()
    }

    /// Returns access for peers to what the follower has read.
    #[must_use]
    pub fn held(&self) -> Held {
        self.held.clone()
    }
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn lock(reader: &Mutex<Reader>) -> MutexGuard<'_, Reader> {
    reader.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Whether a batch is from the log itself, or from a peer that knows of a recent read of the log.
#[must_use]
pub fn is_news(batch: &Batch) -> bool {
    batch
        .relayed
        .is_none_or(|relayed| relayed.age < RELAY_AGE_RECENT)
}
