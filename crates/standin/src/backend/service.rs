//! The HTTP interface of a stand-in server.

use std::{
    str::FromStr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use super::{
    grants::Rejection,
    process::{Process, shard_of},
    record::{Outcome, Run, Shard},
    server::Shared,
    switch::header as fault,
};
use bytes::Bytes;
use copperwell_backend::order::{self, Refusal, header, path};
use copperwell_keyspace::{Epoch, Incarnation};
use copperwell_message::{Body, Reason, Verdict};
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Response, StatusCode,
    header::{CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER},
    request,
};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::time::{Instant, sleep};

/// The largest control order, in bytes.
const ORDER_BYTES_MAX: usize = 4 << 20;

/// The longest lease that an order may grant.
const LEASE_MAX: Duration = Duration::from_hours(1);

/// The largest padding of an answer, in bytes.
const PADDING_BYTES_MAX: usize = 256 << 20;

/// The size of the chunks of a padded answer, in bytes.
const CHUNK_BYTES: usize = 32 * 1024;

/// The time for the first half of an answer to reach the socket before the connection is closed.
const HALF_ANSWER_DELAY: Duration = Duration::from_millis(5);

/// The `Retry-After` of a server that sheds load, in seconds.
const RETRY_AFTER_SECONDS: u64 = 1;

/// The answer to a request; it repeats enough of the request for the caller to match the two.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The name of the server that ran the request.
    pub server: String,
    /// The incarnation of the server's run.
    pub incarnation: Incarnation,
    /// The service.
    pub service: String,
    /// The key.
    pub key: String,
    /// The request's ID.
    pub request: String,
    /// The idempotency key, if the request has one.
    pub idempotency: Option<String>,
    /// The URI of the request.
    pub path: String,
    /// The `xxh3_64` hash of the request's body, in hexadecimal.
    pub digest: String,
    /// The length of the request's body, in bytes.
    pub length: u64,
    /// The number of requests other than `GET` that took effect for the key in this run.
    pub count: u64,
    /// As many bytes of padding as the request asked for.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub padding: String,
}

/// The fields of a request's head.
struct RequestFields {
    shard: Shard,
    epoch: Epoch,
    key: String,
    request: String,
    idempotency: Option<String>,
    deadline: Instant,
}

/// Answers one request.
pub(super) async fn answer(
    shared: Arc<Shared>,
    process: Arc<Process>,
    request: http::Request<Incoming>,
) -> Response<Body> {
    let mut response = match (request.method(), request.uri().path()) {
        (&Method::POST, path::FENCE | path::GRANT | path::RENEW | path::RELEASE) => {
            handle_order(&process, request).await
        }
        (&Method::GET, path::HEALTH) => health(&process),
        (&Method::GET, path::LOAD) => json(StatusCode::OK, &process.reported_load()),
        _ => run(&shared, &process, request).await,
    };
    process.gate.wait_open().await;
    add_incarnation(&process, response.headers_mut());
    response
}

/// Adds the incarnation of the server's run to an answer.
fn add_incarnation(process: &Process, headers: &mut HeaderMap) {
    headers.insert(header::INCARNATION, HeaderValue::from(process.incarnation));
}

fn health(process: &Process) -> Response<Body> {
    let status = if process.is_draining() {
        StatusCode::SERVICE_UNAVAILABLE
    } else {
        StatusCode::OK
    };
    json(status, &process.reported_load())
}

async fn handle_order(process: &Arc<Process>, request: http::Request<Incoming>) -> Response<Body> {
    let (head, body) = request.into_parts();
    let Ok(body) = Limited::new(body, ORDER_BYTES_MAX).collect().await else {
        return plain(
            StatusCode::BAD_REQUEST,
            "the order is cut short or too large",
        );
    };
    let body = body.to_bytes();
    let response = match head.uri.path() {
        path::FENCE => parse(&body).map(|order| reply(process.fence(&order))),
        path::GRANT => parse::<order::Give>(&body).map(|order| {
            let expires_at = lease_expiry(process, order.lease_ms, order.until_ms);
            reply(process.grant(&order, expires_at))
        }),
        path::RENEW => parse::<order::Renew>(&body).map(|order| {
            let expires_at = lease_expiry(process, order.lease_ms, order.until_ms);
            reply(process.renew(&order, expires_at))
        }),
        _ => match parse(&body) {
            Some(order) => Some(reply(process.release(order).await)),
            None => None,
        },
    };
    response.unwrap_or_else(|| plain(StatusCode::BAD_REQUEST, "not an order"))
}

