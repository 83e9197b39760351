//! Tests of when a daemon may displace the leader of a group.

use std::{net::SocketAddr, time::Duration};

use copperwell_keyspace::{
    Epoch, GroupId, Member,
    record::Appoint,
    replay::{Appointment, State},
};
use copperwell_policy::{
    appoint::{Peers, proposals},
    hold_down::HoldDown,
};
use test_case::test_case;
use tokio::time::Instant;

fn group(data_centre: &str) -> GroupId {
    GroupId {
        service: "calendar".into(),
        data_centre: data_centre.into(),
        part: 0,
    }
}

fn member(name: &str, data_centre: &str) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Member {
        name: name.into(),
        incarnation: 1,
        data_centre: data_centre.into(),
        control: address,
        requests: address,
        admin: address,
    }
}

fn state(leader: &str, epoch: Epoch) -> State {
    let mut state = State::default();
    let appointment = Appointment {
        epoch,
        replaces: 0,
        leader: member(leader, "a"),
        standby: None,
        voters: Vec::new(),
        former_voters: Vec::new(),
    };
    state.groups.insert(group("a"), appointment);
    state
}

fn proposal(leader: &str) -> Appoint {
    Appoint {
        group: group("a"),
        replaces: 0,
        leader: member(leader, "a"),
        standby: None,
    }
}

#[test_case("x", 0 => true; "the same leader is appointed again at once")]
#[test_case("y", 500 => false; "another leader within the hold-down")]
#[test_case("y", 1000 => true; "another leader after the hold-down")]
fn displacement_waits_for_the_hold_down(leader: &str, after_ms: u64) -> bool {
    let start = Instant::now();
    let mut hold_down = HoldDown::new();
    let state = state("x", 2);
    hold_down.observe(&state, start);
    let now = start + Duration::from_millis(after_ms);
    hold_down.allows(&state, &proposal(leader), now)
}

/// Guards against endless displacement by two daemons that consider each other lost and both read
/// the log.
#[test]
fn mutual_displacement_slows_down() {
    let start = Instant::now();
    let names = ["x", "y"];
    let mut hold_downs = [HoldDown::new(), HoldDown::new()];
    let mut current = state("x", 2);
    let mut appointments = 0;
    for step in 0..6000 {
        let now = start + Duration::from_millis(100 * step);
        for (hold_down, name) in hold_downs.iter_mut().zip(names) {
            hold_down.observe(&current, now);
            let proposed = proposal(name);
            let is_leader = &*current.groups[&group("a")].leader.name == name;
            if !is_leader && hold_down.allows(&current, &proposed, now) {
                hold_down.record_proposal(&current, &proposed);
                appointments += 1;
                current = state(name, 2 + 2 * appointments);
            }
        }
    }
    // Ten minutes; without the hold-down there would be one appointment in each step.
    assert!((2..40).contains(&appointments), "{appointments}");
}

#[test_case(true, &[] => 1; "departing, and no daemon is alive there")]
#[test_case(true, &["z"] => 0; "departing, and a daemon there is alive")]
#[test_case(false, &[] => 0; "declared, and no daemon is alive there")]
fn group_of_a_lost_data_centre_is_led_from_another(departing: bool, live_there: &[&str]) -> usize {
    let me = member("x", "a");
    let mut live_everywhere = vec![me.clone()];
    live_everywhere.extend(live_there.iter().map(|name| member(name, "b")));
    let groups = [group("b")];
    let departing = if departing {
        groups.iter().cloned().collect()
    } else {
        Default::default()
    };
    let peers = Peers {
        me: &me,
        live: &live_everywhere[..1],
        live_everywhere: &live_everywhere,
    };
    proposals(&State::default(), &groups, &departing, &peers).len()
}
