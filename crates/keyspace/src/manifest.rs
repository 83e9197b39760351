//! The manifest: services, upstreams and limits, as operators declare them.

use std::{collections::BTreeMap, fmt, net::SocketAddr, time::Duration};

use crate::{
    id::{DataCentreName, GroupId, ManifestVersion, RegionName, ServiceName, UpstreamName},
    runs::Runs,
};
use copperwell_message::Class;
use error_stack::Report;
use garde::Validate;
use serde::{Deserialize, Serialize};

/// The most upstreams that one group takes; a data centre with more needs several parts.
pub const GROUP_UPSTREAMS_MAX: usize = 24;
/// The most shards of all services together.
pub const SHARDS_TOTAL_MAX: u32 = 1 << 19;
/// The most shards that a state keeps, those of removed services included.
pub const SHARDS_KEPT_MAX: u32 = 2 * SHARDS_TOTAL_MAX;
/// The largest manifest before it is compressed, in bytes; leaves room in a record for the rest
/// of a state.
pub const MANIFEST_SIZE_MAX: u64 = 3 << 20;
/// The largest manifest as YAML, in bytes.
pub const YAML_SIZE_MAX: usize = 8 << 20;
/// The shortest lease.
pub const LEASE_MIN: Duration = Duration::from_millis(200);
/// The longest lease.
pub const LEASE_MAX: Duration = Duration::from_secs(10);

/// The group of each shard of a service.
pub type Owners = Runs<GroupId>;

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

impl Service {
    /// The service without its upstreams.
    #[must_use]
    pub fn settings(&self) -> Self {
        Self {
            name: self.name.clone(),
            limits: self.limits.clone(),
            upstreams: Vec::new(),
            ..*self
        }
    }
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
    /// Which group of the service in the data centre it belongs to, where one group is not enough.
    #[serde(default)]
    pub part: u16,
}

impl Upstream {
    /// The group that it belongs to as an upstream of `service`.
    #[must_use]
    pub fn group(&self, service: &ServiceName) -> GroupId {
        GroupId {
            service: service.clone(),
            data_centre: self.data_centre.clone(),
            part: self.part,
        }
    }
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

/// Text that is not a manifest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unreadable;

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a manifest in YAML")
    }
}

impl std::error::Error for Unreadable {}

impl Manifest {
    /// Reads a manifest from YAML; [`Manifest::check`] tells whether it makes sense.
    ///
    /// # Errors
    ///
    /// [`Unreadable`] with field, line and column.
    pub fn from_yaml(text: &str) -> Result<Self, Report<Unreadable>> {
        if text.len() > YAML_SIZE_MAX {
            let text = format!("{} bytes, at most {YAML_SIZE_MAX} are read", text.len());
            return Err(Report::new(Unreadable).attach(text));
        }
        serde_norway::from_str(text)
            .map_err(|error| Report::new(Unreadable).attach(error.to_string()))
    }

    /// This manifest's own version.
    #[must_use]
    pub fn version(&self) -> ManifestVersion {
        self.replaces.saturating_add(1)
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
            let mut parts: BTreeMap<u16, Vec<Upstream>> = BTreeMap::new();
            for upstream in &service.upstreams {
                if upstream.data_centre == data_centre.name {
                    parts
                        .entry(upstream.part)
                        .or_default()
                        .push(upstream.clone());
                }
            }
            for (part, upstreams) in parts {
                let id = GroupId {
                    service: service.name.clone(),
                    data_centre: data_centre.name.clone(),
                    part,
                };
                groups.push(Group { id, upstreams });
            }
        }
        groups
    }

    /// The group of each shard of a service that is new: ranges in proportion to slots.
    #[must_use]
    pub fn initial_owners(&self, service: &Service) -> Owners {
        let groups = self.groups(service);
        let slots: u64 = groups.iter().map(Group::open_slots).sum();
        let mut owners = Owners::default();
        let mut before = 0;
        for group in groups {
            before += group.open_slots();
            let end = u64::from(service.shards) * before / slots.max(1);
            owners.extend_to(u32::try_from(end).unwrap_or(u32::MAX), group.id);
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

    /// Requests that those of them run at a time that do not drain.
    #[must_use]
    pub fn open_slots(&self) -> u64 {
        self.upstreams
            .iter()
            .filter(|upstream| !upstream.drain)
            .map(|upstream| u64::from(upstream.slots))
            .sum()
    }
}

/// The default of [`Service::lease`].
fn default_lease() -> Duration {
    Duration::from_millis(1500)
}
