//! Requests over several keys.

use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use crate::fake::{Fake, Got, LONG, call, done, get, may_have_run, not_run, open, request, whole};
use bytes::Bytes;
use copperwell_keyspace::manifest::Limits;
use copperwell_message::{Body, Class, Reason, Repeat};
use http_body_util::{BodyExt, Empty};
use test_case::test_case;
use tokio::time::timeout;

/// A part of a joined answer.
#[derive(Debug, PartialEq, Eq)]
struct Part {
    key: String,
    status: String,
    body: String,
}

/// Takes a joined answer apart, in order.
fn parts(got: &Got) -> Vec<Part> {
    let form = got.header("content-type");
    let boundary = form.strip_prefix("multipart/mixed; boundary=").unwrap();
    let text = got.text();
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

fn failed(got: &Got) -> HashMap<String, (String, String)> {
    let report: serde_json::Value = serde_json::from_str(got.text()).unwrap();
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
async fn answers_are_joined_in_the_order_of_keys() {
    let fake = Fake::new(|sent| {
        Box::pin(async move {
            let head = &sent.request.head;
            assert_eq!(head.class, Class::Batch);
            assert_eq!(head.repeat, Repeat::Repeatable);
            // The first keys answer last.
            for _ in 0..20 - head.key.len() {
                tokio::task::yield_now().await;
            }
            whole(&format!("{} of {}", head.path, head.key))
        })
    });
    let got = call(
        fake.start().await,
        get("/calendar/a,bb,ccc,dddd/report?x=1"),
    )
    .await;
    assert_eq!(got.outcome(), (200, "done", ""));
    let expected = ["a", "bb", "ccc", "dddd"];
    let expected = expected.map(|key| part(key, &format!("/report?x=1 of {key}")));
    assert_eq!(parts(&got), expected);
}

#[tokio::test]
async fn every_part_has_an_id_of_its_own() {
    let ids = Arc::new(Mutex::new(Vec::new()));
    let noted = ids.clone();
    let fake = Fake::quick(move |sent| {
        noted.lock().unwrap().push(sent.request.head.id);
        whole("ok")
    });
    call(fake.start().await, get("/calendar/a,b,c/report")).await;
    let ids = ids.lock().unwrap();
    assert!(ids.iter().all(|id| id.get_version_num() == 7));
    // The first 48 bits are the time of the whole.
    assert!(
        ids.iter()
            .all(|id| id.as_bytes()[..6] == ids[0].as_bytes()[..6])
    );
    let distinct: HashSet<_> = ids.iter().collect();
    assert_eq!(distinct.len(), 3);
}

#[tokio::test]
async fn every_part_gets_the_body() {
    let fake = Fake::quick(|sent| done(sent.request.body));
    let asked = request("PUT", "/calendar/a,b", "for all");
    let got = call(fake.start().await, asked).await;
    assert_eq!(parts(&got), [part("a", "for all"), part("b", "for all")]);
}

#[tokio::test]
async fn failure_names_keys_and_verdicts() {
    let fake = Fake::quick(|sent| match &*sent.request.head.key {
        "b" => not_run(Reason::Quarantined),
        _ => whole("ok"),
    });
    let keys: Vec<String> = ["a", "b"]
        .into_iter()
        .map(str::to_owned)
        .chain((0..20).map(|index| format!("k{index}")))
        .collect();
    let path = format!("/calendar/{}", keys.join(","));
    let got = call(fake.start().await, get(&path)).await;
    assert_eq!(got.outcome(), (503, "may-have-run", "quarantined"));
    let failed = failed(&got);
    let outcome = |verdict: &str, reason: &str| (verdict.to_owned(), reason.to_owned());
    assert_eq!(failed["b"], outcome("not-run", "quarantined"));
    assert_eq!(failed["k0"], outcome("may-have-run", "cancelled"));
    assert_eq!(failed["k19"], outcome("not-run", "cancelled"));
    assert!(!failed.contains_key("a"));
    assert_eq!(failed.len(), 21);
}

#[tokio::test]
async fn nothing_ran_if_the_first_part_was_refused_and_none_began_after_it() {
    let fake = Fake::quick(|_| not_run(Reason::Quarantined));
    let got = call(fake.start().await, get("/calendar/a,b")).await;
    // The second part was under way when the first one failed.
    assert_eq!(got.outcome(), (503, "may-have-run", "quarantined"));
    assert_eq!(failed(&got)["a"].0, "not-run");
}

#[test_case(not_run, Reason::Unowned; "no owner")]
#[test_case(not_run, Reason::QueueFull; "queue full")]
#[tokio::test]
async fn part_that_loads_no_server_is_tried_until_it_is_answered(
    refusal: fn(Reason) -> copperwell_message::Response,
    reason: Reason,
) {
    let tries = Arc::new(AtomicUsize::new(0));
    let counted = tries.clone();
    let fake = Fake::quick(move |sent| {
        let again = sent.request.head.key == "b" && counted.fetch_add(1, Ordering::Relaxed) < 3;
        if again { refusal(reason) } else { whole("ok") }
    });
    let got = call(fake.start().await, get("/calendar/a,b,c")).await;
    assert_eq!(got.outcome(), (200, "done", ""));
    assert_eq!(parts(&got).len(), 3);
    assert_eq!(tries.load(Ordering::Relaxed), 4);
}

#[tokio::test]
async fn tries_that_load_servers_stay_within_the_budget() {
    let sends = Arc::new(AtomicUsize::new(0));
    let counted = sends.clone();
    let fake = Fake::quick(move |_| {
        counted.fetch_add(1, Ordering::Relaxed);
        may_have_run(Reason::ConnectionLost)
    });
    let limits = Limits {
        deadline: Duration::from_secs(1),
        retry_percent: 10,
        ..Limits::default()
    };
    let to = fake.with_limits(limits).start().await;
    let keys: Vec<String> = (0..100).map(|index| format!("k{index}")).collect();
    let got = call(to, get(&format!("/calendar/{}", keys.join(",")))).await;
    assert_eq!(got.outcome(), (502, "may-have-run", "connection-lost"));
    // Eight parts begin at a time, and ten first tries pay for one more.
    assert_eq!(sends.load(Ordering::Relaxed), 8);
}

#[tokio::test]
async fn part_cut_short_is_fetched_again() {
    let tries = Arc::new(AtomicUsize::new(0));
    let counted = tries.clone();
    let fake = Fake::quick(move |sent| {
        if sent.request.head.key == "b" && counted.fetch_add(1, Ordering::Relaxed) == 0 {
            let (sender, body) = Body::channel();
            drop(sender);
            return done(body);
        }
        whole("whole")
    });
    let limits = Limits {
        retry_percent: 100,
        ..Limits::default()
    };
    let got = call(fake.with_limits(limits).start().await, get("/calendar/a,b")).await;
    assert_eq!(parts(&got), [part("a", "whole"), part("b", "whole")]);
    assert_eq!(tries.load(Ordering::Relaxed), 2);
}

/// Counts in `most` how many parts it ever runs at a time.
fn counting(most: &Arc<AtomicUsize>) -> Fake {
    let running = Arc::new(AtomicUsize::new(0));
    let noted = most.clone();
    Fake::new(move |_| {
        let (counted, noted) = (running.clone(), noted.clone());
        Box::pin(async move {
            let now = counted.fetch_add(1, Ordering::Relaxed) + 1;
            noted.fetch_max(now, Ordering::Relaxed);
            for _ in 0..10 {
                tokio::task::yield_now().await;
            }
            counted.fetch_sub(1, Ordering::Relaxed);
            whole("ok")
        })
    })
}

/// Requests that all begin at once take slots from each other, and each misses its deadline.
#[tokio::test]
async fn requests_over_several_keys_take_turns() {
    let most = Arc::new(AtomicUsize::new(0));
    let to = counting(&most).start().await;
    let calls = (0..20).map(|_| call(to, get("/calendar/a,b,c,d,e,f,g,h")));
    for got in futures::future::join_all(calls).await {
        assert_eq!(parts(&got).len(), 8);
    }
    assert!(most.load(Ordering::Relaxed) <= 8);
}

#[tokio::test]
async fn few_parts_run_at_a_time() {
    let most = Arc::new(AtomicUsize::new(0));
    let fake = counting(&most);
    let keys: Vec<String> = (0..200).map(|index| format!("k{index}")).collect();
    let path = format!("/calendar/{}", keys.join(","));
    let got = call(fake.start().await, get(&path)).await;
    assert_eq!(parts(&got).len(), 200);
    assert!(most.load(Ordering::Relaxed) <= 8);
}

#[tokio::test]
async fn long_answers_are_streamed_and_come_back_whole() {
    const PART: usize = 300_000;
    let fake = Fake::new(|sent| {
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
            done(body)
        })
    });
    let keys: Vec<String> = (0..30).map(|index| format!("{index:02}")).collect();
    let path = format!("/calendar/{}", keys.join(","));
    let got = call(fake.start().await, get(&path)).await;
    let parts = parts(&got);
    for (part, key) in parts.iter().zip(&keys) {
        assert_eq!(&part.key, key);
        assert!(part.body == key.repeat(PART / 2));
    }
    assert_eq!(parts.len(), 30);
}

