//! Other daemons that may act for a group.

use copperwell_keyspace::{
    DaemonName, Epoch, GroupId, HashMap, Incarnation, Member, replay::Appointment,
};

/// The most daemons remembered for one group.
///
/// Beyond it a leader does not count itself alone without evidence for the whole group.
const RIVALS_MAX: usize = 64;

/// The most runs remembered that are over; beyond it they are told again.
const ENDED_MAX: usize = 4096;

/// The daemons that were named for groups since this one started, and those that are over.
#[derive(Debug, Default)]
pub(crate) struct Rivals {
    groups: HashMap<GroupId, Named>,
    /// The last run of each daemon that is over for good.
    ended: HashMap<DaemonName, Incarnation>,
}

#[derive(Debug, Default)]
struct Named {
    rivals: Vec<Rival>,
    is_partial: bool,
}

/// A run of a daemon that was named for a group.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Rival {
    daemon: DaemonName,
    incarnation: Incarnation,
    epoch: Epoch,
}

impl Rivals {
    /// Notes who is named for a group besides this daemon.
    pub(crate) fn note(
        &mut self,
        group: &GroupId,
        appointment: &Appointment,
        is_me: impl Fn(&Member) -> bool,
    ) {
        let leader = (&appointment.leader, appointment.epoch);
        let standby = appointment.standby.as_ref();
        let standby = standby.map(|standby| (standby, appointment.standby_epoch()));
        // Of a group that had a leader before this daemon first heard of it, not all are known.
        let named = self.groups.entry(group.clone()).or_insert_with(|| Named {
            rivals: Vec::new(),
            is_partial: appointment.replaces != 0,
        });
        for (member, epoch) in [Some(leader), standby].into_iter().flatten() {
            let rival = Rival {
                daemon: member.name.clone(),
                incarnation: member.incarnation,
                epoch,
            };
            if !is_me(member) && !named.rivals.contains(&rival) {
                named.rivals.push(rival);
            }
        }
        let ended = &self.ended;
        named.rivals.retain(|rival| !rival.is_over(ended));
        if named.rivals.len() > RIVALS_MAX {
            named.rivals.remove(0);
            named.is_partial = true;
        }
    }

    /// Notes that a run of a daemon is over.
    pub(crate) fn end(&mut self, daemon: DaemonName, incarnation: Incarnation) {
        if self.ended.len() >= ENDED_MAX {
            self.ended.clear();
        }
        let last = self.ended.entry(daemon).or_insert(incarnation);
        *last = incarnation.max(*last);
        for named in self.groups.values_mut() {
            let ended = &self.ended;
            named.rivals.retain(|rival| !rival.is_over(ended));
        }
    }

    /// Notes that a run of a daemon has given up a group under all lower epochs than `below`.
    pub(crate) fn quit(
        &mut self,
        group: &GroupId,
        daemon: &DaemonName,
        incarnation: Incarnation,
        below: Epoch,
    ) {
        let is_meant = |rival: &Rival| {
            rival.daemon == *daemon && rival.incarnation == incarnation && rival.epoch < below
        };
        if let Some(named) = self.groups.get_mut(group) {
            named.rivals.retain(|rival| !is_meant(rival));
        }
    }

    /// Whether everybody is known that was ever named for the group.
    pub(crate) fn is_whole(&self, group: &GroupId) -> bool {
        self.groups
            .get(group)
            .is_some_and(|named| !named.is_partial)
    }

    /// The daemons that may act for a group, under whatever epoch.
    pub(crate) fn names(&self, group: &GroupId) -> Vec<DaemonName> {
        let named = self.groups.get(group).into_iter();
        let rivals = named.flat_map(|named| &named.rivals);
        let mut names: Vec<DaemonName> = rivals.map(|rival| rival.daemon.clone()).collect();
        names.sort();
        names.dedup();
        names
    }

    /// Whether nobody that this daemon has heard of can act for the group below `epoch`.
    pub(crate) fn is_alone(&self, group: &GroupId, epoch: Epoch) -> bool {
        let Some(named) = self.groups.get(group) else {
            return false;
        };
        !named.is_partial && named.rivals.iter().all(|rival| rival.epoch >= epoch)
    }
}

impl Rival {
    fn is_over(&self, ended: &HashMap<DaemonName, Incarnation>) -> bool {
        let last = ended.get(&self.daemon);
        last.is_some_and(|last| *last >= self.incarnation)
    }
}
