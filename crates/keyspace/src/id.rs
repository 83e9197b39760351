//! Names, numbers and identifiers.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

/// The name of a service, unique in a manifest.
pub type ServiceName = Arc<str>;
/// The name of an upstream, unique in a manifest.
pub type UpstreamName = Arc<str>;
/// The name of a daemon, unique among all daemons.
pub type DaemonName = Arc<str>;
/// The name of a data centre, unique in a manifest.
pub type DataCentreName = Arc<str>;
/// The name of a region.
pub type RegionName = Arc<str>;
/// A shard's index within its service, in `0..shards`.
pub type ShardIndex = u32;
/// A fencing token: unique within a group, and higher than every earlier one.
pub type Epoch = u64;
/// Orders the grants that a leader makes within its epoch.
pub type Sequence = u64;
/// A record's position in a log stream.
pub type LogOffset = u64;
/// A manifest's version: one more than the version that it replaces; zero means no manifest.
pub type ManifestVersion = u64;
/// Identifies a run of a daemon or a server; a later run has a higher one.
pub type Incarnation = u64;

/// The number of epochs reserved for an appointment: the first for the leader, the second for the
/// standby.
pub const EPOCH_STRIDE: Epoch = 2;

/// Identifies a group: the upstreams of one service in one data centre, or a part of them.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GroupId {
    /// The service.
    pub service: ServiceName,
    /// The data centre.
    pub data_centre: DataCentreName,
    /// The part, for data centres with more upstreams than a group may have.
    pub part: u16,
}

impl fmt::Display for GroupId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.service, self.data_centre, self.part)
    }
}
