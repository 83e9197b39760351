//! Appointment of leaders and standbys.

use std::net::SocketAddr;

use copperwell_keyspace::{
    GroupId, HashSet, Member,
    replay::{Appointment, State},
};
use copperwell_policy::appoint::{Peers, proposals};
use test_case::test_case;

const DATA_CENTRE: &str = "a";

fn member(name: &str) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Member {
        name: name.into(),
        incarnation: 1,
        data_centre: DATA_CENTRE.into(),
        control: address,
        requests: address,
        admin: address,
    }
}

fn group(part: u16) -> GroupId {
    GroupId {
        service: "calendar".into(),
        data_centre: DATA_CENTRE.into(),
        part,
    }
}

fn state(leader: Option<&str>, standby: Option<&str>) -> State {
    let mut state = State::default();
    if let Some(leader) = leader {
        let appointment = Appointment {
            epoch: 2,
            replaces: 0,
            leader: member(leader),
            standby: standby.map(member),
            voters: Vec::new(),
            former_voters: Vec::new(),
        };
        state.groups.insert(group(0), appointment);
    }
    state
}

/// Returns every daemon's proposals for one group, as `proposer: leader/standby`.
fn proposals_of_all(state: &State, live: &[&str]) -> Vec<String> {
    let live: Vec<Member> = live.iter().map(|name| member(name)).collect();
    let proposed = live.iter().flat_map(|me| {
        let peers = Peers {
            me,
            live: &live,
            live_everywhere: &live,
        };
        let proposed = proposals(state, &[group(0)], &HashSet::default(), &peers);
        proposed.into_iter().map(|proposal| {
            let standby = proposal
                .standby
                .map_or_else(String::new, |member| member.name.to_string());
            format!("{}: {}/{standby}", me.name, proposal.leader.name)
        })
    });
    proposed.collect()
}

#[test_case(Some("x"), Some("y"), &["x", "y", "z"] => Vec::<String>::new(); "no loss")]
#[test_case(Some("x"), Some("y"), &["y", "z"] => vec!["y: y/z"]; "the standby replaces a lost leader")]
#[test_case(Some("x"), Some("y"), &["x", "z"] => vec!["x: x/z"]; "the leader replaces a lost standby")]
#[test_case(Some("x"), None, &["x"] => Vec::<String>::new(); "a single daemon has no candidate for standby")]
#[test_case(Some("x"), None, &["x", "z"] => vec!["x: x/z"]; "a new daemon becomes standby")]
#[test_case(Some("x"), Some("y"), &["z"] => vec!["z: z/"]; "leader and standby are lost")]
#[test_case(Some("x"), Some("y"), &[] => Vec::<String>::new(); "no live daemon")]
fn proposals_after_losses(
    leader: Option<&str>,
    standby: Option<&str>,
    live: &[&str],
) -> Vec<String> {
    proposals_of_all(&state(leader, standby), live)
}

#[test]
fn one_daemon_proposes_for_a_new_group() {
    let proposed = proposals_of_all(&state(None, None), &["w", "x", "y", "z"]);
    assert_eq!(proposed.len(), 1, "{proposed:?}");
}

#[test]
fn a_later_run_of_the_leader_counts_as_another_daemon() {
    let state = state(Some("x"), None);
    let mut restarted = member("x");
    restarted.incarnation = 2;
    let live = [restarted.clone()];
    let peers = Peers {
        me: &restarted,
        live: &live,
        live_everywhere: &live,
    };
    let proposed = proposals(&state, &[group(0)], &HashSet::default(), &peers);
    assert_eq!(proposed.len(), 1);
    assert_eq!(proposed[0].replaces, 2);
}

#[test]
fn standbys_spread_over_the_daemons() {
    let live: Vec<Member> = ["w", "x", "y", "z"]
        .iter()
        .map(|name| member(name))
        .collect();
    let groups: Vec<GroupId> = (0..30).map(group).collect();
    let mut state = State::default();
    for group in &groups {
        let appointment = Appointment {
            epoch: 2,
            replaces: 0,
            leader: member("w"),
            standby: None,
            voters: Vec::new(),
            former_voters: Vec::new(),
        };
        state.groups.insert(group.clone(), appointment);
    }
    let peers = Peers {
        me: &live[0],
        live: &live,
        live_everywhere: &live,
    };
    let proposed = proposals(&state, &groups, &HashSet::default(), &peers);
    for name in ["x", "y", "z"] {
        let of_daemon = proposed.iter().filter(|proposal| {
            proposal
                .standby
                .as_ref()
                .is_some_and(|standby| &*standby.name == name)
        });
        assert_eq!(of_daemon.count(), 10, "{name}");
    }
}
