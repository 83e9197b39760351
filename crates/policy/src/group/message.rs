//! Inputs and actions of a group's state machine.

use std::{net::SocketAddr, time::Duration};

use copperwell_keyspace::{
    Epoch, GroupId, Incarnation, Sequence, ShardIndex, UpstreamName, grant::Grant,
    manifest::Upstream,
};
use tokio::time::Instant;

/// The number of an order or a wait, which distinguishes its answer from those of earlier ones.
pub type Ticket = u64;

/// The initial state of a leader.
#[derive(Debug, Clone)]
pub struct Start {
    /// The group.
    pub id: GroupId,
    /// The epoch under which this daemon leads.
    pub epoch: Epoch,
    /// The configuration of the group.
    pub config: Config,
    /// The state of the predecessor.
    pub predecessor: Predecessor,
    /// The servers that count towards quorums.
    pub voters: Voters,
    /// Whether the log records this daemon's appointment as leader with this epoch, which it does
    /// not for a standby that takes over without the log.
    pub is_recorded: bool,
    /// Returns a shard's contribution to the digest in a server's answers.
    pub shard_digest: fn(ShardIndex) -> u64,
}

/// The servers that count towards quorums, by address; all of them check epochs.
///
/// The log records the voters of each appointment. A successor counts these and not the servers
/// that either leader knows of, so that the quorums of both intersect.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Voters {
    /// The voters of this leader's appointment.
    pub own: Vec<SocketAddr>,
    /// The voters of the appointment before.
    pub former: Vec<SocketAddr>,
}

/// The configuration of a group, from the manifest and the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
    /// Upstreams that the manifest no longer has but that may still hold grants.
    pub former: Vec<Upstream>,
    /// The shards that the group owns.
    pub shards: Vec<ShardIndex>,
    /// The duration of a grant without renewal.
    pub lease: Duration,
    /// The longest lease that was ever configured.
    pub lease_max: Duration,
    /// How long the leader goes on without contact to the log, if the service limits that.
    pub isolation: Option<Duration>,
}

impl Config {
    /// Returns whether the manifest has this upstream.
    #[must_use]
    pub fn has_upstream(&self, name: &str) -> bool {
        self.upstreams
            .iter()
            .any(|upstream| *upstream.name == *name)
    }
}

/// The state of the leader before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Predecessor {
    /// There is none: this is the group's first appointment.
    None,
    /// The predecessor may still send orders.
    Active,
    /// The predecessor sends no more orders.
    Stopped,
}

/// An input of the state machine.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// An order was answered or has failed.
    Answered {
        /// The server's upstream.
        upstream: UpstreamName,
        /// The order's ticket.
        ticket: Ticket,
        /// The answer.
        result: Result<Answer, Failure>,
    },
    /// The manifest or the log has changed.
    Config(Config),
    /// Requests to an upstream failed in a way that suggests a changed state.
    Suspect(UpstreamName),
    /// A shard named by [`Action::AwaitIdle`] has no request in flight.
    Idle {
        /// The shard.
        shard: ShardIndex,
        /// The wait's ticket.
        ticket: Ticket,
    },
    /// The predecessor certainly sends no more orders.
    PredecessorStopped,
    /// At this time no daemon led the group with a higher epoch: after it, the log was read to its
    /// end and the standby was asked.
    Confirmed(Instant),
    /// At this time a request was sent to the log, or to a peer that sees the log, and has been
    /// answered since.
    Contact(Instant),
    /// Request counts of shards since the last such input.
    Load(Vec<Load>),
    /// Another group is to own shards.
    Migrate {
        /// The shards.
        shards: Vec<ShardIndex>,
        /// The other group.
        to: GroupId,
    },
    /// Another daemon is to lead: hand over once no request is in flight.
    HandOver,
    /// Another daemon leads: stop at once.
    Stop,
}

/// The request count of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// The shard.
    pub shard: ShardIndex,
    /// Number of requests.
    pub requests: u32,
}

