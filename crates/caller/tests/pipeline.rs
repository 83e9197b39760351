//! HTTP pipelining: requests that a caller sends before the previous response is complete.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use copperwell_caller::{
    body::ResponseBody,
    server::{Handler, Limits, serve_with},
};
use copperwell_message::Body;
use http::{Request, Response, request::Parts};
use hyper::body::Incoming;
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{Notify, watch},
    time::timeout,
};
use tokio_util::sync::CancellationToken;

/// The time limit of each wait, longer than any of them takes.
const TIMEOUT: Duration = Duration::from_secs(20);

/// The size of the pieces of a streamed response, in bytes.
const STREAMED_PIECE_BYTES: usize = 100;

/// A handler that holds back each response until the test releases it.
#[derive(Default)]
struct BlockingHandler {
    /// The paths of requests in the order in which they started.
    started: Mutex<Vec<String>>,
    cancelled: Mutex<Vec<String>>,
    /// The paths whose responses are released; `*` for all. Streamed responses go on until `end` or `break`.
    released: watch::Sender<Vec<&'static str>>,
    changed: Notify,
    is_stopping: AtomicBool,
}

/// Records a request as cancelled if it is dropped before it completes: the handler, the path, and
/// whether it completed.
struct Running<'a>(&'a BlockingHandler, String, bool);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        if !self.2 {
            self.0.cancelled.lock().unwrap().push(self.1.clone());
            self.0.changed.notify_waiters();
        }
    }
}

impl Handler for BlockingHandler {
    async fn handle(
        &self,
        request: Request<Option<Incoming>>,
        _: IpAddr,
    ) -> Response<ResponseBody> {
        let path = request.uri().path().to_owned();
        self.started.lock().unwrap().push(path.clone());
        self.changed.notify_waiters();
        let mut running = Running(self, path.clone(), false);
        let mut released = self.released.subscribe();
        let is_released = |all: &Vec<&str>| all.contains(&"*") || all.contains(&&*path);
        released.wait_for(is_released).await.unwrap();
        running.2 = true;
        let Some(length) = path.strip_prefix("/streamed-") else {
            let body = Body::full(format!("answer {path};"));
            return Response::new(ResponseBody::new(body));
        };
        let length: usize = length.parse().unwrap();
        let (sender, body) = Body::channel();
        tokio::spawn(async move {
            for _ in 0..length.div_ceil(STREAMED_PIECE_BYTES) {
                sender.send(vec![b's'; STREAMED_PIECE_BYTES]).await.unwrap();
            }
            let is_end = |all: &Vec<&str>| all.contains(&"end") || all.contains(&"break");
            let ends_well = released.wait_for(is_end).await.unwrap().contains(&"end");
            if ends_well {
                sender.send("answer end;").await.unwrap();
                sender.end().await;
            }
        });
        Response::new(ResponseBody::new(body))
    }

    fn may_start_early(&self, head: &Parts) -> bool {
        head.uri.path() != "/once"
    }

    fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }

    fn on_slow_caller(&self) {}

    fn limits(&self) -> Limits {
        Limits::default()
    }
}

impl BlockingHandler {
    fn release(&self, path: &'static str) {
        self.released.send_modify(|all| all.push(path));
    }

    /// Waits until `observe` returns the `expected` paths.
    async fn wait_until(&self, observe: impl Fn(&Self) -> Vec<String>, expected: &[&str]) {
        let reached = async {
            loop {
                let changed = self.changed.notified();
                if observe(self) == expected {
                    return;
                }
                changed.await;
            }
        };
        let outcome = timeout(TIMEOUT, reached).await;
        outcome.unwrap_or_else(|_| panic!("{:?} is not {expected:?}", observe(self)));
    }

    async fn wait_started(&self, expected: &[&str]) {
        self.wait_until(|handler| handler.started.lock().unwrap().clone(), expected)
            .await;
    }

    async fn wait_cancelled(&self, expected: &[&str]) {
        let sorted = |handler: &Self| {
            let mut all = handler.cancelled.lock().unwrap().clone();
            all.sort();
            all
        };
        self.wait_until(sorted, expected).await;
    }
}

/// A server, its handler, and the connection of a caller.
struct Fixture {
    handler: Arc<BlockingHandler>,
    caller: TcpStream,
    shutdown: CancellationToken,
}

