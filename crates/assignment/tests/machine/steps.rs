//! Single faults, and how soon all keys are served again.

use std::{sync::Arc, time::Duration};

use crate::simulation::{STEP, Server, Simulation, sample, upstream};
use copperwell_assignment::demand::Report;
use test_case::test_case;

const SERVERS: usize = 5;

/// How long after its first upstream a new service has all keys served.
const STARTUP_TIME: Duration = Duration::from_secs(5);

fn key_count() -> usize {
    sample().count()
}

fn started() -> Simulation {
    let mut simulation = Simulation::new(SERVERS, 1);
    simulation.run(STARTUP_TIME);
    assert_eq!(simulation.served(), key_count());
    simulation
}

fn keys_held_by(simulation: &Simulation, server: usize) -> usize {
    sample()
        .filter(|key| simulation.holder(*key) == Some(server))
        .count()
}

#[test]
fn a_new_service_is_spread_over_its_upstreams() {
    let simulation = started();
    for server in 0..SERVERS {
        let share = keys_held_by(&simulation, server) * SERVERS;
        assert!(share > key_count() * 8 / 10, "server {server} has {share}");
    }
}

#[test]
fn an_upstream_that_drains_is_empty_within_a_second() {
    let mut simulation = started();
    simulation.servers[0].drain();
    simulation.run(Duration::from_millis(1_600));
    assert_eq!(keys_held_by(&simulation, 0), 0);
    assert_eq!(simulation.served(), key_count());
}

/// Guards against keys that stay in an evacuated data centre, and against keys that move more than once when it comes
/// back.
#[test_case(Duration::from_secs(3); "after all keys have left")]
#[test_case(Duration::from_millis(300); "while keys leave")]
fn evacuated_upstreams_keep_keys_or_come_back_with_more_moves_than_needed(evacuated: Duration) {
    let mut simulation = started();
    let set_draining = |simulation: &mut Simulation, is_draining| {
        for server in &mut simulation.servers[..2] {
            Arc::make_mut(&mut server.upstream).is_draining = is_draining;
        }
    };
    set_draining(&mut simulation, true);
    simulation.run(evacuated);
    if evacuated > Duration::from_secs(2) {
        assert_eq!(
            keys_held_by(&simulation, 0) + keys_held_by(&simulation, 1),
            0
        );
        assert_eq!(simulation.served(), key_count());
    }
    set_draining(&mut simulation, false);
    // What was on its way arrives.
    simulation.run(Duration::from_secs(1));
    let holders = |simulation: &Simulation| -> Vec<_> {
        sample().map(|key| simulation.holder(key)).collect()
    };
    let mut last = holders(&simulation);
    let mut moves = vec![0; key_count()];
    let until = simulation.now + Duration::from_secs(30);
    while simulation.now < until {
        simulation.run(STEP);
        for (index, holder) in holders(&simulation).into_iter().enumerate() {
            if holder.is_some() && holder != last[index] {
                moves[index] += 1;
                last[index] = holder;
            }
        }
    }
    let most = moves.iter().max().unwrap();
    assert!(*most <= 1, "a key moved {most} times");
    assert_eq!(simulation.served(), key_count());
    for server in 0..2 {
        assert!(keys_held_by(&simulation, server) > 0, "server {server}");
    }
}

/// Guards against upstreams of a large service that have no keys for many seconds after they have come back, while the
/// others are overloaded: eight ranges migrated at a time, however many upstreams lacked keys.
#[test]
fn many_upstreams_that_come_back_lack_keys_for_long() {
    let (servers, returning) = (183, 61);
    let mut simulation = Simulation::new(servers, 1);
    simulation.run(STARTUP_TIME);
    let set_draining = |simulation: &mut Simulation, is_draining| {
        for server in &mut simulation.servers[..returning] {
            Arc::make_mut(&mut server.upstream).is_draining = is_draining;
        }
    };
    let without_keys = |simulation: &Simulation| {
        let mut held = vec![false; servers];
        for key in 0..=u16::MAX {
            if let Some(holder) = simulation.holder(key) {
                held[holder] = true;
            }
        }
        held.iter().filter(|held| !**held).count()
    };
    set_draining(&mut simulation, true);
    simulation.run(Duration::from_secs(3));
    assert_eq!(without_keys(&simulation), returning);
    set_draining(&mut simulation, false);
    simulation.run(Duration::from_secs(3));
    assert_eq!(without_keys(&simulation), 0);
}

