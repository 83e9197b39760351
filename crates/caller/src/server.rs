//! The HTTP server for callers.

use std::{convert::Infallible, io, sync::Arc, time::Duration};

use crate::{Network, ingress::Ingress};
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use tokio::{net::TcpListener, sync::Semaphore};
use tokio_util::sync::CancellationToken;

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
    let slots = Arc::new(Semaphore::new(limits.connections));
    let graceful = GracefulShutdown::new();
    loop {
        let slot = slots
            .clone()
            .acquire_owned()
            .await
            .map_err(io::Error::other)?;
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shutdown.cancelled() => break,
        };
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            // One caller's failure must not end the server.
            Err(_) => continue,
        };
        let ingress = ingress.clone();
        let service = service_fn(move |request| {
            let ingress = ingress.clone();
            async move { Ok::<_, Infallible>(ingress.handle(request, peer.ip()).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.head_time)
            .max_headers(limits.headers)
            .max_buf_size(limits.head_bytes)
            .serve_connection(TokioIo::new(stream), service);
        let watched = graceful.watch(connection);
        tokio::spawn(async move {
            // A broken connection concerns only its caller.
            let _ = watched.await;
            drop(slot);
        });
    }
    graceful.shutdown().await;
    Ok(())
}
