//! Sends one request to a server and receives its response.

use std::{sync::Arc, time::Duration};

use crate::{
    connection::{Connection, READY_TIMEOUT, Received, SendError},
    framing::{Framing, Read, RequestHash, Unsendable},
    head,
    lane::Lane,
    outgoing::Outgoing,
};
use bytes::Bytes;
use copperwell_memory::{Budget, CHUNK_BYTES, Permit};
use copperwell_message::{Body, Reason, Response, Sender, Verdict};
use http::{Request, header::HOST, uri::PathAndQuery};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body as _, Frame};
use tokio::{
    sync::oneshot,
    task::yield_now,
    time::{Instant, sleep_until, timeout_at},
};

pub use gate::{Gate, Health};

mod gate;

/// The largest response body that is buffered completely instead of streamed, in bytes.
const BUFFERED_BYTES_MAX: usize = 64 * 1024;

/// The timeout of a health check before a request. Servers answer immediately, even when they are full; the timeout allows
/// for a daemon that gets little processor time.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// The largest body of a health response, in bytes.
const HEALTH_BYTES_MAX: usize = 16 * 1024;

/// Sends one request over a server's connections, within time limits.
#[derive(Debug)]
pub struct Exchange {
    lane: Arc<Lane>,
    inactivity_timeout: Duration,
    deadline: Instant,
    body_end: Option<BodyEnd>,
    budget: Budget,
}

/// Receives how a streamed response body ended: completely, or why not.
///
/// It is dropped when the exchange returns a response that is not streamed.
pub type BodyEnd = oneshot::Sender<Result<(), Reason>>;

/// A request that failed before its response head arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failed {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// What went wrong.
    pub reason: Reason,
}

impl Exchange {
    /// Creates an exchange over the connections of `lane`.
    ///
    /// It fails when no bytes pass for `inactivity_timeout`, or at `deadline`.
    #[must_use]
    pub fn new(lane: Arc<Lane>, inactivity_timeout: Duration, deadline: Instant) -> Self {
        Self {
            lane,
            inactivity_timeout,
            deadline,
            body_end: None,
            budget: Budget::unlimited(),
        }
    }

    /// Reports to `body_end` how a streamed response body ended.
    #[must_use]
    pub fn with_body_end(self, body_end: BodyEnd) -> Self {
        Self {
            body_end: Some(body_end),
            ..self
        }
    }

    /// Buffers no more of response bodies than `budget` has room for.
    #[must_use]
    pub fn with_budget(self, budget: Budget) -> Self {
        Self { budget, ..self }
    }

    /// Sends a request and returns its response, with a body that may still be streaming.
    ///
    /// `gate` is asked on each connection whether the request is sent there, after the health check that it names.
    ///
    /// Dropping the future closes the connection, which cancels the request.
    ///
    /// # Errors
    ///
    /// [`Failed`] if the request was not sent, or its response did not arrive; [`Reason::NoUpstream`] if it may not be
    /// sent any more, and [`Reason::ConnectionSilent`] if the health check was not answered in time.
    pub async fn run<F: Framing>(
        self,
        framing: &F,
        request_head: &F::Head,
        body: Body,
        mut gate: impl Gate,
    ) -> Result<Response, Failed> {
        let lane = &self.lane;
        let head = framing
            .head(lane.address(), request_head)
            .map_err(|Unsendable| Failed::not_run(Reason::BadRequest))?;
        let mut request = head::request_of(head, body);
        let id = framing.repeated_id(request_head);
        loop {
            let idle = lane.take_idle_for(id).await;
            let is_reused = idle.is_some();
            let mut connection = match idle {
                Some(connection) => connection,
                None => self.open().await?,
            };
            if !is_reused {
                self.confirm(framing, request_head, &mut connection, &mut gate)
                    .await?;
            }
            let remaining = self.remaining();
            if remaining.is_zero() {
                lane.put_back(connection);
                return Err(Failed::not_run(Reason::DeadlineHopeless));
            }
            framing.set_deadline(request.headers_mut(), remaining);
            if !gate.may_send() {
                lane.put_back(connection);
                return Err(Failed::not_run(Reason::NoUpstream));
            }
            let is_first = !connection.has_answered();
            let sent = connection.send(request, self.inactivity_timeout, self.deadline);
            match sent.await {
                Ok(response) => {
                    let read = framing.read(request_head, response.headers(), response.status());
                    let read = trusted(read, id, is_first);
                    return self.receive(connection, response, read, id).await;
                }
                Err(SendError::NotSent(unsent)) if is_reused => {
                    lane.metrics().resent.inc();
                    request = *unsent;
                }
                Err(error) => return Err(self.fail(connection, error).await),
            }
        }
    }

