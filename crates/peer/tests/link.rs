//! Request links over real sockets.

use std::{
    future::pending,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use copperwell_memory::Budget;
use copperwell_message::{
    Body, Class, Head, Incomplete, Reason, Repeat, Reply, Request, Response, Sender, Serve, Verdict,
};
use copperwell_peer::link::{Links, serve, serve_with_relay, serve_within};
use proxy::Proxy;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::timeout,
};
use tokio_util::sync::CancellationToken;

mod proxy;
mod raw;

/// A timeout that no wait of these tests reaches, even on a slow machine.
const LONG: Duration = Duration::from_secs(20);

/// Maximum size of a body in these tests.
const BODY_MAX_BYTES: usize = 16 << 20;

/// Responds with the body of the request.
struct Echo;

impl Serve for Echo {
    async fn serve(&self, request: Request) -> Response {
        ok_response(request.body)
    }
}

/// Passes each request to the test, which responds to it or leaves it pending.
struct Manual {
    calls: mpsc::UnboundedSender<Call>,
}

/// A request that waits for its response.
struct Call {
    request: Request,
    respond: tokio::sync::oneshot::Sender<Response>,
}

impl Serve for Manual {
    async fn serve(&self, request: Request) -> Response {
        let (respond, responded) = tokio::sync::oneshot::channel();
        self.calls.send(Call { request, respond }).unwrap();
        match responded.await {
            Ok(response) => response,
            Err(_) => pending().await,
        }
    }
}

fn manual() -> (Manual, mpsc::UnboundedReceiver<Call>) {
    let (calls, receiver) = mpsc::unbounded_channel();
    (Manual { calls }, receiver)
}

fn ok_response(body: Body) -> Response {
    let reply = Reply {
        status: 200,
        headers: vec![("x-test".to_owned(), b"1".to_vec())],
        verdict: Verdict::Done,
        reason: None,
        retry_after: None,
    };
    Response { reply, body }
}

/// Responds with a status, as a daemon of an earlier release passes on any that an upstream sends.
struct WithStatus(u16);

impl Serve for WithStatus {
    async fn serve(&self, _: Request) -> Response {
        let mut response = ok_response(Body::full("body"));
        response.reply.status = self.0;
        response
    }
}

