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
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    sync::Semaphore,
    time::{Instant, timeout_at},
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
}

/// Time limits of control orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// For a new connection.
    pub connect: Duration,
    /// For an answer on one connection, before a fresh one is tried.
    pub attempt: Duration,
    /// For the order with all its attempts.
    pub total: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(300),
            attempt: Duration::from_millis(400),
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
        }
    }

    /// Gives an order and reads its answer.
    async fn give_order<A: DeserializeOwned>(
        &self,
        to: SocketAddr,
        path: &str,
        order: &(impl Serialize + Sync),
    ) -> Result<A, Failure> {
        let bytes = serde_json::to_vec(order).map_err(|_| Failure::Invalid(0))?;
        let body = Bytes::from(bytes);
        let start = Instant::now();
        let until = start + self.timing.total;
        let lane = self.lane(to);
        let mut sent = false;
        for _ in 0..ATTEMPTS_MAX {
            let request = request_of(to, path, body.clone());
            match self.attempt(&lane, to, request, until).await {
                Ok(answer) => return answer.read(),
                Err(Failure::Silent) => sent = true,
                Err(failure) if !sent => return Err(failure),
                Err(_) => break,
            }
            if Instant::now() >= until {
                break;
            }
        }
        Err(Failure::Silent)
    }

    /// Tries an order once, on an idle connection or a fresh one.
    async fn attempt(
        &self,
        lane: &Lane,
        to: SocketAddr,
        mut request: Request<Outgoing>,
        until: Instant,
    ) -> Result<Answer, Failure> {
        // While the turn is held, no more than `CONNECTIONS` are open.
        let turn = timeout_at(until, lane.turns.acquire()).await;
        let Ok(Ok(_turn)) = turn else {
            return Err(Failure::Unreachable);
        };
        loop {
            let idle = lane.take_idle().await;
            let reused = idle.is_some();
            let mut connection = match idle {
                Some(connection) => connection,
                None => self.open(to, until).await?,
            };
            let deadline = until.min(Instant::now() + self.timing.attempt);
            let sent = connection.send(request, self.timing.attempt, deadline);
            match sent.await {
                Ok(response) => return lane.finish(connection, response, deadline).await,
                Err(Unanswered::Unused(unused)) if reused => request = *unused,
                Err(_) => {
                    // What was open beside a silent connection may have gone silent with it.
                    lane.idle().clear();
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

    async fn open(&self, to: SocketAddr, until: Instant) -> Result<Connection, Failure> {
        let left = until.saturating_duration_since(Instant::now());
        let limit = left.min(self.timing.connect);
        let opened = Connection::open(to, limit, ()).await;
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

fn request_of(to: SocketAddr, path: &str, body: Bytes) -> Request<Outgoing> {
    let mut request = Request::new(Outgoing::new(Body::full(body)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::try_from(path).unwrap_or_default();
    let headers = request.headers_mut();
    if let Ok(host) = HeaderValue::try_from(to.to_string()) {
        headers.insert(HOST, host);
    }
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    request
}
