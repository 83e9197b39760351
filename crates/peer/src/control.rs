//! Control calls between daemons.
//!
//! A daemon implements [`Handler`] and runs [`serve`]; others call it through a [`Client`].

use std::{net::SocketAddr, sync::Arc, time::Duration};

use copperwell_keyspace::{Epoch, GroupId, LogOffset, ManifestVersion, Member};
use serde::{Deserialize, Serialize};

pub use client::{Client, Error};
pub use server::serve;

mod client;
mod rpc;
mod server;

/// How long a call may take if its caller names no other time.
pub const TIMEOUT: Duration = Duration::from_secs(2);

/// The largest message of a control call, in bytes.
pub const FRAME_MAX: usize = 8 << 20;

/// Bytes of records in one [`Records`], unless a single record is longer.
pub const RECORDS_MAX: usize = 1 << 20;

/// Members that one [`Pong`] tells of.
pub const GOSSIP_MAX: usize = 8;

/// Asks a daemon whether it is alive, and says the same of the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// The sender.
    pub from: Member,
    /// What the sender knows of the log.
    pub position: Position,
    /// What the sender has heard of other members.
    pub gossip: Vec<Rumour>,
}

/// The answer to a [`Probe`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pong {
    /// The answering daemon.
    pub member: Member,
    /// What it knows of the log.
    pub position: Position,
    /// What it has heard of other members; at most [`GOSSIP_MAX`].
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

/// What one daemon has heard of another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumour {
    /// Whom it is about.
    pub member: Member,
    /// What was heard.
    pub liveness: Liveness,
}

/// Whether a daemon is thought alive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Liveness {
    /// It answers.
    Live,
    /// It did not answer lately.
    Suspect,
    /// It has not answered for long enough to be taken for lost.
    Lost,
    /// It left, or another run took its place.
    Gone,
}

/// A piece of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Records {
    /// The offset of the first record.
    pub first: LogOffset,
    /// The first offset that the answering daemon has not read.
    pub next: LogOffset,
    /// Encoded records at `first..`; empty if they are no longer kept, so a snapshot is needed.
    pub records: Vec<Vec<u8>>,
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

    /// Records from an offset on, at most [`RECORDS_MAX`] bytes.
    fn records(&self, from: LogOffset) -> impl Future<Output = Records> + Send;

    /// The agreed state; `None` if nothing has been read yet.
    fn snapshot(&self) -> impl Future<Output = Option<Snapshot>> + Send;

    /// Takes a group over; false if this daemon is not to lead it.
    fn hand_over(&self, hand_over: HandOver) -> impl Future<Output = bool> + Send;

    /// Stops leading a group below an epoch; true once this daemon has surely stopped.
    fn relinquish(&self, relinquish: Relinquish) -> impl Future<Output = bool> + Send;
}

impl<T: Handler> Handler for Arc<T> {
    fn probe(&self, probe: Probe) -> impl Future<Output = Pong> + Send {
        T::probe(self, probe)
    }

    fn probe_through(&self, target: SocketAddr) -> impl Future<Output = Option<Pong>> + Send {
        T::probe_through(self, target)
    }

    fn records(&self, from: LogOffset) -> impl Future<Output = Records> + Send {
        T::records(self, from)
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
}