/// Returns when the lease of an order expires: at a time on the server's clock, but no later than
/// one lease duration after the order's arrival.
fn lease_expiry(process: &Process, lease_ms: u64, until_ms: u64) -> Instant {
    let lease = Duration::from_millis(lease_ms).min(LEASE_MAX);
    let by_arrival = Instant::now() + lease;
    let by_clock = process
        .started_at()
        .checked_add(Duration::from_millis(until_ms));
    by_clock.map_or(by_arrival, |end| end.min(by_arrival))
}

async fn run(
    shared: &Arc<Shared>,
    process: &Arc<Process>,
    request: http::Request<Incoming>,
) -> Response<Body> {
    let (head, body) = request.into_parts();
    let Some(fields) = RequestFields::parse(&head.headers) else {
        return plain(
            StatusCode::BAD_REQUEST,
            "service, key, shard or epoch is missing",
        );
    };
    if process.switches.shed.load(Ordering::Acquire) {
        return not_run_response(process, StatusCode::SERVICE_UNAVAILABLE, Reason::Shed);
    }
    if let Err(rejection) = process.check(&fields.shard, fields.epoch) {
        return rejection_response(process, rejection);
    }
    let Ok(body) = body.collect().await else {
        return plain(StatusCode::BAD_REQUEST, "the body is cut short");
    };
    let body = body.to_bytes();
    process.waiting.fetch_add(1, Ordering::AcqRel);
    let waiting = WaitingGuard(process);
    let Ok(_slot) = process.slots.acquire().await else {
        return not_run_response(process, StatusCode::SERVICE_UNAVAILABLE, Reason::Shed);
    };
    drop(waiting);
    if fields.deadline <= Instant::now() {
        return not_run_response(
            process,
            StatusCode::SERVICE_UNAVAILABLE,
            Reason::DeadlineHopeless,
        );
    }
    execute(shared, process, &head, fields, &body).await
}

/// Counts a request as waiting for a slot, until it is dropped.
struct WaitingGuard<'a>(&'a Process);

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::AcqRel);
    }
}

async fn execute(
    shared: &Arc<Shared>,
    process: &Arc<Process>,
    head: &request::Parts,
    fields: RequestFields,
    body: &Bytes,
) -> Response<Body> {
    let digest = xxhash_rust::xxh3::xxh3_64(body);
    let running = match process.start(fields.as_run(process, digest)) {
        Ok(running) => running,
        Err(rejection) => return rejection_response(process, rejection),
    };
    let fault = head.headers.get(fault::FAULT);
    if fault.is_some_and(|value| value == fault::CRASH) {
        process.counters.crashes.fetch_add(1, Ordering::AcqRel);
        shared.crash(process);
        // The connection and this future are dropped when the run ends.
        std::future::pending::<()>().await;
    }
    let own_time = process.next_service_time();
    let time =
        parse_header(&head.headers, fault::SERVICE_MS).map_or(own_time, Duration::from_millis);
    sleep_nonzero(time).await;
    process.gate.wait_open().await;
    let count = match running.finish(&fields.key, head.method != Method::GET) {
        Ok(count) => count,
        Err(rejection) => return rejection_response(process, rejection),
    };
    sleep_nonzero(process.switches.answer_delay()).await;
    let echo = fields.echo(process, head, digest, body.len() as u64, count);
    let half = fault.is_some_and(|value| value == fault::HALF)
        || process.switches.half_answer.load(Ordering::Acquire);
    let padding = parse_header(&head.headers, fault::PADDING).unwrap_or(0);
    echo_response(&echo, usize::min(padding, PADDING_BYTES_MAX), half)
}

/// Sleeps, unless the time is zero, which the timer would round up to its next tick.
async fn sleep_nonzero(time: Duration) {
    if !time.is_zero() {
        sleep(time).await;
    }
}

/// Creates an answer: whole, in chunks if it is padded, or only its first half.
fn echo_response(echo: &Echo, padding: usize, half: bool) -> Response<Body> {
    let mut text = serde_json::to_string(echo).unwrap_or_default();
    if padding == 0 && !half {
        return with_body(StatusCode::OK, "application/json", Body::full(text));
    }
    text.pop();
    text.push_str(",\"padding\":\"");
    let end = "\"}";
    let length = text.len() + padding + end.len();
    let (sender, body) = Body::channel();
    tokio::spawn(async move {
        let mut remaining = if half { length / 2 } else { length };
        let head = Bytes::from(text);
        let head = head.slice(..head.len().min(remaining));
        remaining -= head.len();
        let padding_chunk = Bytes::from(vec![b'x'; CHUNK_BYTES]);
        if sender.send(head).await.is_err() {
            return;
        }
        let mut padding = padding;
        while padding > 0 && remaining > 0 {
            let size = padding.min(remaining).min(CHUNK_BYTES);
            if sender.send(padding_chunk.slice(..size)).await.is_err() {
                return;
            }
            padding -= size;
            remaining -= size;
        }
        if half {
            sleep(HALF_ANSWER_DELAY).await;
            return;
        }
        if sender.send(end).await.is_ok() {
            sender.end().await;
        }
    });
    let mut response = with_body(StatusCode::OK, "application/json", body);
    let headers = response.headers_mut();
    headers.insert(CONTENT_LENGTH, HeaderValue::from(length as u64));
    response
}

