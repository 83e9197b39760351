//! What goes into a group's state machine and what comes out.

use std::{net::SocketAddr, time::Duration};

use copperwell_keyspace::{
    Epoch, GroupId, Incarnation, Sequence, ShardIndex, UpstreamName, grant::Grant,
    manifest::Upstream,
};
use tokio::time::Instant;

/// Numbers an order or a wait, so that its answer is told from older ones.
pub type Ticket = u64;

/// What a daemon starts to lead.
#[derive(Debug, Clone)]
pub struct Start {
    /// The group.
    pub id: GroupId,
    /// The epoch under which this daemon leads.
    pub epoch: Epoch,
    /// What the manifest says of the group.
    pub config: Config,
    /// Who led before.
    pub predecessor: Predecessor,
    /// The servers whose word counts.
    pub voters: Voters,
    /// Whether the log carries this daemon's appointment with this epoch as leader; a standby that
    /// takes over without the log has none.
    pub recorded: bool,
    /// A shard's share in the digest of a server's answer.
    pub digest: fn(ShardIndex) -> u64,
}

/// The servers whose word counts, by address. They check epochs.
///
/// A successor counts those that counted for its predecessor, as the log says, and not those that
/// either of them happens to know of.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Voters {
    /// Of this leader's appointment.
    pub own: Vec<SocketAddr>,
    /// Of the appointment before.
    pub former: Vec<SocketAddr>,
}

/// What manifest and log say of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
    /// Upstreams that the manifest has no more, and that may still hold grants.
    pub former: Vec<Upstream>,
    /// The shards that the group owns.
    pub shards: Vec<ShardIndex>,
    /// How long a grant lasts without renewal.
    pub lease: Duration,
    /// The longest that it ever was.
    pub lease_max: Duration,
    /// How long to go on without the log, where the service wants the leader to stop then.
    pub isolation: Option<Duration>,
}

impl Config {
    /// Whether the manifest has this upstream.
    #[must_use]
    pub fn has(&self, name: &str) -> bool {
        self.upstreams
            .iter()
            .any(|upstream| *upstream.name == *name)
    }
}

/// Who led a group before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Predecessor {
    /// Nobody: this is the group's first appointment.
    None,
    /// A daemon that may still give orders.
    Acting,
    /// A daemon that gives no more orders.
    Stopped,
}

/// An input of the state machine.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// An order was answered, or surely will not be.
    Answered {
        /// The server's upstream.
        upstream: UpstreamName,
        /// The order's ticket.
        ticket: Ticket,
        /// The answer.
        result: Result<Answer, Failure>,
    },
    /// Manifest or log have changed.
    Config(Config),
    /// Requests to an upstream failed in a way that calls its state into question.
    Suspect(UpstreamName),
    /// No request is in flight on a shard that was to become idle.
    Idle {
        /// The shard.
        shard: ShardIndex,
        /// The wait's ticket.
        ticket: Ticket,
    },
    /// The predecessor surely gives no more orders.
    Stopped,
    /// At this time nobody with a higher epoch led the group: the log was read to its end after
    /// it, and the standby has been asked after it.
    Confirmed(Instant),
    /// At this time the log, or a peer that sees the log, was asked and has answered since.
    Contact(Instant),
    /// Requests of shards since the last such input.
    Load(Vec<Load>),
    /// Another group is to own shards.
    GiveAway {
        /// The shards.
        shards: Vec<ShardIndex>,
        /// The other group.
        to: GroupId,
    },
    /// Another daemon is to lead.
    HandOver,
    /// Another daemon leads: nothing more is sent.
    Stop,
}

/// Requests of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// The shard.
    pub shard: ShardIndex,
    /// How many.
    pub requests: u32,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Give an order to an upstream's server.
    Order {
        /// The upstream.
        upstream: Upstream,
        /// Comes back with the answer.
        ticket: Ticket,
        /// The order.
        order: Order,
        /// After this time without answer the result is [`Failure::Silent`].
        timeout: Duration,
    },
    /// Set a shard's route.
    Route {
        /// The shard.
        shard: ShardIndex,
        /// The route.
        route: Route,
    },
    /// The grants of an upstream surely last until then.
    Lease {
        /// The upstream.
        upstream: UpstreamName,
        /// The run of its server.
        incarnation: Incarnation,
        /// The end.
        until: Instant,
    },
    /// Tell when no request is in flight on a shard.
    AwaitIdle {
        /// The shard.
        shard: ShardIndex,
        /// Comes back with [`Input::Idle`].
        ticket: Ticket,
    },
    /// A server has seen a higher epoch: the machine has stopped.
    StepDown {
        /// That epoch.
        by: Epoch,
    },
    /// No request is in flight and no order follows: the machine has stopped.
    HandedOver,
    /// No upstream of the group holds these shards any more, and another group is to own them;
    /// repeated until the log says so.
    LetGo {
        /// The shards.
        shards: Vec<ShardIndex>,
        /// The other group.
        to: GroupId,
    },
    /// These former upstreams hold nothing any more; repeated until the log says so.
    Retire(Vec<UpstreamName>),
    /// A shard went from one upstream to another.
    Moved {
        /// The shard.
        shard: ShardIndex,
        /// The upstream that let go of it, if this leader knows.
        from: Option<UpstreamName>,
        /// The upstream that holds it now.
        to: UpstreamName,
    },
}

/// An order to a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Only this epoch or a higher one counts.
    Fence,
    /// Grants shards.
    Give {
        /// The run that the order is for.
        incarnation: Incarnation,
        /// The order's place within the epoch.
        sequence: Sequence,
        /// The lease.
        lease: Duration,
        /// The latest end by the server's clock.
        until_ms: u64,
        /// The shards.
        shards: Vec<ShardIndex>,
    },
    /// Prolongs all grants.
    Renew {
        /// The run that the order is for.
        incarnation: Incarnation,
        /// The lease.
        lease: Duration,
        /// The latest end by the server's clock.
        until_ms: u64,
    },
    /// Takes shards back.
    Release {
        /// The order's place within the epoch.
        sequence: Sequence,
        /// The shards.
        shards: Vec<ShardIndex>,
    },
}

/// A server's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// To [`Order::Fence`].
    Fenced {
        /// The server's run.
        incarnation: Incarnation,
        /// Its grants; what has lapsed has nothing remaining.
        grants: Vec<Grant>,
        /// Whether it wants no new work.
        draining: bool,
        /// Its clock.
        clock_ms: u64,
    },
    /// To any other order.
    Held {
        /// The server's run.
        incarnation: Incarnation,
        /// How many shards it holds.
        shards: u32,
        /// Their digest.
        digest: u64,
        /// Whether it wants no new work.
        draining: bool,
        /// Its clock.
        clock_ms: u64,
    },
}

/// Why an order has no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The server has refused it.
    Refused {
        /// The server's run.
        incarnation: Incarnation,
        /// The highest epoch that it has seen.
        epoch: Epoch,
    },
    /// It did not arrive.
    Unreachable,
    /// It may have taken effect.
    Silent,
}

/// Where a shard's requests go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route {
    /// To another daemon.
    Elsewhere,
    /// Nowhere, nobody knows for how long.
    Unowned,
    /// Nowhere for a short time.
    Held,
    /// To an upstream.
    Owned {
        /// The upstream.
        upstream: UpstreamName,
        /// The run that holds the grant.
        incarnation: Incarnation,
    },
}
