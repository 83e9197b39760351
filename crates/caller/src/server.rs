//! The HTTP server for callers.

use std::{
    convert::Infallible,
    net::{IpAddr, SocketAddr},
    pin::pin,
    sync::Arc,
    time::Duration,
};

use crate::{Network, body::Answer, ingress::Ingress, pipeline::Ahead, write_timeout::Patience};
use http::request::Parts;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    io::{self, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
    time::timeout,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// Bytes of a caller that wait for the HTTP library, at most.
const UNREAD_MAX: usize = 16 << 10;

/// How long a caller may pause in reading an answer.
const READ_SILENCE: Duration = Duration::from_secs(10);

/// How long the last words to a slow caller may take.
const FAREWELL: Duration = Duration::from_secs(1);

/// The answer to a caller that is too slow in sending a head.
const SLOW_HEAD: &[u8] = b"HTTP/1.1 408 Request Timeout\r\n\
    connection: close\r\n\
    content-type: text/plain\r\n\
    copperwell-verdict: not-run\r\n\
    copperwell-reason: slow-caller\r\n\
    content-length: 70\r\n\
    \r\n\
    slow-caller, not-run: Send the whole request head without long pauses.";

/// What a daemon does with callers' requests.
pub trait Handler: Send + Sync + 'static {
    /// Serves one request.
    ///
    /// Dropping the future, or the answer's body, cancels the request.
    fn handle(
        &self,
        request: http::Request<Option<Incoming>>,
        caller: IpAddr,
    ) -> impl Future<Output = http::Response<Answer>> + Send;

    /// Whether a request without a body may begin before those that came before it on its connection
    /// are answered. It must be one that may run more than once: the caller may never get its answer.
    fn may_begin_early(&self, head: &Parts) -> bool {
        let _ = head;
        false
    }

    /// Whether callers are to go elsewhere with their next request.
    fn is_stopping(&self) -> bool {
        false
    }

    /// Hears of a caller that was too slow in sending a head.
    fn slow(&self);

    /// The limits on new connections.
    fn limits(&self) -> Limits;
}

/// Limits on callers' connections.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Connections at a time; further ones wait in the listen queue.
    pub connections: usize,
    /// The longest time a caller may take to send a head.
    pub head_time: Duration,
    /// The most header fields of a request.
    pub headers: usize,
    /// The largest head, in bytes.
    pub head_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 8192,
            head_time: Duration::from_secs(10),
            headers: 64,
            head_bytes: 32 << 10,
        }
    }
}

/// Serves callers until `shutdown`, then finishes what is in flight.
///
/// # Errors
///
/// An error of the listening socket.
pub async fn serve<N: Network>(
    listener: TcpListener,
    ingress: Arc<Ingress<N>>,
    limits: Limits,
    shutdown: CancellationToken,
) -> io::Result<()> {
    let handler = Arc::new(Limited { ingress, limits });
    serve_with(listener, handler, shutdown).await
}

/// Serves callers with any handler until `shutdown`, then finishes what is in flight.
///
/// # Errors
///
/// An error of the listening socket.
pub async fn serve_with<H: Handler>(
    listener: TcpListener,
    handler: Arc<H>,
    shutdown: CancellationToken,
) -> io::Result<()> {
    let slots = Arc::new(Semaphore::new(handler.limits().connections));
    let connections = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            biased;
            () = shutdown.cancelled() => break,
            accepted = accept(&listener, &slots) => accepted,
        };
        // One caller's failure must not end the server.
        let Ok(accepted) = accepted else {
            tokio::task::yield_now().await;
            continue;
        };
        let handler = handler.clone();
        let shutdown = shutdown.clone();
        connections.spawn(async move {
            let Accepted { stream, peer, slot } = accepted;
            connection(stream, peer, &handler, shutdown).await;
            drop(slot);
        });
    }
    drop(listener);
    connections.close();
    connections.wait().await;
    Ok(())
}

/// Ingress with fixed limits.
struct Limited<N> {
    ingress: Arc<Ingress<N>>,
    limits: Limits,
}

impl<N: Network> Handler for Limited<N> {
    async fn handle(
        &self,
        request: http::Request<Option<Incoming>>,
        caller: IpAddr,
    ) -> http::Response<Answer> {
        self.ingress.handle(request, caller).await
    }

    fn slow(&self) {
        self.ingress.metrics().slow();
    }

    fn limits(&self) -> Limits {
        self.limits
    }
}

/// A connection and its slot.
struct Accepted {
    stream: TcpStream,
    peer: SocketAddr,
    slot: OwnedSemaphorePermit,
}

async fn accept(listener: &TcpListener, slots: &Arc<Semaphore>) -> io::Result<Accepted> {
    let slot = slots.clone().acquire_owned().await;
    let slot = slot.map_err(io::Error::other)?;
    let (stream, peer) = listener.accept().await?;
    Ok(Accepted { stream, peer, slot })
}

async fn connection<H: Handler>(
    stream: TcpStream,
    peer: SocketAddr,
    handler: &Arc<H>,
    shutdown: CancellationToken,
) {
    let limits = handler.limits();
    // Without the option small answers are late, but they come.
    let _ = stream.set_nodelay(true);
    let (from_caller, to_caller) = stream.into_split();
    let (from_reader, to_library) = io::simplex(UNREAD_MAX);
    let ahead = Ahead::new(handler.clone(), peer.ip(), limits.headers);
    let mut reading = pin!(ahead.read(from_caller, to_library));
    let service = service_fn(|request| async { Ok::<_, Infallible>(ahead.serve(request).await) });
    let stream = io::join(from_reader, Patience::new(to_caller, READ_SILENCE));
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_time)
        .max_headers(limits.headers)
        .max_buf_size(limits.head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let (mut is_read, mut is_closing) = (false, false);
    let ended = loop {
        tokio::select! {
            biased;
            ended = &mut connection => break ended,
            () = &mut reading, if !is_read => {
                is_read = true;
                if ahead.is_busy() {
                    // The caller has left, which cancels its requests.
                    return;
                }
            }
            () = ahead.may_close(&shutdown), if !is_closing => {
                is_closing = true;
                std::pin::Pin::new(&mut connection).graceful_shutdown();
            }
        }
    };
    let Err(failure) = ended else { return };
    if !failure.is_timeout() {
        // A broken connection concerns only its caller.
        return;
    }
    handler.slow();
    let parts = connection.into_parts();
    if !parts.read_buf.is_empty() {
        let (_, mut to_caller) = parts.io.into_inner().into_inner();
        // The caller may be gone.
        let _ = timeout(FAREWELL, to_caller.write_all(SLOW_HEAD)).await;
        let _ = timeout(FAREWELL, to_caller.shutdown()).await;
    }
}
