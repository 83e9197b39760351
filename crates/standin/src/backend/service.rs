//! What a stand-in answers.

use std::{
    str::FromStr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use super::{
    grants::Refused,
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

/// The longest lease that an order may give.
const LEASE_MAX: Duration = Duration::from_hours(1);

/// The largest padding of an answer, in bytes.
const PADDING_MAX: usize = 256 << 20;

/// The size of the chunks in which a padded answer is sent, in bytes.
const CHUNK_BYTES: usize = 32 * 1024;

/// How long the first half of an answer may take to reach the socket before the rest is cut off.
const HALF_PAUSE: Duration = Duration::from_millis(5);

/// When callers should come back to a server that sheds load, in seconds.
const RETRY_AFTER_S: u64 = 1;

/// The answer to a request, by which its caller can tell that it is its own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The server that ran the request.
    pub server: String,
    /// The server's run.
    pub incarnation: Incarnation,
    /// The service.
    pub service: String,
    /// The key.
    pub key: String,
    /// The request's identity.
    pub request: String,
    /// The idempotency key.
    pub idempotency: Option<String>,
    /// The path.
    pub path: String,
    /// A digest of the request's body, as `xxh3_64` gives it, in hexadecimal.
    pub digest: String,
    /// The length of the request's body.
    pub length: u64,
    /// How many requests that are not repeatable took effect for the key in this run.
    pub count: u64,
    /// Filling up to the size that the request asked for.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub padding: String,
}

/// What a request says of itself.
struct Ask {
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
            take_order(&process, request).await
        }
        (&Method::GET, path::HEALTH) => health(&process),
        (&Method::GET, path::LOAD) => json(StatusCode::OK, &process.told_load()),
        _ => run(&shared, &process, request).await,
    };
    process.gate.passed().await;
    stamp(&process, response.headers_mut());
    response
}

/// Adds the server's run to an answer.
fn stamp(process: &Process, headers: &mut HeaderMap) {
    headers.insert(header::INCARNATION, HeaderValue::from(process.incarnation));
}

fn health(process: &Process) -> Response<Body> {
    let status = if process.is_draining() {
        StatusCode::SERVICE_UNAVAILABLE
    } else {
        StatusCode::OK
    };
    json(status, &process.told_load())
}

async fn take_order(process: &Arc<Process>, request: http::Request<Incoming>) -> Response<Body> {
    let (head, body) = request.into_parts();
    let Ok(body) = Limited::new(body, ORDER_BYTES_MAX).collect().await else {
        return plain(
            StatusCode::BAD_REQUEST,
            "the order is cut short or too large",
        );
    };
    let body = body.to_bytes();
    let taken = match head.uri.path() {
        path::FENCE => parse(&body).map(|order| reply(process.fence(&order))),
        path::GRANT => parse::<order::Give>(&body).map(|order| {
            let until = until(process, order.lease_ms, order.until_ms);
            reply(process.give(&order, until))
        }),
        path::RENEW => parse::<order::Renew>(&body).map(|order| {
            let until = until(process, order.lease_ms, order.until_ms);
            reply(process.renew(&order, until))
        }),
        _ => match parse(&body) {
            Some(order) => Some(reply(process.release(order).await)),
            None => None,
        },
    };
    taken.unwrap_or_else(|| plain(StatusCode::BAD_REQUEST, "not an order"))
}

/// When a lease ends that an order gives: by the server's clock, and never later than one lease
/// from its arrival.
fn until(process: &Process, lease_ms: u64, until_ms: u64) -> Instant {
    let lease = Duration::from_millis(lease_ms).min(LEASE_MAX);
    let by_arrival = Instant::now() + lease;
    let by_clock = process.born().checked_add(Duration::from_millis(until_ms));
    by_clock.map_or(by_arrival, |end| end.min(by_arrival))
}

async fn run(
    shared: &Arc<Shared>,
    process: &Arc<Process>,
    request: http::Request<Incoming>,
) -> Response<Body> {
    let (head, body) = request.into_parts();
    let Some(ask) = Ask::parse(&head.headers) else {
        return plain(
            StatusCode::BAD_REQUEST,
            "service, key, shard or epoch is missing",
        );
    };
    if process.switches.shed.load(Ordering::Acquire) {
        return refuse(process, StatusCode::SERVICE_UNAVAILABLE, Reason::Shed);
    }
    if let Err(refused) = process.check(&ask.shard, ask.epoch) {
        return fenced(process, refused);
    }
    let Ok(body) = body.collect().await else {
        return plain(StatusCode::BAD_REQUEST, "the body is cut short");
    };
    let body = body.to_bytes();
    process.waiting.fetch_add(1, Ordering::AcqRel);
    let waiting = Waiting(process);
    let Ok(_slot) = process.slots.acquire().await else {
        return refuse(process, StatusCode::SERVICE_UNAVAILABLE, Reason::Shed);
    };
    drop(waiting);
    if ask.deadline <= Instant::now() {
        return refuse(
            process,
            StatusCode::SERVICE_UNAVAILABLE,
            Reason::DeadlineHopeless,
        );
    }
    execute(shared, process, &head, ask, &body).await
}

