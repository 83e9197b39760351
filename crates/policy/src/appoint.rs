//! Appointment of the leader and the standby of each group.
//!
//! A daemon proposes an appointment only for groups of its own data centre, and only if it is to
//! lead the group itself, so that the loss of a daemon yields one proposal for each group. A group
//! that the manifest no longer has, in a data centre without a live daemon, gets a leader from
//! another data centre, so that its shards can migrate to other groups. The log decides between
//! concurrent proposals: the first one that replaces the current epoch wins.

use copperwell_keyspace::{
    DaemonName, GroupId, HashMap, HashSet, Member,
    record::Appoint,
    replay::{Appointment, State},
};

/// A daemon's view of the live daemons.
#[derive(Debug, Clone)]
pub struct Peers<'a> {
    /// This daemon.
    pub me: &'a Member,
    /// The daemons of this data centre that are alive and not leaving, including this one unless it
    /// is leaving.
    pub live: &'a [Member],
    /// The daemons of all data centres that are alive and not leaving.
    pub live_everywhere: &'a [Member],
}

/// Returns the appointments that this daemon should propose now, ordered by group.
///
/// `departing` are the groups without upstreams in the manifest, whose shards are to migrate.
#[must_use]
pub fn proposals(
    state: &State,
    groups: &[GroupId],
    departing: &HashSet<GroupId>,
    peers: &Peers<'_>,
) -> Vec<Appoint> {
    let mut roles = roles(state, peers);
    let mut all: Vec<&GroupId> = groups.iter().collect();
    all.sort();
    all.into_iter()
        .filter_map(|group| {
            let peers = if group.data_centre == peers.me.data_centre {
                peers.clone()
            } else if departing.contains(group) && peers.is_empty(&group.data_centre) {
                peers.with_all_data_centres()
            } else {
                return None;
            };
            let current = state.groups.get(group);
            let is_outdated = current.is_some_and(|current| current.voters != state.voters(group));
            let proposal = proposal(current, is_outdated, group, &peers, &roles)?;
            if let Some(standby) = &proposal.standby {
                *roles.entry(standby.name.clone()).or_default() += 1;
            }
            Some(proposal)
        })
        .collect()
}

impl<'a> Peers<'a> {
    /// Returns whether no daemon of a data centre is alive.
    fn is_empty(&self, data_centre: &str) -> bool {
        self.live_everywhere
            .iter()
            .all(|member| &*member.data_centre != data_centre)
    }

    /// Returns the view with the daemons of all data centres as candidates.
    fn with_all_data_centres(&self) -> Peers<'a> {
        Peers {
            live: self.live_everywhere,
            ..self.clone()
        }
    }
}

/// Returns the appointment to propose for a group, if this daemon is to lead it.
fn proposal(
    current: Option<&Appointment>,
    is_outdated: bool,
    group: &GroupId,
    peers: &Peers<'_>,
    roles: &HashMap<DaemonName, usize>,
) -> Option<Appoint> {
    let leader = match current {
        Some(current) => next_leader(current, is_outdated, group, peers)?,
        None => highest_by_hash(group, peers.live)?,
    };
    if leader != peers.me {
        return None;
    }
    let standby = choose_standby(group, leader, peers.live, roles);
    Some(Appoint {
        group: group.clone(),
        replaces: current.map_or(0, |current| current.epoch),
        leader: leader.clone(),
        standby: standby.cloned(),
    })
}

/// Returns the leader of the next appointment, or `None` if no new appointment is needed.
///
/// An outdated appointment has other voters than the group has now, so its leader is appointed
/// again.
fn next_leader<'a>(
    current: &Appointment,
    is_outdated: bool,
    group: &GroupId,
    peers: &Peers<'a>,
) -> Option<&'a Member> {
    let standby = current
        .standby
        .as_ref()
        .and_then(|standby| find(peers.live, standby));
    match find(peers.live, &current.leader) {
        Some(leader) if is_outdated => Some(leader),
        Some(_) if standby.is_some() => None,
        // Without another live daemon there is no candidate for standby.
        Some(leader) => (peers.live.len() > 1).then_some(leader),
        None => standby.or_else(|| highest_by_hash(group, peers.live)),
    }
}

/// Returns the live daemon that is the same run as `member`.
fn find<'a>(live: &'a [Member], member: &Member) -> Option<&'a Member> {
    let is_same_run = |other: &&Member| other.is_same_run(member);
    live.iter().find(is_same_run)
}

/// Returns the live daemon with the highest rendezvous hash for the group.
fn highest_by_hash<'a>(group: &GroupId, live: &'a [Member]) -> Option<&'a Member> {
    live.iter()
        .max_by_key(|member| (member.rendezvous(group), &member.name))
}

/// Returns the live daemon with the fewest roles, so that the roles of a lost daemon spread over
/// the rest.
fn choose_standby<'a>(
    group: &GroupId,
    leader: &Member,
    live: &'a [Member],
    roles: &HashMap<DaemonName, usize>,
) -> Option<&'a Member> {
    live.iter()
        .filter(|member| !member.is_same_run(leader))
        .min_by_key(|member| {
            let count = roles.get(&member.name).copied().unwrap_or(0);
            (count, std::cmp::Reverse(member.rendezvous(group)))
        })
}

/// Returns how many roles, as leader or standby, each live daemon has.
fn roles(state: &State, peers: &Peers<'_>) -> HashMap<DaemonName, usize> {
    let mut roles = HashMap::default();
    for appointment in state.groups.values() {
        for member in std::iter::once(&appointment.leader).chain(&appointment.standby) {
            if find(peers.live, member).is_some() {
                *roles.entry(member.name.clone()).or_default() += 1;
            }
        }
    }
    roles
}
