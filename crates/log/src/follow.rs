//! A task that follows the log and publishes the agreed state.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use crate::{
    Batch, Error, Log, Relay, Relayed,
    http::check,
    metrics::{Metrics, Source as SourceLabel},
    snapshots::Snapshots,
};
use copperwell_keyspace::{
    checkpoint,
    id::{DaemonName, LogOffset},
    reader::{Phase, Reader},
    record::{STREAM, Snapshot},
    replay::State,
};
use error_stack::{Report, ResultExt};
use rand::RngExt;
use spdlog::{info, warn};
use tokio::{
    sync::watch,
    task::JoinHandle,
    time::{Instant, sleep, timeout, timeout_at},
};

/// How long one read of the log may wait for a record.
pub const READ_WAIT: Duration = Duration::from_secs(4);

/// The wait of a read whose outcome others wait for: by a reader for its peers, and at a reader.
///
/// Each read that ends renews the sign that the log is read, also when it brings no record.
const READ_WAIT_SHARED: Duration = Duration::from_secs(1);

/// The wait of a read while a snapshot may have to be appended soon.
const READ_WAIT_URGENT: Duration = Duration::from_millis(300);

/// The first pause after a failed read; each pause is drawn between half and all of it.
const PAUSE_FIRST: Duration = Duration::from_millis(100);

/// The longest pause after failed reads.
const PAUSE_MAX: Duration = Duration::from_secs(2);

/// How long a peer may take to hand its state over.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(2);

/// How old a peer's own reading may be before the log counts as away.
const RELAY_AGE_MAX: Duration = Duration::from_secs(5);

/// How old a peer's own reading may be before the platform is tried, and then another peer: twice
/// the wait of a read, for a peer that itself reads from a reader, and half of one for the way.
const RELAY_AGE_NEWS: Duration = Duration::from_millis(2500);

/// How long a reader for others leaves the platform alone after it did not answer.
const LOG_REST: Duration = Duration::from_secs(3);

/// The agreed state as this process knows it.
#[derive(Debug, Clone)]
pub struct View {
    /// The state.
    pub state: Arc<State>,
    /// The first offset that the state does not include.
    pub next: LogOffset,
    /// How the view stands to the log.
    pub status: Status,
    /// When the log was last read, by this process or by the peer that told of it.
    pub seen: Option<Instant>,
    /// Whether the last read was of the log itself.
    pub reads_log: bool,
}

/// How a view stands to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// The end of the log was not reached yet.
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
    /// The platform if [`Relay::is_reader`] says so, and peers otherwise; each when the other does
    /// not answer.
    Chosen,
}

/// How a follower reads and what it writes.
#[derive(Debug, Clone)]
pub struct Settings {
    source: Source,
    writer: Option<DaemonName>,
    checkpoint_every: Duration,
}

impl Settings {
    /// Settings of a follower that never appends.
    #[must_use]
    pub fn new(source: Source) -> Self {
        Self {
            source,
            writer: None,
            checkpoint_every: checkpoint::EVERY,
        }
    }

    /// Lets the follower append snapshots when they are due, under a daemon's name.
    #[must_use]
    pub fn with_writer(mut self, writer: impl Into<DaemonName>) -> Self {
        self.writer = Some(writer.into());
        self
    }

    /// Sets the time between snapshots; well below the time that the log keeps records.
    #[must_use]
    pub fn with_checkpoint_every(mut self, every: Duration) -> Self {
        self.checkpoint_every = every;
        self
    }
}

/// A task that follows the log; it ends when this is dropped.
#[derive(Debug)]
pub struct Follower {
    held: Held,
    task: JoinHandle<()>,
}

impl Follower {
    /// Starts to read, without counters and without appending snapshots.
    pub fn start<L: Log, R: Relay>(log: Arc<L>, relay: Arc<R>, source: Source) -> Self {
        Self::start_with(log, relay, Settings::new(source), Metrics::default())
    }

    /// Starts to read.
    pub fn start_with<L: Log, R: Relay>(
        log: Arc<L>,
        relay: Arc<R>,
        settings: Settings,
        metrics: Metrics,
    ) -> Self {
        let reader = Reader::new();
        let (to, view) = watch::channel(Arc::new(View {
            state: reader.state().clone(),
            next: 0,
            status: Status::Starting,
            seen: None,
            reads_log: false,
        }));
        let reader = Arc::new(Mutex::new(reader));
        let held = Held {
            reader: reader.clone(),
            view,
        };
        let every = settings.checkpoint_every;
        let snapshots = settings
            .writer
            .map(|writer| Snapshots::new(writer, every, metrics.clone()));
        let task = Task {
            log,
            relay,
            source: settings.source,
            metrics,
            reader,
            to,
            snapshots,
            reads_log: false,
            rests: Instant::now(),
        };
        Self {
            held,
            task: tokio::spawn(task.run()),
        }
    }

