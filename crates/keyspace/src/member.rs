//! Daemons as members.

use std::{fmt, net::SocketAddr};

use crate::id::{DaemonName, DataCentreName, Incarnation};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A daemon and where to reach it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The daemon's name.
    pub name: DaemonName,
    /// This run of the daemon.
    pub incarnation: Incarnation,
    /// The data centre it runs in.
    pub data_centre: DataCentreName,
    /// Where it takes control calls from other daemons.
    pub control: SocketAddr,
    /// Where it takes request streams from other daemons.
    pub requests: SocketAddr,
    /// Where it serves metrics and status.
    pub admin: SocketAddr,
}

impl Member {
    /// Whether two members are the same run of the same daemon.
    #[must_use]
    pub fn is_same_run(&self, other: &Self) -> bool {
        self.name == other.name && self.incarnation == other.incarnation
    }

    /// The rendezvous hash of this run for a role: whoever has the highest takes it.
    #[must_use]
    pub fn rendezvous(&self, role: impl fmt::Display) -> u64 {
        let text = format!("{role}/{}", self.name);
        xxh3_64_with_seed(text.as_bytes(), self.incarnation)
    }
}
