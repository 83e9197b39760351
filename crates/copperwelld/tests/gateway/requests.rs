//! What callers get for requests.

use std::{process::Stdio, time::Duration};

use crate::{
    harness::{Bench, CONDITION, Daemon, SERVERS},
    standin::{caller, server::Faults, store::Store},
};
use http::{Request, StatusCode};
use http_body_util::Full;
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use rustix::process::Signal;
use test_case::test_case;
use tokio::time::{Instant, sleep};

/// What a caller gets for a request that cannot be served; nothing of it runs.
#[test_case("/nowhere/1", "q", StatusCode::NOT_FOUND; "no route")]
#[test_case("/pay/1", "", StatusCode::BAD_REQUEST; "no id")]
#[tokio::test(flavor = "multi_thread")]
async fn refused(path: &str, id: &str, status: StatusCode) {
    let bench = Bench::start(1).await;
    bench.serves().await;
    let mut request = Request::get(bench.daemons[0].url(0, path)).header("host", "app.example");
    if !id.is_empty() {
        request = caller::identified(request, id);
    }
    let request = request.body(Full::default()).unwrap();
    let answer = bench.client.request(request).await.unwrap();
    assert_eq!(answer.status(), status);
    assert!(bench.servers[SERVERS].runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_configuration_nothing_is_denied() {
    let store = Store::start().await;
    let daemon = Daemon::start(&store, Stdio::null());
    let bench = Bench {
        store,
        servers: Vec::new(),
        daemons: vec![daemon],
        client: Client::builder(TokioExecutor::new()).build_http(),
    };
    let until = Instant::now() + CONDITION;
    let status = loop {
        if let Some((status, _)) = bench.ask(0, "/cups/1", "q", 1).await {
            break status;
        }
        assert!(Instant::now() < until, "the daemon takes no connection");
        sleep(Duration::from_millis(20)).await;
    };
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(!bench.is_ready(0).await);
}

/// A request that must not be repeated is sent once, whatever becomes of it.
#[test_case(Faults { loses_answers: true, ..Faults::default() }, StatusCode::BAD_GATEWAY, 1; "answer lost")]
#[test_case(Faults { sheds: true, ..Faults::default() }, StatusCode::SERVICE_UNAVAILABLE, 0; "no room")]
#[test_case(Faults { fails: true, ..Faults::default() }, StatusCode::INTERNAL_SERVER_ERROR, 1; "fails")]
#[tokio::test(flavor = "multi_thread")]
async fn at_most_once(faults: Faults, status: StatusCode, runs: usize) {
    let bench = Bench::start(1).await;
    bench.serves().await;
    bench.servers[SERVERS].set(faults);
    let answer = bench.ask(0, "/pay/1", "once", 1).await.unwrap();
    assert_eq!(answer.0, status);
    assert_eq!(bench.servers[SERVERS].runs().len(), runs);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_is_stopped_ends_what_is_in_flight() {
    let mut bench = Bench::start(2).await;
    bench.serves().await;
    bench.servers[SERVERS].set(Faults {
        work: Duration::from_millis(1_000),
        ..Faults::default()
    });
    let asking = bench.ask(0, "/pay/1", "slow", 1);
    let stopping = async {
        while bench.servers[SERVERS].runs().is_empty() {
            sleep(Duration::from_millis(5)).await;
        }
        bench.daemons[0].signal(Signal::TERM);
    };
    let (answer, ()) = tokio::join!(asking, stopping);
    assert_eq!(answer.unwrap().0, StatusCode::OK);
    assert!(!bench.is_ready(0).await);
    assert_eq!(bench.daemons[0].ended().await, Some(0));
    bench.daemons.remove(0);
    bench.serves().await;
}

/// What cannot end within the grace gets an answer all the same, and one that says what is known.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_outlasts_the_grace_is_answered() {
    let mut bench = Bench::start(1).await;
    let short = |settings: String| settings.replacen("grace=6s", "grace=1s", 1);
    bench.daemons = vec![Daemon::start_with(&bench.store, Stdio::null(), short)];
    bench.serves().await;
    bench.servers[SERVERS].set(Faults {
        work: CONDITION,
        ..Faults::default()
    });
    let asking = bench.ask(0, "/pay/1", "long", 1);
    let stopping = async {
        while bench.servers[SERVERS].runs().is_empty() {
            sleep(Duration::from_millis(5)).await;
        }
        bench.daemons[0].signal(Signal::TERM);
    };
    let (answer, ()) = tokio::join!(asking, stopping);
    let (status, body) = answer.expect("a whole answer");
    assert_eq!(status, StatusCode::BAD_GATEWAY);
    assert!(body.contains("stopping"), "{body}");
    assert_eq!(bench.daemons[0].ended().await, Some(0));
}
