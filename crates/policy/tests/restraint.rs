//! Displacing leaders, and not too often.

use std::{net::SocketAddr, time::Duration};

use copperwell_keyspace::{
    Epoch, GroupId, Member,
    record::Appoint,
    replay::{Appointment, State},
};
use copperwell_policy::{
    appoint::{Peers, proposals},
    restraint::Restraint,
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

#[test_case("x", 0 => true; "the same leader is named anew at once")]
#[test_case("y", 500 => false; "another leader waits")]
#[test_case("y", 1000 => true; "another leader after the pause")]
fn displacing_waits(leader: &str, after_ms: u64) -> bool {
    let start = Instant::now();
    let mut restraint = Restraint::new();
    let state = state("x", 2);
    restraint.observe(&state, start);
    let now = start + Duration::from_millis(after_ms);
    restraint.allows(&state, &proposal(leader), now)
}

/// Two daemons that take each other for lost, and both read the log at once.
#[test]
fn duel_of_two_daemons_dies_down() {
    let start = Instant::now();
    let names = ["x", "y"];
    let mut sides = [Restraint::new(), Restraint::new()];
    let mut held = state("x", 2);
    let mut appointments = 0;
    for step in 0..6000 {
        let now = start + Duration::from_millis(100 * step);
        for (side, name) in sides.iter_mut().zip(names) {
            side.observe(&held, now);
            let wanted = proposal(name);
            let leads = &*held.groups[&group("a")].leader.name == name;
            if !leads && side.allows(&held, &wanted, now) {
                side.proposed(&held, &wanted);
                appointments += 1;
                held = state(name, 2 + 2 * appointments);
            }
        }
    }
    // Ten minutes; without restraint it is one in each step.
    assert!((2..40).contains(&appointments), "{appointments}");
}

#[test_case(true, &[] => 1; "departing, and nobody is left there")]
#[test_case(true, &["z"] => 0; "departing, and a daemon there is alive")]
#[test_case(false, &[] => 0; "declared, and nobody is left there")]
fn group_of_a_lost_data_centre_is_led_from_elsewhere(departing: bool, there: &[&str]) -> usize {
    let me = member("x", "a");
    let mut everywhere = vec![me.clone()];
    everywhere.extend(there.iter().map(|name| member(name, "b")));
    let groups = [group("b")];
    let departing = if departing {
        groups.iter().cloned().collect()
    } else {
        Default::default()
    };
    let peers = Peers {
        me: &me,
        live: &everywhere[..1],
        everywhere: &everywhere,
    };
    proposals(&State::default(), &groups, &departing, &peers).len()
}