impl Fixture {
    async fn start() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address: SocketAddr = listener.local_addr().unwrap();
        let handler = Arc::new(BlockingHandler::default());
        let shutdown = CancellationToken::new();
        tokio::spawn(serve_with(listener, handler.clone(), shutdown.clone()));
        let caller = TcpStream::connect(address).await.unwrap();
        Self {
            handler,
            caller,
            shutdown,
        }
    }

    async fn send(&mut self, bytes: &str) {
        self.caller.write_all(bytes.as_bytes()).await.unwrap();
    }

    /// Reads until the received bytes end with `end`; returns them.
    async fn read_until(&mut self, end: &str) -> String {
        let mut received = Vec::new();
        while !received.ends_with(end.as_bytes()) {
            let byte = timeout(TIMEOUT, self.caller.read_u8()).await;
            received.push(byte.unwrap_or_else(|_| panic!("no `{end}`")).unwrap());
        }
        String::from_utf8(received).unwrap()
    }

    /// Reads until the server closes the connection.
    async fn read_until_closed(&mut self) -> String {
        let mut received = Vec::new();
        let read = timeout(TIMEOUT, self.caller.read_to_end(&mut received)).await;
        let _ = read.expect("the server closes the connection");
        String::from_utf8(received).unwrap()
    }
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: test\r\n\r\n")
}

