//! Reads the log and keeps the agreed state.

use std::{sync::Arc, time::Duration};

use crate::{Batch, Error, Log, Relay};
use copperwell_keyspace::{
    id::LogOffset,
    record::{Record, STREAM},
    replay::State,
};
use error_stack::Report;
use rand::RngExt;
use tokio::{
    sync::watch,
    task::JoinHandle,
    time::{Instant, sleep},
};

/// How long one read of the log may wait for a record.
pub const READ_WAIT: Duration = Duration::from_secs(10);

/// The pause after a failed read; each pause is drawn between half and all of it.
const PAUSE: Duration = Duration::from_millis(200);

/// The agreed state as this process knows it.
#[derive(Debug, Clone)]
pub struct View {
    /// The state.
    pub state: Arc<State>,
    /// The first offset that the state does not include.
    pub next: LogOffset,
    /// How the view stands to the log.
    pub status: Status,
}

/// How a view stands to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// Nothing was read yet.
    Starting,
    /// The last read succeeded.
    Current,
    /// Reads fail since then.
    Away(Instant),
    /// Retention took records that this reader has not seen; a snapshot is awaited.
    Gap,
    /// The log lost records that this reader has seen; what it held is kept.
    Restarted,
}

/// Where a follower reads first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Source {
    /// The platform; peers when it does not answer.
    #[default]
    Platform,
    /// Peers; the platform when none answers.
    Peer,
}

/// A task that reads the log.
#[derive(Debug)]
pub struct Follower {
    view: watch::Receiver<Arc<View>>,
    task: JoinHandle<()>,
}

impl Follower {
    /// Starts to read.
    pub fn start<L: Log, R: Relay>(log: Arc<L>, relay: Arc<R>, source: Source) -> Self {
        let first = View {
            state: Arc::new(State::default()),
            next: 0,
            status: Status::Starting,
        };
        let (to, view) = watch::channel(Arc::new(first));
        let reader = Reader {
            log,
            relay,
            source,
            to,
        };
        Self {
            view,
            task: tokio::spawn(reader.run()),
        }
    }

    /// The view, kept up to date.
    #[must_use]
    pub fn view(&self) -> watch::Receiver<Arc<View>> {
        self.view.clone()
    }
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Reader<L, R> {
    log: Arc<L>,
    relay: Arc<R>,
    source: Source,
    to: watch::Sender<Arc<View>>,
}

impl<L: Log, R: Relay> Reader<L, R> {
    async fn run(self) {
        while !self.to.is_closed() {
            match self.read().await {
                Ok(batch) => self.take(batch),
                Err(_) => {
                    self.note_away();
                    let part = rand::rng().random_range(0.5..1.0);
                    sleep(PAUSE.mul_f64(part)).await;
                }
            }
        }
    }

    async fn read(&self) -> Result<Batch, Report<Error>> {
        let from = self.to.borrow().next;
        match self.source {
            Source::Platform => match self.log.read(STREAM, from, READ_WAIT).await {
                Ok(batch) => Ok(batch),
                Err(_) => self.relay.records(from, READ_WAIT).await,
            },
            Source::Peer => match self.relay.records(from, READ_WAIT).await {
                Ok(batch) => Ok(batch),
                Err(_) => self.log.read(STREAM, from, READ_WAIT).await,
            },
        }
    }

    fn take(&self, batch: Batch) {
        let mut view = View::clone(&self.to.borrow());
        let state = Arc::make_mut(&mut view.state);
        for entry in &batch.records {
            if entry.offset < view.next {
                continue;
            }
            view.next = entry.offset + 1;
            if let Ok(record) = Record::decode(&entry.bytes) {
                state.apply(entry.offset, &record);
            }
        }
        view.status = Status::Current;
        self.to.send_replace(Arc::new(view));
    }

    fn note_away(&self) {
        self.to.send_if_modified(|held| {
            if matches!(held.status, Status::Away(_)) {
                return false;
            }
            let mut view = View::clone(held);
            view.status = Status::Away(Instant::now());
            *held = Arc::new(view);
            true
        });
    }
}
