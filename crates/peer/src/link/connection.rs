//! One link to a peer, and one request on it.

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
    FRAMES_BUDGET, HEADERS_MAX, LINK_WINDOW, STREAM_WINDOW, STREAMS_MAX, UNREACHED,
    keepalive::{End, Pulse},
    metrics::Metrics,
    transfer as pump,
};
use crate::{
    dial::Dial,
    wire::{Answer, Opening},
};
use bytes::Bytes;
use copperwell_message::{Reason, Request, Response, Verdict};
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
const IDLE: Duration = Duration::from_secs(30);

/// A link to a peer.
#[derive(Debug)]
pub(super) struct Connection {
    requests: SendRequest<Bytes>,
    state: Arc<State>,
}

/// What the link's driver and its requests share.
#[derive(Debug)]
struct State {
    pulse: Pulse,
    /// The link takes no new requests.
    closed: AtomicBool,
    /// The link was given up because pings stayed unanswered.
    silent: AtomicBool,
}

/// Counts a request on a link until it is dropped.
#[derive(Debug)]
pub(super) struct Load {
    state: Arc<State>,
}

/// A link's place for one request; nothing has been sent yet.
#[derive(Debug)]
pub(super) struct Stream {
    requests: SendRequest<Bytes>,
    load: Load,
}

