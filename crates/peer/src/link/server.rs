//! The serving side of links.

use std::{future::poll_fn, net::SocketAddr, sync::Arc, time::Duration};

use super::{LINK_WINDOW, Links, STREAM_WINDOW, STREAMS_MAX, keepalive, pump};
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

impl<H: Serve, R: Relay> Server<H, R> {
    async fn link(self: Arc<Self>, stream: TcpStream, shutdown: CancellationToken) {
        // Without the option small answers are late, but they come.
        let _ = stream.set_nodelay(true);
        let handshake = Builder::new()
            .initial_window_size(STREAM_WINDOW)
            .initial_connection_window_size(LINK_WINDOW)
            .max_concurrent_streams(STREAMS_MAX)
            .max_send_buffer_size(STREAM_WINDOW as usize)
            .handshake(stream);
        let Ok(Ok(mut link)) = timeout(OPEN_TIMEOUT, handshake).await else {
            return;
        };
        let Some(pings) = link.ping_pong() else {
            return;
        };
        let doubtful = std::sync::atomic::AtomicBool::new(false);
        let mut silent = std::pin::pin!(keepalive::watch(pings, &doubtful));
        let mut closing = false;
        loop {
            tokio::select! {
                biased;
                accepted = link.accept() => {
                    let Some(Ok((request, respond))) = accepted else {
                        return;
                    };
                    let server = self.clone();
                    tokio::spawn(async move { server.stream(request, respond).await });
                }
                () = shutdown.cancelled(), if !closing => {
                    closing = true;
                    link.graceful_shutdown();
                }
                // Requests on the link end with it.
                () = &mut silent => return,
            }
        }
    }

    async fn stream(&self, request: http::Request<RecvStream>, mut respond: SendResponse<Bytes>) {
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
