//! Each rule by itself.

use std::time::Duration;

use crate::{
    bench::{Bench, LEASE, Mood, config, digest, group_id, name, upstream},
    server::Server,
};
use copperwell_keyspace::manifest::Fencing;
use copperwell_policy::group::message::{Action, Input, Load, Order, Predecessor, Route};
use test_case::test_case;

const SECOND: Duration = Duration::from_secs(1);

fn is_give(order: &Order) -> bool {
    matches!(order, Order::Give { .. })
}

fn is_renew(order: &Order) -> bool {
    matches!(order, Order::Renew { .. })
}

fn is_release(order: &Order) -> bool {
    matches!(order, Order::Release { .. })
}

/// A group that has been served for a while.
fn running(servers: usize, shards: u32) -> Bench {
    let mut bench = Bench::new(servers, shards);
    bench.tell(Input::Tick);
    bench.pass(SECOND);
    assert_eq!(bench.owners().len(), shards as usize);
    bench
}

#[test]
fn a_new_group_is_granted_evenly_at_once() {
    let mut bench = Bench::new(4, 16);
    bench.tell(Input::Tick);
    let counts: Vec<usize> = (0..4).map(|server| bench.count(server)).collect();
    assert_eq!(counts, [4, 4, 4, 4]);
}

#[test]
fn a_new_group_waits_one_lease_for_a_server_that_does_not_answer() {
    let mut bench = Bench::new(2, 8);
    bench.moods[1] = Mood::Down;
    bench.tell(Input::Tick);
    bench.pass(SECOND);
    assert_eq!(bench.owners().len(), 0);
    bench.pass(SECOND);
    assert_eq!(bench.count(0), 8);
}

#[test]
fn a_change_of_leader_moves_no_shard() {
    let first = running(3, 12);
    let before = first.owners();
    let mut second = first.succeed(Predecessor::Acting);
    second.tell(Input::Tick);
    assert_eq!(second.owners(), before);
    let gives: usize = (0..3).map(|server| second.sent(server, is_give)).sum();
    assert_eq!(gives, 0);
}

#[test]
fn lapsed_grants_go_back_to_the_servers_that_had_them() {
    let mut first = running(3, 12);
    let before = first.owners();
    first.now += 2 * LEASE;
    let mut second = first.succeed(Predecessor::Acting);
    second.tell(Input::Tick);
    assert_eq!(second.owners(), before);
}

#[derive(Debug, Clone, Copy)]
enum Ends {
    Nothing,
    Answer,
    NewRun,
    Stopped,
}

#[test_case(Ends::Nothing, 60, 8; "without evidence they wait")]
#[test_case(Ends::Answer, 1, 12; "the server answers")]
#[test_case(Ends::NewRun, 1, 12; "a new run of the server answers")]
#[test_case(Ends::Stopped, 2, 12; "the old leader has stopped and one lease has passed")]
fn shards_that_nobody_reports_wait(ends: Ends, seconds: u32, served: usize) {
    let mut first = running(3, 12);
    first.moods[2] = Mood::Cut;
    let mut second = first.succeed(Predecessor::Acting);
    second.tell(Input::Tick);
    second.pass(SECOND);
    assert_eq!(second.owners().len(), 8);
    let lost = second.routes.values();
    assert_eq!(lost.filter(|route| **route == Route::Unowned).count(), 4);
    match ends {
        Ends::Nothing => {}
        Ends::Answer => second.moods[2] = Mood::Answers,
        Ends::NewRun => {
            second.servers[2].restart(second.now);
            second.moods[2] = Mood::Answers;
        }
        Ends::Stopped => second.tell(Input::Stopped),
    }
    second.pass(SECOND * seconds);
    assert_eq!(second.owners().len(), served);
}

#[test]
fn stopped_leaders_leases_are_waited_out() {
    let mut first = running(3, 12);
    first.moods[2] = Mood::Cut;
    let mut second = first.succeed(Predecessor::Acting);
    second.tell(Input::Tick);
    second.tell(Input::Stopped);
    second.pass(LEASE);
    assert_eq!(second.owners().len(), 8);
}

#[test]
fn too_few_servers_answer_for_a_take_over() {
    let mut first = running(2, 8);
    first.moods[1] = Mood::Cut;
    let mut second = first.succeed(Predecessor::Acting);
    second.tell(Input::Tick);
    second.pass(SECOND * 10);
    assert_eq!(second.sent(0, is_renew), 0);
    second.tell(Input::Stopped);
    second.pass(SECOND * 2);
    assert_eq!(second.count(0), 8);
}

