//! The HTTP server for callers.

use std::{
    convert::Infallible,
    net::{IpAddr, SocketAddr},
    pin::pin,
    sync::Arc,
    time::Duration,
};

use crate::{
    Network, body::ResponseBody, ingress::Ingress, pipeline::Pipeline, refusal,
    write_timeout::WriteTimeout,
};
use copperwell_memory::Budget;
use copperwell_message::{Reason, Response, Verdict};
use http::{StatusCode, request::Parts, response};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    io::{self, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
    time::timeout,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// The maximum number of bytes from a caller that are buffered for the HTTP library.
const UNREAD_MAX_BYTES: usize = 16 << 10;

/// The longest pause of a caller in reading a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// The time limit for sending the response to a slow head, and for closing the connection after it.
const SLOW_HEAD_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The response to a caller that sends a head too slowly.
const SLOW_HEAD_RESPONSE: &[u8] = b"HTTP/1.1 408 Request Timeout\r\n\
    connection: close\r\n\
    content-type: text/plain\r\n\
    copperwell-verdict: not-run\r\n\
    copperwell-reason: slow-caller\r\n\
    content-length: 70\r\n\
    \r\n\
    slow-caller, not-run: Send the whole request head without long pauses.";

/// Handles callers' requests.
pub trait Handler: Send + Sync + 'static {
    /// Serves one request.
    ///
    /// Dropping the future, or the body of the response, cancels the request.
    fn handle(
        &self,
        request: http::Request<Option<Incoming>>,
        caller: IpAddr,
    ) -> impl Future<Output = http::Response<ResponseBody>> + Send;

    /// Returns whether a request without a body may start before the earlier requests of its
    /// connection have their responses. It must be repeatable, since the caller may never get its
    /// response.
    fn may_start_early(&self, head: &Parts) -> bool {
        let _ = head;
        false
    }

    /// Returns the response to a request whose own response, with this `head`, broke off before any of it was sent.
    fn broken_off(&self, head: &response::Parts) -> http::Response<ResponseBody> {
        let _ = head;
        let reply = Response::refusal(Verdict::MayHaveRun, Reason::ConnectionLost).reply;
        let mut response = http::Response::new(ResponseBody::new(refusal::body(&reply, None)));
        *response.status_mut() = StatusCode::BAD_GATEWAY;
        response
    }

    /// Returns whether connections are to be closed, so that callers send their next request
    /// elsewhere.
    fn is_stopping(&self) -> bool {
        false
    }

    /// Returns the budget of what is buffered.
    fn budget(&self) -> Budget {
        Budget::unlimited()
    }

    /// Called when a connection is closed because its caller sent a head too slowly.
    fn on_slow_caller(&self);

    /// Returns the limits for new connections.
    fn limits(&self) -> Limits;
}

/// The limits of callers' connections.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The maximum number of open connections; further ones wait in the listen queue.
    pub connections: usize,
    /// The time limit for a caller to send a head.
    pub head_time: Duration,
    /// The maximum number of header fields of a request.
    pub headers: usize,
    /// The maximum size of a head, in bytes.
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

/// Serves callers until `shutdown`, then completes the requests in flight.
///
/// # Errors
///
/// Returns an error of the listening socket.
pub async fn serve<N: Network>(
    listener: TcpListener,
    ingress: Arc<Ingress<N>>,
    limits: Limits,
    shutdown: CancellationToken,
) -> io::Result<()> {
    let handler = Arc::new(LimitedIngress { ingress, limits });
    serve_with(listener, handler, shutdown).await
}

