//! The state that all daemons agree on: manifests, groups, epochs and the log records that carry
//! them.

pub use copperwell_message::{HashMap, HashSet};
pub use id::{
    DaemonName, DataCentreName, EPOCH_STRIDE, Epoch, GroupId, Incarnation, LogOffset,
    ManifestVersion, RegionName, Sequence, ServiceName, ShardIndex, UpstreamName,
};
pub use member::Member;
pub use runs::Runs;

pub mod balance;
pub mod batch;
pub mod check;
pub mod checkpoint;
pub mod difference;
pub mod grant;
pub mod id;
pub mod manifest;
pub mod member;
mod merge;
pub mod reader;
mod recent;
pub mod record;
pub mod replay;
mod runs;
pub mod shard;
