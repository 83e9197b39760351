//! Requests that crash the servers that run them.

use crate::{
    harness::{Bench, CONDITION, Daemon, SERVERS},
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

/// Ends the server that reads it.
const POISON: &str = "/read/poison";

/// Registers a server of `pay` that ends when it reads a request for [`POISON`].
async fn fragile(store: &Store, id: &str) -> [JoinHandle<()>; 2] {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let serving = tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            if !answer(stream).await {
                // The listening socket goes with the process.
                return;
            }
        }
    });
    [
        serving,
        caller::register(store.writer(), id, "pay", address),
    ]
}

/// Answers a request; `false` if that ends the server.
async fn answer(mut stream: TcpStream) -> bool {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => head.push(byte),
            Err(_) => return true,
        }
    }
    let head = String::from_utf8(head).unwrap();
    if head.contains(POISON) {
        return false;
    }
    let mut lines = head.lines();
    let id = lines.find_map(|line| line.strip_prefix(caller::ID_LINE));
    let more = "content-length: 2\r\nconnection: close";
    let whole = caller::answer_head(id.unwrap(), more) + "ok";
    stream.write_all(whole.as_bytes()).await.is_ok()
}

/// What a daemon answers to a request for a path.
async fn ask(bench: &Bench, daemon: usize, path: &str, number: usize) -> (StatusCode, String) {
    let id = format!("{daemon}-{path}-{number}").replace('/', "-");
    bench.ask(daemon, path, &id, 1).await.expect("an answer")
}

/// Three servers end with the same request in flight. It is refused then, by the daemon that did not see
/// it, too, and others are not.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_servers_is_refused_by_all() {
    let mut bench = Bench::start(0).await;
    bench.servers.truncate(SERVERS);
    let rules = [
        rule("cups", "idempotent", "cups"),
        rule("read", "idempotent", "pay"),
    ];
    let clusters = [cluster("cups", true), cluster("pay", false)];
    bench.store.configure(&config(5, &rules, &clusters));
    let mut tasks = Vec::new();
    for id in ["f1", "f2", "f3"] {
        tasks.extend(fragile(&bench.store, id).await);
    }
    for _ in 0..2 {
        let daemon = Daemon::start(&bench.store, Stdio::null());
        bench.daemons.push(daemon);
    }
    bench.serves().await;
    let until = Instant::now() + CONDITION;
    for number in 0.. {
        assert!(Instant::now() < until, "it is not refused");
        let (_, body) = ask(&bench, 0, POISON, number).await;
        // Requests that follow find that the servers have ended.
        for other in 0..6 {
            let (_, body) = ask(&bench, 0, "/read/other", 10 * number + other).await;
            assert!(!body.contains("quarantined"), "{body}");
        }
        if body.contains("quarantined") {
            break;
        }
        sleep(Duration::from_millis(50)).await;
    }
    for number in 0.. {
        assert!(
            Instant::now() < until,
            "the other daemon does not refuse it"
        );
        let (status, body) = ask(&bench, 1, POISON, number).await;
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
