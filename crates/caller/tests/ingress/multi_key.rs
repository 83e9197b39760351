//! Multi-key requests.

use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use crate::fake::{
    CallerResponse, FakeNetwork, TIMEOUT, call, done_response, get, may_have_run, not_run,
    open_response, request, text_response,
};
use bytes::Bytes;
use copperwell_keyspace::manifest::Limits;
use copperwell_message::{Body, Class, Reason, Repeat};
use http_body_util::{BodyExt, Empty};
use test_case::test_case;
use tokio::time::timeout;

/// A part of a joined response.
#[derive(Debug, PartialEq, Eq)]
struct Part {
    key: String,
    status: String,
    body: String,
}

/// Splits a joined response into its parts, in order.
fn parts(response: &CallerResponse) -> Vec<Part> {
    let content_type = response.header("content-type");
    let boundary = content_type
        .strip_prefix("multipart/mixed; boundary=")
        .unwrap();
    let text = response.text();
    let end = format!("--{boundary}--\r\n");
    let text = text.strip_suffix(&end).unwrap();
    let begin = format!("--{boundary}\r\n");
    let parts = text.split(&begin).skip(1);
    parts
        .map(|part| {
            let (head, body) = part.split_once("\r\n\r\n").unwrap();
            let field = |name: &str| {
                let mut lines = head.lines();
                let line = lines.find_map(|line| line.strip_prefix(name));
                line.unwrap().to_owned()
            };
            Part {
                key: field("copperwell-key: "),
                status: field("copperwell-status: "),
                body: body.strip_suffix("\r\n").unwrap().to_owned(),
            }
        })
        .collect()
}

fn part(key: &str, body: &str) -> Part {
    Part {
        key: key.to_owned(),
        status: "200".to_owned(),
        body: body.to_owned(),
    }
}

fn failed(response: &CallerResponse) -> HashMap<String, (String, String)> {
    let report: serde_json::Value = serde_json::from_str(response.text()).unwrap();
    let failed = report["failed"].as_array().unwrap().iter();
    let text = |value: &serde_json::Value| value.as_str().unwrap().to_owned();
    failed
        .map(|failure| {
            let outcome = (text(&failure["verdict"]), text(&failure["reason"]));
            (text(&failure["key"]), outcome)
        })
        .collect()
}

#[tokio::test]
async fn responses_are_joined_in_the_order_of_keys() {
    let fake = FakeNetwork::new(|sent| {
        Box::pin(async move {
            let head = &sent.request.head;
            assert_eq!(head.class, Class::Batch);
            assert_eq!(head.repeat, Repeat::Repeatable);
            // The owners of the first keys respond last.
            for _ in 0..20 - head.key.len() {
                tokio::task::yield_now().await;
            }
            text_response(&format!("{} of {}", head.path, head.key))
        })
    });
    let response = call(
        fake.start().await,
        get("/calendar/a,bb,ccc,dddd/report?x=1"),
    )
    .await;
    assert_eq!(response.outcome(), (200, "done", ""));
    let expected = ["a", "bb", "ccc", "dddd"];
    let expected = expected.map(|key| part(key, &format!("/report?x=1 of {key}")));
    assert_eq!(parts(&response), expected);
}

#[tokio::test]
async fn every_part_has_a_unique_id() {
    let ids = Arc::new(Mutex::new(Vec::new()));
    let recorded = ids.clone();
    let fake = FakeNetwork::immediate(move |sent| {
        recorded.lock().unwrap().push(sent.request.head.id);
        text_response("ok")
    });
    call(fake.start().await, get("/calendar/a,b,c/report")).await;
    let ids = ids.lock().unwrap();
    assert!(ids.iter().all(|id| id.get_version_num() == 7));
    // The first 48 bits are the timestamp, which is that of the whole request.
    assert!(
        ids.iter()
            .all(|id| id.as_bytes()[..6] == ids[0].as_bytes()[..6])
    );
    let distinct: HashSet<_> = ids.iter().collect();
    assert_eq!(distinct.len(), 3);
}

#[tokio::test]
async fn every_part_gets_the_body() {
    let fake = FakeNetwork::immediate(|sent| done_response(sent.request.body));
    let request = request("PUT", "/calendar/a,b", "for all");
    let response = call(fake.start().await, request).await;
    assert_eq!(
        parts(&response),
        [part("a", "for all"), part("b", "for all")]
    );
}

