//! Requests that are cancelled, refused or at their deadline, and those in flight at a shutdown.

use std::time::Duration;

use copperwell_message::{Body, Reason, Response, Verdict};
use copperwell_peer::link::{Links, serve};
use tokio_util::sync::CancellationToken;

use crate::support::{BODY_MAX_BYTES, listen, manual, ok_response, request, start, verdict};

#[tokio::test]
async fn dropping_the_call_before_the_response_cancels_the_request() {
    let (handler, mut calls) = manual();
    let to = start(handler).await;
    let links = Links::new();
    let sent = tokio::spawn(async move { links.send(to, request(Body::empty())).await });
    let mut call = calls.recv().await.unwrap();
    sent.abort();
    // The receiver closes because the handler's future was dropped.
    call.respond.closed().await;
}

#[tokio::test]
async fn dropping_the_response_body_cancels_the_request() {
    let (handler, mut calls) = manual();
    let to = start(handler).await;
    let links = Links::new();
    let sent = tokio::spawn(async move { links.send(to, request(Body::empty())).await });
    let (sender, body) = Body::channel();
    let call = calls.recv().await.unwrap();
    call.respond.send(ok_response(body)).unwrap();
    sender.send("half").await.unwrap();
    drop(sent.await.unwrap());
    sender.closed().await;
}

#[tokio::test]
async fn refusal_without_reading_the_request_reaches_the_caller() {
    let (handler, mut calls) = manual();
    let to = start(handler).await;
    let links = Links::new();
    let (sender, body) = Body::channel();
    let sent = tokio::spawn(async move { links.send(to, request(body)).await });
    let call = calls.recv().await.unwrap();
    drop(call.request);
    let refusal = Response::refusal(Verdict::NotRun, Reason::QueueFull);
    call.respond.send(refusal).unwrap();
    let response = sent.await.unwrap();
    let expected = (Verdict::NotRun, Some(Reason::QueueFull));
    assert_eq!(verdict(&response), expected);
    assert_eq!(response.body.collect(BODY_MAX_BYTES).await.unwrap(), "");
    sender.closed().await;
}

#[tokio::test]
async fn deadline_is_propagated_and_ends_the_wait() {
    let (handler, mut calls) = manual();
    let to = start(handler).await;
    let links = Links::new();
    let mut late = request(Body::empty());
    late.head.deadline = Duration::from_millis(300);
    let sent = tokio::spawn(async move { links.send(to, late).await });
    let mut call = calls.recv().await.unwrap();
    assert!(call.request.head.deadline <= Duration::from_millis(300));
    assert_eq!(call.request.head.hops, 1);
    let expected = (Verdict::MayHaveRun, Some(Reason::DeadlinePassed));
    assert_eq!(verdict(&sent.await.unwrap()), expected);
    call.respond.closed().await;
}

#[tokio::test]
async fn shutdown_completes_requests_in_flight() {
    let (handler, mut calls) = manual();
    let (listener, to) = listen().await;
    let shutdown = CancellationToken::new();
    let server = tokio::spawn(serve(listener, handler, shutdown.clone()));
    let links = Links::new();
    let first = links.clone();
    let first = tokio::spawn(async move { first.send(to, request(Body::empty())).await });
    let call = calls.recv().await.unwrap();
    shutdown.cancel();
    let (sender, body) = Body::channel();
    call.respond.send(ok_response(body)).unwrap();
    let mut response = first.await.unwrap();
    sender.send("late").await.unwrap();
    sender.end().await;
    assert_eq!(response.body.chunk().await, Some(Ok("late".into())));
    assert_eq!(response.body.chunk().await, None);
    server.await.unwrap();
    let refused = links.send(to, request(Body::empty())).await;
    let expected = (Verdict::NotRun, Some(Reason::NoLeader));
    assert_eq!(verdict(&refused), expected);
}