fn post(path: &str, body: &str) -> String {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nhost: test\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// Requests that arrive together start together; responses are sent in the order of the requests.
#[tokio::test]
async fn queued_requests_start_early() {
    let mut fixture = Fixture::start().await;
    fixture.send(&(get("/a") + &get("/b") + &get("/c"))).await;
    fixture.handler.wait_started(&["/a", "/b", "/c"]).await;
    fixture.handler.release("/c");
    fixture.handler.release("/b");
    fixture.handler.release("/a");
    let received = fixture.read_until("answer /c;").await;
    let order = ["answer /a;", "answer /b;", "answer /c;"].map(|answer| received.find(answer));
    assert!(order.is_sorted() && order[0].is_some(), "{received}");
    // No bytes are left over that would corrupt the next request.
    fixture.handler.release("/d");
    fixture.send(&get("/d")).await;
    fixture.read_until("answer /d;").await;
    fixture
        .handler
        .wait_started(&["/a", "/b", "/c", "/d"])
        .await;
}

/// Requests that arrive later, or in pieces, start as soon as their heads are complete.
#[tokio::test]
async fn later_requests_start_early() {
    let mut fixture = Fixture::start().await;
    fixture.send(&get("/a")).await;
    fixture.handler.wait_started(&["/a"]).await;
    fixture.send(&get("/b")).await;
    fixture.handler.wait_started(&["/a", "/b"]).await;
    let late = get("/c");
    let (start, end) = late.split_at(9);
    fixture.send(start).await;
    fixture.send(end).await;
    fixture.handler.wait_started(&["/a", "/b", "/c"]).await;
    fixture.handler.release("/a");
    fixture.read_until("answer /a;").await;
    // This one arrives while a request that was started early is served.
    fixture.send(&get("/d")).await;
    fixture
        .handler
        .wait_started(&["/a", "/b", "/c", "/d"])
        .await;
    fixture.handler.release("*");
    fixture.read_until("answer /d;").await;
}

/// A request that may run only once, has a body, or closes the connection waits for the previous
/// response, and later requests do not overtake it.
#[test_case(&get("/once"), &["/a", "/once", "/z"]; "one that runs once")]
#[test_case(&post("/p", "GET /smuggled HTTP/1.1\r\nhost: x\r\n\r\n"), &["/a", "/p"]; "one with a body")]
#[test_case("POST /p HTTP/1.1\r\nhost: test\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", &["/a", "/p"]; "one in chunks")]
#[test_case("GET /p HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n", &["/a", "/p"]; "one that ends the connection")]
#[tokio::test]
async fn non_pipelined_requests_wait(second: &str, started_then: &[&str]) {
    let mut fixture = Fixture::start().await;
    fixture.send(&(get("/a") + second + &get("/z"))).await;
    fixture.handler.wait_started(&["/a"]).await;
    fixture.handler.release("/a");
    fixture.read_until("answer /a;").await;
    fixture.handler.wait_started(started_then).await;
    let is_closing = second.contains("close");
    fixture.handler.release("*");
    let received = match is_closing {
        true => fixture.read_until_closed().await,
        false => fixture.read_until("answer /z;").await,
    };
    assert_eq!(
        received.matches("HTTP/1.1 200").count(),
        2 - usize::from(is_closing)
    );
    assert!(fixture.handler.cancelled.lock().unwrap().is_empty());
}

/// A limited number of requests start early; the others follow.
#[tokio::test]
async fn early_requests_are_limited() {
    let mut fixture = Fixture::start().await;
    let all: String = (0..40).map(|_| get("/a")).collect();
    fixture.send(&all).await;
    fixture.handler.wait_started(&["/a"; 17]).await;
    fixture.handler.release("*");
    for _ in 0..40 {
        fixture.read_until("answer /a;").await;
    }
    assert_eq!(fixture.handler.started.lock().unwrap().len(), 40);
}

/// A caller that disconnects cancels all of its requests.
#[tokio::test]
async fn disconnect_cancels_all_requests() {
    let mut fixture = Fixture::start().await;
    fixture.send(&(get("/a") + &get("/b") + &get("/c"))).await;
    fixture.handler.wait_started(&["/a", "/b", "/c"]).await;
    drop(fixture.caller);
    fixture.handler.wait_cancelled(&["/a", "/b", "/c"]).await;
}

/// A server that stops completes all requests that it started before it closes the connection.
#[test_case(false; "at once")]
#[test_case(true; "after it has asked callers to go elsewhere")]
#[tokio::test]
async fn stop_completes_started_requests(is_stopping_first: bool) {
    let mut fixture = Fixture::start().await;
    fixture.send(&(get("/a") + &get("/b"))).await;
    fixture.handler.wait_started(&["/a", "/b"]).await;
    if is_stopping_first {
        fixture.handler.is_stopping.store(true, Ordering::Release);
        fixture.send(&get("/late")).await;
    } else {
        fixture.shutdown.cancel();
    }
    fixture.handler.release("/a");
    let first = fixture.read_until("answer /a;").await;
    assert!(!first.contains("close"), "{first}");
    fixture.handler.release("*");
    let rest = fixture.read_until_closed().await;
    assert!(rest.contains("connection: close"), "{rest}");
    assert!(rest.ends_with("answer /b;"), "{rest}");
    fixture.handler.wait_started(&["/a", "/b"]).await;
}

/// Guards against requests that run at sound servers and are never answered, as the answer before them breaks off.
#[tokio::test]
async fn broken_response_takes_those_behind_it_along() {
    let mut fixture = Fixture::start().await;
    let all = get("/streamed-300") + &get("/b") + &get("/streamed-0") + &get("/c");
    fixture.send(&all).await;
    let started = ["/streamed-300", "/b", "/streamed-0", "/c"];
    fixture.handler.wait_started(&started).await;
    fixture.handler.release("break");
    fixture.handler.release("*");
    let received = fixture.read_until("answer /c;").await;
    assert_eq!(received.matches("HTTP/1.1 502").count(), 2, "{received}");
    assert_eq!(received.matches("HTTP/1.1 200").count(), 2, "{received}");
    assert!(received.contains("answer /b;"), "{received}");
}

/// A response is sent as it arrives where nothing waits behind it, or where it is long.
#[test_case(300, false; "nothing waits")]
#[test_case(100_000, true; "long")]
#[tokio::test]
async fn streamed_response_is_held_back_until_its_end(length: usize, has_more: bool) {
    let mut fixture = Fixture::start().await;
    let path: &'static str = Box::leak(format!("/streamed-{length}").into());
    fixture.send(&get(path)).await;
    fixture.handler.wait_started(&[path]).await;
    if has_more {
        fixture.send(&get("/b")).await;
        fixture.handler.wait_started(&[path, "/b"]).await;
    }
    fixture.handler.release("*");
    fixture.read_until("sssss").await;
    fixture.handler.release("end");
    fixture.read_until("answer end;").await;
    if has_more {
        fixture.read_until("answer /b;").await;
    }
}

/// A short response that is whole is sent as it came, also if others wait behind it.
#[tokio::test]
async fn streamed_response_is_changed_by_those_behind_it() {
    let mut fixture = Fixture::start().await;
    fixture.send(&(get("/streamed-300") + &get("/b"))).await;
    fixture.handler.wait_started(&["/streamed-300", "/b"]).await;
    fixture.handler.release("end");
    fixture.handler.release("*");
    let received = fixture.read_until("answer /b;").await;
    let body = "s".repeat(300) + "answer end;";
    assert!(received.contains(&body), "{received}");
    assert_eq!(received.matches("HTTP/1.1 200").count(), 2, "{received}");
}
