//! Calls and orders whose answers have statuses that are not final ones of HTTP.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use crate::setup::{DEADLINE, EPOCH, TEST_TIMEOUT, fence};
use bytes::Bytes;
use copperwell_backend::{
    Client, Control, Failure,
    call::{Caller, Lost},
    pool::Timing,
};
use http::Request;
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::Instant,
};

const ANSWER_MAX_BYTES: usize = 1 << 20;

/// Starts a server that answers whatever arrives with `answer`; returns its address, and whether anything arrived on a
/// connection after the first answer.
async fn scripted_server(answer: String) -> (SocketAddr, Arc<AtomicBool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let is_reused = Arc::new(AtomicBool::new(false));
    let seen = is_reused.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, answer.clone(), seen.clone()));
        }
    });
    (address, is_reused)
}

async fn serve(mut stream: TcpStream, answer: String, is_reused: Arc<AtomicBool>) {
    let mut read = Vec::new();
    let mut is_first = true;
    while stream
        .read_buf(&mut read)
        .await
        .is_ok_and(|bytes| bytes > 0)
    {
        if !read.ends_with(b"}") {
            continue;
        }
        read.clear();
        if !is_first {
            is_reused.store(true, Ordering::Relaxed);
        }
        is_first = false;
        let _ = stream.write_all(answer.as_bytes()).await;
    }
}

/// Guards against a call, to the store or with an order, that takes such an answer for its end, or reads the next answer
/// on a connection that is no HTTP any more.
#[test_case("000", Err(Lost::Broken); "zero")]
#[test_case("101", Err(Lost::Broken); "an upgrade that nobody asked for")]
#[test_case("600", Err(Lost::Broken); "above the last")]
#[test_case("599", Ok(599); "the last")]
#[test_case("100 C\r\n\r\nHTTP/1.1 103 E\r\n\r\nHTTP/1.1 200", Ok(200); "interim answers before the final one")]
#[tokio::test]
async fn call_takes_a_status_that_is_not_final(status: &str, expected: Result<u16, Lost>) {
    let answer = format!("HTTP/1.1 {status} O\r\ncontent-length: 0\r\n\r\n");
    let (address, is_reused) = scripted_server(answer).await;
    let timing = Timing {
        connect: TEST_TIMEOUT,
        idle: TEST_TIMEOUT,
        warm: 0,
    };
    let caller = Caller::new(timing, 1, ANSWER_MAX_BYTES);
    for _ in 0..2 {
        let request = Request::new(Bytes::from_static(b"{}"));
        let result = caller
            .call(address, request, Instant::now() + DEADLINE)
            .await;
        assert_eq!(result.map(|whole| whole.status.as_u16()), expected);
    }
    assert_eq!(is_reused.load(Ordering::Relaxed), expected.is_ok());
}

/// Guards against an order of the native protocol that counts as refused by a server that may have carried it out.
#[test_case("101"; "an upgrade that nobody asked for")]
#[test_case("600"; "above the last")]
#[tokio::test]
async fn order_takes_a_status_that_is_not_final(status: &str) {
    let answer = format!("HTTP/1.1 {status} O\r\ncontent-length: 0\r\n\r\n");
    let (address, is_reused) = scripted_server(answer).await;
    let result = Client::new().fence(address, &fence(EPOCH)).await;
    assert_eq!(result.map(|_| ()), Err(Failure::Silent));
    assert!(!is_reused.load(Ordering::Relaxed));
}
