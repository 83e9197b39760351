//! Faults that come together, or twice in turn.

use std::time::Duration;

use copperwell_keyspace::GroupId;
use copperwell_message::Verdict;
use copperwell_rig::load::Entries;
use copperwell_standin::proxy::Accept;
use tokio::task::spawn_blocking;

use crate::{
    support::{Bench, GROUP, HERE, Load, OTHER_GROUP},
    test_request::Ask,
};

/// How long a request runs that is to finish.
const SHORT: Duration = Duration::from_secs(1);

#[tokio::test(flavor = "multi_thread")]
async fn leader_killed_in_a_data_centre_cut_off_while_the_log_is_down() {
    let mut bench = Bench::start_proxied().await;
    let load = bench.load();
    let old = bench.leader(GROUP).await;
    bench.lose_log().await;
    bench.cluster.cut(HERE, true);
    bench.wait_cut(HERE).await;
    let _old = bench.kill(&old);
    bench.new_leader(GROUP, &old).await;
    bench.serves_apart().await;
    bench.cluster.cut(HERE, false);
    bench.serves().await;
    bench.regain_log().await;
    bench.serves().await;
    bench.check(load).await;
    assert_eq!(bench.moves(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn upstream_frozen_woken_and_frozen_again() {
    let bench = Bench::start().await;
    let load = bench.load();
    let server = || bench.cluster.server("cal-a1").unwrap();
    for _ in 0..2 {
        server().freeze();
        bench.wait_lost("cal-a1").await;
        server().wake();
        // Frozen again before it has learnt what became of its shards.
        server().freeze();
        bench.serves().await;
        server().wake();
        bench.serves().await;
    }
    bench.check(load).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn standby_killed_and_then_its_leader() {
    let mut bench = Bench::start().await;
    bench.cluster.add_node(HERE).await.unwrap();
    let third = bench.cluster.nodes.last().unwrap().name.to_string();
    bench.serves().await;
    let load = bench.load();
    let leader = bench.leader(GROUP).await;
    let nodes = bench.cluster.nodes.iter();
    let old = nodes.filter(|node| &*node.data_centre == HERE && *node.name != *third);
    let mut old: Vec<String> = old.map(|node| node.name.to_string()).collect();
    // The leader is the last to go.
    old.sort_by_key(|name| *name == leader);
    for name in &old {
        let _old = bench.kill(name);
    }
    bench.cluster.list();
    bench.new_leader(GROUP, &leader).await;
    bench.serves().await;
    bench.check(load).await;
    assert_eq!(bench.moves(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_appends_while_a_leader_hands_over() {
    let mut bench = Bench::start().await;
    let load = bench.load();
    let old = bench.leader(GROUP).await;
    let appends = bench.cluster.platform.appends();
    bench.cluster.platform.lose_answers(2);
    let mut node = bench.cluster.take_node(&old);
    let ended = spawn_blocking(move || {
        node.terminate();
        node.wait()
    });
    assert!(ended.await.unwrap(), "{old} did not stop in order");
    bench.cluster.list();
    bench.new_leader(GROUP, &old).await;
    bench
        .wait("the new leader's appointment", |cluster| {
            cluster.platform.appends() > appends
        })
        .await;
    bench.cluster.add_node(HERE).await.unwrap();
    bench.wait_standby(GROUP).await;
    bench.serves().await;
    bench.check(load).await;
    assert_eq!(bench.moves(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn ingress_paused_with_requests_in_flight() {
    let mut bench = Bench::start_patient().await;
    let ask = Ask::new(&bench, OTHER_GROUP, SHORT);
    let load = bench.load();
    let leader = bench.leader(GROUP).await;
    let nodes = bench.cluster.nodes.iter();
    let own = nodes.filter(|node| &*node.data_centre == HERE);
    let ingress = own.map(|node| node.name.to_string());
    let ingress = ingress.filter(|name| *name != leader).last().unwrap();
    let ingress = bench.cluster.take_node(&ingress);
    let direct = Load::start(Entries::new(vec![ingress.addresses.callers]));
    let answer = ask.send(ingress.addresses.callers);
    bench.wait_running("ro-nord-b").await;
    ingress.pause();
    for node in &bench.cluster.nodes {
        bench.wait_unreachable(node, &ingress.name).await;
    }
    bench.serves().await;
    ingress.resume();
    let answer = answer.await.unwrap();
    assert_ne!(answer.verdict, Some(Verdict::NotRun), "{answer:?}");
    bench.serves_through(&ingress).await;
    // What it was asked meanwhile has at most run once, and is known by its key.
    let again = ask.send(ingress.addresses.callers).await.unwrap();
    assert_ne!(again.verdict, Some(Verdict::NotRun), "{again:?}");
    assert!(bench.cluster.record.times_run(&ask.id.to_string()) <= 1);
    let mut results = direct.end().await;
    results.extend(bench.check(load).await);
    bench.check_results(&results);
    assert_eq!(bench.moves(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn all_daemons_of_a_data_centre_replaced_while_the_log_is_down() {
    let mut bench = Bench::start().await;
    let load = bench.load();
    bench.lose_log().await;
    let nodes = bench.cluster.nodes.iter();
    let old = nodes.filter(|node| &*node.data_centre == HERE);
    let old: Vec<String> = old.map(|node| node.name.to_string()).collect();
    for name in &old {
        let _old = bench.kill(name);
    }
    for _ in &old {
        bench.cluster.add_node(HERE).await.unwrap();
    }
    let new = bench.cluster.nodes.iter();
    for node in new.filter(|node| &*node.data_centre == HERE) {
        bench
            .wait_status("the state of its peers", node, |status| {
                status.manifest == 1
            })
            .await;
        let entries = Entries::new(vec![node.addresses.callers]);
        let others = |group: &GroupId| group.to_string() == OTHER_GROUP;
        let served = bench.cluster.wait_groups_served(others, &entries).await;
        served.unwrap();
    }
    bench.regain_log().await;
    bench.serves().await;
    bench.check(load).await;
    assert_eq!(bench.moves(), []);
}

/// What daemons do to each other whose control messages differ.
#[tokio::test(flavor = "multi_thread")]
async fn all_daemons_refuse_each_others_control_calls() {
    let mut bench = Bench::start_proxied().await;
    let load = bench.load();
    for node in &bench.cluster.nodes {
        let control = &node.doors.as_ref().unwrap().control;
        control.accept(Accept::Close);
        control.reset();
    }
    for node in &bench.cluster.nodes {
        for other in &bench.cluster.nodes {
            if other.name != node.name {
                bench.wait_unreachable(node, &other.name).await;
            }
        }
    }
    bench.serves().await;
    let old = bench.leader(GROUP).await;
    let _old = bench.kill(&old);
    bench.new_leader(GROUP, &old).await;
    bench.serves().await;
    for node in &bench.cluster.nodes {
        node.doors.as_ref().unwrap().heal();
    }
    bench.cluster.add_node(HERE).await.unwrap();
    bench.wait_standby(GROUP).await;
    bench.serves().await;
    bench.check(load).await;
    assert_eq!(bench.moves(), []);
}
