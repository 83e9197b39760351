//! Rights of servers to shards.

use std::time::Duration;

use crate::id::{Epoch, Sequence, ServiceName, ShardIndex};
use serde::{Deserialize, Serialize};

/// A server's right to a shard, as the server itself reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The service.
    pub service: ServiceName,
    /// The shard.
    pub shard: ShardIndex,
    /// The epoch of the leader that granted or last kept it.
    pub epoch: Epoch,
    /// The grant's place among those of its epoch.
    pub sequence: Sequence,
    /// Time left until it lapses, by the server's clock.
    pub remaining: Duration,
}
