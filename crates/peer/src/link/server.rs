//! The server side of links.

use std::{future::poll_fn, net::SocketAddr, sync::Arc, time::Duration};

use super::{
    FRAMES_BUDGET_BYTES, HEADER_FIELDS_MAX_BYTES, LINK_WINDOW_BYTES, Links, PATH,
    PENDING_RESETS_MAX, STREAM_WINDOW_BYTES, STREAMS_PER_LINK_MAX,
    keepalive::{CloseReason, Monitor},
    transfer,
};
use crate::wire::{RequestHeader, ResponseHeader};
use bytes::Bytes;
use copperwell_memory::Budget;
use copperwell_message::{Reason, Request, Response, Serve, Verdict};
use h2::{
    RecvStream,
    server::{Builder, SendResponse},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time::timeout,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// Maximum number of concurrent links; further ones wait in the listener's queue.
const LINKS_SERVED_MAX: usize = 4096;

/// Time after which an idle link is closed; longer than the client's, so that the client normally
/// closes it first, which cannot race with its own requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Timeout for the h2 handshake, and for receiving the message at the start of a request.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);

/// Forwards requests that are addressed to another daemon.
pub trait Relay: Send + Sync + 'static {
    /// Sends the request to the daemon at `target`.
    fn relay(&self, target: SocketAddr, request: Request) -> impl Future<Output = Response> + Send;
}

/// A [`Relay`] that refuses all requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoRelay;

impl Relay for NoRelay {
    async fn relay(&self, _: SocketAddr, _: Request) -> Response {
        Response::refusal(Verdict::NotRun, Reason::NoLeader)
    }
}

impl Relay for Links {
    fn relay(&self, target: SocketAddr, request: Request) -> impl Future<Output = Response> + Send {
        self.send(target, request)
    }
}

/// Serves requests of other daemons until `shutdown`, then completes those in flight.
pub async fn serve(listener: TcpListener, handler: impl Serve, shutdown: CancellationToken) {
    serve_with_relay(listener, handler, NoRelay, shutdown).await;
}

/// Like [`serve`], but forwards requests that are addressed to another daemon through `relay`.
pub async fn serve_with_relay(
    listener: TcpListener,
    handler: impl Serve,
    relay: impl Relay,
    shutdown: CancellationToken,
) {
    let budget = Budget::unlimited();
    let server = Server {
        handler,
        relay,
        budget,
    };
    accept(listener, server, shutdown).await;
}

/// Like [`serve`], but buffers no more of requests' bodies than `budget` has room for.
pub async fn serve_within(
    listener: TcpListener,
    handler: impl Serve,
    budget: Budget,
    shutdown: CancellationToken,
) {
    let server = Server {
        handler,
        relay: NoRelay,
        budget,
    };
    accept(listener, server, shutdown).await;
}

async fn accept<H: Serve, R: Relay>(
    listener: TcpListener,
    server: Server<H, R>,
    shutdown: CancellationToken,
) {
    let server = Arc::new(server);
    let link_limit = Arc::new(Semaphore::new(LINKS_SERVED_MAX));
    let tasks = TaskTracker::new();
    let accept = async {
        loop {
            let Ok(permit) = link_limit.clone().acquire_owned().await else {
                return;
            };
            // The error concerns one link only, or the limit of open files, which clears when other
            // links close.
            let Ok((stream, _)) = listener.accept().await else {
                tokio::task::yield_now().await;
                continue;
            };
            let server = server.clone();
            let shutdown = shutdown.clone();
            tasks.spawn(async move {
                server.serve_link(stream, shutdown).await;
                drop(permit);
            });
        }
    };
    shutdown.run_until_cancelled(accept).await;
    drop(listener);
    tasks.close();
    tasks.wait().await;
}

struct Server<H, R> {
    handler: H,
    relay: R,
    budget: Budget,
}

/// Counts one request in flight until it is dropped.
struct InFlight {
    monitor: Arc<Monitor>,
}

