//! Slots of upstreams, and the queue for them.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use super::settle;
use crate::support::{Action, Harness, SERVICE, ms, request, stream, verdict_and_reason};
use copperwell_keyspace::manifest::Limits;
use copperwell_message::{Body, Class, Reason, Serve, Verdict};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

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
