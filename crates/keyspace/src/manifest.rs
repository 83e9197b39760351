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

/// The most upstreams in a group; a data centre with more needs several parts.
pub const GROUP_UPSTREAMS_MAX: usize = 24;
/// The most shards of all services together.
pub const SHARDS_TOTAL_MAX: u32 = 1 << 19;
/// The most shards in a state, removed services included.
pub const SHARDS_KEPT_MAX: u32 = 2 * SHARDS_TOTAL_MAX;
/// The largest manifest before compression, in bytes; leaves room in a record for the rest of a
/// state.
pub const MANIFEST_SIZE_MAX: u64 = 3 << 20;
/// The largest manifest as YAML, in bytes.
pub const YAML_SIZE_MAX: usize = 8 << 20;
/// The shortest lease.
pub const LEASE_MIN: Duration = Duration::from_millis(200);
/// The longest lease.
pub const LEASE_MAX: Duration = Duration::from_secs(10);

/// The owning group of each shard of a service.
pub type Owners = Runs<GroupId>;

/// The declared services, with their upstreams and limits.
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

/// A data centre and its region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct DataCentre {
    /// Its name.
    pub name: DataCentreName,
    /// The region that it is in.
    pub region: RegionName,
}

/// A service, its limits and its upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Service {
    /// Its name: letters, digits, `-`, `_` and `.`.
    pub name: ServiceName,
    /// The urgency of its requests.
    pub class: Class,
    /// The number of shards; it cannot be changed.
    #[garde(range(min = 1, max = 65536))]
    pub shards: u32,
    /// What a leader does if it can reach neither the log nor a peer that can reach it.
    #[serde(default)]
    pub on_isolation: OnIsolation,
    /// The time for which a grant is valid without renewal.
    #[serde(default = "default_lease", with = "humantime_serde")]
    pub lease: Duration,
    /// The limits of its requests and leaders.
    #[serde(default)]
    #[garde(dive)]
    pub limits: Limits,
    /// Its upstreams.
    #[garde(length(min = 1), dive)]
    pub upstreams: Vec<Upstream>,
}

impl Service {
    /// Returns a copy of the service without its upstreams.
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

/// What a leader does if it can reach neither the log nor a peer that can reach it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OnIsolation {
    /// It keeps renewing grants.
    #[default]
    Keep,
    /// It stops renewing grants after [`Limits::isolation`].
    Release,
}

/// Limits of the requests of a service, and of the leaders of its groups.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
#[garde(allow_unvalidated)]
pub struct Limits {
    /// The most requests in flight at one ingress daemon.
    #[garde(range(min = 1, max = 1_000_000))]
    pub in_flight: u32,
    /// The most requests queued for one upstream at the leader.
    #[garde(range(min = 1, max = 100_000))]
    pub queue: u32,
    /// The default and the longest deadline of a request.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// The largest request body, in bytes.
    #[garde(range(max = 1 << 30))]
    pub body: u64,
    /// The most retries, in percent of first attempts.
    #[garde(range(max = 100))]
    pub retry_percent: u8,
    /// How long the outcome of a non-repeatable request is kept.
    #[serde(with = "humantime_serde")]
    pub window: Duration,
    /// How long a request that crashed two servers is rejected.
    #[serde(with = "humantime_serde")]
    pub quarantine: Duration,
    /// How long an isolated leader of a `release` service keeps renewing grants.
    #[serde(with = "humantime_serde")]
    pub isolation: Duration,
    /// How long a connection to a server may be without progress.
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
    /// The address at which it accepts connections.
    pub address: SocketAddr,
    /// The number of requests that it runs at the same time.
    #[garde(range(min = 1, max = 4096))]
    pub slots: u32,
    /// The number of connections that it accepts.
    #[garde(range(min = 1, max = 65535))]
    pub connections: u32,
    /// Whether it checks the epochs of orders.
    #[serde(default)]
    pub fencing: Fencing,
    /// Whether it drains: it gets no new work.
    #[serde(default)]
    pub drain: bool,
    /// The part of the data centre that it belongs to, if the data centre has several groups.
    #[serde(default)]
    pub part: u16,
}

impl Upstream {
    /// Returns its group as an upstream of `service`.
    #[must_use]
    pub fn group(&self, service: &ServiceName) -> GroupId {
        GroupId {
            service: service.clone(),
            data_centre: self.data_centre.clone(),
            part: self.part,
        }
    }
}

/// Whether a server checks the epochs of orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// It rejects epochs lower than the highest that it has seen.
    #[default]
    Checked,
    /// It accepts any epoch.
    Unchecked,
}

/// The error for text that is not a manifest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unreadable;

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a manifest in YAML")
    }
}

impl std::error::Error for Unreadable {}

impl Manifest {
    /// Parses a manifest from YAML, without validation; see [`Manifest::check`].
    ///
    /// # Errors
    ///
    /// [`Unreadable`], with field, line and column where they are known.
    pub fn from_yaml(text: &str) -> Result<Self, Report<Unreadable>> {
        if text.len() > YAML_SIZE_MAX {
            let text = format!(
                "{} bytes, but at most {YAML_SIZE_MAX} are allowed",
                text.len()
            );
            return Err(Report::new(Unreadable).attach(text));
        }
        serde_norway::from_str(text)
            .map_err(|error| Report::new(Unreadable).attach(error.to_string()))
    }

    /// Returns the version of this manifest.
    #[must_use]
    pub fn version(&self) -> ManifestVersion {
        self.replaces.saturating_add(1)
    }

    /// Returns a digest of the whole manifest, to compare the manifests of two daemons.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let bytes = bincode::serialize(self).unwrap_or_default();
        xxhash_rust::xxh3::xxh3_64(&bytes)
    }

    /// Returns the service with a name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| &*service.name == name)
    }

    /// Returns the groups of a service with their upstreams, by data centre and part.
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

    /// Returns the initial owners of a new service's shards: ranges in proportion to open slots.
    #[must_use]
    pub fn initial_owners(&self, service: &Service) -> Owners {
        let groups = self.groups(service);
        let slots: u64 = groups.iter().map(Group::open_slots).sum();
        let mut owners = Owners::default();
        let mut slots_so_far = 0;
        for group in groups {
            slots_so_far += group.open_slots();
            let end = u64::from(service.shards) * slots_so_far / slots.max(1);
            owners.extend_to(u32::try_from(end).unwrap_or(u32::MAX), group.id);
        }
        owners
    }
}

/// A group: the upstreams that one leader grants shards to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// Its identity.
    pub id: GroupId,
    /// Its upstreams.
    pub upstreams: Vec<Upstream>,
}

impl Group {
    /// Returns the number of requests that the group's upstreams run at the same time.
    #[must_use]
    pub fn slots(&self) -> u64 {
        self.upstreams
            .iter()
            .map(|upstream| u64::from(upstream.slots))
            .sum()
    }

    /// Returns the number of slots of the upstreams that do not drain.
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
