//! The pool of request connections.
//!
//! Lock order: the map of lanes, then one lane's idle connections. No lock is held across an
//! await.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use crate::{
    Forward, client,
    connection::{Connection, READY_LIMIT, Unanswered},
    exchange::{self, Unsendable},
    metrics::{Label, Metrics},
    order::Order,
};
use copperwell_keyspace::{HashMap, ServiceName, manifest::Upstream};
use copperwell_message::{Body, Reason, Request, Response, Sender, Verdict};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{Instant, sleep_until, timeout_at},
};

/// Connections of a server that are left to control orders: the leader's and its successor's.
pub const CONTROL_SHARE: u32 = 2 * client::CONNECTIONS;

/// The silence limit of a service that has none set.
pub const SILENCE_DEFAULT: Duration = Duration::from_secs(2);

/// Answers up to this size are read whole before they are passed on, in bytes.
const SMALL_BYTES_MAX: u64 = 16 * 1024;

/// Servers that have a lane.
const LANES_MAX: usize = 4096;

/// Sends requests over HTTP/1.1 on bounded pools of connections, one for each server.
#[derive(Debug)]
pub struct Pool {
    timing: Timing,
    metrics: Metrics,
    silences: RwLock<HashMap<ServiceName, Duration>>,
    lanes: Mutex<HashMap<SocketAddr, Arc<Lane>>>,
}

/// Time limits and the warm minimum of a [`Pool`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// For a new connection.
    pub connect: Duration,
    /// How long a connection beyond the warm minimum may stay unused.
    pub idle: Duration,
    /// Connections kept open to a server, at most its slots.
    pub warm: u32,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            idle: Duration::from_secs(60),
            warm: 2,
        }
    }
}

/// The connections to one server.
#[derive(Debug)]
struct Lane {
    to: SocketAddr,
    limit: u32,
    warm: usize,
    timing: Timing,
    metrics: Metrics,
    room: Arc<Semaphore>,
    idle: Mutex<Vec<Connection>>,
    warming: AtomicBool,
}

/// A request that failed before its response head arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Failed {
    verdict: Verdict,
    reason: Reason,
}

impl Default for Pool {
    fn default() -> Self {
        Self::new()
    }
}

impl Pool {
    /// A pool with default time limits.
    #[must_use]
    pub fn new() -> Self {
        Self::with_timing(Timing::default())
    }

    /// A pool with these time limits.
    #[must_use]
    pub fn with_timing(timing: Timing) -> Self {
        Self {
            timing,
            metrics: Metrics::default(),
            silences: RwLock::default(),
            lanes: Mutex::default(),
        }
    }

    /// The pool's counters.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Sets how long a connection may make no progress on a request of this service.
    pub fn set_silence(&self, service: &ServiceName, silence: Duration) {
        let mut silences = self
            .silences
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        silences.insert(service.clone(), silence);
    }

    /// Opens connections to a server until the warm minimum is there; failures end it.
    pub async fn warm(&self, upstream: &Upstream) {
        self.lane(upstream).warm_up().await;
    }

    /// Closes idle connections to every server for which `keep` is false.
    pub fn retain(&self, keep: impl Fn(SocketAddr) -> bool) {
        self.lanes().retain(|to, _| keep(*to));
    }

    /// Connections that are open to a server.
    #[must_use]
    pub fn open_connections(&self, to: SocketAddr) -> usize {
        let lanes = self.lanes();
        lanes.get(&to).map_or(0, |lane| lane.open_connections())
    }

    fn lanes(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Lane>>> {
        self.lanes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The lane of an upstream; a new one if its limits changed.
    fn lane(&self, upstream: &Upstream) -> Arc<Lane> {
        let mut lanes = self.lanes();
        if let Some(lane) = lanes.get(&upstream.address)
            && lane.fits(upstream)
        {
            return lane.clone();
        }
        if lanes.len() >= LANES_MAX {
            lanes.retain(|_, lane| Arc::strong_count(lane) > 1);
        }
        let lane = Arc::new(Lane::new(upstream, self.timing, self.metrics.clone()));
        lanes.insert(upstream.address, lane.clone());
        lane
    }

    fn silence_of(&self, service: &str) -> Duration {
        let silences = self.silences.read().unwrap_or_else(PoisonError::into_inner);
        silences.get(service).copied().unwrap_or(SILENCE_DEFAULT)
    }
}

impl Forward for Pool {
    async fn forward(&self, upstream: &Upstream, order: Order, request: Request) -> Response {
        let deadline = Instant::now() + order.deadline;
        let silence = self.silence_of(&request.head.service);
        let lane = self.lane(upstream);
        let answer = lane.exchange(order, request, silence, deadline).await;
        lane.keep_warm();
        answer.unwrap_or_else(|failed| {
            let label = Label::new(failed.reason.as_str());
            self.metrics.failed.get_or_create(&label).inc();
            Response::refusal(failed.verdict, failed.reason)
        })
    }
}

impl Failed {
    fn not_run(reason: Reason) -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason,
        }
    }

    fn may_have_run(reason: Reason) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            reason,
        }
    }
}

