//! Retries, their budget and backoff.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use crate::support::{Action, Harness, ms, request, verdict_and_reason};
use copperwell_message::{Body, Reason, Serve, Verdict};
use test_case::test_case;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

#[test_case(Verdict::NotRun, Reason::ConnectionRefused, 2; "refused connection")]
#[test_case(Verdict::NotRun, Reason::Fenced, 2; "fenced")]
#[test_case(Verdict::MayHaveRun, Reason::ConnectionLost, 2; "lost connection")]
#[test_case(Verdict::MayHaveRun, Reason::ConnectionSilent, 2; "silent connection")]
#[test_case(Verdict::MayHaveRun, Reason::Protocol, 1; "broken protocol")]
#[test_case(Verdict::NotRun, Reason::TooLarge, 1; "too large")]
#[tokio::test(start_paused = true)]
async fn a_repeatable_request_is_retried(verdict: Verdict, reason: Reason, attempts: usize) {
    let harness = Harness::new(move |_, request| match request.head.path.as_str() {
        "/warm" => Action::Answer(ms(1), ""),
        _ => Action::Fail(ms(1), verdict, reason),
    });
    harness.warm_up().await;
    let mut failing = request("/day");
    failing.head.deadline = ms(120);
    let response = harness.serve(failing).await;
    assert_eq!(verdict_and_reason(&response), (verdict, Some(reason)));
    let received = harness.backend.count("/day");
    if reason == Reason::ConnectionRefused {
        assert!(received >= attempts);
    } else {
        assert_eq!(received, attempts);
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_is_not_reported_as_not_run_if_an_attempt_may_have_run() {
    let attempts = AtomicU32::new(0);
    let harness = Harness::new(move |_, request| match request.head.path.as_str() {
        "/warm" => Action::Answer(ms(1), ""),
        _ if attempts.fetch_add(1, Ordering::SeqCst) == 0 => {
            Action::Fail(ms(1), Verdict::MayHaveRun, Reason::ConnectionSilent)
        }
        _ => Action::Fail(ms(1), Verdict::NotRun, Reason::TooLarge),
    });
    harness.warm_up().await;
    let response = harness.serve(request("/day")).await;
    assert_eq!(
        verdict_and_reason(&response),
        (Verdict::MayHaveRun, Some(Reason::TooLarge))
    );
    assert_eq!(harness.backend.count("/day"), 2);
}

#[tokio::test(start_paused = true)]
async fn a_streamed_body_is_sent_once() {
    let harness = Harness::new(|_, request| match request.head.path.as_str() {
        "/warm" => Action::Answer(ms(1), ""),
        _ => Action::Fail(ms(1), Verdict::NotRun, Reason::ConnectionRefused),
    });
    harness.warm_up().await;
    let (sender, body) = Body::channel();
    let mut long = request("/day");
    long.body = body;
    let served = harness.spawn(long);
    for _ in 0..3 {
        sender.send(vec![0; 40 << 10]).await.unwrap();
    }
    let response = served.await.unwrap();
    assert_eq!(
        verdict_and_reason(&response),
        (Verdict::NotRun, Some(Reason::ConnectionRefused))
    );
    assert_eq!(harness.backend.count("/day"), 1);
}

#[tokio::test(start_paused = true)]
async fn retries_add_at_most_a_tenth_to_the_load_when_every_server_sheds() {
    let harness = Harness::new(|_, _| Action::Shed(ms(20)));
    let mut served = JoinSet::new();
    let requests = 2000;
    for _ in 0..requests {
        let engine = Arc::clone(&harness.engine);
        served.spawn(async move { engine.serve(request("/day")).await });
        sleep(ms(1)).await;
    }
    let responses = served.join_all().await;
    assert!(
        responses
            .iter()
            .all(|response| response.reply.verdict == Verdict::NotRun)
    );
    let received = harness.backend.received().len();
    assert!(
        received * 10 <= requests * 11,
        "{received} sent for {requests}"
    );
    assert!(received > requests, "no retry was made: {received}");
}

#[tokio::test(start_paused = true)]
async fn no_retry_is_sent_to_a_server_during_its_backoff() {
    let harness = Harness::new(|_, request| match request.head.path.as_str() {
        "/warm" => Action::Answer(ms(1), ""),
        _ => Action::Shed(Duration::from_secs(2)),
    });
    harness.warm_up().await;
    harness.serve(request("/day")).await;
    let received: Vec<Instant> = harness
        .backend
        .received()
        .iter()
        .filter(|received| received.path == "/day")
        .map(|received| received.at)
        .collect();
    assert_eq!(received.len(), 2);
    assert!(received[1] - received[0] >= Duration::from_secs(2));
}

#[tokio::test(start_paused = true)]
async fn a_retry_respects_the_backoff_of_the_new_owner() {
    let harness = Harness::new(|_, request| match request.head.path.as_str() {
        "/shed" => Action::Shed(Duration::from_secs(2)),
        "/day" if request.head.shard == 0 => Action::Fail(ms(1), Verdict::NotRun, Reason::Fenced),
        _ => Action::Answer(ms(1), ""),
    });
    harness.warm_up().await;
    harness.set_owner(1, "b", 10, 1);
    let mut shed = request("/shed");
    shed.head.shard = 1;
    shed.head.deadline = Duration::from_secs(1);
    harness.serve(shed).await;
    let served = harness.spawn(request("/day"));
    sleep(ms(10)).await;
    harness.set_owner(0, "b", 10, 1);
    served.await.unwrap();
    let received = harness.backend.received();
    let at_b: Vec<Instant> = received
        .iter()
        .filter(|received| received.upstream == "b")
        .map(|received| received.at)
        .collect();
    assert_eq!(at_b.len(), 2);
    assert!(at_b[1] - at_b[0] >= Duration::from_secs(2));
}

#[tokio::test(start_paused = true)]
async fn a_shed_request_whose_deadline_is_near_is_answered_at_once() {
    let harness = Harness::new(|_, _| Action::Shed(Duration::from_secs(10)));
    let started = Instant::now();
    let response = harness.serve(request("/day")).await;
    assert_eq!(
        verdict_and_reason(&response),
        (Verdict::NotRun, Some(Reason::Shed))
    );
    assert_eq!(response.reply.retry_after, Some(Duration::from_secs(10)));
    assert_eq!(started.elapsed(), Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn a_server_that_refuses_connections_gets_few_attempts_until_the_owner_changes() {
    let harness = Harness::new(|upstream, _| match &*upstream.name {
        "a" => Action::Fail(ms(1), Verdict::NotRun, Reason::ConnectionRefused),
        _ => Action::Answer(ms(1), ""),
    });
    let served = harness.burst(30);
    sleep(Duration::from_secs(3)).await;
    let attempts = harness.backend.received().len();
    assert!((2..=10).contains(&attempts), "{attempts} attempts");
    harness.set_owner(0, "b", 10, 1);
    let responses = served.join_all().await;
    assert!(
        responses
            .iter()
            .all(|response| response.reply.verdict == Verdict::Done)
    );
}
