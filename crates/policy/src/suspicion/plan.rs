//! Whom to probe, and who helps.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use super::{
    HELPERS, Liveness, PARTNERS_MAX, RING, SUSPECTS_MAX, Subject, Suspicion, Target, state::State,
};
use copperwell_keyspace::{DaemonName, DataCentreName, HashSet};
use rand::seq::IteratorRandom;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Time for which a daemon stays with the members that it chose at random.
const CHOICE: Duration = Duration::from_secs(30);

/// Rounds between two probes of a lost member, and of an address without a known member.
const RARE: u64 = 4;

/// Time after which a member that is gone or lost is forgotten.
const FORGET: Duration = Duration::from_mins(60);

/// A member of a data centre that is probed for a while.
#[derive(Debug, Clone)]
pub(super) struct Chosen {
    name: DaemonName,
    until: Instant,
}

impl Suspicion {
    /// Whom to probe in the next round.
    pub fn plan(&mut self, now: Instant) -> Vec<Target> {
        self.round += 1;
        self.forget(now);
        let mut names = self.successors();
        names.extend(self.partners_to_probe());
        names.extend(self.suspects());
        names.extend(self.chosen(now));
        if self.round.is_multiple_of(RARE) {
            names.extend(self.any(|state| state.liveness == Liveness::Lost));
        }
        let mut targets: Vec<Target> = Vec::new();
        for name in names {
            let target = self.states.get(&name).map(State::target);
            targets.extend(target.filter(|target| !targets.contains(target)));
        }
        targets.extend(self.unknown());
        targets
    }

    /// Whom to ask to probe a member that did not answer: members near it, else of this data centre.
    pub fn helpers(&mut self, subject: &Subject) -> Vec<SocketAddr> {
        let Some(state) = self.states.get(&subject.name) else {
            return Vec::new();
        };
        let there = state.member.data_centre.clone();
        let mine = self.me.data_centre.clone();
        let able = |state: &&State, centre: &DataCentreName| {
            state.liveness == Liveness::Live
                && state.member.name != subject.name
                && state.member.data_centre == *centre
        };
        let mut helpers = Vec::new();
        for centre in [there, mine] {
            let able = self.states.values().filter(|state| able(state, &centre));
            let able = able.map(|state| state.member.control);
            helpers.extend(able.sample(&mut self.random, HELPERS));
        }
        helpers.dedup();
        helpers.truncate(HELPERS);
        helpers
    }

    fn forget(&mut self, now: Instant) {
        let before = self.states.len();
        self.states
            .retain(|_, state| state.liveness < Liveness::Lost || now < state.since + FORGET);
        if self.states.len() < before {
            self.revision += 1;
            self.news.retain(|name, _| self.states.contains_key(name));
        }
    }

    /// The next members on the ring of this daemon's data centre. The ring is ordered by hash, so
    /// that VMs that fail together are seldom neighbours.
    fn successors(&self) -> Vec<DaemonName> {
        let place = |name: &DaemonName| xxh3_64(name.as_bytes());
        let mine = place(&self.me.name);
        let here = self.states.values().filter(|state| {
            state.member.data_centre == self.me.data_centre && state.liveness < Liveness::Lost
        });
        let mut ring: Vec<(u64, &DaemonName)> = here
            .map(|state| {
                let name = &state.member.name;
                (place(name).wrapping_sub(mine), name)
            })
            .collect();
        ring.sort_unstable();
        let next = ring.into_iter().take(RING);
        next.map(|(_, name)| name.clone()).collect()
    }

    fn partners_to_probe(&self) -> Vec<DaemonName> {
        let partners = self.partners.iter().filter(|name| {
            let state = self.states.get(*name);
            state.is_some_and(|state| state.liveness < Liveness::Gone)
        });
        partners.take(PARTNERS_MAX).cloned().collect()
    }

    /// Members that somebody thinks lost, lost ones that seem to live, and such as left the list and were not heard since.
    fn suspects(&mut self) -> Vec<DaemonName> {
        let suspects = self.states.values().filter(|state| {
            state.liveness == Liveness::Suspect
                || state.doubted
                || (state.liveness == Liveness::Live && state.unlisted)
        });
        let names = suspects.map(|state| state.member.name.clone());
        names.sample(&mut self.random, SUSPECTS_MAX)
    }

    /// In turn one random member of this data centre, and of one of the others.
    fn chosen(&mut self, now: Instant) -> Option<DaemonName> {
        let mine = self.me.data_centre.clone();
        let centre = if self.round.is_multiple_of(2) {
            mine
        } else {
            self.other_centre()?
        };
        let kept = self.chosen.get(&centre).filter(|chosen| {
            let state = self.states.get(&chosen.name);
            now < chosen.until && state.is_some_and(|state| state.liveness == Liveness::Live)
        });
        if let Some(chosen) = kept {
            return Some(chosen.name.clone());
        }
        let name = self
            .any(|state| state.member.data_centre == centre && state.liveness < Liveness::Lost)?;
        let chosen = Chosen {
            name: name.clone(),
            until: now + CHOICE,
        };
        self.chosen.insert(centre, chosen);
        Some(name)
    }

    /// The data centre whose turn it is.
    fn other_centre(&self) -> Option<DataCentreName> {
        let centres = self.states.values().map(|state| &state.member.data_centre);
        let others = centres.filter(|centre| **centre != self.me.data_centre);
        let others: BTreeSet<&DataCentreName> = others.collect();
        let turn = usize::try_from(self.round / 2).ok()?;
        let turn = turn.checked_rem(others.len())?;
        others.into_iter().nth(turn).cloned()
    }

    fn any(&mut self, matches: impl Fn(&State) -> bool) -> Option<DaemonName> {
        let matching = self.states.values().filter(|state| matches(state));
        let state = matching.choose(&mut self.random)?;
        Some(state.member.name.clone())
    }

    /// An address where a member may be that is not known yet: each round while nobody is known,
    /// seldom after that.
    fn unknown(&mut self) -> Vec<Target> {
        if !self.states.is_empty() && !self.round.is_multiple_of(RARE) {
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
        let addresses = addresses.sample(&mut self.random, RING);
        let targets = addresses.into_iter().map(|control| Target {
            control,
            subject: None,
        });
        targets.collect()
    }
}