    /// Sends a health check for `path` to the server of `request_head` on a new connection, which is kept for the next
    /// request. On a used connection, an earlier answer that is sent again could be taken for this one.
    ///
    /// If the pool is full, an idle connection is closed first.
    ///
    /// # Errors
    ///
    /// Why there is no answer; [`Reason::QueueFull`] if all connections are in use.
    pub async fn check<F: Framing>(
        self,
        framing: &F,
        request_head: &F::Head,
        path: PathAndQuery,
    ) -> Result<Health, Reason> {
        if self.lane.is_full() {
            let idle = self.lane.take_idle().await.ok_or(Reason::QueueFull)?;
            self.lane.count_closed("unproven");
            idle.close().await;
        }
        let mut connection = self.open().await.map_err(|failed| failed.reason)?;
        let health = self
            .check_health(framing, request_head, &mut connection, path)
            .await;
        match health {
            Ok(_) => self.lane.put_back(connection),
            Err(_) => self.lane.count_closed("unhealthy"),
        }
        health
    }

    /// Sends a health check on a new connection if `gate` needs one.
    async fn confirm<F: Framing>(
        &self,
        framing: &F,
        request_head: &F::Head,
        connection: &mut Connection,
        gate: &mut impl Gate,
    ) -> Result<(), Failed> {
        // Lets the tasks of connections that an earlier process has closed record that.
        yield_now().await;
        let Some(path) = gate.health_check(self.lane.closed_at()) else {
            return Ok(());
        };
        let sent_at = Instant::now();
        let health = self
            .check_health(framing, request_head, connection, path)
            .await;
        gate.record_health(health.ok().map(|health| health.warmup_left), sent_at);
        if let Some(left) = health.ok().and_then(|health| health.named) {
            gate.record_named(left, sent_at);
        }
        health.map(drop).map_err(|reason| {
            self.lane.count_closed("unhealthy");
            Failed::not_run(reason)
        })
    }

    /// Sends a health check, and returns what the answer says.
    ///
    /// # Errors
    ///
    /// [`Reason::ConnectionSilent`] if it is not answered in time, which does not show that the path is lost.
    /// [`Reason::ConnectionRefused`] if the connection cannot be used.
    async fn check_health<F: Framing>(
        &self,
        framing: &F,
        request_head: &F::Head,
        connection: &mut Connection,
        path: PathAndQuery,
    ) -> Result<Health, Reason> {
        let sent_at = Instant::now();
        let deadline = self.deadline.min(Instant::now() + HEALTH_CHECK_TIMEOUT);
        let request = Request::get(path).header(HOST, self.lane.address().to_string());
        let request = request.body(Outgoing::new(Body::empty()));
        let request = request.map_err(|_| Reason::ConnectionRefused)?;
        let sent = connection.send(request, HEALTH_CHECK_TIMEOUT, deadline);
        let (head, body) = match sent.await {
            Ok(response) => response.into_parts(),
            Err(SendError::Inactive | SendError::DeadlinePassed) => {
                return Err(Reason::ConnectionSilent);
            }
            Err(_) => return Err(Reason::ConnectionRefused),
        };
        let body = Limited::new(body, HEALTH_BYTES_MAX).collect();
        let body = timeout_at(deadline, body).await;
        let body = body.map_err(|_| Reason::ConnectionSilent)?;
        body.map_err(|_| Reason::ConnectionRefused)?;
        connection.update_keep_alive(head::keep_alive_in(&head.headers));
        connection.forget_answer();
        let is_ready = connection.is_ready_within(READY_TIMEOUT).await;
        match is_ready {
            true => Ok(Health {
                warmup_left: framing.warmup_left(&head.headers),
                named: framing.warmup_of(request_head, &head.headers, head.status),
                sent_at,
            }),
            false => Err(Reason::ConnectionRefused),
        }
    }

    fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    async fn open(&self) -> Result<Connection, Failed> {
        let opened = self.lane.open(self.remaining()).await;
        opened.ok_or(Failed::not_run(Reason::ConnectionRefused))
    }

    /// Closes a connection on which a request failed, and checks whether the request may have run.
    async fn fail(&self, connection: Connection, error: SendError) -> Failed {
        let reason = match &error {
            SendError::NotSent(_) => Reason::ConnectionRefused,
            SendError::ConnectionLost(error) if error.is_user() => Reason::Cancelled,
            SendError::ConnectionLost(error) if error.is_parse() => Reason::Protocol,
            SendError::ConnectionLost(_) if connection.is_overrun() => Reason::Protocol,
            SendError::ConnectionLost(_) => Reason::ConnectionLost,
            SendError::Inactive => Reason::ConnectionSilent,
            SendError::DeadlinePassed => Reason::DeadlinePassed,
            SendError::StatusNotFinal => Reason::Protocol,
        };
        if reason == Reason::ConnectionSilent {
            self.lane.drop_inactive_since(connection.sent_at());
        }
        self.lane.count_closed(reason.as_str());
        if connection.close().await {
            return Failed::may_have_run(reason);
        }
        // No byte was written, so the request was not run.
        Failed::not_run(match reason {
            Reason::ConnectionLost | Reason::ConnectionSilent => Reason::ConnectionRefused,
            Reason::DeadlinePassed => Reason::DeadlineHopeless,
            other => other,
        })
    }

    /// Builds the response: a small body is buffered if there is room, any other body is streamed.
    async fn receive(
        self,
        mut connection: Connection,
        response: http::Response<Received>,
        read: Read,
        id: Option<RequestHash>,
    ) -> Result<Response, Failed> {
        let (head, incoming) = response.into_parts();
        connection.update_keep_alive(head::keep_alive_in(&head.headers));
        let size = incoming.size_hint().upper();
        let size = size.and_then(|bytes| usize::try_from(bytes).ok());
        let room = size
            .filter(|bytes| *bytes <= BUFFERED_BYTES_MAX)
            .and_then(|bytes| self.budget.try_response(bytes));
        if let Some(id) = id.filter(|_| !head.status.is_success()) {
            connection.record_failed(id);
        }
        let reply = match read {
            Read::Answer(reply) => reply,
            Read::Refused { reply, .. } => {
                // Where responses name no request, one that is written again would pass for the next one.
                if room.is_some() && id.is_some() {
                    self.drain_refusal(connection, incoming).await;
                }
                let body = Body::empty();
                return Ok(Response { reply, body });
            }
            Read::Foreign => {
                // Later responses on this connection cannot be matched to their requests either.
                self.lane.count_closed("foreign");
                return Err(Failed::may_have_run(Reason::Protocol));
            }
        };
        let body = if let Some(room) = room {
            self.read_body(connection, incoming, room).await?
        } else {
            let (sender, body) = Body::channel();
            tokio::spawn(self.stream_body(connection, incoming, sender));
            body
        };
        Ok(Response { reply, body })
    }

