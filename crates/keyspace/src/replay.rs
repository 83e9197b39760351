//! The state that follows from the log's records.
//!
//! Replay is a pure function: whoever reads the same records holds the same state. A record is
//! void for everybody if its parent is not the current one, which turns the append-only log into
//! compare-and-swap.

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

/// The most writers whose last record is remembered.
pub const WRITERS_MAX: usize = 4096;

/// Orders changes: a later record has a higher stamp, also after the log restarted.
pub type Stamp = u64;

/// Bits of a stamp that tell apart records of one offset, which a log that lost records has.
const HASH_BITS: u32 = 12;
/// Bits of a stamp that hold the offset.
const OFFSET_BITS: u32 = 36;
/// The last life that a state can have; the epochs of one more would not fit.
pub const LIFE_MAX: u64 = (1 << (63 - HASH_BITS - OFFSET_BITS)) - 1;

/// The agreed state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Rises whenever the log has lost records, with the snapshot that puts them back.
    pub life: u64,
    /// The manifest in force.
    pub manifest: Option<Arc<Manifest>>,
    /// The appointment in force for each group.
    pub groups: HashMap<GroupId, Appointment>,
    /// The group of each shard, by service; those of removed services stay.
    pub owners: HashMap<ServiceName, Arc<Owners>>,
    /// The last move of each shard, zero for none, by service that a shard of ever moved.
    pub moved: HashMap<ServiceName, Arc<Runs<Stamp>>>,
    /// Upstreams that a manifest removed and that may still hold grants.
    pub former: HashMap<GroupId, Vec<Upstream>>,
    /// The longest lease that each service ever had.
    pub leases: HashMap<ServiceName, Duration>,
    /// The last record read of each writer.
    pub writers: HashMap<DaemonName, Writer>,
}

/// Leader and standby of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appointment {
    /// The leader's epoch; the standby's is the next one.
    pub epoch: Epoch,
    /// The epoch of the appointment before; zero if this is the group's first.
    pub replaces: Epoch,
    /// The leader.
    pub leader: Member,
    /// The standby.
    pub standby: Option<Member>,
    /// The servers whose word counts for this leader and against its successor: those that
    /// checked epochs and belonged to the group when the record was read.
    pub voters: Vec<SocketAddr>,
    /// The same of the appointment before.
    pub former_voters: Vec<SocketAddr>,
}

impl Appointment {
    /// The epoch with which the standby fences.
    #[must_use]
    pub fn standby_epoch(&self) -> Epoch {
        self.epoch + 1
    }
}

/// How far a writer's records have been read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Writer {
    /// The writer's last run that was read.
    pub incarnation: Incarnation,
    /// The last record of that run.
    pub sequence: u64,
    /// The offset of that record.
    pub offset: LogOffset,
    /// Whether that record changed the state.
    pub applied: bool,
}

/// What a record did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It changed the state.
    Applied,
    /// It was read before.
    Repeated,
    /// Its parent is not the current one, or what it says does not hold.
    Void,
}

/// A group that needs a leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActiveGroup {
    /// Its identity.
    pub id: GroupId,
    /// Its upstreams in the manifest in force; none if the group is departing.
    pub upstreams: Vec<Upstream>,
    /// Upstreams that a manifest removed and that may still hold grants.
    pub former: Vec<Upstream>,
}

impl ActiveGroup {
    /// Whether the manifest has no upstream for the group any more.
    #[must_use]
    pub fn is_departing(&self) -> bool {
        self.upstreams.is_empty()
    }
}

