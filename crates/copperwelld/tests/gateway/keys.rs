//! Requests reach the holders of their keys while daemons, servers or the store fail.

use std::time::Duration;

use crate::{
    harness::{CONDITION_TIMEOUT, Daemon, Harness, configure},
    standin::{caller, server::Server, store},
};
use http::StatusCode;
use tokio::time::{Instant, sleep};

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_by_the_holder_of_their_key() {
    let harness = Harness::start(2).await;
    harness.wait_served().await;
    assert!(harness.is_ready(0).await && harness.is_ready(1).await);
    for key in [0, 40_000, u16::MAX] {
        let holders = harness
            .servers
            .iter()
            .filter(|server| server.holds(key.into()).is_some());
        let holders: Vec<_> = holders.map(|server| server.id.clone()).collect();
        assert_eq!(holders.len(), 1, "{holders:?}");
        for daemon in 0..2 {
            let id = format!("last-{daemon}-{key}");
            let (status, body) = harness.send(daemon, "/cups/1", &id, key).await.unwrap();
            assert_eq!(
                (status, body),
                (StatusCode::OK, format!("{} /cups/1", holders[0]))
            );
        }
    }
    let keys: usize = harness.servers.iter().map(Server::keys).sum();
    assert_eq!(keys, 65_536);
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_are_served_after_the_leader_is_killed() {
    let mut harness = Harness::start(3).await;
    harness.wait_served().await;
    // The first entry in the store names the leader, whichever daemon that is, so two daemons are
    // killed in turn.
    for _ in 0..2 {
        harness.daemons.remove(0);
        harness.wait_served().await;
    }
}

/// Only the leader loses the store, and it still responds to the other daemons. They must not wait
/// for it: the keys of a server that stops in the meantime are reassigned.
#[tokio::test(flavor = "multi_thread")]
async fn leader_without_the_store_is_replaced() {
    let mut harness = Harness::start(3).await;
    harness.wait_served().await;
    let is_leader = |daemon: &Daemon| caller::leads(&harness.store, &daemon.name());
    let index = harness.daemons.iter().position(is_leader);
    let leader = harness.daemons.remove(index.expect("no daemon leads"));
    let address = harness.store.address.to_string();
    leader.change(&harness.store, &address, "127.0.0.1:9");
    harness.servers[0].kill();
    harness.wait_served().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_of_a_stopped_server_are_reassigned() {
    let mut harness = Harness::start(2).await;
    harness.wait_served().await;
    harness.servers[0].kill();
    harness.wait_served().await;
    let keys: usize = harness.servers[1..].iter().map(Server::keys).sum();
    assert!(keys > 60_000, "{keys}");
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_server_receives_no_requests() {
    let harness = Harness::start(2).await;
    harness.wait_served().await;
    harness.servers[0].drain();
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    while harness.servers[0].keys() > 0 {
        assert!(Instant::now() < deadline, "the server still holds keys");
        sleep(Duration::from_millis(50)).await;
    }
    let runs_before = harness.servers[0].runs().len();
    harness.wait_served().await;
    assert_eq!(harness.servers[0].runs().len(), runs_before);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_while_the_store_is_unavailable() {
    let harness = Harness::start(2).await;
    harness.wait_served().await;
    harness.store.set(store::Faults {
        refuse: Some(503),
        ..Default::default()
    });
    harness.wait_served().await;
    harness.store.set(store::Faults::default());
    // A change published right afterwards is applied.
    configure(&harness.store, 5, &["cups", "pay", "more"]);
    for daemon in 0..2 {
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        while harness.send(daemon, "/more/1", "more", 7).await.unwrap().0 != StatusCode::OK {
            assert!(Instant::now() < deadline, "the route is not in force");
            sleep(Duration::from_millis(50)).await;
        }
    }
}
