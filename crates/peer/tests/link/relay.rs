//! Requests through another daemon.

use copperwell_message::{Body, Head, Reason, Verdict};
use copperwell_peer::link::{Links, serve_with_relay};
use tokio_util::sync::CancellationToken;

use crate::support::{BODY_MAX_BYTES, Echo, listen, request, start, verdict};

#[tokio::test]
async fn relay_reaches_the_target_and_returns_its_verdict() {
    let target = start(Echo).await;
    let (listener, relay) = listen().await;
    let shutdown = CancellationToken::new();
    tokio::spawn(serve_with_relay(listener, Echo, Links::new(), shutdown));
    let links = Links::new();
    let sent = request(Body::full("through"));
    let response = links.send_via(relay, target, sent).await;
    assert_eq!(response.reply.verdict, Verdict::Done);
    assert_eq!(
        response.body.collect(BODY_MAX_BYTES).await.unwrap(),
        "through"
    );
    let (dropped, unreachable) = listen().await;
    drop(dropped);
    let response = links
        .send_via(relay, unreachable, request(Body::empty()))
        .await;
    let expected = (Verdict::NotRun, Some(Reason::NoLeader));
    assert_eq!(verdict(&response), expected);
}

#[tokio::test]
async fn relay_refuses_requests_beyond_the_hop_limit() {
    let (listener, relay) = listen().await;
    let shutdown = CancellationToken::new();
    tokio::spawn(serve_with_relay(listener, Echo, Links::new(), shutdown));
    let mut forwarded = request(Body::empty());
    forwarded.head.hops = Head::HOPS_MAX - 1;
    let response = Links::new().send_via(relay, relay, forwarded).await;
    let expected = (Verdict::NotRun, Some(Reason::Protocol));
    assert_eq!(verdict(&response), expected);
}

#[tokio::test]
async fn daemon_without_relay_refuses_to_forward() {
    let to = start(Echo).await;
    let response = Links::new().send_via(to, to, request(Body::empty())).await;
    let expected = (Verdict::NotRun, Some(Reason::NoLeader));
    assert_eq!(verdict(&response), expected);
}
