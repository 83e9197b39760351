//! Routes, slots, queues, retries and verdicts.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use crate::support::{Bench, SERVICE, Step, ms, owner, request, stream, text, told};
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
    let bench = Bench::new(|_, _| Step::Answer(ms(1), "free"));
    let response = bench.serve(request("/day")).await;
    assert_eq!(told(&response), (Verdict::Done, None));
    assert_eq!(text(response).await, "free");
    let seen = bench.fake.seen();
    assert_eq!((seen[0].upstream.as_str(), seen[0].epoch), ("a", 10));
    assert_eq!(bench.table.in_flight(SERVICE, 0), 0);
}

#[test_case(Route::Elsewhere, Reason::NotLeader, 0; "led elsewhere")]
#[test_case(Route::Unowned, Reason::Unowned, 2000; "no owner in sight")]
#[test_case(Route::Held, Reason::Unowned, 5000; "held until the deadline")]
#[tokio::test(start_paused = true)]
async fn a_request_without_an_owner_is_not_run(route: Route, reason: Reason, after_ms: u64) {
    let bench = Bench::new(|_, _| Step::Answer(ms(1), ""));
    bench.table.set(SERVICE, 0, route);
    let began = Instant::now();
    let response = bench.serve(request("/day")).await;
    assert_eq!(told(&response), (Verdict::NotRun, Some(reason)));
    assert!(response.reply.retry_after.is_some());
    assert_eq!(began.elapsed().as_millis() as u64 / 100, after_ms / 100);
    assert!(bench.fake.seen().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_held_request_goes_to_the_next_owner() {
    let bench = Bench::new(|_, _| Step::Answer(ms(1), ""));
    bench.table.set(SERVICE, 0, Route::Held);
    let served = bench.spawn(request("/day"));
    sleep(ms(300)).await;
    bench.own(0, "b", 12, 1);
    assert_eq!(told(&served.await.unwrap()), (Verdict::Done, None));
    assert_eq!(bench.fake.seen()[0].upstream, "b");
    assert_eq!(bench.fake.seen()[0].epoch, 12);
}

#[tokio::test(start_paused = true)]
async fn held_requests_are_bounded() {
    let limits = Limits {
        queue: 2,
        ..Limits::default()
    };
    let bench = Bench::with_limits(limits, |_, _| Step::Answer(ms(1), ""));
    bench.table.set(SERVICE, 0, Route::Held);
    let mut served = bench.burst(3);
    let first = served.join_next().await.unwrap().unwrap();
    assert_eq!(told(&first), (Verdict::NotRun, Some(Reason::QueueFull)));
}

#[tokio::test(start_paused = true)]
async fn nothing_is_sent_after_the_lease() {
    let bench = Bench::new(|_, _| Step::Answer(ms(1), ""));
    let mut lapsed = owner("a", 10, 1);
    lapsed.lease = Arc::new(Lease::new(Instant::now()));
    bench.table.set(SERVICE, 0, Route::Owned(lapsed));
    let response = bench.serve(request("/day")).await;
    assert_eq!(
        told(&response),
        (Verdict::NotRun, Some(Reason::LeaseLapsed))
    );
    assert!(bench.fake.seen().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_request_that_waits_in_the_queue_is_not_sent_after_the_lease() {
    let bench = Bench::new(|_, _| Step::Answer(ms(400), ""));
    let soon = owner("a", 10, 1);
    let short = Arc::new(Lease::new(Instant::now() + ms(100)));
    bench.table.set(
        SERVICE,
        0,
        Route::Owned(copperwell_dispatch::table::Owner {
            lease: short,
            ..soon
        }),
    );
    let served = bench.burst(2);
    let all = served.join_all().await;
    let ran = all
        .iter()
        .filter(|response| response.reply.verdict == Verdict::Done)
        .count();
    assert_eq!((ran, bench.fake.seen().len()), (1, 1));
}

#[tokio::test(start_paused = true)]
async fn slots_are_never_exceeded_and_ramp_up() {
    let bench = Bench::new(|_, _| Step::Answer(ms(10), ""));
    let served = bench.burst(20);
    settle().await;
    assert_eq!(
        bench.fake.running(),
        1,
        "a server that has yet to answer gets one"
    );
    let all = served.join_all().await;
    assert!(
        all.iter()
            .all(|response| response.reply.verdict == Verdict::Done)
    );
    assert_eq!(bench.fake.most(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_slot_is_held_until_the_body_is_read() {
    let (sender, step) = stream();
    let step = Mutex::new(Some(step));
    let bench = Bench::new(move |_, _| {
        let first = step.lock().unwrap().take();
        first.unwrap_or(Step::Answer(ms(1), ""))
    });
    let mut response = bench.serve(request("/day")).await;
    assert_eq!(bench.engine.status()[0].in_flight, 1);
    assert_eq!(bench.table.in_flight(SERVICE, 0), 1);
    sender.send("one").await.unwrap();
    assert_eq!(response.body.chunk().await.unwrap().unwrap(), "one");
    assert_eq!(bench.engine.status()[0].in_flight, 1);
    sender.end().await;
    assert!(response.body.chunk().await.is_none());
    settle().await;
    assert_eq!(bench.engine.status()[0].in_flight, 0);
    assert_eq!(bench.table.in_flight(SERVICE, 0), 0);
}

#[tokio::test(start_paused = true)]
async fn a_body_that_is_dropped_frees_its_slot_and_cancels_the_server() {
    let (sender, step) = stream();
    let step = Mutex::new(Some(step));
    let bench = Bench::new(move |_, _| step.lock().unwrap().take().unwrap());
    let response = bench.serve(request("/day")).await;
    drop(response);
    sender.closed().await;
    settle().await;
    assert_eq!(bench.engine.status()[0].in_flight, 0);
}

#[tokio::test(start_paused = true)]
async fn a_body_cut_short_is_never_passed_off_as_whole() {
    let (sender, step) = stream();
    let step = Mutex::new(Some(step));
    let bench = Bench::new(move |_, _| step.lock().unwrap().take().unwrap());
    let response = bench.serve(request("/day")).await;
    sender.send("half").await.unwrap();
    drop(sender);
    assert!(response.body.collect(1024).await.is_err());
}

#[tokio::test(start_paused = true)]
async fn a_dropped_request_gives_up_its_slot_and_its_place() {
    let bench = Bench::new(|_, _| Step::Answer(Duration::from_secs(1), ""));
    let mut served = bench.burst(5);
    settle().await;
    assert_eq!(bench.engine.status()[0].interactive, 4);
    served.shutdown().await;
    settle().await;
    let status = &bench.engine.status()[0];
    assert_eq!((status.in_flight, status.interactive), (0, 0));
    assert_eq!(bench.table.in_flight(SERVICE, 0), 0);
}

#[tokio::test(start_paused = true)]
async fn a_hopeless_deadline_is_refused_at_once() {
    let bench = Bench::new(|_, _| Step::Answer(ms(500), ""));
    bench.serve(request("/day")).await;
    let _served = bench.burst(12);
    settle().await;
    let began = Instant::now();
    let mut late = request("/day");
    late.head.deadline = ms(700);
    let response = bench.serve(late).await;
    assert_eq!(
        told(&response),
        (Verdict::NotRun, Some(Reason::DeadlineHopeless))
    );
    assert_eq!(began.elapsed(), Duration::ZERO);
    assert!(response.reply.retry_after.is_some());
}

#[tokio::test(start_paused = true)]
async fn a_full_queue_refuses_at_once() {
    let limits = Limits {
        queue: 3,
        ..Limits::default()
    };
    let bench = Bench::with_limits(limits, |_, _| Step::Answer(ms(500), ""));
    let _served = bench.burst(4);
    settle().await;
    let began = Instant::now();
    let response = bench.serve(request("/day")).await;
    assert_eq!(told(&response), (Verdict::NotRun, Some(Reason::QueueFull)));
    assert_eq!(began.elapsed(), Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn queued_requests_follow_their_shard() {
    let bench = Bench::new(|_, _| Step::Answer(ms(500), ""));
    let served = bench.burst(3);
    settle().await;
    bench.own(0, "b", 10, 1);
    served.join_all().await;
    let seen = bench.fake.seen();
    let at_b = seen.iter().filter(|seen| seen.upstream == "b").count();
    assert_eq!((seen.len(), at_b), (3, 2));
}

#[test_case(Verdict::NotRun, Reason::ConnectionRefused, 2; "refused connection")]
#[test_case(Verdict::NotRun, Reason::Fenced, 2; "fenced")]
#[test_case(Verdict::MayHaveRun, Reason::ConnectionLost, 2; "lost connection")]
#[test_case(Verdict::MayHaveRun, Reason::ConnectionSilent, 2; "silent connection")]
#[test_case(Verdict::MayHaveRun, Reason::Protocol, 1; "broken protocol")]
#[test_case(Verdict::NotRun, Reason::TooLarge, 1; "too large")]
#[tokio::test(start_paused = true)]
async fn a_repeatable_request_is_tried_again(verdict: Verdict, reason: Reason, tries: usize) {
    let bench = Bench::new(move |_, request| match request.head.path.as_str() {
        "/warm" => Step::Answer(ms(1), ""),
        _ => Step::Fail(ms(1), verdict, reason),
    });
    bench.warm().await;
    let mut failing = request("/day");
    failing.head.deadline = ms(120);
    let response = bench.serve(failing).await;
    assert_eq!(told(&response), (verdict, Some(reason)));
    let seen = bench.fake.count("/day");
    if reason == Reason::ConnectionRefused {
        assert!(seen >= tries);
    } else {
        assert_eq!(seen, tries);
    }
}

#[tokio::test(start_paused = true)]
async fn one_try_that_may_have_run_is_never_told_as_not_run() {
    let tries = AtomicU32::new(0);
    let bench = Bench::new(move |_, request| match request.head.path.as_str() {
        "/warm" => Step::Answer(ms(1), ""),
        _ if tries.fetch_add(1, Ordering::SeqCst) == 0 => {
            Step::Fail(ms(1), Verdict::MayHaveRun, Reason::ConnectionSilent)
        }
        _ => Step::Fail(ms(1), Verdict::NotRun, Reason::TooLarge),
    });
    bench.warm().await;
    let response = bench.serve(request("/day")).await;
    assert_eq!(
        told(&response),
        (Verdict::MayHaveRun, Some(Reason::TooLarge))
    );
    assert_eq!(bench.fake.count("/day"), 2);
}

#[tokio::test(start_paused = true)]
async fn a_streamed_body_is_sent_once() {
    let bench = Bench::new(|_, request| match request.head.path.as_str() {
        "/warm" => Step::Answer(ms(1), ""),
        _ => Step::Fail(ms(1), Verdict::NotRun, Reason::ConnectionRefused),
    });
    bench.warm().await;
    let (sender, body) = Body::channel();
    let mut long = request("/day");
    long.body = body;
    let served = bench.spawn(long);
    for _ in 0..3 {
        sender.send(vec![0; 40 << 10]).await.unwrap();
    }
    let response = served.await.unwrap();
    assert_eq!(
        told(&response),
        (Verdict::NotRun, Some(Reason::ConnectionRefused))
    );
    assert_eq!(bench.fake.count("/day"), 1);
}

#[tokio::test(start_paused = true)]
async fn offered_load_stays_under_a_tenth_more_when_every_server_sheds() {
    let bench = Bench::new(|_, _| Step::Shed(ms(20)));
    let mut served = JoinSet::new();
    let requests = 2000;
    for _ in 0..requests {
        let engine = Arc::clone(&bench.engine);
        served.spawn(async move { engine.serve(request("/day")).await });
        sleep(ms(1)).await;
    }
    let all = served.join_all().await;
    assert!(
        all.iter()
            .all(|response| response.reply.verdict == Verdict::NotRun)
    );
    let seen = bench.fake.seen().len();
    assert!(seen * 10 <= requests * 11, "{seen} sent for {requests}");
    assert!(seen > requests, "no retry was made: {seen}");
}

#[tokio::test(start_paused = true)]
async fn no_retry_goes_to_a_server_whose_back_off_holds() {
    let bench = Bench::new(|_, request| match request.head.path.as_str() {
        "/warm" => Step::Answer(ms(1), ""),
        _ => Step::Shed(Duration::from_secs(2)),
    });
    bench.warm().await;
    bench.serve(request("/day")).await;
    let seen: Vec<Instant> = bench
        .fake
        .seen()
        .iter()
        .filter(|seen| seen.path == "/day")
        .map(|seen| seen.at)
        .collect();
    assert_eq!(seen.len(), 2);
    assert!(seen[1] - seen[0] >= Duration::from_secs(2));
}

#[tokio::test(start_paused = true)]
async fn a_retry_heeds_the_back_off_of_the_next_owner() {
    let bench = Bench::new(|_, request| match request.head.path.as_str() {
        "/shed" => Step::Shed(Duration::from_secs(2)),
        "/day" if request.head.shard == 0 => Step::Fail(ms(1), Verdict::NotRun, Reason::Fenced),
        _ => Step::Answer(ms(1), ""),
    });
    bench.warm().await;
    bench.own(1, "b", 10, 1);
    let mut shed = request("/shed");
    shed.head.shard = 1;
    shed.head.deadline = Duration::from_secs(1);
    bench.serve(shed).await;
    let served = bench.spawn(request("/day"));
    sleep(ms(10)).await;
    bench.own(0, "b", 10, 1);
    served.await.unwrap();
    let seen = bench.fake.seen();
    let at_b: Vec<Instant> = seen
        .iter()
        .filter(|seen| seen.upstream == "b")
        .map(|seen| seen.at)
        .collect();
    assert_eq!(at_b.len(), 2);
    assert!(at_b[1] - at_b[0] >= Duration::from_secs(2));
}

#[tokio::test(start_paused = true)]
async fn a_shed_request_whose_deadline_is_near_is_answered_at_once() {
    let bench = Bench::new(|_, _| Step::Shed(Duration::from_secs(10)));
    let began = Instant::now();
    let response = bench.serve(request("/day")).await;
    assert_eq!(told(&response), (Verdict::NotRun, Some(Reason::Shed)));
    assert_eq!(response.reply.retry_after, Some(Duration::from_secs(10)));
    assert_eq!(began.elapsed(), Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn a_dead_server_is_tried_seldom_while_requests_wait_for_the_next_owner() {
    let bench = Bench::new(|upstream, _| match &*upstream.name {
        "a" => Step::Fail(ms(1), Verdict::NotRun, Reason::ConnectionRefused),
        _ => Step::Answer(ms(1), ""),
    });
    let served = bench.burst(30);
    sleep(Duration::from_secs(3)).await;
    let tried = bench.fake.seen().len();
    assert!((2..=10).contains(&tried), "{tried} tries");
    bench.own(0, "b", 10, 1);
    let all = served.join_all().await;
    assert!(
        all.iter()
            .all(|response| response.reply.verdict == Verdict::Done)
    );
}

#[tokio::test(start_paused = true)]
async fn the_driver_hears_of_fences_and_dead_servers() {
    let mut bench = Bench::new(|_, request| match request.head.path.as_str() {
        "/fenced" => Step::Fail(ms(1), Verdict::NotRun, Reason::Fenced),
        _ => Step::Fail(ms(1), Verdict::MayHaveRun, Reason::ConnectionLost),
    });
    bench.serve(request("/fenced")).await;
    bench.serve(request("/lost")).await;
    let fenced = Observation::Fenced {
        service: SERVICE.into(),
        shard: 0,
        upstream: "a".into(),
        epoch: 10,
    };
    assert_eq!(bench.observations.recv().await, Some(fenced));
    let lost = Observation::Unreachable {
        service: SERVICE.into(),
        upstream: "a".into(),
    };
    assert_eq!(bench.observations.recv().await, Some(lost));
}

#[tokio::test(start_paused = true)]
async fn interactive_goes_before_batch_and_batch_is_served_too() {
    let bench = Bench::new(|_, _| Step::Answer(ms(10), ""));
    let mut served = JoinSet::new();
    for number in 0..60 {
        let engine = Arc::clone(&bench.engine);
        let mut next = request("/day");
        if number < 20 {
            next.head.class = Class::Batch;
        }
        served.spawn(async move { engine.serve(next).await });
    }
    served.join_all().await;
    let seen = bench.fake.seen();
    let early = &seen[1..33];
    let batch = early
        .iter()
        .filter(|seen| seen.class == Class::Batch)
        .count();
    assert!((3..=6).contains(&batch), "{batch} of 32");
}

#[tokio::test(start_paused = true)]
async fn a_deadline_that_passes_under_way_may_have_run() {
    let bench = Bench::new(|_, _| Step::Answer(Duration::from_secs(60), ""));
    let response = bench.serve(request("/day")).await;
    assert_eq!(
        told(&response),
        (Verdict::MayHaveRun, Some(Reason::DeadlinePassed))
    );
    assert_eq!(bench.fake.running(), 0, "the server is told to stop");
}

#[tokio::test(start_paused = true)]
async fn a_paused_process_sends_nothing_when_it_wakes() {
    let bench = Bench::new(|_, _| Step::Answer(ms(100), ""));
    let served = bench.burst(3);
    settle().await;
    advance(Duration::from_secs(30)).await;
    served.join_all().await;
    assert_eq!(bench.fake.seen().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_service_that_is_not_in_force_is_told() {
    let bench = Bench::new(|_, _| Step::Answer(ms(1), ""));
    let mut other = request("/day");
    other.head.service = "calender".to_owned();
    let response = bench.serve(other).await;
    let unknown = (Verdict::NotRun, Some(Reason::UnknownService));
    assert_eq!(told(&response), unknown);
}

#[tokio::test(start_paused = true)]
async fn a_slow_caller_holds_no_slot() {
    let bench = Bench::new(|_, _| Step::Answer(ms(1), ""));
    let (_sender, body) = Body::channel();
    let mut slow = request("/day");
    slow.body = body;
    let served = bench.spawn(slow);
    sleep(ms(100)).await;
    let other = bench.serve(request("/day")).await;
    assert_eq!(told(&other), (Verdict::Done, None));
    let slow = (Verdict::NotRun, Some(Reason::SlowCaller));
    assert_eq!(told(&served.await.unwrap()), slow);
    assert_eq!(bench.fake.seen().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_stopping_engine_takes_nothing_new() {
    let bench = Bench::new(|_, _| Step::Answer(ms(1), ""));
    bench.engine.stop();
    let response = bench.serve(request("/day")).await;
    assert_eq!(told(&response), (Verdict::NotRun, Some(Reason::Stopping)));
}

/// Offers requests of about 10 ms to two slots, evenly at `per_second`, and gives the latency of
/// each that was answered in time.
async fn offer(bench: &Bench, class: Class, per_second: u32, seconds: u32) -> Vec<Duration> {
    let mut served = JoinSet::new();
    for _ in 0..per_second * seconds {
        let engine = Arc::clone(&bench.engine);
        let mut next = request("/day");
        next.head.class = class;
        next.head.deadline = ms(if class == Class::Batch { 30_000 } else { 300 });
        served.spawn(async move {
            let began = Instant::now();
            let response = engine.serve(next).await;
            (response.reply.verdict == Verdict::Done).then(|| began.elapsed())
        });
        sleep(Duration::from_secs(1) / per_second).await;
    }
    served.join_all().await.into_iter().flatten().collect()
}

/// Service times of 1 to 19 ms in a fixed order.
fn varied() -> impl Fn(&Upstream, &Request) -> Step + Send + Sync + 'static {
    let number = AtomicU32::new(0);
    move |_, _| {
        let next = number.fetch_add(1, Ordering::SeqCst);
        Step::Answer(ms(u64::from(next * 7 % 19 + 1)), "")
    }
}

#[tokio::test(start_paused = true)]
async fn goodput_does_not_fall_past_the_knee() {
    let mut answered = Vec::new();
    for per_second in [200, 500, 1000] {
        let bench = Bench::new(varied());
        answered.push(
            offer(&bench, Class::Interactive, per_second, 10)
                .await
                .len(),
        );
    }
    assert!(answered[1] * 10 >= answered[0] * 9, "{answered:?}");
    assert!(answered[2] * 10 >= answered[0] * 9, "{answered:?}");
}

#[tokio::test(start_paused = true)]
async fn interactive_stays_quick_while_batch_is_twice_the_capacity() {
    let bench = Bench::new(varied());
    let batch = offer(&bench, Class::Batch, 500, 10);
    let interactive = offer(&bench, Class::Interactive, 50, 10);
    let (batch, mut interactive) = tokio::join!(batch, interactive);
    interactive.sort();
    assert_eq!(interactive.len(), 500, "none is refused");
    let p99 = interactive[interactive.len() * 99 / 100];
    assert!(p99 <= ms(40), "{p99:?}");
    assert!(batch.len() >= 800, "{} batch requests", batch.len());
}

#[tokio::test(start_paused = true)]
async fn the_keys_that_are_asked_for_most_are_told_with_their_part() {
    let bench = Bench::new(|_, _| Step::Answer(ms(1), ""));
    let ask = async |key: &str| {
        let mut request = request("/day");
        request.head.key = key.to_owned();
        told(&bench.serve(request).await)
    };
    // Every third request is for one key, and none of the others comes twice.
    for number in 0..2100 {
        let key = match number % 3 {
            0 => "hot".to_owned(),
            _ => format!("k{number}"),
        };
        assert_eq!(ask(&key).await, (Verdict::Done, None));
    }
    let hot = bench.engine.hot_keys();
    assert_eq!((&*hot[0].service, hot[0].key.as_str()), (SERVICE, "hot"));
    assert!((250..=334).contains(&hot[0].permille), "{hot:?}");
    assert!(hot.len() <= 8, "{hot:?}");
    // Another key is hot now; the old one fades.
    sleep(Duration::from_mins(2)).await;
    for _ in 0..100 {
        ask("next").await;
    }
    let hot = bench.engine.hot_keys();
    assert_eq!(hot[0].key, "next", "{hot:?}");
}
