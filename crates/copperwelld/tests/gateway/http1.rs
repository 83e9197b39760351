//! Requests and answers as bytes on connections.

use std::time::Duration;

use crate::{
    harness::{Bench, CONDITION, SERVERS},
    standin::{caller, cluster, config, rule, server::Faults, with_limits},
};
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};

/// The limits of [`strict`].
const HEAD_BYTES: usize = 16 << 10;
const BODY_BYTES: usize = 4 << 10;
const TIME_MS: u64 = 300;

/// The head of a request for the service that is not divided by key.
fn head(method: &str, id: &str, more: &str) -> String {
    caller::request_head(method, "/pay/1", id, more)
}

/// The request after which the daemon closes the connection.
fn last(id: &str) -> String {
    head("GET", id, "connection: close\r\n")
}

async fn connect(bench: &Bench) -> TcpStream {
    let daemon = &bench.daemons[0];
    TcpStream::connect((&*daemon.ip, daemon.port))
        .await
        .unwrap()
}

/// Sends bytes, and reads until the daemon closes the connection.
async fn talk(bench: &Bench, bytes: &[u8]) -> String {
    let mut stream = connect(bench).await;
    // A daemon that has answered may close before it has read all.
    let _ = stream.write_all(bytes).await;
    read_to_end(&mut stream).await
}

async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut said = Vec::new();
    let read = timeout(CONDITION, stream.read_to_end(&mut said)).await;
    let _ = read.expect("the daemon closes the connection");
    String::from_utf8_lossy(&said).into_owned()
}

/// Reads until the bytes end in `end`.
async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut said = Vec::new();
    while !said.ends_with(end.as_bytes()) {
        let byte = timeout(CONDITION, stream.read_u8()).await;
        said.push(byte.unwrap_or_else(|_| panic!("no `{end}`")).unwrap());
    }
    String::from_utf8(said).unwrap()
}

/// A cluster with a configuration whose limits are small.
async fn strict() -> Bench {
    let bench = Bench::start(1).await;
    bench.serves().await;
    let config = config(
        7,
        &[
            rule("cups", "idempotent", "cups"),
            rule("pay", "non_idempotent", "pay"),
        ],
        &[cluster("cups", true), cluster("pay", false)],
    );
    let config = with_limits(config, HEAD_BYTES, BODY_BYTES, TIME_MS);
    bench.store.configure(&config);
    let until = Instant::now() + CONDITION;
    while bench.daemons[0]
        .status(&bench.client, "configuration")
        .await
        != Some(7.into())
    {
        assert!(Instant::now() < until, "the configuration is not in force");
        sleep(Duration::from_millis(20)).await;
    }
    bench
}

/// Requests that come at once on one connection are answered each, in their order.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_requests_are_answered_in_order() {
    let bench = Bench::start(1).await;
    bench.serves().await;
    let first: String = (0..5).map(|n| head("GET", &format!("p{n}"), "")).collect();
    let said = talk(&bench, (first + &last("p5")).as_bytes()).await;
    let ids = said
        .lines()
        .filter_map(|line| line.strip_prefix(caller::ID_LINE));
    assert_eq!(
        ids.collect::<Vec<_>>(),
        ["p0", "p1", "p2", "p3", "p4", "p5"]
    );
    assert_eq!(said.matches("HTTP/1.1 200 OK").count(), 6, "{said}");
}

/// A body reaches the server whole, whichever way it comes.
#[test_case("content-length: 11\r\n", "hello world"; "of a length")]
#[test_case("transfer-encoding: chunked\r\n", "6\r\nhello \r\n5\r\nworld\r\n0\r\n\r\n"; "in chunks")]
#[test_case("transfer-encoding: chunked\r\n", "1\r\nh\r\na\r\nello world\r\n0\r\nx: y\r\n\r\n"; "with a trailer")]
#[tokio::test(flavor = "multi_thread")]
async fn a_body_arrives_whole(field: &str, body: &str) {
    let bench = Bench::start(1).await;
    bench.serves().await;
    let more = format!("{field}connection: close\r\n");
    let said = talk(&bench, (head("POST", "b1", &more) + body).as_bytes()).await;
    assert!(said.starts_with("HTTP/1.1 200 OK"), "{said}");
    assert_eq!(bench.servers[SERVERS].bodies(), ["hello world"]);
}

