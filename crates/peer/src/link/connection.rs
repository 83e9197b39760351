//! One link to a peer, and the requests on it.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use super::{
    FRAMES_BUDGET_BYTES, HEADER_FIELDS_MAX_BYTES, LINK_WINDOW_BYTES, STREAM_WINDOW_BYTES,
    STREAMS_PER_LINK_MAX, UNREACHABLE_REASON,
    keepalive::{CloseReason, Monitor},
    metrics::Metrics,
    transfer,
};
use crate::{
    dial::Dialer,
    wire::{RequestHeader, ResponseHeader},
};
use bytes::Bytes;
use copperwell_memory::Budget;
use copperwell_message::{Reason, Request, Response, Verdict, is_final};
use h2::{
    PingPong,
    client::{Builder, ResponseFuture, SendRequest},
};
use tokio::{
    net::TcpStream,
    time::{Instant, timeout_at},
};
use tokio_util::sync::CancellationToken;

/// Time after which an idle link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A link to a peer.
#[derive(Debug)]
pub(super) struct Connection {
    requests: SendRequest<Bytes>,
    state: Arc<State>,
}

/// State shared by the driver of a link and its requests.
#[derive(Debug)]
struct State {
    monitor: Monitor,
    /// The link accepts no new requests.
    closed: AtomicBool,
    /// The link was closed because pings were not answered.
    unresponsive: AtomicBool,
}

/// Counts one request in flight on a link until it is dropped.
#[derive(Debug)]
pub(super) struct Permit {
    state: Arc<State>,
}

/// A reserved stream of a link; nothing has been sent on it yet.
#[derive(Debug)]
pub(super) struct Stream {
    requests: SendRequest<Bytes>,
    permit: Permit,
}

