//! Serves metrics, health checks and status over HTTP.

use std::{convert::Infallible, io, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use prometheus_client::{encoding::text, registry::Registry};
use tokio::{net::TcpListener, sync::Semaphore};
use tokio_util::sync::CancellationToken;

/// The limit on concurrent connections; operators and scrapers need few.
const CONNECTIONS_MAX: usize = 64;

/// The timeout for receiving a request head.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(5);

/// The state of a daemon that the admin endpoint exposes.
pub(crate) trait Inspect: Send + Sync + 'static {
    /// Returns whether the daemon accepts callers' requests.
    fn is_ready(&self) -> bool;

    /// Returns the path of the readiness check.
    fn ready_path(&self) -> &str {
        "/readyz"
    }

    /// Returns the status page as JSON.
    fn status(&self) -> impl Future<Output = Vec<u8>> + Send;

    /// Returns the reasons for the routing of a key as JSON, or `None` if the service is unknown.
    fn explain(&self, service: &str, key: &str) -> Option<Vec<u8>>;

    /// Updates the gauges before they are collected.
    fn refresh(&self);
}

/// Serves the admin endpoint until `shutdown` is cancelled.
pub(crate) async fn serve(
    listener: TcpListener,
    inspect: Arc<impl Inspect>,
    registry: Arc<Registry>,
    shutdown: CancellationToken,
) -> io::Result<()> {
    let permits = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    loop {
        let permit = permits
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
            async move { Ok::<_, Infallible>(respond(&request, &*inspect, &registry).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_READ_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        let connection_shutdown = shutdown.clone();
        tokio::spawn(async move {
            tokio::select! {
                // A failed connection affects only its client.
                _ = connection => {}
                () = connection_shutdown.cancelled() => {}
            }
            drop(permit);
        });
    }
}

async fn respond(
    request: &Request<Incoming>,
    inspect: &impl Inspect,
    registry: &Registry,
) -> Response<Full<Bytes>> {
    if request.method() != Method::GET {
        return text_response(StatusCode::METHOD_NOT_ALLOWED, "only GET\n");
    }
    match request.uri().path() {
        "/healthz" => text_response(StatusCode::OK, "ok\n"),
        path if path == inspect.ready_path() => readiness_response(inspect),
        "/metrics" => metrics_response(inspect, registry),
        "/status" => json_response(inspect.status().await),
        "/explain" => explain_response(request.uri().query().unwrap_or_default(), inspect),
        _ => text_response(
            StatusCode::NOT_FOUND,
            "try /healthz, /readyz, /metrics, /status or /explain\n",
        ),
    }
}

fn readiness_response(inspect: &impl Inspect) -> Response<Full<Bytes>> {
    if inspect.is_ready() {
        text_response(StatusCode::OK, "ready\n")
    } else {
        text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

fn metrics_response(inspect: &impl Inspect, registry: &Registry) -> Response<Full<Bytes>> {
    inspect.refresh();
    let mut text = String::new();
    match text::encode(&mut text, registry) {
        Ok(()) => response_with_type(
            "application/openmetrics-text; version=1.0.0",
            text.into_bytes(),
        ),
        Err(_) => text_response(
            StatusCode::INTERNAL_SERVER_ERROR,
            "metrics cannot be written\n",
        ),
    }
}

fn explain_response(query: &str, inspect: &impl Inspect) -> Response<Full<Bytes>> {
    let field = |name| copperwell_operator::query::field(query, name);
    let (Some(service), Some(key)) = (field("service"), field("key")) else {
        return text_response(
            StatusCode::BAD_REQUEST,
            "give service and key: /explain?service=S&key=K\n",
        );
    };
    match inspect.explain(&service, &key) {
        Some(body) => json_response(body),
        None => text_response(
            StatusCode::NOT_FOUND,
            "no service of this name is in force\n",
        ),
    }
}

fn json_response(body: Vec<u8>) -> Response<Full<Bytes>> {
    response_with_type("application/json", body)
}

fn response_with_type(content_type: &'static str, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(body));
    let content_type = http::HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

fn text_response(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(text));
    *response.status_mut() = status;
    response
}
