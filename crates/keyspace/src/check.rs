//! Validation of a manifest, by itself and as the successor of the one in force.

use std::{collections::BTreeMap, fmt, hash::Hash, time::Duration};

use crate::{
    HashMap, HashSet,
    id::{GroupId, UpstreamName},
    manifest::{
        GROUP_UPSTREAMS_MAX, LEASE_MAX, LEASE_MIN, MANIFEST_SIZE_MAX, Manifest, OnIsolation,
        SHARDS_KEPT_MAX, SHARDS_TOTAL_MAX, Service, Upstream,
    },
    replay::State,
};
use error_stack::Report;
use garde::Validate;
use serde_json::Value;

/// The longest name, in bytes.
const NAME_MAX: usize = 64;
/// The longest time that a limit of a service may have.
const PERIOD_MAX: Duration = Duration::from_hours(24);
/// The most faults listed.
const FAULTS_MAX: usize = 50;
/// The most service names in one log, removed services included.
pub const SERVICES_MAX: usize = 256;
/// The most removed upstreams of a group that may still hold grants.
pub const FORMER_MAX: usize = 64;

/// The error for an invalid manifest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Invalid {
    /// The faults, in the order of the checks.
    pub faults: Vec<Fault>,
}

/// A fault in a manifest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The path of the field, such as `services[0].upstreams[1].address`.
    pub field: String,
    /// Its value.
    pub value: String,
    /// How to fix it.
    pub remedy: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: `{}`: {}", self.field, self.value, self.remedy)
    }
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the manifest is not valid")?;
        for fault in &self.faults {
            write!(f, "\n  {fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Invalid {}

impl Manifest {
    /// Checks the manifest by itself.
    ///
    /// # Errors
    ///
    /// [`Invalid`] with a list of faults.
    pub fn check(&self) -> Result<(), Report<Invalid>> {
        let mut faults = Faults::default();
        check_fields(self, &mut faults);
        check_data_centres(self, &mut faults);
        check_services(self, &mut faults);
        check_upstreams(self, &mut faults);
        check_size(self, &mut faults);
        faults.result()
    }

    /// Checks the manifest by itself and as the successor of the one in force.
    ///
    /// Does not check whether [`Manifest::replaces`] is the version in force: a mismatch is a
    /// conflict between two publishers, not a fault of the manifest.
    ///
    /// # Errors
    ///
    /// [`Invalid`] with a list of faults.
    pub fn check_after(&self, state: &State) -> Result<(), Report<Invalid>> {
        self.check()?;
        let mut faults = Faults::default();
        check_kept_shards(self, state, &mut faults);
        check_kept_upstreams(self, state, &mut faults);
        check_former(self, state, &mut faults);
        faults.result()
    }
}

/// Collects faults, up to [`FAULTS_MAX`].
#[derive(Default)]
struct Faults {
    list: Vec<Fault>,
}

impl Faults {
    fn add(&mut self, field: impl fmt::Display, value: impl fmt::Display, remedy: &str) {
        if self.list.len() < FAULTS_MAX {
            self.list.push(Fault {
                field: field.to_string(),
                value: value.to_string(),
                remedy: remedy.to_owned(),
            });
        }
    }

    fn result(self) -> Result<(), Report<Invalid>> {
        if self.list.is_empty() {
            return Ok(());
        }
        Err(Report::new(Invalid { faults: self.list }))
    }
}

/// Checks the bounds declared on the fields.
fn check_fields(manifest: &Manifest, faults: &mut Faults) {
    let Err(report) = manifest.validate() else {
        return;
    };
    let json = serde_json::to_value(manifest).unwrap_or_default();
    for (path, error) in report.iter() {
        let field = path.to_string();
        let value = value_at(&json, &field);
        faults.add(&field, value, &format!("{error}; change it"));
    }
}

/// Returns the value at a path such as `services[0].shards`; only the length of a list.
fn value_at(json: &Value, path: &str) -> String {
    let pointer = format!("/{}", path.replace(['.', '['], "/"));
    match json.pointer(&pointer.replace(']', "")) {
        Some(Value::Array(list)) => format!("{} entries", list.len()),
        Some(value) => value.to_string(),
        None => String::new(),
    }
}

fn check_data_centres(manifest: &Manifest, faults: &mut Faults) {
    let mut seen = HashSet::default();
    for (place, data_centre) in manifest.data_centres.iter().enumerate() {
        let field = format!("data_centres[{place}]");
        let name = format_args!("{field}.name");
        check_name(name, &data_centre.name, faults);
        check_name(format_args!("{field}.region"), &data_centre.region, faults);
        check_unique(name, &data_centre.name, &mut seen, faults);
    }
}

fn check_services(manifest: &Manifest, faults: &mut Faults) {
    let mut seen = HashSet::default();
    for (place, service) in manifest.services.iter().enumerate() {
        let field = format!("services[{place}]");
        let name = format_args!("{field}.name");
        check_name(name, &service.name, faults);
        check_unique(name, &service.name, &mut seen, faults);
        check_times(&field, service, faults);
        check_capacity(&field, service, faults);
        check_parts(&field, manifest, service, faults);
    }
    let shards: u64 = manifest
        .services
        .iter()
        .map(|service| u64::from(service.shards))
        .sum();
    if shards > u64::from(SHARDS_TOTAL_MAX) {
        let remedy = format!("all services together have at most {SHARDS_TOTAL_MAX} shards");
        faults.add("services", format!("{shards} shards"), &remedy);
    }
}

fn check_times(field: &str, service: &Service, faults: &mut Faults) {
    if !(LEASE_MIN..=LEASE_MAX).contains(&service.lease) {
        let remedy = format!("use a lease from {LEASE_MIN:?} to {LEASE_MAX:?}");
        let value = format!("{:?}", service.lease);
        faults.add(format!("{field}.lease"), value, &remedy);
    }
    let limits = &service.limits;
    let periods = [
        ("deadline", limits.deadline),
        ("window", limits.window),
        ("quarantine", limits.quarantine),
        ("isolation", limits.isolation),
        ("silence", limits.silence),
    ];
    for (name, period) in periods {
        if period.is_zero() || period > PERIOD_MAX {
            let remedy = format!("use a time above zero and up to {PERIOD_MAX:?}");
            let value = format!("{period:?}");
            faults.add(format!("{field}.limits.{name}"), value, &remedy);
        }
    }
    if limits.window < limits.deadline {
        let value = format!("{:?}", limits.window);
        let remedy = "outcomes must be kept at least as long as `deadline`; raise it";
        faults.add(format!("{field}.limits.window"), value, remedy);
    }
    if service.on_isolation == OnIsolation::Release && limits.isolation < service.lease {
        let value = format!("{:?}", limits.isolation);
        let remedy = "a leader goes on for at least one `lease` before it releases; raise it";
        faults.add(format!("{field}.limits.isolation"), value, remedy);
    }
}

/// Checks that there is an upstream that does not drain, and a shard for each.
fn check_capacity(field: &str, service: &Service, faults: &mut Faults) {
    let open = service
        .upstreams
        .iter()
        .filter(|upstream| !upstream.drain)
        .count();
    if open == 0 && !service.upstreams.is_empty() {
        let remedy = "all upstreams drain, so none can own a shard; leave one without `drain`";
        faults.add(format!("{field}.upstreams"), "drain", remedy);
    }
    if (service.shards as usize) < open {
        let remedy = "give at least one shard for each upstream";
        faults.add(format!("{field}.shards"), service.shards, remedy);
    }
}

fn check_parts(field: &str, manifest: &Manifest, service: &Service, faults: &mut Faults) {
    for group in manifest.groups(service) {
        if group.upstreams.len() > GROUP_UPSTREAMS_MAX {
            let remedy = format!(
                "one part of a data centre has at most {GROUP_UPSTREAMS_MAX} upstreams; assign \
                 some to another `part`"
            );
            let value = format!("{} upstreams in {}", group.upstreams.len(), group.id);
            faults.add(format!("{field}.upstreams"), value, &remedy);
        }
    }
}

fn check_upstreams(manifest: &Manifest, faults: &mut Faults) {
    let data_centres: HashSet<_> = manifest
        .data_centres
        .iter()
        .map(|data_centre| &data_centre.name)
        .collect();
    let mut names = HashSet::default();
    let mut addresses = HashSet::default();
    for (field, _, upstream) in upstreams(manifest) {
        let name = format_args!("{field}.name");
        check_name(name, &upstream.name, faults);
        check_unique(name, &upstream.name, &mut names, faults);
        let address = format_args!("{field}.address");
        check_unique(address, &upstream.address, &mut addresses, faults);
        if upstream.address.port() == 0 || upstream.address.ip().is_unspecified() {
            let remedy = "give the IP address and port on which the server listens";
            faults.add(format!("{field}.address"), upstream.address, remedy);
        }
        if !data_centres.contains(&upstream.data_centre) {
            let remedy = "declare it under `data_centres`, or use one that is declared there";
            let value = &upstream.data_centre;
            faults.add(format!("{field}.data_centre"), value, remedy);
        }
        if upstream.connections < upstream.slots {
            let remedy = "each slot needs a connection; raise it to `slots` or more";
            faults.add(format!("{field}.connections"), upstream.connections, remedy);
        }
    }
}

fn check_size(manifest: &Manifest, faults: &mut Faults) {
    let size = bincode::serialized_size(manifest).unwrap_or(u64::MAX);
    if size > MANIFEST_SIZE_MAX {
        let remedy = format!("use at most {MANIFEST_SIZE_MAX} bytes; declare fewer upstreams");
        faults.add("manifest", format!("{size} bytes"), &remedy);
    }
}

/// Checks that each service keeps its number of shards, and the limits on names and shards.
fn check_kept_shards(manifest: &Manifest, state: &State, faults: &mut Faults) {
    let mut names: HashSet<_> = state.owners.keys().collect();
    for (place, service) in manifest.services.iter().enumerate() {
        names.insert(&service.name);
        let Some(owners) = state.owners.get(&service.name) else {
            continue;
        };
        if owners.len() != service.shards {
            let remedy = format!(
                "the number of shards is fixed at {}; declare a new service instead",
                owners.len()
            );
            faults.add(format!("services[{place}].shards"), service.shards, &remedy);
        }
    }
    if names.len() > SERVICES_MAX {
        let remedy = format!("a log has at most {SERVICES_MAX} service names; reuse a removed one");
        faults.add("services", format!("{} names", names.len()), &remedy);
    }
    let mut kept: BTreeMap<_, u32> = state
        .owners
        .iter()
        .map(|(name, owners)| (name, owners.len()))
        .collect();
    for service in &manifest.services {
        kept.insert(&service.name, service.shards);
    }
    let shards: u64 = kept.values().map(|shards| u64::from(*shards)).sum();
    if shards > u64::from(SHARDS_KEPT_MAX) {
        let remedy = format!(
            "present and removed services have at most {SHARDS_KEPT_MAX} shards together; reuse \
             the name of a removed service"
        );
        faults.add("services", format!("{shards} shards"), &remedy);
    }
}

/// Checks that an upstream's name still refers to the same server in the same group.
fn check_kept_upstreams(manifest: &Manifest, state: &State, faults: &mut Faults) {
    let by_name = known_upstreams(state);
    let mut addresses: HashMap<_, _> = HashMap::default();
    for (name, known) in &by_name {
        addresses.insert(known.upstream.address, name);
    }
    for (field, service, upstream) in upstreams(manifest) {
        let group = upstream.group(&service.name);
        if let Some(known) = by_name.get(&upstream.name) {
            if known.group != group {
                let remedy = format!(
                    "this name belongs to a server of {}; give the server of {group} a new name",
                    known.group
                );
                faults.add(format!("{field}.name"), &upstream.name, &remedy);
            }
            if known.upstream.address != upstream.address {
                let remedy = format!(
                    "this name belongs to the server at {}; give the new server a new name",
                    known.upstream.address
                );
                faults.add(format!("{field}.address"), upstream.address, &remedy);
            }
        } else if let Some(name) = addresses.get(&upstream.address) {
            let remedy = format!(
                "upstream `{name}` has this address and may still hold grants; wait until it is \
                 retired, or keep its name"
            );
            faults.add(format!("{field}.address"), upstream.address, &remedy);
        }
    }
}

/// Checks that no group gets more than [`FORMER_MAX`] removed upstreams.
fn check_former(manifest: &Manifest, state: &State, faults: &mut Faults) {
    let mut former = state.former.clone();
    state.update_former(manifest, &mut former);
    let mut full: Vec<_> = former
        .iter()
        .filter(|(_, list)| list.len() > FORMER_MAX)
        .collect();
    full.sort_by_key(|(group, _)| *group);
    for (group, list) in full {
        let remedy = format!(
            "{group} has more than {FORMER_MAX} removed upstreams that may still hold grants; \
             remove fewer at a time"
        );
        faults.add("services", format!("{} removed", list.len()), &remedy);
    }
}

/// An upstream that may hold grants, and its group.
struct KnownUpstream<'a> {
    group: GroupId,
    upstream: &'a Upstream,
}

/// Returns the upstreams in force and the removed ones that may still hold grants, by name.
fn known_upstreams(state: &State) -> HashMap<&UpstreamName, KnownUpstream<'_>> {
    let mut by_name = HashMap::default();
    for (group, list) in &state.former {
        for upstream in list {
            let group = group.clone();
            by_name.insert(&upstream.name, KnownUpstream { group, upstream });
        }
    }
    for service in state
        .manifest
        .iter()
        .flat_map(|manifest| &manifest.services)
    {
        for upstream in &service.upstreams {
            let group = upstream.group(&service.name);
            by_name.insert(&upstream.name, KnownUpstream { group, upstream });
        }
    }
    by_name
}

