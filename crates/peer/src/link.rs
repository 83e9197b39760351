//! Request links: each request is one h2 stream on one of a few long-lived connections.
//!
//! A stream's body starts with a bincode message (see `wire`), and the request's or response's body
//! follows. A body of unknown length is whole only if trailers end it; a reset severs it.
//!
//! Lock order: the table of peers, then one peer's links or its last failure. Only the lock that lets
//! one link to a peer be made at a time is held across an await.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use crate::dial::Dial;
use copperwell_message::{HashMap, Head, Reason, Request, Response, Verdict};
use peer::Peer;
use prometheus_client::registry::Registry;
use tokio::time::{Instant, timeout_at};

pub use metrics::Metrics;
pub use server::{Relay, Sealed, serve, serve_with_relay};

mod connection;
mod keepalive;
mod metrics;
mod peer;
mod server;
mod transfer;

/// Links to one peer that take requests; as many more may be in doubt.
pub const LINKS_MAX: usize = 4;

/// Requests in flight on one link.
pub const STREAMS_MAX: u32 = 256;

/// Peers to which links are kept at a time.
pub const PEERS_MAX: usize = 2048;

/// How long a connection may take to be made.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Bytes that may be on their way on one stream before its reader reads.
const STREAM_WINDOW: u32 = 64 * 1024;

/// Bytes that may be on their way on one link; enough for all its streams, so that slow readers
/// do not hold up others.
const LINK_WINDOW: u32 = STREAM_WINDOW * STREAMS_MAX;

/// Bookkeeping of small frames that wait for slow readers, in bytes by the h2 library's measure;
/// beyond it the library closes the link.
const FRAMES_BUDGET: usize = 64 << 20;

/// Requests given up by their caller before the server looked at them; beyond it the library
/// closes the link.
const GIVEN_UP_MAX: usize = 4096;

/// Bytes of header fields; a stream's own head carries none.
const HEADERS_MAX: u32 = 4096;

/// The path of every stream; it names the version of the messages.
const PATH: &str = "/copperwell/requests/1";

/// The reason where a daemon surely got nothing of a request. A daemon that answers with
/// [`Reason::ConnectionRefused`] speaks of the server behind it.
const UNREACHED: Reason = Reason::NoLeader;

/// Sends requests to other daemons; cheap to clone, and clones share links.
#[derive(Debug, Clone, Default)]
pub struct Links {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    peers: Mutex<HashMap<SocketAddr, Arc<Peer>>>,
    metrics: Metrics,
    dial: Dial,
}

impl Links {
    /// Links to nobody yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Links to nobody yet, which open connections as `dial` says.
    #[must_use]
    pub fn with_dial(dial: Dial) -> Self {
        let shared = Shared {
            dial,
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
    /// The verdict of a failure is [`Verdict::NotRun`] only if the other daemon surely did nothing
    /// with the request; the reason is [`Reason::NoLeader`] if it could not be reached. Dropping the future, or the response's body, cancels the request there.
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
        let response = stream.exchange(target, request, deadline).await;
        if let Some(reason) = response.reply.reason {
            self.shared.metrics.count_failure(reason);
        }
        response
    }

    fn refuse(&self, reason: Reason) -> Response {
        self.shared.metrics.count_failure(reason);
        Response::refusal(Verdict::NotRun, reason)
    }

    /// The peer at `to`; `None` if the table is full of peers in use.
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
        let peer = Arc::new(Peer::new(self.shared.dial, to));
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

/// The head of a stream.
fn request_head() -> http::Request<()> {
    let mut head = http::Request::new(());
    *head.method_mut() = http::Method::POST;
    *head.uri_mut() = http::Uri::from_static(PATH);
    head
}