#[test_case(Mood::Down)]
#[test_case(Mood::Cut)]
#[test_case(Mood::Mute)]
fn a_lost_upstream_is_waited_out_and_replaced_within_four_seconds(mood: Mood) {
    let mut bench = running(2, 8);
    bench.moods[1] = mood;
    let gives = bench.sent(0, is_give);
    let begin = bench.now;
    while bench.servers[1].holds(7, bench.now) {
        assert_eq!(bench.sent(0, is_give), gives);
        bench.pass(Duration::from_millis(10));
    }
    bench.pass((begin + SECOND * 4).saturating_sub(bench.now));
    assert_eq!(bench.count(0), 8);
}

#[test]
fn a_new_run_of_a_server_is_granted_at_once() {
    let mut bench = running(2, 8);
    bench.servers[1].restart(bench.now);
    bench.pass(LEASE / 3 + Duration::from_millis(20));
    assert_eq!(bench.count(1), 4);
    assert_eq!(bench.sent(0, is_give), 1);
}

#[test_case(false, 2; "without a quorum they wait")]
#[test_case(true, 6; "the log and the standby say that nobody else leads")]
fn a_leader_cut_off_from_most_servers(confirmed: bool, served: usize) {
    let mut bench = running(3, 6);
    bench.moods[1] = Mood::Cut;
    bench.moods[2] = Mood::Cut;
    bench.pass(SECOND * 10);
    if confirmed {
        bench.tell(Input::Confirmed(bench.at()));
        bench.pass(SECOND);
    }
    assert_eq!(bench.count(0), served);
}

#[test]
fn a_grant_without_answer_is_given_to_nobody_else_before_it_lapses() {
    let mut bench = running(2, 8);
    bench.servers[1].restart(bench.now);
    bench.moods[1] = Mood::MuteOnGive;
    let holds = |bench: &Bench| (0..8).any(|shard| bench.servers[1].holds(shard, bench.now));
    while !holds(&bench) {
        bench.pass(Duration::from_millis(1));
    }
    assert_eq!(bench.count(1), 0);
    bench.moods[1] = Mood::Cut;
    let begin = bench.now;
    while bench.now < begin + SECOND * 5 {
        for shard in 0..8 {
            let both = (0..2).all(|server| bench.servers[server].holds(shard, bench.now));
            assert!(!both, "shard {shard} at {:?}", bench.now);
        }
        bench.pass(Duration::from_millis(10));
    }
    assert_eq!(bench.count(0), 8);
}

#[test]
fn a_server_that_holds_something_else_is_asked_and_mended() {
    let mut bench = running(2, 8);
    let shard = *bench
        .owners()
        .iter()
        .find(|(_, owner)| **owner == 1)
        .unwrap()
        .0;
    bench.servers[1].let_go(shard, bench.now);
    assert!(!bench.servers[1].holds(shard, bench.now));
    bench.pass(LEASE);
    let holders = (0..2).filter(|server| bench.servers[*server].holds(shard, bench.now));
    assert_eq!(holders.count(), 1);
    assert_eq!(bench.owners().len(), 8);
}

#[test_case(true; "by manifest")]
#[test_case(false; "by its own word")]
fn a_draining_upstream_gets_no_new_work_within_two_seconds(by_manifest: bool) {
    let mut bench = running(3, 30);
    let busy = *bench
        .owners()
        .iter()
        .find(|(_, owner)| **owner == 1)
        .unwrap()
        .0;
    bench.busy.insert(busy);
    if by_manifest {
        bench.configure(|config| config.upstreams[1].drain = true);
    } else {
        bench.servers[1].is_draining = true;
    }
    bench.pass(SECOND * 2);
    assert_eq!(bench.count(1), 0);
    // What is in flight is not cut: its shard stays until it has ended.
    assert!(bench.servers[1].holds(busy, bench.now));
    assert_eq!(bench.owners().len(), 29);
    bench.busy.clear();
    bench.pass(SECOND);
    assert_eq!(bench.owners().len(), 30);
    assert!(!bench.servers[1].holds(busy, bench.now));
    assert_eq!(bench.sent(1, is_give), 1);
}

