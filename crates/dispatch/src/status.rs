//! The part of the status page that describes the engine.

use copperwell_keyspace::{ServiceName, UpstreamName};
use serde::{Deserialize, Serialize};

/// The load of an upstream, as counted by this daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The service.
    pub service: ServiceName,
    /// The upstream.
    pub upstream: UpstreamName,
    /// The current concurrency limit; lower than declared while the upstream warms up or sheds
    /// load.
    pub slots: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Interactive requests in the queue.
    pub interactive: u32,
    /// Batch requests in the queue.
    pub batch: u32,
    /// Whether sending is paused because the upstream refuses connections.
    pub paused: bool,
}

/// One of the most requested keys of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HotKey {
    /// The service.
    pub service: ServiceName,
    /// The key.
    pub key: String,
    /// Its share, in thousandths, of the service's requests that this daemon received as leader;
    /// older requests count less.
    pub permille: u32,
}
