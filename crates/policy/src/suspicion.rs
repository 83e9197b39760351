//! Who is alive: a failure detector whose cost for one daemon does not grow with the fleet.
//!
//! Each daemon probes its successors on a ring of its own data centre, its partners, and one member
//! each of the other data centres in turn. A member that answers neither directly nor to helpers is
//! suspect, and lost if it stays so. Rumours spread what was found, but nobody is taken for lost on
//! a rumour alone: whoever hears one probes first.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use copperwell_keyspace::{DaemonName, DataCentreName, HashSet, Member};
use plan::Chosen;
use rand::{SeedableRng, rngs::StdRng};
use state::{Evidence, State};
use tokio::time::Instant;

pub use report::{Change, Liveness, Report, Rumour, Subject, Target, Vm};

mod gossip;
mod plan;
mod report;
mod state;

/// Successors on the ring that a daemon probes in each round.
pub const RING: usize = 2;

/// Partners that a daemon probes in each round.
pub const PARTNERS_MAX: usize = 16;

/// Suspects that a daemon probes in each round besides.
pub const SUSPECTS_MAX: usize = 8;

/// Members that probe a silent one for a daemon.
pub const HELPERS: usize = 2;

/// Time for which a suspect may still answer before it is lost.
pub const CONFIRM: Duration = Duration::from_millis(300);

/// Rumours in one message.
pub const RUMOURS_MAX: usize = 8;

/// Members known at a time.
pub const MEMBERS_MAX: usize = 4096;

/// The failure detector of one daemon.
///
/// The maps are ordered, so that a random seed fixes what it does.
#[derive(Debug)]
pub struct Suspicion {
    me: Member,
    refutation: u32,
    leaving: bool,
    seeds: Vec<SocketAddr>,
    partners: HashSet<DaemonName>,
    vms: BTreeMap<DaemonName, Vm>,
    states: BTreeMap<DaemonName, State>,
    /// Members of whom there is something new, and how often that was passed on.
    news: BTreeMap<DaemonName, u32>,
    chosen: BTreeMap<DataCentreName, Chosen>,
    round: u64,
    revision: u64,
    /// The digest of the revision for which it was worked out.
    digest: Option<Digest>,
    random: StdRng,
}

#[derive(Debug, Clone, Copy)]
struct Digest {
    revision: u64,
    value: u64,
}

impl Suspicion {
    /// Starts out with this daemon and the control addresses of some others.
    #[must_use]
    pub fn new(me: Member, seeds: Vec<SocketAddr>, random_seed: u64) -> Self {
        Self {
            me,
            refutation: 0,
            leaving: false,
            seeds,
            partners: HashSet::default(),
            vms: BTreeMap::new(),
            states: BTreeMap::new(),
            news: BTreeMap::new(),
            chosen: BTreeMap::new(),
            round: 0,
            revision: 0,
            digest: None,
            random: StdRng::seed_from_u64(random_seed),
        }
    }

    /// What this daemon says of itself.
    #[must_use]
    pub fn me(&self) -> Rumour {
        Rumour {
            member: self.me.clone(),
            refutation: self.refutation,
            leaving: self.leaving,
            liveness: Liveness::Live,
        }
    }

    /// Changes with every change of [`Suspicion::reports`].
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Probes these members in each round, at most [`PARTNERS_MAX`] of them.
    pub fn set_partners(&mut self, partners: HashSet<DaemonName>) {
        self.partners = partners;
    }

    /// Says from here on that this daemon wants to leave.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.revision += 1;
    }

    /// Notes that a member sent something of its own accord.
    ///
    /// That shows one direction only: a member that cannot be asked may be unable to serve those
    /// who need it. So it makes nobody live that this daemon's own probes do not reach.
    pub fn spoke(&mut self, now: Instant, own: Rumour) -> Vec<Change> {
        if own.member.name == self.me.name || !self.admits(&own.member) {
            return Vec::new();
        }
        self.adopt(now, own, Evidence::Rumour)
    }

    /// Notes that a member answered, this daemon or a helper, with what it says of itself.
    pub fn heard(&mut self, now: Instant, own: Rumour) -> Vec<Change> {
        if own.member.name == self.me.name || !self.admits(&own.member) {
            return Vec::new();
        }
        let name = own.member.name.clone();
        let incarnation = own.member.incarnation;
        let changes = self.adopt(now, own, Evidence::Direct);
        if let Some(state) = self.states.get_mut(&name)
            && state.member.incarnation == incarnation
        {
            state.heard = Some(now);
            state.failed = None;
        }
        changes
    }

    /// Notes that a member answered neither this daemon nor helpers in a probe begun at `begun`.
    pub fn failed(&mut self, now: Instant, begun: Instant, subject: &Subject) -> Vec<Change> {
        let Some(state) = self.states.get_mut(&subject.name) else {
            return Vec::new();
        };
        let heard_since = state.heard.is_some_and(|heard| heard >= begun);
        let other = state.member.incarnation != subject.incarnation;
        if heard_since || other || state.liveness > Liveness::Suspect {
            return Vec::new();
        }
        state.failed.get_or_insert(now);
        if state.liveness == Liveness::Live {
            state.set(now, Liveness::Suspect);
            self.note_change(&subject.name);
        }
        self.tick(now)
    }

    /// Takes in the platform's list, which lags.
    pub fn list(&mut self, now: Instant, vms: Vec<Vm>) -> Vec<Change> {
        let vms = vms.into_iter().map(|vm| (vm.name.clone(), vm));
        let vms: BTreeMap<DaemonName, Vm> = vms.collect();
        if vms != self.vms {
            self.revision += 1;
        }
        for state in self.states.values_mut() {
            let name = &state.member.name;
            if vms.contains_key(name) {
                state.unlisted = false;
            } else if self.vms.contains_key(name) {
                state.unlisted = true;
            }
        }
        self.vms = vms;
        self.tick(now)
    }

    /// Lets time pass: suspects that stay silent are lost, and lost ones without a VM are gone.
    pub fn tick(&mut self, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        let mut changed = Vec::new();
        for state in self.states.values_mut() {
            let listed = self.vms.get(&state.member.name);
            let leaving = state.leaving || listed.is_some_and(|vm| vm.leaving);
            let confirm = if leaving || state.unlisted {
                Duration::ZERO
            } else {
                CONFIRM
            };
            let overdue = state.failed.is_some_and(|failed| now >= failed + confirm);
            if state.liveness == Liveness::Suspect && overdue {
                state.set(now, Liveness::Lost);
                changes.push(Change::Lost(state.member.clone()));
                changed.push(state.member.name.clone());
            }
            if state.liveness == Liveness::Lost && state.has_left() {
                state.set(now, Liveness::Gone);
                changes.push(Change::Gone(state.member.clone()));
                changed.push(state.member.name.clone());
            }
        }
        for name in changed {
            self.note_change(&name);
        }
        changes
    }

    /// The members, this daemon included.
    pub fn reports(&self) -> impl Iterator<Item = Report> {
        let others = self.states.values().map(|state| {
            let listed = self.vms.get(&state.member.name);
            Report {
                member: state.member.clone(),
                liveness: state.liveness,
                leaving: state.leaving || listed.is_some_and(|vm| vm.leaving),
            }
        });
        let me = Report {
            member: self.me.clone(),
            liveness: Liveness::Live,
            leaving: self.leaving,
        };
        others.chain(std::iter::once(me))
    }
}