    /// Reads the body of a refusal to its end, so that the connection can be reused.
    async fn drain_refusal(&self, connection: Connection, incoming: Received) {
        let limit = self.deadline.min(Instant::now() + READY_TIMEOUT);
        if let Ok(Ok(_)) = timeout_at(limit, incoming.collect()).await {
            self.lane.put_back(connection);
        }
    }

    /// Buffers a small body; if it is incomplete, the request may have run.
    async fn read_body(
        &self,
        connection: Connection,
        incoming: Received,
        room: Permit,
    ) -> Result<Body, Failed> {
        let collect = Limited::new(incoming, BUFFERED_BYTES_MAX).collect();
        let reason = tokio::select! {
            biased;
            collected = collect => match collected {
                Ok(collected) => {
                    self.lane.put_back(connection);
                    return Ok(Body::full(room.bind(collected.to_bytes())));
                }
                Err(_) => body_failure(&connection),
            },
            () = sleep_until(self.deadline) => Reason::DeadlinePassed,
            () = connection.traffic().wait_until_inactive(self.inactivity_timeout) =>
                Reason::ConnectionSilent,
        };
        self.lane.count_closed(reason.as_str());
        Err(Failed::may_have_run(reason))
    }

    /// Streams a body to its reader; a body that ends early is incomplete.
    async fn stream_body(mut self, connection: Connection, incoming: Received, sender: Sender) {
        let body_end = self.body_end.take();
        let result = self.forward_body(connection, incoming, sender).await;
        if let Err(reason) = result {
            self.lane.count_closed(reason.as_str());
        }
        if let Some(body_end) = body_end {
            // The receiver may not be interested any more.
            let _ = body_end.send(result);
        }
    }

    async fn forward_body(
        &self,
        connection: Connection,
        mut incoming: Received,
        sender: Sender,
    ) -> Result<(), Reason> {
        let flow = self.budget.flow();
        loop {
            let room = tokio::select! {
                biased;
                room = flow.reserve(CHUNK_BYTES) => room,
                () = sender.closed() => return Err(Reason::Cancelled),
                // The budget is exhausted, which is not the server's fault.
                () = sleep_until(self.deadline) => return Err(Reason::Overload),
            };
            connection.traffic().restart_timer();
            return Err(tokio::select! {
                biased;
                frame = incoming.frame() => match frame {
                    None => {
                        self.lane.put_back(connection);
                        sender.end().await;
                        return Ok(());
                    }
                    Some(Ok(frame)) => match self.send_frame(frame, room, &sender).await {
                        Ok(()) => continue,
                        Err(reason) => reason,
                    },
                    Some(Err(_)) => body_failure(&connection),
                },
                () = sender.closed() => Reason::Cancelled,
                () = sleep_until(self.deadline) => Reason::DeadlinePassed,
                () = connection.traffic().wait_until_inactive(self.inactivity_timeout) =>
                    Reason::ConnectionSilent,
            });
        }
    }

    /// Sends a frame to the reader, waiting for it until the deadline; [`Reason::SlowCaller`] if it does not take it.
    async fn send_frame(
        &self,
        frame: Frame<Bytes>,
        room: Permit,
        sender: &Sender,
    ) -> Result<(), Reason> {
        let Ok(bytes) = frame.into_data() else {
            // Trailers are dropped.
            return Ok(());
        };
        match timeout_at(self.deadline, sender.send(room.bind(bytes))).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(Reason::Cancelled),
            Err(_) => Err(Reason::SlowCaller),
        }
    }
}

/// Returns why a body could not be read.
fn body_failure(connection: &Connection) -> Reason {
    match connection.is_overrun() {
        true => Reason::Protocol,
        false => Reason::ConnectionLost,
    }
}

/// Returns what a response head means, by whether it `is_first` on its connection.
///
/// A later refusal without an id may be an earlier one that is written again, or one that nobody asked for.
fn trusted(read: Read, id: Option<RequestHash>, is_first: bool) -> Read {
    match read {
        Read::Refused {
            is_named: false, ..
        } if id.is_some() && !is_first => Read::Foreign,
        read => read,
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
