//! Combined and repeated faults.

use std::time::Duration;

use copperwell_keyspace::GroupId;
use copperwell_message::Verdict;
use copperwell_rig::load::Entries;
use copperwell_standin::proxy::Accept;
use tokio::task::spawn_blocking;

use crate::{
    support::{DATA_CENTRE, GROUP, Harness, Load, OTHER_GROUP},
    test_request::TestRequest,
};

/// The service time of a request that completes during the test.
const SHORT_SERVICE_TIME: Duration = Duration::from_secs(1);

#[tokio::test(flavor = "multi_thread")]
async fn leader_killed_in_a_partitioned_data_centre_while_the_log_is_down() {
    let mut harness = Harness::start_proxied().await;
    let load = harness.load();
    let old = harness.leader(GROUP).await;
    harness.stop_log().await;
    harness.cluster.cut(DATA_CENTRE, true);
    harness.wait_partitioned(DATA_CENTRE).await;
    let _old = harness.kill(&old);
    harness.new_leader(GROUP, &old).await;
    harness.wait_data_centres_served().await;
    harness.cluster.cut(DATA_CENTRE, false);
    harness.wait_served().await;
    harness.restore_log().await;
    harness.wait_served().await;
    harness.end_load_and_check(load).await;
    assert_eq!(harness.moves(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn upstream_frozen_again_right_after_it_resumes() {
    let harness = Harness::start().await;
    let load = harness.load();
    let server = || harness.cluster.server("cal-a1").unwrap();
    for _ in 0..2 {
        server().freeze();
        harness.wait_lost("cal-a1").await;
        server().wake();
        // Frozen again before it learns that its shards were reassigned.
        server().freeze();
        harness.wait_served().await;
        server().wake();
        harness.wait_served().await;
    }
    harness.end_load_and_check(load).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn standby_killed_and_then_its_leader() {
    let mut harness = Harness::start().await;
    harness.cluster.add_node(DATA_CENTRE).await.unwrap();
    let third = harness.cluster.nodes.last().unwrap().name.to_string();
    harness.wait_served().await;
    let load = harness.load();
    let leader = harness.leader(GROUP).await;
    let nodes = harness.cluster.nodes.iter();
    let old = nodes.filter(|node| &*node.data_centre == DATA_CENTRE && *node.name != *third);
    let mut old: Vec<String> = old.map(|node| node.name.to_string()).collect();
    // The leader is killed last.
    old.sort_by_key(|name| *name == leader);
    for name in &old {
        let _old = harness.kill(name);
    }
    harness.cluster.list();
    harness.new_leader(GROUP, &leader).await;
    harness.wait_served().await;
    harness.end_load_and_check(load).await;
    assert_eq!(harness.moves(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_append_responses_while_a_leader_hands_over() {
    let mut harness = Harness::start().await;
    let load = harness.load();
    let old = harness.leader(GROUP).await;
    let appends = harness.cluster.platform.appends();
    harness.cluster.platform.lose_answers(2);
    let mut node = harness.cluster.take_node(&old);
    let shutdown = spawn_blocking(move || {
        node.terminate();
        node.wait()
    });
    assert!(
        shutdown.await.unwrap(),
        "{old} did not shut down gracefully"
    );
    harness.cluster.list();
    harness.new_leader(GROUP, &old).await;
    harness
        .wait("the new leader's appointment", |cluster| {
            cluster.platform.appends() > appends
        })
        .await;
    harness.cluster.add_node(DATA_CENTRE).await.unwrap();
    harness.wait_standby(GROUP).await;
    harness.wait_served().await;
    harness.end_load_and_check(load).await;
    assert_eq!(harness.moves(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn ingress_paused_with_requests_in_flight() {
    let mut harness = Harness::start_with_long_timeouts().await;
    let request = TestRequest::new(&harness, OTHER_GROUP, SHORT_SERVICE_TIME);
    let load = harness.load();
    let leader = harness.leader(GROUP).await;
    let nodes = harness.cluster.nodes.iter();
    let own = nodes.filter(|node| &*node.data_centre == DATA_CENTRE);
    let ingress = own.map(|node| node.name.to_string());
    let ingress = ingress.filter(|name| *name != leader).last().unwrap();
    let ingress = harness.cluster.take_node(&ingress);
    let ingress_load = Load::start(Entries::new(vec![ingress.addresses.callers]));
    let response = request.send(ingress.addresses.callers);
    harness.wait_running("ro-nord-b").await;
    ingress.pause();
    for node in &harness.cluster.nodes {
        harness.wait_unreachable(node, &ingress.name).await;
    }
    harness.wait_served().await;
    ingress.resume();
    let response = response.await.unwrap();
    assert_ne!(response.verdict, Some(Verdict::NotRun), "{response:?}");
    harness.wait_served_through(&ingress).await;
    // The request sent before the pause ran at most once and is recognized by its idempotency key.
    let repeated = request.send(ingress.addresses.callers).await.unwrap();
    assert_ne!(repeated.verdict, Some(Verdict::NotRun), "{repeated:?}");
    assert!(harness.cluster.record.times_run(&request.id.to_string()) <= 1);
    let mut results = ingress_load.end().await;
    results.extend(harness.end_load_and_check(load).await);
    harness.check_results(&results);
    assert_eq!(harness.moves(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn all_daemons_of_a_data_centre_replaced_while_the_log_is_down() {
    let mut harness = Harness::start().await;
    let load = harness.load();
    harness.stop_log().await;
    let nodes = harness.cluster.nodes.iter();
    let old = nodes.filter(|node| &*node.data_centre == DATA_CENTRE);
    let old: Vec<String> = old.map(|node| node.name.to_string()).collect();
    for name in &old {
        let _old = harness.kill(name);
    }
    for _ in &old {
        harness.cluster.add_node(DATA_CENTRE).await.unwrap();
    }
    let new = harness.cluster.nodes.iter();
    for node in new.filter(|node| &*node.data_centre == DATA_CENTRE) {
        harness
            .wait_status("the state of its peers", node, |status| {
                status.manifest == 1
            })
            .await;
        let entries = Entries::new(vec![node.addresses.callers]);
        let is_other_group = |group: &GroupId| group.to_string() == OTHER_GROUP;
        let served = harness
            .cluster
            .wait_groups_served(is_other_group, &entries)
            .await;
        served.unwrap();
    }
    harness.restore_log().await;
    harness.wait_served().await;
    harness.end_load_and_check(load).await;
    assert_eq!(harness.moves(), []);
}

/// Simulates daemons with incompatible control messages, which close each other's control
/// connections.
#[tokio::test(flavor = "multi_thread")]
async fn all_daemons_refuse_each_others_control_calls() {
    let mut harness = Harness::start_proxied().await;
    let load = harness.load();
    for node in &harness.cluster.nodes {
        let control = &node.doors.as_ref().unwrap().control;
        control.accept(Accept::Close);
        control.reset();
    }
    for node in &harness.cluster.nodes {
        for other in &harness.cluster.nodes {
            if other.name != node.name {
                harness.wait_unreachable(node, &other.name).await;
            }
        }
    }
    harness.wait_served().await;
    let old = harness.leader(GROUP).await;
    let _old = harness.kill(&old);
    harness.new_leader(GROUP, &old).await;
    harness.wait_served().await;
    for node in &harness.cluster.nodes {
        node.doors.as_ref().unwrap().heal();
    }
    harness.cluster.add_node(DATA_CENTRE).await.unwrap();
    harness.wait_standby(GROUP).await;
    harness.wait_served().await;
    harness.end_load_and_check(load).await;
    assert_eq!(harness.moves(), []);
}
