//! Connections that are refused, not answered, or stall.

use std::time::Duration;

use copperwell_message::{Body, Reason, Verdict};
use copperwell_peer::link::{Links, serve};
use tokio_util::sync::CancellationToken;

use crate::{
    proxy::Proxy,
    support::{Echo, listen, manual, ok_response, request, start, verdict},
};

#[tokio::test]
async fn request_on_a_refused_connection_is_not_run() {
    let (listener, to) = listen().await;
    drop(listener);
    let response = Links::new().send(to, request(Body::empty())).await;
    let expected = (Verdict::NotRun, Some(Reason::NoLeader));
    assert_eq!(verdict(&response), expected);
}

#[tokio::test]
async fn request_to_a_peer_that_accepts_but_never_responds_is_not_run() {
    // The kernel completes TCP connections for a paused process.
    let (_listener, to) = listen().await;
    let response = Links::new().send(to, request(Body::empty())).await;
    let expected = (Verdict::NotRun, Some(Reason::NoLeader));
    assert_eq!(verdict(&response), expected);
}

#[tokio::test]
async fn requests_to_a_recently_unreachable_peer_fail_fast() {
    let (listener, to) = listen().await;
    let links = Links::new();
    let expected = (Verdict::NotRun, Some(Reason::NoLeader));
    let first = links.send(to, request(Body::empty())).await;
    assert_eq!(verdict(&first), expected);
    // The peer responds from here on, so the second request would succeed if it waited.
    tokio::spawn(serve(listener, Echo, CancellationToken::new()));
    let second = links.send(to, request(Body::empty())).await;
    assert_eq!(verdict(&second), expected);
    while links.send(to, request(Body::empty())).await.reply.verdict != Verdict::Done {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn unresponsive_link_is_replaced_and_its_requests_may_have_run() {
    let (handler, mut calls) = manual();
    let proxy = Proxy::start(start(handler).await).await;
    let to = proxy.address;
    let links = Links::new();
    let stuck = links.clone();
    let stuck = tokio::spawn(async move { stuck.send(to, request(Body::empty())).await });
    let _unanswered = calls.recv().await.unwrap();
    proxy.stall();
    let expected = (Verdict::MayHaveRun, Some(Reason::ConnectionSilent));
    assert_eq!(verdict(&stuck.await.unwrap()), expected);
    let next = links.send(to, request(Body::empty()));
    let responding = async {
        let call = calls.recv().await.unwrap();
        call.respond.send(ok_response(Body::empty())).unwrap();
    };
    let (next, ()) = tokio::join!(next, responding);
    assert_eq!(next.reply.verdict, Verdict::Done);
}

#[tokio::test]
async fn request_after_an_idle_link_stalled_runs_on_a_new_link() {
    let proxy = Proxy::start(start(Echo).await).await;
    let links = Links::new();
    let first = links.send(proxy.address, request(Body::empty())).await;
    assert_eq!(first.reply.verdict, Verdict::Done);
    proxy.stall();
    // Longer than the time after which an idle link counts as stale, which is the case under test.
    tokio::time::sleep(Duration::from_millis(1100)).await;
    let second = links.send(proxy.address, request(Body::empty())).await;
    assert_eq!(second.reply.verdict, Verdict::Done);
}
