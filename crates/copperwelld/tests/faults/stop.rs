//! Graceful shutdown on SIGTERM.

use std::time::Duration;

use copperwell_message::Verdict;
use copperwell_standin::backend::record::Outcome;
use test_case::test_case;
use tokio::task::spawn_blocking;

use crate::{
    support::{DATA_CENTRE, GROUP, Harness, is_ready},
    test_request::TestRequest,
};

/// The service time of a request that completes during the test.
const SHORT_SERVICE_TIME: Duration = Duration::from_secs(1);

/// The service time of a request that must not complete during the test.
const LONG_SERVICE_TIME: Duration = Duration::from_secs(20);

#[test_case(true; "of the leader")]
#[test_case(false; "of the ingress")]
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_completes_in_flight_requests(is_leader: bool) {
    let mut harness = Harness::start_with_long_timeouts().await;
    let request = TestRequest::new(&harness, GROUP, SHORT_SERVICE_TIME);
    let leader = harness.leader(GROUP).await;
    let mut nodes = harness.cluster.nodes.iter();
    let ingress = nodes.find(|node| *node.name != *leader).unwrap();
    let name = ingress.name.to_string();
    let response = request.send(ingress.addresses.callers);
    harness.wait_running(DATA_CENTRE).await;
    let stopping = if is_leader { leader } else { name };
    let mut node = harness.cluster.take_node(&stopping);
    let shutdown = spawn_blocking(move || {
        node.terminate();
        node.wait()
    });
    let response = response.await.unwrap();
    assert_eq!(response.verdict, Some(Verdict::Done), "{response:?}");
    assert!(
        shutdown.await.unwrap(),
        "{stopping} did not shut down gracefully"
    );
    harness.cluster.list();
    harness.wait_served().await;
    assert_eq!(harness.cluster.record.times_run(&request.id.to_string()), 1);
    harness.check_record();
}

#[tokio::test(flavor = "multi_thread")]
async fn second_signal_stops_immediately() {
    let mut harness = Harness::start_with_long_timeouts().await;
    let request = TestRequest::new(&harness, GROUP, LONG_SERVICE_TIME);
    let leader = harness.leader(GROUP).await;
    let mut nodes = harness.cluster.nodes.iter();
    let ingress = nodes.find(|node| *node.name != *leader).unwrap();
    let name = ingress.name.to_string();
    let response = request.send(ingress.addresses.callers);
    harness.wait_running(DATA_CENTRE).await;
    let mut node = harness.cluster.take_node(&name);
    node.terminate();
    while is_ready(&node).await {}
    node.terminate();
    let shutdown = spawn_blocking(move || node.wait());
    assert!(!shutdown.await.unwrap(), "it shut down gracefully");
    let runs = harness.cluster.record.runs().into_iter();
    let mut own = runs.filter(|run| run.idempotency == Some(request.id.to_string()));
    assert_ne!(own.next().unwrap().outcome, Outcome::Done);
    let response = response.await.unwrap();
    assert_eq!(response.verdict, None, "{response:?}");
    harness.wait_served().await;
    harness.check_record();
}
