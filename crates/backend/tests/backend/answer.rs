//! Raw responses: which ones count as refusals, and which ones violate HTTP.

use std::{net::SocketAddr, time::Duration};

use crate::setup::{DEADLINE, EPOCH, post};
use copperwell_backend::{Forward, Pool, order::Order};
use copperwell_keyspace::manifest::{Fencing, Upstream};
use copperwell_message::{Body, Reason, Response, Verdict};
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Starts a server that answers each request with these bytes, and then closes the connection if
/// `closes` is set.
async fn scripted_server(answer: &'static str, closes: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, answer, closes));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, answer: &'static str, closes: bool) {
    let mut read = Vec::new();
    while stream
        .read_buf(&mut read)
        .await
        .is_ok_and(|bytes| bytes > 0)
    {
        if read.ends_with(b"\r\n\r\n") {
            read.clear();
            let _ = stream.write_all(answer.as_bytes()).await;
            if closes {
                return;
            }
        }
    }
}

async fn forward(pool: &Pool, address: SocketAddr) -> Response {
    let upstream = Upstream {
        part: 0,
        name: "upstream-1".into(),
        data_centre: "ro-nord-1".into(),
        address,
        slots: 1,
        connections: 10,
        fencing: Fencing::Checked,
        drain: false,
    };
    let order = Order {
        epoch: EPOCH,
        deadline: DEADLINE,
    };
    pool.forward(&upstream, order, post(&[], Body::empty()))
        .await
}

const FENCED: (Verdict, Option<Reason>) = (Verdict::NotRun, Some(Reason::Fenced));
const SHED: (Verdict, Option<Reason>) = (Verdict::NotRun, Some(Reason::Shed));
const HOPELESS: (Verdict, Option<Reason>) = (Verdict::NotRun, Some(Reason::DeadlineHopeless));
const DONE: (Verdict, Option<Reason>) = (Verdict::Done, None);
const PROTOCOL: (Verdict, Option<Reason>) = (Verdict::MayHaveRun, Some(Reason::Protocol));
const LOST: (Verdict, Option<Reason>) = (Verdict::MayHaveRun, Some(Reason::ConnectionLost));

#[test_case("HTTP/1.1 421 M\r\ncopperwell-verdict: not-run\r\ncontent-length: 0\r\n\r\n" => FENCED; "misdirected")]
#[test_case("HTTP/1.1 409 C\r\ncopperwell-verdict: not-run\r\ncontent-length: 0\r\n\r\n" => FENCED; "conflict")]
#[test_case("HTTP/1.1 503 U\r\ncopperwell-verdict: not-run\r\ncontent-length: 0\r\n\r\n" => SHED; "unavailable")]
#[test_case("HTTP/1.1 503 U\r\ncopperwell-verdict: not-run\r\ncopperwell-reason: deadline-hopeless\r\ncontent-length: 0\r\n\r\n" => HOPELESS; "hopeless")]
#[test_case("HTTP/1.1 503 U\r\ncopperwell-verdict: not-run\r\ncopperwell-reason: quarantined\r\ncontent-length: 0\r\n\r\n" => SHED; "a reason that servers may not give")]
#[test_case("HTTP/1.1 503 U\r\ncontent-length: 0\r\n\r\n" => DONE; "unavailable without a verdict")]
#[test_case("HTTP/1.1 503 U\r\ncopperwell-verdict: done\r\ncontent-length: 0\r\n\r\n" => DONE; "unavailable with another verdict")]
#[test_case("HTTP/1.1 500 E\r\ncopperwell-verdict: not-run\r\ncontent-length: 0\r\n\r\n" => DONE; "an error with a verdict")]
#[test_case("HTTP/1.1 200 O\r\ncopperwell-verdict: not-run\r\ncontent-length: 0\r\n\r\n" => DONE; "success with a verdict")]
#[test_case("HTTP/1.1 000 N\r\ncontent-length: 0\r\n\r\n" => PROTOCOL; "status 000")]
#[test_case("HTTP/1.1 101 S\r\ncontent-length: 0\r\n\r\n" => PROTOCOL; "an upgrade that nobody asked for")]
#[test_case("HTTP/1.1 199 I\r\n\r\nHTTP/1.1 200 O\r\ncontent-length: 0\r\n\r\n" => DONE; "an interim status before a final one")]
#[test_case("HTTP/1.1 599 E\r\ncontent-length: 0\r\n\r\n" => DONE; "the last status")]
#[test_case("HTTP/1.1 600 O\r\ncontent-length: 0\r\n\r\n" => PROTOCOL; "status 600")]
#[test_case("HTTP/1.1 999 O\r\ncontent-length: 0\r\n\r\n" => PROTOCOL; "status 999")]
#[test_case("220 mail.example ESMTP\r\n\r\n" => PROTOCOL; "another protocol")]
#[test_case("HTTP/1.1 200 O\r\ncontent-length: x\r\n\r\n" => PROTOCOL; "invalid content length")]
#[test_case("" => LOST; "nothing")]
#[test_case("HTTP/1.1 200 O\r\ncontent-le" => LOST; "truncated head")]
#[test_case("HTTP/1.1 200 O\r\ncontent-length: 9\r\n\r\nhalf" => LOST; "truncated body")]
#[test_case("HTTP/1.1 200 O\r\ncontent-length: 60000\r\n\r\nhalf" => LOST; "truncated long body")]
#[tokio::test]
async fn verdict(answer: &'static str) -> (Verdict, Option<Reason>) {
    let address = scripted_server(answer, true).await;
    let response = forward(&Pool::new(), address).await;
    (response.reply.verdict, response.reply.reason)
}

#[tokio::test]
async fn reserved_header_fields_do_not_reach_the_caller() {
    let answer = "HTTP/1.1 503 U\r\ncopperwell-verdict: done\r\nconnection: x\r\nkeep-alive: 5\r\nretry-after: 3\r\ncontent-length: 0\r\n\r\n";
    let address = scripted_server(answer, true).await;
    let response = forward(&Pool::new(), address).await;
    let names: Vec<&str> = response
        .reply
        .headers
        .iter()
        .map(|(name, _)| name.as_str())
        .collect();
    assert_eq!(names, ["retry-after", "content-length"]);
}

#[tokio::test]
async fn refusal_carries_retry_after() {
    let answer = "HTTP/1.1 503 U\r\ncopperwell-verdict: not-run\r\nretry-after: 3\r\ncontent-length: 0\r\n\r\n";
    let address = scripted_server(answer, true).await;
    let response = forward(&Pool::new(), address).await;
    assert_eq!(response.reply.retry_after, Some(Duration::from_secs(3)));
}

/// The surplus response of a server that answers a request twice must not be taken as the answer to
/// the next request.
#[tokio::test]
async fn surplus_response_is_discarded() {
    let answer = "HTTP/1.1 200 O\r\ncontent-length: 5\r\n\r\nfirstHTTP/1.1 200 O\r\ncontent-length: 6\r\n\r\nsecond";
    let address = scripted_server(answer, false).await;
    let pool = Pool::new();
    for _ in 0..50 {
        let response = forward(&pool, address).await;
        assert_eq!(response.body.collect(1 << 10).await.unwrap(), "first");
    }
}
