//! Other daemons that may still act as leader of a group.

use copperwell_keyspace::{
    DaemonName, Epoch, GroupId, HashMap, Incarnation, Member, replay::Appointment,
};

/// The most rivals tracked for one group.
///
/// Past this limit the oldest is dropped, and only evidence for the group as a whole shows that no
/// other daemon acts as its leader.
const RIVALS_MAX: usize = 64;

/// The most stopped daemons tracked; past this limit all are dropped and must be reported again.
const STOPPED_MAX: usize = 4096;

/// The daemons appointed for groups since this daemon started, and the runs that have stopped.
#[derive(Debug, Default)]
pub(crate) struct Rivals {
    groups: HashMap<GroupId, GroupRivals>,
    /// The latest run of each daemon that is known to have stopped for good.
    stopped: HashMap<DaemonName, Incarnation>,
}

/// The rivals known for one group.
#[derive(Debug, Default)]
struct GroupRivals {
    rivals: Vec<Rival>,
    /// Whether there may be rivals that are not listed.
    is_partial: bool,
}

/// A run of a daemon that was appointed leader or standby of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Rival {
    daemon: DaemonName,
    incarnation: Incarnation,
    epoch: Epoch,
}

impl Rivals {
    /// Records the leader and the standby of an appointment, unless they are this daemon.
    pub(crate) fn record(
        &mut self,
        group: &GroupId,
        appointment: &Appointment,
        is_me: impl Fn(&Member) -> bool,
    ) {
        let leader = (&appointment.leader, appointment.epoch);
        let standby = appointment.standby.as_ref();
        let standby = standby.map(|standby| (standby, appointment.standby_epoch()));
        // Leaders from before the first appointment seen here are unknown.
        let known = self
            .groups
            .entry(group.clone())
            .or_insert_with(|| GroupRivals {
                rivals: Vec::new(),
                is_partial: appointment.replaces != 0,
            });
        for (member, epoch) in [Some(leader), standby].into_iter().flatten() {
            let rival = Rival {
                daemon: member.name.clone(),
                incarnation: member.incarnation,
                epoch,
            };
            if !is_me(member) && !known.rivals.contains(&rival) {
                known.rivals.push(rival);
            }
        }
        let stopped = &self.stopped;
        known.rivals.retain(|rival| !rival.has_stopped(stopped));
        if known.rivals.len() > RIVALS_MAX {
            known.rivals.remove(0);
            known.is_partial = true;
        }
    }

    /// Records that this run of a daemon and all earlier ones have stopped.
    pub(crate) fn record_stopped(&mut self, daemon: DaemonName, incarnation: Incarnation) {
        if self.stopped.len() >= STOPPED_MAX {
            self.stopped.clear();
        }
        let last = self.stopped.entry(daemon).or_insert(incarnation);
        *last = incarnation.max(*last);
        for known in self.groups.values_mut() {
            let stopped = &self.stopped;
            known.rivals.retain(|rival| !rival.has_stopped(stopped));
        }
    }

    /// Records that a run of a daemon no longer acts for a group under epochs lower than `below`.
    pub(crate) fn record_quit(
        &mut self,
        group: &GroupId,
        daemon: &DaemonName,
        incarnation: Incarnation,
        below: Epoch,
    ) {
        let has_quit = |rival: &Rival| {
            rival.daemon == *daemon && rival.incarnation == incarnation && rival.epoch < below
        };
        if let Some(known) = self.groups.get_mut(group) {
            known.rivals.retain(|rival| !has_quit(rival));
        }
    }

    /// Whether every daemon that was ever appointed for the group is known.
    pub(crate) fn is_complete(&self, group: &GroupId) -> bool {
        self.groups
            .get(group)
            .is_some_and(|known| !known.is_partial)
    }

    /// Returns the daemons that may act for a group, under any epoch.
    pub(crate) fn names(&self, group: &GroupId) -> Vec<DaemonName> {
        let known = self.groups.get(group).into_iter();
        let rivals = known.flat_map(|known| &known.rivals);
        let mut names: Vec<DaemonName> = rivals.map(|rival| rival.daemon.clone()).collect();
        names.sort();
        names.dedup();
        names
    }

    /// Whether no other daemon can act for the group under an epoch lower than `epoch`.
    pub(crate) fn has_none_below(&self, group: &GroupId, epoch: Epoch) -> bool {
        let Some(known) = self.groups.get(group) else {
            return false;
        };
        !known.is_partial && known.rivals.iter().all(|rival| rival.epoch >= epoch)
    }
}

impl Rival {
    fn has_stopped(&self, stopped: &HashMap<DaemonName, Incarnation>) -> bool {
        let last = stopped.get(&self.daemon);
        last.is_some_and(|last| *last >= self.incarnation)
    }
}
