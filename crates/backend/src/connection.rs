//! One HTTP/1.1 connection to a server.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    framing::RequestHash,
    lane::Closed,
    outgoing::Outgoing,
    traffic::{Metered, Traffic},
};
use copperwell_message::is_final;
use copperwell_progress::{Allowance, Answer, Opened, Sender};
use hyper::body::Incoming;
use prometheus_client::metrics::counter::Counter;
use tokio::{
    net::TcpStream,
    task::JoinHandle,
    time::{Instant, sleep_until, timeout},
};

/// How long a connection may take to become ready again after a complete response.
pub(crate) const READY_TIMEOUT: Duration = Duration::from_millis(50);

/// How long before the server's keep-alive timeout an idle connection is used for the last time.
const REUSE_MARGIN: Duration = Duration::from_millis(500);

/// The failed requests after which a connection is closed, so that what it must remember is bounded.
const CARRIED_MAX: usize = 64;

/// The body of a response that arrives.
pub(crate) type Received = Answer<Incoming>;

/// An open connection; dropping it closes the socket.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: Sender<Outgoing>,
    task: JoinHandle<()>,
    traffic: Arc<Traffic>,
    allowance: Allowance,
    written_before: u64,
    sent_at: Instant,
    /// The server's keep-alive timeout, if it announces one.
    keep_alive: Option<Duration>,
    has_answered: bool,
    /// The requests that it has carried and that may be sent once more.
    carried: Vec<RequestHash>,
}

/// Why a connection could not be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectError {
    /// No process listens at the address, or the network reports it as unreachable.
    Refused,
    /// The attempt timed out.
    TimedOut,
}

/// Why a request got no response head.
#[derive(Debug)]
pub(crate) enum SendError {
    /// The connection closed before it accepted the request, which is handed back unchanged.
    NotSent(Box<http::Request<Outgoing>>),
    /// The connection failed.
    ConnectionLost(hyper::Error),
    /// No bytes passed for the inactivity timeout.
    Inactive,
    /// The deadline passed.
    DeadlinePassed,
    /// The status of the response is not a final HTTP status.
    StatusNotFinal,
}

impl Connection {
    /// Opens a connection that keeps `guard` alive until its socket closes.
    ///
    /// `bytes` counts the bytes sent and received; `closed` records if the server closes it. At most `read_bytes` are read
    /// at a time.
    pub(crate) async fn open(
        to: SocketAddr,
        connect_timeout: Duration,
        guard: impl Send + 'static,
        bytes: Counter,
        closed: Arc<Closed>,
        read_bytes: usize,
    ) -> Result<Self, ConnectError> {
        let stream = timeout(connect_timeout, TcpStream::connect(to))
            .await
            .map_err(|_| ConnectError::TimedOut)?
            .map_err(|_| ConnectError::Refused)?;
        // Without this, Nagle's algorithm may hold small requests back until an acknowledgement.
        let _ = stream.set_nodelay(true);
        // Resets the connection when it is dropped, so that data in flight is not delivered later.
        let _ = stream.set_zero_linger();
        let traffic = Arc::new(Traffic::new(bytes));
        let stream = Metered::new(stream, traffic.clone());
        let opened = copperwell_progress::handshake_reading(stream, read_bytes).await;
        let Opened {
            sender,
            connection,
            allowance,
        } = opened.map_err(|_| ConnectError::Refused)?;
        let task = tokio::spawn(async move {
            // A pending request gets the error from its sender; an idle connection needs none.
            let _ = connection.await;
            closed.record();
            drop(guard);
        });
        Ok(Self {
            sender,
            task,
            traffic,
            allowance,
            written_before: 0,
            sent_at: Instant::now(),
            keep_alive: None,
            has_answered: false,
            carried: Vec::new(),
        })
    }

    /// Records that a request has failed on this connection, and may be sent once more.
    pub(crate) fn record_failed(&mut self, id: RequestHash) {
        self.carried.push(id);
    }

