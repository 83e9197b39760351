//! The client for control orders.
//!
//! Lock order: the map of servers, then the idle connections of one server. No lock is held across
//! an `.await`.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use crate::{
    Control, Failure,
    connection::{Connection, READY_TIMEOUT, Received, SendError},
    order::{Fence, Fenced, Give, Held, Refusal, Release, Renew, path},
    outgoing::Outgoing,
};
use bytes::Bytes;
use copperwell_keyspace::HashMap;
use copperwell_message::Body;
use copperwell_progress::READ_MAX_BYTES;
use http::{
    HeaderValue, Method, Request, StatusCode, Uri,
    header::{CONTENT_TYPE, HOST},
};
use http_body_util::{BodyExt, Limited};
use prometheus_client::{metrics::counter::Counter, registry::Registry};
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    sync::Semaphore,
    time::{Instant, timeout, timeout_at},
};

/// Control connections to one server.
pub const CONNECTIONS_MAX: u32 = 2;

/// The largest answer to a control order, in bytes: a server may report every shard that it holds.
const ANSWER_BYTES_MAX: usize = 16 << 20;

/// Hedged attempts at one order within its total timeout.
const ATTEMPTS_MAX: u32 = 8;

/// Number of servers above which connections that are not in use are dropped.
const SERVERS_MAX: usize = 4096;

/// Sends control orders over HTTP/1.1, on connections separate from those for requests.
#[derive(Debug)]
pub struct Client {
    timing: Timing,
    servers: Mutex<HashMap<SocketAddr, Arc<Server>>>,
    bytes: Counter,
}

/// Time limits of control orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Timeout for opening a connection.
    pub connect: Duration,
    /// How long to wait for an answer before the order is also sent on a new connection.
    pub attempt: Duration,
    /// Timeout of the order, including all its attempts.
    pub total: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(300),
            attempt: Duration::from_millis(150),
            total: Duration::from_secs(1),
        }
    }
}

/// The control connections to one server.
#[derive(Debug)]
struct Server {
    permits: Semaphore,
    idle: Mutex<Vec<Connection>>,
}

/// An order that is being sent.
#[derive(Debug)]
struct PendingOrder {
    to: SocketAddr,
    path: &'static str,
    body: Bytes,
    deadline: Instant,
    server: Arc<Server>,
}

/// An answer that was read completely.
#[derive(Debug)]
struct Answer {
    status: StatusCode,
    body: Bytes,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// Creates a client with default time limits.
    #[must_use]
    pub fn new() -> Self {
        Self::with_timing(Timing::default())
    }

    /// Creates a client with the given time limits.
    #[must_use]
    pub fn with_timing(timing: Timing) -> Self {
        Self {
            timing,
            servers: Mutex::default(),
            bytes: Counter::default(),
        }
    }

