//! Joins two states that grew apart, so that neither takes the other back.

use std::sync::Arc;

use crate::{
    HashMap,
    id::{GroupId, ServiceName},
    manifest::Manifest,
    replay::{Appointment, Stamp, State, Writer},
    runs::Runs,
};

impl State {
    /// Joins two states: of each part the later one stays.
    ///
    /// Joining is commutative, associative and idempotent, so readers that join the same states
    /// hold the same one, in whatever order they read them.
    #[must_use]
    pub fn join(&self, other: &Self) -> Self {
        let (newer, older) = if rank(&other.manifest) > rank(&self.manifest) {
            (other, self)
        } else {
            (self, other)
        };
        let mut joined = newer.clone();
        joined.life = newer.life.max(older.life);
        join_owners(&mut joined, older);
        join_groups(&mut joined, older);
        join_former(&mut joined, older);
        for (service, lease) in &older.leases {
            let longest = joined.leases.entry(service.clone()).or_default();
            *longest = (*longest).max(*lease);
        }
        join_writers(&mut joined, older);
        joined.drop_idle_groups();
        joined
    }

    /// Whether two states agree on everything but how far their writers were read.
    #[must_use]
    pub fn agrees_with(&self, other: &Self) -> bool {
        self.manifest == other.manifest
            && self.groups == other.groups
            && self.owners == other.owners
            && self.former == other.former
    }
}

/// Orders manifests: by version, and two of one version in some fixed order.
fn rank(manifest: &Option<Arc<Manifest>>) -> Option<(u64, u64)> {
    let manifest = manifest.as_ref()?;
    Some((manifest.version(), manifest.digest()))
}

fn join_owners(joined: &mut State, older: &State) {
    for (service, theirs) in &older.owners {
        let Some(ours) = joined.owners.get_mut(service) else {
            joined.owners.insert(service.clone(), theirs.clone());
            copy_moved(joined, older, service);
            continue;
        };
        if ours.len() != theirs.len() {
            let in_force = joined.manifest.as_ref();
            let is_removed = in_force.is_none_or(|held| held.service(service).is_none());
            if is_removed && ours.len() < theirs.len() {
                ours.clone_from(theirs);
                copy_moved(joined, older, service);
            }
            continue;
        }
        if ours == theirs && joined.moved.get(service) == older.moved.get(service) {
            continue;
        }
        let shards = ours.len();
        let held = stamps(joined.moved.get(service), shards);
        let told = stamps(older.moved.get(service), shards);
        let ours = held.iter().copied().zip(ours.iter());
        let theirs = told.iter().copied().zip(theirs.iter());
        // Of two owners without a move between them, one is taken by a fixed order.
        let latest = ours.zip(theirs).map(|(ours, theirs)| ours.max(theirs));
        let (stamps, owners): (Vec<Stamp>, Vec<&GroupId>) = latest.unzip();
        let owners = owners.into_iter().cloned().collect();
        let moves: Runs<Stamp> = stamps.into_iter().collect();
        joined.owners.insert(service.clone(), Arc::new(owners));
        if moves == Runs::new(0, shards) {
            joined.moved.remove(service);
        } else {
            joined.moved.insert(service.clone(), Arc::new(moves));
        }
    }
}

/// The last move of each of a service's shards.
fn stamps(moves: Option<&Arc<Runs<Stamp>>>, shards: u32) -> Arc<Runs<Stamp>> {
    let moves = moves.filter(|moves| moves.len() == shards);
    moves.map_or_else(|| Arc::new(Runs::new(0, shards)), Arc::clone)
}

fn copy_moved(joined: &mut State, older: &State, service: &ServiceName) {
    if let Some(moves) = older.moved.get(service) {
        joined.moved.insert(service.clone(), moves.clone());
    }
}

fn join_groups(joined: &mut State, older: &State) {
    let is_later = |held: Option<&Appointment>, theirs: &Appointment| {
        held.is_none_or(|held| theirs.epoch > held.epoch)
    };
    for (group, theirs) in &older.groups {
        if is_later(joined.groups.get(group), theirs) {
            joined.groups.insert(group.clone(), theirs.clone());
        }
    }
}

/// Keeps every upstream that one of the states does not know to have let go.
fn join_former(joined: &mut State, older: &State) {
    let Some(manifest) = joined.manifest.clone() else {
        return;
    };
    let mut former: HashMap<GroupId, Vec<_>> = std::mem::take(&mut joined.former);
    for (group, theirs) in &older.former {
        former
            .entry(group.clone())
            .or_default()
            .extend(theirs.iter().cloned());
    }
    // What only the older manifest has was removed by the newer one.
    older.remember_former(&manifest, &mut former);
    joined.former = former;
}

fn join_writers(joined: &mut State, older: &State) {
    let reached = |seen: &Writer| (seen.incarnation, seen.sequence);
    for (name, theirs) in &older.writers {
        let held = joined.writers.get(name);
        if held.is_none_or(|held| reached(theirs) > reached(held)) {
            joined.writers.insert(name.clone(), *theirs);
        }
    }
    joined.forget_writers();
}
