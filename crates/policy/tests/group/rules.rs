//! Tests of each rule of the state machine by itself.

use std::time::Duration;

use crate::{
    harness::{Harness, LEASE, Mode, config, group_id, name, shard_digest, upstream},
    server::Server,
};
use copperwell_keyspace::manifest::Fencing;
use copperwell_policy::group::message::{Action, Input, Load, Order, Predecessor, Route};
use test_case::test_case;

const SECOND: Duration = Duration::from_secs(1);

fn is_grant(order: &Order) -> bool {
    matches!(order, Order::Grant { .. })
}

fn is_renew(order: &Order) -> bool {
    matches!(order, Order::Renew { .. })
}

fn is_release(order: &Order) -> bool {
    matches!(order, Order::Release { .. })
}

/// Returns a group whose shards are all served.
fn running(servers: usize, shards: u32) -> Harness {
    let mut harness = Harness::new(servers, shards);
    harness.handle(Input::Tick);
    harness.advance(SECOND);
    assert_eq!(harness.owners().len(), shards as usize);
    harness
}

#[test]
fn a_new_group_is_granted_evenly_at_once() {
    let mut harness = Harness::new(4, 16);
    harness.handle(Input::Tick);
    let counts: Vec<usize> = (0..4).map(|server| harness.count_shards(server)).collect();
    assert_eq!(counts, [4, 4, 4, 4]);
}

#[test]
fn a_new_group_waits_one_lease_for_a_server_that_does_not_answer() {
    let mut harness = Harness::new(2, 8);
    harness.modes[1] = Mode::Down;
    harness.handle(Input::Tick);
    harness.advance(SECOND);
    assert_eq!(harness.owners().len(), 0);
    harness.advance(SECOND);
    assert_eq!(harness.count_shards(0), 8);
}

#[test]
fn a_change_of_leader_moves_no_shard() {
    let first = running(3, 12);
    let before = first.owners();
    let mut second = first.into_successor(Predecessor::Active);
    second.handle(Input::Tick);
    assert_eq!(second.owners(), before);
    let grants: usize = (0..3)
        .map(|server| second.count_orders(server, is_grant))
        .sum();
    assert_eq!(grants, 0);
}

#[test]
fn expired_grants_go_back_to_their_last_holders() {
    let mut first = running(3, 12);
    let before = first.owners();
    first.now += 2 * LEASE;
    let mut second = first.into_successor(Predecessor::Active);
    second.handle(Input::Tick);
    assert_eq!(second.owners(), before);
}

#[derive(Debug, Clone, Copy)]
enum Evidence {
    Nothing,
    Answer,
    NewRun,
    Stopped,
}

#[test_case(Evidence::Nothing, 60, 8; "without evidence they stay unowned")]
#[test_case(Evidence::Answer, 1, 12; "the server answers")]
#[test_case(Evidence::NewRun, 1, 12; "a new run of the server answers")]
#[test_case(Evidence::Stopped, 2, 12; "the old leader has stopped and one lease has passed")]
fn unreported_shards_are_granted_only_on_evidence(evidence: Evidence, seconds: u32, served: usize) {
    let mut first = running(3, 12);
    first.modes[2] = Mode::Partitioned;
    let mut second = first.into_successor(Predecessor::Active);
    second.handle(Input::Tick);
    second.advance(SECOND);
    assert_eq!(second.owners().len(), 8);
    let routes = second.routes.values();
    assert_eq!(routes.filter(|route| **route == Route::Unowned).count(), 4);
    match evidence {
        Evidence::Nothing => {}
        Evidence::Answer => second.modes[2] = Mode::Healthy,
        Evidence::NewRun => {
            second.servers[2].restart(second.now);
            second.modes[2] = Mode::Healthy;
        }
        Evidence::Stopped => second.handle(Input::PredecessorStopped),
    }
    second.advance(SECOND * seconds);
    assert_eq!(second.owners().len(), served);
}

#[test]
fn grants_of_a_stopped_leader_must_expire_first() {
    let mut first = running(3, 12);
    first.modes[2] = Mode::Partitioned;
    let mut second = first.into_successor(Predecessor::Active);
    second.handle(Input::Tick);
    second.handle(Input::PredecessorStopped);
    second.advance(LEASE);
    assert_eq!(second.owners().len(), 8);
}

#[test]
fn a_takeover_needs_a_quorum_or_a_stopped_predecessor() {
    let mut first = running(2, 8);
    first.modes[1] = Mode::Partitioned;
    let mut second = first.into_successor(Predecessor::Active);
    second.handle(Input::Tick);
    second.advance(SECOND * 10);
    assert_eq!(second.count_orders(0, is_renew), 0);
    second.handle(Input::PredecessorStopped);
    second.advance(SECOND * 2);
    assert_eq!(second.count_shards(0), 8);
}

