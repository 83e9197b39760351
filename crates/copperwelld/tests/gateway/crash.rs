//! Requests that crash servers.

use crate::{
    harness::{CONDITION_TIMEOUT, Daemon, Harness, SERVERS},
    standin::{caller, cluster, config, rule, store::Store},
};
use http::StatusCode;
use std::{process::Stdio, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
    time::{Instant, sleep},
};

/// The path that crashes a server which receives it.
const CRASH_PATH: &str = "/read/poison";

/// Registers a server of `pay` that stops when it receives a request for [`CRASH_PATH`].
async fn register_crashing_server(store: &Store, id: &str) -> [JoinHandle<()>; 2] {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            if !respond(stream).await {
                // The listening socket closes with the process.
                return;
            }
        }
    });
    [server, caller::register(store.writer(), id, "pay", address)]
}

/// Responds to a request; returns `false` if the request crashes the server.
async fn respond(mut stream: TcpStream) -> bool {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => head.push(byte),
            Err(_) => return true,
        }
    }
    let head = String::from_utf8(head).unwrap();
    if head.contains(CRASH_PATH) {
        return false;
    }
    let mut lines = head.lines();
    let id = lines.find_map(|line| line.strip_prefix(caller::ID_LINE));
    let fields = "content-length: 2\r\nconnection: close";
    let response = caller::answer_head(id.unwrap(), fields) + "ok";
    stream.write_all(response.as_bytes()).await.is_ok()
}

/// Sends a request for a path to a daemon and returns the response.
async fn send(harness: &Harness, daemon: usize, path: &str, number: usize) -> (StatusCode, String) {
    let id = format!("{daemon}-{path}-{number}").replace('/', "-");
    harness
        .send(daemon, path, &id, 1)
        .await
        .expect("no complete response")
}

/// Three servers crash with the same request in flight. All daemons then reject it, including the
/// one that did not forward it, and no other request.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_request_is_rejected_by_all_daemons() {
    let mut harness = Harness::start(0).await;
    harness.servers.truncate(SERVERS);
    let rules = [
        rule("cups", "idempotent", "cups"),
        rule("read", "idempotent", "pay"),
    ];
    let clusters = [cluster("cups", true), cluster("pay", false)];
    harness.store.configure(&config(5, &rules, &clusters));
    let mut tasks = Vec::new();
    for id in ["f1", "f2", "f3"] {
        tasks.extend(register_crashing_server(&harness.store, id).await);
    }
    for _ in 0..2 {
        let daemon = Daemon::start(&harness.store, Stdio::null());
        harness.daemons.push(daemon);
    }
    harness.wait_served().await;
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    for number in 0.. {
        assert!(Instant::now() < deadline, "the request is not rejected");
        let (_, body) = send(&harness, 0, CRASH_PATH, number).await;
        // Further requests detect that the servers have stopped.
        for other in 0..6 {
            let (_, body) = send(&harness, 0, "/read/other", 10 * number + other).await;
            assert!(!body.contains("quarantined"), "{body}");
        }
        if body.contains("quarantined") {
            break;
        }
        sleep(Duration::from_millis(50)).await;
    }
    for number in 0.. {
        assert!(
            Instant::now() < deadline,
            "the other daemon does not reject the request"
        );
        let (status, body) = send(&harness, 1, CRASH_PATH, number).await;
        if body.contains("quarantined") {
            assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
            break;
        }
        sleep(Duration::from_millis(50)).await;
    }
    for task in tasks {
        task.abort();
    }
}
