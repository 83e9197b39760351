//! The way from ingress to leaders.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use crate::fake::{
    Fake, LONG, call, done, get, may_have_run, member, not_run, open, request, whole,
};
use bytes::Bytes;
use copperwell_keyspace::manifest::Limits;
use copperwell_message::{Body, Reason, Severed, Verdict};
use futures::future::join_all;
use http_body_util::{BodyExt, Empty, Full, StreamBody};
use test_case::test_case;
use tokio::{io::AsyncWriteExt, net::TcpStream, time::timeout};
use tokio_util::sync::CancellationToken;

const PATH: &str = "/calendar/cabin-17";

/// A service whose requests may take no longer than this.
fn limits(deadline: Duration) -> Limits {
    Limits {
        deadline,
        ..Limits::default()
    }
}

#[test_case(Reason::NotLeader)]
#[test_case(Reason::NoLeader)]
#[test_case(Reason::Stopping)]
#[tokio::test]
async fn standby_is_asked_where_the_leader_did_nothing(reason: Reason) {
    let fake = Fake::quick(move |sent| match &*sent.to {
        "leader" => not_run(reason),
        _ => whole("from the standby"),
    });
    let got = call(fake.start().await, request("PUT", PATH, "body")).await;
    assert_eq!(got.text(), "from the standby");
}

