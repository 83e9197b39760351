//! The manifest: services, upstreams and limits, as operators declare them.

use std::{net::SocketAddr, time::Duration};

use crate::id::{
    DataCentreName, GroupId, ManifestVersion, RegionName, ServiceName, ShardIndex, UpstreamName,
};
use copperwell_message::Class;
use garde::Validate;
use serde::{Deserialize, Serialize};

/// The most upstreams that one group takes; a data centre with more gets several groups.
pub const GROUP_UPSTREAMS_MAX: usize = 24;

/// A manifest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Manifest {
    /// The version that this manifest replaces; zero for the first.
    pub replaces: ManifestVersion,
    /// The data centres.
    #[garde(length(min = 1), dive)]
    pub data_centres: Vec<DataCentre>,
    /// The services.
    #[garde(length(min = 1), dive)]
    pub services: Vec<Service>,
}

/// A data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct DataCentre {
    /// Its name.
    pub name: DataCentreName,
    /// The region that it is in.
    pub region: RegionName,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Service {
    /// Its name: letters, digits, `-`, `_` and `.`.
    pub name: ServiceName,
    /// The class of its requests.
    pub class: Class,
    /// The number of shards; fixed for the life of the service.
    #[garde(range(min = 1, max = 65536))]
    pub shards: u32,
    /// What a leader does that sees neither the log nor a peer that sees it.
    #[serde(default)]
    pub on_isolation: OnIsolation,
    /// How long a grant lasts without renewal.
    #[serde(default = "default_lease", with = "humantime_serde")]
    pub lease: Duration,
    /// Limits on its requests.
    #[serde(default)]
    #[garde(dive)]
    pub limits: Limits,
    /// Its upstreams.
    #[garde(length(min = 1), dive)]
    pub upstreams: Vec<Upstream>,
}

/// What a leader does that sees neither the log nor a peer that sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OnIsolation {
    /// Goes on renewing grants.
    #[default]
    Keep,
    /// Stops renewing grants after [`Limits::isolation`].
    Release,
}

/// Limits on the requests of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
#[garde(allow_unvalidated)]
pub struct Limits {
    /// Requests under way at one ingress daemon.
    #[garde(range(min = 1, max = 1_000_000))]
    pub in_flight: u32,
    /// Requests waiting for one upstream at the leader.
    #[garde(range(min = 1, max = 100_000))]
    pub queue: u32,
    /// The deadline of a request that names none, and the longest that one may name.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// The largest request body, in bytes.
    #[garde(range(max = 1 << 30))]
    pub body: u64,
    /// Retries allowed, in percent of first tries.
    #[garde(range(max = 100))]
    pub retry_percent: u8,
    /// How long the outcome of a request that is not repeatable is kept.
    #[serde(with = "humantime_serde")]
    pub window: Duration,
    /// How long a request that crashed two servers is refused.
    #[serde(with = "humantime_serde")]
    pub quarantine: Duration,
    /// How long a leader of a `release` service goes on alone.
    #[serde(with = "humantime_serde")]
    pub isolation: Duration,
    /// How long a connection to a server may make no progress.
    #[serde(with = "humantime_serde")]
    pub silence: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            in_flight: 1024,
            queue: 64,
            deadline: Duration::from_secs(5),
            body: 1 << 20,
            retry_percent: 10,
            window: Duration::from_mins(10),
            quarantine: Duration::from_mins(5),
            isolation: Duration::from_secs(30),
            silence: Duration::from_secs(2),
        }
    }
}

/// An upstream: one backend server of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Upstream {
    /// Its name, unique in the manifest.
    pub name: UpstreamName,
    /// The data centre that it runs in.
    pub data_centre: DataCentreName,
    /// Its address.
    pub address: SocketAddr,
    /// Requests that it runs at a time.
    #[garde(range(min = 1, max = 4096))]
    pub slots: u32,
    /// Connections that it accepts.
    #[garde(range(min = 1, max = 65535))]
    pub connections: u32,
    /// Whether it checks the epoch of those who give it orders.
    #[serde(default)]
    pub fencing: Fencing,
    /// Whether it is to get no new work.
    #[serde(default)]
    pub drain: bool,
}

/// Whether a server checks the epoch of those who give it orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// It refuses an epoch below the highest that it has seen.
    #[default]
    Checked,
    /// It takes orders from anybody.
    Unchecked,
}

impl Manifest {
    /// This manifest's own version.
    #[must_use]
    pub fn version(&self) -> ManifestVersion {
        self.replaces + 1
    }

    /// A digest of the whole manifest, to compare what two daemons hold.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let bytes = bincode::serialize(self).unwrap_or_default();
        xxhash_rust::xxh3::xxh3_64(&bytes)
    }

    /// The service of this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| &*service.name == name)
    }

    /// The groups of a service, in the order of data centres, with their upstreams.
    #[must_use]
    pub fn groups(&self, service: &Service) -> Vec<Group> {
        let mut groups = Vec::new();
        for data_centre in &self.data_centres {
            let here: Vec<Upstream> = service
                .upstreams
                .iter()
                .filter(|upstream| upstream.data_centre == data_centre.name)
                .cloned()
                .collect();
            for (part, upstreams) in here.chunks(GROUP_UPSTREAMS_MAX).enumerate() {
                let id = GroupId {
                    service: service.name.clone(),
                    data_centre: data_centre.name.clone(),
                    part: u16::try_from(part).unwrap_or(u16::MAX),
                };
                groups.push(Group {
                    id,
                    upstreams: upstreams.to_vec(),
                });
            }
        }
        groups
    }

    /// The group of each shard of a service that is new: ranges in proportion to slots.
    #[must_use]
    pub fn initial_owners(&self, service: &Service) -> Vec<GroupId> {
        let groups = self.groups(service);
        let slots: u64 = groups.iter().map(Group::slots).sum();
        let mut owners = Vec::with_capacity(service.shards as usize);
        let mut before = 0;
        for group in groups {
            before += group.slots();
            let end = u64::from(service.shards) * before / slots.max(1);
            owners.resize(usize::try_from(end).unwrap_or(usize::MAX), group.id);
        }
        owners
    }
}

/// The upstreams that one leader grants to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// Its identity.
    pub id: GroupId,
    /// Its upstreams.
    pub upstreams: Vec<Upstream>,
}

impl Group {
    /// Requests that the group's upstreams run at a time.
    #[must_use]
    pub fn slots(&self) -> u64 {
        self.upstreams
            .iter()
            .map(|upstream| u64::from(upstream.slots))
            .sum()
    }
}

/// The default of [`Service::lease`].
fn default_lease() -> Duration {
    Duration::from_millis(1500)
}

/// The shards of one group, ascending.
#[must_use]
pub fn shards_of(owners: &[GroupId], group: &GroupId) -> Vec<ShardIndex> {
    let indexed = owners.iter().zip(0..);
    indexed
        .filter(|(owner, _)| *owner == group)
        .map(|(_, shard)| shard)
        .collect()
}
