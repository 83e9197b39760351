//! The types that describe members.

use std::net::SocketAddr;

use copperwell_keyspace::{DaemonName, DataCentreName, Incarnation, Member};
use serde::{Deserialize, Serialize};

/// The liveness of a daemon, as the failure detector estimates it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Liveness {
    /// It answers probes.
    Live,
    /// A recent probe failed, or a rumour says that it may be lost.
    Suspect,
    /// It has not answered for long enough to be considered lost.
    Lost,
    /// It does not answer, and its VM is no longer in the platform's list.
    Gone,
}

/// A statement of one daemon about another, or about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumour {
    /// The subject.
    pub member: Member,
    /// How many times the member has refuted rumours about its loss in this incarnation.
    pub refutation: u32,
    /// Whether the member is leaving.
    pub leaving: bool,
    /// Whether the member is alive, according to the sender.
    pub liveness: Liveness,
}

/// The state of a member, as this daemon sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The member.
    pub member: Member,
    /// Its estimated liveness.
    pub liveness: Liveness,
    /// Whether it, or the platform's list, says that it is leaving.
    pub leaving: bool,
}

/// An entry of the platform's list of VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vm {
    /// The daemon that runs on it.
    pub name: DaemonName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// The address for control calls.
    pub control: SocketAddr,
    /// Whether the list says that it is leaving.
    pub leaving: bool,
}

/// A member or address to probe.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Target {
    /// The address for control calls.
    pub control: SocketAddr,
    /// The incarnation that is probed; `None` for an address from settings or the platform's list.
    pub subject: Option<Subject>,
}

/// One incarnation of a member.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Subject {
    /// The name of the member.
    pub name: DaemonName,
    /// The incarnation.
    pub incarnation: Incarnation,
}

/// A change in the liveness of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A member is considered lost.
    Lost(Member),
    /// A new incarnation of a member replaced an old one.
    Replaced {
        /// The old incarnation.
        old: Member,
        /// The new incarnation.
        new: Member,
    },
    /// A lost member answers again, or a new member appeared.
    Joined(Member),
    /// A member does not answer, and its VM is no longer in the platform's list.
    Gone(Member),
}
