//! Observations of servers that the engine reports to the ownership driver.

use copperwell_keyspace::{Epoch, ServiceName, ShardIndex, UpstreamName};

/// An observation of a server, made in a failed attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Observation {
    /// The server refused a request because it does not own the shard or has seen a higher epoch.
    Fenced {
        /// The service.
        service: ServiceName,
        /// The shard.
        shard: ShardIndex,
        /// The server.
        upstream: UpstreamName,
        /// The epoch under which the request was sent.
        epoch: Epoch,
    },
    /// The server accepted no connection, or the connection of a request was lost or silent.
    Unreachable {
        /// The service.
        service: ServiceName,
        /// The server.
        upstream: UpstreamName,
    },
}

/// The number of observations that may wait for the driver; more are dropped and counted.
pub(crate) const CHANNEL_CAPACITY: usize = 1024;
