//! Tests of routes, slots, queues, retries and verdicts.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use crate::support::{
    Action, Harness, SERVICE, body_text, ms, owner, request, stream, verdict_and_reason,
};
use copperwell_dispatch::{
    Observation,
    table::{Lease, Route},
};
use copperwell_keyspace::manifest::{Limits, Upstream};
use copperwell_message::{Body, Class, Reason, Request, Serve, Verdict};
use test_case::test_case;
use tokio::{
    task::{JoinSet, yield_now},
    time::{Instant, advance, sleep},
};

/// Lets spawned tasks run until they wait for the clock.
async fn settle() {
    for _ in 0..64 {
        yield_now().await;
    }
}

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
async fn slots_are_never_exceeded_and_ramp_up() {
    let harness = Harness::new(|_, _| Action::Answer(ms(10), ""));
    let served = harness.burst(20);
    settle().await;
    assert_eq!(
        harness.backend.running(),
        1,
        "a server that has not answered yet gets one request"
    );
    let responses = served.join_all().await;
    assert!(
        responses
            .iter()
            .all(|response| response.reply.verdict == Verdict::Done)
    );
    assert_eq!(harness.backend.max_running(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_slot_is_held_until_the_body_is_read() {
    let (sender, action) = stream();
    let action = Mutex::new(Some(action));
    let harness = Harness::new(move |_, _| {
        let first = action.lock().unwrap().take();
        first.unwrap_or(Action::Answer(ms(1), ""))
    });
    let mut response = harness.serve(request("/day")).await;
    assert_eq!(harness.engine.status()[0].in_flight, 1);
    assert_eq!(harness.table.in_flight(SERVICE, 0), 1);
    sender.send("one").await.unwrap();
    assert_eq!(response.body.chunk().await.unwrap().unwrap(), "one");
    assert_eq!(harness.engine.status()[0].in_flight, 1);
    sender.end().await;
    assert!(response.body.chunk().await.is_none());
    settle().await;
    assert_eq!(harness.engine.status()[0].in_flight, 0);
    assert_eq!(harness.table.in_flight(SERVICE, 0), 0);
}

#[tokio::test(start_paused = true)]
async fn a_dropped_body_frees_its_slot_and_cancels_the_request() {
    let (sender, action) = stream();
    let action = Mutex::new(Some(action));
    let harness = Harness::new(move |_, _| action.lock().unwrap().take().unwrap());
    let response = harness.serve(request("/day")).await;
    drop(response);
    sender.closed().await;
    settle().await;
    assert_eq!(harness.engine.status()[0].in_flight, 0);
}

#[tokio::test(start_paused = true)]
async fn a_truncated_body_is_never_reported_as_complete() {
    let (sender, action) = stream();
    let action = Mutex::new(Some(action));
    let harness = Harness::new(move |_, _| action.lock().unwrap().take().unwrap());
    let response = harness.serve(request("/day")).await;
    sender.send("half").await.unwrap();
    drop(sender);
    assert!(response.body.collect(1024).await.is_err());
}

#[tokio::test(start_paused = true)]
async fn a_dropped_request_frees_its_slot_and_its_queue_entry() {
    let harness = Harness::new(|_, _| Action::Answer(Duration::from_secs(1), ""));
    let mut served = harness.burst(5);
    settle().await;
    assert_eq!(harness.engine.status()[0].interactive, 4);
    served.shutdown().await;
    settle().await;
    let status = &harness.engine.status()[0];
    assert_eq!((status.in_flight, status.interactive), (0, 0));
    assert_eq!(harness.table.in_flight(SERVICE, 0), 0);
}

#[tokio::test(start_paused = true)]
async fn a_deadline_that_cannot_be_met_is_refused_at_once() {
    let harness = Harness::new(|_, _| Action::Answer(ms(500), ""));
    harness.serve(request("/day")).await;
    let _served = harness.burst(12);
    settle().await;
    let started = Instant::now();
    let mut late = request("/day");
    late.head.deadline = ms(700);
    let response = harness.serve(late).await;
    assert_eq!(
        verdict_and_reason(&response),
        (Verdict::NotRun, Some(Reason::DeadlineHopeless))
    );
    assert_eq!(started.elapsed(), Duration::ZERO);
    assert!(response.reply.retry_after.is_some());
}

#[tokio::test(start_paused = true)]
async fn a_full_queue_refuses_at_once() {
    let limits = Limits {
        queue: 3,
        ..Limits::default()
    };
    let harness = Harness::with_limits(limits, |_, _| Action::Answer(ms(500), ""));
    let _served = harness.burst(4);
    settle().await;
    let started = Instant::now();
    let response = harness.serve(request("/day")).await;
    assert_eq!(
        verdict_and_reason(&response),
        (Verdict::NotRun, Some(Reason::QueueFull))
    );
    assert_eq!(started.elapsed(), Duration::ZERO);
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
async fn interactive_precedes_batch_without_starving_it() {
    let harness = Harness::new(|_, _| Action::Answer(ms(10), ""));
    let mut served = JoinSet::new();
    for number in 0..60 {
        let engine = Arc::clone(&harness.engine);
        let mut next = request("/day");
        if number < 20 {
            next.head.class = Class::Batch;
        }
        served.spawn(async move { engine.serve(next).await });
    }
    served.join_all().await;
    let received = harness.backend.received();
    let early = &received[1..33];
    let batch = early
        .iter()
        .filter(|received| received.class == Class::Batch)
        .count();
    assert!((3..=6).contains(&batch), "{batch} of 32");
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
async fn an_unknown_service_is_refused() {
    let harness = Harness::new(|_, _| Action::Answer(ms(1), ""));
    let mut other = request("/day");
    other.head.service = "calender".to_owned();
    let response = harness.serve(other).await;
    let unknown = (Verdict::NotRun, Some(Reason::UnknownService));
    assert_eq!(verdict_and_reason(&response), unknown);
}

#[tokio::test(start_paused = true)]
async fn a_slow_caller_holds_no_slot() {
    let harness = Harness::new(|_, _| Action::Answer(ms(1), ""));
    let (_sender, body) = Body::channel();
    let mut slow = request("/day");
    slow.body = body;
    let served = harness.spawn(slow);
    sleep(ms(100)).await;
    let other = harness.serve(request("/day")).await;
    assert_eq!(verdict_and_reason(&other), (Verdict::Done, None));
    let slow = (Verdict::NotRun, Some(Reason::SlowCaller));
    assert_eq!(verdict_and_reason(&served.await.unwrap()), slow);
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

/// Offers requests of about 10 ms to two slots at the constant rate `per_second`, and returns the
/// latencies of those answered in time.
async fn offer_load(
    harness: &Harness,
    class: Class,
    per_second: u32,
    seconds: u32,
) -> Vec<Duration> {
    let mut served = JoinSet::new();
    for _ in 0..per_second * seconds {
        let engine = Arc::clone(&harness.engine);
        let mut next = request("/day");
        next.head.class = class;
        next.head.deadline = ms(if class == Class::Batch { 30_000 } else { 300 });
        served.spawn(async move {
            let started = Instant::now();
            let response = engine.serve(next).await;
            (response.reply.verdict == Verdict::Done).then(|| started.elapsed())
        });
        sleep(Duration::from_secs(1) / per_second).await;
    }
    served.join_all().await.into_iter().flatten().collect()
}

/// Returns a server with service times of 1 to 19 ms in a fixed order.
fn varied_service_times() -> impl Fn(&Upstream, &Request) -> Action + Send + Sync + 'static {
    let number = AtomicU32::new(0);
    move |_, _| {
        let next = number.fetch_add(1, Ordering::SeqCst);
        Action::Answer(ms(u64::from(next * 7 % 19 + 1)), "")
    }
}

#[tokio::test(start_paused = true)]
async fn goodput_does_not_fall_under_overload() {
    let mut answered = Vec::new();
    for per_second in [200, 500, 1000] {
        let harness = Harness::new(varied_service_times());
        answered.push(
            offer_load(&harness, Class::Interactive, per_second, 10)
                .await
                .len(),
        );
    }
    assert!(answered[1] * 10 >= answered[0] * 9, "{answered:?}");
    assert!(answered[2] * 10 >= answered[0] * 9, "{answered:?}");
}

#[tokio::test(start_paused = true)]
async fn interactive_latency_stays_low_while_batch_load_is_twice_the_capacity() {
    let harness = Harness::new(varied_service_times());
    let batch = offer_load(&harness, Class::Batch, 500, 10);
    let interactive = offer_load(&harness, Class::Interactive, 50, 10);
    let (batch, mut interactive) = tokio::join!(batch, interactive);
    interactive.sort();
    assert_eq!(interactive.len(), 500, "none is refused");
    let p99 = interactive[interactive.len() * 99 / 100];
    assert!(p99 <= ms(40), "{p99:?}");
    assert!(batch.len() >= 800, "{} batch requests", batch.len());
}

#[tokio::test(start_paused = true)]
async fn the_most_requested_keys_are_reported_with_their_share() {
    let harness = Harness::new(|_, _| Action::Answer(ms(1), ""));
    let request_key = async |key: &str| {
        let mut request = request("/day");
        request.head.key = key.to_owned();
        verdict_and_reason(&harness.serve(request).await)
    };
    // Every third request is for one key; each other key is requested once.
    for number in 0..2100 {
        let key = match number % 3 {
            0 => "hot".to_owned(),
            _ => format!("k{number}"),
        };
        assert_eq!(request_key(&key).await, (Verdict::Done, None));
    }
    let hot = harness.engine.hot_keys();
    assert_eq!((&*hot[0].service, hot[0].key.as_str()), (SERVICE, "hot"));
    assert!((250..=334).contains(&hot[0].permille), "{hot:?}");
    assert!(hot.len() <= 8, "{hot:?}");
    // Another key becomes hot and the count of the old one decays.
    sleep(Duration::from_mins(2)).await;
    for _ in 0..100 {
        request_key("next").await;
    }
    let hot = harness.engine.hot_keys();
    assert_eq!(hot[0].key, "next", "{hot:?}");
}
