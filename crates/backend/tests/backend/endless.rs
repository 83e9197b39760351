//! Servers that send bytes without end.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use crate::setup::{DEADLINE, TEST_TIMEOUT};
use bytes::Bytes;
use copperwell_backend::{
    call::{Caller, Lost, Whole},
    pool::Timing,
    probe::{self, Answer},
};
use http::Request;
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    sync::oneshot,
    time::{Instant, sleep, timeout},
};

/// The most bytes that a caller may take of one answer: what it reads, and what the sockets of both sides hold.
const TAKEN_MAX_BYTES: usize = 8 << 20;

/// The size of a write, in bytes.
const WRITE_BYTES: usize = 16 << 10;

/// The send buffer of a server, in bytes.
const SEND_BUFFER_BYTES: u32 = 64 << 10;

/// The largest answer that is asked for, in bytes.
const ANSWER_MAX_BYTES: usize = 1 << 20;

async fn read_request(stream: &mut TcpStream) {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n{}") && !request.starts_with(b"GET /health") {
        stream.read_buf(&mut request).await.unwrap();
    }
}

/// Starts a server that answers one request with `start` and then with `again` without end; returns its address, and how
/// many bytes were taken once the connection has ended.
fn endless_server(
    start: &'static str,
    again: &'static str,
) -> (SocketAddr, oneshot::Receiver<usize>) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_send_buffer_size(SEND_BUFFER_BYTES).unwrap();
    socket.bind((Ipv4Addr::LOCALHOST, 0).into()).unwrap();
    let listener = socket.listen(16).unwrap();
    let address = listener.local_addr().unwrap();
    let (taken_sender, taken) = oneshot::channel();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_request(&mut stream).await;
        stream.write_all(start.as_bytes()).await.unwrap();
        let block = again.repeat(WRITE_BYTES / again.len());
        let mut taken = 0;
        while stream.write_all(block.as_bytes()).await.is_ok() {
            taken += block.len();
        }
        taken_sender.send(taken).unwrap();
    });
    (address, taken)
}

async fn call(address: SocketAddr) -> Result<Whole, Lost> {
    let timing = Timing {
        connect: TEST_TIMEOUT,
        idle: TEST_TIMEOUT,
        warm: 0,
    };
    let caller = Caller::new(timing, 1, ANSWER_MAX_BYTES);
    let request = Request::new(Bytes::from_static(b"{}"));
    let deadline = Instant::now() + DEADLINE;
    caller.call(address, request, deadline).await
}

/// Guards against reading for as long as the deadline allows while an answer does not get on, which takes processor time
/// from all other callers.
#[test_case("", "HTTP/1.1 100 Continue\r\n\r\n"; "interim answers")]
#[test_case("HTTP/1.1 200 OK\r\n", "x-more: 1\r\n"; "header fields")]
#[test_case("HTTP/1.1 200 OK\r\nx-more: ", "x"; "a header field")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "0"; "zeros before the size of a chunk")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;", "x"; "an extension of a chunk")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "x-more: 1\r\n"; "trailers")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "1\r\nx\r\n"; "small chunks")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n", "x"; "a body with a length")]
#[test_case("HTTP/1.1 200 OK\r\n\r\n", "x"; "a body without a length")]
#[test_case("no answer", "x"; "no answer at all")]
#[tokio::test]
async fn answer_without_end_is_read_until_the_deadline(start: &'static str, again: &'static str) {
    let (address, taken) = endless_server(start, again);
    let result = call(address).await;
    assert!(result.is_err(), "{result:?}");
    let taken = timeout(TEST_TIMEOUT, taken).await.unwrap().unwrap();
    assert!(taken <= TAKEN_MAX_BYTES, "{taken} bytes");
}

/// Guards against a health check that reads for as long as its answer may take.
#[test_case("", "HTTP/1.1 100 Continue\r\n\r\n"; "interim answers")]
#[test_case("HTTP/1.1 200 OK\r\n\r\n", "x"; "a body")]
#[tokio::test]
async fn answer_to_a_health_check_is_read_without_end(start: &'static str, again: &'static str) {
    let (address, taken) = endless_server(start, again);
    let answer = probe::ask(address, "/health", DEADLINE, DEADLINE).await;
    assert_eq!(answer, Answer::Answered);
    let taken = timeout(TEST_TIMEOUT, taken).await.unwrap().unwrap();
    assert!(taken <= TAKEN_MAX_BYTES, "{taken} bytes");
}

/// Guards against a bound on bytes that ends answers which get on: a long one, read as slowly as it comes.
#[tokio::test]
async fn long_answer_that_gets_on_is_broken_off() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind((Ipv4Addr::LOCALHOST, 0).into()).unwrap();
    let listener = socket.listen(16).unwrap();
    let address = listener.local_addr().unwrap();
    let pieces: Vec<usize> = (0..200).map(|number| 1 + number * 137 % 9_000).collect();
    let length: usize = pieces.iter().sum();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_request(&mut stream).await;
        let head =
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        stream.write_all(head.as_bytes()).await.unwrap();
        for (number, piece) in pieces.into_iter().enumerate() {
            let chunk = format!("{piece:x};n={number}\r\n{}\r\n", "b".repeat(piece));
            stream.write_all(chunk.as_bytes()).await.unwrap();
            if number % 50 == 0 {
                sleep(Duration::from_millis(5)).await;
            }
        }
        stream.write_all(b"0\r\n\r\n").await.unwrap();
        let _ = stream.read_u8().await;
    });
    assert_eq!(call(address).await.unwrap().body.len(), length);
}
