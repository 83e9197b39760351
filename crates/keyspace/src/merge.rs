//! Joins two states that have diverged, so that neither reverts the other.

use std::sync::Arc;

use crate::{
    HashMap,
    id::{GroupId, ServiceName},
    manifest::Manifest,
    replay::{Appointment, Stamp, State, Writer},
    runs::Runs,
};

impl State {
    /// Joins two states; the later value of each part wins.
    ///
    /// Joining is commutative, associative and idempotent, so readers that join the same states end
    /// with equal states, whatever the order.
    #[must_use]
    pub fn join(&self, other: &Self) -> Self {
        let (newer, older) = if rank(&other.manifest) > rank(&self.manifest) {
            (other, self)
        } else {
            (self, other)
        };
        let mut joined = newer.clone();
        joined.generation = newer.generation.max(older.generation);
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

    /// Whether two states have the same manifest, appointments, owners and former upstreams.
    #[must_use]
    pub fn agrees_with(&self, other: &Self) -> bool {
        self.manifest == other.manifest
            && self.groups == other.groups
            && self.owners == other.owners
            && self.former == other.former
    }
}

/// Orders manifests by version, and manifests of the same version by digest.
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
            let is_removed = in_force.is_none_or(|manifest| manifest.service(service).is_none());
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
        let our_stamps = stamps(joined.moved.get(service), shards);
        let their_stamps = stamps(older.moved.get(service), shards);
        let ours = our_stamps.iter().copied().zip(ours.iter());
        let theirs = their_stamps.iter().copied().zip(theirs.iter());
        // Of two owners without a move to order them, the greater group identity wins.
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

/// Returns the stamp of the last move of each shard of a service.
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
    let is_later = |ours: Option<&Appointment>, theirs: &Appointment| {
        ours.is_none_or(|ours| theirs.epoch > ours.epoch)
    };
    for (group, theirs) in &older.groups {
        if is_later(joined.groups.get(group), theirs) {
            joined.groups.insert(group.clone(), theirs.clone());
        }
    }
}

/// Keeps every removed upstream that at least one of the states does not know to be retired.
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
    // Upstreams that only the older manifest has were removed by the newer one.
    older.update_former(&manifest, &mut former);
    joined.former = former;
}

fn join_writers(joined: &mut State, older: &State) {
    let progress = |writer: &Writer| (writer.incarnation, writer.sequence);
    for (name, theirs) in &older.writers {
        let ours = joined.writers.get(name);
        if ours.is_none_or(|ours| progress(theirs) > progress(ours)) {
            joined.writers.insert(name.clone(), *theirs);
        }
    }
    joined.evict_writers();
}
