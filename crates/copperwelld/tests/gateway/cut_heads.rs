//! Servers that stop in the middle of the head of an answer, and close.

use crate::{
    harness::{CONDITION_TIMEOUT, Harness},
    standin::caller::{ID_LINE, register},
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
async fn serve(mut stream: TcpStream, part: fn(&str) -> String) -> Option<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).unwrap();
    let id = head.lines().find_map(|line| line.strip_prefix(ID_LINE))?;
    stream.write_all(part(id).as_bytes()).await.ok()
}

#[test_case(|_| "HTTP/1.1 200 OK\r\n".to_owned(); "after the status")]
#[test_case(|id| format!("HTTP/1.1 200 OK\r\n{ID_LINE}{id}\r\nresponse-signature: s"); "in a field")]
#[test_case(|id| format!("HTTP/1.1 200 OK\r\n{ID_LINE}{id}\r\nresponse-signature: s\r\n"); "before the empty line")]
#[test_case(|id| format!("HTTP/1.1 200 OK\r\n{ID_LINE}{id}\r\nresponse-signature: s\r\ncontent-length: 1"); "in the length")]
#[tokio::test(flavor = "multi_thread")]
async fn answer_that_ends_in_its_head_reaches_the_caller_as_whole(part: fn(&str) -> String) {
    let mut harness = Harness::start(1).await;
    harness.wait_served().await;
    harness.servers.last_mut().unwrap().kill();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    register(harness.store.writer(), "faulty", "pay", address);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, part));
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
