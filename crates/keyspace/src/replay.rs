//! Replays the log's records into a state.
//!
//! Replay is a pure function: readers of the same records have the same state. A record is void for
//! every reader if the version or epoch that it replaces is not the current one, which gives the
//! append-only log compare-and-swap semantics.

use std::{cmp::Ordering, net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    HashMap, HashSet,
    difference::Difference,
    id::{
        DaemonName, EPOCH_STRIDE, Epoch, GroupId, Incarnation, LogOffset, ManifestVersion,
        ServiceName, ShardIndex,
    },
    manifest::{Fencing, Manifest, Owners, Upstream},
    member::Member,
    record::{Appoint, Body, Id, Move, Record, Retire},
    runs::Runs,
};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The most writers whose last record is tracked.
pub const WRITERS_MAX: usize = 4096;

/// Orders changes: a later record has a higher stamp, even after the log has restarted.
pub type Stamp = u64;

/// The bits of a stamp that distinguish records at the same offset, which a log that lost records
/// can have.
const HASH_BITS: u32 = 12;
/// The bits of a stamp that hold the offset.
const OFFSET_BITS: u32 = 36;
/// The highest generation ([`State::generation`]) that a state can have; stamps and epochs of a
/// higher one would not fit into 64 bits.
pub const GENERATION_MAX: u64 = (1 << (63 - HASH_BITS - OFFSET_BITS)) - 1;

/// The state that all readers agree on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The generation of the state, which rises with each snapshot that restores what the log lacks
    /// or replaces records that a reader lacks.
    #[serde(rename = "life")]
    pub generation: u64,
    /// The manifest in force.
    pub manifest: Option<Arc<Manifest>>,
    /// The appointment in force for each group.
    pub groups: HashMap<GroupId, Appointment>,
    /// The owning group of each shard, by service; removed services are kept.
    pub owners: HashMap<ServiceName, Arc<Owners>>,
    /// The stamp of each shard's last move, or zero, by service; services without moves have none.
    pub moved: HashMap<ServiceName, Arc<Runs<Stamp>>>,
    /// Upstreams that were removed by a manifest and may still hold grants.
    pub former: HashMap<GroupId, Vec<Upstream>>,
    /// The longest lease that each service ever had.
    pub leases: HashMap<ServiceName, Duration>,
    /// The last record read from each writer.
    pub writers: HashMap<DaemonName, Writer>,
}

/// The leader and standby of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appointment {
    /// The leader's epoch; the standby's is the next one.
    pub epoch: Epoch,
    /// The epoch of the previous appointment; zero if this is the group's first.
    pub replaces: Epoch,
    /// The leader.
    pub leader: Member,
    /// The standby.
    pub standby: Option<Member>,
    /// The servers that count towards the quorums of this leader and of its successor's take-over:
    /// those that checked epochs and belonged to the group when the record was read.
    pub voters: Vec<SocketAddr>,
    /// The voters of the previous appointment.
    pub former_voters: Vec<SocketAddr>,
}

impl Appointment {
    /// Returns the epoch under which the standby takes over.
    #[must_use]
    pub fn standby_epoch(&self) -> Epoch {
        self.epoch + 1
    }
}

/// How far a writer's records have been read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Writer {
    /// The writer's latest run that was read.
    pub incarnation: Incarnation,
    /// The last record of that run.
    pub sequence: u64,
    /// The offset of that record.
    pub offset: LogOffset,
    /// Whether that record changed the state.
    pub applied: bool,
}

/// The effect of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It changed the state.
    Applied,
    /// It, or a later record of its writer, was read before.
    Repeated,
    /// What it replaces is not current, or its other conditions do not hold.
    Void,
}

/// A group that needs a leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActiveGroup {
    /// Its identity.
    pub id: GroupId,
    /// Its upstreams in the manifest in force; empty if the group is departing.
    pub upstreams: Vec<Upstream>,
    /// Upstreams that were removed by a manifest and may still hold grants.
    pub former: Vec<Upstream>,
}

impl ActiveGroup {
    /// Whether the manifest has no upstreams of the group any more.
    #[must_use]
    pub fn is_departing(&self) -> bool {
        self.upstreams.is_empty()
    }
}