impl Connection {
    /// Connects to a daemon, and makes sure that it answers.
    pub(super) async fn connect(
        dial: Dial,
        to: SocketAddr,
        metrics: Metrics,
    ) -> io::Result<Arc<Self>> {
        let stream = dial.connect(to).await?;
        let handshake = Builder::new()
            .initial_window_size(STREAM_WINDOW)
            .initial_connection_window_size(LINK_WINDOW)
            .initial_max_send_streams(STREAMS_MAX as usize)
            .max_concurrent_reset_streams(STREAMS_MAX as usize)
            .max_local_error_reset_streams(None)
            .data_frame_budget(FRAMES_BUDGET)
            .max_send_buffer_size(STREAM_WINDOW as usize)
            .max_header_list_size(HEADERS_MAX)
            .enable_push(false)
            .handshake(stream)
            .await;
        let (requests, mut driver) = handshake.map_err(io::Error::other)?;
        let pings = driver.ping_pong();
        let pings = pings.ok_or_else(|| io::Error::other("pings are in use"))?;
        let state = Arc::new(State {
            pulse: Pulse::new(),
            closed: AtomicBool::new(false),
            silent: AtomicBool::new(false),
        });
        tokio::spawn(drive(driver, pings, state.clone(), metrics));
        let link = Self { requests, state };
        if !link.state.pulse.prove().await {
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(Arc::new(link))
    }

    pub(super) fn is_closed(&self) -> bool {
        self.state.closed.load(Ordering::Acquire)
    }

    pub(super) fn is_usable(&self) -> bool {
        !self.is_closed() && !self.state.pulse.is_doubtful()
    }

    /// Requests in flight.
    pub(super) fn load(&self) -> u32 {
        self.state.pulse.load()
    }

    /// Takes a place for a request; `None` if the link is full.
    pub(super) fn enter(&self) -> Option<Load> {
        let entered = self.state.pulse.enter(STREAMS_MAX);
        entered.then(|| Load {
            state: self.state.clone(),
        })
    }

    /// Makes sure that the link takes a request; `None` if it is silent or closing.
    pub(super) async fn open(&self, load: Load) -> Option<Stream> {
        if !self.state.pulse.prove().await {
            return None;
        }
        match self.requests.clone().ready().await {
            Ok(requests) => Some(Stream { requests, load }),
            Err(_) => {
                // The driver lives on for what is in flight.
                self.state.closed.store(true, Ordering::Release);
                None
            }
        }
    }
}

impl Stream {
    /// Sends a request and waits for the head of its response.
    pub(super) async fn exchange(
        mut self,
        target: Option<SocketAddr>,
        mut request: Request,
        deadline: Instant,
    ) -> Response {
        request.head.deadline = deadline.saturating_duration_since(Instant::now());
        if request.head.deadline.is_zero() {
            return Response::refusal(Verdict::NotRun, Reason::DeadlineHopeless);
        }
        let opening = Opening {
            target,
            length: pump::length_of(&request.body),
            head: request.head,
        };
        let Ok(first) = pump::first(&opening, &request.body) else {
            return Response::refusal(Verdict::NotRun, Reason::TooLarge);
        };
        let opened = self.requests.send_request(super::request_head(), false);
        let Ok((answer, to)) = opened else {
            return Response::refusal(Verdict::NotRun, UNREACHED);
        };
        let sending = CancellationToken::new();
        let guard = sending.clone().drop_guard();
        if let Some(rest) = first.send(to, request.body) {
            tokio::spawn(async move { sending.run_until_cancelled(rest.send()).await });
        }
        match timeout_at(deadline, receive(answer)).await {
            Ok(Ok((answer, body))) => {
                self.load.state.pulse.beat();
                Response {
                    reply: answer.reply,
                    body: body.into_body((self.load, guard)),
                }
            }
            Ok(Err(failure)) => failure.response(&self.load.state),
            Err(_) => Response::refusal(Verdict::MayHaveRun, Reason::DeadlinePassed),
        }
    }
}

/// Why there is no response.
enum Failure {
    Link(h2::Error),
    Message(pump::Error),
}

impl Failure {
    fn response(self, state: &State) -> Response {
        let error = match self {
            Self::Link(error) | Self::Message(pump::Error::Link(error)) => error,
            Self::Message(pump::Error::Message) => {
                return Response::refusal(Verdict::MayHaveRun, Reason::Protocol);
            }
        };
        if is_unprocessed(&error) {
            return Response::refusal(Verdict::NotRun, UNREACHED);
        }
        if error.is_reset() && !error.is_remote() {
            // The request's body was cut short on this side.
            return Response::refusal(Verdict::MayHaveRun, Reason::Cancelled);
        }
        let reason = if state.silent.load(Ordering::Acquire) {
            Reason::ConnectionSilent
        } else {
            Reason::ConnectionLost
        };
        Response::refusal(Verdict::MayHaveRun, reason)
    }
}

/// Runs a link to its end; requests that are in flight then end with it.
async fn drive(
    mut driver: h2::client::Connection<TcpStream>,
    pings: PingPong,
    state: Arc<State>,
    metrics: Metrics,
) {
    let end = tokio::select! {
        biased;
        _ = &mut driver => None,
        end = state.pulse.watch(pings, IDLE) => Some(end),
    };
    state.closed.store(true, Ordering::Release);
    match end {
        Some(End::Silent) => {
            state.silent.store(true, Ordering::Release);
            metrics.count_silent();
        }
        // A request may have taken a place just before the link was closed for others.
        Some(End::Idle) => tokio::select! {
            _ = driver => {}
            () = state.pulse.drained() => {}
        },
        None => {}
    }
}

async fn receive(answer: ResponseFuture) -> Result<(Answer, pump::Incoming), Failure> {
    let from = answer.await.map_err(Failure::Link)?.into_body();
    let (answer, body): (Answer, _) = pump::open(from).await.map_err(Failure::Message)?;
    let length = answer.length;
    Ok((answer, body.with_length(length)))
}

/// Whether the peer says that it did nothing with the request.
///
/// The library fails a stream with the peer's GOAWAY only if the stream is above the last one that
/// the peer names there.
fn is_unprocessed(error: &h2::Error) -> bool {
    let refused = error.is_reset() && error.reason() == Some(h2::Reason::REFUSED_STREAM);
    error.is_remote() && (refused || error.is_go_away())
}

impl Drop for Load {
    fn drop(&mut self) {
        self.state.pulse.leave();
    }
}