    /// The view, kept up to date.
    #[must_use]
    pub fn view(&self) -> watch::Receiver<Arc<View>> {
        self.held.view.clone()
    }

    /// What is held for peers.
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

/// What a follower holds for peers: the answering side of [`Relay`].
#[derive(Debug, Clone)]
pub struct Held {
    reader: Arc<Mutex<Reader>>,
    view: watch::Receiver<Arc<View>>,
}

impl Held {
    /// Records from an offset on; waits up to `wait` if there are none yet, but not beyond the time
    /// at which the answer would be too old to be of use.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] if records from there on are not held.
    pub async fn records(&self, from: LogOffset, wait: Duration) -> Result<Batch, Report<Error>> {
        let mut view = self.view.clone();
        let wait = Instant::now() + wait;
        loop {
            let seen = view.borrow_and_update().clone();
            let until = match seen.seen {
                Some(read) => wait.min(read + RELAY_AGE_NEWS),
                None => wait,
            };
            // Without a new record the answer is an empty batch.
            let has_news = seen.next > from;
            if has_news || !matches!(timeout_at(until, view.changed()).await, Ok(Ok(()))) {
                break;
            }
        }
        let seen = view.borrow().seen;
        let reader = lock(&self.reader);
        let mut batch = reader
            .recent(from)
            .ok_or_else(|| Report::new(Error::Unavailable))?;
        let age = seen.ok_or_else(|| Report::new(Error::Unavailable))?;
        batch.relayed = Some(Relayed {
            life: reader.state().life,
            age: age.elapsed(),
        });
        Ok(batch)
    }

    /// The whole state.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] if there is none.
    pub fn snapshot(&self) -> Result<Snapshot, Report<Error>> {
        let reader = lock(&self.reader);
        if reader.next() == 0 {
            return Err(Report::new(Error::Unavailable));
        }
        Ok(reader.snapshot())
    }
}

/// The follower's task; the reader's lock is never held across an await.
struct Task<L, R> {
    log: Arc<L>,
    relay: Arc<R>,
    source: Source,
    metrics: Metrics,
    reader: Arc<Mutex<Reader>>,
    to: watch::Sender<Arc<View>>,
    snapshots: Option<Snapshots>,
    /// Whether the last read was of the log itself; only then snapshots are appended.
    reads_log: bool,
    /// Until when the platform is left alone.
    rests: Instant,
}

impl<L: Log, R: Relay> Task<L, R> {
    async fn run(mut self) {
        let mut pause = PAUSE_FIRST;
        self.ask_peers().await;
        while !self.to.is_closed() {
            let settled = match self.read().await {
                Ok(batch) => self.take(&batch).await,
                Err(_) => {
                    self.reads_log = false;
                    self.publish_away();
                    self.ask_peers().await;
                    false
                }
            };
            self.append_if_due();
            if settled {
                pause = PAUSE_FIRST;
                continue;
            }
            let part = rand::rng().random_range(0.5..1.0);
            sleep(pause.mul_f64(part)).await;
            pause = (pause * 2).min(PAUSE_MAX);
        }
    }