impl RequestFields {
    fn parse(headers: &HeaderMap) -> Option<Self> {
        let field = |name| Some(headers.get(name)?.to_str().ok()?.to_owned());
        let deadline =
            parse_header(headers, header::DEADLINE).map_or(Duration::MAX, Duration::from_millis);
        let now = Instant::now();
        Some(Self {
            shard: shard_of(
                &field(header::SERVICE)?,
                parse_header(headers, header::SHARD)?,
            ),
            epoch: parse_header(headers, header::EPOCH)?,
            key: decode_key(&field(header::KEY)?)?,
            request: field(header::REQUEST)?,
            idempotency: field(header::IDEMPOTENCY),
            deadline: now
                .checked_add(deadline)
                .unwrap_or(now + Duration::from_secs(3600)),
        })
    }

    fn as_run(&self, process: &Process, digest: u64) -> Run {
        Run {
            server: process.options.name.clone(),
            incarnation: process.incarnation,
            shard: self.shard.clone(),
            key: self.key.clone(),
            request: self.request.clone(),
            idempotency: self.idempotency.clone(),
            epoch: self.epoch,
            digest,
            start: Instant::now(),
            end: None,
            outcome: Outcome::Running,
        }
    }

    fn echo(
        self,
        process: &Process,
        head: &request::Parts,
        digest: u64,
        length: u64,
        count: u64,
    ) -> Echo {
        Echo {
            server: process.options.name.to_string(),
            incarnation: process.incarnation,
            service: self.shard.service.to_string(),
            key: self.key,
            request: self.request,
            idempotency: self.idempotency,
            path: head.uri.to_string(),
            digest: format!("{digest:016x}"),
            length,
            count,
            padding: String::new(),
        }
    }
}

fn rejection_response(process: &Process, rejection: Rejection) -> Response<Body> {
    let status = match rejection {
        Rejection::StaleEpoch => StatusCode::CONFLICT,
        Rejection::Unowned => StatusCode::MISDIRECTED_REQUEST,
    };
    not_run_response(process, status, Reason::Fenced)
}

/// Creates the answer to a request that did not run.
fn not_run_response(process: &Process, status: StatusCode, reason: Reason) -> Response<Body> {
    process.counters.refused.fetch_add(1, Ordering::AcqRel);
    let mut response = plain(status, reason.as_str());
    let headers = response.headers_mut();
    let mut set = |name: &'static str, value: &'static str| {
        headers.insert(
            HeaderName::from_static(name),
            HeaderValue::from_static(value),
        );
    };
    set(header::VERDICT, Verdict::NotRun.as_str());
    set(header::REASON, reason.as_str());
    if reason == Reason::Shed {
        headers.insert(RETRY_AFTER, HeaderValue::from(RETRY_AFTER_SECONDS));
    }
    response
}

fn reply<T: Serialize>(result: Result<T, Refusal>) -> Response<Body> {
    match result {
        Ok(answer) => json(StatusCode::OK, &answer),
        Err(refusal) => json(StatusCode::CONFLICT, &refusal),
    }
}

fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    with_body(status, "application/json", Body::full(bytes))
}

fn plain(status: StatusCode, text: &'static str) -> Response<Body> {
    with_body(status, "text/plain", Body::full(text))
}

fn with_body(status: StatusCode, content: &'static str, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(content));
    response
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    serde_json::from_slice(body).ok()
}

fn parse_header<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Decodes a key from a header field, in which `%XX` stands for bytes that a field can't hold.
fn decode_key(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        rest = after;
        if *first != b'%' {
            bytes.push(*first);
            continue;
        }
        let digits = std::str::from_utf8(rest.get(..2)?).ok()?;
        bytes.push(u8::from_str_radix(digits, 16).ok()?);
        rest = &rest[2..];
    }
    String::from_utf8(bytes).ok()
}
