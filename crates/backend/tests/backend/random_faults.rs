//! Many requests under random faults: no verdict may contradict the server's record.

use std::{sync::Arc, time::Duration};

use crate::setup::{SHORT_TIMEOUT, Setup, post};
use copperwell_message::{Body, Repeat, Verdict};
use copperwell_standin::{
    backend::{Echo, Options},
    proxy::{Accept, Proxy},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use test_case::test_case;
use tokio::{task::JoinSet, time::sleep};

const CALLERS: u64 = 8;
const REQUESTS_PER_CALLER: u64 = 60;

/// The outcome of one request.
struct Outcome {
    id: String,
    verdict: Verdict,
    answer: Option<Echo>,
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_verdict_contradicts_the_record(seed: u64) {
    let setup = Setup::new(Options::new("upstream-1")).await;
    let proxy = Proxy::start(setup.server.address()).await.unwrap();
    let setup = Arc::new(setup.with_address(proxy.address()));
    setup
        .pool
        .set_silence(&"calendar".into(), SHORT_TIMEOUT / 6);
    let faults = tokio::spawn(inject_faults(setup.clone(), proxy, seed));
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        callers.spawn(send_requests(setup.clone(), seed * CALLERS + caller));
    }
    let outcomes: Vec<Outcome> = callers.join_all().await.into_iter().flatten().collect();
    faults.abort();
    for outcome in &outcomes {
        let times = setup.record.times_run(&outcome.id);
        match outcome.verdict {
            Verdict::Done => assert_eq!(times, 1, "{} is done", outcome.id),
            Verdict::NotRun => assert_eq!(times, 0, "{} was not run", outcome.id),
            Verdict::MayHaveRun => assert!(times <= 1, "{} ran twice", outcome.id),
        }
        if let Some(answer) = &outcome.answer {
            assert_eq!(answer.idempotency.as_ref(), Some(&outcome.id));
        }
    }
    assert!(setup.record.twice_run().is_empty());
    let count_of = |verdict| {
        outcomes
            .iter()
            .filter(|outcome| outcome.verdict == verdict)
            .count()
    };
    // If every request succeeded, or none did, the faults would test nothing.
    assert!(count_of(Verdict::Done) > 0);
    assert!(count_of(Verdict::Done) < outcomes.len());
}

async fn send_requests(setup: Arc<Setup>, seed: u64) -> Vec<Outcome> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut outcomes = Vec::new();
    for _ in 0..REQUESTS_PER_CALLER {
        let time = random.random_range(0..6_u64).to_string();
        let padding = ["0", "100", "200000"][random.random_range(0..3)];
        let fields = [("x-standin-ms", &*time), ("x-standin-padding", padding)];
        let request = post(&fields, Body::full("grit"));
        let Repeat::Once(id) = request.head.repeat else {
            unreachable!()
        };
        let response = setup.forward(request).await;
        let verdict = response.reply.verdict;
        let whole = response.body.collect(1 << 20).await.ok();
        let answer = whole.and_then(|whole| serde_json::from_slice(&whole).ok());
        outcomes.push(Outcome {
            id: id.to_string(),
            verdict,
            answer: answer.filter(|_| verdict == Verdict::Done),
        });
    }
    outcomes
}

/// Injects one random fault after another, and clears each after a random time.
async fn inject_faults(setup: Arc<Setup>, proxy: Proxy, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    loop {
        sleep(Duration::from_millis(random.random_range(1..20))).await;
        match random.random_range(0..7) {
            0 => proxy.reset(),
            1 => proxy.hush(),
            2 => proxy.cut_both(),
            3 => proxy.accept(Accept::Refuse),
            4 => setup.server.freeze(),
            5 => setup.server.shed(true),
            _ => {
                setup.server.restart().await.unwrap();
                setup.grant_shard().await;
            }
        }
        sleep(Duration::from_millis(random.random_range(1..20))).await;
        proxy.heal();
        setup.server.wake();
        setup.server.shed(false);
    }
}
