//! Callers' connections, and fake daemons whose responses the test determines.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use copperwell_caller::{Ingress, Network, metrics::Metrics, server};
use copperwell_keyspace::{
    Member, ShardIndex,
    manifest::{Limits, Service},
};
use copperwell_message::{Body, Reason, Reply, Request, Response, Verdict};
use futures::future::BoxFuture;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{mpsc, oneshot},
};
use tokio_util::sync::CancellationToken;

/// The time limit of each wait, longer than any of them takes.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);

type Respond = dyn Fn(SentRequest) -> BoxFuture<'static, Response> + Send + Sync;

/// Fake daemons whose responses the test determines.
pub(crate) struct FakeNetwork {
    pub(crate) service: Arc<Service>,
    pub(crate) leaders: Mutex<Vec<Member>>,
    pub(crate) relays: Vec<Member>,
    respond: Box<Respond>,
}

/// A request, the daemon that it was sent to, and the relay if there was one.
pub(crate) struct SentRequest {
    pub(crate) to: String,
    pub(crate) relay: Option<String>,
    pub(crate) request: Request,
}

/// A request that waits for its response from the test.
pub(crate) struct PendingRequest {
    pub(crate) sent: SentRequest,
    pub(crate) responder: oneshot::Sender<Response>,
}

impl Network for FakeNetwork {
    fn service(&self, name: &str) -> Option<Arc<Service>> {
        (name == &*self.service.name).then(|| self.service.clone())
    }

    fn leaders(&self, _: &str, _: ShardIndex) -> Vec<Member> {
        self.leaders.lock().unwrap().clone()
    }

    async fn send(&self, to: &Member, request: Request) -> Response {
        let to = to.name.to_string();
        let relay = None;
        (self.respond)(SentRequest { to, relay, request }).await
    }

    fn relays(&self, _: &Member) -> Vec<Member> {
        self.relays.clone()
    }

    async fn send_via(&self, relay: &Member, to: &Member, request: Request) -> Response {
        let to = to.name.to_string();
        let relay = Some(relay.name.to_string());
        (self.respond)(SentRequest { to, relay, request }).await
    }
}

impl FakeNetwork {
    /// Creates daemons `leader` and `standby` that respond with `respond`.
    pub(crate) fn new(
        respond: impl Fn(SentRequest) -> BoxFuture<'static, Response> + Send + Sync + 'static,
    ) -> Self {
        Self {
            service: Arc::new(service(Limits::default())),
            leaders: Mutex::new(vec![member("leader"), member("standby")]),
            relays: Vec::new(),
            respond: Box::new(respond),
        }
    }

    /// Creates daemons that respond immediately.
    pub(crate) fn immediate(
        respond: impl Fn(SentRequest) -> Response + Send + Sync + 'static,
    ) -> Self {
        Self::new(move |sent| {
            let response = respond(sent);
            Box::pin(async move { response })
        })
    }

    /// Creates daemons that pass each request to the test, which sends the response.
    pub(crate) fn manual() -> (Self, mpsc::UnboundedReceiver<PendingRequest>) {
        let (to, from) = mpsc::unbounded_channel();
        let fake = Self::new(move |sent| {
            let (responder, response) = oneshot::channel();
            to.send(PendingRequest { sent, responder }).unwrap();
            Box::pin(async move {
                match response.await {
                    Ok(response) => response,
                    Err(_) => std::future::pending().await,
                }
            })
        });
        (fake, from)
    }

    pub(crate) fn with_limits(mut self, limits: Limits) -> Self {
        self.service = Arc::new(service(limits));
        self
    }

    /// Serves callers until the test ends.
    pub(crate) async fn start(self) -> SocketAddr {
        Arc::new(self).serve(CancellationToken::new()).await
    }

    /// Serves callers until `shutdown`.
    pub(crate) async fn serve(self: Arc<Self>, shutdown: CancellationToken) -> SocketAddr {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let ingress = Arc::new(Ingress::new(self, Metrics::default()));
        let limits = server::Limits::default();
        tokio::spawn(server::serve(listener, ingress, limits, shutdown));
        address
    }
}

/// A response as the caller received it.
#[derive(Debug)]
pub(crate) struct CallerResponse {
    pub(crate) status: u16,
    pub(crate) headers: http::HeaderMap,
    /// The body; an error if it was truncated.
    pub(crate) body: Result<Bytes, hyper::Error>,
}

impl CallerResponse {
    pub(crate) fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.map_or("", |value| value.to_str().unwrap())
    }

    /// Returns status, verdict and reason.
    pub(crate) fn outcome(&self) -> (u16, &str, &str) {
        let verdict = self.header("copperwell-verdict");
        (self.status, verdict, self.header("copperwell-reason"))
    }

    pub(crate) fn text(&self) -> &str {
        std::str::from_utf8(self.body.as_ref().unwrap()).unwrap()
    }
}

/// Sends a request on a new connection and reads the whole response.
pub(crate) async fn call(to: SocketAddr, request: http::Request<Full<Bytes>>) -> CallerResponse {
    let response = open_response(to, request.map(BodyExt::boxed)).await;
    let (parts, body) = response.into_parts();
    CallerResponse {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body: body.collect().await.map(|body| body.to_bytes()),
    }
}

/// Sends a request on a new connection and leaves the body of the response unread.
pub(crate) async fn open_response(
    to: SocketAddr,
    request: http::Request<BoxBody<Bytes, std::convert::Infallible>>,
) -> http::Response<hyper::body::Incoming> {
    let stream = TcpStream::connect(to).await.unwrap();
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    sender.send_request(request).await.unwrap()
}

pub(crate) fn get(path: &str) -> http::Request<Full<Bytes>> {
    request("GET", path, "")
}

pub(crate) fn request(method: &str, path: &str, body: &str) -> http::Request<Full<Bytes>> {
    let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
    let builder = http::Request::builder().method(method).uri(path);
    builder.header("host", "test").body(body).unwrap()
}

/// Sends bytes and reads until the connection ends.
pub(crate) async fn send_raw(to: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(to).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut read = Vec::new();
    // A connection reset after the response does not invalidate what was read.
    let _ = stream.read_to_end(&mut read).await;
    String::from_utf8(read).unwrap()
}

pub(crate) fn text_response(body: &str) -> Response {
    done_response(Body::full(body.to_owned()))
}

pub(crate) fn done_response(body: Body) -> Response {
    let reply = Reply {
        status: 200,
        headers: vec![("x-owner".to_owned(), b"it".to_vec())],
        verdict: Verdict::Done,
        reason: None,
        retry_after: None,
    };
    Response { reply, body }
}

pub(crate) fn not_run(reason: Reason) -> Response {
    Response::refusal(Verdict::NotRun, reason)
}

pub(crate) fn may_have_run(reason: Reason) -> Response {
    Response::refusal(Verdict::MayHaveRun, reason)
}

pub(crate) fn member(name: &str) -> Member {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    Member {
        name: name.into(),
        incarnation: 1,
        data_centre: "dc".into(),
        control: address,
        requests: address,
        admin: address,
    }
}

fn service(limits: Limits) -> Service {
    let text = r#"{
        "name": "calendar", "class": "interactive", "shards": 64,
        "upstreams": [
            {"name": "one", "data_centre": "dc", "address": "127.0.0.1:1", "slots": 2, "connections": 4}
        ]
    }"#;
    let service: Service = serde_json::from_str(text).unwrap();
    Service { limits, ..service }
}
