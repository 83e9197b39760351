//! Odd entries of another writer, among those of the servers or in the configuration.

use std::{process::Stdio, time::Duration};

use crate::{
    harness::{CONDITION_TIMEOUT, Daemon, Harness},
    standin::{
        caller::{SERVERS, identified},
        cluster, config, rule,
        server::{Server, registration},
    },
};
use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};
use test_case::test_case;
use tokio::time::{Instant, sleep};

/// Returns a registration for the service without keys as text, with a field replaced by `text`.
fn entry(field: &str, text: &str) -> String {
    let mut value = registration("pay", ([127, 0, 0, 1], 9).into());
    value[field] = json!("MARK");
    value.to_string().replace("\"MARK\"", text)
}

fn nested(depth: usize) -> String {
    format!("{}1{}", "[".repeat(depth), "]".repeat(depth))
}

/// Waits until `server` has run a request of `path` that was sent to a daemon.
async fn wait_runs(harness: &Harness, daemon: usize, path: &str, server: &Server, when: &str) {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    let mut number = 0_u16;
    while !server.runs().iter().any(|id| id.starts_with(when)) {
        assert!(
            Instant::now() < deadline,
            "{path}: nothing at {}",
            server.id
        );
        let id = format!("{when}-{number}");
        number += 1;
        harness
            .send(daemon, path, &id, number.wrapping_mul(997))
            .await;
        sleep(Duration::from_millis(10)).await;
    }
}

#[test_case(entry("slots", "4294967295"); "as many slots as the field holds")]
#[test_case(entry("slots", "2147483648"); "slots whose multiple overflows")]
#[test_case(entry("slots", "123456789012345678901234567890"); "a number of thirty digits")]
#[test_case(entry("born", "1e400"); "a number beyond all")]
#[test_case(entry("warmupLeft", "\"1.8e19s\""); "a duration of ages")]
#[test_case(entry("warmupLeft", "\"-1e400s\""); "a negative duration")]
#[test_case(entry("address", "\"127.0.0.1:70000\""); "a port out of range")]
#[test_case(entry("address", "\"127.0.0.1:0\""); "port zero")]
#[test_case(entry("zone", &nested(100)); "nested a hundred deep")]
#[test_case(nested(200_000); "nested very deep")]
#[tokio::test(flavor = "multi_thread")]
async fn odd_entry_keeps_daemons_from_newer_servers(odd: String) {
    let mut harness = Harness::start(1).await;
    harness.wait_served().await;
    harness.store.write(SERVERS, "odd", odd.into_bytes());
    let started = Daemon::start(&harness.store, Stdio::null());
    harness.daemons.push(started);
    let writer = harness.store.writer();
    let pay = Server::start("p1", "pay", false, writer.clone()).await;
    for daemon in 0..2 {
        wait_runs(&harness, daemon, "/pay/1", &pay, &format!("new{daemon}")).await;
    }
    let cups = Server::start("c9", "cups", true, writer).await;
    for daemon in 0..2 {
        wait_runs(&harness, daemon, "/cups/1", &cups, &format!("new{daemon}")).await;
    }
    for daemon in &mut harness.daemons {
        assert_eq!(daemon.child.try_wait().unwrap(), None, "{}", daemon.name());
    }
}

fn with_timeout(timeout: &str) -> Value {
    let mut pay = rule("pay", "non_idempotent", "pay");
    pay["action"]["timeout"] = json!(timeout);
    let cups = rule("cups", "idempotent", "cups");
    config(
        3,
        &[cups, pay],
        &[cluster("cups", true), cluster("pay", false)],
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn request_ends_without_an_answer_after_a_timeout_of_ages() {
    let harness = Harness::start(1).await;
    harness.wait_served().await;
    harness.store.configure(&with_timeout("1.8e19s"));
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    let daemon = &harness.daemons[0];
    while daemon.status(&harness.client, "configuration").await != Some(json!(3)) {
        assert!(
            Instant::now() < deadline,
            "the configuration is not in force"
        );
        sleep(Duration::from_millis(20)).await;
    }
    let request = Request::get(daemon.url(0, "/pay/1")).header("host", "app.example");
    let request = identified(request, "ages").body(Full::default()).unwrap();
    let response = harness.client.request(request).await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
}
