//! HTTP/1.1 requests and responses at the level of bytes.

use std::time::Duration;

use crate::{
    harness::{CONDITION_TIMEOUT, Harness, SERVERS},
    standin::{caller, cluster, config, rule, server::Faults, with_limits},
};
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};

/// The limits of [`start_strict`].
const HEAD_BYTES_MAX: usize = 16 << 10;
const BODY_BYTES_MAX: usize = 4 << 10;
const TIMEOUT_MS: u64 = 300;

/// Returns the head of a request for the service that is not sharded.
fn request_head(method: &str, id: &str, fields: &str) -> String {
    caller::request_head(method, "/pay/1", id, fields)
}

/// Returns a request after which the daemon closes the connection.
fn last_request(id: &str) -> String {
    request_head("GET", id, "connection: close\r\n")
}

async fn connect(harness: &Harness) -> TcpStream {
    let daemon = &harness.daemons[0];
    TcpStream::connect((&*daemon.ip, daemon.port))
        .await
        .unwrap()
}

/// Sends bytes and reads until the daemon closes the connection.
async fn exchange(harness: &Harness, bytes: &[u8]) -> String {
    let mut stream = connect(harness).await;
    // A daemon that has responded may close the connection before it has read everything.
    let _ = stream.write_all(bytes).await;
    read_to_end(&mut stream).await
}

async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut received = Vec::new();
    let read = timeout(CONDITION_TIMEOUT, stream.read_to_end(&mut received)).await;
    let _ = read.expect("the daemon does not close the connection");
    String::from_utf8_lossy(&received).into_owned()
}

/// Reads until the bytes end in `end`.
async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut received = Vec::new();
    while !received.ends_with(end.as_bytes()) {
        let byte = timeout(CONDITION_TIMEOUT, stream.read_u8()).await;
        received.push(
            byte.unwrap_or_else(|_| panic!("`{end}` was not received"))
                .unwrap(),
        );
    }
    String::from_utf8(received).unwrap()
}

/// Starts a cluster with a configuration of low limits.
async fn start_strict() -> Harness {
    let harness = Harness::start(1).await;
    harness.wait_served().await;
    let config = config(
        7,
        &[
            rule("cups", "idempotent", "cups"),
            rule("pay", "non_idempotent", "pay"),
        ],
        &[cluster("cups", true), cluster("pay", false)],
    );
    let config = with_limits(config, HEAD_BYTES_MAX, BODY_BYTES_MAX, TIMEOUT_MS);
    harness.store.configure(&config);
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    while harness.daemons[0]
        .status(&harness.client, "configuration")
        .await
        != Some(7.into())
    {
        assert!(
            Instant::now() < deadline,
            "the configuration is not in force"
        );
        sleep(Duration::from_millis(20)).await;
    }
    harness
}

/// Pipelined requests on one connection each receive a response, in order.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_requests_receive_responses_in_order() {
    let harness = Harness::start(1).await;
    harness.wait_served().await;
    let first: String = (0..5)
        .map(|n| request_head("GET", &format!("p{n}"), ""))
        .collect();
    let received = exchange(&harness, (first + &last_request("p5")).as_bytes()).await;
    let ids = received
        .lines()
        .filter_map(|line| line.strip_prefix(caller::ID_LINE));
    assert_eq!(
        ids.collect::<Vec<_>>(),
        ["p0", "p1", "p2", "p3", "p4", "p5"]
    );
    assert_eq!(received.matches("HTTP/1.1 200 OK").count(), 6, "{received}");
}

/// A body reaches the server completely with each transfer encoding.
#[test_case("content-length: 11\r\n", "hello world"; "with a length")]
#[test_case("transfer-encoding: chunked\r\n", "6\r\nhello \r\n5\r\nworld\r\n0\r\n\r\n"; "in chunks")]
#[test_case("transfer-encoding: chunked\r\n", "1\r\nh\r\na\r\nello world\r\n0\r\nx: y\r\n\r\n"; "with a trailer")]
#[tokio::test(flavor = "multi_thread")]
async fn body_arrives_completely(field: &str, body: &str) {
    let harness = Harness::start(1).await;
    harness.wait_served().await;
    let fields = format!("{field}connection: close\r\n");
    let received = exchange(
        &harness,
        (request_head("POST", "b1", &fields) + body).as_bytes(),
    )
    .await;
    assert!(received.starts_with("HTTP/1.1 200 OK"), "{received}");
    assert_eq!(harness.servers[SERVERS].bodies(), ["hello world"]);
}