    /// Returns whether a request may be sent on this connection: if it was carried before, a response that the server
    /// writes again would pass for the one that is due.
    pub(crate) fn may_carry(&self, id: Option<RequestHash>) -> bool {
        id.is_none_or(|id| !self.carried.contains(&id))
    }

    /// Returns whether the connection has carried so many failed requests that it is to be closed.
    pub(crate) fn is_worn(&self) -> bool {
        self.carried.len() >= CARRIED_MAX
    }

    /// Returns whether the server has answered on this connection before.
    ///
    /// Such a server reads the connection, so it reads the next request too.
    pub(crate) fn has_answered(&self) -> bool {
        self.has_answered
    }

    /// Records that the only answer so far was that of a health check, which shows nothing about later requests.
    pub(crate) fn forget_answer(&mut self) {
        self.has_answered = false;
    }

    /// Returns whether the connection can accept no further request.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Updates the server's keep-alive timeout; `None` leaves the known one in place.
    pub(crate) fn update_keep_alive(&mut self, keep_alive: Option<Duration>) {
        self.keep_alive = keep_alive.or(self.keep_alive);
    }

    /// Returns whether a request can be sent now without racing the server's keep-alive timeout.
    pub(crate) fn is_within_keep_alive(&self) -> bool {
        let idle_time = Instant::now().saturating_duration_since(self.last_activity());
        self.keep_alive
            .is_none_or(|keep_alive| idle_time + REUSE_MARGIN < keep_alive)
    }

    /// Returns when bytes last passed or the inactivity timer was last restarted.
    pub(crate) fn last_activity(&self) -> Instant {
        self.traffic.last_activity()
    }

    /// Returns when the last request was sent.
    pub(crate) fn sent_at(&self) -> Instant {
        self.sent_at
    }

    /// Returns the traffic counters and the inactivity timer.
    pub(crate) fn traffic(&self) -> &Arc<Traffic> {
        &self.traffic
    }

    /// Returns whether the connection failed because the server sent bytes, and its answer did not get on.
    pub(crate) fn is_overrun(&self) -> bool {
        self.allowance.is_used_up()
    }

    /// Waits up to `limit` for the connection to accept another request; `false` if it does not.
    pub(crate) async fn is_ready_within(&mut self, limit: Duration) -> bool {
        self.sender.is_ready() || matches!(timeout(limit, self.sender.ready()).await, Ok(Ok(())))
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// After an error the connection must not be used again.
    pub(crate) async fn send(
        &mut self,
        request: http::Request<Outgoing>,
        inactivity_timeout: Duration,
        deadline: Instant,
    ) -> Result<http::Response<Received>, SendError> {
        self.allowance.renew();
        self.written_before = self.traffic.written();
        self.sent_at = Instant::now();
        self.traffic.restart_timer();
        let stalled = request.body().stalled();
        let response = self.sender.try_send_request(request);
        tokio::select! {
            biased;
            response = response => {
                self.has_answered |= response.is_ok();
                let response = response.map_err(|mut error| match error.take_message() {
                    Some(request) => SendError::NotSent(Box::new(request)),
                    None => SendError::ConnectionLost(error.into_error()),
                })?;
                if !is_final(response.status().as_u16()) {
                    return Err(SendError::StatusNotFinal);
                }
                Ok(response.map(|body| self.allowance.answer(body)))
            }
            () = sleep_until(deadline) => Err(SendError::DeadlinePassed),
            () = self
                .traffic
                .wait_until_inactive_unless(inactivity_timeout, || stalled.is_stalled()) =>
            {
                Err(SendError::Inactive)
            }
        }
    }

    /// Closes the socket and returns whether any byte of the last request was written to it.
    ///
    /// The connection task has ended when this returns, so no byte can be written afterwards.
    pub(crate) async fn close(mut self) -> bool {
        self.task.abort();
        // Waits for the task to end, so that the byte count below is final.
        let _ = (&mut self.task).await;
        self.traffic.written() > self.written_before
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