#[tokio::test]
async fn error_names_failed_keys_and_verdicts() {
    let fake = FakeNetwork::immediate(|sent| match &*sent.request.head.key {
        "b" => not_run(Reason::Quarantined),
        _ => text_response("ok"),
    });
    let keys: Vec<String> = ["a", "b"]
        .into_iter()
        .map(str::to_owned)
        .chain((0..20).map(|index| format!("k{index}")))
        .collect();
    let path = format!("/calendar/{}", keys.join(","));
    let response = call(fake.start().await, get(&path)).await;
    assert_eq!(response.outcome(), (503, "may-have-run", "quarantined"));
    let failed = failed(&response);
    let outcome = |verdict: &str, reason: &str| (verdict.to_owned(), reason.to_owned());
    assert_eq!(failed["b"], outcome("not-run", "quarantined"));
    assert_eq!(failed["k0"], outcome("may-have-run", "cancelled"));
    assert_eq!(failed["k19"], outcome("not-run", "cancelled"));
    assert!(!failed.contains_key("a"));
    assert_eq!(failed.len(), 21);
}

#[tokio::test]
async fn refused_first_part_is_not_run_but_the_request_may_have_run() {
    let fake = FakeNetwork::immediate(|_| not_run(Reason::Quarantined));
    let response = call(fake.start().await, get("/calendar/a,b")).await;
    // The second part was in flight when the first one failed.
    assert_eq!(response.outcome(), (503, "may-have-run", "quarantined"));
    assert_eq!(failed(&response)["a"].0, "not-run");
}

#[test_case(not_run, Reason::Unowned; "no owner")]
#[test_case(not_run, Reason::QueueFull; "queue full")]
#[tokio::test]
async fn part_that_loads_no_server_is_retried_until_it_succeeds(
    refusal: fn(Reason) -> copperwell_message::Response,
    reason: Reason,
) {
    let attempts = Arc::new(AtomicUsize::new(0));
    let counter = attempts.clone();
    let fake = FakeNetwork::immediate(move |sent| {
        let is_refused =
            sent.request.head.key == "b" && counter.fetch_add(1, Ordering::Relaxed) < 3;
        if is_refused {
            refusal(reason)
        } else {
            text_response("ok")
        }
    });
    let response = call(fake.start().await, get("/calendar/a,b,c")).await;
    assert_eq!(response.outcome(), (200, "done", ""));
    assert_eq!(parts(&response).len(), 3);
    assert_eq!(attempts.load(Ordering::Relaxed), 4);
}

#[tokio::test]
async fn retries_that_load_servers_stay_within_the_budget() {
    let sends = Arc::new(AtomicUsize::new(0));
    let counter = sends.clone();
    let fake = FakeNetwork::immediate(move |_| {
        counter.fetch_add(1, Ordering::Relaxed);
        may_have_run(Reason::ConnectionLost)
    });
    let limits = Limits {
        deadline: Duration::from_secs(1),
        retry_percent: 10,
        ..Limits::default()
    };
    let address = fake.with_limits(limits).start().await;
    let keys: Vec<String> = (0..100).map(|index| format!("k{index}")).collect();
    let response = call(address, get(&format!("/calendar/{}", keys.join(",")))).await;
    assert_eq!(response.outcome(), (502, "may-have-run", "connection-lost"));
    // Eight parts start at a time, and it takes ten first attempts to pay for one retry.
    assert_eq!(sends.load(Ordering::Relaxed), 8);
}

#[tokio::test]
async fn truncated_part_is_retried() {
    let attempts = Arc::new(AtomicUsize::new(0));
    let counter = attempts.clone();
    let fake = FakeNetwork::immediate(move |sent| {
        if sent.request.head.key == "b" && counter.fetch_add(1, Ordering::Relaxed) == 0 {
            let (sender, body) = Body::channel();
            drop(sender);
            return done_response(body);
        }
        text_response("whole")
    });
    let limits = Limits {
        retry_percent: 100,
        ..Limits::default()
    };
    let response = call(fake.with_limits(limits).start().await, get("/calendar/a,b")).await;
    assert_eq!(parts(&response), [part("a", "whole"), part("b", "whole")]);
    assert_eq!(attempts.load(Ordering::Relaxed), 2);
}

/// Returns a network that records in `in_flight_max` the highest number of parts in flight.
fn counting_network(in_flight_max: &Arc<AtomicUsize>) -> FakeNetwork {
    let in_flight = Arc::new(AtomicUsize::new(0));
    let recorded = in_flight_max.clone();
    FakeNetwork::new(move |_| {
        let (counter, recorded) = (in_flight.clone(), recorded.clone());
        Box::pin(async move {
            let count = counter.fetch_add(1, Ordering::Relaxed) + 1;
            recorded.fetch_max(count, Ordering::Relaxed);
            for _ in 0..10 {
                tokio::task::yield_now().await;
            }
            counter.fetch_sub(1, Ordering::Relaxed);
            text_response("ok")
        })
    })
}

