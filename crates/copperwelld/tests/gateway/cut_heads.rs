//! Servers that stop in the middle of the head of an answer, and close.

use crate::{
    harness::{CONDITION_TIMEOUT, Harness},
    standin::caller::{ID_LINE, answer_head, register},
};
use http::StatusCode;
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::Instant,
};

const REQUESTS: usize = 20;

/// Answers one request on a connection with a part of a head, and closes.
async fn serve(mut stream: TcpStream, end: fn(&str) -> usize) -> Option<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).unwrap();
    let id = head.lines().find_map(|line| line.strip_prefix(ID_LINE))?;
    let answer = answer_head(id, "content-length: 10");
    stream
        .write_all(&answer.as_bytes()[..end(&answer)])
        .await
        .ok()
}

#[test_case(|head| head.find("\r\n").unwrap() + 2; "after the status")]
#[test_case(|head| head.find("signature").unwrap(); "in a field")]
#[test_case(|head| head.len() - 2; "before the empty line")]
#[test_case(|head| head.len() - 5; "in the length")]
#[tokio::test(flavor = "multi_thread")]
async fn answer_that_ends_in_its_head_reaches_the_caller_as_whole(end: fn(&str) -> usize) {
    let mut harness = Harness::start(1).await;
    harness.wait_served().await;
    harness.servers.last_mut().unwrap().kill();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    register(harness.store.writer(), "faulty", "pay", address);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, end));
        }
    });
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    let (mut failed, mut number) = (0, 0);
    while failed < REQUESTS {
        assert!(Instant::now() < deadline, "the server was not asked");
        number += 1;
        let answer = harness.send(0, "/pay/1", &format!("cut-{number}"), 7).await;
        let status = answer.map(|(status, _)| status);
        assert_ne!(status, Some(StatusCode::OK));
        failed += usize::from(status == Some(StatusCode::BAD_GATEWAY));
    }
}