/// An invalid request or one beyond a limit is rejected with its status, and no server runs it.
#[test_case(&request_head("POST", "q", "content-length: 5000\r\n"), "413"; "body too large")]
#[test_case(&(request_head("POST", "q", "transfer-encoding: chunked\r\n") + "1388\r\n" + &"x".repeat(5000)), "413"; "chunked body too large")]
#[test_case(&request_head("GET", "q", &format!("x: {}\r\n", "y".repeat(HEAD_BYTES_MAX + 100))), "431"; "head too large")]
#[test_case(&request_head("GET", "q", "bad field\r\n"), "400"; "field without a colon")]
#[test_case("GET /pay/1 HTTP/1.1\r\nhost: app.exa", "408"; "incomplete head")]
#[test_case("NOT HTTP\r\n\r\n", "400"; "not HTTP")]
#[tokio::test(flavor = "multi_thread")]
async fn invalid_or_too_large_request_is_rejected(bytes: &str, status: &str) {
    let harness = start_strict().await;
    let received = exchange(&harness, bytes.as_bytes()).await;
    assert!(
        received.starts_with(&format!("HTTP/1.1 {status} ")),
        "{received}"
    );
    assert_eq!(harness.servers[SERVERS].runs(), Vec::<String>::new());
}

/// An idle connection is closed without sending bytes that could be mistaken for a response.
#[test_case(false; "from the start")]
#[test_case(true; "after a request")]
#[tokio::test(flavor = "multi_thread")]
async fn idle_connection_is_closed(sends_request_first: bool) {
    let harness = start_strict().await;
    let mut stream = connect(&harness).await;
    if sends_request_first {
        stream
            .write_all(request_head("GET", "i1", "").as_bytes())
            .await
            .unwrap();
        read_until(&mut stream, "p0 /pay/1").await;
    }
    assert_eq!(read_to_end(&mut stream).await, "");
}

/// A caller that disconnects cancels its request at the server, too.
#[tokio::test(flavor = "multi_thread")]
async fn request_of_a_disconnected_caller_is_cancelled() {
    let harness = Harness::start(1).await;
    harness.wait_served().await;
    let server = &harness.servers[SERVERS];
    server.set(Faults {
        work: CONDITION_TIMEOUT,
        ..Faults::default()
    });
    let mut stream = connect(&harness).await;
    stream
        .write_all(request_head("GET", "left", "").as_bytes())
        .await
        .unwrap();
    wait("the request runs", || server.runs() == ["left"]).await;
    drop(stream);
    wait("the request is cancelled", || {
        server.cancelled() == ["left"]
    })
    .await;
}

async fn wait(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timeout: {what}");
        sleep(Duration::from_millis(10)).await;
    }
}

/// Replaces the server of `pay` by a listener on which the test reads and writes bytes.
async fn replace_server(harness: &mut Harness) -> (TcpListener, JoinHandle<()>) {
    harness.servers[SERVERS].kill();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let heartbeats = caller::register(harness.store.writer(), "p1", "pay", address);
    (listener, heartbeats)
}

/// Sends requests until one reaches the listener, and returns both connections of that request.
async fn reach_server(
    harness: &Harness,
    listener: &TcpListener,
    id: &str,
) -> (TcpStream, TcpStream) {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    loop {
        let mut caller = connect(harness).await;
        let request = request_head("GET", id, "connection: close\r\n");
        caller.write_all(request.as_bytes()).await.unwrap();
        if let Ok(accepted) = timeout(caller::BEAT, listener.accept()).await {
            let (mut server, _) = accepted.unwrap();
            read_until(&mut server, "\r\n\r\n").await;
            return (caller, server);
        }
        assert!(Instant::now() < deadline, "no request reaches the listener");
    }
}

/// A response is forwarded as it arrives, before it is complete.
#[tokio::test(flavor = "multi_thread")]
async fn response_is_streamed() {
    let mut harness = Harness::start(1).await;
    harness.wait_served().await;
    let (listener, heartbeats) = replace_server(&mut harness).await;
    let (mut caller, mut server) = reach_server(&harness, &listener, "s1").await;
    let head = caller::answer_head("s1", "transfer-encoding: chunked");
    server
        .write_all((head + "5\r\nfirst\r\n").as_bytes())
        .await
        .unwrap();
    read_until(&mut caller, "first").await;
    server.write_all(b"6\r\nsecond\r\n0\r\n\r\n").await.unwrap();
    let rest = read_to_end(&mut caller).await;
    assert!(
        rest.contains("second") && rest.ends_with("0\r\n\r\n"),
        "{rest}"
    );
    heartbeats.abort();
}

/// A truncated response never appears complete to the caller.
#[test_case("transfer-encoding: chunked", "5\r\nfirst\r\n"; "between chunks")]
#[test_case("transfer-encoding: chunked", "9\r\nfirst"; "within a chunk")]
#[test_case("content-length: 9", "first"; "before its length")]
#[tokio::test(flavor = "multi_thread")]
async fn truncated_response(field: &str, body: &str) {
    let mut harness = Harness::start(1).await;
    harness.wait_served().await;
    let (listener, heartbeats) = replace_server(&mut harness).await;
    let (mut caller, mut server) = reach_server(&harness, &listener, "c1").await;
    let head = caller::answer_head("c1", field);
    server.write_all((head + body).as_bytes()).await.unwrap();
    drop(server);
    let received = read_to_end(&mut caller).await;
    assert!(!received.ends_with("0\r\n\r\n"), "{received}");
    assert!(!received.contains("content-length: 5"), "{received}");
    heartbeats.abort();
}
