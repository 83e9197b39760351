//! Tests of replay against a simple reference implementation, and of its invariants.

use std::collections::BTreeMap;

use crate::sample::{appoint, group, manifest, record, runner, service, simple, upstream};
use copperwell_keyspace::{
    GroupId,
    difference::Difference,
    manifest::Manifest,
    record::{Body, Move, Record, Retire},
    replay::{Outcome, State},
};
use proptest::{collection::vec, prelude::*, sample::select, test_runner::TestCaseError};
use test_case::test_case;

/// A step of a random log; what it replaces is chosen relative to the current state.
#[derive(Debug, Clone)]
enum Step {
    Manifest {
        stale: bool,
        south: bool,
        publication: Publication,
    },
    Appoint {
        north: bool,
        stale: bool,
    },
    Move {
        shard: u32,
        stale: bool,
        to_north: bool,
    },
    Retire {
        north: bool,
    },
    Repeat {
        back: usize,
    },
}

/// How a manifest is published.
#[derive(Debug, Clone, Copy)]
enum Publication {
    Whole,
    /// As a difference from the manifest in force, if there is one.
    Difference,
    /// As a difference from another manifest with the version in force.
    Foreign,
}

/// A record, and for a difference the manifests that it was made from.
#[derive(Debug, Clone)]
struct Logged {
    record: Record,
    difference: Option<(Manifest, Manifest)>,
}

impl Logged {
    fn new(record: Record) -> Self {
        Self {
            record,
            difference: None,
        }
    }

