//! What the engine sees of servers, told to the ownership driver.

use copperwell_keyspace::{Epoch, ServiceName, ShardIndex, UpstreamName};

/// Something that the engine saw of a server.
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
    /// The server took no connection, or lost the one that carried a request.
    Unreachable {
        /// The service.
        service: ServiceName,
        /// The server.
        upstream: UpstreamName,
    },
}

/// Observations that may wait for the driver; a later one is dropped and counted.
pub(crate) const CHANNEL: usize = 1024;
