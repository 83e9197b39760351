//! What the ownership driver tells and is told.

use copperwell_keyspace::{
    DaemonName, Epoch, GroupId, Incarnation, ServiceName, UpstreamName,
    record::{Move, Retire},
};
use tokio::time::Instant;

/// A change that the daemon may have to act on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// This daemon leads a group.
    Led {
        /// The group.
        group: GroupId,
        /// The epoch.
        epoch: Epoch,
        /// Whether the log says so; if not, this daemon was the standby and is to record it.
        recorded: bool,
    },
    /// This daemon leads a group no longer.
    SteppedDown {
        /// The group.
        group: GroupId,
        /// The epoch under which it led.
        epoch: Epoch,
        /// The higher epoch that it has met, if a server told it.
        by: Option<Epoch>,
    },
    /// The group has let go of shards, and the log is to say who owns them; repeated until it does.
    Move(Move),
    /// Upstreams that the manifest dropped hold nothing, and the log is to say so; repeated until
    /// it does.
    Retire(Retire),
}

/// What ends the wait for an earlier leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Evidence {
    /// This run of a daemon is over for good: its VM is gone, or a later run answers.
    Stopped {
        /// The daemon.
        daemon: DaemonName,
        /// Its run; earlier ones are over too.
        incarnation: Incarnation,
    },
    /// This run of a daemon has said that it gives no more orders for the group under lower epochs
    /// than this one: it has handed over or stepped down.
    Quit {
        /// The group.
        group: GroupId,
        /// The daemon.
        daemon: DaemonName,
        /// Its run.
        incarnation: Incarnation,
        /// The first epoch that it has not given up.
        below: Epoch,
    },
    /// No other daemon acts for the group now under a lower epoch than this one's: each that might
    /// is gone or says that it does not.
    Alone(GroupId),
    /// At this time nobody had replaced this daemon: the log was read to its end, and the standby
    /// was asked, both after it.
    Confirmed {
        /// The group.
        group: GroupId,
        /// The time before both.
        at: Instant,
    },
    /// The log, or a peer that sees it, was asked at this time and has answered.
    Contact(Instant),
}

/// What a request met at an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Observation {
    /// The server could not be reached or fell silent.
    Unreachable {
        /// The service.
        service: ServiceName,
        /// The upstream.
        upstream: UpstreamName,
    },
    /// The server refused the epoch or the shard.
    Fenced {
        /// The service.
        service: ServiceName,
        /// The upstream.
        upstream: UpstreamName,
    },
}

impl Observation {
    /// The service and the upstream.
    pub(crate) fn place(&self) -> (&ServiceName, &UpstreamName) {
        match self {
            Self::Unreachable { service, upstream } | Self::Fenced { service, upstream } => {
                (service, upstream)
            }
        }
    }
}