#[test_case(may_have_run, Reason::ConnectionLost, (502, "may-have-run"); "may have run")]
#[test_case(may_have_run, Reason::NotLeader, (503, "may-have-run"); "may have run elsewhere")]
#[test_case(not_run, Reason::Shed, (503, "not-run"); "shed")]
#[test_case(not_run, Reason::ConnectionRefused, (503, "not-run"); "server unreachable")]
#[test_case(not_run, Reason::QueueFull, (503, "not-run"); "queue full")]
#[tokio::test]
async fn answer_of_whoever_leads_is_final(
    refusal: fn(Reason) -> copperwell_message::Response,
    reason: Reason,
    expected: (u16, &str),
) {
    let sends = Arc::new(AtomicUsize::new(0));
    let counted = sends.clone();
    let fake = Fake::quick(move |_| {
        counted.fetch_add(1, Ordering::Relaxed);
        refusal(reason)
    });
    let got = call(fake.start().await, get(PATH)).await;
    let (status, verdict, named) = got.outcome();
    assert_eq!(
        (status, verdict, named),
        (expected.0, expected.1, reason.as_str())
    );
    assert_eq!(sends.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn body_is_the_same_on_each_try() {
    let bodies = Arc::new(Mutex::new(Vec::new()));
    let noted = bodies.clone();
    let fake = Fake::quick(move |sent| {
        let body = sent.request.body.as_full().unwrap();
        noted.lock().unwrap().push(body);
        match &*sent.to {
            "leader" => not_run(Reason::NotLeader),
            _ => whole("ok"),
        }
    });
    call(fake.start().await, request("PUT", PATH, "the body")).await;
    assert_eq!(*bodies.lock().unwrap(), ["the body", "the body"]);
}

#[tokio::test]
async fn long_body_is_sent_once_only() {
    let sends = Arc::new(AtomicUsize::new(0));
    let counted = sends.clone();
    let fake = Fake::quick(move |_| {
        counted.fetch_add(1, Ordering::Relaxed);
        not_run(Reason::NotLeader)
    });
    let long = "x".repeat(300_000);
    let got = call(fake.start().await, request("PUT", PATH, &long)).await;
    assert_eq!(got.outcome(), (503, "not-run", "not-leader"));
    assert_eq!(sends.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn long_body_arrives_whole() {
    let fake = Fake::new(|sent| {
        Box::pin(async move {
            let body = sent.request.body.collect(1 << 20).await.unwrap();
            whole(&body.len().to_string())
        })
    });
    let long = "x".repeat(300_000);
    let got = call(fake.start().await, request("PUT", PATH, &long)).await;
    assert_eq!(got.text(), "300000");
}

#[tokio::test]
async fn leader_out_of_reach_is_asked_through_a_relay() {
    let hops = Arc::new(Mutex::new(Vec::new()));
    let noted = hops.clone();
    let mut fake = Fake::quick(move |sent| {
        let hop = (sent.to.clone(), sent.relay.clone());
        noted.lock().unwrap().push(hop);
        match (&*sent.to, sent.relay.as_deref()) {
            ("leader", Some("near")) => whole("through the relay"),
            ("standby", None) => not_run(Reason::NotLeader),
            _ => not_run(Reason::NoLeader),
        }
    });
    fake.relays = vec![member("far"), member("near")];
    let to = fake.start().await;
    for _ in 0..2 {
        let got = call(to, get(PATH)).await;
        assert_eq!(got.text(), "through the relay");
    }
    let direct = |to: &str| (to.to_owned(), None);
    let relayed = |relay: &str| ("leader".to_owned(), Some(relay.to_owned()));
    let first = [
        direct("leader"),
        direct("standby"),
        relayed("far"),
        relayed("near"),
    ];
    // The second request takes the way that worked.
    let expected: Vec<_> = first.into_iter().chain([relayed("near")]).collect();
    assert_eq!(*hops.lock().unwrap(), expected);
}

#[tokio::test]
async fn requests_wait_for_a_leader_without_a_storm() {
    const REQUESTS: usize = 100;
    let sends = Arc::new(AtomicUsize::new(0));
    let leads = CancellationToken::new();
    let counted = sends.clone();
    let token = leads.clone();
    let fake = Fake::quick(move |sent| {
        counted.fetch_add(1, Ordering::Relaxed);
        match &*sent.to {
            "standby" if token.is_cancelled() => whole("ok"),
            _ => not_run(Reason::NotLeader),
        }
    });
    let to = fake.start().await;
    let waiting = join_all((0..REQUESTS).map(|_| call(to, get(PATH))));
    let change = async {
        // The time without a leader is the fault itself.
        tokio::time::sleep(Duration::from_secs(1)).await;
        let before = sends.load(Ordering::Relaxed);
        leads.cancel();
        before
    };
    let (answers, before) = tokio::join!(waiting, change);
    assert!(answers.iter().all(|got| got.text() == "ok"));
    // Each asked both daemons at most once on its own; the rest is left to one scout at a time.
    assert!(before <= 4 * REQUESTS, "{before}");
}

#[tokio::test]
async fn no_leader_until_the_deadline_is_not_run() {
    let fake = Fake::quick(|_| not_run(Reason::NotLeader));
    let fake = fake.with_limits(limits(Duration::from_millis(400)));
    let got = call(fake.start().await, get(PATH)).await;
    assert_eq!(got.outcome(), (503, "not-run", "not-leader"));
    assert_eq!(got.header("retry-after"), "1");
}

#[tokio::test]
async fn group_without_leaders_is_not_run() {
    let fake = Fake::quick(|_| unreachable!());
    fake.leaders.lock().unwrap().clear();
    let fake = fake.with_limits(limits(Duration::from_millis(200)));
    let got = call(fake.start().await, get(PATH)).await;
    assert_eq!(got.outcome(), (503, "not-run", "no-leader"));
}

#[tokio::test]
async fn silent_leader_may_have_run_it() {
    let fake = Fake::new(|_| Box::pin(std::future::pending()));
    let fake = fake.with_limits(limits(Duration::from_millis(200)));
    let got = call(fake.start().await, get(PATH)).await;
    assert_eq!(got.outcome(), (504, "may-have-run", "deadline-passed"));
}

#[tokio::test]
async fn service_takes_only_so_many_requests() {
    let limits = Limits {
        in_flight: 2,
        ..Limits::default()
    };
    let (fake, mut handed) = Fake::handing();
    let to = fake.with_limits(limits).start().await;
    let running = [(); 2].map(|()| tokio::spawn(call(to, get(PATH))));
    let waiting = [handed.recv().await.unwrap(), handed.recv().await.unwrap()];
    let got = call(to, get(PATH)).await;
    assert_eq!(got.outcome(), (503, "not-run", "service-limit"));
    assert_eq!(got.header("retry-after"), "1");
    for handed in waiting {
        handed.answer.send(whole("ok")).unwrap();
    }
    for running in running {
        running.await.unwrap();
    }
    let next = tokio::spawn(call(to, get(PATH)));
    let handed = handed.recv().await.unwrap();
    handed.answer.send(whole("ok")).unwrap();
    assert_eq!(next.await.unwrap().text(), "ok");
}

#[tokio::test]
async fn caller_that_hangs_up_cancels_its_request() {
    let (fake, mut handed) = Fake::handing();
    let to = fake.start().await;
    let mut stream = TcpStream::connect(to).await.unwrap();
    let asked = b"GET /calendar/cabin-17 HTTP/1.1\r\nhost: x\r\n\r\n";
    stream.write_all(asked).await.unwrap();
    let mut handed = handed.recv().await.unwrap();
    drop(stream);
    timeout(LONG, handed.answer.closed()).await.unwrap();
}

#[tokio::test]
async fn caller_that_hangs_up_in_mid_answer_cancels_it() {
    let (fake, mut handed) = Fake::handing();
    let to = fake.start().await;
    let asked = get(PATH).map(|_| Empty::<Bytes>::new().boxed());
    let opened = tokio::spawn(open(to, asked));
    let (sender, body) = Body::channel();
    let handed = handed.recv().await.unwrap();
    handed.answer.send(done(body)).unwrap();
    sender.send("half").await.unwrap();
    drop(opened.await.unwrap());
    timeout(LONG, sender.closed()).await.unwrap();
}

#[tokio::test]
async fn caller_that_stops_in_mid_body_severs_it() {
    let (fake, mut handed) = Fake::handing();
    let to = fake.start().await;
    let mut stream = TcpStream::connect(to).await.unwrap();
    let head = b"PUT /calendar/cabin-17 HTTP/1.1\r\nhost: x\r\ncontent-length: 200000\r\n\r\n";
    stream.write_all(head).await.unwrap();
    stream.write_all(&[b'x'; 100_000]).await.unwrap();
    let mut handed = handed.recv().await.unwrap();
    drop(stream);
    let mut read = 0;
    let end = loop {
        match handed.sent.request.body.chunk().await {
            Some(Ok(chunk)) => read += chunk.len(),
            end => break end,
        }
    };
    assert_eq!(end, Some(Err(Severed)));
    assert!(read <= 100_000);
}

#[tokio::test]
async fn answer_cut_short_is_never_passed_off_as_whole() {
    let (fake, mut handed) = Fake::handing();
    let to = fake.start().await;
    let asked = get(PATH).map(|_| Empty::<Bytes>::new().boxed());
    let opened = tokio::spawn(open(to, asked));
    let (sender, body) = Body::channel();
    let handed = handed.recv().await.unwrap();
    handed.answer.send(done(body)).unwrap();
    sender.send("half").await.unwrap();
    let opened = opened.await.unwrap();
    drop(sender);
    assert!(opened.into_body().collect().await.is_err());
}

#[tokio::test]
async fn answers_that_cross_each_other_reach_their_own_callers() {
    let (fake, mut handed) = Fake::handing();
    let to = fake.start().await;
    let paths = ["/calendar/a", "/calendar/b", "/calendar/c"];
    let calls = paths.map(|path| tokio::spawn(call(to, get(path))));
    let mut waiting = Vec::new();
    for _ in paths {
        waiting.push(handed.recv().await.unwrap());
    }
    waiting.sort_by(|one, other| other.sent.request.head.key.cmp(&one.sent.request.head.key));
    for handed in waiting {
        let body = format!("of {}", handed.sent.request.head.key);
        handed.answer.send(whole(&body)).unwrap();
    }
    for (call, key) in calls.into_iter().zip(["a", "b", "c"]) {
        assert_eq!(call.await.unwrap().text(), format!("of {key}"));
    }
}

#[tokio::test]
async fn shutdown_finishes_what_is_in_flight() {
    let (fake, mut handed) = Fake::handing();
    let shutdown = CancellationToken::new();
    let to = Arc::new(fake).serve(shutdown.clone()).await;
    let got = tokio::spawn(call(to, get(PATH)));
    let handed = handed.recv().await.unwrap();
    shutdown.cancel();
    handed.answer.send(whole("late")).unwrap();
    assert_eq!(got.await.unwrap().text(), "late");
    while TcpStream::connect(to).await.is_ok() {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn verdict_of_a_leader_that_took_over_is_passed_on() {
    let fake = Fake::quick(|_| may_have_run(Reason::IdempotencyKeyUnknown));
    let to = fake.start().await;
    let mut asked = request("POST", PATH, "book");
    let key = uuid::Uuid::now_v7().to_string();
    let headers = asked.headers_mut();
    headers.insert("idempotency-key", key.parse().unwrap());
    let got = call(to, asked).await;
    let verdict = Verdict::MayHaveRun.as_str();
    assert_eq!(got.outcome(), (409, verdict, "idempotency-key-unknown"));
}

#[tokio::test]
async fn chunked_body_arrives_whole() {
    let fake = Fake::new(|sent| {
        Box::pin(async move { done(Body::full(sent.request.body.collect(100).await.unwrap())) })
    });
    let chunks = ["one ", "two ", "three"].map(|chunk| {
        let frame = http_body::Frame::data(Bytes::from(chunk));
        Ok::<_, std::convert::Infallible>(frame)
    });
    let body = StreamBody::new(futures::stream::iter(chunks)).boxed();
    let asked = request("PUT", PATH, "").map(|_: Full<Bytes>| body);
    let response = open(fake.start().await, asked).await;
    let whole = response.into_body().collect().await.unwrap().to_bytes();
    assert_eq!(whole, "one two three");
}