#[test_case(Mode::Down)]
#[test_case(Mode::Partitioned)]
#[test_case(Mode::NoAnswers)]
fn an_unreachable_upstream_is_replaced_after_expiry_within_four_seconds(mode: Mode) {
    let mut harness = running(2, 8);
    harness.modes[1] = mode;
    let grants = harness.count_orders(0, is_grant);
    let begin = harness.now;
    while harness.servers[1].holds(7, harness.now) {
        assert_eq!(harness.count_orders(0, is_grant), grants);
        harness.advance(Duration::from_millis(10));
    }
    harness.advance((begin + SECOND * 4).saturating_sub(harness.now));
    assert_eq!(harness.count_shards(0), 8);
}

#[test]
fn a_restarted_server_gets_its_shards_back_within_a_heartbeat() {
    let mut harness = running(2, 8);
    harness.servers[1].restart(harness.now);
    harness.advance(LEASE / 3 + Duration::from_millis(20));
    assert_eq!(harness.count_shards(1), 4);
    assert_eq!(harness.count_orders(0, is_grant), 1);
}

#[test_case(false, 2; "without a quorum the shards of the others wait")]
#[test_case(true, 6; "the log and the standby confirm that no other daemon leads")]
fn a_leader_partitioned_from_most_servers(confirmed: bool, served: usize) {
    let mut harness = running(3, 6);
    harness.modes[1] = Mode::Partitioned;
    harness.modes[2] = Mode::Partitioned;
    harness.advance(SECOND * 10);
    if confirmed {
        harness.handle(Input::Confirmed(harness.instant()));
        harness.advance(SECOND);
    }
    assert_eq!(harness.count_shards(0), served);
}

#[test]
fn a_shard_with_an_unanswered_grant_is_not_granted_elsewhere_before_expiry() {
    let mut harness = running(2, 8);
    harness.servers[1].restart(harness.now);
    harness.modes[1] = Mode::NoAnswersToGrants;
    let holds =
        |harness: &Harness| (0..8).any(|shard| harness.servers[1].holds(shard, harness.now));
    while !holds(&harness) {
        harness.advance(Duration::from_millis(1));
    }
    assert_eq!(harness.count_shards(1), 0);
    harness.modes[1] = Mode::Partitioned;
    let begin = harness.now;
    while harness.now < begin + SECOND * 5 {
        for shard in 0..8 {
            let both = (0..2).all(|server| harness.servers[server].holds(shard, harness.now));
            assert!(!both, "shard {shard} at {:?}", harness.now);
        }
        harness.advance(Duration::from_millis(10));
    }
    assert_eq!(harness.count_shards(0), 8);
}

#[test]
fn a_server_whose_digest_differs_is_fenced_and_repaired() {
    let mut harness = running(2, 8);
    let shard = *harness
        .owners()
        .iter()
        .find(|(_, owner)| **owner == 1)
        .unwrap()
        .0;
    harness.servers[1].release(shard, harness.now);
    assert!(!harness.servers[1].holds(shard, harness.now));
    harness.advance(LEASE);
    let holders = (0..2).filter(|server| harness.servers[*server].holds(shard, harness.now));
    assert_eq!(holders.count(), 1);
    assert_eq!(harness.owners().len(), 8);
}

#[test_case(true; "by manifest")]
#[test_case(false; "by the server's own report")]
fn a_draining_upstream_loses_its_idle_shards_within_two_seconds(by_manifest: bool) {
    let mut harness = running(3, 30);
    let busy = *harness
        .owners()
        .iter()
        .find(|(_, owner)| **owner == 1)
        .unwrap()
        .0;
    harness.busy.insert(busy);
    if by_manifest {
        harness.configure(|config| config.upstreams[1].drain = true);
    } else {
        harness.servers[1].is_draining = true;
    }
    harness.advance(SECOND * 2);
    assert_eq!(harness.count_shards(1), 0);
    // A shard with a request in flight stays until the request has ended.
    assert!(harness.servers[1].holds(busy, harness.now));
    assert_eq!(harness.owners().len(), 29);
    harness.busy.clear();
    harness.advance(SECOND);
    assert_eq!(harness.owners().len(), 30);
    assert!(!harness.servers[1].holds(busy, harness.now));
    assert_eq!(harness.count_orders(1, is_grant), 1);
}

