//! Servers whose answers never end, behind another daemon.

use std::time::Duration;

use crate::{
    harness::{CONDITION_TIMEOUT, Harness},
    standin::{
        caller::leads,
        cluster, config,
        cut::{Cut, How},
        endless::{CHUNKED, Endless, TAKEN_MAX_BYTES, VM_MEMORY_KIB, memory_max_kib},
        rule,
    },
    take_room,
};
use futures::future::join_all;
use http::StatusCode;
use serde_json::json;
use test_case::test_case;
use tokio::time::{Instant, sleep};

/// The servers of one service whose answers never end; none of them is sound.
const ENDLESS_SERVERS: usize = 3;

/// How many callers ask at a time.
const CALLERS: usize = 24;

/// How often each of them asks.
const ROUNDS: usize = 4;

/// The service of the faulty servers.
const SERVICE: &str = "endless";

/// The version of the configuration that has it.
const VERSION: u64 = 3;

/// Waits until a daemon has the configuration with the faulty servers.
async fn wait_configured(harness: &Harness, daemon: usize) {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    let daemon = &harness.daemons[daemon];
    while daemon.status(&harness.client, "configuration").await != Some(json!(VERSION)) {
        assert!(Instant::now() < deadline, "{}", daemon.name());
        sleep(Duration::from_millis(50)).await;
    }
}

/// Waits until a request to a sound service is served by a daemon.
async fn wait_sound(harness: &Harness, daemon: usize, round: usize) {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    for number in 0.. {
        let id = format!("s{daemon}-{round}-{number}");
        let answer = harness.send(daemon, "/cups/1", &id, 7).await;
        if matches!(answer, Some((StatusCode::OK, _))) {
            return;
        }
        assert!(Instant::now() < deadline, "daemon {daemon}: {answer:?}");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a helper, or a daemon that is helped, that keeps what a faulty server sends without end.
#[test_case(Endless::head("", "HTTP/1.1 100 Continue\r\n\r\n"), true; "interim answers")]
#[test_case(Endless::head("HTTP/1.1 200 OK\r\nx-more: ", "x"), true; "a header field")]
#[test_case(Endless::body(CHUNKED, "", "0"), true; "zeros before the size of a chunk")]
#[test_case(Endless::body(CHUNKED, "0\r\n", "x-more: 1\r\n"), true; "trailers")]
#[test_case(Endless::body(CHUNKED, "", "8\r\nbbbbbbbb\r\n"), false; "a body in chunks")]
#[test_case(Endless::body("content-length: 2", "ok", "x"), true; "behind an answer")]
#[tokio::test(flavor = "multi_thread")]
async fn answer_through_a_helper_takes_the_memory_of_a_daemon(endless: Endless, is_ended: bool) {
    let _room = take_room(4).await;
    let harness = Harness::start(2).await;
    harness.wait_served().await;
    let is_follower = |daemon: &usize| !leads(&harness.store, &harness.daemons[*daemon].name());
    let daemon = (0..2).find(is_follower).unwrap();
    let cut = Cut::default();
    cut.set(&[harness.daemons[daemon].child.id()], How::Reset);
    let taken = endless.serve(&harness.store.writer(), SERVICE, ENDLESS_SERVERS, &cut);
    let rules = [
        rule("cups", "idempotent", "cups"),
        rule("pay", "idempotent", "pay"),
        rule("endless", "idempotent", SERVICE),
    ];
    let clusters = [
        cluster("cups", true),
        cluster("pay", false),
        cluster(SERVICE, false),
    ];
    harness.store.configure(&config(VERSION, &rules, &clusters));
    wait_configured(&harness, daemon).await;
    wait_configured(&harness, 1 - daemon).await;
    // The paths are known to be lost once requests go through the other daemon.
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    let mut number = 0;
    while taken.requests() == 0 {
        assert!(
            Instant::now() < deadline,
            "no request went through the other daemon"
        );
        harness
            .send(daemon, "/endless/1", &format!("first{number}"), 1)
            .await;
        number += 1;
    }
    let callers = (0..CALLERS).map(|caller| {
        let harness = &harness;
        async move {
            for round in 0..ROUNDS {
                let id = format!("e{caller}-{round}");
                harness.send(daemon, "/endless/1", &id, 1).await;
            }
        }
    });
    let sound = async {
        for round in 0..ROUNDS {
            wait_sound(&harness, daemon, round).await;
            wait_sound(&harness, 1 - daemon, round).await;
        }
    };
    tokio::join!(join_all(callers), sound);
    if is_ended {
        let bytes = taken.bytes_max();
        assert!(bytes <= TAKEN_MAX_BYTES, "{bytes} bytes on one connection");
    }
    for daemon in &harness.daemons {
        let memory = memory_max_kib(daemon.child.id());
        assert!(memory <= VM_MEMORY_KIB, "{memory} KiB at {}", daemon.name());
    }
}
