//! Callers that are slow. The clock is paused and runs ahead while nothing happens.

use crate::fake::{Fake, LONG, done, raw, whole};
use bytes::Bytes;
use copperwell_message::Body;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

#[tokio::test(start_paused = true)]
async fn slow_head_is_refused() {
    let to = Fake::quick(|_| unreachable!()).start().await;
    let answer = raw(to, b"GET /calendar/cabin-17 HTTP/1.1\r\nho").await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("copperwell-verdict: not-run"), "{answer}");
    assert!(answer.ends_with("without long pauses."), "{answer}");
}

#[tokio::test(start_paused = true)]
async fn idle_connection_is_closed_without_a_word() {
    let to = Fake::quick(|_| unreachable!()).start().await;
    assert_eq!(raw(to, b"").await, "");
}

#[tokio::test(start_paused = true)]
async fn slow_body_is_refused() {
    let to = Fake::quick(|_| unreachable!()).start().await;
    let asked = b"PUT /calendar/cabin-17 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
        content-length: 10\r\n\r\nhalf";
    let answer = raw(to, asked).await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(
        answer.contains("copperwell-reason: slow-caller"),
        "{answer}"
    );
}

#[tokio::test(start_paused = true)]
async fn caller_that_does_not_read_is_given_up() {
    let (fake, mut handed) = Fake::handing();
    let to = fake.start().await;
    let mut stream = TcpStream::connect(to).await.unwrap();
    let asked = b"GET /calendar/cabin-17 HTTP/1.1\r\nhost: x\r\n\r\n";
    stream.write_all(asked).await.unwrap();
    let (sender, body) = Body::channel();
    let handed = handed.recv().await.unwrap();
    handed.answer.send(done(body)).unwrap();
    // It ends when the connection, and with it the answer's reader, is gone.
    let writing = async { while sender.send(Bytes::from(vec![0; 64 << 10])).await.is_ok() {} };
    timeout(LONG, writing).await.unwrap();
    drop(stream);
}

#[tokio::test]
async fn connection_serves_one_request_after_another() {
    let to = Fake::quick(|_| whole("ok")).start().await;
    let mut stream = TcpStream::connect(to).await.unwrap();
    for _ in 0..3 {
        let asked = b"GET /calendar/cabin-17 HTTP/1.1\r\nhost: x\r\n\r\n";
        stream.write_all(asked).await.unwrap();
        let mut read = Vec::new();
        while !read.ends_with(b"ok") {
            assert_ne!(stream.read_buf(&mut read).await.unwrap(), 0);
        }
    }
}