/// An action that the state machine asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send an order to an upstream's server.
    Order {
        /// The upstream.
        upstream: Upstream,
        /// Returned with [`Input::Answered`].
        ticket: Ticket,
        /// The order.
        order: Order,
        /// After this time without an answer the result is [`Failure::Timeout`].
        timeout: Duration,
    },
    /// Set a shard's route.
    Route {
        /// The shard.
        shard: ShardIndex,
        /// The route.
        route: Route,
    },
    /// The grants of an upstream are valid until then at least.
    Lease {
        /// The upstream.
        upstream: UpstreamName,
        /// The incarnation of its server.
        incarnation: Incarnation,
        /// The earliest end of the lease.
        until: Instant,
    },
    /// Report when no request is in flight on a shard.
    AwaitIdle {
        /// The shard.
        shard: ShardIndex,
        /// Returned with [`Input::Idle`].
        ticket: Ticket,
    },
    /// A server has seen a higher epoch: the machine has stopped.
    StepDown {
        /// The higher epoch.
        by: Epoch,
    },
    /// No request is in flight and no order follows: the handover is complete and the machine has
    /// stopped.
    HandedOver,
    /// No upstream of the group holds these shards any more, and another group is to own them;
    /// repeated until the log assigns them.
    Detached {
        /// The shards.
        shards: Vec<ShardIndex>,
        /// The other group.
        to: GroupId,
    },
    /// These former upstreams hold no shards any more; repeated until the log drops them.
    Retire(Vec<UpstreamName>),
    /// A shard was granted to another upstream than the one that held it last.
    Moved {
        /// The shard.
        shard: ShardIndex,
        /// The upstream that held it before, if known.
        from: Option<UpstreamName>,
        /// The upstream that holds it now.
        to: UpstreamName,
    },
}

/// An order to a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Refuse lower epochs from now on and report all grants.
    Fence,
    /// Grant shards.
    Grant {
        /// The incarnation that the order is for.
        incarnation: Incarnation,
        /// The order's sequence number within the epoch.
        sequence: Sequence,
        /// The lease.
        lease: Duration,
        /// The latest end of the lease by the server's clock.
        until_ms: u64,
        /// The shards.
        shards: Vec<ShardIndex>,
    },
    /// Renew all grants.
    Renew {
        /// The incarnation that the order is for.
        incarnation: Incarnation,
        /// The lease.
        lease: Duration,
        /// The latest end of the lease by the server's clock.
        until_ms: u64,
    },
    /// Release shards.
    Release {
        /// The order's sequence number within the epoch.
        sequence: Sequence,
        /// The shards.
        shards: Vec<ShardIndex>,
    },
}

/// A server's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The answer to [`Order::Fence`].
    Fenced {
        /// The server's incarnation.
        incarnation: Incarnation,
        /// The server's grants; an expired one has a remaining time of zero.
        grants: Vec<Grant>,
        /// Whether the server wants no new work.
        draining: bool,
        /// The server's clock.
        clock_ms: u64,
    },
    /// The answer to any other order.
    Accepted {
        /// The server's incarnation.
        incarnation: Incarnation,
        /// Number of shards that the server holds.
        shards: u32,
        /// The digest of these shards.
        digest: u64,
        /// Whether the server wants no new work.
        draining: bool,
        /// The server's clock.
        clock_ms: u64,
    },
}

/// The reason why an order has no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The server has refused the order.
    Refused {
        /// The server's incarnation.
        incarnation: Incarnation,
        /// The highest epoch that the server has seen.
        epoch: Epoch,
    },
    /// The order did not arrive.
    Unreachable,
    /// The server did not answer; the order may have taken effect or may still arrive.
    Timeout,
}

/// Where a shard's requests go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route {
    /// To another daemon.
    Elsewhere,
    /// Nowhere, for an unknown time.
    Unowned,
    /// Nowhere, for a short time.
    Held,
    /// To an upstream.
    Owned {
        /// The upstream.
        upstream: UpstreamName,
        /// The incarnation that holds the grant.
        incarnation: Incarnation,
    },
}
