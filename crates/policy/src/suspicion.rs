//! Who is alive: a failure detector whose cost for one daemon does not grow with the fleet.
//!
//! Each daemon probes its successors on a ring of its own data centre, its partners, and one member
//! each of the other data centres in turn. A member that answers neither directly nor to helpers is
//! suspect, and lost if it stays so. Rumours spread what was found, but nobody is taken for lost on
//! a rumour alone: whoever hears one probes first.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use copperwell_keyspace::{DaemonName, DataCentreName, HashSet, Incarnation, Member};
use rand::{SeedableRng, rngs::StdRng, seq::IteratorRandom};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

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

/// Time for which direct evidence outranks rumours.
const FRESH: Duration = Duration::from_secs(1);

/// Time for which a daemon stays with the members that it chose at random.
const CHOICE: Duration = Duration::from_secs(30);

/// Rounds between two probes of a lost member, and of an address without a known member.
const RARE: u64 = 4;

/// Time after which a member that is gone or lost is forgotten.
const FORGET: Duration = Duration::from_mins(60);

/// Times that a rumour is passed on, for each doubling of the members.
const TELL: u32 = 3;

/// Whether a daemon is thought alive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Liveness {
    /// It answers.
    Live,
    /// It did not answer lately, or somebody says so.
    Suspect,
    /// It has not answered for long enough to be taken for lost.
    Lost,
    /// It does not answer, and the platform no longer has its VM.
    Gone,
}

/// What one daemon says of another, or of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumour {
    /// Whom it is about.
    pub member: Member,
    /// How often that member has refuted its loss in this run.
    pub refutation: u32,
    /// Whether it wants to leave.
    pub leaving: bool,
    /// What is said.
    pub liveness: Liveness,
}

/// What is known of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The member.
    pub member: Member,
    /// Whether it is thought alive.
    pub liveness: Liveness,
    /// Whether it, or the platform's list, says that it is leaving.
    pub leaving: bool,
}

/// A VM, as the platform's list has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vm {
    /// The daemon that runs on it.
    pub name: DaemonName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Where the daemon takes control calls.
    pub control: SocketAddr,
    /// Whether the list says that it is leaving.
    pub leaving: bool,
}

/// Whom to probe.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Target {
    /// Where it takes control calls.
    pub control: SocketAddr,
    /// The run that is probed; `None` for an address from settings or the platform's list.
    pub subject: Option<Subject>,
}

/// One run of a member.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Subject {
    /// Its name.
    pub name: DaemonName,
    /// The run.
    pub incarnation: Incarnation,
}

/// A change in who is alive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A member is taken for lost.
    Lost(Member),
    /// A new run of a member took the place of an old one.
    Replaced {
        /// The old run.
        old: Member,
        /// The new run.
        new: Member,
    },
    /// A member that was taken for lost answers again, or a new one appeared.
    Back(Member),
    /// A member does not answer, and the platform no longer has its VM.
    Gone(Member),
}

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

/// What is known of another daemon.
#[derive(Debug, Clone)]
struct State {
    member: Member,
    refutation: u32,
    leaving: bool,
    liveness: Liveness,
    /// When `liveness` last changed.
    since: Instant,
    /// When it last gave a sign of life to this daemon, or through a helper.
    heard: Option<Instant>,
    /// When this daemon's own probes failed, helpers' included.
    failed: Option<Instant>,
    /// Is lost here, but says that it lives, or others do, so it is probed again.
    doubted: bool,
    /// Was in the platform's list and no longer is.
    unlisted: bool,
}

#[derive(Debug, Clone, Copy)]
struct Digest {
    revision: u64,
    value: u64,
}

/// A member of a data centre that is probed for a while.
#[derive(Debug, Clone)]
struct Chosen {
    name: DaemonName,
    until: Instant,
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

