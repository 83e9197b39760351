//! Responses of a daemon's admin endpoint to `GET /status` and `GET /explain`.

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
/// The path of [`Explanation`], with the query fields `service` and `key`.
pub const EXPLAIN_PATH: &str = "/explain";

/// The response to `GET /status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The daemon that responds.
    pub daemon: Member,
    /// The version of the manifest in force at the daemon; zero if there is none.
    pub manifest: ManifestVersion,
    /// The digest of that manifest: [`copperwell_keyspace::manifest::Manifest::digest`].
    pub digest: u64,
    /// How far the daemon has read the log.
    pub log: Log,
    /// The groups of which the daemon is leader or standby.
    pub groups: Vec<Group>,
    /// The other daemons that it knows.
    pub members: Vec<MemberStatus>,
}

/// How far a daemon has read the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Log {
    /// The first offset that the daemon has not read.
    pub next: LogOffset,
    /// Whether the daemon follows the log, and why if it does not.
    pub state: LogState,
}

/// Whether a daemon follows the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogState {
    /// The daemon has not reached the end of the log yet.
    Starting,
    /// The daemon has read the log to its end.
    Current,
    /// The daemon reaches neither the log nor a peer that reads it.
    Away,
    /// The daemon missed records and waits for a snapshot.
    Gap,
    /// The log lost records, which the daemon's state still includes.
    Restarted,
}

/// A group at a daemon that is its leader or standby.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// The id of the group.
    pub group: GroupId,
    /// The epoch of the leader, or the one that the standby would lead with.
    pub epoch: Epoch,
    /// The daemon's role in the group.
    pub role: Role,
    /// The phase of the group at the daemon, such as `steady` or `taking-over`.
    pub phase: String,
    /// The upstreams of the group.
    pub upstreams: Vec<Upstream>,
    /// The number of shards that no upstream holds.
    pub unassigned: u32,
    /// The keys of the group with the most requests; empty unless the daemon leads the group.
    #[serde(default)]
    pub hot_keys: Vec<HotKey>,
}

/// A key with a large share of the requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HotKey {
    /// The key.
    pub key: String,
    /// The key's share of the service's requests at this leader, in thousandths.
    pub permille: u32,
}

/// The role of a daemon in a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Grants shards to upstreams and sends them requests.
    Leader,
    /// Takes over from the leader without the log.
    Standby,
}

/// An upstream as the leader of its group sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// The name of the upstream.
    pub name: UpstreamName,
    /// The state of the upstream, such as `up`, `draining` or `down`.
    pub state: String,
    /// The number of shards that the upstream holds.
    pub shards: u32,
    /// The number of requests in flight at the upstream.
    pub in_flight: u32,
    /// The number of requests that wait for the upstream.
    pub queue: u32,
}

/// A daemon as another daemon sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The daemon.
    pub member: Member,
    /// Whether the other daemon considers it live, by its health checks.
    pub reachable: bool,
}

/// The response to `GET /explain`: where the requests for a key go, and why.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The service.
    pub service: ServiceName,
    /// The key.
    pub key: String,
    /// The shard of the key.
    pub shard: ShardIndex,
    /// The group that owns the shard.
    pub group: Option<GroupId>,
    /// The group's appointed leader.
    pub leader: Option<DaemonName>,
    /// The data centre of that leader.
    pub data_centre: Option<DataCentreName>,
    /// The leader's epoch.
    pub epoch: Epoch,
    /// The upstream that holds the shard, if the responding daemon knows it.
    pub upstream: Option<UpstreamName>,
    /// One sentence for each step of the routing.
    pub because: Vec<String>,
}
