//! Connections that fall silent permanently while new ones work.

use std::time::Duration;

use copperwell_message::{Reason, Verdict};

use crate::{
    support::{DATA_CENTRE, GROUP, Harness},
    test_request::TestRequest,
};

/// The service time of a request that must not complete during the test.
const LONG_SERVICE_TIME: Duration = Duration::from_secs(20);

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_between_leader_and_servers() {
    let harness = Harness::start_with(|plan| plan.proxies_servers = true).await;
    let request = TestRequest::new(&harness, GROUP, LONG_SERVICE_TIME);
    let ingress = harness.ingress(GROUP).await.addresses.callers;
    let response = request.send(ingress);
    harness.wait_running(DATA_CENTRE).await;
    harness.cluster.ways.values().for_each(|proxy| proxy.hush());
    let response = response.await.unwrap();
    let expected = (Some(Verdict::MayHaveRun), Some(Reason::ConnectionSilent));
    assert_eq!(response.outcome(), expected, "{response:?}");
    harness.wait_served().await;
    // A silent idle connection costs a repeatable request one attempt at most.
    let load = harness.load();
    harness.wait_served().await;
    harness.cluster.ways.values().for_each(|proxy| proxy.hush());
    harness.wait_served().await;
    harness.end_load_and_check(load).await;
    assert_eq!(harness.cluster.record.times_run(&request.id.to_string()), 1);
    assert_eq!(harness.moves(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_between_daemons() {
    let harness = Harness::start_proxied().await;
    let load = harness.load();
    let request = TestRequest::new(&harness, GROUP, LONG_SERVICE_TIME);
    let ingress = harness.ingress(GROUP).await.addresses.callers;
    let response = request.send(ingress);
    harness.wait_running(DATA_CENTRE).await;
    for node in &harness.cluster.nodes {
        let doors = node.doors.as_ref().unwrap();
        doors.requests.hush();
        doors.control.hush();
    }
    let response = response.await.unwrap();
    assert_eq!(response.verdict, Some(Verdict::MayHaveRun), "{response:?}");
    harness.wait_served().await;
    harness.end_load_and_check(load).await;
    assert!(harness.cluster.record.times_run(&request.id.to_string()) <= 1);
    assert_eq!(harness.moves(), []);
}
