//! The published list of members.

use copperwell_keyspace::{DaemonName, HashMap, Member};
use copperwell_policy::suspicion::Liveness;

use crate::control::Position;

/// A member and its status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberStatus {
    /// The member.
    pub member: Member,
    /// Whether it is considered live.
    pub liveness: Liveness,
    /// Whether the member itself or the platform's list reports that it is leaving.
    pub leaving: bool,
    /// Its last reported position in the log; the default if it has reported none.
    pub position: Position,
}

/// The members known to a daemon, including itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Roster {
    /// The members by name.
    pub members: HashMap<DaemonName, MemberStatus>,
}

impl Roster {
    /// Returns the live and suspect members, in the order of their names.
    #[must_use]
    pub fn live(&self) -> Vec<&Member> {
        let live = self.members.values();
        let live = live.filter(|status| status.liveness <= Liveness::Suspect);
        let mut live: Vec<_> = live.map(|status| &status.member).collect();
        live.sort_by(|one, other| one.name.cmp(&other.name));
        live
    }

    /// Returns the live and suspect members of a data centre, in the order of their names.
    #[must_use]
    pub fn live_in(&self, data_centre: &str) -> Vec<&Member> {
        let mut live = self.live();
        live.retain(|member| &*member.data_centre == data_centre);
        live
    }

    /// Returns the liveness of a member; `None` if it is unknown.
    #[must_use]
    pub fn liveness(&self, name: &str) -> Option<Liveness> {
        self.members.get(name).map(|status| status.liveness)
    }

    /// Returns members that may be able to reach `target` when `me` cannot.
    ///
    /// Those in the data centre of `target` come first, then those in the data centre of `me`, then
    /// all others. Each group is rotated by the incarnation of `me`, to spread the load.
    #[must_use]
    pub fn relays<'a>(&'a self, me: &Member, target: &Member) -> Vec<&'a Member> {
        let rotated = |mut candidates: Vec<&'a Member>| {
            candidates.retain(|relay| relay.name != me.name && relay.name != target.name);
            let offset = me.incarnation.checked_rem(candidates.len() as u64);
            candidates.rotate_left(usize::try_from(offset.unwrap_or(0)).unwrap_or(0));
            candidates
        };
        let mut relays = rotated(self.live_in(&target.data_centre));
        if me.data_centre != target.data_centre {
            relays.extend(rotated(self.live_in(&me.data_centre)));
        }
        let mut others = self.live();
        others.retain(|relay| {
            relay.data_centre != target.data_centre && relay.data_centre != me.data_centre
        });
        relays.extend(rotated(others));
        relays
    }
}
