//! The client for control orders.
//!
//! Lock order: the map of lanes, then one lane's idle connections. No lock is held across an
//! await.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use crate::{
    Control, Failure,
    connection::{Connection, READY_LIMIT, Unanswered},
    order::{Fence, Fenced, Give, Held, Refusal, Release, Renew, path},
    outgoing::Outgoing,
};
use bytes::Bytes;
use copperwell_keyspace::HashMap;
use copperwell_message::Body;
use http::{
    HeaderValue, Method, Request, StatusCode, Uri,
    header::{CONTENT_TYPE, HOST},
};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use prometheus_client::{metrics::counter::Counter, registry::Registry};
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    sync::Semaphore,
    time::{Instant, timeout, timeout_at},
};

/// Control connections to one server.
pub const CONNECTIONS: u32 = 2;

/// The largest answer to a control order, in bytes: a server may report every shard that it holds.
const ANSWER_BYTES_MAX: usize = 16 << 20;

/// Attempts at one order within its time limit.
const ATTEMPTS_MAX: u32 = 8;

/// Servers whose connections are remembered.
const SERVERS_MAX: usize = 4096;

/// Gives control orders over HTTP/1.1, on connections of its own.
#[derive(Debug)]
pub struct Client {
    timing: Timing,
    lanes: Mutex<HashMap<SocketAddr, Arc<Lane>>>,
    bytes: Counter,
}

/// Time limits of control orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// For a new connection.
    pub connect: Duration,
    /// For an answer, before the order is sent on a fresh connection too.
    pub attempt: Duration,
    /// For the order with all its attempts.
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
struct Lane {
    turns: Semaphore,
    idle: Mutex<Vec<Connection>>,
}

/// An order on its way.
#[derive(Debug)]
struct Errand {
    to: SocketAddr,
    path: &'static str,
    body: Bytes,
    until: Instant,
    lane: Arc<Lane>,
}

/// A whole answer.
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
    /// A client with default time limits.
    #[must_use]
    pub fn new() -> Self {
        Self::with_timing(Timing::default())
    }

    /// A client with these time limits.
    #[must_use]
    pub fn with_timing(timing: Timing) -> Self {
        Self {
            timing,
            lanes: Mutex::default(),
            bytes: Counter::default(),
        }
    }

    /// Registers the counter of bytes.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "backend_order_bytes",
            "Bytes sent and received on connections for control orders",
            self.bytes.clone(),
        );
    }

    /// Gives an order and reads its answer.
    async fn give_order<A: DeserializeOwned>(
        &self,
        to: SocketAddr,
        path: &'static str,
        order: &(impl Serialize + Sync),
    ) -> Result<A, Failure> {
        let bytes = serde_json::to_vec(order).map_err(|_| Failure::Invalid(0))?;
        let errand = Errand {
            to,
            path,
            body: Bytes::from(bytes),
            until: Instant::now() + self.timing.total,
            lane: self.lane(to),
        };
        let mut failure = Failure::Unreachable;
        for _ in 0..ATTEMPTS_MAX {
            match self.attempt_twice(&errand).await {
                Ok(answer) => return answer.read(),
                Err(Failure::Silent) => failure = Failure::Silent,
                Err(_) => break,
            }
            if Instant::now() >= errand.until {
                break;
            }
        }
        Err(failure)
    }

    /// Tries an order, and tries it beside that on a fresh connection if no answer comes.
    ///
    /// The first one may be silent for good, or its server may just be slow.
    async fn attempt_twice(&self, errand: &Errand) -> Result<Answer, Failure> {
        let first = self.attempt(errand, true);
        tokio::pin!(first);
        if let Ok(answer) = timeout(self.timing.attempt, &mut first).await {
            return answer;
        }
        // What was open beside a silent connection may have gone silent with it.
        errand.lane.idle().clear();
        if errand.lane.turns.available_permits() == 0 {
            // Another order waits too; the first connection makes room for a fresh one.
            return Err(Failure::Silent);
        }
        let second = self.attempt(errand, false);
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

    /// Tries an order once, on an idle connection if that is allowed, or on a fresh one.
    async fn attempt(&self, errand: &Errand, may_reuse: bool) -> Result<Answer, Failure> {
        let lane = &errand.lane;
        // While the turn is held, no more than `CONNECTIONS` are open.
        let turn = timeout_at(errand.until, lane.turns.acquire()).await;
        let Ok(Ok(_turn)) = turn else {
            return Err(Failure::Unreachable);
        };
        let mut request = errand.request();
        loop {
            let idle = if may_reuse {
                lane.take_idle().await
            } else {
                None
            };
            let reused = idle.is_some();
            let mut connection = match idle {
                Some(connection) => connection,
                None => self.open(errand).await?,
            };
            let sent = connection.send(request, self.timing.total, errand.until);
            match sent.await {
                Ok(response) => return lane.finish(connection, response, errand.until).await,
                Err(Unanswered::Unused(unused)) if reused => request = *unused,
                Err(_) => {
                    let written = connection.close().await;
                    return Err(if written {
                        Failure::Silent
                    } else {
                        Failure::Unreachable
                    });
                }
            }
        }
    }

    async fn open(&self, errand: &Errand) -> Result<Connection, Failure> {
        let left = errand.until.saturating_duration_since(Instant::now());
        let limit = left.min(self.timing.connect);
        let opened = Connection::open(errand.to, limit, (), self.bytes.clone()).await;
        opened.map_err(|_| Failure::Unreachable)
    }

    fn lane(&self, to: SocketAddr) -> Arc<Lane> {
        let mut lanes = self.lanes.lock().unwrap_or_else(PoisonError::into_inner);
        if lanes.len() >= SERVERS_MAX && !lanes.contains_key(&to) {
            lanes.retain(|_, lane| Arc::strong_count(lane) > 1);
        }
        lanes.entry(to).or_default().clone()
    }
}

impl Control for Client {
    async fn fence(&self, to: SocketAddr, order: &Fence) -> Result<Fenced, Failure> {
        self.give_order(to, path::FENCE, order).await
    }

    async fn give(&self, to: SocketAddr, order: &Give) -> Result<Held, Failure> {
        self.give_order(to, path::GRANT, order).await
    }

    async fn renew(&self, to: SocketAddr, order: &Renew) -> Result<Held, Failure> {
        self.give_order(to, path::RENEW, order).await
    }

    async fn release(&self, to: SocketAddr, order: &Release) -> Result<Held, Failure> {
        self.give_order(to, path::RELEASE, order).await
    }
}

impl Default for Lane {
    fn default() -> Self {
        Self {
            turns: Semaphore::new(CONNECTIONS as usize),
            idle: Mutex::default(),
        }
    }
}

impl Lane {
    fn idle(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn take_idle(&self) -> Option<Connection> {
        loop {
            let mut connection = self.idle().pop()?;
            if connection.is_ready_within(READY_LIMIT).await {
                return Some(connection);
            }
        }
    }

    /// Reads the rest of an answer and keeps the connection for the next order.
    async fn finish(
        &self,
        connection: Connection,
        response: http::Response<Incoming>,
        deadline: Instant,
    ) -> Result<Answer, Failure> {
        let (head, body) = response.into_parts();
        let body = Limited::new(body, ANSWER_BYTES_MAX).collect();
        let Ok(Ok(whole)) = timeout_at(deadline, body).await else {
            return Err(Failure::Silent);
        };
        self.idle().push(connection);
        Ok(Answer {
            status: head.status,
            body: whole.to_bytes(),
        })
    }
}

impl Errand {
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
    fn read<A: DeserializeOwned>(&self) -> Result<A, Failure> {
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