impl State {
    /// Applies the record at `offset`.
    ///
    /// Snapshots have no effect here; [`crate::reader::Reader`] handles them.
    pub fn apply(&mut self, offset: LogOffset, record: &Record) -> Outcome {
        if matches!(record.body, Body::Snapshot(_)) {
            return Outcome::Applied;
        }
        if self.is_repeated(record) {
            return Outcome::Repeated;
        }
        let stamp = self.stamp(offset, &record.id);
        let applied = match &record.body {
            Body::Manifest(manifest) => self.apply_manifest(manifest.clone()),
            Body::Appoint(appoint) => self.apply_appoint(stamp, appoint),
            Body::Move(moved) => self.apply_move(stamp, moved),
            Body::Retire(retire) => self.apply_retire(retire),
            Body::Snapshot(_) => false,
            Body::Difference(difference) => self.apply_difference(difference),
        };
        self.record_writer(offset, record, applied);
        if applied {
            Outcome::Applied
        } else {
            Outcome::Void
        }
    }

    /// Returns the effect of a record, if it or a later one of its writer was read.
    ///
    /// [`Outcome::Repeated`] means that a later one was read, so that this one cannot take effect
    /// any more.
    #[must_use]
    pub fn outcome_of(&self, id: &Id) -> Option<Outcome> {
        let writer = self.writers.get(&id.writer)?;
        let last = (writer.incarnation, writer.sequence);
        match last.cmp(&(id.incarnation, id.sequence)) {
            Ordering::Less => None,
            Ordering::Equal if writer.applied => Some(Outcome::Applied),
            Ordering::Equal => Some(Outcome::Void),
            Ordering::Greater => Some(Outcome::Repeated),
        }
    }

    /// Returns the version of the manifest in force, or zero if there is none.
    #[must_use]
    pub fn version(&self) -> ManifestVersion {
        self.manifest.as_deref().map_or(0, Manifest::version)
    }

    /// Returns the group that owns a shard.
    #[must_use]
    pub fn owner_of(&self, service: &str, shard: ShardIndex) -> Option<&GroupId> {
        self.owners.get(service)?.get(shard)
    }

    /// Returns the groups that need a leader, in order: those in the manifest, and removed ones
    /// that own shards or have upstreams that may still hold grants.
    ///
    /// The leader of a departing group fences the former upstreams, releases their shards, and
    /// only then moves these ([`Move`]) and retires the upstreams ([`Retire`]).
    #[must_use]
    pub fn groups_in_force(&self) -> Vec<ActiveGroup> {
        let mut active: HashMap<GroupId, Vec<Upstream>> = HashMap::default();
        if let Some(manifest) = &self.manifest {
            for service in &manifest.services {
                let groups = manifest.groups(service).into_iter();
                active.extend(groups.map(|group| (group.id, group.upstreams)));
                let Some(owners) = self.owners.get(&service.name) else {
                    continue;
                };
                for (_, group) in owners.runs() {
                    if !active.contains_key(group) {
                        active.insert(group.clone(), Vec::new());
                    }
                }
            }
        }
        for (id, former) in &self.former {
            if !former.is_empty() && !active.contains_key(id) {
                active.insert(id.clone(), Vec::new());
            }
        }
        let mut groups: Vec<ActiveGroup> = active
            .into_iter()
            .map(|(id, upstreams)| ActiveGroup {
                former: self.former.get(&id).cloned().unwrap_or_default(),
                id,
                upstreams,
            })
            .collect();
        groups.sort_by(|one, other| one.id.cmp(&other.id));
        groups
    }

    /// Returns the servers of a group that check epochs, in order.
    #[must_use]
    pub fn voters(&self, group: &GroupId) -> Vec<SocketAddr> {
        let manifest = self.manifest.as_ref();
        let service = manifest.and_then(|manifest| manifest.service(&group.service));
        let present = service.map_or(&[][..], |service| &service.upstreams);
        let present = present
            .iter()
            .filter(|upstream| upstream.group(&group.service) == *group);
        let former = self.former.get(group).into_iter().flatten();
        let checked = present
            .chain(former)
            .filter(|upstream| upstream.fencing == Fencing::Checked);
        let mut voters: Vec<SocketAddr> = checked.map(|upstream| upstream.address).collect();
        voters.sort_unstable();
        voters.dedup();
        voters
    }