#[test]
fn an_upstream_that_is_lost_is_replaced_when_its_grants_have_expired() {
    let mut simulation = started();
    simulation.servers[0].is_reachable = false;
    simulation.run(Duration::from_millis(7_500));
    assert_eq!(simulation.served(), key_count());
}

#[test]
fn a_restarted_upstream_gets_keys_at_once() {
    let mut simulation = started();
    simulation.servers[0].crash();
    simulation.servers[0].restart();
    simulation.run(Duration::from_millis(1_500));
    assert_eq!(simulation.served(), key_count());
}

const WARMUP: Duration = Duration::from_secs(3);

/// Guards against an upstream that is overrun after its restart by the requests for the keys which it had.
#[test_case(true; "of a service that limits its requests")]
#[test_case(false; "of another service")]
fn restarted_upstream_keeps_its_keys_while_it_warms_up(limits_warmups: bool) {
    let mut simulation = started();
    simulation.limits_warmups = limits_warmups;
    simulation.servers[0].crash();
    simulation.servers[0].restart();
    simulation.servers[0].set_warmup(WARMUP);
    simulation.run(Duration::from_millis(2_000));
    assert_eq!(keys_held_by(&simulation, 0) == 0, limits_warmups);
    assert_eq!(simulation.served(), key_count());
}

/// Guards against keys without a holder while all upstreams warm up, and against one that takes the keys of all others
/// because it is warm first.
#[test]
fn keys_are_unserved_while_all_upstreams_warm_up() {
    let mut simulation = Simulation::new(SERVERS, 1);
    simulation.limits_warmups = true;
    for server in &mut simulation.servers {
        server.set_warmup(WARMUP);
    }
    simulation.run(STARTUP_TIME);
    assert_eq!(simulation.served(), key_count());
    simulation.servers[0].set_warmup(Duration::ZERO);
    simulation.run(Duration::from_secs(2));
    assert!(keys_held_by(&simulation, 0) < key_count() / 2);
}

/// Guards against free keys that are granted to an upstream that warms up.
#[test]
fn keys_of_a_lost_upstream_go_to_one_that_warms_up() {
    let mut simulation = started();
    simulation.limits_warmups = true;
    simulation.servers[1].set_warmup(WARMUP);
    simulation.run(Duration::from_secs(1));
    let before = keys_held_by(&simulation, 1);
    simulation.servers[0].drain();
    simulation.run(Duration::from_secs(2));
    assert_eq!(simulation.served(), key_count());
    assert_eq!(keys_held_by(&simulation, 1), before);
}

/// Another upstream at the same address proves that the old one has ended, also to a new leader.
#[test]
fn an_upstream_whose_address_was_reused_is_replaced_at_once() {
    let mut simulation = started();
    simulation.change_leader();
    let old = simulation.servers[0].upstream.clone();
    simulation.servers[0].crash();
    simulation.servers[0].is_listed = false;
    let mut other = (*upstream(7, 2)).clone();
    other.address = old.address;
    other.service = "plates".into();
    simulation.all = vec![other.into()];
    simulation.run(Duration::from_millis(1_500));
    assert_eq!(simulation.served(), key_count());
}

/// The new leader cannot know the last orders of its predecessor, so it sends the holder a higher
/// fencing token before it moves any range. That must happen only once, not again and again.
#[test_case(Duration::ZERO; "at once")]
#[test_case(Duration::from_secs(3); "later")]
fn an_upstream_drains_after_a_change_of_leader(wait: Duration) {
    let mut simulation = started();
    simulation.change_leader();
    simulation.run(wait);
    let writes = simulation.writes;
    simulation.servers[0].drain();
    simulation.run(Duration::from_millis(1_700));
    assert_eq!(keys_held_by(&simulation, 0), 0);
    assert_eq!(simulation.served(), key_count());
    let writes = simulation.writes - writes;
    assert!(writes <= 10, "{writes} writes");
}