/// Counts a request that waits for a slot until it is dropped.
struct Waiting<'a>(&'a Process);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::AcqRel);
    }
}

async fn execute(
    shared: &Arc<Shared>,
    process: &Arc<Process>,
    head: &request::Parts,
    ask: Ask,
    body: &Bytes,
) -> Response<Body> {
    let digest = xxhash_rust::xxh3::xxh3_64(body);
    let running = match process.start(ask.as_run(process, digest)) {
        Ok(running) => running,
        Err(refused) => return fenced(process, refused),
    };
    let fault = head.headers.get(fault::FAULT);
    if fault.is_some_and(|value| value == fault::CRASH) {
        process.counters.crashes.fetch_add(1, Ordering::AcqRel);
        shared.crash(process);
        // The connection and this future end with the run.
        std::future::pending::<()>().await;
    }
    let own_time = process.next_service_time();
    let time = number(&head.headers, fault::SERVICE_MS).map_or(own_time, Duration::from_millis);
    pause(time).await;
    process.gate.passed().await;
    let count = match running.finish(&ask.key, head.method != Method::GET) {
        Ok(count) => count,
        Err(refused) => return fenced(process, refused),
    };
    pause(process.switches.answer_delay()).await;
    let echo = ask.echo(process, head, digest, body.len() as u64, count);
    let half = fault.is_some_and(|value| value == fault::HALF)
        || process.switches.half_answer.load(Ordering::Acquire);
    let padding = number(&head.headers, fault::PADDING).unwrap_or(0);
    respond(&echo, usize::min(padding, PADDING_MAX), half)
}

/// Sleeps, but not for no time, which the timer would round up to its next tick.
async fn pause(time: Duration) {
    if !time.is_zero() {
        sleep(time).await;
    }
}

/// Writes an answer: whole at once if it is small, in chunks if it is padded, or its first half.
fn respond(echo: &Echo, padding: usize, half: bool) -> Response<Body> {
    let mut text = serde_json::to_string(echo).unwrap_or_default();
    if padding == 0 && !half {
        return with_body(StatusCode::OK, "application/json", Body::full(text));
    }
    text.pop();
    text.push_str(",\"padding\":\"");
    let end = "\"}";
    let whole = text.len() + padding + end.len();
    let (to, body) = Body::channel();
    tokio::spawn(async move {
        let mut left = if half { whole / 2 } else { whole };
        let head = Bytes::from(text);
        let head = head.slice(..head.len().min(left));
        left -= head.len();
        let filling = Bytes::from(vec![b'x'; CHUNK_BYTES]);
        if to.send(head).await.is_err() {
            return;
        }
        let mut padding = padding;
        while padding > 0 && left > 0 {
            let size = padding.min(left).min(CHUNK_BYTES);
            if to.send(filling.slice(..size)).await.is_err() {
                return;
            }
            padding -= size;
            left -= size;
        }
        if half {
            sleep(HALF_PAUSE).await;
            return;
        }
        if to.send(end).await.is_ok() {
            to.end().await;
        }
    });
    let mut response = with_body(StatusCode::OK, "application/json", body);
    let headers = response.headers_mut();
    headers.insert(CONTENT_LENGTH, HeaderValue::from(whole as u64));
    response
}

impl Ask {
    fn parse(headers: &HeaderMap) -> Option<Self> {
        let text = |name| Some(headers.get(name)?.to_str().ok()?.to_owned());
        let deadline =
            number(headers, header::DEADLINE).map_or(Duration::MAX, Duration::from_millis);
        let now = Instant::now();
        Some(Self {
            shard: shard_of(&text(header::SERVICE)?, number(headers, header::SHARD)?),
            epoch: number(headers, header::EPOCH)?,
            key: decode_key(&text(header::KEY)?)?,
            request: text(header::REQUEST)?,
            idempotency: text(header::IDEMPOTENCY),
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

fn fenced(process: &Process, refused: Refused) -> Response<Body> {
    let status = match refused {
        Refused::Epoch => StatusCode::CONFLICT,
        Refused::Unowned => StatusCode::MISDIRECTED_REQUEST,
    };
    refuse(process, status, Reason::Fenced)
}

/// A refusal of a request that did not run.
fn refuse(process: &Process, status: StatusCode, reason: Reason) -> Response<Body> {
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
        headers.insert(RETRY_AFTER, HeaderValue::from(RETRY_AFTER_S));
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

fn number<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Reads a key as it stands in a header field, with `%XX` for bytes that do not fit.
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