    /// Takes in what another daemon says.
    pub fn hear(&mut self, now: Instant, rumour: Rumour) -> Vec<Change> {
        if rumour.member.name == self.me.name {
            self.refute(&rumour);
            return Vec::new();
        }
        if !self.admits(&rumour.member) {
            return Vec::new();
        }
        self.adopt(now, rumour, Evidence::Rumour)
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

    /// Lets time pass: suspects that stay silent are lost, and lost ones without a VM gone.
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
            if state.liveness == Liveness::Lost && state.unlisted {
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

    /// What to tell a member: its own loss first, so that it can refute it, then the news that were
    /// passed on least.
    pub fn rumours(&mut self, to: Option<&DaemonName>) -> Vec<Rumour> {
        let often = TELL * (usize::BITS - self.states.len().leading_zeros());
        let about = to.and_then(|name| self.states.get(name));
        let about = about.filter(|state| state.liveness > Liveness::Live);
        let mut rumours: Vec<Rumour> = about.map(State::rumour).into_iter().collect();
        let mut news: Vec<(&DaemonName, &mut u32)> = self.news.iter_mut().collect();
        news.sort_by_key(|(_, told)| **told);
        for (name, told) in news.into_iter().take(RUMOURS_MAX - rumours.len()) {
            *told += 1;
            rumours.extend(self.states.get(name).map(State::rumour));
        }
        self.news.retain(|_, told| *told < often);
        rumours
    }

    /// Everything that is known, for a daemon that asks for it.
    #[must_use]
    pub fn all(&self) -> Vec<Rumour> {
        let others = self.states.values().map(State::rumour);
        std::iter::once(self.me()).chain(others).collect()
    }

    /// Equal for daemons that think the same members alive.
    pub fn digest(&mut self) -> u64 {
        if let Some(known) = self.digest.filter(|known| known.revision == self.revision) {
            return known.value;
        }
        let live = self.states.values();
        let live = live.filter(|state| state.liveness <= Liveness::Suspect);
        let live = live.map(|state| digest_of(&state.member));
        let value = live.fold(digest_of(&self.me), |all, one| all ^ one);
        self.digest = Some(Digest {
            revision: self.revision,
            value,
        });
        value
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

    /// Outbids what others say of this daemon's present run.
    fn refute(&mut self, rumour: &Rumour) {
        if rumour.member.incarnation != self.me.incarnation {
            return;
        }
        let doubted = rumour.liveness > Liveness::Live;
        let least = rumour.refutation.saturating_add(u32::from(doubted));
        self.refutation = self.refutation.max(least);
    }

    /// Whether there is room to know the member.
    fn admits(&self, member: &Member) -> bool {
        self.states.contains_key(&member.name) || self.states.len() < MEMBERS_MAX
    }

    fn adopt(&mut self, now: Instant, rumour: Rumour, evidence: Evidence) -> Vec<Change> {
        let Some(state) = self.states.get_mut(&rumour.member.name) else {
            return self.add(now, rumour);
        };
        if rumour.member.incarnation < state.member.incarnation {
            return Vec::new();
        }
        if rumour.member.incarnation > state.member.incarnation {
            let old = state.member.clone();
            let new = rumour.member.clone();
            self.states.remove(&old.name);
            let mut changes = vec![Change::Replaced { old, new }];
            let added = self.add(now, rumour).into_iter();
            changes.extend(added.filter(|change| !matches!(change, Change::Back(_))));
            return changes;
        }
        let newer = rumour.refutation > state.refutation;
        let before = state.liveness;
        let next = match (evidence, rumour.liveness) {
            (Evidence::Direct, _) => Liveness::Live,
            (Evidence::Rumour, Liveness::Live) if newer && state.is_only_rumoured() => {
                Liveness::Live
            }
            (Evidence::Rumour, Liveness::Live) => {
                state.doubted = before == Liveness::Lost;
                before
            }
            (Evidence::Rumour, _) if state.is_fresh(now) => before,
            (Evidence::Rumour, _) => before.max(Liveness::Suspect),
        };
        state.refutation = state.refutation.max(rumour.refutation);
        let leaves = rumour.leaving && !state.leaving;
        state.leaving |= rumour.leaving;
        let name = rumour.member.name;
        if next == before {
            if leaves {
                self.note_change(&name);
            } else if newer {
                self.news.insert(name, 0);
            }
            return Vec::new();
        }
        if evidence == Evidence::Direct && !newer {
            // Outbids the doubts that were passed on, which the member may never hear of.
            state.refutation = state.refutation.saturating_add(1);
        }
        state.set(now, next);
        let back = next == Liveness::Live && before >= Liveness::Lost;
        let back = back.then(|| Change::Back(state.member.clone()));
        self.note_change(&name);
        back.into_iter().collect()
    }

    /// Notes that what is published and passed on of a member changed.
    fn note_change(&mut self, name: &DaemonName) {
        self.revision += 1;
        self.news.insert(name.clone(), 0);
    }

    fn add(&mut self, now: Instant, rumour: Rumour) -> Vec<Change> {
        if rumour.liveness >= Liveness::Lost {
            return Vec::new();
        }
        let member = rumour.member.clone();
        let state = State {
            member: rumour.member,
            refutation: rumour.refutation,
            leaving: rumour.leaving,
            liveness: rumour.liveness,
            since: now,
            heard: None,
            failed: None,
            doubted: false,
            unlisted: false,
        };
        self.states.insert(member.name.clone(), state);
        self.note_change(&member.name);
        vec![Change::Back(member)]
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

/// How something became known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Evidence {
    /// The member itself was heard.
    Direct,
    /// Another daemon says so.
    Rumour,
}

impl State {
    fn set(&mut self, now: Instant, liveness: Liveness) {
        self.liveness = liveness;
        self.since = now;
        self.doubted = false;
        if liveness != Liveness::Suspect {
            self.failed = None;
        }
    }

    /// Whether only others doubt the member.
    fn is_only_rumoured(&self) -> bool {
        self.liveness == Liveness::Suspect && self.failed.is_none()
    }

    fn is_fresh(&self, now: Instant) -> bool {
        self.heard.is_some_and(|heard| now < heard + FRESH)
    }

    fn rumour(&self) -> Rumour {
        Rumour {
            member: self.member.clone(),
            refutation: self.refutation,
            leaving: self.leaving,
            liveness: self.liveness,
        }
    }

    fn target(&self) -> Target {
        Target {
            control: self.member.control,
            subject: Some(Subject {
                name: self.member.name.clone(),
                incarnation: self.member.incarnation,
            }),
        }
    }
}

fn digest_of(member: &Member) -> u64 {
    let name = xxh3_64(member.name.as_bytes());
    xxh3_64(&[name.to_le_bytes(), member.incarnation.to_le_bytes()].concat())
}
