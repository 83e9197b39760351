//! Metrics, health and status over HTTP.

use std::{convert::Infallible, io, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use prometheus_client::{encoding::text, registry::Registry};
use tokio::{net::TcpListener, sync::Semaphore};
use tokio_util::sync::CancellationToken;

/// Connections at a time; operators and scrapers need few.
const CONNECTIONS: usize = 64;

/// The longest time to send a head.
const HEAD_TIME: Duration = Duration::from_secs(5);

/// What the admin endpoint tells of its daemon.
pub(crate) trait Inspect: Send + Sync + 'static {
    /// Whether callers' requests are welcome.
    fn is_ready(&self) -> bool;

    /// The path under which that is asked for.
    fn ready_path(&self) -> &str {
        "/readyz"
    }

    /// The status page, as JSON.
    fn status(&self) -> impl Future<Output = Vec<u8>> + Send;

    /// Why a key's requests go where they go, as JSON; `None` for an unknown service.
    fn explain(&self, service: &str, key: &str) -> Option<Vec<u8>>;

    /// Brings gauges up to date before they are read.
    fn refresh(&self);
}

/// Serves the admin endpoint until `shutdown`.
pub(crate) async fn serve(
    listener: TcpListener,
    inspect: Arc<impl Inspect>,
    registry: Arc<Registry>,
    shutdown: CancellationToken,
) -> io::Result<()> {
    let slots = Arc::new(Semaphore::new(CONNECTIONS));
    loop {
        let slot = slots
            .clone()
            .acquire_owned()
            .await
            .map_err(io::Error::other)?;
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shutdown.cancelled() => return Ok(()),
        };
        let Ok((stream, _)) = accepted else { continue };
        let inspect = inspect.clone();
        let registry = registry.clone();
        let service = service_fn(move |request| {
            let inspect = inspect.clone();
            let registry = registry.clone();
            async move { Ok::<_, Infallible>(answer(&request, &*inspect, &registry).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIME)
            .serve_connection(TokioIo::new(stream), service);
        let closing = shutdown.clone();
        tokio::spawn(async move {
            tokio::select! {
                // A broken connection concerns only its reader.
                _ = connection => {}
                () = closing.cancelled() => {}
            }
            drop(slot);
        });
    }
}

async fn answer(
    request: &Request<Incoming>,
    inspect: &impl Inspect,
    registry: &Registry,
) -> Response<Full<Bytes>> {
    if request.method() != Method::GET {
        return plain(StatusCode::METHOD_NOT_ALLOWED, "only GET\n");
    }
    match request.uri().path() {
        "/healthz" => plain(StatusCode::OK, "ok\n"),
        path if path == inspect.ready_path() => ready(inspect),
        "/metrics" => metrics(inspect, registry),
        "/status" => json(inspect.status().await),
        "/explain" => explain(request.uri().query().unwrap_or_default(), inspect),
        _ => plain(
            StatusCode::NOT_FOUND,
            "try /healthz, /readyz, /metrics, /status or /explain\n",
        ),
    }
}

fn ready(inspect: &impl Inspect) -> Response<Full<Bytes>> {
    if inspect.is_ready() {
        plain(StatusCode::OK, "ready\n")
    } else {
        plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

fn metrics(inspect: &impl Inspect, registry: &Registry) -> Response<Full<Bytes>> {
    inspect.refresh();
    let mut text = String::new();
    match text::encode(&mut text, registry) {
        Ok(()) => typed(
            "application/openmetrics-text; version=1.0.0",
            text.into_bytes(),
        ),
        Err(_) => plain(
            StatusCode::INTERNAL_SERVER_ERROR,
            "metrics cannot be written\n",
        ),
    }
}

fn explain(query: &str, inspect: &impl Inspect) -> Response<Full<Bytes>> {
    let field = |name| copperwell_operator::query::field(query, name);
    let (Some(service), Some(key)) = (field("service"), field("key")) else {
        return plain(
            StatusCode::BAD_REQUEST,
            "give service and key: /explain?service=S&key=K\n",
        );
    };
    match inspect.explain(&service, &key) {
        Some(body) => json(body),
        None => plain(
            StatusCode::NOT_FOUND,
            "no service of this name is in force\n",
        ),
    }
}

fn json(body: Vec<u8>) -> Response<Full<Bytes>> {
    typed("application/json", body)
}

fn typed(kind: &'static str, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(body));
    let kind = http::HeaderValue::from_static(kind);
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(text));
    *response.status_mut() = status;
    response
}
