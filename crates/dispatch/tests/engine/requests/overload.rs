//! Loads of many requests, some above the capacity.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use crate::support::{Action, Harness, SERVICE, ms, request, verdict_and_reason};
use copperwell_keyspace::manifest::Upstream;
use copperwell_message::{Class, Request, Serve, Verdict};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

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
