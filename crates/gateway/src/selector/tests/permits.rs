//! Permits and the queues for them.

use std::{
    future::ready,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use super::{KEY, publish_holder, requirements, selector};
use crate::{
    queue::Permit,
    rejection::Rejection,
    selector::{Requirements, Selected, Selector},
};
use copperwell_message::Reason;
use copperwell_routing::{
    configuration::{Configuration, Limits, Part, Route, Service},
    load::Outcome,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::{
    task::{JoinHandle, JoinSet, yield_now},
    time::{Instant, advance, sleep, timeout},
};

/// The permits of the two upstreams together.
const PERMITS: u32 = 12;

type Selecting = JoinHandle<Result<Selected, Rejection>>;

/// Returns a selector for a service without keys whose requests have these priorities.
fn selector_with(priorities: &[u32]) -> Arc<Selector> {
    let selector = selector();
    let limits = Limits {
        head_bytes: 8 << 10,
        body_bytes: 64 << 10,
        head_time: Duration::from_secs(3),
        idle_time: Duration::from_secs(15),
    };
    let service = Service {
        name: "cups".into(),
        connections: 100,
        is_keyed: false,
        health_path: None,
        warmup: None,
    };
    let routes = priorities.iter().map(|priority| {
        let part = Part {
            service: "cups".into(),
            weight: 1,
        };
        let prefix = format!("/{priority}/");
        Route::new(prefix.clone(), "app.example", prefix, [part]).with_priority(*priority)
    });
    let configuration = Configuration::new(1, limits, [service], routes);
    selector.view.update_configuration(configuration);
    selector
}

fn request(priority: u32, key: Option<u16>) -> Requirements {
    Requirements {
        priority,
        ..requirements(u64::from(priority) + 100, key)
    }
}

/// Takes all permits of a service without keys.
async fn fill(selector: &Selector) -> Vec<Permit> {
    let mut permits = Vec::new();
    for _ in 0..PERMITS {
        let request = request(1, None);
        let selected = selector.select(&request, &[], None, None);
        permits.push(permit(selected.await));
    }
    permits
}

fn permit(selected: Result<Selected, Rejection>) -> Permit {
    match selected {
        Ok(Selected::Upstream(_, permit)) => permit,
        other => panic!("{other:?}"),
    }
}

fn spawn(selector: &Arc<Selector>, requirements: Requirements) -> Selecting {
    let selector = selector.clone();
    tokio::spawn(async move { selector.select(&requirements, &[], None, None).await })
}

/// Lets all tasks run that can.
async fn settle() {
    for _ in 0..100 {
        yield_now().await;
    }
}

fn in_flight(selector: &Selector) -> u32 {
    let loads = selector.view.loads();
    loads.in_flight("a") + loads.in_flight("b")
}

/// Guards against permits in the order of arrival, and against a new request that overtakes queued ones.
#[tokio::test(start_paused = true)]
async fn urgent_request_gets_the_next_permit() {
    let selector = selector_with(&[1, 2]);
    let mut permits = fill(&selector).await;
    let patient = spawn(&selector, request(2, None));
    settle().await;
    let urgent = spawn(&selector, request(1, None));
    settle().await;
    permits.pop();
    // These arrive after the permit has become free, and before the urgent request has taken it.
    let also_urgent = request(1, None);
    tokio::select! {
        biased;
        selected = selector.select(&also_urgent, &[], None, None) => panic!("{selected:?}"),
        () = ready(()) => {}
    }
    let new = spawn(&selector, request(2, None));
    settle().await;
    assert!(urgent.is_finished() && !patient.is_finished() && !new.is_finished());
    permits.push(permit(urgent.await.unwrap()));
    permits.pop();
    settle().await;
    assert!(patient.is_finished() && !new.is_finished());
    assert_eq!(in_flight(&selector), PERMITS);
}

/// Guards against places that nobody has any more: of callers that leave while they are queued, have their turn, or have
/// their permit.
#[tokio::test(start_paused = true)]
async fn dropped_requests_give_their_places_back() {
    let selector = selector_with(&[1, 2]);
    let mut permits = fill(&selector).await;
    let leaving = [1, 1, 2].map(|priority| spawn(&selector, request(priority, None)));
    settle().await;
    let last = spawn(&selector, request(2, None));
    settle().await;
    leaving[1].abort();
    settle().await;
    // The first one is given the turn, and is dropped before it can take the permit.
    permits.pop();
    leaving[0].abort();
    leaving[2].abort();
    settle().await;
    assert!(last.is_finished());
    drop(last.await);
    drop(permits);
    settle().await;
    assert_eq!(in_flight(&selector), 0);
    assert_eq!(fill(&selector).await.len(), PERMITS as usize);
}

/// 400 requests of three priorities for 12 permits, a fifth of which leave at some time (seeds 1 to 8).
///
/// Guards against lost wake-ups, leaked places and places that are taken twice.
#[tokio::test(start_paused = true)]
async fn places_are_neither_lost_nor_taken_twice() {
    for seed in 1..=8 {
        let selector = selector_with(&[0, 1, 2]);
        let mut random = StdRng::seed_from_u64(seed);
        let most = Arc::new(AtomicU32::new(0));
        let mut requests = JoinSet::new();
        let start = Instant::now();
        let mut work_ms = 0;
        for _ in 0..400 {
            let priority = random.random_range(0..3);
            let work = random.random_range(1..40);
            work_ms += work;
            let leaves = random.random_range(0..5) == 0;
            let patience = match leaves {
                true => Duration::from_millis(random.random_range(0..60)),
                false => Duration::from_secs(60),
            };
            let (selector, most) = (selector.clone(), most.clone());
            let request = Requirements {
                work: Duration::from_millis(20),
                ..request(priority, None)
            };
            let run = async move {
                let selected = selector.select(&request, &[], None, None).await;
                let permit = permit(selected);
                most.fetch_max(in_flight(&selector), Ordering::Relaxed);
                let sent = permit.start();
                sleep(Duration::from_millis(work)).await;
                sent.end(Outcome::Answered);
            };
            requests.spawn(async move { (leaves, timeout(patience, run).await.is_ok()) });
            sleep(Duration::from_micros(random.random_range(0..900))).await;
        }
        while let Some(ended) = requests.join_next().await {
            let (leaves, is_served) = ended.unwrap();
            assert!(leaves || is_served, "seed {seed}");
        }
        // With idle places, the time would be longer than the work takes on all of them.
        let least = Duration::from_millis(work_ms / u64::from(PERMITS));
        assert!(
            start.elapsed() < least.mul_f64(1.2),
            "seed {seed}: {:?}",
            start.elapsed()
        );
        assert_eq!(most.load(Ordering::Relaxed), PERMITS, "seed {seed}");
        assert_eq!(in_flight(&selector), 0, "seed {seed}");
    }
}

/// Guards against requests that wait where they were refused at once before: all requests for the service are alike.
#[tokio::test(start_paused = true)]
async fn requests_of_one_priority_are_refused_at_once() {
    let selector = selector_with(&[1]);
    let _permits = fill(&selector).await;
    let start = Instant::now();
    let refused = selector.select(&request(1, None), &[], None, None).await;
    assert_eq!(refused.unwrap_err().reason, Reason::QueueFull);
    assert_eq!(start.elapsed(), Duration::ZERO);
}

/// Guards against a wait after which the objective cannot be met any more.
#[tokio::test(start_paused = true)]
async fn request_waits_until_its_objective_cannot_be_met() {
    let selector = selector_with(&[1, 2]);
    let _permits = fill(&selector).await;
    let start = Instant::now();
    let soon = Requirements {
        objective: start + Duration::from_millis(400),
        ..request(1, None)
    };
    let refused = spawn(&selector, soon).await.unwrap().unwrap_err();
    assert_eq!(refused.reason, Reason::QueueFull);
    assert!(refused.retry_after.is_some());
    // The request would take 100 ms.
    let waited = start.elapsed();
    assert!((300..310).contains(&waited.as_millis()), "{waited:?}");
    let late = Requirements {
        objective: Instant::now() + Duration::from_millis(100),
        ..request(1, None)
    };
    let start = Instant::now();
    let refused = selector.select(&late, &[], None, None).await.unwrap_err();
    assert_eq!(start.elapsed(), Duration::ZERO);
    assert!(refused.retry_after.is_some());
}

/// Guards against requests that are sent after a pause of the VM though their answer comes too late.
#[tokio::test(start_paused = true)]
async fn request_is_refused_after_a_pause() {
    let selector = selector_with(&[1, 2]);
    let mut permits = fill(&selector).await;
    let waiting = spawn(&selector, request(1, None));
    settle().await;
    advance(Duration::from_secs(40)).await;
    permits.pop();
    let refused = waiting.await.unwrap().unwrap_err();
    assert!(
        matches!(refused.reason, Reason::QueueFull | Reason::DeadlineHopeless),
        "{refused:?}"
    );
    drop(permits);
    assert_eq!(in_flight(&selector), 0);
}

/// Guards against requests that wait at the former holder of their key, and against urgent ones that wait behind others.
#[tokio::test(start_paused = true)]
async fn queued_requests_follow_their_key() {
    let selector = selector();
    publish_holder(&selector, "a");
    let mut permits = Vec::new();
    for _ in 0..PERMITS / 2 {
        let request = request(1, Some(KEY));
        let selected = selector.select(&request, &[], None, None);
        permits.push(permit(selected.await));
    }
    let patient = spawn(&selector, request(2, Some(KEY)));
    settle().await;
    let urgent = spawn(&selector, request(1, Some(KEY)));
    settle().await;
    permits.pop();
    settle().await;
    assert!(urgent.is_finished() && !patient.is_finished());
    let urgent = urgent.await.unwrap();
    let routing_tables = &selector.view.keys.routing_tables;
    routing_tables.publish(super::tables("b", 2));
    let moved = patient.await.unwrap();
    assert!(matches!(&moved, Ok(Selected::Upstream(upstream, _)) if &*upstream.id == "b"));
    drop((urgent, moved, permits));
    assert_eq!(in_flight(&selector), 0);
}
