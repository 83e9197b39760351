//! Control calls between daemons.
//!
//! A daemon implements [`Handler`] and runs [`serve`]; other daemons call it through a [`Client`].

use std::{net::SocketAddr, sync::Arc, time::Duration};

use copperwell_keyspace::{Epoch, GroupId, LogOffset, ManifestVersion, batch::Batch};
use copperwell_policy::quarantine::Conviction;
use serde::{Deserialize, Serialize};

pub use client::{Client, Error, RECORDS_TIMEOUT_MARGIN};
pub use copperwell_policy::suspicion::{Liveness, Rumour};
pub use handshake::{Refusal, VERSION};
pub use refusals::Refusals;
pub use server::serve;

mod client;
mod handshake;
mod refusals;
mod rpc;
mod server;

/// Default timeout of a call.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a control message.
pub const FRAME_MAX_BYTES: usize = 8 << 20;

/// Maximum bytes of records in one response, unless a single record is longer.
pub const RECORDS_MAX_BYTES: usize = 1 << 20;

/// Maximum time that a server waits for new records.
pub const RECORDS_WAIT_MAX: Duration = Duration::from_secs(5);

/// A liveness probe, which also reports the sender's own state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// The sender's description of itself.
    pub own: Rumour,
    /// The sender's position in the log.
    pub position: Position,
    /// Gossip about other members.
    pub gossip: Vec<Rumour>,
    /// Whether the response must describe all members, not only recent changes.
    pub all: bool,
}

/// The response to a [`Probe`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pong {
    /// The responder's description of itself.
    pub own: Rumour,
    /// The responder's position in the log.
    pub position: Position,
    /// Time since the responder, or a daemon that it has heard from, last had access to the log.
    pub log_age: Option<Duration>,
    /// A digest of the live members; equal on daemons that consider the same members live.
    pub digest: u64,
    /// Gossip about other members.
    pub gossip: Vec<Rumour>,
}

/// How far a daemon has read the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// The first offset that it has not read.
    pub log_next: LogOffset,
    /// The version of its manifest.
    pub manifest: ManifestVersion,
    /// Whether it currently reads the log directly.
    pub sees_log: bool,
}

/// A snapshot of the replicated state, for a daemon that lacks older records of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The first offset that is not applied to the state.
    pub next: LogOffset,
    /// The encoded state.
    pub state: Vec<u8>,
}

/// Hands leadership of a group over to its successor.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandOver {
    /// The group.
    pub group: GroupId,
    /// The epoch in which the old leader has stopped.
    pub epoch: Epoch,
    /// The old leader's encoded table of idempotency keys.
    pub window: Vec<u8>,
}

/// Asks a former leader to stop and to confirm it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relinquish {
    /// The group.
    pub group: GroupId,
    /// The epoch of the requesting leader, which fences off all lower epochs.
    pub epoch: Epoch,
}

/// Handles the control calls of other daemons.
pub trait Handler: Send + Sync + 'static {
    /// Responds to a probe.
    fn probe(&self, probe: Probe) -> impl Future<Output = Pong> + Send;

    /// Probes another daemon on behalf of the sender; `None` if it does not respond.
    fn probe_through(&self, target: SocketAddr) -> impl Future<Output = Option<Pong>> + Send;

    /// Returns records of the log from an offset on, at most [`RECORDS_MAX_BYTES`] bytes;
    /// `None` if this daemon does not have them.
    ///
    /// If there are none yet, waits for `wait`, but no longer than [`RECORDS_WAIT_MAX`].
    fn records(
        &self,
        from: LogOffset,
        wait: Duration,
    ) -> impl Future<Output = Option<Batch>> + Send;

    /// Returns a snapshot of the replicated state; `None` if no record has been read yet.
    fn snapshot(&self) -> impl Future<Output = Option<Snapshot>> + Send;

    /// Takes over leadership of a group; false if this daemon must not lead it.
    fn hand_over(&self, hand_over: HandOver) -> impl Future<Output = bool> + Send;

    /// Stops leading a group in any epoch below the given one; true once this daemon is known to
    /// have stopped.
    fn relinquish(&self, relinquish: Relinquish) -> impl Future<Output = bool> + Send;

    /// Quarantines requests that crashed servers of another leader.
    fn quarantine(&self, convictions: Vec<Conviction>) -> impl Future<Output = ()> + Send;
}

impl<T: Handler> Handler for Arc<T> {
    fn probe(&self, probe: Probe) -> impl Future<Output = Pong> + Send {
        T::probe(self, probe)
    }

    fn probe_through(&self, target: SocketAddr) -> impl Future<Output = Option<Pong>> + Send {
        T::probe_through(self, target)
    }

    fn records(
        &self,
        from: LogOffset,
        wait: Duration,
    ) -> impl Future<Output = Option<Batch>> + Send {
        T::records(self, from, wait)
    }

    fn snapshot(&self) -> impl Future<Output = Option<Snapshot>> + Send {
        T::snapshot(self)
    }

    fn hand_over(&self, hand_over: HandOver) -> impl Future<Output = bool> + Send {
        T::hand_over(self, hand_over)
    }

    fn relinquish(&self, relinquish: Relinquish) -> impl Future<Output = bool> + Send {
        T::relinquish(self, relinquish)
    }

    fn quarantine(&self, convictions: Vec<Conviction>) -> impl Future<Output = ()> + Send {
        T::quarantine(self, convictions)
    }
}
