//! The members as others read them.

use copperwell_keyspace::{DaemonName, HashMap, Member};
use copperwell_policy::suspicion::Liveness;

use crate::control::Position;

/// A member and whether it is thought alive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seen {
    /// The member.
    pub member: Member,
    /// Whether it is thought alive.
    pub liveness: Liveness,
    /// Whether it, or the platform's list, says that it is leaving.
    pub leaving: bool,
    /// What it last said of the log, if it was heard.
    pub position: Position,
}

/// The members that a daemon knows, itself included.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Roster {
    /// By name.
    pub members: HashMap<DaemonName, Seen>,
}

impl Roster {
    /// Members that are thought alive, in name order.
    #[must_use]
    pub fn live(&self) -> Vec<&Member> {
        let live = self.members.values();
        let live = live.filter(|seen| seen.liveness <= Liveness::Suspect);
        let mut live: Vec<_> = live.map(|seen| &seen.member).collect();
        live.sort_by(|one, other| one.name.cmp(&other.name));
        live
    }

    /// Members of a data centre that are thought alive, in name order.
    #[must_use]
    pub fn live_in(&self, data_centre: &str) -> Vec<&Member> {
        let mut live = self.live();
        live.retain(|member| &*member.data_centre == data_centre);
        live
    }

    /// Whether a member is thought alive.
    #[must_use]
    pub fn liveness(&self, name: &str) -> Option<Liveness> {
        self.members.get(name).map(|seen| seen.liveness)
    }

    /// Members that may reach `target` where `me` cannot: those of its own data centre first, then
    /// those of `me`'s, then those of others; in another order for each run of a daemon, so that the load is spread.
    #[must_use]
    pub fn relays<'a>(&'a self, me: &Member, target: &Member) -> Vec<&'a Member> {
        let turned = |mut near: Vec<&'a Member>| {
            near.retain(|relay| relay.name != me.name && relay.name != target.name);
            let turn = me.incarnation.checked_rem(near.len() as u64);
            near.rotate_left(usize::try_from(turn.unwrap_or(0)).unwrap_or(0));
            near
        };
        let mut relays = turned(self.live_in(&target.data_centre));
        if me.data_centre != target.data_centre {
            relays.extend(turned(self.live_in(&me.data_centre)));
        }
        let mut others = self.live();
        others.retain(|relay| {
            relay.data_centre != target.data_centre && relay.data_centre != me.data_centre
        });
        relays.extend(turned(others));
        relays
    }
}