fn request(body: Body) -> Request {
    let head = Head {
        id: uuid::Uuid::nil(),
        service: "calendar".to_owned(),
        key: "cabin-17".to_owned(),
        shard: 3,
        class: Class::Interactive,
        repeat: Repeat::Repeatable,
        deadline: Duration::from_secs(20),
        caller: IpAddr::V4(Ipv4Addr::LOCALHOST),
        fingerprint: 0,
        method: "GET".to_owned(),
        path: "/".to_owned(),
        headers: Vec::new(),
        hops: 0,
    };
    Request { head, body }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

async fn start(handler: impl Serve) -> SocketAddr {
    let (listener, address) = listen().await;
    tokio::spawn(serve(listener, handler, CancellationToken::new()));
    address
}

async fn collect(body: Body) -> Bytes {
    let read = timeout(LONG, body.collect(BODY_MAX_BYTES)).await;
    read.unwrap().unwrap()
}

fn verdict(response: &Response) -> (Verdict, Option<Reason>) {
    (response.reply.verdict, response.reply.reason)
}

#[test_case::test_case(0; "empty")]
#[test_case::test_case(5; "small")]
#[test_case::test_case(100_000; "longer than a window")]
#[test_case::test_case(5_000_000; "long")]
#[tokio::test]
async fn buffered_bodies_are_echoed_completely(size: usize) {
    let to = start(Echo).await;
    let sent: Vec<u8> = (0..size).map(|byte| byte as u8).collect();
    let response = Links::new()
        .send(to, request(Body::full(sent.clone())))
        .await;
    assert_eq!(response.reply, ok_response(Body::empty()).reply);
    assert!(collect(response.body).await == sent);
}

#[tokio::test]
async fn concurrent_streamed_bodies_are_echoed_completely() {
    let to = start(Arc::new(Echo)).await;
    let links = Links::new();
    let exchanges = (0..50_u8).map(|fill| {
        let links = links.clone();
        tokio::spawn(async move {
            let (sender, body) = Body::channel();
            tokio::spawn(async move {
                for _ in 0..40 {
                    sender.send(vec![fill; 10_000]).await.unwrap();
                }
                sender.end().await;
            });
            let response = links.send(to, request(body)).await;
            assert!(collect(response.body).await == vec![fill; 400_000]);
        })
    });
    futures::future::try_join_all(exchanges).await.unwrap();
}

#[tokio::test]
async fn request_on_a_refused_connection_is_not_run() {
    let (listener, to) = listen().await;
    drop(listener);
    let response = Links::new().send(to, request(Body::empty())).await;
    let expected = (Verdict::NotRun, Some(Reason::NoLeader));
    assert_eq!(verdict(&response), expected);
}

#[tokio::test]
async fn request_to_a_peer_that_accepts_but_never_responds_is_not_run() {
    // The kernel completes TCP connections for a paused process.
    let (_listener, to) = listen().await;
    let response = Links::new().send(to, request(Body::empty())).await;
    let expected = (Verdict::NotRun, Some(Reason::NoLeader));
    assert_eq!(verdict(&response), expected);
}

#[tokio::test]
async fn requests_to_a_recently_unreachable_peer_fail_fast() {
    let (listener, to) = listen().await;
    let links = Links::new();
    let expected = (Verdict::NotRun, Some(Reason::NoLeader));
    let first = links.send(to, request(Body::empty())).await;
    assert_eq!(verdict(&first), expected);
    // The peer responds from here on, so the second request would succeed if it waited.
    tokio::spawn(serve(listener, Echo, CancellationToken::new()));
    let second = links.send(to, request(Body::empty())).await;
    assert_eq!(verdict(&second), expected);
    while links.send(to, request(Body::empty())).await.reply.verdict != Verdict::Done {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn truncated_response_is_severed() {
    let (handler, mut calls) = manual();
    let to = start(handler).await;
    let links = Links::new();
    let sent = tokio::spawn(async move { links.send(to, request(Body::empty())).await });
    let (sender, body) = Body::channel();
    let call = calls.recv().await.unwrap();
    call.respond.send(ok_response(body)).unwrap();
    sender.send("half").await.unwrap();
    let mut response = sent.await.unwrap();
    assert_eq!(response.body.chunk().await, Some(Ok("half".into())));
    drop(sender);
    assert_eq!(response.body.chunk().await, Some(Err(Incomplete)));
}

#[tokio::test]
async fn truncated_request_is_severed_and_may_have_run() {
    let (handler, mut calls) = manual();
    let to = start(handler).await;
    let links = Links::new();
    let (sender, body) = Body::channel();
    let sent = tokio::spawn(async move { links.send(to, request(body)).await });
    sender.send("half").await.unwrap();
    let mut call = calls.recv().await.unwrap();
    assert_eq!(call.request.body.chunk().await, Some(Ok("half".into())));
    drop(sender);
    assert_eq!(call.request.body.chunk().await, Some(Err(Incomplete)));
    let expected = (Verdict::MayHaveRun, Some(Reason::Cancelled));
    assert_eq!(verdict(&sent.await.unwrap()), expected);
}

#[tokio::test]
async fn dropping_the_call_before_the_response_cancels_the_request() {
    let (handler, mut calls) = manual();
    let to = start(handler).await;
    let links = Links::new();
    let sent = tokio::spawn(async move { links.send(to, request(Body::empty())).await });
    let mut call = calls.recv().await.unwrap();
    sent.abort();
    // The receiver closes because the handler's future was dropped.
    call.respond.closed().await;
}

#[tokio::test]
async fn dropping_the_response_body_cancels_the_request() {
    let (handler, mut calls) = manual();
    let to = start(handler).await;
    let links = Links::new();
    let sent = tokio::spawn(async move { links.send(to, request(Body::empty())).await });
    let (sender, body) = Body::channel();
    let call = calls.recv().await.unwrap();
    call.respond.send(ok_response(body)).unwrap();
    sender.send("half").await.unwrap();
    drop(sent.await.unwrap());
    sender.closed().await;
}

#[tokio::test]
async fn refusal_without_reading_the_request_reaches_the_caller() {
    let (handler, mut calls) = manual();
    let to = start(handler).await;
    let links = Links::new();
    let (sender, body) = Body::channel();
    let sent = tokio::spawn(async move { links.send(to, request(body)).await });
    let call = calls.recv().await.unwrap();
    drop(call.request);
    let refusal = Response::refusal(Verdict::NotRun, Reason::QueueFull);
    call.respond.send(refusal).unwrap();
    let response = sent.await.unwrap();
    let expected = (Verdict::NotRun, Some(Reason::QueueFull));
    assert_eq!(verdict(&response), expected);
    assert_eq!(response.body.collect(BODY_MAX_BYTES).await.unwrap(), "");
    sender.closed().await;
}

#[tokio::test]
async fn slow_reader_blocks_only_its_own_writer() {
    const BUFFERED_MAX_BYTES: usize = 512 * 1024;
    let (handler, mut calls) = manual();
    let to = start(handler).await;
    let links = Links::new();
    let slow = links.clone();
    let slow = tokio::spawn(async move { slow.send(to, request(Body::empty())).await });
    let (sender, body) = Body::channel();
    let call = calls.recv().await.unwrap();
    call.respond.send(ok_response(body)).unwrap();
    let written = Arc::new(AtomicUsize::new(0));
    tokio::spawn(send_endlessly(sender, written.clone()));
    let response = slow.await.unwrap();
    for _ in 0..200 {
        let quick = links.send(to, request(Body::empty()));
        let responding = async {
            let call = calls.recv().await.unwrap();
            call.respond.send(ok_response(Body::empty())).unwrap();
        };
        let (quick, ()) = tokio::join!(quick, responding);
        assert_eq!(quick.reply.verdict, Verdict::Done);
    }
    assert!(written.load(Ordering::Relaxed) < BUFFERED_MAX_BYTES);
    // The slow reader can still read more than was buffered.
    let mut body = response.body;
    let mut read = 0;
    while read < 4 * BUFFERED_MAX_BYTES {
        read += body.chunk().await.unwrap().unwrap().len();
    }
}

async fn send_endlessly(sender: Sender, written: Arc<AtomicUsize>) {
    while sender.send(vec![7; 8192]).await.is_ok() {
        written.fetch_add(8192, Ordering::Relaxed);
    }
}

#[tokio::test]
async fn unresponsive_link_is_replaced_and_its_requests_may_have_run() {
    let (handler, mut calls) = manual();
    let proxy = Proxy::start(start(handler).await).await;
    let to = proxy.address;
    let links = Links::new();
    let stuck = links.clone();
    let stuck = tokio::spawn(async move { stuck.send(to, request(Body::empty())).await });
    let _unanswered = calls.recv().await.unwrap();
    proxy.stall();
    let expected = (Verdict::MayHaveRun, Some(Reason::ConnectionSilent));
    assert_eq!(verdict(&stuck.await.unwrap()), expected);
    let next = links.send(to, request(Body::empty()));
    let responding = async {
        let call = calls.recv().await.unwrap();
        call.respond.send(ok_response(Body::empty())).unwrap();
    };
    let (next, ()) = tokio::join!(next, responding);
    assert_eq!(next.reply.verdict, Verdict::Done);
}

#[tokio::test]
async fn request_after_an_idle_link_stalled_runs_on_a_new_link() {
    let proxy = Proxy::start(start(Echo).await).await;
    let links = Links::new();
    let first = links.send(proxy.address, request(Body::empty())).await;
    assert_eq!(first.reply.verdict, Verdict::Done);
    proxy.stall();
    // Longer than the time after which an idle link counts as stale, which is the case under test.
    tokio::time::sleep(Duration::from_millis(1100)).await;
    let second = links.send(proxy.address, request(Body::empty())).await;
    assert_eq!(second.reply.verdict, Verdict::Done);
}

#[tokio::test]
async fn bytes_of_another_protocol_close_the_connection() {
    let to = start(Echo).await;
    let mut stream = TcpStream::connect(to).await.unwrap();
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        .await
        .unwrap();
    let mut read = Vec::new();
    // The connection may end with an end of file or a reset.
    let _ = stream.read_to_end(&mut read).await;
    let response = Links::new().send(to, request(Body::empty())).await;
    assert_eq!(response.reply.verdict, Verdict::Done);
}

#[tokio::test]
async fn shutdown_completes_requests_in_flight() {
    let (handler, mut calls) = manual();
    let (listener, to) = listen().await;
    let shutdown = CancellationToken::new();
    let server = tokio::spawn(serve(listener, handler, shutdown.clone()));
    let links = Links::new();
    let first = links.clone();
    let first = tokio::spawn(async move { first.send(to, request(Body::empty())).await });
    let call = calls.recv().await.unwrap();
    shutdown.cancel();
    let (sender, body) = Body::channel();
    call.respond.send(ok_response(body)).unwrap();
    let mut response = first.await.unwrap();
    sender.send("late").await.unwrap();
    sender.end().await;
    assert_eq!(response.body.chunk().await, Some(Ok("late".into())));
    assert_eq!(response.body.chunk().await, None);
    server.await.unwrap();
    let refused = links.send(to, request(Body::empty())).await;
    let expected = (Verdict::NotRun, Some(Reason::NoLeader));
    assert_eq!(verdict(&refused), expected);
}

#[tokio::test]
async fn deadline_is_propagated_and_ends_the_wait() {
    let (handler, mut calls) = manual();
    let to = start(handler).await;
    let links = Links::new();
    let mut late = request(Body::empty());
    late.head.deadline = Duration::from_millis(300);
    let sent = tokio::spawn(async move { links.send(to, late).await });
    let mut call = calls.recv().await.unwrap();
    assert!(call.request.head.deadline <= Duration::from_millis(300));
    assert_eq!(call.request.head.hops, 1);
    let expected = (Verdict::MayHaveRun, Some(Reason::DeadlinePassed));
    assert_eq!(verdict(&sent.await.unwrap()), expected);
    call.respond.closed().await;
}

#[tokio::test]
async fn relay_reaches_the_target_and_returns_its_verdict() {
    let target = start(Echo).await;
    let (listener, relay) = listen().await;
    let shutdown = CancellationToken::new();
    tokio::spawn(serve_with_relay(listener, Echo, Links::new(), shutdown));
    let links = Links::new();
    let sent = request(Body::full("through"));
    let response = links.send_via(relay, target, sent).await;
    assert_eq!(response.reply.verdict, Verdict::Done);
    assert_eq!(
        response.body.collect(BODY_MAX_BYTES).await.unwrap(),
        "through"
    );
    let (dropped, unreachable) = listen().await;
    drop(dropped);
    let response = links
        .send_via(relay, unreachable, request(Body::empty()))
        .await;
    let expected = (Verdict::NotRun, Some(Reason::NoLeader));
    assert_eq!(verdict(&response), expected);
}

#[tokio::test]
async fn relay_refuses_requests_beyond_the_hop_limit() {
    let (listener, relay) = listen().await;
    let shutdown = CancellationToken::new();
    tokio::spawn(serve_with_relay(listener, Echo, Links::new(), shutdown));
    let mut forwarded = request(Body::empty());
    forwarded.head.hops = Head::HOPS_MAX - 1;
    let response = Links::new().send_via(relay, relay, forwarded).await;
    let expected = (Verdict::NotRun, Some(Reason::Protocol));
    assert_eq!(verdict(&response), expected);
}

#[tokio::test]
async fn daemon_without_relay_refuses_to_forward() {
    let to = start(Echo).await;
    let response = Links::new().send_via(to, to, request(Body::empty())).await;
    let expected = (Verdict::NotRun, Some(Reason::NoLeader));
    assert_eq!(verdict(&response), expected);
}

/// The largest part of a body in the budget of these tests, in bytes.
const BUDGET_BYTES: usize = 256 << 10;

/// What one stream has in memory besides the budget: the window of a stream, and one part.
const STREAM_MAX_BYTES: usize = 128 << 10;

/// Guards against a daemon that keeps what a slow reader does not take, and against room that is not given back.
#[test_case::test_case(true; "read in the end")]
#[test_case::test_case(false; "dropped")]
#[tokio::test]
async fn slow_reader_takes_more_than_the_budget(is_read: bool) {
    let (listener, peer) = listen().await;
    let (at_server, at_client) = (Budget::new(BUDGET_BYTES), Budget::new(BUDGET_BYTES));
    let serving = serve_within(listener, Echo, at_server.clone(), CancellationToken::new());
    tokio::spawn(serving);
    let links = Links::with_budget(at_client.clone());
    let sent: Vec<u8> = (0..3_000_000_u32)
        .map(|number| (number % 251) as u8)
        .collect();
    let mut bodies = Vec::new();
    for _ in 0..8 {
        let response = links.send(peer, request(Body::full(sent.clone()))).await;
        assert_eq!(verdict(&response), (Verdict::Done, None));
        bodies.push(response.body);
    }
    // No more arrives once what is used stays the same.
    let mut before = usize::MAX;
    while before != at_client.used_bytes() {
        before = at_client.used_bytes();
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let streams_max = bodies.len() * STREAM_MAX_BYTES;
    for budget in [&at_client, &at_server] {
        let used = budget.used_bytes();
        assert!(used <= BUDGET_BYTES + streams_max, "{used} bytes");
    }
    for body in bodies {
        if is_read {
            assert!(collect(body).await == sent, "the body differs");
        }
    }
    let end = timeout(LONG, async {
        while at_client.used_bytes() + at_server.used_bytes() > 0 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    end.await.expect("room is not given back");
}

/// Guards against a status that is no final one of HTTP and reaches a caller through a daemon of an earlier release.
#[test_case::test_case(0 => (Verdict::MayHaveRun, Some(Reason::Protocol)); "zero")]
#[test_case::test_case(101 => (Verdict::MayHaveRun, Some(Reason::Protocol)); "of an upgrade")]
#[test_case::test_case(199 => (Verdict::MayHaveRun, Some(Reason::Protocol)); "below the first")]
#[test_case::test_case(200 => (Verdict::Done, None); "the first")]
#[test_case::test_case(599 => (Verdict::Done, None); "the last")]
#[test_case::test_case(600 => (Verdict::MayHaveRun, Some(Reason::Protocol)); "above the last")]
#[tokio::test]
async fn status_that_is_not_final_is_passed_on(status: u16) -> (Verdict, Option<Reason>) {
    let peer = start(WithStatus(status)).await;
    let response = Links::new().send(peer, request(Body::empty())).await;
    verdict(&response)
}

#[test_case::test_case(raw::Fault::RefuseStream => (Verdict::NotRun, Some(Reason::NoLeader)); "refused stream")]
#[test_case::test_case(raw::Fault::ResetStream => (Verdict::MayHaveRun, Some(Reason::ConnectionLost)); "reset")]
#[test_case::test_case(raw::Fault::Close => (Verdict::MayHaveRun, Some(Reason::ConnectionLost)); "closed")]
#[test_case::test_case(raw::Fault::Garbage => (Verdict::MayHaveRun, Some(Reason::Protocol)); "garbage")]
#[tokio::test]
async fn fault_before_the_response_maps_to_a_verdict(
    fault: raw::Fault,
) -> (Verdict, Option<Reason>) {
    let to = raw::start(fault).await;
    let response = Links::new().send(to, request(Body::empty())).await;
    verdict(&response)
}

#[tokio::test]
async fn stream_of_a_later_version_is_refused() {
    let (listener, own) = listen().await;
    let receiving = tokio::spawn(raw::receive(listener));
    let _ = Links::new().send(own, request(Body::empty())).await;
    let mut sent = receiving.await.unwrap();
    let to = start(Echo).await;
    sent.path = sent.path.replace("/1", "/2");
    let reset = raw::send(to, &sent).await;
    assert_eq!(reset, Some(h2::Reason::REFUSED_STREAM));
    sent.path = sent.path.replace("/2", "/1");
    assert_eq!(raw::send(to, &sent).await, None);
}

#[test_case::test_case(raw::Fault::Short; "shorter than announced")]
#[test_case::test_case(raw::Fault::Long; "longer than announced")]
#[test_case::test_case(raw::Fault::MissingTrailers; "missing trailers")]
#[tokio::test]
async fn incomplete_body_is_severed(fault: raw::Fault) {
    let to = raw::start(fault).await;
    let response = Links::new().send(to, request(Body::empty())).await;
    assert_eq!(response.reply.verdict, Verdict::Done);
    assert_eq!(response.body.collect(BODY_MAX_BYTES).await, Err(Incomplete));
}
