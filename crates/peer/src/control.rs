//! Control calls between daemons.
//!
//! A daemon implements [`Handler`] and runs [`serve`]; others call it through a [`Client`].

use std::{net::SocketAddr, sync::Arc, time::Duration};

use copperwell_keyspace::{Epoch, GroupId, LogOffset, ManifestVersion, batch::Batch};
use copperwell_policy::quarantine::Share;
use serde::{Deserialize, Serialize};

pub use client::{Client, Error, RECORDS_SLACK};
pub use copperwell_policy::suspicion::{Liveness, Rumour};
pub use handshake::{Refusal, VERSION};
pub use refusals::Refusals;
pub use server::serve;

mod client;
mod handshake;
mod refusals;
mod rpc;
mod server;

/// How long a call may take if its caller names no other time.
pub const TIMEOUT: Duration = Duration::from_secs(2);

/// The largest message of a control call, in bytes.
pub const FRAME_MAX: usize = 8 << 20;

/// Bytes of records in one answer, unless a single record is longer.
pub const RECORDS_MAX: usize = 1 << 20;

/// The longest wait for records.
pub const RECORDS_WAIT_MAX: Duration = Duration::from_secs(5);

/// Asks a daemon whether it is alive, and says the same of the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// What the sender says of itself.
    pub own: Rumour,
    /// What the sender knows of the log.
    pub position: Position,
    /// What the sender has heard of others.
    pub gossip: Vec<Rumour>,
    /// Whether the answer is to tell of all members, not only the news.
    pub all: bool,
}

/// The answer to a [`Probe`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pong {
    /// What the answering daemon says of itself.
    pub own: Rumour,
    /// What it knows of the log.
    pub position: Position,
    /// Time since it, or anybody that it heard, saw the log.
    pub log_age: Option<Duration>,
    /// Equal to the sender's if both think the same members alive.
    pub digest: u64,
    /// What it has heard of others.
    pub gossip: Vec<Rumour>,
}

/// How far a daemon has read the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// The first offset that it has not read.
    pub log_next: LogOffset,
    /// The manifest that it holds.
    pub manifest: ManifestVersion,
    /// Whether it reads the log itself at the moment.
    pub sees_log: bool,
}

/// The agreed state, for a daemon that misses older records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The first offset that the state does not include.
    pub next: LogOffset,
    /// The encoded state.
    pub state: Vec<u8>,
}

/// Hands a group over to its next leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandOver {
    /// The group.
    pub group: GroupId,
    /// The epoch under which the old leader has stopped.
    pub epoch: Epoch,
    /// The encoded table of idempotency keys.
    pub window: Vec<u8>,
}

/// Asks an old leader to confirm that it has stopped.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relinquish {
    /// The group.
    pub group: GroupId,
    /// The asking leader's epoch; every lower one is over.
    pub epoch: Epoch,
}

/// What a daemon does with control calls.
pub trait Handler: Send + Sync + 'static {
    /// Answers a probe.
    fn probe(&self, probe: Probe) -> impl Future<Output = Pong> + Send;

    /// Probes another daemon; `None` if it does not answer.
    fn probe_through(&self, target: SocketAddr) -> impl Future<Output = Option<Pong>> + Send;

    /// Records from an offset on, at most [`RECORDS_MAX`] bytes; `None` if they are not held.
    ///
    /// Waits up to `wait`, and no longer than [`RECORDS_WAIT_MAX`], if there are none yet.
    fn records(
        &self,
        from: LogOffset,
        wait: Duration,
    ) -> impl Future<Output = Option<Batch>> + Send;

    /// The agreed state; `None` if nothing has been read yet.
    fn snapshot(&self) -> impl Future<Output = Option<Snapshot>> + Send;

    /// Takes a group over; false if this daemon is not to lead it.
    fn hand_over(&self, hand_over: HandOver) -> impl Future<Output = bool> + Send;

    /// Stops leading a group below an epoch; true once this daemon has surely stopped.
    fn relinquish(&self, relinquish: Relinquish) -> impl Future<Output = bool> + Send;

    /// Refuses requests that another leader found to crash servers.
    fn quarantine(&self, shares: Vec<Share>) -> impl Future<Output = ()> + Send;
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

    fn quarantine(&self, shares: Vec<Share>) -> impl Future<Output = ()> + Send {
        T::quarantine(self, shares)
    }
}