/// What breaks the rules of a request gets an answer that says so, and nothing runs.
#[test_case(&head("POST", "q", "content-length: 5000\r\n"), "413"; "a body longer than allowed")]
#[test_case(&(head("POST", "q", "transfer-encoding: chunked\r\n") + "1388\r\n" + &"x".repeat(5000)), "413"; "chunks longer than allowed")]
#[test_case(&head("GET", "q", &format!("x: {}\r\n", "y".repeat(HEAD_BYTES + 100))), "431"; "a head longer than allowed")]
#[test_case(&head("GET", "q", "bad field\r\n"), "400"; "a field without a colon")]
#[test_case("GET /pay/1 HTTP/1.1\r\nhost: app.exa", "408"; "a head that does not end")]
#[test_case("NOT HTTP\r\n\r\n", "400"; "no HTTP")]
#[tokio::test(flavor = "multi_thread")]
async fn beyond_a_limit(bytes: &str, status: &str) {
    let bench = strict().await;
    let said = talk(&bench, bytes.as_bytes()).await;
    assert!(said.starts_with(&format!("HTTP/1.1 {status} ")), "{said}");
    assert_eq!(bench.servers[SERVERS].runs(), Vec::<String>::new());
}

/// A connection on which nothing comes is closed without a word that could be taken for an answer.
#[test_case(false; "from the start")]
#[test_case(true; "after a request")]
#[tokio::test(flavor = "multi_thread")]
async fn an_idle_connection_is_closed(asks_first: bool) {
    let bench = strict().await;
    let mut stream = connect(&bench).await;
    if asks_first {
        stream
            .write_all(head("GET", "i1", "").as_bytes())
            .await
            .unwrap();
        read_until(&mut stream, "p0 /pay/1").await;
    }
    assert_eq!(read_to_end(&mut stream).await, "");
}

/// A caller that leaves ends its request at the server, too.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_caller_leaves_is_cancelled() {
    let bench = Bench::start(1).await;
    bench.serves().await;
    let server = &bench.servers[SERVERS];
    server.set(Faults {
        work: CONDITION,
        ..Faults::default()
    });
    let mut stream = connect(&bench).await;
    stream
        .write_all(head("GET", "left", "").as_bytes())
        .await
        .unwrap();
    wait("it runs", || server.runs() == ["left"]).await;
    drop(stream);
    wait("it is cancelled", || server.cancelled() == ["left"]).await;
}

async fn wait(what: &str, condition: impl Fn() -> bool) {
    let until = Instant::now() + CONDITION;
    while !condition() {
        assert!(Instant::now() < until, "not in time: {what}");
        sleep(Duration::from_millis(10)).await;
    }
}

/// A server of `pay` that speaks in bytes; it takes the place of the one that is there.
async fn server_in_bytes(bench: &mut Bench) -> (TcpListener, JoinHandle<()>) {
    bench.servers[SERVERS].kill();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let beating = caller::register(bench.store.writer(), "p1", "pay", address);
    (listener, beating)
}

/// Asks until the daemon knows the server in bytes, and gives both ends of the request.
async fn reach(bench: &Bench, listener: &TcpListener, id: &str) -> (TcpStream, TcpStream) {
    let until = Instant::now() + CONDITION;
    loop {
        let mut caller = connect(bench).await;
        let request = head("GET", id, "connection: close\r\n");
        caller.write_all(request.as_bytes()).await.unwrap();
        if let Ok(taken) = timeout(caller::BEAT, listener.accept()).await {
            let (mut server, _) = taken.unwrap();
            read_until(&mut server, "\r\n\r\n").await;
            return (caller, server);
        }
        assert!(Instant::now() < until, "the server is not asked");
    }
}

/// An answer goes on as it comes, before its end is there.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_streamed() {
    let mut bench = Bench::start(1).await;
    bench.serves().await;
    let (listener, beating) = server_in_bytes(&mut bench).await;
    let (mut caller, mut server) = reach(&bench, &listener, "s1").await;
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
    beating.abort();
}

/// An answer that breaks off never looks whole to the caller.
#[test_case("transfer-encoding: chunked", "5\r\nfirst\r\n"; "between chunks")]
#[test_case("transfer-encoding: chunked", "9\r\nfirst"; "within a chunk")]
#[test_case("content-length: 9", "first"; "before its length")]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_breaks_off(field: &str, body: &str) {
    let mut bench = Bench::start(1).await;
    bench.serves().await;
    let (listener, beating) = server_in_bytes(&mut bench).await;
    let (mut caller, mut server) = reach(&bench, &listener, "c1").await;
    let head = caller::answer_head("c1", field);
    server.write_all((head + body).as_bytes()).await.unwrap();
    drop(server);
    let said = read_to_end(&mut caller).await;
    assert!(!said.ends_with("0\r\n\r\n"), "{said}");
    assert!(!said.contains("content-length: 5"), "{said}");
    beating.abort();
}
