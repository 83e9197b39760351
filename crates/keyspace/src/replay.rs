//! The state that follows from the log's records.
//!
//! Replay is a pure function: whoever reads the same records holds the same state.

use std::cmp::Ordering;

use crate::{
    HashMap,
    id::{
        DaemonName, EPOCH_STRIDE, Epoch, GroupId, Incarnation, LogOffset, ServiceName, ShardIndex,
    },
    manifest::Manifest,
    member::Member,
    record::{Appoint, Body, Id, Move, Record},
};
use garde::Validate;
use serde::{Deserialize, Serialize};

/// The agreed state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The manifest in force.
    pub manifest: Option<Manifest>,
    /// The appointment in force for each group.
    pub groups: HashMap<GroupId, Appointment>,
    /// The group of each shard, by service.
    pub owners: HashMap<ServiceName, Vec<GroupId>>,
    /// The last sequence read of each writer's run.
    pub writers: HashMap<DaemonName, Writer>,
}

/// Leader and standby of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appointment {
    /// The leader's epoch; the standby's is the next one.
    pub epoch: Epoch,
    /// The leader.
    pub leader: Member,
    /// The standby.
    pub standby: Option<Member>,
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

impl State {
    /// Applies the record at `offset`.
    pub fn apply(&mut self, offset: LogOffset, record: &Record) -> Outcome {
        if self.is_repeated(record) {
            return Outcome::Repeated;
        }
        let applied = match &record.body {
            Body::Manifest(manifest) => self.apply_manifest(manifest),
            Body::Appoint(appoint) => self.apply_appoint(offset, appoint),
            Body::Move(moved) => self.apply_move(moved),
            // Snapshots matter to readers that miss records; the reader handles them.
            Body::Snapshot(_) => true,
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

    /// The group that owns a shard.
    #[must_use]
    pub fn owner_of(&self, service: &str, shard: ShardIndex) -> Option<&GroupId> {
        self.owners.get(service)?.get(shard as usize)
    }

    fn is_repeated(&self, record: &Record) -> bool {
        self.writers.get(&record.id.writer).is_some_and(|seen| {
            (record.id.incarnation, record.id.sequence) <= (seen.incarnation, seen.sequence)
        })
    }

    fn note_writer(&mut self, offset: LogOffset, record: &Record, applied: bool) {
        let seen = Writer {
            incarnation: record.id.incarnation,
            sequence: record.id.sequence,
            offset,
            applied,
        };
        self.writers.insert(record.id.writer.clone(), seen);
    }

    fn apply_manifest(&mut self, manifest: &Manifest) -> bool {
        let current = self.manifest.as_ref().map_or(0, Manifest::version);
        if manifest.replaces != current || manifest.validate().is_err() {
            return false;
        }
        for service in &manifest.services {
            let owners = self.owners.entry(service.name.clone()).or_default();
            if owners.len() != service.shards as usize {
                *owners = manifest.initial_owners(service);
            }
        }
        self.owners
            .retain(|name, _| manifest.service(name).is_some());
        self.manifest = Some(manifest.clone());
        true
    }

    fn apply_appoint(&mut self, offset: LogOffset, appoint: &Appoint) -> bool {
        let current = self.groups.get(&appoint.group).map_or(0, |held| held.epoch);
        if appoint.replaces != current {
            return false;
        }
        let by_offset = (offset + 1).saturating_mul(EPOCH_STRIDE);
        // A log that restarts hands out low offsets again; epochs must rise all the same.
        let epoch = by_offset.max(current + EPOCH_STRIDE);
        let appointment = Appointment {
            epoch,
            leader: appoint.leader.clone(),
            standby: appoint.standby.clone(),
        };
        self.groups.insert(appoint.group.clone(), appointment);
        true
    }

    fn apply_move(&mut self, moved: &Move) -> bool {
        let leads = self
            .groups
            .get(&moved.from)
            .is_some_and(|held| held.epoch == moved.epoch || held.standby_epoch() == moved.epoch);
        let Some(owners) = self.owners.get_mut(&moved.service) else {
            return false;
        };
        let owned = |shard: &ShardIndex| owners.get(*shard as usize) == Some(&moved.from);
        if !leads || moved.to.service != moved.service || !moved.shards.iter().all(owned) {
            return false;
        }
        for shard in &moved.shards {
            owners[*shard as usize] = moved.to.clone();
        }
        true
    }
}
