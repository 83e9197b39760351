//! Routes of requests, leases of their owners, deadlines and verdicts.

use std::{sync::Arc, time::Duration};

use super::settle;
use crate::support::{Action, Harness, SERVICE, body_text, ms, owner, request, verdict_and_reason};
use copperwell_dispatch::{
    Observation,
    table::{Lease, Route},
};
use copperwell_keyspace::manifest::Limits;
use copperwell_message::{Reason, Verdict};
use test_case::test_case;
use tokio::time::{Instant, advance, sleep};

#[tokio::test(start_paused = true)]
async fn a_request_gets_its_owners_answer() {
    let harness = Harness::new(|_, _| Action::Answer(ms(1), "free"));
    let response = harness.serve(request("/day")).await;
    assert_eq!(verdict_and_reason(&response), (Verdict::Done, None));
    assert_eq!(body_text(response).await, "free");
    let received = harness.backend.received();
    assert_eq!(
        (received[0].upstream.as_str(), received[0].epoch),
        ("a", 10)
    );
    assert_eq!(harness.table.in_flight(SERVICE, 0), 0);
}

#[test_case(Route::Elsewhere, Reason::NotLeader, 0; "led elsewhere")]
#[test_case(Route::Unowned, Reason::Unowned, 2000; "no owner known")]
#[test_case(Route::Pending, Reason::Unowned, 5000; "pending until the deadline")]
#[tokio::test(start_paused = true)]
async fn a_request_without_an_owner_is_not_run(route: Route, reason: Reason, after_ms: u64) {
    let harness = Harness::new(|_, _| Action::Answer(ms(1), ""));
    harness.table.set(SERVICE, 0, route);
    let started = Instant::now();
    let response = harness.serve(request("/day")).await;
    assert_eq!(
        verdict_and_reason(&response),
        (Verdict::NotRun, Some(reason))
    );
    assert!(response.reply.retry_after.is_some());
    assert_eq!(started.elapsed().as_millis() as u64 / 100, after_ms / 100);
    assert!(harness.backend.received().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_held_request_goes_to_the_next_owner() {
    let harness = Harness::new(|_, _| Action::Answer(ms(1), ""));
    harness.table.set(SERVICE, 0, Route::Pending);
    let served = harness.spawn(request("/day"));
    sleep(ms(300)).await;
    harness.set_owner(0, "b", 12, 1);
    assert_eq!(
        verdict_and_reason(&served.await.unwrap()),
        (Verdict::Done, None)
    );
    assert_eq!(harness.backend.received()[0].upstream, "b");
    assert_eq!(harness.backend.received()[0].epoch, 12);
}

#[tokio::test(start_paused = true)]
async fn held_requests_are_bounded() {
    let limits = Limits {
        queue: 2,
        ..Limits::default()
    };
    let harness = Harness::with_limits(limits, |_, _| Action::Answer(ms(1), ""));
    harness.table.set(SERVICE, 0, Route::Pending);
    let mut served = harness.burst(3);
    let first = served.join_next().await.unwrap().unwrap();
    assert_eq!(
        verdict_and_reason(&first),
        (Verdict::NotRun, Some(Reason::QueueFull))
    );
}

#[tokio::test(start_paused = true)]
async fn nothing_is_sent_after_the_lease_has_expired() {
    let harness = Harness::new(|_, _| Action::Answer(ms(1), ""));
    let mut expired = owner("a", 10, 1);
    expired.lease = Arc::new(Lease::new(Instant::now()));
    harness.table.set(SERVICE, 0, Route::Owned(expired));
    let response = harness.serve(request("/day")).await;
    assert_eq!(
        verdict_and_reason(&response),
        (Verdict::NotRun, Some(Reason::LeaseLapsed))
    );
    assert!(harness.backend.received().is_empty());
}

/// The timer rounds up, so that the wait before a retry may end behind the deadline.
#[tokio::test(start_paused = true)]
async fn deadline_that_ends_a_wait_hides_why_the_request_waited() {
    for _ in 0..2_000 {
        let harness = Harness::new(|_, _| Action::Answer(ms(1), ""));
        let mut expired = owner("a", 10, 1);
        expired.lease = Arc::new(Lease::new(Instant::now()));
        harness.table.set(SERVICE, 0, Route::Owned(expired));
        let mut request = request("/day");
        // The first wait takes 12.5 ms to 25 ms.
        request.head.deadline = Duration::from_micros(13_300);
        let response = harness.serve(request).await;
        assert_eq!(
            verdict_and_reason(&response),
            (Verdict::NotRun, Some(Reason::LeaseLapsed))
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_queued_request_is_not_sent_after_the_lease_has_expired() {
    let harness = Harness::new(|_, _| Action::Answer(ms(400), ""));
    let owned = owner("a", 10, 1);
    let short_lease = Arc::new(Lease::new(Instant::now() + ms(100)));
    harness.table.set(
        SERVICE,
        0,
        Route::Owned(copperwell_dispatch::table::Owner {
            lease: short_lease,
            ..owned
        }),
    );
    let served = harness.burst(2);
    let responses = served.join_all().await;
    let done = responses
        .iter()
        .filter(|response| response.reply.verdict == Verdict::Done)
        .count();
    assert_eq!((done, harness.backend.received().len()), (1, 1));
}

#[tokio::test(start_paused = true)]
async fn queued_requests_move_to_the_new_owner_of_their_shard() {
    let harness = Harness::new(|_, _| Action::Answer(ms(500), ""));
    let served = harness.burst(3);
    settle().await;
    harness.set_owner(0, "b", 10, 1);
    served.join_all().await;
    let received = harness.backend.received();
    let at_b = received
        .iter()
        .filter(|received| received.upstream == "b")
        .count();
    assert_eq!((received.len(), at_b), (3, 2));
}

#[tokio::test(start_paused = true)]
async fn fenced_requests_and_lost_connections_are_reported_to_the_driver() {
    let mut harness = Harness::new(|_, request| match request.head.path.as_str() {
        "/fenced" => Action::Fail(ms(1), Verdict::NotRun, Reason::Fenced),
        _ => Action::Fail(ms(1), Verdict::MayHaveRun, Reason::ConnectionLost),
    });
    harness.serve(request("/fenced")).await;
    harness.serve(request("/lost")).await;
    let fenced = Observation::Fenced {
        service: SERVICE.into(),
        shard: 0,
        upstream: "a".into(),
        epoch: 10,
    };
    assert_eq!(harness.observations.recv().await, Some(fenced));
    let lost = Observation::Unreachable {
        service: SERVICE.into(),
        upstream: "a".into(),
    };
    assert_eq!(harness.observations.recv().await, Some(lost));
}

#[tokio::test(start_paused = true)]
async fn an_unknown_service_is_refused() {
    let harness = Harness::new(|_, _| Action::Answer(ms(1), ""));
    let mut other = request("/day");
    other.head.service = "calender".to_owned();
    let response = harness.serve(other).await;
    let unknown = (Verdict::NotRun, Some(Reason::UnknownService));
    assert_eq!(verdict_and_reason(&response), unknown);
}

#[tokio::test(start_paused = true)]
async fn a_request_whose_deadline_passes_in_flight_may_have_run() {
    let harness = Harness::new(|_, _| Action::Answer(Duration::from_secs(60), ""));
    let response = harness.serve(request("/day")).await;
    assert_eq!(
        verdict_and_reason(&response),
        (Verdict::MayHaveRun, Some(Reason::DeadlinePassed))
    );
    assert_eq!(
        harness.backend.running(),
        0,
        "the request is cancelled on the server"
    );
}

#[tokio::test(start_paused = true)]
async fn a_resumed_process_sends_no_request_past_its_deadline() {
    let harness = Harness::new(|_, _| Action::Answer(ms(100), ""));
    let served = harness.burst(3);
    settle().await;
    advance(Duration::from_secs(30)).await;
    served.join_all().await;
    assert_eq!(harness.backend.received().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_stopping_engine_refuses_new_requests() {
    let harness = Harness::new(|_, _| Action::Answer(ms(1), ""));
    harness.engine.stop();
    let response = harness.serve(request("/day")).await;
    assert_eq!(
        verdict_and_reason(&response),
        (Verdict::NotRun, Some(Reason::Stopping))
    );
}