    /// Adds the upstreams that `manifest` removes to `former`, and drops those that it restores.
    pub(crate) fn update_former(
        &self,
        manifest: &Manifest,
        former: &mut HashMap<GroupId, Vec<Upstream>>,
    ) {
        let mut kept = HashSet::default();
        for service in &manifest.services {
            kept.extend(service.upstreams.iter().map(|upstream| &upstream.name));
        }
        for service in self.manifest.iter().flat_map(|manifest| &manifest.services) {
            for upstream in &service.upstreams {
                if !kept.contains(&upstream.name) {
                    let group = upstream.group(&service.name);
                    former.entry(group).or_default().push(upstream.clone());
                }
            }
        }
        former.retain(|_, list| {
            list.retain(|upstream| !kept.contains(&upstream.name));
            list.sort_by(|one, other| one.name.cmp(&other.name));
            list.dedup_by(|one, other| one.name == other.name);
            !list.is_empty()
        });
    }

    /// Drops the appointments of groups that need no leader any more.
    pub(crate) fn drop_idle_groups(&mut self) {
        let active: HashSet<GroupId> = self
            .groups_in_force()
            .into_iter()
            .map(|group| group.id)
            .collect();
        self.groups.retain(|id, _| active.contains(id));
    }

    fn drop_if_idle(&mut self, group: &GroupId) {
        if !self.is_active(group) {
            self.groups.remove(group);
        }
    }

    /// Whether a group is among [`State::groups_in_force`].
    fn is_active(&self, group: &GroupId) -> bool {
        if self.has_upstreams(group, &group.service) || self.former.contains_key(group) {
            return true;
        }
        let manifest = self.manifest.as_ref();
        let is_declared =
            manifest.is_some_and(|manifest| manifest.service(&group.service).is_some());
        let owners = self.owners.get(&group.service);
        is_declared && owners.is_some_and(|owners| owners.contains(group))
    }

    /// Returns the stamp of a record: generation, offset and a hash of its identity.
    fn stamp(&self, offset: LogOffset, id: &Id) -> Stamp {
        let name = format!("{}/{}/{}", id.writer, id.incarnation, id.sequence);
        let hash = xxh3_64(name.as_bytes()) & ((1 << HASH_BITS) - 1);
        let capped_offset = offset.saturating_add(1).min((1 << OFFSET_BITS) - 1);
        let position = (self.generation.min(GENERATION_MAX) << OFFSET_BITS) | capped_offset;
        (position << HASH_BITS) | hash
    }

    fn is_repeated(&self, record: &Record) -> bool {
        self.outcome_of(&record.id).is_some()
    }

    fn record_writer(&mut self, offset: LogOffset, record: &Record, applied: bool) {
        let writer = Writer {
            incarnation: record.id.incarnation,
            sequence: record.id.sequence,
            offset,
            applied,
        };
        self.writers.insert(record.id.writer.clone(), writer);
        self.evict_writers();
    }

    /// Drops the least recent writers beyond [`WRITERS_MAX`]. What their last records replace was
    /// itself replaced long ago, so a late copy of them is void anyway.
    pub(crate) fn evict_writers(&mut self) {
        while self.writers.len() > WRITERS_MAX {
            let oldest = self
                .writers
                .iter()
                .min_by_key(|(name, writer)| (writer.offset, (*name).clone()))
                .map(|(name, _)| name.clone());
            let Some(name) = oldest else { return };
            self.writers.remove(&name);
        }
    }

    fn apply_difference(&mut self, difference: &Difference) -> bool {
        let current = self.manifest.as_ref();
        let manifest = current.and_then(|parent| difference.apply(parent));
        manifest.is_some_and(|manifest| self.apply_manifest(manifest))
    }

