//! The selection of probe targets and helpers.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use super::{
    FailureDetector, HELPERS_MAX, Liveness, PARTNERS_MAX, SUCCESSORS, SUSPECTS_MAX, Subject,
    Target, state::State,
};
use copperwell_keyspace::{DaemonName, DataCentreName, HashSet};
use rand::seq::IteratorRandom;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Time for which a daemon keeps probing a random target.
const RANDOM_TARGET_TIME: Duration = Duration::from_secs(30);

/// One round in this many probes a lost member, and addresses without a known member.
const RARE_PROBE_ROUNDS: u64 = 4;

/// Time after which a lost or gone member is removed.
const REMOVE_AFTER: Duration = Duration::from_mins(60);

/// A random member of a data centre that is probed for a while.
#[derive(Debug, Clone)]
pub(super) struct RandomTarget {
    name: DaemonName,
    until: Instant,
}

impl FailureDetector {
    /// Starts the next round and returns the targets to probe in it.
    pub fn plan(&mut self, now: Instant) -> Vec<Target> {
        self.round += 1;
        self.remove_old(now);
        let mut names = self.successors();
        names.extend(self.partners_to_probe());
        names.extend(self.suspects());
        names.extend(self.random_target(now));
        if self.round.is_multiple_of(RARE_PROBE_ROUNDS) {
            names.extend(self.random_member(|state| state.liveness == Liveness::Lost));
        }
        let mut targets: Vec<Target> = Vec::new();
        for name in names {
            let target = self.states.get(&name).map(State::target);
            targets.extend(target.filter(|target| !targets.contains(target)));
        }
        targets.extend(self.unknown_addresses());
        targets
    }

    /// Returns members to ask for a probe of one that did not answer, preferably of its data
    /// centre, else of this one.
    pub fn helpers(&mut self, subject: &Subject) -> Vec<SocketAddr> {
        let Some(state) = self.states.get(&subject.name) else {
            return Vec::new();
        };
        let remote = state.member.data_centre.clone();
        let local = self.me.data_centre.clone();
        let is_eligible = |state: &&State, data_centre: &DataCentreName| {
            state.liveness == Liveness::Live
                && state.member.name != subject.name
                && state.member.data_centre == *data_centre
        };
        let mut helpers = Vec::new();
        for data_centre in [remote, local] {
            let eligible = self
                .states
                .values()
                .filter(|state| is_eligible(state, &data_centre));
            let eligible = eligible.map(|state| state.member.control);
            helpers.extend(eligible.sample(&mut self.random, HELPERS_MAX));
        }
        helpers.dedup();
        helpers.truncate(HELPERS_MAX);
        helpers
    }

    /// Removes members that have been lost or gone for long.
    fn remove_old(&mut self, now: Instant) {
        let before = self.states.len();
        self.states.retain(|_, state| {
            state.liveness < Liveness::Lost || now < state.changed_at + REMOVE_AFTER
        });
        if self.states.len() < before {
            self.revision += 1;
            self.updates
                .retain(|name, _| self.states.contains_key(name));
        }
    }

    /// Returns the next members on the ring of this data centre.
    ///
    /// The ring is ordered by hash, so that VMs that fail together are seldom neighbours.
    fn successors(&self) -> Vec<DaemonName> {
        let position = |name: &DaemonName| xxh3_64(name.as_bytes());
        let own_position = position(&self.me.name);
        let local = self.states.values().filter(|state| {
            state.member.data_centre == self.me.data_centre && state.liveness < Liveness::Lost
        });
        let mut ring: Vec<(u64, &DaemonName)> = local
            .map(|state| {
                let name = &state.member.name;
                (position(name).wrapping_sub(own_position), name)
            })
            .collect();
        ring.sort_unstable();
        let next = ring.into_iter().take(SUCCESSORS);
        next.map(|(_, name)| name.clone()).collect()
    }

    fn partners_to_probe(&self) -> Vec<DaemonName> {
        let partners = self.partners.iter().filter(|name| {
            let state = self.states.get(*name);
            state.is_some_and(|state| state.liveness < Liveness::Gone)
        });
        partners.take(PARTNERS_MAX).cloned().collect()
    }

    /// Returns members whose liveness is in doubt: suspects, lost ones that a rumour says are live,
    /// and live ones that have left the platform's list.
    fn suspects(&mut self) -> Vec<DaemonName> {
        let suspects = self.states.values().filter(|state| {
            state.liveness == Liveness::Suspect
                || state.disputed
                || (state.liveness == Liveness::Live && state.unlisted)
        });
        let names = suspects.map(|state| state.member.name.clone());
        names.sample(&mut self.random, SUSPECTS_MAX)
    }

    /// Returns a random member, in alternate rounds of this data centre and of one of the others.
    fn random_target(&mut self, now: Instant) -> Option<DaemonName> {
        let local = self.me.data_centre.clone();
        let data_centre = if self.round.is_multiple_of(2) {
            local
        } else {
            self.other_data_centre()?
        };
        let current = self.random_targets.get(&data_centre).filter(|target| {
            let state = self.states.get(&target.name);
            now < target.until && state.is_some_and(|state| state.liveness == Liveness::Live)
        });
        if let Some(target) = current {
            return Some(target.name.clone());
        }
        let name = self.random_member(|state| {
            state.member.data_centre == data_centre && state.liveness < Liveness::Lost
        })?;
        let target = RandomTarget {
            name: name.clone(),
            until: now + RANDOM_TARGET_TIME,
        };
        self.random_targets.insert(data_centre, target);
        Some(name)
    }

    /// Returns one of the other data centres, which take turns.
    fn other_data_centre(&self) -> Option<DataCentreName> {
        let data_centres = self.states.values().map(|state| &state.member.data_centre);
        let others = data_centres.filter(|name| **name != self.me.data_centre);
        let others: BTreeSet<&DataCentreName> = others.collect();
        let index = usize::try_from(self.round / 2).ok()?;
        let index = index.checked_rem(others.len())?;
        others.into_iter().nth(index).cloned()
    }

    fn random_member(&mut self, matches: impl Fn(&State) -> bool) -> Option<DaemonName> {
        let matching = self.states.values().filter(|state| matches(state));
        let state = matching.choose(&mut self.random)?;
        Some(state.member.name.clone())
    }

    /// Returns addresses without a known member: in each round while no member is known, and rarely
    /// after that.
    fn unknown_addresses(&mut self) -> Vec<Target> {
        if !self.states.is_empty() && !self.round.is_multiple_of(RARE_PROBE_ROUNDS) {
            return Vec::new();
        }
        let known: HashSet<SocketAddr> = self
            .states
            .values()
            .filter(|state| state.liveness < Liveness::Lost)
            .map(|state| state.member.control)
            .collect();
        let listed = self.vms.values().filter(|vm| !vm.leaving);
        let addresses = self
            .seeds
            .iter()
            .copied()
            .chain(listed.map(|vm| vm.control))
            .filter(|address| *address != self.me.control && !known.contains(address));
        let addresses = addresses.sample(&mut self.random, SUCCESSORS);
        let targets = addresses.into_iter().map(|control| Target {
            control,
            subject: None,
        });
        targets.collect()
    }
}
