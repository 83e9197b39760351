//! Peers that send another protocol, an unknown version, or what the protocol does not allow.

use copperwell_message::{Body, Reason, Request, Response, Serve, Verdict};
use copperwell_peer::link::Links;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::{
    raw,
    support::{Echo, listen, ok_response, request, start, verdict},
};

/// Responds with a status, as a daemon of an earlier release passes on any that an upstream sends.
struct WithStatus(u16);

impl Serve for WithStatus {
    async fn serve(&self, _: Request) -> Response {
        let mut response = ok_response(Body::full("body"));
        response.reply.status = self.0;
        response
    }
}

#[tokio::test]
async fn bytes_of_another_protocol_close_the_connection() {
    let to = start(Echo).await;
    let mut stream = TcpStream::connect(to).await.unwrap();
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        .await
        .unwrap();
    let mut read = Vec::new();
    // The connection may end with an end of file or a reset.
    let _ = stream.read_to_end(&mut read).await;
    let response = Links::new().send(to, request(Body::empty())).await;
    assert_eq!(response.reply.verdict, Verdict::Done);
}

/// Guards against a status that is no final one of HTTP and reaches a caller through a daemon of an earlier release.
#[test_case::test_case(0 => (Verdict::MayHaveRun, Some(Reason::Protocol)); "zero")]
#[test_case::test_case(101 => (Verdict::MayHaveRun, Some(Reason::Protocol)); "of an upgrade")]
#[test_case::test_case(199 => (Verdict::MayHaveRun, Some(Reason::Protocol)); "below the first")]
#[test_case::test_case(200 => (Verdict::Done, None); "the first")]
#[test_case::test_case(599 => (Verdict::Done, None); "the last")]
#[test_case::test_case(600 => (Verdict::MayHaveRun, Some(Reason::Protocol)); "above the last")]
#[tokio::test]
async fn status_that_is_not_final_is_passed_on(status: u16) -> (Verdict, Option<Reason>) {
    let peer = start(WithStatus(status)).await;
    let response = Links::new().send(peer, request(Body::empty())).await;
    verdict(&response)
}

#[test_case::test_case(raw::Fault::RefuseStream => (Verdict::NotRun, Some(Reason::NoLeader)); "refused stream")]
#[test_case::test_case(raw::Fault::ResetStream => (Verdict::MayHaveRun, Some(Reason::ConnectionLost)); "reset")]
#[test_case::test_case(raw::Fault::Close => (Verdict::MayHaveRun, Some(Reason::ConnectionLost)); "closed")]
#[test_case::test_case(raw::Fault::Garbage => (Verdict::MayHaveRun, Some(Reason::Protocol)); "garbage")]
#[tokio::test]
async fn fault_before_the_response_maps_to_a_verdict(
    fault: raw::Fault,
) -> (Verdict, Option<Reason>) {
    let to = raw::start(fault).await;
    let response = Links::new().send(to, request(Body::empty())).await;
    verdict(&response)
}

#[tokio::test]
async fn stream_of_a_later_version_is_refused() {
    let (listener, own) = listen().await;
    let receiving = tokio::spawn(raw::receive(listener));
    let _ = Links::new().send(own, request(Body::empty())).await;
    let mut sent = receiving.await.unwrap();
    let to = start(Echo).await;
    sent.path = sent.path.replace("/1", "/2");
    let reset = raw::send(to, &sent).await;
    assert_eq!(reset, Some(h2::Reason::REFUSED_STREAM));
    sent.path = sent.path.replace("/2", "/1");
    assert_eq!(raw::send(to, &sent).await, None);
}
