//! Bodies of requests and responses: whole, truncated, and read slowly.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use copperwell_memory::Budget;
use copperwell_message::{Body, Incomplete, Reason, Sender, Verdict};
use copperwell_peer::link::{Links, serve_within};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::{
    raw,
    support::{
        BODY_MAX_BYTES, Echo, LONG, collect, listen, manual, ok_response, request, start, verdict,
    },
};

/// The largest part of a body in the budget of these tests, in bytes.
const BUDGET_BYTES: usize = 256 << 10;

/// What one stream has in memory besides the budget: the window of a stream, and one part.
const STREAM_MAX_BYTES: usize = 128 << 10;

#[test_case::test_case(0; "empty")]
#[test_case::test_case(5; "small")]
#[test_case::test_case(100_000; "longer than a window")]
#[test_case::test_case(5_000_000; "long")]
#[tokio::test]
async fn buffered_bodies_are_echoed_completely(size: usize) {
    let to = start(Echo).await;
    let sent: Vec<u8> = (0..size).map(|byte| byte as u8).collect();
    let response = Links::new()
        .send(to, request(Body::full(sent.clone())))
        .await;
    assert_eq!(response.reply, ok_response(Body::empty()).reply);
    assert!(collect(response.body).await == sent);
}

#[tokio::test]
async fn concurrent_streamed_bodies_are_echoed_completely() {
    let to = start(Arc::new(Echo)).await;
    let links = Links::new();
    let exchanges = (0..50_u8).map(|fill| {
        let links = links.clone();
        tokio::spawn(async move {
            let (sender, body) = Body::channel();
            tokio::spawn(async move {
                for _ in 0..40 {
                    sender.send(vec![fill; 10_000]).await.unwrap();
                }
                sender.end().await;
            });
            let response = links.send(to, request(body)).await;
            assert!(collect(response.body).await == vec![fill; 400_000]);
        })
    });
    futures::future::try_join_all(exchanges).await.unwrap();
}

#[tokio::test]
async fn truncated_response_is_severed() {
    let (handler, mut calls) = manual();
    let to = start(handler).await;
    let links = Links::new();
    let sent = tokio::spawn(async move { links.send(to, request(Body::empty())).await });
    let (sender, body) = Body::channel();
    let call = calls.recv().await.unwrap();
    call.respond.send(ok_response(body)).unwrap();
    sender.send("half").await.unwrap();
    let mut response = sent.await.unwrap();
    assert_eq!(response.body.chunk().await, Some(Ok("half".into())));
    drop(sender);
    assert_eq!(response.body.chunk().await, Some(Err(Incomplete)));
}

#[tokio::test]
async fn truncated_request_is_severed_and_may_have_run() {
    let (handler, mut calls) = manual();
    let to = start(handler).await;
    let links = Links::new();
    let (sender, body) = Body::channel();
    let sent = tokio::spawn(async move { links.send(to, request(body)).await });
    sender.send("half").await.unwrap();
    let mut call = calls.recv().await.unwrap();
    assert_eq!(call.request.body.chunk().await, Some(Ok("half".into())));
    drop(sender);
    assert_eq!(call.request.body.chunk().await, Some(Err(Incomplete)));
    let expected = (Verdict::MayHaveRun, Some(Reason::Cancelled));
    assert_eq!(verdict(&sent.await.unwrap()), expected);
}

#[test_case::test_case(raw::Fault::Short; "shorter than announced")]
#[test_case::test_case(raw::Fault::Long; "longer than announced")]
#[test_case::test_case(raw::Fault::MissingTrailers; "missing trailers")]
#[tokio::test]
async fn incomplete_body_is_severed(fault: raw::Fault) {
    let to = raw::start(fault).await;
    let response = Links::new().send(to, request(Body::empty())).await;
    assert_eq!(response.reply.verdict, Verdict::Done);
    assert_eq!(response.body.collect(BODY_MAX_BYTES).await, Err(Incomplete));
}

#[tokio::test]
async fn slow_reader_blocks_only_its_own_writer() {
    const BUFFERED_MAX_BYTES: usize = 512 * 1024;
    let (handler, mut calls) = manual();
    let to = start(handler).await;
    let links = Links::new();
    let slow = links.clone();
    let slow = tokio::spawn(async move { slow.send(to, request(Body::empty())).await });
    let (sender, body) = Body::channel();
    let call = calls.recv().await.unwrap();
    call.respond.send(ok_response(body)).unwrap();
    let written = Arc::new(AtomicUsize::new(0));
    tokio::spawn(send_endlessly(sender, written.clone()));
    let response = slow.await.unwrap();
    for _ in 0..200 {
        let quick = links.send(to, request(Body::empty()));
        let responding = async {
            let call = calls.recv().await.unwrap();
            call.respond.send(ok_response(Body::empty())).unwrap();
        };
        let (quick, ()) = tokio::join!(quick, responding);
        assert_eq!(quick.reply.verdict, Verdict::Done);
    }
    assert!(written.load(Ordering::Relaxed) < BUFFERED_MAX_BYTES);
    // The slow reader can still read more than was buffered.
    let mut body = response.body;
    let mut read = 0;
    while read < 4 * BUFFERED_MAX_BYTES {
        read += body.chunk().await.unwrap().unwrap().len();
    }
}

async fn send_endlessly(sender: Sender, written: Arc<AtomicUsize>) {
    while sender.send(vec![7; 8192]).await.is_ok() {
        written.fetch_add(8192, Ordering::Relaxed);
    }
}

/// Guards against a daemon that keeps what a slow reader does not take, and against room that is not given back.
#[test_case::test_case(true; "read in the end")]
#[test_case::test_case(false; "dropped")]
#[tokio::test]
async fn slow_reader_takes_more_than_the_budget(is_read: bool) {
    let (listener, peer) = listen().await;
    let (at_server, at_client) = (Budget::new(BUDGET_BYTES), Budget::new(BUDGET_BYTES));
    let serving = serve_within(listener, Echo, at_server.clone(), CancellationToken::new());
    tokio::spawn(serving);
    let links = Links::with_budget(at_client.clone());
    let sent: Vec<u8> = (0..3_000_000_u32)
        .map(|number| (number % 251) as u8)
        .collect();
    let mut bodies = Vec::new();
    for _ in 0..8 {
        let response = links.send(peer, request(Body::full(sent.clone()))).await;
        assert_eq!(verdict(&response), (Verdict::Done, None));
        bodies.push(response.body);
    }
    // No more arrives once what is used stays the same.
    let mut before = usize::MAX;
    while before != at_client.used_bytes() {
        before = at_client.used_bytes();
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let streams_max = bodies.len() * STREAM_MAX_BYTES;
    for budget in [&at_client, &at_server] {
        let used = budget.used_bytes();
        assert!(used <= BUDGET_BYTES + streams_max, "{used} bytes");
    }
    for body in bodies {
        if is_read {
            assert!(collect(body).await == sent, "the body differs");
        }
    }
    let end = timeout(LONG, async {
        while at_client.used_bytes() + at_server.used_bytes() > 0 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    end.await.expect("room is not given back");
}
