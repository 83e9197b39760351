//! Daemons as members of the fleet.

use std::{fmt, net::SocketAddr};

use crate::id::{DaemonName, DataCentreName, Incarnation};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A run of a daemon and its addresses.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The daemon's name.
    pub name: DaemonName,
    /// Identifies this run of the daemon.
    pub incarnation: Incarnation,
    /// The data centre in which it runs.
    pub data_centre: DataCentreName,
    /// The address for control calls from other daemons.
    pub control: SocketAddr,
    /// The address for request streams from other daemons.
    pub requests: SocketAddr,
    /// The address of its metrics and status page.
    pub admin: SocketAddr,
}

impl Member {
    /// Whether two members are the same run of the same daemon.
    #[must_use]
    pub fn is_same_run(&self, other: &Self) -> bool {
        self.name == other.name && self.incarnation == other.incarnation
    }

    /// Returns the rendezvous hash of this run for a role, which goes to the highest hash.
    #[must_use]
    pub fn rendezvous(&self, role: impl fmt::Display) -> u64 {
        let text = format!("{role}/{}", self.name);
        xxh3_64_with_seed(text.as_bytes(), self.incarnation)
    }
}