    /// Creates a record with the difference between two manifests.
    fn with_difference(sequence: u64, parent: Manifest, next: Manifest) -> Self {
        let difference = Difference::between(&parent, &next);
        let body = Body::Difference(Box::new(difference));
        Self {
            record: record("writer", sequence, body),
            difference: Some((parent, next)),
        }
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let publication = select(vec![
        Publication::Whole,
        Publication::Difference,
        Publication::Foreign,
    ]);
    let step = prop_oneof![
        (any::<bool>(), any::<bool>(), publication).prop_map(|(stale, south, publication)| {
            Step::Manifest {
                stale,
                south,
                publication,
            }
        }),
        (any::<bool>(), any::<bool>()).prop_map(|(north, stale)| Step::Appoint { north, stale }),
        (0..9_u32, any::<bool>(), any::<bool>()).prop_map(|(shard, stale, to_north)| Step::Move {
            shard,
            stale,
            to_north
        }),
        any::<bool>().prop_map(|north| Step::Retire { north }),
        (0..8_usize).prop_map(|back| Step::Repeat { back }),
    ];
    vec(step, 0..60)
}

fn group_of(north: bool) -> GroupId {
    group(if north { "north" } else { "south" })
}

/// Builds the record of a step, relative to `state`.
fn record_of(step: &Step, state: &State, log: &[Logged]) -> Logged {
    let sequence = log.len() as u64 + 1;
    let epoch_of = |group: &GroupId| state.groups.get(group).map_or(0, |current| current.epoch);
    let body = match step {
        Step::Manifest {
            stale,
            south,
            publication,
        } => {
            let mut next = simple(state.version().saturating_sub(u64::from(*stale)));
            if !south {
                next.services[0].upstreams.pop();
            }
            let mut parent = state.manifest.as_deref().cloned();
            if let (Publication::Foreign, Some(parent)) = (publication, &mut parent) {
                for manifest in [parent, &mut next] {
                    manifest.data_centres[0].region = "elsewhere".into();
                }
            }
            match (publication, parent) {
                (Publication::Whole, _) | (_, None) => Body::Manifest(next),
                (_, Some(parent)) => return Logged::with_difference(sequence, parent, next),
            }
        }
        Step::Appoint { north, stale } => {
            let group = group_of(*north);
            let replaces = epoch_of(&group) + u64::from(*stale);
            appoint(&group, replaces, "one")
        }
        Step::Move {
            shard,
            stale,
            to_north,
        } => {
            let from = group_of(!to_north);
            let epoch = epoch_of(&from) + 5 * u64::from(*stale);
            Body::Move(Move {
                service: "calendar".into(),
                shards: vec![*shard],
                epoch,
                from,
                to: group_of(*to_north),
            })
        }
        Step::Retire { north } => {
            let group = group_of(*north);
            Body::Retire(Retire {
                epoch: epoch_of(&group),
                group,
                upstreams: vec!["up-2".into()],
            })
        }
        Step::Repeat { back } => {
            let position = log.len().checked_sub(1 + back);
            match position.and_then(|position| log.get(position)) {
                Some(earlier) => return earlier.clone(),
                None => Body::Manifest(simple(9)),
            }
        }
    };
    Logged::new(record("writer", sequence, body))
}

/// A simple replay to compare with: maps by name, one rule after the other, no shared code.
#[derive(Default)]
struct Reference {
    version: u64,
    manifest: Option<Manifest>,
    has_south: bool,
    epochs: BTreeMap<String, u64>,
    owners: Vec<String>,
    former: BTreeMap<String, Vec<String>>,
    last_sequence: u64,
}

impl Reference {
    fn apply(&mut self, logged: &Logged, epoch_if_applied: u64) {
        let record = &logged.record;
        if record.id.sequence <= self.last_sequence {
            return;
        }
        self.last_sequence = record.id.sequence;
        match &record.body {
            Body::Manifest(next) => self.apply_manifest(next),
            Body::Appoint(appoint) => {
                let name = appoint.group.data_centre.to_string();
                if self.is_active(&name) && self.epoch(&name) == appoint.replaces {
                    self.epochs.insert(name, epoch_if_applied);
                }
            }
            Body::Move(moved) => self.apply_move(moved),
            Body::Retire(retire) => {
                let name = retire.group.data_centre.to_string();
                if self.epochs.get(&name) == Some(&retire.epoch) {
                    self.former.remove(&name);
                }
            }
            Body::Snapshot(_) => {}
            Body::Difference(_) => {
                let (parent, next) = logged
                    .difference
                    .as_ref()
                    .expect("the manifests of the difference");
                if self.manifest.as_ref() == Some(parent) {
                    self.apply_manifest(next);
                }
            }
        }
        let names: Vec<String> = self.epochs.keys().cloned().collect();
        for name in names {
            if !self.is_active(&name) {
                self.epochs.remove(&name);
            }
        }
    }

    fn apply_manifest(&mut self, next: &Manifest) {
        if next.replaces != self.version {
            return;
        }
        let south = next.services[0].upstreams.len() == 2;
        if self.version == 0 {
            let split = if south { 4 } else { 8 };
            self.owners = (0..8)
                .map(|shard| if shard < split { "north" } else { "south" }.to_owned())
                .collect();
        }
        if self.has_south && !south {
            self.former.insert("south".into(), vec!["up-2".into()]);
        }
        if south {
            self.former.remove("south");
        }
        self.has_south = south;
        self.manifest = Some(next.clone());
        self.version += 1;
    }

    fn apply_move(&mut self, moved: &Move) {
        let (from, to) = (&*moved.from.data_centre, &*moved.to.data_centre);
        let shard = moved.shards[0] as usize;
        let leads = self.epochs.get(from) == Some(&moved.epoch);
        let has_upstreams = to == "north" || self.has_south;
        let is_owned = self.owners.get(shard).is_some_and(|owner| owner == from);
        if self.version > 0 && leads && has_upstreams && is_owned {
            self.owners[shard] = to.to_owned();
        }
    }

    fn epoch(&self, name: &str) -> u64 {
        self.epochs.get(name).copied().unwrap_or(0)
    }

    fn is_active(&self, name: &str) -> bool {
        let in_manifest = self.version > 0 && (name == "north" || self.has_south);
        let owns = self.owners.iter().any(|owner| owner == name);
        in_manifest || owns || self.former.contains_key(name)
    }