/// The plan of the copy names holders that a lost plan may have replaced.
#[test_case(true; "with an earlier plan")]
#[test_case(false; "without any plan")]
fn keys_have_no_holder_after_the_store_comes_back_from_a_copy(has_copy: bool) {
    let mut simulation = started();
    let copy = simulation.stored.clone().filter(|_| has_copy);
    simulation.servers[0].drain();
    simulation.run(Duration::from_secs(3));
    simulation.change_leader_after_loss(copy);
    simulation.run(Duration::from_secs(25));
    assert_eq!(simulation.served(), key_count());
}

#[test]
fn a_change_of_leader_moves_no_keys() {
    let mut simulation = started();
    let before: Vec<_> = sample().map(|key| simulation.holder(key)).collect();
    let writes = simulation.writes;
    simulation.change_leader();
    simulation.run(Duration::from_secs(20));
    let after: Vec<_> = sample().map(|key| simulation.holder(key)).collect();
    assert_eq!(before, after);
    assert_eq!(simulation.writes, writes);
}

/// Guards against keys that have no holder for as long as leaders change: each leader waited anew for the grants of an
/// upstream that is gone, as it did not know when these were sent.
#[test]
fn keys_of_a_lost_upstream_have_no_holder_while_leaders_change() {
    let mut simulation = started();
    simulation.servers[0].crash();
    simulation.servers[0].is_listed = false;
    // A grant lasts 10 s at most, and may be sent and read up to 6 s late.
    for _ in 0..8 {
        simulation.run(Duration::from_millis(2_500));
        simulation.change_leader();
    }
    assert_eq!(simulation.served(), key_count());
}

/// All upstreams are unreachable for a while. Afterwards they must be granted keys again, once the
/// grants without an answer have expired.
#[test]
fn upstreams_that_were_all_unresponsive_get_keys_again() {
    let mut simulation = started();
    for server in &mut simulation.servers {
        server.is_reachable = false;
    }
    simulation.run(Duration::from_secs(30));
    for server in &mut simulation.servers {
        server.is_reachable = true;
    }
    simulation.run(Duration::from_millis(7_500));
    assert_eq!(simulation.served(), key_count());
}

/// An upstream that was unresponsive and lost its keys must be tried again later.
#[test]
fn an_upstream_that_was_unresponsive_gets_keys_again() {
    let mut simulation = started();
    simulation.servers[0].is_reachable = false;
    simulation.run(Duration::from_secs(10));
    assert_eq!(keys_held_by(&simulation, 0), 0);
    simulation.servers[0].is_reachable = true;
    simulation.run(Duration::from_secs(20));
    assert!(keys_held_by(&simulation, 0) > 0);
}

/// A leader that is cut off from the store announces when its grants end. So its successor replaces
/// an upstream that was lost at the same time as early as the leader itself would have.
#[test]
fn an_upstream_that_is_lost_with_its_leader_is_replaced_when_its_grants_have_expired() {
    let mut simulation = started();
    simulation.servers[0].is_reachable = false;
    simulation.run(Duration::from_millis(100));
    simulation.change_leader_with_known_grants_end();
    simulation.run(Duration::from_millis(7_500));
    assert_eq!(simulation.served(), key_count());
}

#[test]
fn grants_outlast_an_outage_of_the_store() {
    let mut simulation = started();
    simulation.is_store_unreachable = true;
    // The lease lapses soon after; no orders are sent from then on.
    simulation.run(Duration::from_millis(1_500));
    let until = simulation.now + Duration::from_millis(8_300);
    while simulation.now < until {
        simulation.now += crate::simulation::STEP;
        assert_eq!(simulation.served(), key_count(), "at {:?}", simulation.now);
    }
}

#[test]
fn an_upstream_that_joins_gets_keys() {
    let mut simulation = started();
    simulation.servers.push(Server::new(upstream(SERVERS, 1)));
    simulation.run(Duration::from_secs(4));
    assert!(keys_held_by(&simulation, SERVERS) > 0);
    assert_eq!(simulation.served(), key_count());
}

