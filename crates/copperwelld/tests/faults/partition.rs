//! Daemons that cannot reach one another.

use copperwell_operator::status::Role;
use copperwell_standin::proxy::Direction;
use test_case::test_case;

use crate::support::{Bench, GROUP, HERE};

#[tokio::test(flavor = "multi_thread")]
async fn data_centre_cut_off_with_an_upstream_lost_inside() {
    let bench = Bench::start_proxied().await;
    let load = bench.load();
    bench.cluster.cut(HERE, true);
    bench.wait_cut(HERE).await;
    bench.serves_apart().await;
    bench.cluster.server("cal-a1").unwrap().kill();
    bench.wait_lost("cal-a1").await;
    bench.serves_apart().await;
    bench.cluster.cut(HERE, false);
    bench.serves().await;
    bench.check(load).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn data_centre_cut_off_with_a_leader_lost_inside() {
    let mut bench = Bench::start_proxied().await;
    let load = bench.load();
    let old = bench.leader(GROUP).await;
    bench.cluster.cut(HERE, true);
    bench.wait_cut(HERE).await;
    let _old = bench.kill(&old);
    bench.new_leader(GROUP, &old).await;
    bench.serves_apart().await;
    bench.cluster.cut(HERE, false);
    bench.serves().await;
    bench.check(load).await;
    assert_eq!(bench.moves(), []);
}

/// Which of the two daemons of a data centre cannot call the other one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cut {
    LeaderToStandby,
    StandbyToLeader,
    Both,
}

#[test_case(Cut::LeaderToStandby; "the leader cannot call the standby")]
#[test_case(Cut::StandbyToLeader; "the standby cannot call the leader")]
#[test_case(Cut::Both; "neither can call the other")]
#[tokio::test(flavor = "multi_thread")]
async fn calls_cut_between_leader_and_standby(cut: Cut) {
    let bench = Bench::start_proxied().await;
    let load = bench.load();
    let pair = bench.pair().await;
    let source = pair.leader.addresses.control.ip();
    let called = match cut {
        Cut::LeaderToStandby => vec![pair.standby],
        Cut::StandbyToLeader => vec![pair.leader],
        Cut::Both => vec![pair.leader, pair.standby],
    };
    for node in &called {
        let doors = node.doors.as_ref().unwrap();
        doors.cut(&[source]);
    }
    bench.serves().await;
    for node in &called {
        let doors = node.doors.as_ref().unwrap();
        doors.cut(&[]);
    }
    bench.serves().await;
    bench.check(load).await;
    assert_eq!(bench.moves(), []);
}

#[test_case(Role::Standby, Direction::ToTarget; "nothing reaches the standby")]
#[test_case(Role::Standby, Direction::FromTarget; "nothing comes back from the standby")]
#[test_case(Role::Leader, Direction::ToTarget; "nothing reaches the leader")]
#[test_case(Role::Leader, Direction::FromTarget; "nothing comes back from the leader")]
#[tokio::test(flavor = "multi_thread")]
async fn one_way_cut(before: Role, direction: Direction) {
    let bench = Bench::start_proxied().await;
    let load = bench.load();
    let pair = bench.pair().await;
    let node = match before {
        Role::Standby => pair.standby,
        Role::Leader => pair.leader,
    };
    node.doors.as_ref().unwrap().cut_way(direction);
    bench.serves().await;
    node.doors.as_ref().unwrap().heal();
    bench.serves().await;
    bench.check(load).await;
    assert_eq!(bench.moves(), []);
}
