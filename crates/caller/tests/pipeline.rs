//! Requests that a caller sends before the last one is answered.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use copperwell_caller::{
    body::Answer,
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

/// Longer than any wait of these tests takes.
const LONG: Duration = Duration::from_secs(20);

/// A handler whose requests are answered when the test says.
#[derive(Default)]
struct Held {
    /// The paths of requests in the order in which they began.
    began: Mutex<Vec<String>>,
    cancelled: Mutex<Vec<String>>,
    /// The paths that may be answered; `*` for all.
    let_go: watch::Sender<Vec<&'static str>>,
    changed: Notify,
    is_stopping: AtomicBool,
}

/// Notes a request that is given up.
struct Running<'a>(&'a Held, String, bool);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        if !self.2 {
            self.0.cancelled.lock().unwrap().push(self.1.clone());
            self.0.changed.notify_waiters();
        }
    }
}

impl Handler for Held {
    async fn handle(&self, request: Request<Option<Incoming>>, _: IpAddr) -> Response<Answer> {
        let path = request.uri().path().to_owned();
        self.began.lock().unwrap().push(path.clone());
        self.changed.notify_waiters();
        let mut running = Running(self, path.clone(), false);
        let mut let_go = self.let_go.subscribe();
        let is_let_go = |all: &Vec<&str>| all.contains(&"*") || all.contains(&&*path);
        let_go.wait_for(is_let_go).await.unwrap();
        running.2 = true;
        Response::new(Answer::new(Body::full(format!("answer {path};"))))
    }

    fn may_begin_early(&self, head: &Parts) -> bool {
        head.uri.path() != "/once"
    }

    fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }

    fn slow(&self) {}

    fn limits(&self) -> Limits {
        Limits::default()
    }
}

impl Held {
    fn let_go(&self, path: &'static str) {
        self.let_go.send_modify(|all| all.push(path));
    }

    /// Waits until what `of` gives is `wanted`.
    async fn wait(&self, of: impl Fn(&Self) -> Vec<String>, wanted: &[&str]) {
        let all = async {
            loop {
                let changed = self.changed.notified();
                if of(self) == wanted {
                    return;
                }
                changed.await;
            }
        };
        let came = timeout(LONG, all).await;
        came.unwrap_or_else(|_| panic!("{:?} is not {wanted:?}", of(self)));
    }

    async fn began(&self, wanted: &[&str]) {
        self.wait(|held| held.began.lock().unwrap().clone(), wanted)
            .await;
    }

    async fn cancelled(&self, wanted: &[&str]) {
        let sorted = |held: &Self| {
            let mut all = held.cancelled.lock().unwrap().clone();
            all.sort();
            all
        };
        self.wait(sorted, wanted).await;
    }
}

/// A server, its handler, and a caller's connection to it.
struct Scene {
    held: Arc<Held>,
    caller: TcpStream,
    shutdown: CancellationToken,
}

impl Scene {
    async fn start() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address: SocketAddr = listener.local_addr().unwrap();
        let held = Arc::new(Held::default());
        let shutdown = CancellationToken::new();
        tokio::spawn(serve_with(listener, held.clone(), shutdown.clone()));
        let caller = TcpStream::connect(address).await.unwrap();
        Self {
            held,
            caller,
            shutdown,
        }
    }

    async fn send(&mut self, bytes: &str) {
        self.caller.write_all(bytes.as_bytes()).await.unwrap();
    }

    /// Reads until an answer's end, and gives all that came.
    async fn until(&mut self, end: &str) -> String {
        let mut said = Vec::new();
        while !said.ends_with(end.as_bytes()) {
            let byte = timeout(LONG, self.caller.read_u8()).await;
            said.push(byte.unwrap_or_else(|_| panic!("no `{end}`")).unwrap());
        }
        String::from_utf8(said).unwrap()
    }

    /// Reads until the server closes the connection.
    async fn until_closed(&mut self) -> String {
        let mut said = Vec::new();
        let read = timeout(LONG, self.caller.read_to_end(&mut said)).await;
        let _ = read.expect("the server closes the connection");
        String::from_utf8(said).unwrap()
    }
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: test\r\n\r\n")
}

