//! The connection pool of one server.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use crate::{
    client,
    connection::{ConnectError, Connection, READY_TIMEOUT},
    framing::RequestHash,
    metrics::{Label, Metrics},
    pool::Timing,
};
use copperwell_keyspace::manifest::Upstream;
use copperwell_progress::READ_MAX_BYTES;
use tokio::{sync::Semaphore, time::Instant};

/// Connections to a server reserved for the control orders of the leader and its successor.
const CONTROL_SHARE: u32 = 2 * client::CONNECTIONS_MAX;

/// A bounded pool of connections to one server.
#[derive(Debug)]
pub struct Lane {
    address: SocketAddr,
    connections_max: u32,
    connections_min: usize,
    timing: Timing,
    metrics: Metrics,
    permits: Arc<Semaphore>,
    idle: Mutex<Vec<Connection>>,
    is_warming_up: AtomicBool,
    closed: Arc<Closed>,
    read_bytes: usize,
}

/// When the server last closed a connection of a pool.
#[derive(Debug, Default)]
pub(crate) struct Closed(Mutex<Option<Instant>>);

/// The error for a pool in which the server has closed an idle connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ServerClosed;

impl Lane {
    /// Creates the pool of an upstream, whose slots bound the warm minimum.
    pub(crate) fn for_upstream(upstream: &Upstream, timing: Timing, metrics: Metrics) -> Self {
        let timing = Timing {
            warm: upstream.slots.min(timing.warm),
            ..timing
        };
        Self::new(
            upstream.address,
            connections_max_of(upstream),
            timing,
            metrics,
        )
    }

    /// Creates a pool of at most `connections_max` connections to one server.
    #[must_use]
    pub fn new(
        address: SocketAddr,
        connections_max: u32,
        timing: Timing,
        metrics: Metrics,
    ) -> Self {
        Self {
            address,
            connections_max,
            connections_min: timing.warm.min(connections_max) as usize,
            timing,
            metrics,
            permits: Arc::new(Semaphore::new(connections_max as usize)),
            idle: Mutex::default(),
            is_warming_up: AtomicBool::new(false),
            closed: Arc::default(),
            read_bytes: READ_MAX_BYTES,
        }
    }

    /// Sets the maximum number of bytes that are read at a time.
    #[must_use]
    pub fn with_read_bytes(self, read_bytes: usize) -> Self {
        Self { read_bytes, ..self }
    }

    /// Returns whether the pool's limit is still the one that `upstream` sets.
    pub(crate) fn has_limit_of(&self, upstream: &Upstream) -> bool {
        self.connections_max == connections_max_of(upstream)
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.connections_max as usize - self.permits.available_permits()
    }

