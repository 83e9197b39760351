//! What is known and said of members.

use std::net::SocketAddr;

use copperwell_keyspace::{DaemonName, DataCentreName, Incarnation, Member};
use serde::{Deserialize, Serialize};

/// Whether a daemon is thought alive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Liveness {
    /// It answers.
    Live,
    /// It did not answer lately, or somebody says so.
    Suspect,
    /// It has not answered for long enough to be taken for lost.
    Lost,
    /// It does not answer, and the platform no longer has its VM.
    Gone,
}

/// What one daemon says of another, or of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumour {
    /// Whom it is about.
    pub member: Member,
    /// How often that member has refuted its loss in this run.
    pub refutation: u32,
    /// Whether it wants to leave.
    pub leaving: bool,
    /// What is said.
    pub liveness: Liveness,
}

/// What is known of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The member.
    pub member: Member,
    /// Whether it is thought alive.
    pub liveness: Liveness,
    /// Whether it, or the platform's list, says that it is leaving.
    pub leaving: bool,
}

/// A VM, as the platform's list has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vm {
    /// The daemon that runs on it.
    pub name: DaemonName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Where the daemon takes control calls.
    pub control: SocketAddr,
    /// Whether the list says that it is leaving.
    pub leaving: bool,
}

/// Whom to probe.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Target {
    /// Where it takes control calls.
    pub control: SocketAddr,
    /// The run that is probed; `None` for an address from settings or the platform's list.
    pub subject: Option<Subject>,
}

/// One run of a member.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Subject {
    /// Its name.
    pub name: DaemonName,
    /// The run.
    pub incarnation: Incarnation,
}

/// A change in who is alive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A member is taken for lost.
    Lost(Member),
    /// A new run of a member took the place of an old one.
    Replaced {
        /// The old run.
        old: Member,
        /// The new run.
        new: Member,
    },
    /// A member that was taken for lost answers again, or a new one appeared.
    Back(Member),
    /// A member does not answer, and the platform no longer has its VM.
    Gone(Member),
}