fn post(path: &str, body: &str) -> String {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nhost: test\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// Requests that come together begin together; answers leave in the order of requests.
#[tokio::test]
async fn requests_that_wait_begin() {
    let mut scene = Scene::start().await;
    scene.send(&(get("/a") + &get("/b") + &get("/c"))).await;
    scene.held.began(&["/a", "/b", "/c"]).await;
    scene.held.let_go("/c");
    scene.held.let_go("/b");
    scene.held.let_go("/a");
    let said = scene.until("answer /c;").await;
    let order = ["answer /a;", "answer /b;", "answer /c;"].map(|answer| said.find(answer));
    assert!(order.is_sorted() && order[0].is_some(), "{said}");
    // Nothing is left over for the next request.
    scene.held.let_go("/d");
    scene.send(&get("/d")).await;
    scene.until("answer /d;").await;
    scene.held.began(&["/a", "/b", "/c", "/d"]).await;
}

/// Those that come later, and in pieces, begin as soon as their head is there.
#[tokio::test]
async fn requests_that_come_later_begin() {
    let mut scene = Scene::start().await;
    scene.send(&get("/a")).await;
    scene.held.began(&["/a"]).await;
    scene.send(&get("/b")).await;
    scene.held.began(&["/a", "/b"]).await;
    let late = get("/c");
    let (start, end) = late.split_at(9);
    scene.send(start).await;
    scene.send(end).await;
    scene.held.began(&["/a", "/b", "/c"]).await;
    scene.held.let_go("/a");
    scene.until("answer /a;").await;
    // One that comes while another one that was begun early is served.
    scene.send(&get("/d")).await;
    scene.held.began(&["/a", "/b", "/c", "/d"]).await;
    scene.held.let_go("*");
    scene.until("answer /d;").await;
}

/// What may run only once, has a body, or ends the connection waits for its turn, and what comes after
/// it does not overtake it.
#[test_case(&get("/once"), &["/a", "/once", "/z"]; "one that runs once")]
#[test_case(&post("/p", "GET /smuggled HTTP/1.1\r\nhost: x\r\n\r\n"), &["/a", "/p"]; "one with a body")]
#[test_case("POST /p HTTP/1.1\r\nhost: test\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", &["/a", "/p"]; "one in chunks")]
#[test_case("GET /p HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n", &["/a", "/p"]; "one that ends the connection")]
#[tokio::test]
async fn what_waits_for_its_turn(second: &str, begin_then: &[&str]) {
    let mut scene = Scene::start().await;
    scene.send(&(get("/a") + second + &get("/z"))).await;
    scene.held.began(&["/a"]).await;
    scene.held.let_go("/a");
    scene.until("answer /a;").await;
    scene.held.began(begin_then).await;
    let ends = second.contains("close");
    scene.held.let_go("*");
    let said = match ends {
        true => scene.until_closed().await,
        false => scene.until("answer /z;").await,
    };
    assert_eq!(said.matches("HTTP/1.1 200").count(), 2 - usize::from(ends));
    assert!(scene.held.cancelled.lock().unwrap().is_empty());
}

/// Only so many begin, and the others follow.
#[tokio::test]
async fn only_so_many_begin() {
    let mut scene = Scene::start().await;
    let all: String = (0..40).map(|_| get("/a")).collect();
    scene.send(&all).await;
    scene.held.began(&["/a"; 17]).await;
    scene.held.let_go("*");
    for _ in 0..40 {
        scene.until("answer /a;").await;
    }
    assert_eq!(scene.held.began.lock().unwrap().len(), 40);
}

/// A caller that leaves gives up all that it asked for.
#[tokio::test]
async fn a_caller_that_leaves_cancels_all() {
    let mut scene = Scene::start().await;
    scene.send(&(get("/a") + &get("/b") + &get("/c"))).await;
    scene.held.began(&["/a", "/b", "/c"]).await;
    drop(scene.caller);
    scene.held.cancelled(&["/a", "/b", "/c"]).await;
}

/// A server that stops answers all that it began before it closes the connection.
#[test_case(false; "at once")]
#[test_case(true; "after it has asked callers to go elsewhere")]
#[tokio::test]
async fn a_stop_cuts_nothing_that_began(asks_first: bool) {
    let mut scene = Scene::start().await;
    scene.send(&(get("/a") + &get("/b"))).await;
    scene.held.began(&["/a", "/b"]).await;
    if asks_first {
        scene.held.is_stopping.store(true, Ordering::Release);
        scene.send(&get("/late")).await;
    } else {
        scene.shutdown.cancel();
    }
    scene.held.let_go("/a");
    let first = scene.until("answer /a;").await;
    assert!(!first.contains("close"), "{first}");
    scene.held.let_go("*");
    let rest = scene.until_closed().await;
    assert!(rest.contains("connection: close"), "{rest}");
    assert!(rest.ends_with("answer /b;"), "{rest}");
    scene.held.began(&["/a", "/b"]).await;
}