/// A fifth of all work is for neighbouring keys, which must be spread over several servers.
#[test]
fn work_for_neighbouring_keys_is_spread() {
    let mut simulation = started();
    let report = |first: u16, count: u16| Report {
        service: "cups".into(),
        requests: u32::from(count),
        keys: (first..first + count).map(|key| (key, 50)).collect(),
        upstreams: Vec::new(),
    };
    for _ in 0..50 {
        // All other work is spread evenly.
        let even = Report {
            requests: 160,
            keys: (0..160).map(|number| (number * 400, 50)).collect(),
            ..report(0, 0)
        };
        simulation.machine.add_report(&even);
        simulation.machine.add_report(&report(20_000, 40));
        simulation.run(Duration::from_millis(100));
    }
    let busy = (20_000..20_040).map(|key| simulation.machine.table().served(key).unwrap().upstream);
    let mut busy: Vec<_> = busy.collect();
    busy.sort();
    busy.dedup();
    assert!(busy.len() >= 2, "{busy:?}");
}

/// One key brings more work than any server can do: its server admits only a share of the requests,
/// the others admit all.
#[test]
fn an_overloaded_holder_admits_a_share_of_requests() {
    let mut simulation = started();
    for _ in 0..100 {
        simulation.machine.add_report(&Report {
            service: "cups".into(),
            requests: 4,
            keys: vec![(7, 400)],
            upstreams: Vec::new(),
        });
        simulation.run(Duration::from_millis(100));
    }
    let table = simulation.machine.table();
    let admitted_share = table.served(7).unwrap().admitted_share;
    // Four seconds of work per second for two slots.
    assert!((0.4..=0.65).contains(&admitted_share), "{admitted_share}");
    let busy = table.served(7).unwrap().upstream;
    let other = sample().find_map(|key| table.served(key).filter(|other| other.upstream != busy));
    assert!((other.unwrap().admitted_share - 1.0).abs() < f64::EPSILON);
}

/// A busy server reads late from a new connection. If it is cut off before, it still holds the keys
/// that it reads about then, so these must wait until that grant has expired.
#[test]
fn a_grant_read_late_during_a_partition_must_expire_first() {
    for _ in 0..20 {
        let mut simulation = started();
        simulation.read_late = 1.0;
        simulation.run(Duration::from_millis(1_800));
        simulation.servers[0].is_reachable = false;
        simulation.read_late = 0.0;
        // The simulation checks after each step that no key has two holders.
        simulation.run(Duration::from_secs(14));
        assert_eq!(simulation.served(), key_count());
    }
}

/// Only the leader cannot open connections to most servers, until another daemon leads.
#[test]
fn a_leader_that_reaches_few_servers_takes_keys_from_the_others() {
    let mut simulation = started();
    simulation.probes_paths = true;
    let before: Vec<_> = sample().map(|key| simulation.holder(key)).collect();
    for server in &mut simulation.servers[1..] {
        server.is_path_lost = true;
    }
    simulation.run(Duration::from_millis(2_900));
    let table = simulation.machine.table();
    let routed = sample().filter(|key| table.served(*key).is_some());
    assert_eq!(routed.count(), key_count());
    simulation.change_leader();
    for server in &mut simulation.servers {
        server.is_path_lost = false;
    }
    simulation.run(Duration::from_secs(20));
    let after: Vec<_> = sample().map(|key| simulation.holder(key)).collect();
    assert_eq!(before, after);
}

/// The processes behind the lost paths may have ended, so their keys go elsewhere in the end.
#[test]
fn keys_stay_for_ever_at_servers_that_the_leader_does_not_reach() {
    let mut simulation = started();
    simulation.probes_paths = true;
    for server in &mut simulation.servers[2..] {
        server.is_path_lost = true;
    }
    simulation.run(Duration::from_secs(12));
    assert_eq!(simulation.served(), key_count());
    for server in 2..SERVERS {
        assert_eq!(keys_held_by(&simulation, server), 0, "server {server}");
    }
}

#[test]
fn a_server_that_can_be_connected_again_waits_for_keys() {
    let mut simulation = started();
    simulation.probes_paths = true;
    simulation.servers[0].is_path_lost = true;
    simulation.run(Duration::from_secs(10));
    assert_eq!(keys_held_by(&simulation, 0), 0);
    simulation.servers[0].is_path_lost = false;
    simulation.run(Duration::from_secs(5));
    assert!(keys_held_by(&simulation, 0) > 0);
}