/// Guards against multi-key requests that start all at once, take slots from each other and all
/// miss their deadlines.
#[tokio::test]
async fn concurrent_multi_key_requests_share_the_part_limit() {
    let in_flight_max = Arc::new(AtomicUsize::new(0));
    let address = counting_network(&in_flight_max).start().await;
    let calls = (0..20).map(|_| call(address, get("/calendar/a,b,c,d,e,f,g,h")));
    for response in futures::future::join_all(calls).await {
        assert_eq!(parts(&response).len(), 8);
    }
    assert!(in_flight_max.load(Ordering::Relaxed) <= 8);
}

#[tokio::test]
async fn parts_in_flight_are_limited() {
    let in_flight_max = Arc::new(AtomicUsize::new(0));
    let fake = counting_network(&in_flight_max);
    let keys: Vec<String> = (0..200).map(|index| format!("k{index}")).collect();
    let path = format!("/calendar/{}", keys.join(","));
    let response = call(fake.start().await, get(&path)).await;
    assert_eq!(parts(&response).len(), 200);
    assert!(in_flight_max.load(Ordering::Relaxed) <= 8);
}

#[tokio::test]
async fn long_responses_are_streamed_completely() {
    const PART: usize = 300_000;
    let fake = FakeNetwork::new(|sent| {
        Box::pin(async move {
            let key = sent.request.head.key;
            let (sender, body) = Body::channel();
            tokio::spawn(async move {
                for _ in 0..PART / 10_000 {
                    let chunk = key.repeat(10_000 / key.len());
                    if sender.send(chunk).await.is_err() {
                        return;
                    }
                }
                sender.end().await;
            });
            done_response(body)
        })
    });
    let keys: Vec<String> = (0..30).map(|index| format!("{index:02}")).collect();
    let path = format!("/calendar/{}", keys.join(","));
    let response = call(fake.start().await, get(&path)).await;
    let parts = parts(&response);
    for (part, key) in parts.iter().zip(&keys) {
        assert_eq!(&part.key, key);
        assert!(part.body == key.repeat(PART / 2));
    }
    assert_eq!(parts.len(), 30);
}

#[tokio::test]
async fn caller_that_does_not_read_blocks_the_parts() {
    const WRITTEN_MAX_BYTES: usize = 16 << 20;
    let written_bytes = Arc::new(AtomicUsize::new(0));
    let counter = written_bytes.clone();
    let writers = Arc::new(Mutex::new(Vec::new()));
    let recorded_writers = writers.clone();
    let fake = FakeNetwork::new(move |_| {
        let (counter, recorded_writers) = (counter.clone(), recorded_writers.clone());
        Box::pin(async move {
            let (sender, body) = Body::channel();
            let writer = tokio::spawn(async move {
                while sender.send(vec![7; 16 << 10]).await.is_ok() {
                    counter.fetch_add(16 << 10, Ordering::Relaxed);
                }
            });
            recorded_writers.lock().unwrap().push(writer);
            done_response(body)
        })
    });
    let address = fake.start().await;
    let keys: Vec<String> = (0..100).map(|index| format!("k{index}")).collect();
    let request = get(&format!("/calendar/{}", keys.join(",")));
    let response = open_response(address, request.map(|_| Empty::<Bytes>::new().boxed())).await;
    for _ in 0..20_000 {
        tokio::task::yield_now().await;
    }
    assert!(written_bytes.load(Ordering::Relaxed) < WRITTEN_MAX_BYTES);
    drop(response);
    // All writers end: nothing is kept for a caller that disconnected.
    let writers = std::mem::take(&mut *writers.lock().unwrap());
    assert!(!writers.is_empty());
    for writer in writers {
        timeout(TIMEOUT, writer).await.unwrap().unwrap();
    }
}

#[tokio::test]
async fn failure_after_streaming_began_truncates_the_response() {
    let fake = FakeNetwork::immediate(|sent| match &*sent.request.head.key {
        "last" => not_run(Reason::Quarantined),
        _ => text_response(&"x".repeat(60_000)),
    });
    let keys: Vec<String> = (0..40).map(|index| format!("k{index}")).collect();
    let path = format!("/calendar/{},last", keys.join(","));
    let response = call(fake.start().await, get(&path)).await;
    assert_eq!(response.status, 200);
    assert!(response.body.is_err());
}

#[tokio::test]
async fn request_with_an_idempotency_key_has_one_key() {
    let address = FakeNetwork::immediate(|_| unreachable!()).start().await;
    let mut request = request("POST", "/calendar/a,b", "book");
    let key = uuid::Uuid::now_v7().to_string();
    let headers = request.headers_mut();
    headers.insert("idempotency-key", key.parse().unwrap());
    let response = call(address, request).await;
    assert_eq!(response.outcome(), (400, "not-run", "bad-request"));
    assert!(response.text().contains("one request for each key"));
}