impl Connection {
    /// Connects to a daemon and waits for its first pong.
    pub(super) async fn connect(
        dialer: Dialer,
        to: SocketAddr,
        metrics: Metrics,
    ) -> io::Result<Arc<Self>> {
        let stream = dialer.connect(to).await?;
        let handshake = Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(LINK_WINDOW_BYTES)
            .initial_max_send_streams(STREAMS_PER_LINK_MAX as usize)
            .max_concurrent_reset_streams(STREAMS_PER_LINK_MAX as usize)
            .max_local_error_reset_streams(None)
            .data_frame_budget(FRAMES_BUDGET_BYTES)
            .max_send_buffer_size(STREAM_WINDOW_BYTES as usize)
            .max_header_list_size(HEADER_FIELDS_MAX_BYTES)
            .enable_push(false)
            .handshake(stream)
            .await;
        let (requests, mut driver) = handshake.map_err(io::Error::other)?;
        let pings = driver.ping_pong();
        let pings = pings
            .ok_or_else(|| io::Error::other("the connection's ping handle is already in use"))?;
        let state = Arc::new(State {
            monitor: Monitor::new(),
            closed: AtomicBool::new(false),
            unresponsive: AtomicBool::new(false),
        });
        tokio::spawn(drive(driver, pings, state.clone(), metrics));
        let link = Self { requests, state };
        if !link.state.monitor.ensure_responsive().await {
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(Arc::new(link))
    }

    pub(super) fn is_closed(&self) -> bool {
        self.state.closed.load(Ordering::Acquire)
    }

    pub(super) fn is_usable(&self) -> bool {
        !self.is_closed() && !self.state.monitor.is_suspect()
    }

    /// Returns the number of requests in flight.
    pub(super) fn in_flight(&self) -> u32 {
        self.state.monitor.in_flight()
    }

    /// Acquires a permit for one request; `None` if the link is full.
    pub(super) fn try_acquire(&self) -> Option<Permit> {
        let acquired = self.state.monitor.try_acquire(STREAMS_PER_LINK_MAX);
        acquired.then(|| Permit {
            state: self.state.clone(),
        })
    }

    /// Reserves a stream; `None` if the link is unresponsive or closing.
    pub(super) async fn open(&self, permit: Permit) -> Option<Stream> {
        if !self.state.monitor.ensure_responsive().await {
            return None;
        }
        match self.requests.clone().ready().await {
            Ok(requests) => Some(Stream { requests, permit }),
            Err(_) => {
                // The driver keeps running for the requests in flight.
                self.state.closed.store(true, Ordering::Release);
                None
            }
        }
    }
}

impl Stream {
    /// Sends a request and waits for the header of its response.
    pub(super) async fn exchange(
        mut self,
        target: Option<SocketAddr>,
        mut request: Request,
        deadline: Instant,
        budget: &Budget,
    ) -> Response {
        request.head.deadline = deadline.saturating_duration_since(Instant::now());
        if request.head.deadline.is_zero() {
            return Response::refusal(Verdict::NotRun, Reason::DeadlineHopeless);
        }
        let request_header = RequestHeader {
            target,
            length: transfer::known_length(&request.body),
            head: request.head,
        };
        let Ok(first) = transfer::encode_first(&request_header, &request.body) else {
            return Response::refusal(Verdict::NotRun, Reason::TooLarge);
        };
        let opened = self.requests.send_request(super::request_head(), false);
        let Ok((response, to)) = opened else {
            return Response::refusal(Verdict::NotRun, UNREACHABLE_REASON);
        };
        let sending = CancellationToken::new();
        let guard = sending.clone().drop_guard();
        if let Some(remainder) = first.send(to, request.body) {
            tokio::spawn(async move { sending.run_until_cancelled(remainder.send()).await });
        }
        match timeout_at(deadline, receive(response)).await {
            Ok(Ok((response_header, body))) => {
                self.permit.state.monitor.record_activity();
                let reply = response_header.reply;
                // Daemons of earlier releases pass on what an upstream has sent.
                if !is_final(reply.status) {
                    return Response::refusal(Verdict::MayHaveRun, Reason::Protocol);
                }
                Response {
                    reply,
                    body: body.into_body((self.permit, guard), budget).await,
                }
            }
            Ok(Err(failure)) => failure.into_response(&self.permit.state),
            Err(_) => Response::refusal(Verdict::MayHaveRun, Reason::DeadlinePassed),
        }
    }
}

/// The reason why no response was received.
enum Failure {
    Link(h2::Error),
    Message(transfer::Error),
}

impl Failure {
    fn into_response(self, state: &State) -> Response {
        let error = match self {
            Self::Link(error) | Self::Message(transfer::Error::Link(error)) => error,
            Self::Message(transfer::Error::Malformed) => {
                return Response::refusal(Verdict::MayHaveRun, Reason::Protocol);
            }
        };
        if is_unprocessed(&error) {
            return Response::refusal(Verdict::NotRun, UNREACHABLE_REASON);
        }
        if error.is_reset() && !error.is_remote() {
            // This side reset the stream, because the request's body was incomplete.
            return Response::refusal(Verdict::MayHaveRun, Reason::Cancelled);
        }
        let reason = if state.unresponsive.load(Ordering::Acquire) {
            Reason::ConnectionSilent
        } else {
            Reason::ConnectionLost
        };
        Response::refusal(Verdict::MayHaveRun, reason)
    }
}

/// Drives a link until it is closed; requests that are still in flight fail with it.
async fn drive(
    mut driver: h2::client::Connection<TcpStream>,
    pings: PingPong,
    state: Arc<State>,
    metrics: Metrics,
) {
    let reason = tokio::select! {
        biased;
        _ = &mut driver => None,
        reason = state.monitor.run(pings, IDLE_TIMEOUT) => Some(reason),
    };
    state.closed.store(true, Ordering::Release);
    match reason {
        Some(CloseReason::Unresponsive) => {
            state.unresponsive.store(true, Ordering::Release);
            metrics.count_unresponsive();
        }
        // A request may have acquired its permit just before the link was closed for new ones.
        Some(CloseReason::Idle) => tokio::select! {
            _ = driver => {}
            () = state.monitor.drained() => {}
        },
        None => {}
    }
}

async fn receive(
    response: ResponseFuture,
) -> Result<(ResponseHeader, transfer::IncomingBody), Failure> {
    let from = response.await.map_err(Failure::Link)?.into_body();
    let (header, body): (ResponseHeader, _) = transfer::read_message(from)
        .await
        .map_err(Failure::Message)?;
    let length = header.length;
    Ok((header, body.with_length(length)))
}

/// Whether the peer reports that it did not process the request.
///
/// The library fails a stream with the peer's GOAWAY only if the id of the stream is higher than the
/// last one that the GOAWAY names.
fn is_unprocessed(error: &h2::Error) -> bool {
    let refused = error.is_reset() && error.reason() == Some(h2::Reason::REFUSED_STREAM);
    error.is_remote() && (refused || error.is_go_away())
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.state.monitor.release();
    }
}