impl State {
    /// Applies the record at `offset`.
    ///
    /// Snapshots change nothing here; [`crate::reader::Reader`] handles them.
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
        self.note_writer(offset, record, applied);
        if applied {
            Outcome::Applied
        } else {
            Outcome::Void
        }
    }

    /// What became of a record, if it or a later one of its writer was read.
    ///
    /// [`Outcome::Repeated`] if only a later one tells that it can have no effect any more.
    #[must_use]
    pub fn outcome_of(&self, id: &Id) -> Option<Outcome> {
        let seen = self.writers.get(&id.writer)?;
        let last = (seen.incarnation, seen.sequence);
        match last.cmp(&(id.incarnation, id.sequence)) {
            Ordering::Less => None,
            Ordering::Equal if seen.applied => Some(Outcome::Applied),
            Ordering::Equal => Some(Outcome::Void),
            Ordering::Greater => Some(Outcome::Repeated),
        }
    }

    /// The version of the manifest in force; zero for none.
    #[must_use]
    pub fn version(&self) -> ManifestVersion {
        self.manifest.as_deref().map_or(0, Manifest::version)
    }

    /// The group that owns a shard.
    #[must_use]
    pub fn owner_of(&self, service: &str, shard: ShardIndex) -> Option<&GroupId> {
        self.owners.get(service)?.get(shard)
    }

    /// The groups that need a leader, in order: those of the manifest, and those that it dropped
    /// but that own shards or whose upstreams may still hold grants.
    ///
    /// The leader of a departing group fences the former upstreams, lets their shards go, and
    /// only then moves them ([`Move`]) and retires the upstreams ([`Retire`]).
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

    /// The servers of a group that check epochs, in order.
    #[must_use]
    pub fn voters(&self, group: &GroupId) -> Vec<SocketAddr> {
        let manifest = self.manifest.as_ref();
        let service = manifest.and_then(|held| held.service(&group.service));
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

    /// Adds the upstreams that `manifest` drops to `former`, and takes out those that it has again.
    pub(crate) fn remember_former(
        &self,
        manifest: &Manifest,
        former: &mut HashMap<GroupId, Vec<Upstream>>,
    ) {
        let mut kept = HashSet::default();
        for service in &manifest.services {
            kept.extend(service.upstreams.iter().map(|upstream| &upstream.name));
        }
        for service in self.manifest.iter().flat_map(|held| &held.services) {
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

    /// Drops appointments of groups that need no leader any more.
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
        if self.may_take(group, &group.service) || self.former.contains_key(group) {
            return true;
        }
        let manifest = self.manifest.as_ref();
        let is_declared = manifest.is_some_and(|held| held.service(&group.service).is_some());
        let owners = self.owners.get(&group.service);
        is_declared && owners.is_some_and(|owners| owners.contains(group))
    }

    fn stamp(&self, offset: LogOffset, id: &Id) -> Stamp {
        let name = format!("{}/{}/{}", id.writer, id.incarnation, id.sequence);
        let hash = xxh3_64(name.as_bytes()) & ((1 << HASH_BITS) - 1);
        let place = offset.saturating_add(1).min((1 << OFFSET_BITS) - 1);
        let position = (self.life.min(LIFE_MAX) << OFFSET_BITS) | place;
        (position << HASH_BITS) | hash
    }

    fn is_repeated(&self, record: &Record) -> bool {
        self.outcome_of(&record.id).is_some()
    }

    fn note_writer(&mut self, offset: LogOffset, record: &Record, applied: bool) {
        let seen = Writer {
            incarnation: record.id.incarnation,
            sequence: record.id.sequence,
            offset,
            applied,
        };
        self.writers.insert(record.id.writer.clone(), seen);
        self.forget_writers();
    }

    /// Forgets the writers that were silent for longest. What they wrote last has parents that
    /// were replaced long since, so a late copy is void all the same.
    pub(crate) fn forget_writers(&mut self) {
        while self.writers.len() > WRITERS_MAX {
            let oldest = self
                .writers
                .iter()
                .min_by_key(|(name, seen)| (seen.offset, (*name).clone()))
                .map(|(name, _)| name.clone());
            let Some(name) = oldest else { return };
            self.writers.remove(&name);
        }
    }

    fn apply_difference(&mut self, difference: &Difference) -> bool {
        let held = self.manifest.as_ref();
        let manifest = held.and_then(|parent| difference.apply(parent));
        manifest.is_some_and(|manifest| self.apply_manifest(manifest))
    }

    fn apply_manifest(&mut self, manifest: Manifest) -> bool {
        if manifest.replaces != self.version() || manifest.check_after(self).is_err() {
            return false;
        }
        let mut former = std::mem::take(&mut self.former);
        self.remember_former(&manifest, &mut former);
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
        let current = self.groups.get(&appoint.group).map_or(0, |held| held.epoch);
        let stands_by_itself = appoint
            .standby
            .as_ref()
            .is_some_and(|standby| standby.name == appoint.leader.name);
        if appoint.replaces != current || stands_by_itself || !self.is_active(&appoint.group) {
            return false;
        }
        let by_stamp = stamp.saturating_mul(EPOCH_STRIDE);
        let step = (1 + stamp % (1 << HASH_BITS)) * EPOCH_STRIDE;
        let former_voters = self
            .groups
            .get(&appoint.group)
            .map_or_else(Vec::new, |held| held.voters.clone());
        // A life that has no offsets left to tell apart still gives rising epochs.
        let epoch = by_stamp.max(current.saturating_add(step));
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
        if !self.leads(&moved.from, moved.epoch) || !self.may_take(&moved.to, &moved.service) {
            return false;
        }
        let Some(owners) = self.owners.get_mut(&moved.service) else {
            return false;
        };
        let owned = |shard: &ShardIndex| owners.get(*shard) == Some(&moved.from);
        if moved.shards.is_empty() || moved.from == moved.to || !moved.shards.iter().all(owned) {
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
        if !self.leads(&retire.group, retire.epoch) {
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

    /// Whether an epoch is that of a group's appointed leader or standby.
    fn leads(&self, group: &GroupId, epoch: Epoch) -> bool {
        self.groups
            .get(group)
            .is_some_and(|held| held.epoch == epoch || held.standby_epoch() == epoch)
    }

    /// Whether the manifest has upstreams in a group of a service.
    fn may_take(&self, group: &GroupId, service: &ServiceName) -> bool {
        let manifest = self.manifest.as_ref();
        manifest
            .and_then(|held| held.service(service))
            .is_some_and(|held| {
                let upstreams = &held.upstreams;
                upstreams
                    .iter()
                    .any(|upstream| upstream.group(service) == *group)
            })
    }
}
