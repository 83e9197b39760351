//! Daemons as members.

use std::net::SocketAddr;

use crate::id::{DaemonName, DataCentreName, Incarnation};
use serde::{Deserialize, Serialize};

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
