//! What the status page shows of the engine.

use copperwell_keyspace::{ServiceName, UpstreamName};
use serde::{Deserialize, Serialize};

/// An upstream as the engine sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The service.
    pub service: ServiceName,
    /// The upstream.
    pub upstream: UpstreamName,
    /// Requests that it may run now; fewer than declared while it is cold or sheds.
    pub slots: u32,
    /// Requests that it runs.
    pub in_flight: u32,
    /// Interactive requests that wait for it.
    pub interactive: u32,
    /// Batch requests that wait for it.
    pub batch: u32,
    /// Whether nothing is sent for now, since it takes no connection.
    pub paused: bool,
}

/// A key that is asked for often.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HotKey {
    /// The service.
    pub service: ServiceName,
    /// The key.
    pub key: String,
    /// Its part of the service's requests that this daemon took as leader, in thousandths; older
    /// requests count less.
    pub permille: u32,
}
