//! Keys find their holders, whatever ends.

use std::time::Duration;

use crate::{
    harness::{Bench, CONDITION, Daemon, configure},
    standin::{caller, server::Server, store},
};
use http::StatusCode;
use tokio::time::{Instant, sleep};

#[tokio::test(flavor = "multi_thread")]
async fn each_request_is_answered_by_the_holder_of_its_key() {
    let bench = Bench::start(2).await;
    bench.serves().await;
    assert!(bench.is_ready(0).await && bench.is_ready(1).await);
    for key in [0, 40_000, u16::MAX] {
        let holders = bench
            .servers
            .iter()
            .filter(|server| server.holds(key.into()).is_some());
        let holders: Vec<_> = holders.map(|server| server.id.clone()).collect();
        assert_eq!(holders.len(), 1, "{holders:?}");
        for daemon in 0..2 {
            let id = format!("last-{daemon}-{key}");
            let (status, body) = bench.ask(daemon, "/cups/1", &id, key).await.unwrap();
            assert_eq!(
                (status, body),
                (StatusCode::OK, format!("{} /cups/1", holders[0]))
            );
        }
    }
    let keys: usize = bench.servers.iter().map(Server::keys).sum();
    assert_eq!(keys, 65_536);
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_are_served_after_the_leader_is_killed() {
    let mut bench = Bench::start(3).await;
    bench.serves().await;
    // The first entry names the leader; whoever it is, each is killed in turn.
    for _ in 0..2 {
        bench.daemons.remove(0);
        bench.serves().await;
    }
}

/// The leader alone cannot reach the store any more. It goes on answering the others, who must not
/// wait for it: keys of a server that ends meanwhile get another one.
#[tokio::test(flavor = "multi_thread")]
async fn a_leader_that_cannot_reach_the_store_lets_another_lead() {
    let mut bench = Bench::start(3).await;
    bench.serves().await;
    let leads = |daemon: &Daemon| caller::leads(&bench.store, &daemon.name());
    let at = bench.daemons.iter().position(leads);
    let leader = bench.daemons.remove(at.expect("one of them leads"));
    let address = bench.store.address.to_string();
    leader.change(&bench.store, &address, "127.0.0.1:9");
    bench.servers[0].kill();
    bench.serves().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_of_a_server_that_ends_get_another_one() {
    let mut bench = Bench::start(2).await;
    bench.serves().await;
    bench.servers[0].kill();
    bench.serves().await;
    let keys: usize = bench.servers[1..].iter().map(Server::keys).sum();
    assert!(keys > 60_000, "{keys}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_drains_gets_nothing_more() {
    let bench = Bench::start(2).await;
    bench.serves().await;
    bench.servers[0].drain();
    let until = Instant::now() + CONDITION;
    while bench.servers[0].keys() > 0 {
        assert!(Instant::now() < until, "it still holds keys");
        sleep(Duration::from_millis(50)).await;
    }
    let before = bench.servers[0].runs().len();
    bench.serves().await;
    assert_eq!(bench.servers[0].runs().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_while_the_store_is_away() {
    let bench = Bench::start(2).await;
    bench.serves().await;
    bench.store.set(store::Faults {
        refuse: Some(503),
        ..Default::default()
    });
    bench.serves().await;
    bench.store.set(store::Faults::default());
    // A change that comes right after is heard of.
    configure(&bench.store, 5, &["cups", "pay", "more"]);
    for daemon in 0..2 {
        let until = Instant::now() + CONDITION;
        while bench.ask(daemon, "/more/1", "more", 7).await.unwrap().0 != StatusCode::OK {
            assert!(Instant::now() < until, "the route is not in force");
            sleep(Duration::from_millis(50)).await;
        }
    }
}
