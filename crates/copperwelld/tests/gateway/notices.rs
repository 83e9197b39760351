//! Servers that say in their answers that they leave, or for how long they want nothing.

use std::time::Duration;

use crate::{
    harness::Harness,
    standin::{
        server::{Faults as ServerFaults, Server},
        store::Faults as StoreFaults,
    },
};
use http::StatusCode;
use test_case::test_case;
use tokio::time::{Instant, sleep, sleep_until};

/// How long a server that leaves may still get requests.
const DRAIN: Duration = Duration::from_secs(2);

/// How long the answer of a server that wants nothing may take to be heeded.
const NOTICE: Duration = Duration::from_millis(500);

/// How long a server wants nothing, in seconds.
const PAUSE_S: u32 = 3;

/// The requests that may reach a server while it wants nothing.
const REQUESTS_IN_PAUSE_MAX: usize = 2;

const REQUESTS: usize = 200;

/// Starts a daemon, and servers of `pay` beside the one that the harness has.
async fn start(servers: usize) -> Harness {
    let mut harness = Harness::start(1).await;
    for number in 1..servers {
        let id = format!("p{number}");
        let server = Server::start(&id, "pay", false, harness.store.writer()).await;
        harness.servers.push(server);
    }
    harness.wait_served().await;
    harness
}

/// Sends requests with different keys, and returns how many were served.
async fn send_all(harness: &Harness, path: &str, name: &str) -> usize {
    let mut served = 0;
    for number in 0..REQUESTS {
        let key = u16::try_from(number * 320).unwrap();
        let id = format!("{name}{number}");
        let response = harness.send(0, path, &id, key).await;
        served += usize::from(response.is_some_and(|(status, _)| status == StatusCode::OK));
        sleep(Duration::from_millis(5)).await;
    }
    served
}

#[test_case("/pay/1", false; "without keys")]
#[test_case("/pay/1", true; "without keys, the store away")]
#[test_case("/cups/1", false; "with keys")]
#[test_case("/cups/1", true; "with keys, the store away")]
#[tokio::test(flavor = "multi_thread")]
async fn requests_reach_a_server_that_has_named_its_leaving(path: &str, is_store_away: bool) {
    let harness = start(3).await;
    let prefix = if path.starts_with("/pay") { "p" } else { "c" };
    let mut servers = harness.servers.iter();
    let server = servers
        .find(|server| server.id == format!("{prefix}0"))
        .unwrap();
    harness.store.set(StoreFaults {
        is_silent: is_store_away,
        ..StoreFaults::default()
    });
    server.set(ServerFaults {
        leaves: true,
        ..ServerFaults::default()
    });
    let before = server.arrivals().len();
    send_all(&harness, path, "a").await;
    assert!(server.arrivals().len() > before, "no answer names it");
    sleep(DRAIN).await;
    let before = server.arrivals().len();
    let served = send_all(&harness, path, "b").await;
    assert_eq!(server.arrivals().len(), before);
    // Without the store no other server can be given keys.
    assert!(
        served == REQUESTS || is_store_away && prefix == "c",
        "{served}"
    );
}

#[test_case(1; "one of four")]
#[test_case(4; "all")]
#[tokio::test(flavor = "multi_thread")]
async fn requests_reach_a_server_that_wants_nothing_for_a_time(count: usize) {
    let harness = start(4).await;
    let servers = harness.servers.iter();
    let servers: Vec<_> = servers
        .filter(|server| server.id.starts_with('p'))
        .collect();
    for server in &servers[..count] {
        server.set(ServerFaults {
            sheds: true,
            retry_after_s: Some(PAUSE_S),
            ..ServerFaults::default()
        });
    }
    let started_at = Instant::now();
    let served = send_all(&harness, "/pay/1", "a").await;
    send_all(&harness, "/pay/1", "b").await;
    sleep_until(started_at + Duration::from_secs(u64::from(PAUSE_S))).await;
    for server in &servers[..count] {
        let arrivals = server.arrivals();
        let first = *arrivals.first().expect("no request reached the server");
        let pause = first + NOTICE..first + Duration::from_secs(u64::from(PAUSE_S));
        let reached = arrivals.iter().filter(|at| pause.contains(*at)).count();
        assert!(reached <= REQUESTS_IN_PAUSE_MAX, "{}: {reached}", server.id);
    }
    assert!(
        count == servers.len() || served >= REQUESTS - 2 * count,
        "{served}"
    );
}
