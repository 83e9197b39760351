//! The exchange of rumours between daemons, and their effect.

use super::{
    Change, Digest, FailureDetector, Liveness, MEMBERS_MAX, RUMOURS_MAX, Rumour,
    state::{Evidence, State, member_digest},
};
use copperwell_keyspace::{DaemonName, Member};
use tokio::time::Instant;

/// Number of times that an update is sent, for each doubling of the members.
const SENDS_PER_DOUBLING: u32 = 3;

impl FailureDetector {
    /// Applies a rumour of another daemon.
    pub fn apply_rumour(&mut self, now: Instant, rumour: Rumour) -> Vec<Change> {
        if rumour.member.name == self.me.name {
            self.refute(&rumour);
            return Vec::new();
        }
        if !self.has_room_for(&rumour.member) {
            return Vec::new();
        }
        let mut changes = self.apply(now, rumour, Evidence::Rumour);
        changes.extend(self.tick(now));
        changes
    }

    /// Returns the rumours to send to a member.
    ///
    /// The first one is about the member itself if it is not live here, so that it can refute that.
    /// Then follow the updates that were sent least often.
    pub fn rumours(&mut self, to: Option<&DaemonName>) -> Vec<Rumour> {
        let sends_max = SENDS_PER_DOUBLING * (usize::BITS - self.states.len().leading_zeros());
        let receiver = to.and_then(|name| self.states.get(name));
        let receiver = receiver.filter(|state| state.liveness > Liveness::Live);
        let mut rumours: Vec<Rumour> = receiver.map(State::rumour).into_iter().collect();
        let mut updates: Vec<(&DaemonName, &mut u32)> = self.updates.iter_mut().collect();
        updates.sort_by_key(|(_, sent)| **sent);
        for (name, sent) in updates.into_iter().take(RUMOURS_MAX - rumours.len()) {
            *sent += 1;
            rumours.extend(self.states.get(name).map(State::rumour));
        }
        self.updates.retain(|_, sent| *sent < sends_max);
        rumours
    }

    /// Returns the rumours about all known members and this daemon, for a complete exchange.
    #[must_use]
    pub fn all_rumours(&self) -> Vec<Rumour> {
        let others = self.states.values().map(State::rumour);
        std::iter::once(self.me()).chain(others).collect()
    }

    /// Returns a digest of the members that are not lost; equal for daemons that agree on them.
    pub fn digest(&mut self) -> u64 {
        if let Some(known) = self.digest.filter(|known| known.revision == self.revision) {
            return known.value;
        }
        let live = self.states.values();
        let live = live.filter(|state| state.liveness <= Liveness::Suspect);
        let live = live.map(|state| member_digest(&state.member));
        let value = live.fold(member_digest(&self.me), |digest, member| digest ^ member);
        self.digest = Some(Digest {
            revision: self.revision,
            value,
        });
        value
    }

    /// Raises the refutation number above that of a rumour that doubts this incarnation.
    fn refute(&mut self, rumour: &Rumour) {
        if rumour.member.incarnation != self.me.incarnation {
            return;
        }
        let doubted = rumour.liveness > Liveness::Live;
        let min = rumour.refutation.saturating_add(u32::from(doubted));
        self.refutation = self.refutation.max(min);
    }

    /// Returns whether the member is known, or may still be added.
    pub(super) fn has_room_for(&self, member: &Member) -> bool {
        self.states.contains_key(&member.name) || self.states.len() < MEMBERS_MAX
    }

    /// Updates the state of a member, and returns the changes in its liveness.
    pub(super) fn apply(
        &mut self,
        now: Instant,
        rumour: Rumour,
        evidence: Evidence,
    ) -> Vec<Change> {
        let Some(state) = self.states.get_mut(&rumour.member.name) else {
            return self.add_member(now, rumour);
        };
        if rumour.member.incarnation < state.member.incarnation {
            return Vec::new();
        }
        if rumour.member.incarnation > state.member.incarnation {
            let old = state.member.clone();
            let new = rumour.member.clone();
            self.states.remove(&old.name);
            let mut changes = vec![Change::Replaced { old, new }];
            let added = self.add_member(now, rumour).into_iter();
            changes.extend(added.filter(|change| !matches!(change, Change::Joined(_))));
            return changes;
        }
        let is_newer = rumour.refutation > state.refutation;
        let before = state.liveness;
        let next = match (evidence, rumour.liveness) {
            (Evidence::Direct, _) => Liveness::Live,
            (Evidence::Rumour, Liveness::Live) if is_newer && state.is_suspect_by_rumour() => {
                Liveness::Live
            }
            (Evidence::Rumour, Liveness::Live) => {
                state.disputed = before == Liveness::Lost;
                before
            }
            (Evidence::Rumour, _) if state.has_fresh_evidence(now) => before,
            (Evidence::Rumour, _) => before.max(Liveness::Suspect),
        };
        state.reported_gone = match evidence {
            Evidence::Direct => false,
            Evidence::Rumour => state.reported_gone || rumour.liveness == Liveness::Gone,
        };
        state.refutation = state.refutation.max(rumour.refutation);
        let starts_leaving = rumour.leaving && !state.leaving;
        state.leaving |= rumour.leaving;
        let name = rumour.member.name;
        if next == before {
            if starts_leaving {
                self.record_change(&name);
            } else if is_newer {
                self.updates.insert(name, 0);
            }
            return Vec::new();
        }
        if evidence == Evidence::Direct && !is_newer {
            // Outranks the rumours that doubt the member, which it may never receive and refute.
            state.refutation = state.refutation.saturating_add(1);
        }
        state.set_liveness(now, next);
        let joined = next == Liveness::Live && before >= Liveness::Lost;
        let joined = joined.then(|| Change::Joined(state.member.clone()));
        self.record_change(&name);
        joined.into_iter().collect()
    }

    /// Records a change of a member that is published and gossiped.
    pub(super) fn record_change(&mut self, name: &DaemonName) {
        self.revision += 1;
        self.updates.insert(name.clone(), 0);
    }

    fn add_member(&mut self, now: Instant, rumour: Rumour) -> Vec<Change> {
        if rumour.liveness >= Liveness::Lost {
            return Vec::new();
        }
        let member = rumour.member.clone();
        let state = State {
            member: rumour.member,
            refutation: rumour.refutation,
            leaving: rumour.leaving,
            liveness: rumour.liveness,
            changed_at: now,
            last_answer: None,
            failed_at: None,
            disputed: false,
            unlisted: false,
            reported_gone: false,
        };
        self.states.insert(member.name.clone(), state);
        self.record_change(&member.name);
        vec![Change::Joined(member)]
    }
}