impl Lane {
    fn new(upstream: &Upstream, timing: Timing, metrics: Metrics) -> Self {
        let limit = limit_of(upstream);
        Self {
            to: upstream.address,
            limit,
            warm: upstream.slots.min(timing.warm).min(limit) as usize,
            timing,
            metrics,
            room: Arc::new(Semaphore::new(limit as usize)),
            idle: Mutex::default(),
            warming: AtomicBool::new(false),
        }
    }

    fn fits(&self, upstream: &Upstream) -> bool {
        self.limit == limit_of(upstream)
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn open_connections(&self) -> usize {
        self.limit as usize - self.room.available_permits()
    }

    /// Sends a request and reads the head of its answer.
    async fn exchange(
        self: &Arc<Self>,
        order: Order,
        request: Request,
        silence: Duration,
        deadline: Instant,
    ) -> Result<Response, Failed> {
        let head = exchange::head_of(self.to, &request.head, order.epoch)
            .map_err(|Unsendable| Failed::not_run(Reason::BadRequest))?;
        let mut request = exchange::request_of(head, request.body);
        loop {
            let idle = self.take_idle().await;
            let reused = idle.is_some();
            let mut connection = match idle {
                Some(connection) => connection,
                None => self.open(deadline).await?,
            };
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                self.put_back(connection);
                return Err(Failed::not_run(Reason::DeadlineHopeless));
            }
            exchange::set_deadline(&mut request, left);
            match connection.send(request, silence, deadline).await {
                Ok(response) => {
                    return self.receive(connection, response, silence, deadline).await;
                }
                Err(Unanswered::Unused(unused)) if reused => {
                    self.metrics.resent.inc();
                    request = *unused;
                }
                Err(unanswered) => return Err(self.judge(connection, unanswered).await),
            }
        }
    }

    /// An idle connection that can take a request.
    async fn take_idle(&self) -> Option<Connection> {
        loop {
            let mut connection = self.idle().pop()?;
            if connection.is_ready_within(READY_LIMIT).await {
                self.metrics.reused.inc();
                return Some(connection);
            }
        }
    }

    async fn open(&self, deadline: Instant) -> Result<Connection, Failed> {
        let refused = Failed::not_run(Reason::ConnectionRefused);
        let permit = self.room.clone().try_acquire_owned().map_err(|_| refused)?;
        let left = deadline.saturating_duration_since(Instant::now());
        let limit = left.min(self.timing.connect);
        self.connect(limit, permit).await.ok_or(refused)
    }

    async fn connect(&self, limit: Duration, permit: OwnedSemaphorePermit) -> Option<Connection> {
        let connection = Connection::open(self.to, limit, permit).await.ok()?;
        self.metrics.opened.inc();
        Some(connection)
    }

    /// Closes a connection that gave no answer, and tells whether its request may have run.
    async fn judge(&self, connection: Connection, unanswered: Unanswered) -> Failed {
        let reason = match &unanswered {
            Unanswered::Unused(_) => Reason::ConnectionRefused,
            Unanswered::Lost(error) if error.is_user() => Reason::Cancelled,
            Unanswered::Lost(error) if error.is_parse() => Reason::Protocol,
            Unanswered::Lost(_) => Reason::ConnectionLost,
            Unanswered::Silent => Reason::ConnectionSilent,
            Unanswered::Late => Reason::DeadlinePassed,
        };
        if reason == Reason::ConnectionSilent {
            self.drop_unproven(connection.sent_at());
        }
        self.count_closed(reason.as_str());
        if connection.close().await {
            return Failed::may_have_run(reason);
        }
        // Nothing left this machine.
        Failed::not_run(match reason {
            Reason::ConnectionLost | Reason::ConnectionSilent => Reason::ConnectionRefused,
            Reason::DeadlinePassed => Reason::DeadlineHopeless,
            other => other,
        })
    }

    /// Closes idle connections that have not carried bytes since `at`, when one is found silent.
    fn drop_unproven(&self, at: Instant) {
        let mut idle = self.idle();
        let before = idle.len();
        idle.retain(|connection| connection.last_progress() > at);
        let dropped = before - idle.len();
        drop(idle);
        for _ in 0..dropped {
            self.count_closed("unproven");
        }
    }

    fn count_closed(&self, reason: &'static str) {
        let label = Label::new(reason);
        self.metrics.closed.get_or_create(&label).inc();
    }

    /// Passes on an answer: a small one once it is whole, another one as a stream.
    async fn receive(
        self: &Arc<Self>,
        connection: Connection,
        response: http::Response<Incoming>,
        silence: Duration,
        deadline: Instant,
    ) -> Result<Response, Failed> {
        let (head, incoming) = response.into_parts();
        let refused = exchange::refusal_in(&head);
        let size = hyper::body::Body::size_hint(&incoming).upper();
        let small = size.is_some_and(|bytes| bytes <= SMALL_BYTES_MAX);
        if let Some(refused) = refused {
            let incarnation = exchange::incarnation_in(&head.headers);
            self.finish_refusal(connection, incoming, small, deadline)
                .await;
            let mut response = Response::refusal(Verdict::NotRun, refused.reason);
            response.reply.headers.extend(incarnation);
            response.reply.retry_after = refused.retry_after;
            return Ok(response);
        }
        let reply = exchange::reply_of(&head);
        if small {
            let body = self
                .read_whole(connection, incoming, silence, deadline)
                .await?;
            return Ok(Response { reply, body });
        }
        let (to, body) = Body::channel();
        let lane = self.clone();
        tokio::spawn(async move {
            let stream = Stream {
                connection,
                incoming,
                silence,
                deadline,
            };
            lane.pass_on(stream, to).await;
        });
        Ok(Response { reply, body })
    }