#[test]
fn the_last_upstream_that_drains_gets_no_new_work_either() {
    let mut bench = running(1, 4);
    bench.configure(|config| config.upstreams[0].drain = true);
    bench.pass(SECOND * 2);
    assert!(bench.routes.values().all(|route| *route == Route::Unowned));
}

#[test]
fn a_removed_upstream_lets_go_before_it_is_forgotten() {
    let mut bench = running(2, 8);
    bench.configure(|config| {
        config.upstreams.pop();
    });
    bench.pass(SECOND * 3);
    assert_eq!(bench.count(0), 8);
    assert!((0..8).all(|shard| !bench.servers[1].holds(shard, bench.now)));
    assert_eq!(bench.group.summary().servers.len(), 1);
}

#[test]
fn an_upstream_at_a_new_address_is_another_server() {
    let mut bench = running(2, 8);
    bench.configure(|config| config.upstreams[1].address.set_port(9));
    // The old address no longer answers; what it held is waited out.
    assert_eq!(bench.count(1), 0);
    bench.pass(LEASE / 2);
    assert_eq!(bench.owners().len(), 4);
    bench.pass(SECOND * 2);
    assert_eq!(bench.owners().len(), 8);
}

#[test]
fn an_isolated_leader_stops_renewing_where_the_service_wants_that() {
    let mut bench = Bench::with(
        (0..2).map(|_| Server::new(SECOND)).collect(),
        copperwell_policy::group::message::Config {
            isolation: Some(SECOND * 5),
            ..config(2, 8)
        },
        Predecessor::None,
    );
    bench.tell(Input::Tick);
    bench.pass(SECOND * 4);
    bench.tell(Input::Contact(bench.at()));
    bench.pass(SECOND * 4);
    assert_eq!(bench.owners().len(), 8);
    bench.pass(SECOND + LEASE + SECOND);
    assert!(
        (0..8).all(|shard| (0..2).all(|server| !bench.servers[server].holds(shard, bench.now)))
    );
    bench.tell(Input::Contact(bench.at()));
    bench.pass(SECOND);
    assert_eq!(bench.owners().len(), 8);
}

#[test]
fn where_isolated_leaders_stop_a_new_one_waits_no_longer_than_that() {
    let mut first = running(3, 12);
    first.config.isolation = Some(SECOND * 5);
    first.moods[2] = Mood::Cut;
    let mut second = first.succeed(Predecessor::Acting);
    second.tell(Input::Tick);
    second.pass(SECOND * 4);
    second.tell(Input::Contact(second.at()));
    second.pass(SECOND * 2);
    assert_eq!(second.owners().len(), 8);
    second.pass(SECOND);
    assert_eq!(second.owners().len(), 12);
}

#[test]
fn unchecked_servers_get_no_orders_until_the_old_leader_has_stopped() {
    let mut first = Bench::new(2, 8);
    for server in &mut first.servers {
        server.is_checked = false;
    }
    first.configure(|config| {
        for upstream in &mut config.upstreams {
            upstream.fencing = Fencing::Unchecked;
        }
    });
    first.pass(SECOND);
    let before = first.owners();
    assert_eq!(before.len(), 8);
    let mut second = first.succeed(Predecessor::Acting);
    second.tell(Input::Tick);
    second.pass(SECOND * 10);
    let others = second.orders.iter();
    assert_eq!(others.filter(|sent| sent.order != Order::Fence).count(), 0);
    second.tell(Input::Stopped);
    second.pass(LEASE);
    assert_eq!(second.owners().len(), 0);
    second.pass(SECOND);
    assert_eq!(second.owners(), before);
}

#[test]
fn a_higher_epoch_ends_it() {
    let mut bench = running(2, 8);
    bench.servers[0]
        .take(99, &Order::Fence, digest, bench.now)
        .unwrap();
    bench.pass(LEASE);
    assert_eq!(bench.actions.last(), Some(&Action::StepDown { by: 99 }));
    assert!(
        bench
            .routes
            .values()
            .all(|route| *route == Route::Elsewhere)
    );
    let orders = bench.orders.len();
    bench.pass(SECOND * 3);
    assert_eq!(bench.orders.len(), orders);
}

