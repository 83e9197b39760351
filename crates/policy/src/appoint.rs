//! Who leads which group.
//!
//! A daemon proposes for groups of its own data centre, and only where it has a part in the group,
//! so one loss makes one proposal for each group. A group that the manifest no longer has, in a data
//! centre without a daemon, gets a leader from elsewhere, so that its shards can go to others. Two proposals that race are settled by
//! the log: the first with the right parent wins.

use copperwell_keyspace::{
    DaemonName, GroupId, HashMap, HashSet, Member,
    record::Appoint,
    replay::{Appointment, State},
};

/// What a daemon knows of the daemons of its data centre.
#[derive(Debug, Clone)]
pub struct Peers<'a> {
    /// This daemon.
    pub me: &'a Member,
    /// The daemons that are alive and not leaving, this one included unless it is leaving.
    pub live: &'a [Member],
    /// The same of all data centres.
    pub everywhere: &'a [Member],
}

/// The appointments that this daemon should propose now, in the order of groups.
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
                peers.widened()
            } else {
                return None;
            };
            let held = state.groups.get(group);
            let is_outdated = held.is_some_and(|held| held.voters != state.voters(group));
            let proposal = proposal(held, is_outdated, group, &peers, &roles)?;
            if let Some(standby) = &proposal.standby {
                *roles.entry(standby.name.clone()).or_default() += 1;
            }
            Some(proposal)
        })
        .collect()
}

impl<'a> Peers<'a> {
    /// Whether no daemon of a data centre is alive.
    fn is_empty(&self, data_centre: &str) -> bool {
        self.everywhere
            .iter()
            .all(|member| &*member.data_centre != data_centre)
    }

    /// The same with the daemons of all data centres.
    fn widened(&self) -> Peers<'a> {
        Peers {
            live: self.everywhere,
            ..self.clone()
        }
    }
}

fn proposal(
    held: Option<&Appointment>,
    is_outdated: bool,
    group: &GroupId,
    peers: &Peers<'_>,
    roles: &HashMap<DaemonName, usize>,
) -> Option<Appoint> {
    let leader = match held {
        Some(held) => leader_after(held, is_outdated, group, peers)?,
        None => first_by_hash(group, peers.live)?,
    };
    if leader != peers.me {
        return None;
    }
    let standby = standby_for(group, leader, peers.live, roles);
    Some(Appoint {
        group: group.clone(),
        replaces: held.map_or(0, |held| held.epoch),
        leader: leader.clone(),
        standby: standby.cloned(),
    })
}

/// Who should lead next; `None` if the appointment is fine as it is.
///
/// One that is outdated counts on other servers than the group has now: its leader is appointed
/// anew.
fn leader_after<'a>(
    held: &Appointment,
    is_outdated: bool,
    group: &GroupId,
    peers: &Peers<'a>,
) -> Option<&'a Member> {
    let standby = held
        .standby
        .as_ref()
        .and_then(|standby| find(peers.live, standby));
    match find(peers.live, &held.leader) {
        Some(leader) if is_outdated => Some(leader),
        Some(_) if standby.is_some() => None,
        // Alone in its data centre, a leader has nobody to name.
        Some(leader) => (peers.live.len() > 1).then_some(leader),
        None => standby.or_else(|| first_by_hash(group, peers.live)),
    }
}

fn find<'a>(live: &'a [Member], member: &Member) -> Option<&'a Member> {
    let same = |other: &&Member| other.is_same_run(member);
    live.iter().find(same)
}

/// The live daemon with the highest rendezvous hash for the group.
fn first_by_hash<'a>(group: &GroupId, live: &'a [Member]) -> Option<&'a Member> {
    live.iter()
        .max_by_key(|member| (member.rendezvous(group), &member.name))
}

/// The live daemon with the fewest parts, so that a loss spreads over the rest.
fn standby_for<'a>(
    group: &GroupId,
    leader: &Member,
    live: &'a [Member],
    roles: &HashMap<DaemonName, usize>,
) -> Option<&'a Member> {
    live.iter()
        .filter(|member| !member.is_same_run(leader))
        .min_by_key(|member| {
            let parts = roles.get(&member.name).copied().unwrap_or(0);
            (parts, std::cmp::Reverse(member.rendezvous(group)))
        })
}

/// How many parts, as leader or standby, each live daemon has.
fn roles(state: &State, peers: &Peers<'_>) -> HashMap<DaemonName, usize> {
    let mut roles = HashMap::default();
    for held in state.groups.values() {
        for member in std::iter::once(&held.leader).chain(&held.standby) {
            if find(peers.live, member).is_some() {
                *roles.entry(member.name.clone()).or_default() += 1;
            }
        }
    }
    roles
}
