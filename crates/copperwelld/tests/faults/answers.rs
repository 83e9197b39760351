//! Responses that are late, out of order, or truncated.

use std::time::Duration;

use copperwell_message::{Reason, Verdict};
use copperwell_standin::backend::{
    record::Outcome,
    switch::header::{FAULT, HALF, PADDING},
};
use http_body_util::BodyExt;
use test_case::test_case;

use crate::{
    support::{DATA_CENTRE, GROUP, Harness, OTHER_GROUP},
    test_request::TestRequest,
};

/// The service time of the first of the requests that complete in reverse order.
const FIRST_SERVICE_TIME: Duration = Duration::from_millis(300);

/// The difference between the service times of consecutive requests.
const SERVICE_TIME_STEP: Duration = Duration::from_millis(50);

/// The service time of a request that must not complete during the test.
const LONG_SERVICE_TIME: Duration = Duration::from_secs(20);

/// The deadline of a request whose response is late.
const DEADLINE: Duration = Duration::from_secs(1);

/// The delay of a late response.
const RESPONSE_DELAY: Duration = Duration::from_secs(2);

/// The size of a response that exceeds all buffers on its path, in bytes.
const LARGE_RESPONSE_BYTES: usize = 64 << 20;

#[tokio::test(flavor = "multi_thread")]
async fn responses_in_reverse_order() {
    let harness = Harness::start_with_long_timeouts().await;
    let mut in_flight = Vec::new();
    for node in &harness.cluster.nodes {
        for group in [GROUP, OTHER_GROUP] {
            for number in 0..6 {
                let service_time = FIRST_SERVICE_TIME - SERVICE_TIME_STEP * number;
                for request in [
                    TestRequest::new(&harness, group, service_time),
                    TestRequest::repeatable(&harness, group, service_time),
                ] {
                    in_flight.push((request.send(node.addresses.callers), request));
                }
            }
        }
    }
    for (response, request) in in_flight {
        let response = response.await.unwrap();
        assert!(
            request.is_answered_by(&response),
            "{request:?} got {response:?}"
        );
    }
    harness.check_record();
}

/// The cause of a late response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DelayCause {
    /// The request runs past its deadline.
    Run,
    /// The request completes in time, but its response is delayed.
    Response,
}

#[test_case(DelayCause::Run; "runs past its deadline")]
#[test_case(DelayCause::Response; "response is delayed")]
#[tokio::test(flavor = "multi_thread")]
async fn request_past_its_deadline(cause: DelayCause) {
    let harness = Harness::start_with_long_timeouts().await;
    let service_time = match cause {
        DelayCause::Run => LONG_SERVICE_TIME,
        DelayCause::Response => Duration::ZERO,
    };
    if cause == DelayCause::Response {
        for server in harness.cluster.servers.values() {
            server.delay_answers(RESPONSE_DELAY);
        }
    }
    let request = TestRequest::new(&harness, GROUP, service_time).with_deadline(DEADLINE);
    let ingress = harness.ingress(GROUP).await.addresses.callers;
    let response = request.send(ingress).await.unwrap();
    let expected = (Some(Verdict::MayHaveRun), Some(Reason::DeadlinePassed));
    assert_eq!(response.outcome(), expected, "{response:?}");
    for server in harness.cluster.servers.values() {
        server.delay_answers(Duration::ZERO);
    }
    // The next request receives its own response, not the late one.
    for node in &harness.cluster.nodes {
        let next_request = TestRequest::new(&harness, GROUP, Duration::ZERO);
        let response = next_request.send(node.addresses.callers).await.unwrap();
        assert!(
            next_request.is_answered_by(&response),
            "{next_request:?} got {response:?}"
        );
        let repeated = request.send(node.addresses.callers).await.unwrap();
        assert_eq!(repeated.verdict, Some(Verdict::MayHaveRun), "{repeated:?}");
    }
    assert_eq!(harness.cluster.record.times_run(&request.id.to_string()), 1);
    harness
        .wait("no server runs the request", |cluster| {
            let mut servers = cluster.servers.values();
            servers.all(|server| server.counts().running == 0)
        })
        .await;
    harness.check_record();
}