#[test]
fn a_hand_over_waits_for_requests_in_flight_and_keeps_their_grants() {
    let mut bench = running(2, 8);
    bench.busy.insert(3);
    bench.tell(Input::HandOver);
    assert!(bench.routes.values().all(|route| *route == Route::Held));
    bench.pass(SECOND * 3);
    assert!(!bench.actions.contains(&Action::HandedOver));
    bench.busy.clear();
    bench.pass(Duration::from_millis(50));
    assert!(bench.actions.contains(&Action::HandedOver));
    assert!(
        bench
            .routes
            .values()
            .all(|route| *route == Route::Elsewhere)
    );
    let held =
        (0..8).filter(|shard| (0..2).any(|server| bench.servers[server].holds(*shard, bench.now)));
    assert_eq!(held.count(), 8);
    let releases: usize = (0..2).map(|server| bench.sent(server, is_release)).sum();
    assert_eq!(releases, 0);
}

#[test]
fn shards_for_another_group_are_let_go_first_and_told_until_the_log_has_them() {
    let mut bench = running(2, 8);
    bench.tell(Input::GiveAway {
        shards: vec![1, 2],
        to: group_id(1),
    });
    bench.pass(SECOND);
    let told = Action::LetGo {
        shards: vec![1, 2],
        to: group_id(1),
    };
    let count = |bench: &Bench| {
        bench
            .actions
            .iter()
            .filter(|action| **action == told)
            .count()
    };
    assert_eq!(count(&bench), 1);
    for shard in [1, 2] {
        assert!((0..2).all(|server| !bench.servers[server].holds(shard, bench.now)));
        assert_eq!(bench.routes[&shard], Route::Held);
    }
    bench.pass(SECOND * 4);
    assert_eq!(count(&bench), 2);
    bench.configure(|config| config.shards.retain(|shard| ![1, 2].contains(shard)));
    bench.pass(SECOND * 10);
    assert_eq!(count(&bench), 2);
    assert_eq!(bench.routes[&1], Route::Elsewhere);
}

#[test]
fn load_moves_away_from_a_hot_shard_and_then_rests() {
    let mut bench = running(2, 8);
    let hot = *bench
        .owners()
        .iter()
        .find(|(_, owner)| **owner == 0)
        .unwrap()
        .0;
    for _ in 0..120 {
        bench.tell(Input::Load(vec![Load {
            shard: hot,
            requests: 50,
        }]));
        bench.pass(SECOND);
    }
    assert_eq!(bench.owners()[&hot], 0);
    assert_eq!((bench.count(0), bench.count(1)), (1, 7));
    let moves = bench.actions.iter();
    assert_eq!(
        moves
            .filter(|action| matches!(action, Action::Moved { from: Some(_), .. }))
            .count(),
        3
    );
}

#[test]
fn a_new_upstream_gets_its_share_and_nothing_else_moves() {
    let mut bench = running(2, 30);
    let before = bench.owners();
    bench.servers.push(Server::new(SECOND));
    bench.moods.push(Mood::Answers);
    bench.configure(|config| config.upstreams.push(upstream(2)));
    bench.pass(SECOND * 120);
    let after = bench.owners();
    assert!(bench.count(2) >= 8, "{}", bench.count(2));
    let moved = after
        .iter()
        .filter(|(shard, owner)| before[shard] != **owner);
    assert!(moved.clone().all(|(_, owner)| *owner == 2));
    assert_eq!(moved.count(), bench.count(2));
    assert_eq!(name(2), bench.config.upstreams[2].name);
}

#[test_case(Mood::Answers, 3; "it answers")]
#[test_case(Mood::Cut, 5; "it is waited out")]
fn a_former_upstream_is_retired_when_it_holds_nothing(mood: Mood, seconds: u32) {
    let retired = Action::Retire(vec![name(2)]);
    let mut bench = running(3, 12);
    bench.moods[2] = mood;
    bench.configure(|config| config.former.extend(config.upstreams.pop()));
    bench.pass(LEASE / 2);
    if mood == Mood::Cut {
        assert!(!bench.actions.contains(&retired));
    }
    bench.pass(SECOND * seconds);
    assert!(bench.actions.contains(&retired));
    assert_eq!(bench.owners().len(), 12);
    bench.configure(|config| config.former.clear());
    bench.pass(SECOND);
    assert_eq!(bench.group.summary().servers.len(), 2);
}