    /// Reads the body of a refusal, so that the connection can be used again.
    async fn finish_refusal(
        &self,
        connection: Connection,
        incoming: Incoming,
        small: bool,
        deadline: Instant,
    ) {
        if !small {
            return;
        }
        let limit = deadline.min(Instant::now() + READY_LIMIT);
        if let Ok(Ok(_)) = timeout_at(limit, incoming.collect()).await {
            self.put_back(connection);
        }
    }

    async fn read_whole(
        &self,
        connection: Connection,
        incoming: Incoming,
        silence: Duration,
        deadline: Instant,
    ) -> Result<Body, Failed> {
        let whole = Limited::new(incoming, SMALL_BYTES_MAX as usize).collect();
        let traffic = connection.traffic().clone();
        let reason = tokio::select! {
            biased;
            whole = whole => match whole {
                Ok(whole) => {
                    self.put_back(connection);
                    return Ok(Body::full(whole.to_bytes()));
                }
                Err(_) => Reason::ConnectionLost,
            },
            () = sleep_until(deadline) => Reason::DeadlinePassed,
            () = traffic.silent(silence) => Reason::ConnectionSilent,
        };
        self.count_closed(reason.as_str());
        Err(Failed::may_have_run(reason))
    }

    /// Streams a body to its reader; whatever ends it early severs the body.
    async fn pass_on(&self, mut stream: Stream, to: Sender) {
        let traffic = stream.connection.traffic().clone();
        loop {
            traffic.mark();
            let reason = tokio::select! {
                biased;
                frame = stream.incoming.frame() => match frame {
                    None => {
                        self.put_back(stream.connection);
                        to.end().await;
                        return;
                    }
                    Some(Ok(frame)) => match stream.send(frame, &to).await {
                        Ok(()) => continue,
                        Err(reason) => reason,
                    },
                    Some(Err(_)) => Reason::ConnectionLost,
                },
                () = to.closed() => Reason::Cancelled,
                () = sleep_until(stream.deadline) => Reason::DeadlinePassed,
                () = traffic.silent(stream.silence) => Reason::ConnectionSilent,
            };
            self.count_closed(reason.as_str());
            return;
        }
    }

    /// Keeps a connection whose answer was read whole.
    fn put_back(&self, connection: Connection) {
        if connection.is_closed() {
            return;
        }
        let unused_since = Instant::now().checked_sub(self.timing.idle);
        let mut idle = self.idle();
        idle.push(connection);
        // The longest unused one comes first, since the last one put back is taken first.
        while idle.len() > self.warm
            && unused_since.is_some_and(|since| idle[0].last_progress() < since)
        {
            drop(idle.remove(0));
        }
    }

    /// Opens what is missing to the warm minimum, beside the requests.
    fn keep_warm(self: &Arc<Self>) {
        if self.open_connections() >= self.warm || self.warming.load(Ordering::Acquire) {
            return;
        }
        let lane = self.clone();
        tokio::spawn(async move { lane.warm_up().await });
    }

    async fn warm_up(&self) {
        let Some(_warming) = Warming::begin(&self.warming) else {
            return;
        };
        while self.open_connections() < self.warm {
            let Ok(permit) = self.room.clone().try_acquire_owned() else {
                break;
            };
            match self.connect(self.timing.connect, permit).await {
                Some(connection) => self.idle().insert(0, connection),
                None => break,
            }
        }
    }
}

/// Marks a lane as being warmed up, also when that is cancelled.
struct Warming<'a>(&'a AtomicBool);

impl<'a> Warming<'a> {
    fn begin(flag: &'a AtomicBool) -> Option<Self> {
        (!flag.swap(true, Ordering::AcqRel)).then_some(Self(flag))
    }
}

impl Drop for Warming<'_> {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Release);
    }
}

/// An answer's body on its way.
struct Stream {
    connection: Connection,
    incoming: Incoming,
    silence: Duration,
    deadline: Instant,
}

impl Stream {
    /// Gives a frame to the reader, as long as it takes.
    async fn send(
        &self,
        frame: hyper::body::Frame<bytes::Bytes>,
        to: &Sender,
    ) -> Result<(), Reason> {
        let Ok(bytes) = frame.into_data() else {
            // Trailers are not passed on.
            return Ok(());
        };
        match timeout_at(self.deadline, to.send(bytes)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(Reason::Cancelled),
            Err(_) => Err(Reason::DeadlinePassed),
        }
    }
}

fn limit_of(upstream: &Upstream) -> u32 {
    upstream.connections.saturating_sub(CONTROL_SHARE).max(1)
}
