//! Random failures, resends, disconnects and route changes at the same time.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use crate::support::{Action, Harness, SERVICE, ms, new_id, once_request, verdict_and_reason};
use copperwell_dispatch::table::Route;
use copperwell_message::{Reason, Serve, Verdict};
use prometheus_client::{encoding::text::encode, registry::Registry};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use test_case::test_case;
use tokio::{
    task::JoinSet,
    time::{advance, sleep},
};
use uuid::Uuid;

const KEYS: usize = 40;
const REQUESTS: usize = 400;

/// How often each request ran or may have run.
type Runs = Arc<Mutex<HashMap<String, u32>>>;

/// Returns a server that randomly answers, answers late, or fails before or after running a
/// request, and that counts the runs.
fn random_server(runs: &Runs, seed: u64) -> impl Fn(String) -> Action + Send + Sync + 'static {
    let runs = Arc::clone(runs);
    let random = Mutex::new(StdRng::seed_from_u64(seed));
    move |path| {
        let mut random = random.lock().unwrap();
        let after = ms(random.random_range(0..400));
        let not_run = |reason| Action::Fail(after, Verdict::NotRun, reason);
        let action = match random.random_range(0..9) {
            0 => return Action::Shed(after),
            1 => return not_run(Reason::ConnectionRefused),
            2 => return not_run(Reason::Fenced),
            3 => Action::Fail(after, Verdict::MayHaveRun, Reason::ConnectionLost),
            4 => Action::Fail(after, Verdict::MayHaveRun, Reason::ConnectionSilent),
            5 => Action::LongAnswer(20_000),
            6 => Action::Answer(Duration::from_secs(20), "late"),
            _ => Action::Answer(after, "paid"),
        };
        *runs.lock().unwrap().entry(path).or_default() += 1;
        action
    }
}

/// Changes the route of the shard, while this daemon stays its only leader.
fn reroute(harness: &Harness, random: &mut StdRng) {
    match random.random_range(0..5) {
        0 => harness.table.set(SERVICE, 0, Route::Pending),
        1 => harness.table.set(SERVICE, 0, Route::Unowned),
        2 => harness.set_owner(0, "b", 10, 1),
        _ => harness.set_owner(0, "a", 10, 1),
    }
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
#[tokio::test(start_paused = true)]
async fn nothing_runs_twice_and_nothing_reported_as_not_run_has_run(seed: u64) {
    let runs = Runs::default();
    let action = random_server(&runs, seed);
    let harness = Harness::new(move |_, request| action(request.head.path.clone()));
    harness.engine.serve(once_request("/first", new_id())).await;
    advance(Duration::from_secs(2)).await;
    runs.lock().unwrap().clear();

    let mut random = StdRng::seed_from_u64(seed);
    let ids: Vec<Uuid> = (0..KEYS).map(|_| new_id()).collect();
    let mut served = JoinSet::new();
    for _ in 0..REQUESTS {
        let id = ids[random.random_range(0..KEYS)];
        let path = format!("/{id}");
        let (engine, runs) = (Arc::clone(&harness.engine), Arc::clone(&runs));
        let sent = served.spawn(async move {
            let response = engine.serve(once_request(&path, id)).await;
            let ran = runs.lock().unwrap().get(&path).copied().unwrap_or(0);
            (verdict_and_reason(&response), ran)
        });
        if random.random_range(0..5) == 0 {
            sleep(ms(random.random_range(0..100))).await;
            sent.abort();
        }
        if random.random_range(0..4) == 0 {
            reroute(&harness, &mut random);
        }
        sleep(ms(random.random_range(0..30))).await;
    }
    harness.set_owner(0, "a", 10, 1);
    let mut answered = 0;
    while let Some(ended) = served.join_next().await {
        // A request that was aborted has no answer.
        let Ok(((verdict, reason), ran)) = ended else {
            continue;
        };
        assert!(verdict != Verdict::NotRun || ran == 0, "{reason:?}");
        answered += usize::from(verdict == Verdict::Done);
    }
    assert!(runs.lock().unwrap().values().all(|count| *count == 1));
    assert!(answered > REQUESTS / 10, "{answered} answered");
    let status = &harness.engine.status()[0];
    assert_eq!((status.in_flight, status.interactive), (0, 0));
}

#[tokio::test(start_paused = true)]
async fn every_refusal_is_counted_by_its_reason() {
    let harness = Harness::new(|_, _| Action::Shed(Duration::from_secs(10)));
    let mut registry = Registry::default();
    harness.engine.register(&mut registry);
    harness
        .engine
        .serve(once_request("/payout", new_id()))
        .await;
    harness.engine.serve(crate::support::request("/day")).await;
    let mut metrics = String::new();
    encode(&mut metrics, &registry).unwrap();
    for line in [
        "dispatch_requests_total 2",
        "dispatch_refusals_total{reason=\"shed\"} 1",
        "dispatch_refusals_total{reason=\"idempotency-key-unknown\"} 1",
        "dispatch_slots{service=\"calendar\",upstream=\"a\"} 1",
        "dispatch_waiting{service=\"calendar\",upstream=\"a\",class=\"batch\"} 0",
    ] {
        assert!(metrics.contains(line), "{line} is not in {metrics}");
    }
    let unused = "upstream=\"b\"";
    assert!(!metrics.contains(unused), "{unused} is in {metrics}");
}
