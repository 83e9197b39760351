//! What decides on each connection whether a request is sent there, and health checks before it.

use std::time::Duration;

use http::uri::PathAndQuery;
use tokio::time::Instant;

/// Decides on each connection whether a request is sent there.
pub trait Gate: Send {
    /// Returns whether the request may be sent now. It is called immediately before the send, which may be long after
    /// the server was selected.
    fn may_send(&mut self) -> bool;

    /// Returns the path of the health check that a new connection begins with; `None` if none is needed.
    ///
    /// `closed_at` is when the server last closed a connection, as it does when its process ends.
    fn health_check(&mut self, _closed_at: Option<Instant>) -> Option<PathAndQuery> {
        None
    }

    /// Records the answer to the health check that was sent at `sent_at`: how much longer the server warms up, or
    /// `None` if there was none in time.
    fn record_health(&mut self, _warmup_left: Option<Duration>, _sent_at: Instant) {}

    /// Records the remaining warm-up time that the answer states, unless the answer is from another server. It is called
    /// after [`record_health`](Self::record_health).
    fn record_named(&mut self, _warmup_left: Duration, _sent_at: Instant) {}
}

/// The content of the answer to a health check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Health {
    /// The remaining warm-up time; zero if the answer does not state it.
    pub warmup_left: Duration,
    /// The remaining warm-up time; `None` if the answer does not state it or is from another server.
    pub named: Option<Duration>,
    /// When the health check was sent.
    pub sent_at: Instant,
}

impl<T: FnMut() -> bool + Send> Gate for T {
    fn may_send(&mut self) -> bool {
        self()
    }
}