#[test_case(TestRequest::new; "not repeatable")]
#[test_case(TestRequest::repeatable; "repeatable")]
#[tokio::test(flavor = "multi_thread")]
async fn truncated_response_is_never_complete(new: fn(&Harness, &str, Duration) -> TestRequest) {
    let harness = Harness::start_with_long_timeouts().await;
    let request = new(&harness, GROUP, Duration::ZERO).with_field(FAULT, HALF);
    for node in &harness.cluster.nodes {
        let response = request.send(node.addresses.callers).await.unwrap();
        let is_complete = response.verdict == Some(Verdict::Done) && response.body.is_some();
        assert!(!is_complete, "{response:?}");
        assert_ne!(response.verdict, Some(Verdict::NotRun), "{response:?}");
    }
    let next_request = TestRequest::new(&harness, GROUP, Duration::ZERO);
    let response = next_request
        .send(harness.cluster.nodes[0].addresses.callers)
        .await;
    let response = response.unwrap();
    assert!(next_request.is_answered_by(&response), "{response:?}");
    harness.check_record();
}

/// The remote end of the connection that is reset during a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ResetTarget {
    Server,
    Leader,
}

#[test_case(ResetTarget::Server; "between leader and server")]
#[test_case(ResetTarget::Leader; "between ingress and leader")]
#[tokio::test(flavor = "multi_thread")]
async fn response_reset_within_the_body_is_never_complete(target: ResetTarget) {
    let harness = Harness::start_with(|plan| {
        plan.is_proxied = true;
        plan.proxies_servers = true;
    })
    .await;
    let request =
        TestRequest::new(&harness, GROUP, Duration::ZERO).with_field(PADDING, LARGE_RESPONSE_BYTES);
    let leader = harness.leader(GROUP).await;
    let leader = harness.cluster.node(&leader).unwrap();
    let ingress = harness.ingress(GROUP).await.addresses.callers;
    let response = request.open(ingress).await.unwrap();
    match target {
        ResetTarget::Server => harness.cluster.ways.values().for_each(|way| way.reset()),
        ResetTarget::Leader => leader.doors.as_ref().unwrap().requests.reset(),
    }
    let body = response.into_body().collect().await;
    assert!(body.is_err(), "the response is complete");
    let repeated = request.send(ingress).await.unwrap();
    assert_ne!(repeated.verdict, Some(Verdict::NotRun), "{repeated:?}");
    harness.wait_served().await;
    assert_eq!(harness.cluster.record.times_run(&request.id.to_string()), 1);
    harness.check_record();
}

#[tokio::test(flavor = "multi_thread")]
async fn disconnected_caller_cancels_its_request_at_the_server() {
    let harness = Harness::start_with_long_timeouts().await;
    let request = TestRequest::repeatable(&harness, GROUP, LONG_SERVICE_TIME);
    let ingress = harness.ingress(GROUP).await.addresses.callers;
    let response = request.send(ingress);
    harness.wait_running(DATA_CENTRE).await;
    response.abort();
    harness
        .wait("the request is cancelled", |cluster| {
            let mut servers = cluster.servers.values();
            servers.any(|server| server.counts().cancelled == 1)
        })
        .await;
    let runs = harness.cluster.record.runs();
    assert!(runs.iter().all(|run| run.outcome != Outcome::Running));
    harness.check_record();
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_is_not_repeatable_completes_without_its_caller() {
    let harness = Harness::start_with_long_timeouts().await;
    let request = TestRequest::new(&harness, GROUP, DEADLINE);
    let ingress = harness.ingress(GROUP).await.addresses.callers;
    let response = request.send(ingress);
    harness.wait_running(DATA_CENTRE).await;
    response.abort();
    let repeated = request.send(ingress).await.unwrap();
    assert!(request.is_answered_by(&repeated), "{repeated:?}");
    assert_eq!(harness.cluster.record.times_run(&request.id.to_string()), 1);
    harness.check_record();
}