    /// Returns whether the pool has as many open connections as it may.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.permits.available_permits() == 0
    }

    /// Returns when the server last closed a connection; `None` if it never has.
    pub(crate) fn closed_at(&self) -> Option<Instant> {
        *self.closed.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the server's address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the connection counters.
    pub(crate) fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Takes the most recently used idle connection that can accept a request.
    pub(crate) async fn take_idle(&self) -> Option<Connection> {
        self.take_idle_for(None).await
    }

    /// Like [`Self::take_idle`], but none that has carried the request `id` before.
    pub(crate) async fn take_idle_for(&self, id: Option<RequestHash>) -> Option<Connection> {
        loop {
            let mut connection = self.pop_for(id)?;
            if connection.is_within_keep_alive() && connection.is_ready_within(READY_TIMEOUT).await
            {
                self.metrics.reused.inc();
                return Some(connection);
            }
        }
    }

    fn pop_for(&self, id: Option<RequestHash>) -> Option<Connection> {
        let mut idle = self.idle();
        let usable = idle.iter().rposition(|one| one.may_carry(id))?;
        Some(idle.remove(usable))
    }

    /// Takes the idle connection unused for longest that can accept a request.
    ///
    /// # Errors
    ///
    /// [`ServerClosed`] if the server has closed an idle connection found before a usable one: the
    /// process that listens now may be a later incarnation.
    pub(crate) async fn take_idle_strict(&self) -> Result<Option<Connection>, ServerClosed> {
        if self.drop_closed() {
            return Err(ServerClosed);
        }
        loop {
            let Some(mut connection) = self.pop_longest_idle() else {
                return Ok(None);
            };
            if connection.is_within_keep_alive() && connection.is_ready_within(READY_TIMEOUT).await
            {
                self.metrics.reused.inc();
                return Ok(Some(connection));
            }
            if connection.is_closed() {
                return Err(ServerClosed);
            }
        }
    }

    fn pop_longest_idle(&self) -> Option<Connection> {
        let mut idle = self.idle();
        (!idle.is_empty()).then(|| idle.remove(0))
    }

    /// Drops the idle connections that the server has closed, and returns whether there were any.
    fn drop_closed(&self) -> bool {
        let mut idle = self.idle();
        let before = idle.len();
        idle.retain(|connection| !connection.is_closed());
        idle.len() < before
    }

    /// Opens a connection; `None` if the pool is full or the connection could not be opened.
    pub(crate) async fn open(&self, limit: Duration) -> Option<Connection> {
        self.try_open(limit).await.ok()
    }

    /// Opens a connection, unless the pool is full.
    ///
    /// # Errors
    ///
    /// [`ConnectError`] if the connection could not be opened; a full pool counts as timed out.
    pub(crate) async fn try_open(&self, limit: Duration) -> Result<Connection, ConnectError> {
        let permit = self.permits.clone().try_acquire_owned();
        let permit = permit.map_err(|_| ConnectError::TimedOut)?;
        let connect_timeout = limit.min(self.timing.connect);
        let connection = Connection::open(
            self.address,
            connect_timeout,
            permit,
            self.metrics.bytes.clone(),
            self.closed.clone(),
            self.read_bytes,
        )
        .await?;
        self.metrics.opened.inc();
        Ok(connection)
    }

    /// Closes idle connections that have not carried bytes since `since`.
    ///
    /// Called when a connection went silent: the others may have gone silent with it.
    pub(crate) fn drop_inactive_since(&self, since: Instant) {
        let mut idle = self.idle();
        let before = idle.len();
        idle.retain(|connection| connection.last_activity() > since);
        let dropped = before - idle.len();
        drop(idle);
        for _ in 0..dropped {
            self.count_closed("unproven");
        }
    }

    /// Counts a connection that this side closed.
    pub(crate) fn count_closed(&self, reason: &'static str) {
        let label = Label::new(reason);
        self.metrics.closed.get_or_create(&label).inc();
    }

    /// Puts a connection back into the pool after its response was read completely.
    pub(crate) fn put_back(&self, connection: Connection) {
        if connection.is_closed() || connection.is_worn() {
            return;
        }
        let expires_before = Instant::now().checked_sub(self.timing.idle);
        let mut idle = self.idle();
        idle.push(connection);
        // The least recently used connection comes first: the last one put back is reused first.
        while idle.len() > self.connections_min
            && expires_before.is_some_and(|limit| idle[0].last_activity() < limit)
        {
            drop(idle.remove(0));
        }
    }

    /// Starts a task that opens connections up to the warm minimum.
    pub(crate) fn spawn_warm_up(self: &Arc<Self>) {
        if self.open_connections() >= self.connections_min
            || self.is_warming_up.load(Ordering::Acquire)
        {
            return;
        }
        let lane = self.clone();
        tokio::spawn(async move { lane.warm_up().await });
    }

    /// Opens connections up to the warm minimum, stopping at the first failure.
    pub(crate) async fn warm_up(&self) {
        let Some(_guard) = WarmUpGuard::begin(&self.is_warming_up) else {
            return;
        };
        while self.open_connections() < self.connections_min {
            let Some(connection) = self.open(self.timing.connect).await else {
                return;
            };
            self.idle().insert(0, connection);
        }
    }
}

impl Closed {
    pub(crate) fn record(&self) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
    }
}

/// Marks a pool as being warmed up until dropped, so that cancellation clears the mark too.
struct WarmUpGuard<'a>(&'a AtomicBool);

impl<'a> WarmUpGuard<'a> {
    fn begin(flag: &'a AtomicBool) -> Option<Self> {
        (!flag.swap(true, Ordering::AcqRel)).then_some(Self(flag))
    }
}

impl Drop for WarmUpGuard<'_> {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Release);
    }
}

/// Returns the upstream's connection limit without [`CONTROL_SHARE`], but at least one.
fn connections_max_of(upstream: &Upstream) -> u32 {
    upstream.connections.saturating_sub(CONTROL_SHARE).max(1)
}
