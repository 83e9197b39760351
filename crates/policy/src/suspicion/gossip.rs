//! What daemons tell one another, and what is made of it.

use super::{
    Change, Digest, Liveness, MEMBERS_MAX, RUMOURS_MAX, Rumour, Suspicion,
    state::{Evidence, State, digest_of},
};
use copperwell_keyspace::{DaemonName, Member};
use tokio::time::Instant;

/// Times that a rumour is passed on, for each doubling of the members.
const TELL: u32 = 3;

impl Suspicion {
    /// Takes in what another daemon says.
    pub fn hear(&mut self, now: Instant, rumour: Rumour) -> Vec<Change> {
        if rumour.member.name == self.me.name {
            self.refute(&rumour);
            return Vec::new();
        }
        if !self.admits(&rumour.member) {
            return Vec::new();
        }
        let mut changes = self.adopt(now, rumour, Evidence::Rumour);
        changes.extend(self.tick(now));
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
    pub(super) fn admits(&self, member: &Member) -> bool {
        self.states.contains_key(&member.name) || self.states.len() < MEMBERS_MAX
    }

    pub(super) fn adopt(
        &mut self,
        now: Instant,
        rumour: Rumour,
        evidence: Evidence,
    ) -> Vec<Change> {
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
        state.gone_elsewhere = match evidence {
            Evidence::Direct => false,
            Evidence::Rumour => state.gone_elsewhere || rumour.liveness == Liveness::Gone,
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
    pub(super) fn note_change(&mut self, name: &DaemonName) {
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
            gone_elsewhere: false,
        };
        self.states.insert(member.name.clone(), state);
        self.note_change(&member.name);
        vec![Change::Back(member)]
    }
}
