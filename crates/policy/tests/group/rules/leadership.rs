//! How a leader begins, holds and gives up its leadership.

use std::time::Duration;

use super::{SECOND, is_release, running};
use crate::{
    harness::{Harness, LEASE, Mode, config, shard_digest},
    server::Server,
};
use copperwell_policy::group::message::{Action, Input, Order, Predecessor, Route};
use test_case::test_case;

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
