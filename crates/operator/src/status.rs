//! What a daemon's admin endpoint answers to `GET /status` and `GET /explain`.

use copperwell_keyspace::{
    id::{
        DaemonName, DataCentreName, Epoch, GroupId, LogOffset, ManifestVersion, ServiceName,
        ShardIndex, UpstreamName,
    },
    member::Member,
};
use serde::{Deserialize, Serialize};

/// The path of [`Status`].
pub const STATUS_PATH: &str = "/status";
/// The path of [`Explanation`]; takes the query fields `service` and `key`.
pub const EXPLAIN_PATH: &str = "/explain";

/// The answer to `GET /status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The daemon that answers.
    pub daemon: Member,
    /// The version of the manifest that it has in force; zero for none.
    pub manifest: ManifestVersion,
    /// A digest of that manifest: [`copperwell_keyspace::manifest::Manifest::digest`].
    pub digest: u64,
    /// How it stands to the log.
    pub log: Log,
    /// The groups that it leads or stands by for.
    pub groups: Vec<Group>,
    /// The daemons that it knows.
    pub members: Vec<MemberStatus>,
}

/// How a daemon stands to the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Log {
    /// The first offset that it has not read.
    pub next: LogOffset,
    /// Its standing.
    pub state: LogState,
}

/// A daemon's standing to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogState {
    /// Nothing was read yet.
    Starting,
    /// It follows.
    Current,
    /// It reads neither the log nor a peer that does.
    Away,
    /// It missed records and waits for a snapshot.
    Gap,
    /// The log lost records; what it held is kept.
    Restarted,
}

/// A group at one daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// The group.
    pub group: GroupId,
    /// The epoch that the daemon acts or would act with.
    pub epoch: Epoch,
    /// What the daemon is to the group.
    pub role: Role,
    /// What the group is doing there, as a short word such as `steady` or `fencing`.
    pub phase: String,
    /// Its upstreams.
    pub upstreams: Vec<Upstream>,
    /// Shards that no upstream holds at present.
    pub unassigned: u32,
    /// The keys of the group that are asked for most, as far as the daemon leads it.
    #[serde(default)]
    pub hot_keys: Vec<HotKey>,
}

/// A key that is asked for often.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HotKey {
    /// The key.
    pub key: String,
    /// Its part of the service's requests at this leader, in thousandths.
    pub permille: u32,
}

/// What a daemon is to a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// It grants and sends.
    Leader,
    /// It takes over without the log.
    Standby,
}

/// An upstream as its leader sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Its name.
    pub name: UpstreamName,
    /// Its state, as a short word such as `up`, `draining` or `down`.
    pub state: String,
    /// Shards that it holds.
    pub shards: u32,
    /// Requests that it runs.
    pub in_flight: u32,
    /// Requests that wait for it.
    pub queue: u32,
}

/// A daemon as another one sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The daemon.
    pub member: Member,
    /// Whether its last probes were answered.
    pub reachable: bool,
}

/// The answer to `GET /explain`: where a key's requests go, and why.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The service.
    pub service: ServiceName,
    /// The key.
    pub key: String,
    /// Its shard.
    pub shard: ShardIndex,
    /// The group that owns the shard.
    pub group: Option<GroupId>,
    /// The group's appointed leader.
    pub leader: Option<DaemonName>,
    /// The data centre of that leader.
    pub data_centre: Option<DataCentreName>,
    /// The leader's epoch.
    pub epoch: Epoch,
    /// The upstream that holds the shard, where the answering daemon knows it.
    pub upstream: Option<UpstreamName>,
    /// One sentence for each step of the way.
    pub because: Vec<String>,
}