    /// Registers the counter of bytes sent and received.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "backend_order_bytes",
            "Bytes sent and received on connections for control orders",
            self.bytes.clone(),
        );
    }

    /// Sends an order and returns its answer, retrying unanswered attempts until the total timeout.
    async fn send_order<A: DeserializeOwned>(
        &self,
        to: SocketAddr,
        path: &'static str,
        order: &(impl Serialize + Sync),
    ) -> Result<A, Failure> {
        let bytes = serde_json::to_vec(order).map_err(|_| Failure::Invalid(0))?;
        let pending = PendingOrder {
            to,
            path,
            body: Bytes::from(bytes),
            deadline: Instant::now() + self.timing.total,
            server: self.server(to),
        };
        let mut failure = Failure::Unreachable;
        for _ in 0..ATTEMPTS_MAX {
            match self.attempt_hedged(&pending).await {
                Ok(answer) => return answer.parse(),
                Err(Failure::Silent) => failure = Failure::Silent,
                Err(_) => break,
            }
            if Instant::now() >= pending.deadline {
                break;
            }
        }
        Err(failure)
    }

    /// Attempts an order, hedged by a second attempt on a new connection if the first is slow.
    ///
    /// The first attempt continues, since its connection may be dead or its server just slow.
    async fn attempt_hedged(&self, order: &PendingOrder) -> Result<Answer, Failure> {
        let first = self.attempt(order, true);
        tokio::pin!(first);
        if let Ok(answer) = timeout(self.timing.attempt, &mut first).await {
            return answer;
        }
        // Other connections to the server may have gone silent with this one.
        order.server.idle().clear();
        if order.server.permits.available_permits() == 0 {
            // Another order is in flight too; dropping the first attempt frees a permit for a new
            // connection.
            return Err(Failure::Silent);
        }
        let second = self.attempt(order, false);
        tokio::pin!(second);
        let (failure, other) = tokio::select! {
            answer = &mut first => match answer {
                Ok(answer) => return Ok(answer),
                Err(failure) => (failure, second.await),
            },
            answer = &mut second => match answer {
                Ok(answer) => return Ok(answer),
                Err(failure) => (failure, first.await),
            },
        };
        match other {
            Err(Failure::Unreachable) => Err(failure),
            other => other,
        }
    }

    /// Attempts an order once, on an idle connection if `may_reuse` is set, or on a new one.
    async fn attempt(&self, order: &PendingOrder, may_reuse: bool) -> Result<Answer, Failure> {
        let server = &order.server;
        // The permit bounds the connections that carry an order to `CONNECTIONS_MAX`.
        let permit = timeout_at(order.deadline, server.permits.acquire()).await;
        let Ok(Ok(_permit)) = permit else {
            return Err(Failure::Unreachable);
        };
        let mut request = order.request();
        loop {
            let idle = if may_reuse {
                server.take_idle().await
            } else {
                None
            };
            let is_reused = idle.is_some();
            let mut connection = match idle {
                Some(connection) => connection,
                None => self.open(order).await?,
            };
            let sent = connection.send(request, self.timing.total, order.deadline);
            match sent.await {
                Ok(response) => {
                    return server
                        .read_answer(connection, response, order.deadline)
                        .await;
                }
                Err(SendError::NotSent(unsent)) if is_reused => request = *unsent,
                Err(_) => {
                    let was_written = connection.close().await;
                    return Err(if was_written {
                        Failure::Silent
                    } else {
                        Failure::Unreachable
                    });
                }
            }
        }
    }

    async fn open(&self, order: &PendingOrder) -> Result<Connection, Failure> {
        let remaining = order.deadline.saturating_duration_since(Instant::now());
        let connect_timeout = remaining.min(self.timing.connect);
        let (bytes, closed) = (self.bytes.clone(), Arc::default());
        let opened =
            Connection::open(order.to, connect_timeout, (), bytes, closed, READ_MAX_BYTES).await;
        opened.map_err(|_| Failure::Unreachable)
    }

    fn server(&self, to: SocketAddr) -> Arc<Server> {
        let mut servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        if servers.len() >= SERVERS_MAX && !servers.contains_key(&to) {
            servers.retain(|_, server| Arc::strong_count(server) > 1);
        }
        servers.entry(to).or_default().clone()
    }
}

impl Control for Client {
    async fn fence(&self, to: SocketAddr, order: &Fence) -> Result<Fenced, Failure> {
        self.send_order(to, path::FENCE, order).await
    }

    async fn give(&self, to: SocketAddr, order: &Give) -> Result<Held, Failure> {
        self.send_order(to, path::GRANT, order).await
    }

    async fn renew(&self, to: SocketAddr, order: &Renew) -> Result<Held, Failure> {
        self.send_order(to, path::RENEW, order).await
    }

    async fn release(&self, to: SocketAddr, order: &Release) -> Result<Held, Failure> {
        self.send_order(to, path::RELEASE, order).await
    }
}

impl Default for Server {
    fn default() -> Self {
        Self {
            permits: Semaphore::new(CONNECTIONS_MAX as usize),
            idle: Mutex::default(),
        }
    }
}

impl Server {
    fn idle(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn take_idle(&self) -> Option<Connection> {
        loop {
            let mut connection = self.idle().pop()?;
            if connection.is_ready_within(READY_TIMEOUT).await {
                return Some(connection);
            }
        }
    }

    /// Reads the body of an answer and keeps the connection for reuse.
    async fn read_answer(
        &self,
        connection: Connection,
        response: http::Response<Received>,
        deadline: Instant,
    ) -> Result<Answer, Failure> {
        let (head, body) = response.into_parts();
        let body = Limited::new(body, ANSWER_BYTES_MAX).collect();
        let Ok(Ok(collected)) = timeout_at(deadline, body).await else {
            return Err(Failure::Silent);
        };
        self.idle().push(connection);
        Ok(Answer {
            status: head.status,
            body: collected.to_bytes(),
        })
    }
}

impl PendingOrder {
    fn request(&self) -> Request<Outgoing> {
        let mut request = Request::new(Outgoing::new(Body::full(self.body.clone())));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = Uri::from_static(self.path);
        let headers = request.headers_mut();
        if let Ok(host) = HeaderValue::try_from(self.to.to_string()) {
            headers.insert(HOST, host);
        }
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        request
    }
}

impl Answer {
    fn parse<A: DeserializeOwned>(&self) -> Result<A, Failure> {
        let invalid = Failure::Invalid(self.status.as_u16());
        match self.status {
            StatusCode::OK => serde_json::from_slice(&self.body).map_err(|_| invalid),
            StatusCode::CONFLICT => match serde_json::from_slice::<Refusal>(&self.body) {
                Ok(refusal) => Err(Failure::Fenced(refusal)),
                Err(_) => Err(invalid),
            },
            _ => Err(invalid),
        }
    }
}
