//! Slow callers. The clock is paused and advances automatically while all tasks are idle.

use crate::fake::{FakeNetwork, TIMEOUT, done_response, send_raw, text_response};
use bytes::Bytes;
use copperwell_message::Body;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

#[tokio::test(start_paused = true)]
async fn slow_head_is_refused() {
    let address = FakeNetwork::immediate(|_| unreachable!()).start().await;
    let response = send_raw(address, b"GET /calendar/cabin-17 HTTP/1.1\r\nho").await;
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
    assert!(
        response.contains("copperwell-verdict: not-run"),
        "{response}"
    );
    assert!(response.ends_with("without long pauses."), "{response}");
}

#[tokio::test(start_paused = true)]
async fn idle_connection_is_closed_without_a_response() {
    let address = FakeNetwork::immediate(|_| unreachable!()).start().await;
    assert_eq!(send_raw(address, b"").await, "");
}

#[tokio::test(start_paused = true)]
async fn slow_body_is_refused() {
    let address = FakeNetwork::immediate(|_| unreachable!()).start().await;
    let request = b"PUT /calendar/cabin-17 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
        content-length: 10\r\n\r\nhalf";
    let response = send_raw(address, request).await;
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
    assert!(
        response.contains("copperwell-reason: slow-caller"),
        "{response}"
    );
}

#[tokio::test(start_paused = true)]
async fn caller_that_does_not_read_is_disconnected() {
    let (fake, mut pending) = FakeNetwork::manual();
    let address = fake.start().await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = b"GET /calendar/cabin-17 HTTP/1.1\r\nhost: x\r\n\r\n";
    stream.write_all(request).await.unwrap();
    let (sender, body) = Body::channel();
    let pending = pending.recv().await.unwrap();
    pending.responder.send(done_response(body)).unwrap();
    // Sending fails once the connection, and with it the reader of the response, is closed.
    let writing = async { while sender.send(Bytes::from(vec![0; 64 << 10])).await.is_ok() {} };
    timeout(TIMEOUT, writing).await.unwrap();
    drop(stream);
}

#[tokio::test]
async fn connection_serves_one_request_after_another() {
    let address = FakeNetwork::immediate(|_| text_response("ok"))
        .start()
        .await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    for _ in 0..3 {
        let request = b"GET /calendar/cabin-17 HTTP/1.1\r\nhost: x\r\n\r\n";
        stream.write_all(request).await.unwrap();
        let mut read = Vec::new();
        while !read.ends_with(b"ok") {
            assert_ne!(stream.read_buf(&mut read).await.unwrap(), 0);
        }
    }
}