#[test]
fn the_only_upstream_loses_its_shards_too_when_it_drains() {
    let mut harness = running(1, 4);
    harness.configure(|config| config.upstreams[0].drain = true);
    harness.advance(SECOND * 2);
    assert!(
        harness
            .routes
            .values()
            .all(|route| *route == Route::Unowned)
    );
}

#[test]
fn a_removed_upstream_releases_its_shards_before_it_is_dropped() {
    let mut harness = running(2, 8);
    harness.configure(|config| {
        config.upstreams.pop();
    });
    harness.advance(SECOND * 3);
    assert_eq!(harness.count_shards(0), 8);
    assert!((0..8).all(|shard| !harness.servers[1].holds(shard, harness.now)));
    assert_eq!(harness.group.summary().servers.len(), 1);
}

#[test]
fn an_upstream_at_a_new_address_is_another_server() {
    let mut harness = running(2, 8);
    harness.configure(|config| config.upstreams[1].address.set_port(9));
    // The old address no longer answers, so its grants must expire.
    assert_eq!(harness.count_shards(1), 0);
    harness.advance(LEASE / 2);
    assert_eq!(harness.owners().len(), 4);
    harness.advance(SECOND * 2);
    assert_eq!(harness.owners().len(), 8);
}

#[test]
fn an_isolated_leader_stops_renewing_if_the_service_limits_isolation() {
    let mut harness = Harness::with_servers(
        (0..2).map(|_| Server::new(SECOND)).collect(),
        copperwell_policy::group::message::Config {
            isolation: Some(SECOND * 5),
            ..config(2, 8)
        },
        Predecessor::None,
    );
    harness.handle(Input::Tick);
    harness.advance(SECOND * 4);
    harness.handle(Input::Contact(harness.instant()));
    harness.advance(SECOND * 4);
    assert_eq!(harness.owners().len(), 8);
    harness.advance(SECOND + LEASE + SECOND);
    assert!(
        (0..8).all(|shard| (0..2).all(|server| !harness.servers[server].holds(shard, harness.now)))
    );
    harness.handle(Input::Contact(harness.instant()));
    harness.advance(SECOND);
    assert_eq!(harness.owners().len(), 8);
}

#[test]
fn a_successor_waits_no_longer_than_the_isolation_limit() {
    let mut first = running(3, 12);
    first.config.isolation = Some(SECOND * 5);
    first.modes[2] = Mode::Partitioned;
    let mut second = first.into_successor(Predecessor::Active);
    second.handle(Input::Tick);
    second.advance(SECOND * 4);
    second.handle(Input::Contact(second.instant()));
    second.advance(SECOND * 2);
    assert_eq!(second.owners().len(), 8);
    second.advance(SECOND);
    assert_eq!(second.owners().len(), 12);
}

#[test]
fn unchecked_servers_get_no_orders_until_the_old_leader_has_stopped() {
    let mut first = Harness::new(2, 8);
    for server in &mut first.servers {
        server.is_checked = false;
    }
    first.configure(|config| {
        for upstream in &mut config.upstreams {
            upstream.fencing = Fencing::Unchecked;
        }
    });
    first.advance(SECOND);
    let before = first.owners();
    assert_eq!(before.len(), 8);
    let mut second = first.into_successor(Predecessor::Active);
    second.handle(Input::Tick);
    second.advance(SECOND * 10);
    let orders = second.orders.iter();
    assert_eq!(orders.filter(|sent| sent.order != Order::Fence).count(), 0);
    second.handle(Input::PredecessorStopped);
    second.advance(LEASE);
    assert_eq!(second.owners().len(), 0);
    second.advance(SECOND);
    assert_eq!(second.owners(), before);
}

#[test]
fn a_leader_steps_down_when_a_server_has_seen_a_higher_epoch() {
    let mut harness = running(2, 8);
    harness.servers[0]
        .handle(99, &Order::Fence, shard_digest, harness.now)
        .unwrap();
    harness.advance(LEASE);
    assert_eq!(harness.actions.last(), Some(&Action::StepDown { by: 99 }));
    assert!(
        harness
            .routes
            .values()
            .all(|route| *route == Route::Elsewhere)
    );
    let orders = harness.orders.len();
    harness.advance(SECOND * 3);
    assert_eq!(harness.orders.len(), orders);
}

