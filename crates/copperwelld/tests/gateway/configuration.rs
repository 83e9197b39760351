//! How configurations reach the daemons.

use std::time::Duration;

use crate::{
    harness::{CONDITION_TIMEOUT, Harness},
    standin::{caller::leads, cluster, config, rule},
};
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

/// The routes of a large configuration.
const ROUTES: usize = 3_000;

/// Returns a configuration with `routes` routes more than the others.
fn with_routes(version: u64, routes: usize) -> Value {
    let more = (0..routes).map(|number| rule(&format!("more{number}"), "idempotent", "cups"));
    let rules: Vec<_> = [rule("cups", "idempotent", "cups")]
        .into_iter()
        .chain(more)
        .collect();
    config(
        version,
        &rules,
        &[cluster("cups", true), cluster("pay", false)],
    )
}

/// Waits until a configuration is in force at all daemons.
async fn wait_in_force(harness: &Harness, version: u64) {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    for daemon in &harness.daemons {
        while daemon.status(&harness.client, "configuration").await != Some(json!(version)) {
            assert!(
                Instant::now() < deadline,
                "{} lacks {version}",
                daemon.name()
            );
            sleep(Duration::from_millis(20)).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn every_daemon_reads_a_large_configuration_from_the_store() {
    let harness = Harness::start(4).await;
    harness.wait_served().await;
    for (version, routes) in [(3, ROUTES), (4, ROUTES + 1)] {
        let sent_before = harness.store.configuration_bytes_sent();
        let configuration = with_routes(version, routes);
        harness.store.configure(&configuration);
        wait_in_force(&harness, version).await;
        let sent = harness.store.configuration_bytes_sent() - sent_before;
        let size = configuration.to_string().len();
        assert!(sent < 2 * size, "{sent} bytes sent of {size}");
        for (number, daemon) in harness.daemons.iter().enumerate() {
            let path = format!("/more{}/1", routes - 1);
            let id = format!("{version}-{number}");
            let response = harness.send(number, &path, &id, 1).await;
            let status = response.map(|(status, _)| status.as_u16());
            assert_eq!(status, Some(200), "{}", daemon.name());
        }
    }
}

/// How many daemons may lead next, and read the store for the others meanwhile.
const SUCCESSORS: usize = 3;

/// Waits until each daemon knows whom to ask while there is no leader, and whether it is asked itself: among equally
/// strong daemons the first ones by name may lead next.
async fn wait_for_successors(harness: &Harness, leader: usize) {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    let leader = harness.daemons[leader].name();
    let followers = harness.daemons.iter().filter(|one| one.name() != leader);
    let mut followers: Vec<_> = followers.collect();
    followers.sort_by_key(|daemon| daemon.name());
    for (rank, daemon) in followers.into_iter().enumerate() {
        let is_successor = usize::from(rank < SUCCESSORS);
        let is_settled = |text: String| {
            text.contains(&format!("copperwell_assignment_successors {SUCCESSORS}\n"))
                && text.contains(&format!("copperwell_assignment_successor {is_successor}\n"))
        };
        while !daemon
            .metrics(&harness.client)
            .await
            .is_some_and(is_settled)
        {
            assert!(
                Instant::now() < deadline,
                "{} does not know the successors",
                daemon.name()
            );
            sleep(Duration::from_millis(20)).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn every_daemon_reads_a_large_configuration_from_the_store_while_no_leader_passes_it_on() {
    let mut harness = Harness::start(7).await;
    harness.wait_served().await;
    let leader = (0..harness.daemons.len())
        .find(|at| leads(&harness.store, &harness.daemons[*at].name()))
        .unwrap();
    wait_for_successors(&harness, leader).await;
    let sent_before = harness.store.configuration_bytes_sent();
    harness.daemons.remove(leader).signal(Signal::KILL);
    let configuration = with_routes(3, ROUTES);
    harness.store.configure(&configuration);
    wait_in_force(&harness, 3).await;
    let sent = harness.store.configuration_bytes_sent() - sent_before;
    let size = configuration.to_string().len();
    // Three successors read the store themselves.
    assert!(sent < 5 * size, "{sent} bytes sent of {size}");
}

/// Guards against a route that a daemon does not understand being refused as if it did not exist, and against other
/// routes that are refused with it.
#[tokio::test(flavor = "multi_thread")]
async fn route_that_is_not_understood_is_refused_as_unknown() {
    let harness = Harness::start(2).await;
    harness.wait_served().await;
    let mut odd = rule("odd", "idempotent", "cups");
    odd["priority"] = json!("high");
    let rules = [
        rule("cups", "idempotent", "cups"),
        rule("files", "download", "cups"),
        rule("streams", "stream", "cups"),
        odd,
    ];
    let clusters = [cluster("cups", true), cluster("pay", false)];
    harness.store.configure(&config(3, &rules, &clusters));
    wait_in_force(&harness, 3).await;
    for number in 0..harness.daemons.len() {
        for (prefix, expected) in [
            ("cups", 200),
            ("files", 200),
            ("streams", 200),
            ("odd", 503),
        ] {
            let id = format!("{prefix}-{number}");
            let response = harness.send(number, &format!("/{prefix}/1"), &id, 1).await;
            let status = response.map(|(status, _)| status.as_u16());
            assert_eq!(status, Some(expected), "/{prefix}/ at daemon {number}");
        }
    }
}
