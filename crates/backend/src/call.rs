//! Calls that buffer the whole response, and the errors of those without one.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use crate::{
    connection::{ConnectError, Connection, Received, SendError},
    head::keep_alive_in,
    lane::Lane,
    metrics::Metrics,
    outgoing::Outgoing,
    pool::Timing,
};
use bytes::Bytes;
use copperwell_message::{Body, HashMap};
use http::{
    HeaderMap, HeaderValue, Request, StatusCode,
    header::{CONTENT_TYPE, HOST},
};
use http_body_util::{BodyExt, Collected, Limited};
use tokio::{
    sync::Semaphore,
    time::{Instant, sleep_until, timeout, timeout_at},
};

/// Number of addresses above which connection pools that are not in use are dropped.
const ADDRESSES_MAX: usize = 4096;

/// How long a body that may take long may pause before the call fails.
const BODY_INACTIVITY_TIMEOUT: Duration = Duration::from_secs(1);

/// Makes calls over HTTP/1.1 on pooled connections.
#[derive(Debug)]
pub struct Caller {
    timing: Timing,
    connections_max: u32,
    answer_bytes_max: usize,
    is_strict: bool,
    /// How long a body may take while bytes arrive; `None` if it must be complete by the deadline.
    body_time: Option<Duration>,
    addresses: Mutex<HashMap<SocketAddr, Arc<Address>>>,
    metrics: Metrics,
}

/// The connections to one address, and the permits that bound their concurrent use.
#[derive(Debug)]
struct Address {
    lane: Arc<Lane>,
    permits: Semaphore,
}

/// A response that was read completely.
#[derive(Debug, Clone)]
pub struct Whole {
    /// The status code.
    pub status: StatusCode,
    /// The header fields.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Why a call has no complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lost {
    /// Nothing was sent: no process listens at the address.
    Refused,
    /// Nothing was sent: no connection was available in time.
    Unsent,
    /// The connection failed after the call was sent.
    Broken,
    /// No response arrived in time; nothing more of the call is sent.
    Silent,
    /// Like [`Silent`](Self::Silent), on a connection without an earlier response.
    ///
    /// A busy server may read the call later.
    Unread,
}

/// When a call must be complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Deadline {
    /// On a connection that has carried a response before.
    pub answered: Instant,
    /// On a new connection, which a busy server may not read at once.
    pub new: Instant,
}

impl From<Instant> for Deadline {
    fn from(at: Instant) -> Self {
        Self {
            answered: at,
            new: at,
        }
    }
}

impl Caller {
    /// Creates a caller that opens at most `connections_max` connections to each address.
    ///
    /// Responses may have at most `answer_bytes_max` bytes.
    #[must_use]
    pub fn new(timing: Timing, connections_max: u32, answer_bytes_max: usize) -> Self {
        Self {
            timing,
            connections_max,
            answer_bytes_max,
            is_strict: false,
            body_time: None,
            addresses: Mutex::default(),
            metrics: Metrics::default(),
        }
    }

    /// Makes a call fail when the server has closed a pooled connection, instead of using another.
    ///
    /// The process that listens now may be another incarnation than the one the call is meant for.
    #[must_use]
    pub fn with_strict(mut self) -> Self {
        self.is_strict = true;
        self
    }

    /// Lets the body of a response arrive after the deadline, for at most `body_time` while bytes arrive.
    ///
    /// A body that is large for its link is thus not read again and again from its start. The deadline still
    /// applies to the head.
    #[must_use]
    pub fn with_body_time(mut self, body_time: Duration) -> Self {
        self.body_time = Some(body_time);
        self
    }

    /// Returns the connection counters.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Makes a call that must be complete by `deadline`.
    ///
    /// # Errors
    ///
    /// [`Lost`] if there is no complete response.
    pub async fn call(
        &self,
        to: SocketAddr,
        call: Request<Bytes>,
        deadline: impl Into<Deadline>,
    ) -> Result<Whole, Lost> {
        self.exchange(to, call, deadline.into(), false).await
    }

    /// Makes a call as [`Caller::call`] does, the last one on its connection: its response, written again, cannot pass
    /// for that of a later call.
    ///
    /// # Errors
    ///
    /// [`Lost`] if there is no complete response.
    pub async fn call_last(
        &self,
        to: SocketAddr,
        call: Request<Bytes>,
        deadline: impl Into<Deadline>,
    ) -> Result<Whole, Lost> {
        self.exchange(to, call, deadline.into(), true).await
    }

