//! Tests that bytes are released on every path, and that no body waits for the reader of another one.

use std::{thread, time::Duration};

use super::{Budget, CHUNK_BYTES};
use bytes::Bytes;
use tokio::time::timeout;

const LIMIT_BYTES: usize = 16 * CHUNK_BYTES;

/// How long a future must stay pending to count as blocked. The clock is paused, so that this takes no real time.
const PENDING: Duration = Duration::from_secs(60);

fn chunk() -> Bytes {
    Bytes::from(vec![0; CHUNK_BYTES])
}

/// Acquires the whole share of responses.
fn fill(budget: &Budget) -> Vec<super::Permit> {
    let mut taken = Vec::new();
    while let Some(permit) = budget.try_response(CHUNK_BYTES) {
        taken.push(permit);
    }
    taken
}

/// Guards against a budget that shrinks with each body, until nothing is buffered any more.
#[test]
fn bytes_are_lost_when_clones_and_slices_are_dropped() {
    let budget = Budget::new(LIMIT_BYTES);
    let bytes = budget.try_response(CHUNK_BYTES).unwrap().bind(chunk());
    let slice = bytes.slice(1..10);
    drop(bytes);
    assert_eq!(budget.used_bytes(), CHUNK_BYTES);
    drop(slice);
    assert_eq!(budget.used_bytes(), 0);
    let shorter = budget
        .try_request(CHUNK_BYTES)
        .unwrap()
        .bind(chunk().slice(..100));
    assert_eq!(budget.used_bytes(), 100);
    drop(shorter);
    let longer = budget.try_request(10).unwrap().bind(chunk());
    assert_eq!(budget.used_bytes(), CHUNK_BYTES);
    drop(longer);
    drop(budget.try_request(CHUNK_BYTES).unwrap().bind(Bytes::new()));
    assert_eq!(budget.used_bytes(), 0);
}

/// Guards against slow readers who keep requests with bodies out: responses leave a quarter of the budget.
#[test]
fn responses_use_up_the_room_of_requests() {
    let budget = Budget::new(LIMIT_BYTES);
    let responses = fill(&budget);
    assert_eq!(budget.used_bytes(), LIMIT_BYTES / 4 * 3);
    assert!(!budget.has_capacity());
    let mut requests = Vec::new();
    while let Some(permit) = budget.try_request(CHUNK_BYTES) {
        requests.push(permit);
    }
    assert_eq!(budget.used_bytes(), LIMIT_BYTES);
    drop((responses, requests));
    assert!(budget.has_capacity());
    assert_eq!(budget.used_bytes(), 0);
}

/// Guards against a body that holds more than one chunk when the budget is exhausted, and against one that makes no
/// progress.
#[tokio::test(start_paused = true)]
async fn flow_without_room_holds_more_than_one_chunk() {
    let budget = Budget::new(LIMIT_BYTES);
    let flow = budget.flow();
    let before = flow.reserve(CHUNK_BYTES).await.bind(chunk());
    let others = fill(&budget);
    let next = flow.reserve(CHUNK_BYTES);
    assert!(timeout(PENDING, next).await.is_err(), "a second chunk");
    let mut waiting = Box::pin(flow.reserve(CHUNK_BYTES));
    assert!(timeout(PENDING, &mut waiting).await.is_err());
    drop(before);
    let used = budget.used_bytes();
    let next = timeout(PENDING, waiting)
        .await
        .expect("no chunk")
        .bind(chunk());
    assert_eq!(budget.used_bytes(), used + CHUNK_BYTES);
    // Another body does not wait for the readers of the first ones.
    let other = budget.flow();
    let first = timeout(PENDING, other.reserve(CHUNK_BYTES)).await;
    assert!(first.is_ok(), "another body waits");
    drop((first, next, others));
    assert_eq!(budget.used_bytes(), 0);
}

/// Guards against bytes that stay reserved for a body whose caller has left.
#[tokio::test(start_paused = true)]
async fn dropped_reservation_keeps_its_bytes() {
    let budget = Budget::new(LIMIT_BYTES);
    let flow = budget.flow();
    let held = flow.reserve(CHUNK_BYTES).await;
    let others = fill(&budget);
    assert!(timeout(PENDING, flow.reserve(CHUNK_BYTES)).await.is_err());
    drop((held, others));
    assert_eq!(budget.used_bytes(), 0);
    // The notification of the dropped reservation must not let the next one hold two chunks.
    let held = flow.reserve(CHUNK_BYTES).await;
    let others = fill(&budget);
    assert!(timeout(PENDING, flow.reserve(CHUNK_BYTES)).await.is_err());
    drop((held, others));
    assert_eq!(budget.used_bytes(), 0);
}

/// Guards against a count that drifts or exceeds the limit when many threads use the budget concurrently.
#[test]
fn threads_together_exceed_the_limit() {
    let budget = Budget::new(LIMIT_BYTES);
    thread::scope(|scope| {
        for number in 1..=8 {
            let budget = &budget;
            scope.spawn(move || {
                let mut held = Vec::new();
                for round in 0..10_000 {
                    if let Some(permit) = budget.try_request(number * 997) {
                        held.push(permit);
                    }
                    assert!(budget.used_bytes() <= LIMIT_BYTES);
                    if round % number == 0 {
                        held.clear();
                    }
                }
            });
        }
    });
    assert_eq!(budget.used_bytes(), 0);
}

/// Guards against a limit although the settings have none.
#[tokio::test(start_paused = true)]
async fn budget_without_a_limit_refuses() {
    let budget = Budget::of_process(None);
    let flow = budget.flow();
    let permits = (
        budget.try_request(usize::MAX),
        budget.try_response(usize::MAX),
        flow.reserve(usize::MAX).await,
        flow.reserve(usize::MAX).await,
    );
    assert!(permits.0.is_some() && permits.1.is_some() && budget.has_capacity());
    assert_eq!(budget.used_bytes(), 0);
}
