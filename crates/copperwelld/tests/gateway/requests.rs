//! Responses to callers.

use std::{
    fs::{self, File},
    path::Path,
    process::Stdio,
    time::Duration,
};

use crate::{
    harness::{CONDITION_TIMEOUT, Daemon, Harness, SERVERS},
    standin::{caller, server::Faults, store::Store},
};
use http::{Request, StatusCode};
use http_body_util::Full;
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use rustix::process::Signal;
use test_case::test_case;
use tokio::time::{Instant, sleep};

/// A request that cannot be served is rejected, and no server runs it.
#[test_case("/nowhere/1", "q", StatusCode::NOT_FOUND; "no route")]
#[test_case("/pay/1", "", StatusCode::BAD_REQUEST; "no id")]
#[tokio::test(flavor = "multi_thread")]
async fn rejected(path: &str, id: &str, status: StatusCode) {
    let harness = Harness::start(1).await;
    harness.wait_served().await;
    let mut request = Request::get(harness.daemons[0].url(0, path)).header("host", "app.example");
    if !id.is_empty() {
        request = caller::identified(request, id);
    }
    let request = request.body(Full::default()).unwrap();
    let response = harness.client.request(request).await.unwrap();
    assert_eq!(response.status(), status);
    assert!(harness.servers[SERVERS].runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_configuration_requests_are_unavailable() {
    let store = Store::start().await;
    let daemon = Daemon::start(&store, Stdio::null());
    let harness = Harness {
        store,
        servers: Vec::new(),
        daemons: vec![daemon],
        client: Client::builder(TokioExecutor::new()).build_http(),
    };
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    let status = loop {
        if let Some((status, _)) = harness.send(0, "/cups/1", "q", 1).await {
            break status;
        }
        assert!(
            Instant::now() < deadline,
            "the daemon accepts no connection"
        );
        sleep(Duration::from_millis(20)).await;
    };
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(!harness.is_ready(0).await);
}

/// A request that must not be repeated is sent once, regardless of its outcome.
#[test_case(Faults { loses_answers: true, ..Faults::default() }, StatusCode::BAD_GATEWAY, 1; "response lost")]
#[test_case(Faults { sheds: true, ..Faults::default() }, StatusCode::SERVICE_UNAVAILABLE, 0; "shed")]
#[test_case(Faults { fails: true, ..Faults::default() }, StatusCode::INTERNAL_SERVER_ERROR, 1; "fails")]
#[tokio::test(flavor = "multi_thread")]
async fn at_most_once(faults: Faults, status: StatusCode, runs: usize) {
    let harness = Harness::start(1).await;
    harness.wait_served().await;
    harness.servers[SERVERS].set(faults);
    let response = harness.send(0, "/pay/1", "once", 1).await.unwrap();
    assert_eq!(response.0, status);
    assert_eq!(harness.servers[SERVERS].runs().len(), runs);
}

#[tokio::test(flavor = "multi_thread")]
async fn stopping_daemon_completes_in_flight_requests() {
    let mut harness = Harness::start(2).await;
    harness.wait_served().await;
    harness.servers[SERVERS].set(Faults {
        work: Duration::from_millis(1_000),
        ..Faults::default()
    });
    let responding = harness.send(0, "/pay/1", "slow", 1);
    let stopping = async {
        while harness.servers[SERVERS].runs().is_empty() {
            sleep(Duration::from_millis(5)).await;
        }
        harness.daemons[0].signal(Signal::TERM);
    };
    let (response, ()) = tokio::join!(responding, stopping);
    assert_eq!(response.unwrap().0, StatusCode::OK);
    assert!(!harness.is_ready(0).await);
    assert_eq!(harness.daemons[0].wait_exited().await, Some(0));
    harness.daemons.remove(0);
    harness.wait_served().await;
}

/// A request that does not complete within the grace period receives a response with the known
/// outcome, and the daemon waits until it is sent.
#[tokio::test(flavor = "multi_thread")]
async fn request_beyond_the_grace_period_receives_a_response() {
    let mut harness = Harness::start(1).await;
    let with_short_grace = |settings: String| settings.replacen("grace=6s", "grace=1s", 1);
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(std::process::id().to_string());
    let log = folder.join("short-grace.log");
    harness.daemons = vec![Daemon::start_with(
        &harness.store,
        Stdio::from(File::create(&log).unwrap()),
        with_short_grace,
    )];
    harness.wait_served().await;
    harness.servers[SERVERS].set(Faults {
        work: CONDITION_TIMEOUT,
        ..Faults::default()
    });
    let responding = harness.send(0, "/pay/1", "long", 1);
    let stopping = async {
        while harness.servers[SERVERS].runs().is_empty() {
            sleep(Duration::from_millis(5)).await;
        }
        harness.daemons[0].signal(Signal::TERM);
    };
    let (response, ()) = tokio::join!(responding, stopping);
    let (status, body) = response.expect("no complete response");
    assert_eq!(status, StatusCode::BAD_GATEWAY);
    assert!(body.contains("stopping"), "{body}");
    assert_eq!(harness.daemons[0].wait_exited().await, Some(0));
    let text = fs::read_to_string(log).unwrap();
    assert!(text.contains("\"whole\":true"), "{text}");
}