    fn apply_manifest(&mut self, manifest: Manifest) -> bool {
        if manifest.replaces != self.version() || manifest.check_after(self).is_err() {
            return false;
        }
        let mut former = std::mem::take(&mut self.former);
        self.update_former(&manifest, &mut former);
        self.former = former;
        for service in &manifest.services {
            self.owners
                .entry(service.name.clone())
                .or_insert_with(|| Arc::new(manifest.initial_owners(service)));
            let longest = self.leases.entry(service.name.clone()).or_default();
            *longest = service.lease.max(*longest);
        }
        self.manifest = Some(Arc::new(manifest));
        self.drop_idle_groups();
        true
    }

    fn apply_appoint(&mut self, stamp: Stamp, appoint: &Appoint) -> bool {
        let current = self
            .groups
            .get(&appoint.group)
            .map_or(0, |appointment| appointment.epoch);
        let is_own_standby = appoint
            .standby
            .as_ref()
            .is_some_and(|standby| standby.name == appoint.leader.name);
        if appoint.replaces != current || is_own_standby || !self.is_active(&appoint.group) {
            return false;
        }
        let stamp_epoch = stamp.saturating_mul(EPOCH_STRIDE);
        let step = (1 + stamp % (1 << HASH_BITS)) * EPOCH_STRIDE;
        let former_voters = self
            .groups
            .get(&appoint.group)
            .map_or_else(Vec::new, |appointment| appointment.voters.clone());
        // Epochs rise even if the offset no longer fits into a stamp.
        let epoch = stamp_epoch.max(current.saturating_add(step));
        let appointment = Appointment {
            epoch,
            replaces: current,
            leader: appoint.leader.clone(),
            standby: appoint.standby.clone(),
            voters: self.voters(&appoint.group),
            former_voters,
        };
        self.groups.insert(appoint.group.clone(), appointment);
        true
    }

    fn apply_move(&mut self, stamp: Stamp, moved: &Move) -> bool {
        if !self.is_epoch_in_force(&moved.from, moved.epoch)
            || !self.has_upstreams(&moved.to, &moved.service)
        {
            return false;
        }
        let Some(owners) = self.owners.get_mut(&moved.service) else {
            return false;
        };
        let is_owned = |shard: &ShardIndex| owners.get(*shard) == Some(&moved.from);
        if moved.shards.is_empty() || moved.from == moved.to || !moved.shards.iter().all(is_owned) {
            return false;
        }
        let owners = Arc::make_mut(owners);
        let stamps = self.moved.entry(moved.service.clone());
        let stamps = stamps.or_insert_with(|| Arc::new(Runs::new(0, owners.len())));
        let stamps = Arc::make_mut(stamps);
        for shard in &moved.shards {
            owners.set(*shard, moved.to.clone());
            stamps.set(*shard, stamp);
        }
        self.drop_if_idle(&moved.from);
        true
    }

    fn apply_retire(&mut self, retire: &Retire) -> bool {
        if !self.is_epoch_in_force(&retire.group, retire.epoch) {
            return false;
        }
        let Some(former) = self.former.get_mut(&retire.group) else {
            return false;
        };
        let before = former.len();
        former.retain(|upstream| !retire.upstreams.contains(&upstream.name));
        let changed = former.len() < before;
        if former.is_empty() {
            self.former.remove(&retire.group);
        }
        self.drop_if_idle(&retire.group);
        changed
    }

    /// Whether an epoch is that of the appointed leader or standby of a group.
    fn is_epoch_in_force(&self, group: &GroupId, epoch: Epoch) -> bool {
        self.groups
            .get(group)
            .is_some_and(|current| current.epoch == epoch || current.standby_epoch() == epoch)
    }

    /// Whether the manifest has upstreams of a service in a group.
    fn has_upstreams(&self, group: &GroupId, service: &ServiceName) -> bool {
        let manifest = self.manifest.as_ref();
        manifest
            .and_then(|manifest| manifest.service(service))
            .is_some_and(|service_in_force| {
                let upstreams = &service_in_force.upstreams;
                upstreams
                    .iter()
                    .any(|upstream| upstream.group(service) == *group)
            })
    }
}
