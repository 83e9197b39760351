//! Handlers, requests and listeners for the tests of links.

use std::{
    future::pending,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use bytes::Bytes;
use copperwell_message::{
    Body, Class, Head, Reason, Repeat, Reply, Request, Response, Serve, Verdict,
};
use copperwell_peer::link::serve;
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot},
    time::timeout,
};
use tokio_util::sync::CancellationToken;

/// A timeout that no wait of these tests reaches, even on a slow machine.
pub(crate) const LONG: Duration = Duration::from_secs(20);

/// Maximum size of a body in these tests.
pub(crate) const BODY_MAX_BYTES: usize = 16 << 20;

/// Responds with the body of the request.
pub(crate) struct Echo;

impl Serve for Echo {
    async fn serve(&self, request: Request) -> Response {
        ok_response(request.body)
    }
}

/// Passes each request to the test, which responds to it or leaves it pending.
pub(crate) struct Manual {
    calls: mpsc::UnboundedSender<Call>,
}

/// A request that waits for its response.
pub(crate) struct Call {
    pub(crate) request: Request,
    pub(crate) respond: oneshot::Sender<Response>,
}

impl Serve for Manual {
    async fn serve(&self, request: Request) -> Response {
        let (respond, responded) = oneshot::channel();
        self.calls.send(Call { request, respond }).unwrap();
        match responded.await {
            Ok(response) => response,
            Err(_) => pending().await,
        }
    }
}

pub(crate) fn manual() -> (Manual, mpsc::UnboundedReceiver<Call>) {
    let (calls, receiver) = mpsc::unbounded_channel();
    (Manual { calls }, receiver)
}

pub(crate) fn ok_response(body: Body) -> Response {
    let reply = Reply {
        status: 200,
        headers: vec![("x-test".to_owned(), b"1".to_vec())],
        verdict: Verdict::Done,
        reason: None,
        retry_after: None,
    };
    Response { reply, body }
}

pub(crate) fn request(body: Body) -> Request {
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

pub(crate) async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

pub(crate) async fn start(handler: impl Serve) -> SocketAddr {
    let (listener, address) = listen().await;
    tokio::spawn(serve(listener, handler, CancellationToken::new()));
    address
}

pub(crate) async fn collect(body: Body) -> Bytes {
    let read = timeout(LONG, body.collect(BODY_MAX_BYTES)).await;
    read.unwrap().unwrap()
}

pub(crate) fn verdict(response: &Response) -> (Verdict, Option<Reason>) {
    (response.reply.verdict, response.reply.reason)
}
