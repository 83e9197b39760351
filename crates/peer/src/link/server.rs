//! The serving side of links.

use std::{future::poll_fn, net::SocketAddr, sync::Arc, time::Duration};

use super::{
    FRAMES_BUDGET, GIVEN_UP_MAX, HEADERS_MAX, LINK_WINDOW, Links, PATH, STREAM_WINDOW, STREAMS_MAX,
    keepalive::{End, Pulse},
    transfer as pump,
};
use crate::wire::{Answer, Opening};
use bytes::Bytes;
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

/// Links served at a time; later ones wait in the listener's queue.
const LINKS_SERVED_MAX: usize = 4096;

/// Time after which an idle link is closed; longer than that of the other side, which closes it
/// without a race.
const IDLE: Duration = Duration::from_secs(60);

/// How long a peer may take for the h2 handshake, and for the message that opens a request.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);

/// Passes on requests that are meant for another daemon.
pub trait Relay: Send + Sync + 'static {
    /// Sends the request to the daemon at `target`.
    fn relay(&self, target: SocketAddr, request: Request) -> impl Future<Output = Response> + Send;
}

/// Relays nothing.
#[derive(Debug, Clone, Copy, Default)]
pub struct Sealed;

impl Relay for Sealed {
    async fn relay(&self, _: SocketAddr, _: Request) -> Response {
        Response::refusal(Verdict::NotRun, Reason::NoLeader)
    }
}

impl Relay for Links {
    fn relay(&self, target: SocketAddr, request: Request) -> impl Future<Output = Response> + Send {
        self.send(target, request)
    }
}

/// Serves requests of other daemons until `shutdown`, then finishes those in flight.
pub async fn serve(listener: TcpListener, handler: impl Serve, shutdown: CancellationToken) {
    serve_with_relay(listener, handler, Sealed, shutdown).await;
}

/// As [`serve`], and passes on what is meant for another daemon.
pub async fn serve_with_relay(
    listener: TcpListener,
    handler: impl Serve,
    relay: impl Relay,
    shutdown: CancellationToken,
) {
    let server = Arc::new(Server { handler, relay });
    let room = Arc::new(Semaphore::new(LINKS_SERVED_MAX));
    let tasks = TaskTracker::new();
    let accept = async {
        loop {
            let Ok(permit) = room.clone().acquire_owned().await else {
                return;
            };
            // A failed accept concerns one link, or open files that others will free.
            let Ok((stream, _)) = listener.accept().await else {
                tokio::task::yield_now().await;
                continue;
            };
            let server = server.clone();
            let shutdown = shutdown.clone();
            tasks.spawn(async move {
                server.link(stream, shutdown).await;
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
}

/// Counts a request that is being served, until it is dropped.
struct Served {
    pulse: Arc<Pulse>,
}

impl Served {
    fn new(pulse: Arc<Pulse>) -> Self {
        pulse.enter(u32::MAX);
        Self { pulse }
    }
}

impl Drop for Served {
    fn drop(&mut self) {
        self.pulse.leave();
    }
}

impl<H: Serve, R: Relay> Server<H, R> {
    async fn link(self: Arc<Self>, stream: TcpStream, shutdown: CancellationToken) {
        // Without the option small answers are late, but they come.
        let _ = stream.set_nodelay(true);
        let handshake = Builder::new()
            .initial_window_size(STREAM_WINDOW)
            .initial_connection_window_size(LINK_WINDOW)
            .max_concurrent_streams(STREAMS_MAX)
            .max_concurrent_reset_streams(STREAMS_MAX as usize)
            .max_pending_accept_reset_streams(GIVEN_UP_MAX)
            .max_local_error_reset_streams(None)
            .data_frame_budget(FRAMES_BUDGET)
            .max_send_buffer_size(STREAM_WINDOW as usize)
            .max_header_list_size(HEADERS_MAX)
            .handshake(stream);
        let Ok(Ok(mut link)) = timeout(OPEN_TIMEOUT, handshake).await else {
            return;
        };
        let Some(pings) = link.ping_pong() else {
            return;
        };
        let pulse = Arc::new(Pulse::new());
        let mut end = std::pin::pin!(pulse.watch(pings, IDLE));
        let mut closing = false;
        let mut watched = true;
        loop {
            tokio::select! {
                biased;
                accepted = link.accept() => {
                    let Some(Ok((request, respond))) = accepted else {
                        return;
                    };
                    pulse.beat();
                    let served = Served::new(pulse.clone());
                    let server = self.clone();
                    tokio::spawn(async move {
                        server.stream(request, respond).await;
                        drop(served);
                    });
                }
                () = shutdown.cancelled(), if !closing => {
                    closing = true;
                    link.graceful_shutdown();
                }
                // Requests on a silent link end with it.
                ended = &mut end, if watched => match ended {
                    End::Silent => return,
                    End::Idle => {
                        watched = false;
                        closing = true;
                        link.graceful_shutdown();
                    }
                },
            }
        }
    }

    async fn stream(&self, request: http::Request<RecvStream>, mut respond: SendResponse<Bytes>) {
        if request.uri().path() != PATH {
            // Of another version: its message could be mistaken for one of this version.
            return respond.send_reset(h2::Reason::REFUSED_STREAM);
        }
        let response = tokio::select! {
            biased;
            _ = poll_fn(|cx| respond.poll_reset(cx)) => return,
            response = self.response(request.into_body()) => response,
        };
        let answer = Answer {
            length: pump::length_of(&response.body),
            reply: response.reply,
        };
        let Ok(first) = pump::first(&answer, &response.body) else {
            return respond.send_reset(h2::Reason::INTERNAL_ERROR);
        };
        let Ok(to) = respond.send_response(http::Response::new(()), false) else {
            return;
        };
        if let Some(rest) = first.send(to, response.body) {
            rest.send().await;
        }
    }

    async fn response(&self, from: RecvStream) -> Response {
        let opening = match timeout(OPEN_TIMEOUT, pump::open(from)).await {
            Ok(Ok(opening)) => opening,
            Ok(Err(_)) | Err(_) => {
                return Response::refusal(Verdict::NotRun, Reason::Protocol);
            }
        };
        let (
            Opening {
                target,
                length,
                head,
            },
            body,
        ) = opening;
        let request = Request {
            head,
            body: body.with_length(length).into_body(()),
        };
        match target {
            Some(target) => self.relay.relay(target, request).await,
            None => self.handler.serve(request).await,
        }
    }
}