/// Serves callers with `handler` until `shutdown`, then completes the requests in flight.
///
/// # Errors
///
/// Returns an error of the listening socket.
pub async fn serve_with<H: Handler>(
    listener: TcpListener,
    handler: Arc<H>,
    shutdown: CancellationToken,
) -> io::Result<()> {
    let permits = Arc::new(Semaphore::new(handler.limits().connections));
    let connections = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            biased;
            () = shutdown.cancelled() => break,
            accepted = accept(&listener, &permits) => accepted,
        };
        // A failed accept may concern one caller only and must not end the server.
        let Ok(accepted) = accepted else {
            tokio::task::yield_now().await;
            continue;
        };
        let handler = handler.clone();
        let shutdown = shutdown.clone();
        connections.spawn(async move {
            let Accepted {
                stream,
                caller,
                permit,
            } = accepted;
            serve_connection(stream, caller, &handler, shutdown).await;
            drop(permit);
        });
    }
    drop(listener);
    connections.close();
    connections.wait().await;
    Ok(())
}

/// An ingress with fixed connection limits.
struct LimitedIngress<N> {
    ingress: Arc<Ingress<N>>,
    limits: Limits,
}

impl<N: Network> Handler for LimitedIngress<N> {
    async fn handle(
        &self,
        request: http::Request<Option<Incoming>>,
        caller: IpAddr,
    ) -> http::Response<ResponseBody> {
        self.ingress.handle(request, caller).await
    }

    fn on_slow_caller(&self) {
        self.ingress.metrics().record_slow_connection();
    }

    fn limits(&self) -> Limits {
        self.limits
    }
}

/// An accepted connection and its permit.
struct Accepted {
    stream: TcpStream,
    caller: SocketAddr,
    permit: OwnedSemaphorePermit,
}

async fn accept(listener: &TcpListener, permits: &Arc<Semaphore>) -> io::Result<Accepted> {
    let permit = permits.clone().acquire_owned().await;
    let permit = permit.map_err(io::Error::other)?;
    let (stream, caller) = listener.accept().await?;
    Ok(Accepted {
        stream,
        caller,
        permit,
    })
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    caller: SocketAddr,
    handler: &Arc<H>,
    shutdown: CancellationToken,
) {
    let limits = handler.limits();
    // Without this option small responses are delayed, but still correct.
    let _ = stream.set_nodelay(true);
    let (from_caller, to_caller) = stream.into_split();
    let (from_reader, to_library) = io::simplex(UNREAD_MAX_BYTES);
    let pipeline = Pipeline::new(handler.clone(), caller.ip(), limits.headers);
    let mut forwarding = pin!(pipeline.forward(from_caller, to_library));
    let service =
        service_fn(|request| async { Ok::<_, Infallible>(pipeline.serve(request).await) });
    let stream = io::join(from_reader, WriteTimeout::new(to_caller, WRITE_TIMEOUT));
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_time)
        .max_headers(limits.headers)
        .max_buf_size(limits.head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let (mut is_input_closed, mut is_closing) = (false, false);
    let result = loop {
        tokio::select! {
            biased;
            result = &mut connection => break result,
            () = &mut forwarding, if !is_input_closed => {
                is_input_closed = true;
                if pipeline.is_busy() {
                    // The caller closed the connection: returning drops, and so cancels, its
                    // requests.
                    return;
                }
            }
            () = pipeline.wait_until_closable(&shutdown), if !is_closing => {
                is_closing = true;
                std::pin::Pin::new(&mut connection).graceful_shutdown();
            }
        }
    };
    let Err(error) = result else { return };
    if !error.is_timeout() {
        // A connection error affects only this caller.
        return;
    }
    handler.on_slow_caller();
    let parts = connection.into_parts();
    if !parts.read_buf.is_empty() {
        let (_, mut to_caller) = parts.io.into_inner().into_inner();
        // Errors are ignored: the caller may have closed the connection.
        let _ = timeout(
            SLOW_HEAD_RESPONSE_TIMEOUT,
            to_caller.write_all(SLOW_HEAD_RESPONSE),
        )
        .await;
        let _ = timeout(SLOW_HEAD_RESPONSE_TIMEOUT, to_caller.shutdown()).await;
    }
}