#[tokio::test]
async fn caller_that_does_not_read_holds_up_the_parts() {
    const BOUND: usize = 16 << 20;
    let written = Arc::new(AtomicUsize::new(0));
    let counted = written.clone();
    let gone = Arc::new(Mutex::new(Vec::new()));
    let senders = gone.clone();
    let fake = Fake::new(move |_| {
        let (counted, senders) = (counted.clone(), senders.clone());
        Box::pin(async move {
            let (sender, body) = Body::channel();
            let writer = tokio::spawn(async move {
                while sender.send(vec![7; 16 << 10]).await.is_ok() {
                    counted.fetch_add(16 << 10, Ordering::Relaxed);
                }
            });
            senders.lock().unwrap().push(writer);
            done(body)
        })
    });
    let to = fake.start().await;
    let keys: Vec<String> = (0..100).map(|index| format!("k{index}")).collect();
    let asked = get(&format!("/calendar/{}", keys.join(",")));
    let opened = open(to, asked.map(|_| Empty::<Bytes>::new().boxed())).await;
    for _ in 0..20_000 {
        tokio::task::yield_now().await;
    }
    assert!(written.load(Ordering::Relaxed) < BOUND);
    drop(opened);
    // All writers end: nothing is kept for a caller that hung up.
    let writers = std::mem::take(&mut *gone.lock().unwrap());
    assert!(!writers.is_empty());
    for writer in writers {
        timeout(LONG, writer).await.unwrap().unwrap();
    }
}

#[tokio::test]
async fn failure_after_the_beginning_cuts_the_answer_short() {
    let fake = Fake::quick(|sent| match &*sent.request.head.key {
        "last" => not_run(Reason::Quarantined),
        _ => whole(&"x".repeat(60_000)),
    });
    let keys: Vec<String> = (0..40).map(|index| format!("k{index}")).collect();
    let path = format!("/calendar/{},last", keys.join(","));
    let got = call(fake.start().await, get(&path)).await;
    assert_eq!(got.status, 200);
    assert!(got.body.is_err());
}

#[tokio::test]
async fn request_that_may_not_repeat_has_one_key() {
    let to = Fake::quick(|_| unreachable!()).start().await;
    let mut asked = request("POST", "/calendar/a,b", "book");
    let key = uuid::Uuid::now_v7().to_string();
    let headers = asked.headers_mut();
    headers.insert("idempotency-key", key.parse().unwrap());
    let got = call(to, asked).await;
    assert_eq!(got.outcome(), (400, "not-run", "bad-request"));
    assert!(got.text().contains("one request for each key"));
}
