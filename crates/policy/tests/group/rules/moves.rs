//! Shards that move: from upstreams that drain or are removed, to new ones and for load.

use super::{SECOND, is_grant, running};
use crate::{
    harness::{Harness, LEASE, Mode, group_id, name, upstream},
    server::Server,
};
use copperwell_policy::group::message::{Action, Input, Load, Predecessor, Route};
use test_case::test_case;

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
