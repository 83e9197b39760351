//! Requests that arrive whole only while a daemon stops.

use std::time::Duration;

use crate::{
    harness::{CONDITION_TIMEOUT, Harness},
    standin::{caller, cluster, config, rule, server::Faults},
};
use futures::future::join_all;
use rustix::process::Signal;
use serde_json::json;
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep, sleep_until, timeout},
};

/// The time between SIGTERM and SIGKILL, by the settings.
const GRACE: Duration = Duration::from_secs(6);

/// The time that routes and callers give a request, which is longer than [`GRACE`].
const REQUEST_TIME: Duration = Duration::from_secs(9);

const REQUESTS: u32 = 40;

/// The version of the configuration with the long timeouts.
const VERSION: u64 = 3;

const BODY: &str = "0123456789";

const KEY: u16 = 7;

/// How a request ended for its caller, and whether it ran.
#[derive(Debug)]
#[expect(dead_code, reason = "for messages of failed tests")]
struct End {
    body_at: Duration,
    status: Option<String>,
    has_run: bool,
}

fn configure(harness: &Harness) {
    let rules = ["pay", "cups", "book"].map(|path| {
        let service = if path == "pay" { "pay" } else { "cups" };
        let kind = if path == "cups" {
            "idempotent"
        } else {
            "non_idempotent"
        };
        let mut rule = rule(path, kind, service);
        rule["action"]["timeout"] = json!(format!("{}s", REQUEST_TIME.as_secs()));
        rule
    });
    let clusters = [cluster("cups", true), cluster("pay", false)];
    harness.store.configure(&config(VERSION, &rules, &clusters));
}

/// Sends a request to a stopping daemon, whose body is complete at `body_at`; returns the status of a whole response.
async fn send(harness: &Harness, path: &str, id: &str, body_at: Instant) -> Option<String> {
    let daemon = &harness.daemons[0];
    let address = format!("{}:{}", daemon.ip, daemon.port);
    let mut connection = TcpStream::connect(address).await.unwrap();
    let (length, key) = (BODY.len(), caller::key_line(KEY));
    let more = format!("content-length: {length}\r\n{key}connection: close\r\n");
    let head = caller::request_head_within("POST", path, id, REQUEST_TIME, &more);
    let (start, rest) = BODY.split_at(3);
    connection.write_all(head.as_bytes()).await.unwrap();
    connection.write_all(start.as_bytes()).await.unwrap();
    sleep_until(body_at).await;
    connection.write_all(rest.as_bytes()).await.ok()?;
    let mut response = Vec::new();
    let read = connection.read_to_end(&mut response);
    let _ = timeout(CONDITION_TIMEOUT, read).await.unwrap();
    let response = String::from_utf8_lossy(&response).into_owned();
    let (head, body) = response.split_once("\r\n\r\n")?;
    let length = head.lines().find_map(|line| {
        let line = line.to_ascii_lowercase();
        line.strip_prefix("content-length: ")?.parse().ok()
    });
    (length == Some(body.len())).then(|| head.split(' ').nth(1).unwrap().to_owned())
}

/// Stops a daemon while bodies of requests on `path` arrive, of which each works for `work`; returns how they ended.
async fn stop_under_load(path: &str, work: Duration, has_worked_before: bool) -> Vec<End> {
    let harness = Harness::start(2).await;
    harness.wait_served().await;
    configure(&harness);
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    while harness.daemons[0]
        .status(&harness.client, "configuration")
        .await
        != Some(VERSION.into())
    {
        assert!(Instant::now() < deadline, "the version is not in force");
        sleep(Duration::from_millis(20)).await;
    }
    for server in &harness.servers {
        server.set(Faults {
            work,
            ..Faults::default()
        });
    }
    if has_worked_before {
        for number in 0..3 {
            let id = format!("before-{number}");
            let status = send(&harness, path, &id, Instant::now()).await;
            assert_eq!(status.as_deref(), Some("200"));
        }
    }
    let stopped_at = Instant::now() + Duration::from_millis(200);
    let requests = (0..REQUESTS).map(|number| {
        let body_at = (GRACE - Duration::from_millis(400)) * number / REQUESTS;
        let body_at = body_at + Duration::from_millis(100);
        let harness = &harness;
        async move {
            let id = format!("r{number}");
            let status = send(harness, path, &id, stopped_at + body_at).await;
            let has_run = harness.servers.iter().any(|one| one.runs().contains(&id));
            End {
                body_at,
                status,
                has_run,
            }
        }
    });
    let stopping = async {
        sleep_until(stopped_at).await;
        harness.daemons[0].signal(Signal::TERM);
    };
    let (ends, ()) = tokio::join!(join_all(requests), stopping);
    ends
}

#[test_case("/pay/1", 300, true; "may run once")]
#[test_case("/pay/1", 300, false; "may run once, and the daemon does not know how long it takes")]
#[test_case("/book/1", 1_200, true; "may run once, with a key")]
#[test_case("/cups/1", 1_200, true; "repeatable, with a key")]
#[tokio::test(flavor = "multi_thread")]
async fn requests_whose_bodies_end_late_in_the_grace_are_sent_and_broken_off(
    path: &str,
    work_ms: u64,
    has_worked_before: bool,
) {
    let ends = stop_under_load(path, Duration::from_millis(work_ms), has_worked_before).await;
    let is_answered = |end: &&End| end.status.as_deref() == Some("200");
    let lost: Vec<_> = ends
        .iter()
        .filter(|end| end.has_run && !is_answered(end))
        .collect();
    assert!(lost.is_empty(), "{lost:?}");
    // What has not run is told so, as long as the daemon is there.
    let untold = ends
        .iter()
        .filter(|end| !end.has_run && end.status.as_deref() != Some("503"));
    let untold: Vec<_> = untold.collect();
    assert!(untold.is_empty(), "{untold:?}");
    assert!(ends.iter().any(|end| is_answered(&end)), "{ends:?}");
}