/// The path of an upstream, formatted only if there is a fault.
#[derive(Clone, Copy)]
struct Field {
    service: usize,
    upstream: usize,
}

impl fmt::Display for Field {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "services[{}].upstreams[{}]", self.service, self.upstream)
    }
}

/// Iterates over all upstreams with their path and service.
fn upstreams(manifest: &Manifest) -> impl Iterator<Item = (Field, &Service, &Upstream)> {
    let services = manifest.services.iter().enumerate();
    services.flat_map(|(place, service)| {
        let upstreams = service.upstreams.iter().enumerate();
        upstreams.map(move |(nested, upstream)| {
            let field = Field {
                service: place,
                upstream: nested,
            };
            (field, service, upstream)
        })
    })
}

fn check_name(field: impl fmt::Display, name: &str, faults: &mut Faults) {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if name.is_empty() || name.len() > NAME_MAX || !name.bytes().all(is_plain) {
        let remedy = format!("use 1 to {NAME_MAX} letters, digits, `-`, `_` or `.`");
        faults.add(field, name, &remedy);
    }
}

fn check_unique<'a, T: Eq + Hash + fmt::Display>(
    field: impl fmt::Display,
    value: &'a T,
    seen: &mut HashSet<&'a T>,
    faults: &mut Faults,
) {
    if !seen.insert(value) {
        faults.add(field, value, "used twice; it must be unique");
    }
}