#[test]
fn a_former_upstream_that_does_not_answer_a_new_leader_is_not_retired() {
    let mut first = running(3, 12);
    first.moods[2] = Mood::Cut;
    let mut second = first.succeed(Predecessor::Acting);
    second.configure(|config| config.former.extend(config.upstreams.pop()));
    second.pass(SECOND * 20);
    let is_retire = |action: &Action| matches!(action, Action::Retire(_));
    assert!(!second.actions.iter().any(is_retire));
    assert_eq!(second.owners().len(), 8);
    second.tell(Input::Stopped);
    second.pass(SECOND * 3);
    assert!(second.actions.contains(&Action::Retire(vec![name(2)])));
    assert_eq!(second.owners().len(), 12);
}

#[test]
fn a_successor_counts_the_servers_that_counted_before() {
    // The leader was appointed with two servers; a third came later, and the leader is cut off from
    // the second, which it may have replaced with the first alone.
    let mut first = running(2, 8);
    first.servers.push(Server::new(SECOND));
    first.moods.push(Mood::Answers);
    first.moods[0] = Mood::Cut;
    let mut second = first.succeed(Predecessor::Acting);
    second.configure(|config| config.upstreams.push(upstream(2)));
    second.pass(SECOND * 10);
    // Two of three answer, but only one of the two that count.
    assert_eq!(second.sent(1, is_renew), 0);
    second.moods[0] = Mood::Answers;
    second.pass(SECOND);
    assert_eq!(second.owners().len(), 8);
}

#[test_case(true; "with its server's run")]
#[test_case(false; "by lapse")]
fn what_was_lost_before_the_take_over_may_be_anywhere(restarts: bool) {
    let mut first = running(3, 12);
    first.moods[0] = Mood::Cut;
    first.moods[2] = Mood::Cut;
    let mut second = first.succeed(Predecessor::Acting);
    second.tell(Input::Tick);
    // One server has reported its shards, and one is too few to take over.
    if restarts {
        second.servers[1].restart(second.now);
        second.pass(LEASE / 2);
    } else {
        second.pass(LEASE * 2);
    }
    second.moods[0] = Mood::Answers;
    second.pass(SECOND);
    // The old leader may have granted them to the third server meanwhile.
    assert!(second.group.summary().settled);
    assert_eq!(second.sent(0, is_give) + second.sent(1, is_give), 0);
    second.moods[2] = Mood::Answers;
    second.pass(SECOND);
    assert_eq!(second.owners().len(), 12);
}

#[test_case(Fencing::Unchecked; "that would still take it")]
#[test_case(Fencing::Checked; "that refuses it")]
fn a_late_grant_to_a_server_that_was_drained_since(fencing: Fencing) {
    let mut bench = Bench::new(2, 8);
    for server in &mut bench.servers {
        server.is_checked = fencing == Fencing::Checked;
    }
    bench.moods[1] = Mood::LateOnGive;
    bench.configure(|config| {
        for upstream in &mut config.upstreams {
            upstream.fencing = fencing;
        }
    });
    let late = bench
        .orders
        .iter()
        .find(|sent| sent.server == 1 && is_give(&sent.order));
    let late = late.unwrap().order.clone();
    bench.moods[1] = Mood::Answers;
    bench.pass(Duration::from_millis(100));
    assert_eq!(bench.count(1), 4);
    bench.configure(|config| config.upstreams[1].drain = true);
    bench.pass(Duration::from_millis(100));
    assert!(
        bench.servers[1].take(4, &late, digest, bench.now).is_ok() != (fencing == Fencing::Checked)
    );
    for shard in 0..8 {
        let both = (0..2).all(|server| bench.servers[server].holds(shard, bench.now));
        assert!(!both, "shard {shard}");
    }
    bench.pass(LEASE * 2);
    assert_eq!(bench.count(0), 8);
}

#[test_case(true, 12; "the leader has acted")]
#[test_case(false, 0; "nobody has")]
fn a_standby_answers_for_an_earlier_leader_if_its_own_never_acted(acted: bool, served: usize) {
    let mut first = if acted {
        running(3, 12)
    } else {
        Bench::new(3, 12)
    };
    first.moods[2] = Mood::Cut;
    // Of the servers that counted for the leader before, none is left.
    let gone = (1..3).map(|port| ([127, 0, 0, 9], port).into());
    let mut standby = first.take_over(gone.collect());
    standby.moods[2] = Mood::Answers;
    standby.tell(Input::Tick);
    standby.pass(SECOND * 5);
    assert_eq!(standby.owners().len(), served);
    standby.tell(Input::Stopped);
    standby.pass(SECOND * 2);
    assert_eq!(standby.owners().len(), 12);
}
