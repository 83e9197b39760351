//! Requests that are not repeatable and in flight during a failure.

use std::time::Duration;

use copperwell_message::Verdict;

use crate::{
    support::{DATA_CENTRE, GROUP, Harness},
    test_request::TestRequest,
};

/// The service time of a request that completes during the test.
const SHORT_SERVICE_TIME: Duration = Duration::from_secs(1);

/// The service time of a request that must not complete during the test.
const LONG_SERVICE_TIME: Duration = Duration::from_secs(20);

#[tokio::test(flavor = "multi_thread")]
async fn resend_through_another_daemon_while_the_first_is_in_flight() {
    let harness = Harness::start_with_long_timeouts().await;
    let request = TestRequest::new(&harness, GROUP, SHORT_SERVICE_TIME);
    let nodes: Vec<_> = harness.cluster.nodes.iter().collect();
    let first = request.send(nodes[0].addresses.callers);
    harness.wait_running(DATA_CENTRE).await;
    let others = nodes[1..]
        .iter()
        .map(|node| request.send(node.addresses.callers));
    let others: Vec<_> = others.collect();
    let first = first.await.unwrap();
    assert_eq!(first.verdict, Some(Verdict::Done), "{first:?}");
    for other in others {
        assert_eq!(other.await.unwrap(), first);
    }
    assert_eq!(harness.cluster.record.times_run(&request.id.to_string()), 1);
    harness.check_record();
}

#[tokio::test(flavor = "multi_thread")]
async fn leader_killed_between_request_and_response() {
    let mut harness = Harness::start_with_long_timeouts().await;
    let request = TestRequest::new(&harness, GROUP, LONG_SERVICE_TIME);
    let leader = harness.leader(GROUP).await;
    let mut nodes = harness.cluster.nodes.iter();
    let ingress = nodes.find(|node| *node.name != *leader).unwrap();
    let ingress = ingress.addresses.callers;
    let first = request.send(ingress);
    harness.wait_running(DATA_CENTRE).await;
    let _old = harness.kill(&leader);
    let first = first.await.unwrap();
    assert_eq!(first.verdict, Some(Verdict::MayHaveRun), "{first:?}");
    harness.new_leader(GROUP, &leader).await;
    harness.wait_served().await;
    let repeated = request.send(ingress).await.unwrap();
    assert_eq!(repeated.verdict, Some(Verdict::MayHaveRun), "{repeated:?}");
    assert_eq!(harness.cluster.record.times_run(&request.id.to_string()), 1);
    harness.check_record();
}