    fn agrees(&self, state: &State) -> Result<(), TestCaseError> {
        prop_assert_eq!(self.version, state.version());
        prop_assert_eq!(self.manifest.as_ref(), state.manifest.as_deref());
        let epochs: BTreeMap<String, u64> = state
            .groups
            .iter()
            .map(|(group, current)| (group.data_centre.to_string(), current.epoch))
            .collect();
        prop_assert_eq!(&self.epochs, &epochs);
        let owners: Vec<String> = state
            .owners
            .get("calendar")
            .into_iter()
            .flat_map(|owners| owners.iter())
            .map(|owner| owner.data_centre.to_string())
            .collect();
        prop_assert_eq!(&self.owners, &owners);
        let former: BTreeMap<String, Vec<String>> = state
            .former
            .iter()
            .map(|(group, list)| {
                let names = list.iter().map(|upstream| upstream.name.to_string());
                (group.data_centre.to_string(), names.collect())
            })
            .collect();
        prop_assert_eq!(&self.former, &former);
        Ok(())
    }
}

#[test]
fn replay_agrees_with_the_reference() {
    let run = |steps: Vec<Step>| {
        let (mut state, mut reference, mut log) =
            (State::default(), Reference::default(), Vec::new());
        let mut last_epoch = 0;
        for (offset, step) in (0..).zip(&steps) {
            let logged = record_of(step, &state, &log);
            let before = state.clone();
            let outcome = state.apply(offset, &logged.record);
            let epochs = state.groups.values().map(|current| current.epoch);
            let newest = epochs.max().unwrap_or(0);
            reference.apply(&logged, newest);
            reference.agrees(&state)?;
            if outcome != Outcome::Applied {
                prop_assert!(before.agrees_with(&state));
            }
            if outcome == Outcome::Applied && matches!(logged.record.body, Body::Appoint(_)) {
                prop_assert!(newest > last_epoch, "an epoch was used twice");
                last_epoch = newest;
            }
            prop_assert!(state.version() >= before.version());
            log.push(logged);
        }
        Ok(())
    };
    runner(400).run(&steps(), run).expect("no case fails");
}

#[test]
fn joining_is_commutative_and_reverts_neither_state() {
    let run = |(one, other): (Vec<Step>, Vec<Step>)| {
        let replay = |steps: &[Step]| {
            let (mut state, mut log) = (State::default(), Vec::new());
            for (offset, step) in (0..).zip(steps) {
                let logged = record_of(step, &state, &log);
                state.apply(offset, &logged.record);
                log.push(logged);
            }
            state
        };
        let (one, other) = (replay(&one), replay(&other));
        let joined = one.join(&other);
        prop_assert!(joined.agrees_with(&other.join(&one)));
        prop_assert!(joined.agrees_with(&joined.join(&one)));
        prop_assert!(joined.agrees_with(&joined.join(&joined)));
        prop_assert_eq!(joined.version(), one.version().max(other.version()));
        for state in [&one, &other] {
            for (group, appointment) in &state.groups {
                let epoch = joined
                    .groups
                    .get(group)
                    .map_or(u64::MAX, |current| current.epoch);
                prop_assert!(epoch >= appointment.epoch);
            }
        }
        Ok(())
    };
    runner(400)
        .run(&(steps(), steps()), run)
        .expect("no case fails");
}

#[test]
fn of_two_differences_with_one_parent_the_first_wins() {
    let mut state = State::default();
    state.apply(0, &record("one", 1, Body::Manifest(simple(0))));
    let with_queue = |queue: u32| {
        let mut next = simple(1);
        next.services[0].limits.queue = queue;
        Body::publication(Some(&simple(0)), &next)
    };
    assert!(matches!(with_queue(9), Body::Difference(_)));
    let first = record("two", 1, with_queue(9));
    assert_eq!(state.apply(1, &first), Outcome::Applied);
    let second = record("three", 1, with_queue(8));
    assert_eq!(state.apply(2, &second), Outcome::Void);
    assert_eq!(state.apply(3, &first), Outcome::Repeated);
    let queue = state.manifest.expect("a manifest").services[0].limits.queue;
    assert_eq!(queue, 9);
}

#[test]
fn a_difference_that_gives_a_bad_manifest_is_void() {
    let mut state = State::default();
    state.apply(0, &record("one", 1, Body::Manifest(simple(0))));
    let mut bad = simple(1);
    bad.services[0].upstreams[0].slots = 0;
    let body = Body::publication(Some(&simple(0)), &bad);
    assert!(matches!(body, Body::Difference(_)));
    assert_eq!(state.apply(1, &record("one", 2, body)), Outcome::Void);
    assert_eq!(state.version(), 1);
}

#[test]
fn of_two_manifests_with_one_parent_the_first_wins() {
    let mut state = State::default();
    let mut other = simple(0);
    other.services[0].limits.queue = 9;
    let first = state.apply(0, &record("one", 1, Body::Manifest(simple(0))));
    let second = state.apply(1, &record("two", 1, Body::Manifest(other)));
    assert_eq!((first, second), (Outcome::Applied, Outcome::Void));
    assert_eq!(state.manifest.as_deref(), Some(&simple(0)));
}

#[test]
fn a_departing_group_stays_until_its_shards_moved_and_its_upstreams_retired() {
    let mut state = State::default();
    let south = group("south");
    let mut sequence = 0;
    let mut apply = |state: &mut State, body: Body| {
        sequence += 1;
        state.apply(sequence, &record("one", sequence, body))
    };
    apply(&mut state, Body::Manifest(simple(0)));
    apply(&mut state, appoint(&south, 0, "one"));
    let epoch = state.groups[&south].epoch;
    let only_north = vec![service("calendar", 8, vec![upstream(1, "north")])];
    apply(&mut state, Body::Manifest(manifest(1, only_north)));

    let departing = state.groups_in_force().pop().expect("two groups");
    assert!(departing.is_departing());
    assert_eq!(departing.former, [upstream(2, "south")]);
    let planned_moves = copperwell_keyspace::balance::plan(&state);
    assert_eq!(planned_moves.len(), 1);
    let moved = Move {
        service: planned_moves[0].service.clone(),
        shards: planned_moves[0].shards.clone(),
        from: planned_moves[0].from.clone(),
        epoch,
        to: planned_moves[0].to.clone(),
    };
    assert_eq!(apply(&mut state, Body::Move(moved)), Outcome::Applied);
    assert!(
        state.groups.contains_key(&south),
        "its upstream may still hold grants"
    );
    let retire = Retire {
        group: south.clone(),
        epoch,
        upstreams: vec!["up-2".into()],
    };
    assert_eq!(apply(&mut state, Body::Retire(retire)), Outcome::Applied);
    assert!(!state.groups.contains_key(&south));
    assert_eq!(state.groups_in_force().len(), 1);
}

#[test]
fn a_removed_service_comes_back_with_the_same_owners() {
    let mut state = State::default();
    state.apply(0, &record("one", 1, Body::Manifest(simple(0))));
    let before = state.owners.clone();
    let other = vec![service("stock", 4, vec![upstream(7, "north")])];
    state.apply(1, &record("one", 2, Body::Manifest(manifest(1, other))));
    state.apply(2, &record("one", 3, Body::Manifest(simple(2))));
    assert_eq!(state.owners["calendar"], before["calendar"]);
}

#[test_case(8 => Outcome::Applied; "same number")]
#[test_case(9 => Outcome::Void; "another number")]
fn the_number_of_shards_is_fixed(shards: u32) -> Outcome {
    let mut state = State::default();
    state.apply(0, &record("one", 1, Body::Manifest(simple(0))));
    let mut next = simple(1);
    next.services[0].shards = shards;
    state.apply(1, &record("one", 2, Body::Manifest(next)))
}