impl InFlight {
    fn new(monitor: Arc<Monitor>) -> Self {
        monitor.try_acquire(u32::MAX);
        Self { monitor }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.monitor.release();
    }
}

impl<H: Serve, R: Relay> Server<H, R> {
    async fn serve_link(self: Arc<Self>, stream: TcpStream, shutdown: CancellationToken) {
        // An error is harmless: without the option, small responses are only delayed.
        let _ = stream.set_nodelay(true);
        let handshake = Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(LINK_WINDOW_BYTES)
            .max_concurrent_streams(STREAMS_PER_LINK_MAX)
            .max_concurrent_reset_streams(STREAMS_PER_LINK_MAX as usize)
            .max_pending_accept_reset_streams(PENDING_RESETS_MAX)
            .max_local_error_reset_streams(None)
            .data_frame_budget(FRAMES_BUDGET_BYTES)
            .max_send_buffer_size(STREAM_WINDOW_BYTES as usize)
            .max_header_list_size(HEADER_FIELDS_MAX_BYTES)
            .handshake(stream);
        let Ok(Ok(mut link)) = timeout(OPEN_TIMEOUT, handshake).await else {
            return;
        };
        let Some(pings) = link.ping_pong() else {
            return;
        };
        let monitor = Arc::new(Monitor::new());
        let mut monitoring = std::pin::pin!(monitor.run(pings, IDLE_TIMEOUT));
        let mut is_closing = false;
        let mut is_monitored = true;
        loop {
            tokio::select! {
                biased;
                accepted = link.accept() => {
                    let Some(Ok((request, respond))) = accepted else {
                        return;
                    };
                    monitor.record_activity();
                    let guard = InFlight::new(monitor.clone());
                    let server = self.clone();
                    tokio::spawn(async move {
                        server.serve_stream(request, respond).await;
                        drop(guard);
                    });
                }
                () = shutdown.cancelled(), if !is_closing => {
                    is_closing = true;
                    link.graceful_shutdown();
                }
                // Requests on an unresponsive link end with it.
                reason = &mut monitoring, if is_monitored => match reason {
                    CloseReason::Unresponsive => return,
                    CloseReason::Idle => {
                        is_monitored = false;
                        is_closing = true;
                        link.graceful_shutdown();
                    }
                },
            }
        }
    }

    async fn serve_stream(
        &self,
        request: http::Request<RecvStream>,
        mut respond: SendResponse<Bytes>,
    ) {
        if request.uri().path() != PATH {
            // The path belongs to another protocol version, whose message could be misread as one of
            // this version.
            return respond.send_reset(h2::Reason::REFUSED_STREAM);
        }
        let response = tokio::select! {
            biased;
            _ = poll_fn(|cx| respond.poll_reset(cx)) => return,
            response = self.handle(request.into_body()) => response,
        };
        let header = ResponseHeader {
            length: transfer::known_length(&response.body),
            reply: response.reply,
        };
        let Ok(first) = transfer::encode_first(&header, &response.body) else {
            return respond.send_reset(h2::Reason::INTERNAL_ERROR);
        };
        let Ok(to) = respond.send_response(http::Response::new(()), false) else {
            return;
        };
        if let Some(remainder) = first.send(to, response.body) {
            remainder.send().await;
        }
    }

    async fn handle(&self, from: RecvStream) -> Response {
        let message = match timeout(OPEN_TIMEOUT, transfer::read_message(from)).await {
            Ok(Ok(message)) => message,
            Ok(Err(_)) | Err(_) => {
                return Response::refusal(Verdict::NotRun, Reason::Protocol);
            }
        };
        let (
            RequestHeader {
                target,
                length,
                head,
            },
            body,
        ) = message;
        let request = Request {
            head,
            body: body.with_length(length).into_body((), &self.budget).await,
        };
        match target {
            Some(target) => self.relay.relay(target, request).await,
            None => self.handler.serve(request).await,
        }
    }
}
