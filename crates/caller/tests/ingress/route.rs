//! Routing of requests from ingress to leaders.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use crate::fake::{
    FakeNetwork, TIMEOUT, call, done_response, get, may_have_run, member, not_run, open_response,
    request, text_response,
};
use bytes::Bytes;
use copperwell_keyspace::manifest::Limits;
use copperwell_message::{Body, Incomplete, Reason, Verdict};
use futures::future::join_all;
use http_body_util::{BodyExt, Empty, Full, StreamBody};
use test_case::test_case;
use tokio::{io::AsyncWriteExt, net::TcpStream, time::timeout};
use tokio_util::sync::CancellationToken;

const PATH: &str = "/calendar/cabin-17";

/// Returns the default limits with another deadline.
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
async fn standby_is_tried_if_the_leader_did_not_run_the_request(reason: Reason) {
    let fake = FakeNetwork::immediate(move |sent| match &*sent.to {
        "leader" => not_run(reason),
        _ => text_response("from the standby"),
    });
    let response = call(fake.start().await, request("PUT", PATH, "body")).await;
    assert_eq!(response.text(), "from the standby");
}

#[test_case(may_have_run, Reason::ConnectionLost, (502, "may-have-run"); "may have run")]
#[test_case(may_have_run, Reason::NotLeader, (503, "may-have-run"); "may have run elsewhere")]
#[test_case(not_run, Reason::Shed, (503, "not-run"); "shed")]
#[test_case(not_run, Reason::ConnectionRefused, (503, "not-run"); "server unreachable")]
#[test_case(not_run, Reason::QueueFull, (503, "not-run"); "queue full")]
#[tokio::test]
async fn response_of_the_leader_is_final(
    refusal: fn(Reason) -> copperwell_message::Response,
    reason: Reason,
    expected: (u16, &str),
) {
    let sends = Arc::new(AtomicUsize::new(0));
    let counter = sends.clone();
    let fake = FakeNetwork::immediate(move |_| {
        counter.fetch_add(1, Ordering::Relaxed);
        refusal(reason)
    });
    let response = call(fake.start().await, get(PATH)).await;
    let (status, verdict, returned_reason) = response.outcome();
    assert_eq!(
        (status, verdict, returned_reason),
        (expected.0, expected.1, reason.as_str())
    );
    assert_eq!(sends.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn body_is_the_same_on_each_attempt() {
    let bodies = Arc::new(Mutex::new(Vec::new()));
    let recorded = bodies.clone();
    let fake = FakeNetwork::immediate(move |sent| {
        let body = sent.request.body.as_full().unwrap();
        recorded.lock().unwrap().push(body);
        match &*sent.to {
            "leader" => not_run(Reason::NotLeader),
            _ => text_response("ok"),
        }
    });
    call(fake.start().await, request("PUT", PATH, "the body")).await;
    assert_eq!(*bodies.lock().unwrap(), ["the body", "the body"]);
}

#[tokio::test]
async fn long_body_is_sent_once_only() {
    let sends = Arc::new(AtomicUsize::new(0));
    let counter = sends.clone();
    let fake = FakeNetwork::immediate(move |_| {
        counter.fetch_add(1, Ordering::Relaxed);
        not_run(Reason::NotLeader)
    });
    let long = "x".repeat(300_000);
    let response = call(fake.start().await, request("PUT", PATH, &long)).await;
    assert_eq!(response.outcome(), (503, "not-run", "not-leader"));
    assert_eq!(sends.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn long_body_arrives_complete() {
    let fake = FakeNetwork::new(|sent| {
        Box::pin(async move {
            let body = sent.request.body.collect(1 << 20).await.unwrap();
            text_response(&body.len().to_string())
        })
    });
    let long = "x".repeat(300_000);
    let response = call(fake.start().await, request("PUT", PATH, &long)).await;
    assert_eq!(response.text(), "300000");
}

#[tokio::test]
async fn unreachable_leader_is_tried_through_a_relay() {
    let hops = Arc::new(Mutex::new(Vec::new()));
    let recorded = hops.clone();
    let mut fake = FakeNetwork::immediate(move |sent| {
        let hop = (sent.to.clone(), sent.relay.clone());
        recorded.lock().unwrap().push(hop);
        match (&*sent.to, sent.relay.as_deref()) {
            ("leader", Some("near")) => text_response("through the relay"),
            ("standby", None) => not_run(Reason::NotLeader),
            _ => not_run(Reason::NoLeader),
        }
    });
    fake.relays = vec![member("far"), member("near")];
    let address = fake.start().await;
    for _ in 0..2 {
        let response = call(address, get(PATH)).await;
        assert_eq!(response.text(), "through the relay");
    }
    let direct = |address: &str| (address.to_owned(), None);
    let relayed = |relay: &str| ("leader".to_owned(), Some(relay.to_owned()));
    let first = [
        direct("leader"),
        direct("standby"),
        relayed("far"),
        relayed("near"),
    ];
    // The second request uses the hop that succeeded.
    let expected: Vec<_> = first.into_iter().chain([relayed("near")]).collect();
    assert_eq!(*hops.lock().unwrap(), expected);
}

#[tokio::test]
async fn requests_wait_for_a_leader_without_a_retry_storm() {
    const REQUESTS: usize = 100;
    let sends = Arc::new(AtomicUsize::new(0));
    let has_leader = CancellationToken::new();
    let counter = sends.clone();
    let token = has_leader.clone();
    let fake = FakeNetwork::immediate(move |sent| {
        counter.fetch_add(1, Ordering::Relaxed);
        match &*sent.to {
            "standby" if token.is_cancelled() => text_response("ok"),
            _ => not_run(Reason::NotLeader),
        }
    });
    let address = fake.start().await;
    let waiting = join_all((0..REQUESTS).map(|_| call(address, get(PATH))));
    let recovery = async {
        // This second without a leader is the fault that the test injects.
        tokio::time::sleep(Duration::from_secs(1)).await;
        let sends_before = sends.load(Ordering::Relaxed);
        has_leader.cancel();
        sends_before
    };
    let (responses, sends_before) = tokio::join!(waiting, recovery);
    assert!(responses.iter().all(|response| response.text() == "ok"));
    // Each request tried both daemons once at most; after that one probe at a time is sent.
    assert!(sends_before <= 4 * REQUESTS, "{sends_before}");
}

#[tokio::test]
async fn no_leader_until_the_deadline_is_not_run() {
    let fake = FakeNetwork::immediate(|_| not_run(Reason::NotLeader));
    let fake = fake.with_limits(limits(Duration::from_millis(400)));
    let response = call(fake.start().await, get(PATH)).await;
    assert_eq!(response.outcome(), (503, "not-run", "not-leader"));
    assert_eq!(response.header("retry-after"), "1");
}

#[tokio::test]
async fn group_without_leaders_is_not_run() {
    let fake = FakeNetwork::immediate(|_| unreachable!());
    fake.leaders.lock().unwrap().clear();
    let fake = fake.with_limits(limits(Duration::from_millis(200)));
    let response = call(fake.start().await, get(PATH)).await;
    assert_eq!(response.outcome(), (503, "not-run", "no-leader"));
}

#[tokio::test]
async fn request_to_a_silent_leader_may_have_run() {
    let fake = FakeNetwork::new(|_| Box::pin(std::future::pending()));
    let fake = fake.with_limits(limits(Duration::from_millis(200)));
    let response = call(fake.start().await, get(PATH)).await;
    assert_eq!(response.outcome(), (504, "may-have-run", "deadline-passed"));
}

#[tokio::test]
async fn requests_in_flight_are_limited() {
    let limits = Limits {
        in_flight: 2,
        ..Limits::default()
    };
    let (fake, mut pending) = FakeNetwork::manual();
    let address = fake.with_limits(limits).start().await;
    let running = [(); 2].map(|()| tokio::spawn(call(address, get(PATH))));
    let waiting = [pending.recv().await.unwrap(), pending.recv().await.unwrap()];
    let response = call(address, get(PATH)).await;
    assert_eq!(response.outcome(), (503, "not-run", "service-limit"));
    assert_eq!(response.header("retry-after"), "1");
    for pending in waiting {
        pending.responder.send(text_response("ok")).unwrap();
    }
    for running in running {
        running.await.unwrap();
    }
    let next = tokio::spawn(call(address, get(PATH)));
    let pending = pending.recv().await.unwrap();
    pending.responder.send(text_response("ok")).unwrap();
    assert_eq!(next.await.unwrap().text(), "ok");
}

#[tokio::test]
async fn disconnect_cancels_the_request() {
    let (fake, mut pending) = FakeNetwork::manual();
    let address = fake.start().await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = b"GET /calendar/cabin-17 HTTP/1.1\r\nhost: x\r\n\r\n";
    stream.write_all(request).await.unwrap();
    let mut pending = pending.recv().await.unwrap();
    drop(stream);
    timeout(TIMEOUT, pending.responder.closed()).await.unwrap();
}

#[tokio::test]
async fn disconnect_during_a_response_cancels_it() {
    let (fake, mut pending) = FakeNetwork::manual();
    let address = fake.start().await;
    let request = get(PATH).map(|_| Empty::<Bytes>::new().boxed());
    let response = tokio::spawn(open_response(address, request));
    let (sender, body) = Body::channel();
    let pending = pending.recv().await.unwrap();
    pending.responder.send(done_response(body)).unwrap();
    sender.send("half").await.unwrap();
    drop(response.await.unwrap());
    timeout(TIMEOUT, sender.closed()).await.unwrap();
}

#[tokio::test]
async fn disconnect_during_a_request_body_severs_it() {
    let (fake, mut pending) = FakeNetwork::manual();
    let address = fake.start().await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = b"PUT /calendar/cabin-17 HTTP/1.1\r\nhost: x\r\ncontent-length: 200000\r\n\r\n";
    stream.write_all(head).await.unwrap();
    stream.write_all(&[b'x'; 100_000]).await.unwrap();
    let mut pending = pending.recv().await.unwrap();
    drop(stream);
    let mut read = 0;
    let end = loop {
        match pending.sent.request.body.chunk().await {
            Some(Ok(chunk)) => read += chunk.len(),
            end => break end,
        }
    };
    assert_eq!(end, Some(Err(Incomplete)));
    assert!(read <= 100_000);
}

#[tokio::test]
async fn truncated_response_is_not_passed_on_as_complete() {
    let (fake, mut pending) = FakeNetwork::manual();
    let address = fake.start().await;
    let request = get(PATH).map(|_| Empty::<Bytes>::new().boxed());
    let response = tokio::spawn(open_response(address, request));
    let (sender, body) = Body::channel();
    let pending = pending.recv().await.unwrap();
    pending.responder.send(done_response(body)).unwrap();
    sender.send("half").await.unwrap();
    let response = response.await.unwrap();
    drop(sender);
    assert!(response.into_body().collect().await.is_err());
}

#[tokio::test]
async fn responses_in_another_order_reach_their_own_callers() {
    let (fake, mut pending) = FakeNetwork::manual();
    let address = fake.start().await;
    let paths = ["/calendar/a", "/calendar/b", "/calendar/c"];
    let calls = paths.map(|path| tokio::spawn(call(address, get(path))));
    let mut waiting = Vec::new();
    for _ in paths {
        waiting.push(pending.recv().await.unwrap());
    }
    waiting.sort_by(|one, other| other.sent.request.head.key.cmp(&one.sent.request.head.key));
    for pending in waiting {
        let body = format!("of {}", pending.sent.request.head.key);
        pending.responder.send(text_response(&body)).unwrap();
    }
    for (call, key) in calls.into_iter().zip(["a", "b", "c"]) {
        assert_eq!(call.await.unwrap().text(), format!("of {key}"));
    }
}

#[tokio::test]
async fn shutdown_completes_requests_in_flight() {
    let (fake, mut pending) = FakeNetwork::manual();
    let shutdown = CancellationToken::new();
    let address = Arc::new(fake).serve(shutdown.clone()).await;
    let response = tokio::spawn(call(address, get(PATH)));
    let pending = pending.recv().await.unwrap();
    shutdown.cancel();
    pending.responder.send(text_response("late")).unwrap();
    assert_eq!(response.await.unwrap().text(), "late");
    while TcpStream::connect(address).await.is_ok() {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn verdict_of_a_new_leader_is_passed_on() {
    let fake = FakeNetwork::immediate(|_| may_have_run(Reason::IdempotencyKeyUnknown));
    let address = fake.start().await;
    let mut request = request("POST", PATH, "book");
    let key = uuid::Uuid::now_v7().to_string();
    let headers = request.headers_mut();
    headers.insert("idempotency-key", key.parse().unwrap());
    let response = call(address, request).await;
    let verdict = Verdict::MayHaveRun.as_str();
    assert_eq!(
        response.outcome(),
        (409, verdict, "idempotency-key-unknown")
    );
}

#[tokio::test]
async fn chunked_body_arrives_complete() {
    let fake = FakeNetwork::new(|sent| {
        Box::pin(
            async move { done_response(Body::full(sent.request.body.collect(100).await.unwrap())) },
        )
    });
    let chunks = ["one ", "two ", "three"].map(|chunk| {
        let frame = http_body::Frame::data(Bytes::from(chunk));
        Ok::<_, std::convert::Infallible>(frame)
    });
    let body = StreamBody::new(futures::stream::iter(chunks)).boxed();
    let request = request("PUT", PATH, "").map(|_: Full<Bytes>| body);
    let response = open_response(fake.start().await, request).await;
    let received = response.into_body().collect().await.unwrap().to_bytes();
    assert_eq!(received, "one two three");
}

#[tokio::test]
async fn long_request_that_arrives_in_other_chunks_is_not_recognised() {
    let mut fingerprints = Vec::new();
    for chunk_bytes in [1_000, 30_000, 65_536, 200_000] {
        let (sender, receiver) = std::sync::mpsc::channel();
        let fake = FakeNetwork::immediate(move |sent| {
            sender.send(sent.request.head.fingerprint).unwrap();
            done_response(Body::empty())
        });
        let bytes = vec![b'x'; 200_000];
        let chunks: Vec<_> = bytes
            .chunks(chunk_bytes)
            .map(|chunk| {
                let frame = http_body::Frame::data(Bytes::copy_from_slice(chunk));
                Ok::<_, std::convert::Infallible>(frame)
            })
            .collect();
        let body = StreamBody::new(futures::stream::iter(chunks)).boxed();
        let request = request("PUT", PATH, "").map(|_: Full<Bytes>| body);
        open_response(fake.start().await, request).await;
        fingerprints.push(receiver.recv().unwrap());
    }
    fingerprints.dedup();
    assert_eq!(fingerprints.len(), 1, "{fingerprints:?}");
}
