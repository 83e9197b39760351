//! The server side of control calls.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::{
    FRAME_MAX_BYTES, HandOver, Handler, Pong, Probe, RECORDS_WAIT_MAX, Refusals, Relinquish,
    Snapshot, handshake, rpc::Control,
};
use copperwell_keyspace::{LogOffset, batch::Batch};
use copperwell_policy::quarantine::Conviction;
use futures::{StreamExt, stream::FuturesUnordered};
use tarpc::{
    context::Context,
    serde_transport,
    server::{BaseChannel, Channel},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time::sleep,
};
use tokio_serde::formats::Bincode;
use tokio_util::{codec::LengthDelimitedCodec, sync::CancellationToken, task::TaskTracker};

/// Maximum number of concurrent connections; further ones wait in the listener's queue.
const CONNECTIONS_MAX: usize = 512;

/// Maximum number of concurrent calls on one connection.
const CONCURRENT_CALLS_MAX: usize = 64;

/// Time after which a connection without calls is closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(2);

/// Dispatches calls to a [`Handler`].
struct Server<H> {
    handler: Arc<H>,
}

/// Serves control calls until `shutdown`, and refuses daemons with another protocol version.
pub async fn serve(
    listener: TcpListener,
    handler: impl Handler,
    refusals: Refusals,
    shutdown: CancellationToken,
) {
    let handler = Arc::new(handler);
    let connection_limit = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    let tasks = TaskTracker::new();
    let accept = async {
        loop {
            let Ok(permit) = connection_limit.clone().acquire_owned().await else {
                return;
            };
            // The error concerns one connection only, or the limit of open files, which clears when
            // other connections close.
            let Ok((mut stream, source)) = listener.accept().await else {
                tokio::task::yield_now().await;
                continue;
            };
            let handler = handler.clone();
            let refusals = refusals.clone();
            let shutdown = shutdown.clone();
            tasks.spawn(async move {
                let serving = async {
                    match handshake::read(&mut stream).await {
                        Ok(()) => refusals.record_accepted(source.ip()),
                        Err(refusal) => return refusals.record_refused(source.ip(), refusal),
                    }
                    serve_connection(stream, handler).await;
                };
                shutdown.run_until_cancelled(serving).await;
                drop(permit);
            });
        }
    };
    shutdown.run_until_cancelled(accept).await;
    tasks.close();
    tasks.wait().await;
}

async fn serve_connection<H: Handler>(stream: TcpStream, handler: Arc<H>) {
    // An error is harmless: without the option, small responses are only delayed.
    let _ = stream.set_nodelay(true);
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_MAX_BYTES)
        .new_framed(stream);
    let transport = serde_transport::new(framed, Bincode::default());
    let server = Server { handler };
    let calls = BaseChannel::with_defaults(transport).execute(server.serve());
    let mut calls = std::pin::pin!(calls);
    let mut running = FuturesUnordered::new();
    loop {
        tokio::select! {
            call = calls.next(), if running.len() < CONCURRENT_CALLS_MAX => match call {
                Some(call) => running.push(call),
                None => return,
            },
            Some(()) = running.next() => {}
            () = sleep(IDLE_TIMEOUT), if running.is_empty() => return,
        }
    }
}

impl<H> Clone for Server<H> {
    fn clone(&self) -> Self {
        Self {
            handler: self.handler.clone(),
        }
    }
}

impl<H: Handler> Control for Server<H> {
    async fn probe(self, _: Context, probe: Probe) -> Pong {
        self.handler.probe(probe).await
    }

    async fn probe_through(self, _: Context, target: SocketAddr) -> Option<Pong> {
        self.handler.probe_through(target).await
    }

    async fn records(self, _: Context, from: LogOffset, wait: Duration) -> Option<Batch> {
        self.handler.records(from, wait.min(RECORDS_WAIT_MAX)).await
    }

    async fn snapshot(self, _: Context) -> Option<Snapshot> {
        self.handler.snapshot().await
    }

    async fn hand_over(self, _: Context, hand_over: HandOver) -> bool {
        self.handler.hand_over(hand_over).await
    }

    async fn relinquish(self, _: Context, relinquish: Relinquish) -> bool {
        self.handler.relinquish(relinquish).await
    }

    async fn quarantine(self, _: Context, convictions: Vec<Conviction>) {
        self.handler.quarantine(convictions).await;
    }
}
