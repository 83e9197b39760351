//! What a leader takes over from the one before, and on which evidence.

use super::{SECOND, is_grant, is_renew, running};
use crate::{
    harness::{Harness, LEASE, Mode, upstream},
    server::Server,
};
use copperwell_keyspace::manifest::Fencing;
use copperwell_policy::group::message::{Input, Order, Predecessor, Route};
use test_case::test_case;

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