#[test]
fn a_handover_waits_for_requests_in_flight_and_keeps_all_grants() {
    let mut harness = running(2, 8);
    harness.busy.insert(3);
    harness.handle(Input::HandOver);
    assert!(harness.routes.values().all(|route| *route == Route::Held));
    harness.advance(SECOND * 3);
    assert!(!harness.actions.contains(&Action::HandedOver));
    harness.busy.clear();
    harness.advance(Duration::from_millis(50));
    assert!(harness.actions.contains(&Action::HandedOver));
    assert!(
        harness
            .routes
            .values()
            .all(|route| *route == Route::Elsewhere)
    );
    let held = (0..8)
        .filter(|shard| (0..2).any(|server| harness.servers[server].holds(*shard, harness.now)));
    assert_eq!(held.count(), 8);
    let releases: usize = (0..2)
        .map(|server| harness.count_orders(server, is_release))
        .sum();
    assert_eq!(releases, 0);
}

#[test]
fn shards_for_another_group_are_released_and_reported_until_the_log_assigns_them() {
    let mut harness = running(2, 8);
    harness.handle(Input::Migrate {
        shards: vec![1, 2],
        to: group_id(1),
    });
    harness.advance(SECOND);
    let report = Action::Detached {
        shards: vec![1, 2],
        to: group_id(1),
    };
    let count = |harness: &Harness| {
        harness
            .actions
            .iter()
            .filter(|action| **action == report)
            .count()
    };
    assert_eq!(count(&harness), 1);
    for shard in [1, 2] {
        assert!((0..2).all(|server| !harness.servers[server].holds(shard, harness.now)));
        assert_eq!(harness.routes[&shard], Route::Held);
    }
    harness.advance(SECOND * 4);
    assert_eq!(count(&harness), 2);
    harness.configure(|config| config.shards.retain(|shard| ![1, 2].contains(shard)));
    harness.advance(SECOND * 10);
    assert_eq!(count(&harness), 2);
    assert_eq!(harness.routes[&1], Route::Elsewhere);
}

#[test]
fn other_shards_move_away_from_a_hot_shard_and_then_stay() {
    let mut harness = running(2, 8);
    let hot = *harness
        .owners()
        .iter()
        .find(|(_, owner)| **owner == 0)
        .unwrap()
        .0;
    for _ in 0..120 {
        harness.handle(Input::Load(vec![Load {
            shard: hot,
            requests: 50,
        }]));
        harness.advance(SECOND);
    }
    assert_eq!(harness.owners()[&hot], 0);
    assert_eq!((harness.count_shards(0), harness.count_shards(1)), (1, 7));
    let moves = harness.actions.iter();
    assert_eq!(
        moves
            .filter(|action| matches!(action, Action::Moved { from: Some(_), .. }))
            .count(),
        3
    );
}

#[test]
fn a_new_upstream_gets_its_share_without_other_moves() {
    let mut harness = running(2, 30);
    let before = harness.owners();
    harness.servers.push(Server::new(SECOND));
    harness.modes.push(Mode::Healthy);
    harness.configure(|config| config.upstreams.push(upstream(2)));
    harness.advance(SECOND * 120);
    let after = harness.owners();
    assert!(harness.count_shards(2) >= 8, "{}", harness.count_shards(2));
    let moved = after
        .iter()
        .filter(|(shard, owner)| before[shard] != **owner);
    assert!(moved.clone().all(|(_, owner)| *owner == 2));
    assert_eq!(moved.count(), harness.count_shards(2));
    assert_eq!(name(2), harness.config.upstreams[2].name);
}

#[test_case(Mode::Healthy, 3; "it answers")]
#[test_case(Mode::Partitioned, 5; "its grants expire")]
fn a_former_upstream_is_retired_when_it_holds_no_shards(mode: Mode, seconds: u32) {
    let retired = Action::Retire(vec![name(2)]);
    let mut harness = running(3, 12);
    harness.modes[2] = mode;
    harness.configure(|config| config.former.extend(config.upstreams.pop()));
    harness.advance(LEASE / 2);
    if mode == Mode::Partitioned {
        assert!(!harness.actions.contains(&retired));
    }
    harness.advance(SECOND * seconds);
    assert!(harness.actions.contains(&retired));
    assert_eq!(harness.owners().len(), 12);
    harness.configure(|config| config.former.clear());
    harness.advance(SECOND);
    assert_eq!(harness.group.summary().servers.len(), 2);
}

#[test]
fn a_former_upstream_that_does_not_answer_a_new_leader_is_not_retired() {
    let mut first = running(3, 12);
    first.modes[2] = Mode::Partitioned;
    let mut second = first.into_successor(Predecessor::Active);
    second.configure(|config| config.former.extend(config.upstreams.pop()));
    second.advance(SECOND * 20);
    let is_retire = |action: &Action| matches!(action, Action::Retire(_));
    assert!(!second.actions.iter().any(is_retire));
    assert_eq!(second.owners().len(), 8);
    second.handle(Input::PredecessorStopped);
    second.advance(SECOND * 3);
    assert!(second.actions.contains(&Action::Retire(vec![name(2)])));
    assert_eq!(second.owners().len(), 12);
}

