//! Events that the ownership driver emits, and evidence and observations that it receives.

use copperwell_keyspace::{
    DaemonName, Epoch, GroupId, Incarnation, ServiceName, UpstreamName,
    record::{Move, Retire},
};
use tokio::time::Instant;

/// A change that the daemon may have to act on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// This daemon has become the leader of a group.
    Led {
        /// The group.
        group: GroupId,
        /// The epoch.
        epoch: Epoch,
        /// Whether the log has the appointment; if not, this daemon took over as standby and must
        /// append it.
        recorded: bool,
    },
    /// This daemon has stopped leading a group.
    SteppedDown {
        /// The group.
        group: GroupId,
        /// The epoch under which it led.
        epoch: Epoch,
        /// The higher epoch with which a server rejected its orders, if that is why it stopped.
        by: Option<Epoch>,
    },
    /// The group has released shards that another group is to own; repeated until the log records
    /// the move.
    Move(Move),
    /// Upstreams removed from the manifest hold no grant any more; repeated until the log records
    /// it.
    Retire(Retire),
}

/// Evidence that can end the wait for an earlier leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Evidence {
    /// This run of a daemon has stopped for good: its VM is gone, or a later run answers.
    Stopped {
        /// The daemon.
        daemon: DaemonName,
        /// Its run; earlier ones have stopped too.
        incarnation: Incarnation,
    },
    /// This run of a daemon has announced that it sends no more orders for the group under epochs
    /// lower than `below`: it has handed over or stepped down.
    Quit {
        /// The group.
        group: GroupId,
        /// The daemon.
        daemon: DaemonName,
        /// Its run.
        incarnation: Incarnation,
        /// The lowest epoch under which it may still act.
        below: Epoch,
    },
    /// No other daemon acts for the group under an epoch lower than this daemon's: each that might
    /// is gone or has denied it.
    NoOtherLeader(GroupId),
    /// No other daemon had replaced this one at the time `at`: after it, the log was read to its
    /// end and the standby was asked.
    Confirmed {
        /// The group.
        group: GroupId,
        /// A time before both checks.
        at: Instant,
    },
    /// The log, or a peer that can reach it, has answered a request sent at this time.
    Contact(Instant),
}

/// A failure that a request met at an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Observation {
    /// The server could not be reached or stopped answering.
    Unreachable {
        /// The service.
        service: ServiceName,
        /// The upstream.
        upstream: UpstreamName,
    },
    /// The server rejected the epoch or the shard.
    Fenced {
        /// The service.
        service: ServiceName,
        /// The upstream.
        upstream: UpstreamName,
    },
}

impl Observation {
    /// Returns the service and the upstream that the request went to.
    pub(crate) fn target(&self) -> (&ServiceName, &UpstreamName) {
        match self {
            Self::Unreachable { service, upstream } | Self::Fenced { service, upstream } => {
                (service, upstream)
            }
        }
    }
}
