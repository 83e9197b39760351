//! Network partitions between daemons.

use copperwell_operator::status::Role;
use copperwell_standin::proxy::Direction;
use test_case::test_case;

use crate::support::{DATA_CENTRE, GROUP, Harness};

#[tokio::test(flavor = "multi_thread")]
async fn partitioned_data_centre_that_loses_an_upstream() {
    let harness = Harness::start_proxied().await;
    let load = harness.load();
    harness.cluster.cut(DATA_CENTRE, true);
    harness.wait_partitioned(DATA_CENTRE).await;
    harness.wait_data_centres_served().await;
    harness.cluster.server("cal-a1").unwrap().kill();
    harness.wait_lost("cal-a1").await;
    harness.wait_data_centres_served().await;
    harness.cluster.cut(DATA_CENTRE, false);
    harness.wait_served().await;
    harness.end_load_and_check(load).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn partitioned_data_centre_that_loses_its_leader() {
    let mut harness = Harness::start_proxied().await;
    let load = harness.load();
    let old = harness.leader(GROUP).await;
    harness.cluster.cut(DATA_CENTRE, true);
    harness.wait_partitioned(DATA_CENTRE).await;
    let _old = harness.kill(&old);
    harness.new_leader(GROUP, &old).await;
    harness.wait_data_centres_served().await;
    harness.cluster.cut(DATA_CENTRE, false);
    harness.wait_served().await;
    harness.end_load_and_check(load).await;
    assert_eq!(harness.moves(), []);
}

/// The blocked directions of calls between the two daemons of a data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BlockedCalls {
    LeaderToStandby,
    StandbyToLeader,
    Both,
}

#[test_case(BlockedCalls::LeaderToStandby; "leader to standby")]
#[test_case(BlockedCalls::StandbyToLeader; "standby to leader")]
#[test_case(BlockedCalls::Both; "both directions")]
#[tokio::test(flavor = "multi_thread")]
async fn blocked_calls_between_leader_and_standby(blocked: BlockedCalls) {
    let harness = Harness::start_proxied().await;
    let load = harness.load();
    let pair = harness.pair().await;
    let source = pair.leader.addresses.control.ip();
    let targets = match blocked {
        BlockedCalls::LeaderToStandby => vec![pair.standby],
        BlockedCalls::StandbyToLeader => vec![pair.leader],
        BlockedCalls::Both => vec![pair.leader, pair.standby],
    };
    for node in &targets {
        let doors = node.doors.as_ref().unwrap();
        doors.cut(&[source]);
    }
    harness.wait_served().await;
    for node in &targets {
        let doors = node.doors.as_ref().unwrap();
        doors.cut(&[]);
    }
    harness.wait_served().await;
    harness.end_load_and_check(load).await;
    assert_eq!(harness.moves(), []);
}

#[test_case(Role::Standby, Direction::ToTarget; "to the standby")]
#[test_case(Role::Standby, Direction::FromTarget; "from the standby")]
#[test_case(Role::Leader, Direction::ToTarget; "to the leader")]
#[test_case(Role::Leader, Direction::FromTarget; "from the leader")]
#[tokio::test(flavor = "multi_thread")]
async fn one_way_partition(role: Role, direction: Direction) {
    let harness = Harness::start_proxied().await;
    let load = harness.load();
    let pair = harness.pair().await;
    let node = match role {
        Role::Standby => pair.standby,
        Role::Leader => pair.leader,
    };
    node.doors.as_ref().unwrap().cut_way(direction);
    harness.wait_served().await;
    node.doors.as_ref().unwrap().heal();
    harness.wait_served().await;
    harness.end_load_and_check(load).await;
    assert_eq!(harness.moves(), []);
}
