//! Request links: each request is one h2 stream on one of a few long-lived connections.
//!
//! The payload of a stream starts with a bincode message (see `wire`), followed by the body of the
//! request or response. A body of unknown length is complete only if trailers end it; a reset
//! severs it.
//!
//! Lock order: the table of peers, then a peer's links or its last failure. Only the lock that
//! serializes connection attempts to a peer is held across an await.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use crate::dial::Dialer;
use copperwell_memory::Budget;
use copperwell_message::{HashMap, Head, Reason, Request, Response, Verdict};
use peer::Peer;
use prometheus_client::registry::Registry;
use tokio::time::{Instant, timeout_at};

pub use metrics::Metrics;
pub use server::{NoRelay, Relay, serve, serve_with_relay, serve_within};

mod connection;
mod keepalive;
mod metrics;
mod peer;
mod server;
mod transfer;

/// Maximum number of usable links to one peer; as many more may be suspect.
pub const LINKS_PER_PEER_MAX: usize = 4;

/// Maximum number of requests in flight on one link.
pub const STREAMS_PER_LINK_MAX: u32 = 256;

/// Maximum number of peers in the table.
pub const PEERS_MAX: usize = 2048;

/// Timeout for establishing a link.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Flow-control window of one stream.
const STREAM_WINDOW_BYTES: u32 = 64 * 1024;

/// Flow-control window of one link; enough for all its streams, so that slow readers do not block
/// others.
const LINK_WINDOW_BYTES: u32 = STREAM_WINDOW_BYTES * STREAMS_PER_LINK_MAX;

/// Budget for the overhead of small frames that wait for slow readers, in bytes as the h2 library
/// counts them; beyond it the library closes the link.
const FRAMES_BUDGET_BYTES: usize = 64 << 20;

/// Maximum number of requests that were cancelled before the server accepted them; beyond it the
/// library closes the link.
const PENDING_RESETS_MAX: usize = 4096;

/// Maximum size of the header fields of a stream; this protocol adds none.
const HEADER_FIELDS_MAX_BYTES: u32 = 4096;

/// The path of every stream, which includes the protocol version.
const PATH: &str = "/copperwell/requests/1";

/// The reason if a request certainly did not reach the daemon. [`Reason::ConnectionRefused`] is not
/// used for it, because a daemon reports that if it could not reach its backend server.
const UNREACHABLE_REASON: Reason = Reason::NoLeader;

/// Sends requests to other daemons; cheap to clone, and clones share links.
#[derive(Debug, Clone, Default)]
pub struct Links {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    peers: Mutex<HashMap<SocketAddr, Arc<Peer>>>,
    metrics: Metrics,
    dialer: Dialer,
    budget: Budget,
}

impl Links {
    /// Creates a table without links.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a table without links, which buffers no more of responses than `budget` has room for.
    #[must_use]
    pub fn with_budget(budget: Budget) -> Self {
        let shared = Shared {
            budget,
            ..Shared::default()
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Creates a table without links, which opens connections with `dialer`.
    #[must_use]
    pub fn with_dialer(dialer: Dialer) -> Self {
        let shared = Shared {
            dialer,
            ..Shared::default()
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Registers the counters.
    pub fn register(&self, registry: &mut Registry) {
        self.shared.metrics.register(registry);
    }

    /// Sends a request to the daemon at `to`.
    ///
    /// The verdict of a failure is [`Verdict::NotRun`] only if the other daemon certainly did not
    /// process the request; the reason is [`Reason::NoLeader`] if it is unreachable. Dropping the
    /// future, or the body of the response, cancels the request there.
    pub async fn send(&self, to: SocketAddr, request: Request) -> Response {
        self.dispatch(to, None, request).await
    }

    /// Sends a request to the daemon at `target` through the one at `relay`.
    pub async fn send_via(
        &self,
        relay: SocketAddr,
        target: SocketAddr,
        request: Request,
    ) -> Response {
        self.dispatch(relay, Some(target), request).await
    }

    async fn dispatch(
        &self,
        to: SocketAddr,
        target: Option<SocketAddr>,
        mut request: Request,
    ) -> Response {
        let deadline = Instant::now() + request.head.deadline;
        if request.head.hops >= Head::HOPS_MAX {
            return self.refuse(Reason::Protocol);
        }
        request.head.hops += 1;
        let Some(peer) = self.peer(to) else {
            return self.refuse(Reason::ServiceLimit);
        };
        let stream = match timeout_at(deadline, peer.open(&self.shared.metrics)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(reason)) => return self.refuse(reason),
            Err(_) => return self.refuse(Reason::DeadlineHopeless),
        };
        let response = stream
            .exchange(target, request, deadline, &self.shared.budget)
            .await;
        if let Some(reason) = response.reply.reason {
            self.shared.metrics.count_failure(reason);
        }
        response
    }

    fn refuse(&self, reason: Reason) -> Response {
        self.shared.metrics.count_failure(reason);
        Response::refusal(Verdict::NotRun, reason)
    }

    /// Returns the peer at `to`; `None` if the table is full of peers in use.
    fn peer(&self, to: SocketAddr) -> Option<Arc<Peer>> {
        let mut peers = self.peers();
        if let Some(peer) = peers.get(&to) {
            return Some(peer.clone());
        }
        if peers.len() >= PEERS_MAX {
            peers.retain(|_, peer| !peer.is_idle());
        }
        if peers.len() >= PEERS_MAX {
            return None;
        }
        let peer = Arc::new(Peer::new(self.shared.dialer, to));
        peers.insert(to, peer.clone());
        Some(peer)
    }

    fn peers(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Peer>>> {
        self.shared
            .peers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the HTTP head that opens a stream.
fn request_head() -> http::Request<()> {
    let mut head = http::Request::new(());
    *head.method_mut() = http::Method::POST;
    *head.uri_mut() = http::Uri::from_static(PATH);
    head
}