    async fn exchange(
        &self,
        to: SocketAddr,
        call: Request<Bytes>,
        deadlines: Deadline,
        is_last: bool,
    ) -> Result<Whole, Lost> {
        let address = self.address(to);
        let permit = timeout_at(deadlines.answered, address.permits.acquire()).await;
        let Ok(Ok(_permit)) = permit else {
            return Err(Lost::Unsent);
        };
        let lane = &address.lane;
        let mut request = request_to(to, call);
        loop {
            let idle = match self.is_strict {
                true => lane.take_idle_strict().await.map_err(|_| Lost::Broken)?,
                false => lane.take_idle().await,
            };
            let is_reused = idle.is_some();
            let remaining = deadlines.answered.saturating_duration_since(Instant::now());
            let mut connection = match idle {
                Some(connection) => connection,
                None => lane
                    .try_open(remaining)
                    .await
                    .map_err(|error| match error {
                        ConnectError::Refused => Lost::Refused,
                        ConnectError::TimedOut => Lost::Unsent,
                    })?,
            };
            let is_new = !connection.has_answered();
            let deadline = if is_new {
                deadlines.new
            } else {
                deadlines.answered
            };
            let inactivity_timeout = deadline.saturating_duration_since(Instant::now());
            match connection.send(request, inactivity_timeout, deadline).await {
                Ok(response) => {
                    let (head, body) = response.into_parts();
                    connection.update_keep_alive(keep_alive_in(&head.headers));
                    let body = self.collect(body, &connection, deadline).await?;
                    match is_last {
                        true => drop(connection),
                        false => lane.put_back(connection),
                    }
                    lane.spawn_warm_up();
                    return Ok(Whole {
                        status: head.status,
                        headers: head.headers,
                        body,
                    });
                }
                Err(SendError::NotSent(_)) if self.is_strict => return Err(Lost::Broken),
                Err(SendError::NotSent(unsent)) if is_reused => request = *unsent,
                Err(error) => {
                    let sent_at = connection.sent_at();
                    let was_written = connection.close().await;
                    let is_silent =
                        matches!(error, SendError::Inactive | SendError::DeadlinePassed);
                    if is_silent {
                        // Other connections to the server may have gone silent with this one.
                        lane.drop_inactive_since(sent_at);
                    }
                    return Err(match (was_written, is_silent) {
                        (false, _) => Lost::Unsent,
                        (true, false) => Lost::Broken,
                        (true, true) if is_new => Lost::Unread,
                        (true, true) => Lost::Silent,
                    });
                }
            }
        }
    }

    /// Reads a response body.
    async fn collect(
        &self,
        body: Received,
        connection: &Connection,
        deadline: Instant,
    ) -> Result<Bytes, Lost> {
        let collect = Limited::new(body, self.answer_bytes_max).collect();
        let too_late = async {
            let Some(body_time) = self.body_time else {
                return sleep_until(deadline).await;
            };
            let traffic = connection.traffic();
            let inactive = traffic.wait_until_inactive(BODY_INACTIVITY_TIMEOUT);
            // Both end the wait alike.
            let _ = timeout(body_time, inactive).await;
        };
        tokio::select! {
            biased;
            body = collect => body.map(Collected::to_bytes).map_err(|_| Lost::Broken),
            () = too_late => Err(Lost::Silent),
        }
    }

    fn address(&self, to: SocketAddr) -> Arc<Address> {
        let mut addresses = self
            .addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if addresses.len() >= ADDRESSES_MAX && !addresses.contains_key(&to) {
            addresses.retain(|_, address| Arc::strong_count(address) > 1);
        }
        let new = || {
            let lane = Lane::new(to, self.connections_max, self.timing, self.metrics.clone());
            Arc::new(Address {
                lane: Arc::new(lane),
                permits: Semaphore::new(self.connections_max as usize),
            })
        };
        addresses.entry(to).or_insert_with(new).clone()
    }
}

fn request_to(to: SocketAddr, call: Request<Bytes>) -> Request<Outgoing> {
    let mut request = call.map(|body| Outgoing::new(Body::full(body)));
    let headers = request.headers_mut();
    if let Ok(host) = HeaderValue::try_from(to.to_string()) {
        headers.insert(HOST, host);
    }
    headers
        .entry(CONTENT_TYPE)
        .or_insert(HeaderValue::from_static("application/json"));
    request
}
