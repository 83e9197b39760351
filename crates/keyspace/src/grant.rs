//! Grants: the rights of servers to serve shards.

use std::time::Duration;

use crate::id::{Epoch, Sequence, ServiceName, ShardIndex};
use serde::{Deserialize, Serialize};

/// A server's right to serve a shard, as the server reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The service.
    pub service: ServiceName,
    /// The shard.
    pub shard: ShardIndex,
    /// The epoch of the leader that granted or last confirmed it.
    pub epoch: Epoch,
    /// Orders this grant among those of its epoch.
    pub sequence: Sequence,
    /// The time until it expires, by the server's clock.
    pub remaining: Duration,
}
