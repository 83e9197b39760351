//! Control orders to a backend server, as JSON bodies.
//!
//! The epoch is the fencing token: a server that checks it rejects anything sent with an epoch
//! below the highest one seen for the group, with status 409 and a [`Refusal`].

use std::time::Duration;

use copperwell_keyspace::{
    DaemonName, Epoch, GroupId, Incarnation, Sequence, ShardIndex, grant::Grant,
};
use serde::{Deserialize, Serialize};

/// `POST /copperwell/fence`: makes the server reject lower epochs from now on.
///
/// The server keeps its grants; they expire unless they are renewed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// The group.
    pub group: GroupId,
    /// The new leader's epoch.
    pub epoch: Epoch,
    /// The new leader.
    pub leader: DaemonName,
}

/// The answer to a [`Fence`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fenced {
    /// The server's incarnation; a new one holds no grants of an earlier one.
    pub incarnation: Incarnation,
    /// The server's grants of the group; one that has expired and is still remembered has no time
    /// remaining.
    pub grants: Vec<Grant>,
    /// Whether the server is draining and wants no new work.
    pub draining: bool,
    /// The server's monotonic clock when it answered, in milliseconds since a fixed moment.
    pub clock_ms: u64,
}

/// `POST /copperwell/grant`: grants shards to the server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Give {
    /// The group.
    pub group: GroupId,
    /// The leader's epoch.
    pub epoch: Epoch,
    /// A number higher than that of every earlier grant or release order of this epoch.
    pub sequence: Sequence,
    /// The incarnation of the server that the order is for; another incarnation rejects it.
    pub incarnation: Incarnation,
    /// The longest duration of the grant from the order's arrival, in milliseconds.
    pub lease_ms: u64,
    /// The latest expiry of the grant, by the server's clock as in [`Held::clock_ms`]; an order
    /// that arrives later grants nothing.
    pub until_ms: u64,
    /// The shards.
    pub shards: Vec<ShardIndex>,
}

/// `POST /copperwell/renew`: renews every grant of the group that the server holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renew {
    /// The group.
    pub group: GroupId,
    /// The leader's epoch.
    pub epoch: Epoch,
    /// The incarnation of the server that the order is for; another incarnation rejects it.
    pub incarnation: Incarnation,
    /// The longest duration of the grants from the order's arrival, in milliseconds.
    pub lease_ms: u64,
    /// The latest expiry of the grants, by the server's clock as in [`Held::clock_ms`]; a renewal
    /// never revives an expired grant.
    pub until_ms: u64,
}

/// `POST /copperwell/release`: revokes shards; the server answers once it has released them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The group.
    pub group: GroupId,
    /// The leader's epoch.
    pub epoch: Epoch,
    /// A number higher than that of every earlier grant or release order of this epoch.
    pub sequence: Sequence,
    /// The shards.
    pub shards: Vec<ShardIndex>,
}

/// The answer to a [`Give`], a [`Renew`] or a [`Release`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The server's incarnation.
    pub incarnation: Incarnation,
    /// The number of shards of the group that the server holds now.
    pub shards: u32,
    /// The XOR of [`digest_of`] over those shards.
    pub digest: u64,
    /// Whether the server is draining and wants no new work.
    pub draining: bool,
    /// In-flight requests as the server counts them; a hint.
    pub in_flight: u32,
    /// The server's monotonic clock when it answered, in milliseconds since a fixed moment.
    pub clock_ms: u64,
}

/// The rejection of an order with a stale epoch, a stale sequence of the same epoch, or another
/// incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The server's incarnation.
    pub incarnation: Incarnation,
    /// The highest epoch that the server has seen.
    pub epoch: Epoch,
}

/// The answer to `GET /copperwell/load`: a server's load as it measures it; a hint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// In-flight requests.
    pub in_flight: u32,
    /// Queued requests, which wait for a slot.
    pub waiting: u32,
    /// The number of requests that the server can run concurrently.
    pub slots: u32,
    /// Whether the server is draining and wants no new work.
    pub draining: bool,
}

/// The epoch and time limit that a request carries to its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Order {
    /// The leader's epoch.
    pub epoch: Epoch,
    /// The time remaining until the request's deadline.
    pub deadline: Duration,
}

/// Returns the hash of a shard that enters into [`Held::digest`].
#[must_use]
pub fn digest_of(shard: ShardIndex) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&shard.to_le_bytes())
}

/// Paths of the control orders and of a server's status.
pub mod path {
    /// The path of [`Fence`](super::Fence).
    pub const FENCE: &str = "/copperwell/fence";
    /// The path of [`Give`](super::Give).
    pub const GRANT: &str = "/copperwell/grant";
    /// The path of [`Renew`](super::Renew).
    pub const RENEW: &str = "/copperwell/renew";
    /// The path of [`Release`](super::Release).
    pub const RELEASE: &str = "/copperwell/release";
    /// The health check, answered with status 200 or 503.
    pub const HEALTH: &str = "/copperwell/health";
    /// The path of [`Load`](super::Load).
    pub const LOAD: &str = "/copperwell/load";
}

/// Header fields of requests and responses.
pub mod header {
    /// The service of a request.
    pub const SERVICE: &str = "copperwell-service";
    /// The key of a request.
    pub const KEY: &str = "copperwell-key";
    /// The shard of a request.
    pub const SHARD: &str = "copperwell-shard";
    /// The epoch under which a request is sent.
    pub const EPOCH: &str = "copperwell-epoch";
    /// Milliseconds remaining until the deadline.
    pub const DEADLINE: &str = "copperwell-deadline-ms";
    /// The request's id.
    pub const REQUEST: &str = "copperwell-request";
    /// The idempotency key of a request that is not repeatable.
    pub const IDEMPOTENCY: &str = "idempotency-key";
    /// On a response without the owner's answer: whether the request may have run.
    pub const VERDICT: &str = "copperwell-verdict";
    /// On a response without the owner's answer: the reason.
    pub const REASON: &str = "copperwell-reason";
    /// The server's incarnation.
    pub const INCARNATION: &str = "copperwell-incarnation";
}