    async fn read(&mut self) -> Result<Batch, Report<Error>> {
        let (reads_log, wait) = match self.source {
            Source::Platform => (true, READ_WAIT),
            Source::Peer => (false, READ_WAIT),
            Source::Chosen if self.relay.is_reader() => (true, READ_WAIT_SHARED),
            Source::Chosen => (false, READ_WAIT),
        };
        if reads_log && !self.rests() {
            return match self.read_log(wait).await {
                Ok(batch) => Ok(batch),
                Err(_) => self.read_peer().await,
            };
        }
        let read = self.read_peer().await;
        if read.as_ref().is_ok_and(is_news) || self.rests() {
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

    /// Whether the platform is left alone, so that trying it does not hold up reading from peers.
    fn rests(&self) -> bool {
        self.source == Source::Chosen && Instant::now() < self.rests
    }

    async fn read_log(&mut self, wait: Duration) -> Result<Batch, Report<Error>> {
        let (from, wait) = {
            let reader = lock(&self.reader);
            (reader.position(), wait_of(&reader, wait))
        };
        let read = self.log.read(STREAM, from, wait).await;
        if read.is_err() {
            lock(&self.reader).lose_contact();
            self.rests = Instant::now() + LOG_REST;
        }
        self.count(read, "platform")
    }

    async fn read_peer(&self) -> Result<Batch, Report<Error>> {
        let (from, wait) = {
            let reader = lock(&self.reader);
            (
                reader.position_at_peer(),
                wait_of(&reader, READ_WAIT_SHARED),
            )
        };
        let read = timeout(wait + SNAPSHOT_TIMEOUT, self.relay.records(from, wait)).await;
        let read = read
            .change_context(Error::Unavailable)
            .and_then(|batch| check(batch?, from));
        self.count(read, "peer")
    }

    fn count(
        &self,
        read: Result<Batch, Report<Error>>,
        source: &'static str,
    ) -> Result<Batch, Report<Error>> {
        match &read {
            Ok(_) => {
                let label = SourceLabel { source };
                self.metrics.reads.get_or_create(&label).inc();
            }
            Err(report) => self.metrics.fail_read(*report.current_context()),
        }
        read
    }

    /// Takes a batch in; `false` if the next read should wait a little.
    async fn take(&mut self, batch: &Batch) -> bool {
        self.reads_log = batch.relayed.is_none();
        let (outlived, stuck) = {
            let mut reader = lock(&self.reader);
            let (counts, position) = (reader.counts(), position_in(&reader, batch));
            reader.take(batch);
            self.metrics.add(counts, reader.counts());
            let is_same = position_in(&reader, batch) == position;
            let stuck = is_same && batch.next != position;
            (reader.is_outlived_by(batch), stuck)
        };
        self.publish(batch);
        let wants = lock(&self.reader).phase() == Phase::Gap;
        if outlived || wants {
            self.ask_peers().await;
        }
        // An old answer came at once.
        !stuck && !outlived && is_news(batch)
    }

    /// Takes a peer's state if it is ahead.
    async fn ask_peers(&self) {
        let asked = timeout(SNAPSHOT_TIMEOUT, self.relay.snapshot()).await;
        let Ok(Ok(snapshot)) = asked else { return };
        let mut reader = lock(&self.reader);
        if !reader.adopt(&snapshot) {
            return;
        }
        self.metrics.snapshots_adopted.inc();
        let (state, next) = (reader.state().clone(), reader.next());
        drop(reader);
        info!(
            "took the state up to offset {next} from a peer: manifest version {}",
            state.version()
        );
        self.send(|view| View {
            state: state.clone(),
            next,
            ..view.clone()
        });
    }

    fn publish(&self, batch: &Batch) {
        let age = batch.relayed.map_or(Duration::ZERO, |relayed| relayed.age);
        let now = Instant::now();
        let seen = now.checked_sub(age).unwrap_or(now);
        let is_starting = self.to.borrow().status == Status::Starting;
        let (state, next, status) = {
            let reader = lock(&self.reader);
            let is_behind = reader.next() < batch.next;
            let status = match reader.phase() {
                _ if !is_fresh(batch) => Status::Away(seen),
                // The state of an early record is no state to act on.
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
        let is_away = matches!(status, Status::Away(_));
        self.metrics.away.set(is_away.into());
        self.send(|view| View {
            state: state.clone(),
            next,
            status,
            seen: view.seen.max(Some(seen)),
            reads_log: batch.relayed.is_none(),
        });
    }

    fn publish_away(&self) {
        self.metrics.away.set(1);
        self.send(|view| {
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

    fn send(&self, change: impl Fn(&View) -> View) {
        let view = change(&self.to.borrow());
        let before = self.to.send_replace(Arc::new(view.clone()));
        if std::mem::discriminant(&before.status) == std::mem::discriminant(&view.status) {
            return;
        }
        match view.status {
            Status::Current => info!("the log is followed from offset {}", view.next),
            Status::Starting => {}
            Status::Away(_) => warn!("neither the log nor a peer that reads it answers"),
            Status::Gap => warn!("the log no longer keeps what follows offset {}", view.next),
            Status::Restarted => warn!("the log lost records before offset {}", view.next),
        }
    }

    /// Appends a snapshot if one is due and this reader sees the log itself.
    fn append_if_due(&mut self) {
        let Some(snapshots) = &mut self.snapshots else {
            return;
        };
        let now = Instant::now();
        let due = {
            let reader = lock(&self.reader);
            let is_due = self.reads_log && snapshots.is_due(&reader, now);
            is_due.then(|| reader.checkpoint())
        };
        if let Some(snapshot) = due {
            snapshots.append(&self.log, snapshot, now);
        }
    }
}

fn lock(reader: &Mutex<Reader>) -> MutexGuard<'_, Reader> {
    reader.lock().unwrap_or_else(PoisonError::into_inner)
}

fn wait_of(reader: &Reader, wait: Duration) -> Duration {
    if reader.is_ahead() || reader.is_stranded() {
        READ_WAIT_URGENT
    } else {
        wait
    }
}

/// The offset to read from next at where a batch came from.
fn position_in(reader: &Reader, batch: &Batch) -> LogOffset {
    match batch.relayed {
        Some(_) => reader.position_at_peer(),
        None => reader.position(),
    }
}

/// Whether the peer that answered, or one that it reads from, read the log itself just now.
#[must_use]
pub fn is_news(batch: &Batch) -> bool {
    batch
        .relayed
        .is_none_or(|relayed| relayed.age < RELAY_AGE_NEWS)
}

/// Whether the peer that answered read the log itself not long ago.
fn is_fresh(batch: &Batch) -> bool {
    batch
        .relayed
        .is_none_or(|relayed| relayed.age <= RELAY_AGE_MAX)
}