#[test]
fn a_successor_counts_the_voters_of_its_predecessor() {
    // The leader was appointed with two voters, and a third server was added later. Cut off from
    // the second voter, the leader may have granted its shards to others with the first voter
    // alone, which its successor cannot reach.
    let mut first = running(2, 8);
    first.servers.push(Server::new(SECOND));
    first.modes.push(Mode::Healthy);
    first.modes[0] = Mode::Partitioned;
    let mut second = first.into_successor(Predecessor::Active);
    second.configure(|config| config.upstreams.push(upstream(2)));
    second.advance(SECOND * 10);
    // Two of three servers answer, but only one of the two voters.
    assert_eq!(second.count_orders(1, is_renew), 0);
    second.modes[0] = Mode::Healthy;
    second.advance(SECOND);
    assert_eq!(second.owners().len(), 8);
}

#[test_case(true; "by a restart of the server")]
#[test_case(false; "by expiry")]
fn shards_lost_before_the_takeover_wait_for_all_servers(restarts: bool) {
    let mut first = running(3, 12);
    first.modes[0] = Mode::Partitioned;
    first.modes[2] = Mode::Partitioned;
    let mut second = first.into_successor(Predecessor::Active);
    second.handle(Input::Tick);
    // One server has reported its shards, which is too few for a takeover.
    if restarts {
        second.servers[1].restart(second.now);
        second.advance(LEASE / 2);
    } else {
        second.advance(LEASE * 2);
    }
    second.modes[0] = Mode::Healthy;
    second.advance(SECOND);
    // The old leader may meanwhile have granted them to the third server.
    assert!(second.group.summary().has_taken_over);
    assert_eq!(
        second.count_orders(0, is_grant) + second.count_orders(1, is_grant),
        0
    );
    second.modes[2] = Mode::Healthy;
    second.advance(SECOND);
    assert_eq!(second.owners().len(), 12);
}

#[test_case(Fencing::Unchecked; "an unchecked server accepts it")]
#[test_case(Fencing::Checked; "a checked server refuses it")]
fn a_late_grant_to_a_drained_server_yields_no_second_owner(fencing: Fencing) {
    let mut harness = Harness::new(2, 8);
    for server in &mut harness.servers {
        server.is_checked = fencing == Fencing::Checked;
    }
    harness.modes[1] = Mode::DelayedGrants;
    harness.configure(|config| {
        for upstream in &mut config.upstreams {
            upstream.fencing = fencing;
        }
    });
    let late = harness
        .orders
        .iter()
        .find(|sent| sent.server == 1 && is_grant(&sent.order));
    let late = late.unwrap().order.clone();
    harness.modes[1] = Mode::Healthy;
    harness.advance(Duration::from_millis(100));
    assert_eq!(harness.count_shards(1), 4);
    harness.configure(|config| config.upstreams[1].drain = true);
    harness.advance(Duration::from_millis(100));
    assert!(
        harness.servers[1]
            .handle(4, &late, shard_digest, harness.now)
            .is_ok()
            != (fencing == Fencing::Checked)
    );
    for shard in 0..8 {
        let both = (0..2).all(|server| harness.servers[server].holds(shard, harness.now));
        assert!(!both, "shard {shard}");
    }
    harness.advance(LEASE * 2);
    assert_eq!(harness.count_shards(0), 8);
}

#[test_case(true, 12; "the leader has acted")]
#[test_case(false, 0; "the leader has not acted")]
fn a_standby_must_fence_an_earlier_leader_if_its_own_never_acted(acted: bool, served: usize) {
    let mut first = if acted {
        running(3, 12)
    } else {
        Harness::new(3, 12)
    };
    first.modes[2] = Mode::Partitioned;
    // None of the voters of the appointment before is left.
    let former = (1..3).map(|port| ([127, 0, 0, 9], port).into());
    let mut standby = first.into_standby(former.collect());
    standby.modes[2] = Mode::Healthy;
    standby.handle(Input::Tick);
    standby.advance(SECOND * 5);
    assert_eq!(standby.owners().len(), served);
    standby.handle(Input::PredecessorStopped);
    standby.advance(SECOND * 2);
    assert_eq!(standby.owners().len(), 12);
}
