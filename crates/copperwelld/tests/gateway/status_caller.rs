//! Callers of servers whose answers have statuses that are not final ones of HTTP.

use std::time::Duration;

use crate::{
    harness::{CONDITION_TIMEOUT, Daemon, Harness},
    standin::{
        caller, cluster, config, rule,
        statuses::{Form, Shape, Statuses},
    },
};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

/// The service of the faulty servers.
pub(crate) const SERVICE: &str = "odd";

/// The version of the configuration that has it.
const VERSION: u64 = 3;

/// First lines of answers without a final status of HTTP.
pub(crate) const NOT_FINAL: [&str; 10] = [
    "000 None",
    "001 None",
    "099 None",
    "101 Switching Protocols",
    "199 Interim",
    "600 Odd",
    "999 Odd",
    "20 OK",
    "abc OK",
    "",
];

/// Adds a service to the configuration, with a route of a type; its upstreams are faulty.
pub(crate) async fn configure(harness: &Harness, kind: &str, is_keyed: bool) {
    let rules = [
        rule("cups", "idempotent", "cups"),
        rule("pay", "idempotent", "pay"),
        rule("odd", kind, SERVICE),
    ];
    let clusters = [
        cluster("cups", true),
        cluster("pay", false),
        cluster(SERVICE, is_keyed),
    ];
    harness.store.configure(&config(VERSION, &rules, &clusters));
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    for daemon in &harness.daemons {
        while daemon.status(&harness.client, "configuration").await != Some(json!(VERSION)) {
            assert!(Instant::now() < deadline, "{}", daemon.name());
            sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Sends a request to the faulty service and behind it, on the same connection, one to a sound service; returns the
/// statuses of all answers on it, which ends with them.
pub(crate) async fn ask(daemon: &Daemon, method: &str, id: &str) -> Vec<String> {
    ask_at(daemon, method, "/odd/1", id).await
}

/// Like [`ask`], with the path of the first request.
pub(crate) async fn ask_at(daemon: &Daemon, method: &str, path: &str, id: &str) -> Vec<String> {
    let mut stream = TcpStream::connect((daemon.ip.as_str(), daemon.port))
        .await
        .unwrap();
    let key = caller::key_line(7);
    let body = if method == "POST" { "body" } else { "" };
    let fields = format!("{key}content-length: {}\r\n", body.len());
    let first = caller::request_head(method, path, id, &fields);
    let fields = format!("{key}connection: close\r\n");
    let second = caller::request_head("GET", "/cups/1", &format!("{id}-sound"), &fields);
    let requests = format!("{first}{body}{second}");
    stream.write_all(requests.as_bytes()).await.unwrap();
    let mut answers = Vec::new();
    let read = timeout(CONDITION_TIMEOUT, stream.read_to_end(&mut answers));
    read.await.expect("the connection ends").unwrap();
    let answers = String::from_utf8_lossy(&answers);
    let statuses = answers.split("HTTP/1.1 ").skip(1);
    statuses
        .map(|answer| answer.split([' ', '\r']).next().unwrap().to_owned())
        .collect()
}

/// Sends requests until one runs at the server; returns the statuses on the connection of that one.
pub(crate) async fn ask_until_run(
    daemon: &Daemon,
    server: &Statuses,
    method: &str,
    name: &str,
) -> Vec<String> {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    for number in 0.. {
        assert!(Instant::now() < deadline, "{name} {method}: not asked");
        let id = format!("{}-{method}-{number}", name.replace(' ', "_"));
        let statuses = ask(daemon, method, &id).await;
        if server.runs().contains(&id) {
            return statuses;
        }
        // The server is paused after each answer, or not reached.
        let is_refused = statuses == ["502", "200"] || statuses == ["503", "200"];
        assert!(is_refused, "{id} has not run: {statuses:?}");
        sleep(Duration::from_millis(50)).await;
    }
    unreachable!()
}

/// Asks for answers with every status that is not final, by `GET` and by `POST`, and checks that callers get 502.
pub(crate) async fn check_not_final(daemon: &Daemon, server: &Statuses, form: Form) {
    for status in NOT_FINAL {
        let interim = "";
        server.set(Shape {
            interim,
            status,
            form,
        });
        for method in ["GET", "POST"] {
            let statuses = ask_until_run(daemon, server, method, &format!("{status}-")).await;
            assert_eq!(statuses, ["502", "200"], "{status} {method}");
        }
    }
    assert!(!server.is_reused(), "a connection was used again");
}
