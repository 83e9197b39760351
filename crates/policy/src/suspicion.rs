//! A gossip failure detector whose cost for one daemon does not grow with the fleet.
//!
//! Each daemon probes its successors on a ring of its own data centre, its partners, and in
//! alternate rounds a random member of its own and of another data centre. A member that answers
//! neither the daemon nor its helpers becomes suspect, and lost if it stays silent. Gossip spreads
//! these observations, but no member is declared lost because of a rumour alone: a daemon that
//! receives one probes the member first.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use copperwell_keyspace::{DaemonName, DataCentreName, HashSet, Member};
use plan::RandomTarget;
use rand::{SeedableRng, rngs::StdRng};
use state::{Evidence, State};
use tokio::time::Instant;

pub use report::{Change, Liveness, Report, Rumour, Subject, Target, Vm};

mod gossip;
mod plan;
mod report;
mod state;

/// Number of successors on the ring that a daemon probes in each round.
pub const SUCCESSORS: usize = 2;

/// Maximum number of partners that a daemon probes in each round.
pub const PARTNERS_MAX: usize = 16;

/// Maximum number of suspects that a daemon probes in each round.
pub const SUSPECTS_MAX: usize = 8;

/// Maximum number of members that are asked to probe an unresponsive one on behalf of a daemon.
pub const HELPERS_MAX: usize = 2;

/// Time for which a suspect may still answer before it is lost.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum number of rumours in one message, except in a complete exchange.
pub const RUMOURS_MAX: usize = 8;

/// Maximum number of other members that are tracked at a time.
pub const MEMBERS_MAX: usize = 4096;

/// The failure detector of one daemon.
///
/// The maps are ordered, so that a random seed makes it deterministic.
#[derive(Debug)]
pub struct FailureDetector {
    me: Member,
    refutation: u32,
    leaving: bool,
    seeds: Vec<SocketAddr>,
    partners: HashSet<DaemonName>,
    vms: BTreeMap<DaemonName, Vm>,
    states: BTreeMap<DaemonName, State>,
    /// Members with updates to gossip, and how many times each update was sent.
    updates: BTreeMap<DaemonName, u32>,
    random_targets: BTreeMap<DataCentreName, RandomTarget>,
    round: u64,
    revision: u64,
    /// The digest that was computed last.
    digest: Option<Digest>,
    random: StdRng,
}

#[derive(Debug, Clone, Copy)]
struct Digest {
    revision: u64,
    value: u64,
}

impl FailureDetector {
    /// Creates a detector that knows this daemon and the control addresses of some others.
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
            updates: BTreeMap::new(),
            random_targets: BTreeMap::new(),
            round: 0,
            revision: 0,
            digest: None,
            random: StdRng::seed_from_u64(random_seed),
        }
    }

    /// Returns the rumour of this daemon about itself.
    #[must_use]
    pub fn me(&self) -> Rumour {
        Rumour {
            member: self.me.clone(),
            refutation: self.refutation,
            leaving: self.leaving,
            liveness: Liveness::Live,
        }
    }

    /// Returns a number that changes with every change of [`FailureDetector::reports`].
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Sets the members that are probed in each round, at most [`PARTNERS_MAX`] of them.
    pub fn set_partners(&mut self, partners: HashSet<DaemonName>) {
        self.partners = partners;
    }

    /// Announces from now on that this daemon is leaving.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.revision += 1;
    }

    /// Records an unsolicited message of a member.
    ///
    /// It proves one direction of the connection only: a member that can't be reached by probes may
    /// also be unable to serve requests. So it never makes a member live that this daemon's own
    /// probes don't reach.
    pub fn record_message(&mut self, now: Instant, own: Rumour) -> Vec<Change> {
        if own.member.name == self.me.name || !self.has_room_for(&own.member) {
            return Vec::new();
        }
        self.apply(now, own, Evidence::Rumour)
    }

    /// Records that a member answered this daemon or a helper with its rumour about itself.
    pub fn record_answer(&mut self, now: Instant, own: Rumour) -> Vec<Change> {
        if own.member.name == self.me.name || !self.has_room_for(&own.member) {
            return Vec::new();
        }
        let name = own.member.name.clone();
        let incarnation = own.member.incarnation;
        let changes = self.apply(now, own, Evidence::Direct);
        if let Some(state) = self.states.get_mut(&name)
            && state.member.incarnation == incarnation
        {
            state.last_answer = Some(now);
            state.failed_at = None;
        }
        changes
    }

    /// Records that a probe that began at `started` failed, including the probes of helpers.
    pub fn record_failed_probe(
        &mut self,
        now: Instant,
        started: Instant,
        subject: &Subject,
    ) -> Vec<Change> {
        let Some(state) = self.states.get_mut(&subject.name) else {
            return Vec::new();
        };
        let answered_since = state
            .last_answer
            .is_some_and(|answered| answered >= started);
        let is_other_incarnation = state.member.incarnation != subject.incarnation;
        if answered_since || is_other_incarnation || state.liveness > Liveness::Suspect {
            return Vec::new();
        }
        state.failed_at.get_or_insert(now);
        if state.liveness == Liveness::Live {
            state.set_liveness(now, Liveness::Suspect);
            self.record_change(&subject.name);
        }
        self.tick(now)
    }

    /// Updates the platform's list of VMs, which lags.
    pub fn update_vms(&mut self, now: Instant, vms: Vec<Vm>) -> Vec<Change> {
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

    /// Applies timeouts: silent suspects become lost, and lost members without a VM become gone.
    pub fn tick(&mut self, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        let mut changed = Vec::new();
        for state in self.states.values_mut() {
            let listed = self.vms.get(&state.member.name);
            let leaving = state.leaving || listed.is_some_and(|vm| vm.leaving);
            let timeout = if leaving || state.unlisted {
                Duration::ZERO
            } else {
                SUSPICION_TIMEOUT
            };
            let has_timed_out = state
                .failed_at
                .is_some_and(|failed_at| now >= failed_at + timeout);
            if state.liveness == Liveness::Suspect && has_timed_out {
                state.set_liveness(now, Liveness::Lost);
                changes.push(Change::Lost(state.member.clone()));
                changed.push(state.member.name.clone());
            }
            if state.liveness == Liveness::Lost && state.has_left_list() {
                state.set_liveness(now, Liveness::Gone);
                changes.push(Change::Gone(state.member.clone()));
                changed.push(state.member.name.clone());
            }
        }
        for name in changed {
            self.record_change(&name);
        }
        changes
    }

    /// Returns the state of all members, including this daemon.
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
