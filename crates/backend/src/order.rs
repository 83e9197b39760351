//! Control orders to a backend server, as JSON bodies.
//!
//! A server that checks fencing refuses with status 409 and a [`Refusal`] what comes with an epoch
//! below the highest that it has seen for the group.

use std::time::Duration;

use copperwell_keyspace::{
    DaemonName, Epoch, GroupId, Incarnation, Sequence, ShardIndex, grant::Grant,
};
use serde::{Deserialize, Serialize};

/// `POST /copperwell/fence`: from here on only this epoch or a higher one counts.
///
/// The server keeps the grants that it holds; they lapse unless they are renewed.
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
    /// The server's run; a later run holds nothing of an earlier one.
    pub incarnation: Incarnation,
    /// The grants of the group that the server holds; one that lapsed and that it still remembers
    /// has nothing remaining.
    pub grants: Vec<Grant>,
    /// Whether the server wants no new work.
    pub draining: bool,
    /// The server's own steady clock when it answered, in milliseconds since any fixed moment.
    pub clock_ms: u64,
}

/// `POST /copperwell/grant`: gives shards to the server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Give {
    /// The group.
    pub group: GroupId,
    /// The leader's epoch.
    pub epoch: Epoch,
    /// Higher than that of every earlier order of this epoch.
    pub sequence: Sequence,
    /// The run of the server that the order is for; another run refuses it.
    pub incarnation: Incarnation,
    /// How long the grant lasts from its arrival at most, in milliseconds.
    pub lease_ms: u64,
    /// When the grant lapses at the latest, by the server's clock as in [`Held::clock_ms`]; an
    /// order that was under way for too long grants nothing.
    pub until_ms: u64,
    /// The shards.
    pub shards: Vec<ShardIndex>,
}

/// `POST /copperwell/renew`: prolongs every grant of the group that the server holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renew {
    /// The group.
    pub group: GroupId,
    /// The leader's epoch.
    pub epoch: Epoch,
    /// The run of the server that the order is for; another run refuses it.
    pub incarnation: Incarnation,
    /// How long the grants last from the renewal's arrival at most, in milliseconds.
    pub lease_ms: u64,
    /// When the grants lapse at the latest, by the server's clock as in [`Held::clock_ms`]; a
    /// renewal never revives a grant that lapsed.
    pub until_ms: u64,
}

/// `POST /copperwell/release`: takes shards back, answered when the server has let go.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The group.
    pub group: GroupId,
    /// The leader's epoch.
    pub epoch: Epoch,
    /// Higher than that of every earlier order of this epoch.
    pub sequence: Sequence,
    /// The shards.
    pub shards: Vec<ShardIndex>,
}

/// The answer to a grant, a renewal or a release.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The server's run.
    pub incarnation: Incarnation,
    /// How many shards of the group it holds now.
    pub shards: u32,
    /// The exclusive or of [`digest_of`] over those shards.
    pub digest: u64,
    /// Whether the server wants no new work.
    pub draining: bool,
    /// Requests that it runs now, as it says itself; a hint.
    pub in_flight: u32,
    /// The server's own steady clock when it answered, in milliseconds since any fixed moment.
    pub clock_ms: u64,
}

/// The answer of a server that has seen a higher epoch, a later sequence of the same epoch, or an
/// order for another run of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The server's run.
    pub incarnation: Incarnation,
    /// The highest epoch that it has seen.
    pub epoch: Epoch,
}

/// `GET /copperwell/load`: a server's load, as it sees itself; a hint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that it runs.
    pub in_flight: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that it can run at a time.
    pub slots: u32,
    /// Whether it wants no new work.
    pub draining: bool,
}

/// The epoch, sequence and time limit that a request carries to its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Order {
    /// The leader's epoch.
    pub epoch: Epoch,
    /// What is left of the deadline.
    pub deadline: Duration,
}

/// The share of a shard in [`Held::digest`].
#[must_use]
pub fn digest_of(shard: ShardIndex) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&shard.to_le_bytes())
}

/// Paths of the control orders.
pub mod path {
    /// [`super::Fence`].
    pub const FENCE: &str = "/copperwell/fence";
    /// [`super::Give`].
    pub const GRANT: &str = "/copperwell/grant";
    /// [`super::Renew`].
    pub const RENEW: &str = "/copperwell/renew";
    /// [`super::Release`].
    pub const RELEASE: &str = "/copperwell/release";
    /// Health: 200 or 503.
    pub const HEALTH: &str = "/copperwell/health";
    /// Load, as a server sees itself.
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
    /// Milliseconds that are left until the deadline.
    pub const DEADLINE: &str = "copperwell-deadline-ms";
    /// The request's identity.
    pub const REQUEST: &str = "copperwell-request";
    /// The idempotency key of a request that is not repeatable.
    pub const IDEMPOTENCY: &str = "idempotency-key";
    /// On a response without the owner's answer: whether the request may have run.
    pub const VERDICT: &str = "copperwell-verdict";
    /// On a response without the owner's answer: the reason.
    pub const REASON: &str = "copperwell-reason";
    /// The server's run.
    pub const INCARNATION: &str = "copperwell-incarnation";
}
