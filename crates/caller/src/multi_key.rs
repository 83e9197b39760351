//! Multi-key requests: one part for each key, whose responses are joined in the order of keys.
//!
//! Parts run in the batch class, a few at a time. Their responses are buffered up to a bound, so
//! that a failure can still be reported as an error that names the failed keys. Beyond the bound
//! the response is streamed, and a failure truncates it. A response is complete only with all its
//! parts.

use std::{sync::Arc, time::Duration};

use crate::{
    Network,
    admission::ServiceAdmission,
    header,
    metrics::Metrics,
    parse,
    route::Router,
    scheduler::{PartPermit, Registration},
};
use bytes::{Bytes, BytesMut};
use copperwell_keyspace::manifest::Service;
use copperwell_message::{
    Body, Head, Incomplete, Reason, Reply, Request, Response, Sender, Verdict,
};
use copperwell_policy::{
    backoff::Backoff,
    schedule::{Demand, Refusal},
};
use futures::{StreamExt, stream::FuturesOrdered};
use serde::Serialize;
use tokio::time::{Instant, sleep};
use uuid::Uuid;

/// The maximum number of parts of one request in flight.
const PARTS_IN_FLIGHT_MAX: usize = 8;

/// The maximum size of a part's body that is buffered; longer ones are streamed.
const PART_BUFFER_BYTES: usize = 64 << 10;

/// The total size of buffered parts above which the response is streamed.
const RESPONSE_BUFFER_BYTES: usize = 1 << 20;

/// The first delay before a part is retried.
const BACKOFF_MIN: Duration = Duration::from_millis(50);

/// The longest delay before a part is retried.
const BACKOFF_MAX: Duration = Duration::from_secs(1);

/// A request with several keys.
#[derive(Debug)]
pub(crate) struct MultiKeyRequest<N> {
    pub(crate) router: Arc<Router<N>>,
    pub(crate) service: Arc<Service>,
    pub(crate) admission: Arc<ServiceAdmission>,
    pub(crate) metrics: Metrics,
    /// The head of the whole request; each part has its own key and shard.
    pub(crate) head: Head,
    pub(crate) keys: Vec<String>,
    /// The body, which is sent with every part.
    pub(crate) body: Bytes,
    pub(crate) deadline: Instant,
}

/// The response of the owner of one key.
struct PartResponse {
    key: String,
    reply: Reply,
    /// The bytes that have been read: the whole body if it is short, else its start.
    buffered: Bytes,
    /// The rest of a long body, and the permit of its part, which still runs.
    rest: Option<(Body, PartPermit)>,
}

/// A key without a response.
#[derive(Debug, Serialize)]
struct Failure {
    key: String,
    verdict: Verdict,
    reason: Reason,
}

/// The body of the error response to a multi-key request.
#[derive(Debug, Serialize)]
struct ErrorReport {
    /// Keys whose owners gave no response, and keys that were cancelled because of them.
    failed: Vec<Failure>,
    /// The number of keys that had a response before the failure.
    done: usize,
}

/// Runs parts concurrently and yields their results in order.
struct PartStream<F: Future, S> {
    in_flight: FuturesOrdered<F>,
    start: S,
    started: usize,
    count: usize,
}

impl<N: Network> MultiKeyRequest<N> {
    /// Sends each part to the owner of its key and joins the responses.
    pub(crate) async fn run(self) -> Response {
        let registration = self
            .admission
            .scheduler()
            .schedule(self.demand(), self.parts_in_flight_max());
        let registration = match registration.await {
            Ok(registration) => Arc::new(registration),
            Err(Refusal { retry_after }) => {
                return Response::refusal(Verdict::NotRun, Reason::DeadlineHopeless)
                    .with_retry_after(retry_after);
            }
        };
        let request = Arc::new(self);
        let part_request = request.clone();
        let mut parts = PartStream {
            in_flight: FuturesOrdered::new(),
            start: move |index| part_request.clone().part(registration.clone(), index),
            started: 0,
            count: request.keys.len(),
        };
        let mut buffered = Vec::new();
        let mut buffered_bytes = 0;
        loop {
            let part = match parts.next().await {
                None => return complete_response(buffered),
                Some(Ok(part)) => part,
                Some(Err(failure)) => return request.error(failure, buffered.len(), parts.started),
            };
            buffered_bytes += part.buffered.len();
            let is_streamed = part.rest.is_some();
            buffered.push(part);
            if is_streamed || buffered_bytes > RESPONSE_BUFFER_BYTES {
                break;
            }
        }
        let (sender, body) = Body::channel();
        let boundary = boundary();
        let response = multipart_response(&boundary, body);
        tokio::spawn(async move { request.stream(sender, &boundary, buffered, parts).await });
        response
    }

    /// Returns what the scheduler needs to know about this request.
    fn demand(&self) -> Demand {
        Demand {
            parts: self.keys.len(),
            concurrency: self.keys.len().min(PARTS_IN_FLIGHT_MAX),
            deadline: self.deadline,
        }
    }

    /// Returns how many parts of all multi-key requests this daemon may have in flight.
    ///
    /// This is its share of two parts per slot of the service, which keeps every slot busy and one
    /// part queued for each, but at least the parts that one request may have in flight.
    fn parts_in_flight_max(&self) -> usize {
        let slots: u64 = self
            .service
            .upstreams
            .iter()
            .map(|upstream| u64::from(upstream.slots))
            .sum();
        let slots = usize::try_from(slots).unwrap_or(usize::MAX);
        slots
            .saturating_mul(2)
            .div_ceil(self.router.ingress_count().max(1))
            .max(PARTS_IN_FLIGHT_MAX)
    }

    /// Streams parts as they arrive; an early return truncates the response.
    async fn stream<F, S>(
        &self,
        sender: Sender,
        boundary: &str,
        buffered: Vec<PartResponse>,
        mut parts: PartStream<F, S>,
    ) where
        F: Future<Output = Result<PartResponse, Failure>> + Send,
        S: FnMut(usize) -> F + Send,
    {
        for part in buffered {
            if send_part(&sender, boundary, part).await.is_err() {
                return;
            }
        }
        loop {
            let part = tokio::select! {
                biased;
                () = sender.closed() => return,
                part = parts.next() => part,
            };
            match part {
                None => break,
                Some(Ok(part)) => {
                    if send_part(&sender, boundary, part).await.is_err() {
                        return;
                    }
                }
                Some(Err(failure)) => return self.metrics.record_cut(failure.reason),
            }
        }
        if sender.send(closing_delimiter(boundary)).await.is_ok() {
            sender.end().await;
        }
    }

    /// Waits until a part may start, and runs it.
    async fn part(
        self: Arc<Self>,
        registration: Arc<Registration>,
        index: usize,
    ) -> Result<PartResponse, Failure> {
        let Some(mut permit) = registration.permit(index).await else {
            return Err(Failure {
                key: self.keys[index].clone(),
                verdict: Verdict::NotRun,
                reason: Reason::Cancelled,
            });
        };
        let (mut part, rest) = self.fetch(index).await?;
        match rest {
            Some(rest) => part.rest = Some((rest, permit)),
            None => permit.mark_completed(),
        }
        Ok(part)
    }

    /// Sends a part to the owner of its key; retries until there is a response, the deadline is too
    /// close for a further attempt, or the failure is permanent.
    async fn fetch(&self, index: usize) -> Result<(PartResponse, Option<Body>), Failure> {
        let key = &self.keys[index];
        self.admission.record_first_attempt(&self.service);
        let backoff = Backoff::new(BACKOFF_MIN, BACKOFF_MAX);
        let mut attempts = 0;
        loop {
            let request = Request {
                head: parse::part(&self.head, key, &self.service, &self.body),
                body: Body::full(self.body.clone()),
            };
            let response = self.router.send(&self.service, request, self.deadline);
            let response = response.await;
            let retry_after = response.reply.retry_after.unwrap_or_default();
            let failure = match buffer_part(key, response).await {
                Ok(part) => return Ok(part),
                Err(failure) => failure,
            };
            if is_permanent(failure.reason) {
                return Err(failure);
            }
            loop {
                attempts += 1;
                let delay = backoff.delay(attempts, &mut rand::rng()).max(retry_after);
                if Instant::now() + delay >= self.deadline {
                    return Err(failure);
                }
                sleep(delay).await;
                if !may_load_server(&failure) || self.admission.take_retry() {
                    break;
                }
            }
            self.metrics.record_retry(failure.reason);
        }
    }

    /// Returns the error response that names the keys without a response; `done` keys had one, and
    /// `started` parts were started.
    fn error(&self, first: Failure, done: usize, started: usize) -> Response {
        let reason = first.reason;
        let cancelled = self.keys.iter().enumerate().skip(done + 1);
        let cancelled = cancelled.map(|(index, key)| Failure {
            key: key.clone(),
            verdict: if index < started {
                Verdict::MayHaveRun
            } else {
                Verdict::NotRun
            },
            reason: Reason::Cancelled,
        });
        let failed: Vec<Failure> = std::iter::once(first).chain(cancelled).collect();
        let may_have_run = failed
            .iter()
            .any(|failure| failure.verdict != Verdict::NotRun);
        let verdict = if may_have_run || done > 0 {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        };
        let mut response = Response::refusal(verdict, reason);
        let content_type = "application/json".as_bytes().to_vec();
        response.reply.headers = vec![("content-type".to_owned(), content_type)];
        let error_report = serde_json::to_vec(&ErrorReport { failed, done });
        response.body = Body::full(error_report.unwrap_or_default());
        response
    }
}

impl<F: Future, S: FnMut(usize) -> F> PartStream<F, S> {
    /// Starts parts up to the limit; returns the result of the next one in order.
    async fn next(&mut self) -> Option<F::Output> {
        while self.in_flight.len() < PARTS_IN_FLIGHT_MAX && self.started < self.count {
            self.in_flight.push_back((self.start)(self.started));
            self.started += 1;
        }
        self.in_flight.next().await
    }
}

/// Buffers the start of a part's response; returns the rest of a body that is too long for the
/// buffer.
async fn buffer_part(
    key: &str,
    response: Response,
) -> Result<(PartResponse, Option<Body>), Failure> {
    let Response { reply, mut body } = response;
    let failure = |verdict, reason| Failure {
        key: key.to_owned(),
        verdict,
        reason,
    };
    if reply.verdict != Verdict::Done {
        let reason = reply.reason.unwrap_or(Reason::Protocol);
        return Err(failure(reply.verdict, reason));
    }
    let mut buffered = BytesMut::new();
    let mut rest = None;
    while let Some(chunk) = body.chunk().await {
        let connection_lost = |_: Incomplete| failure(Verdict::MayHaveRun, Reason::ConnectionLost);
        buffered.extend_from_slice(&chunk.map_err(connection_lost)?);
        if buffered.len() > PART_BUFFER_BYTES {
            rest = Some(body);
            break;
        }
    }
    let part = PartResponse {
        key: key.to_owned(),
        reply,
        buffered: buffered.freeze(),
        rest: None,
    };
    Ok((part, rest))
}

/// Returns whether a retry would fail in the same way.
fn is_permanent(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::BadRequest
            | Reason::UnknownService
            | Reason::TooLarge
            | Reason::Quarantined
            | Reason::DeadlinePassed
            | Reason::Protocol
            | Reason::Cancelled
    )
}

/// Returns whether the request may have reached a server, so that a retry adds load.
fn may_load_server(failure: &Failure) -> bool {
    let reached = matches!(failure.reason, Reason::Shed | Reason::Fenced);
    reached || failure.verdict == Verdict::MayHaveRun
}

fn boundary() -> String {
    Uuid::new_v4().simple().to_string()
}

/// Returns the response with all parts.
fn complete_response(parts: Vec<PartResponse>) -> Response {
    let boundary = boundary();
    let mut bytes = BytesMut::new();
    for part in parts {
        bytes.extend_from_slice(&part_head(&boundary, &part));
        bytes.extend_from_slice(&part.buffered);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(&closing_delimiter(&boundary));
    multipart_response(&boundary, Body::full(bytes))
}

fn multipart_response(boundary: &str, body: Body) -> Response {
    let content_type = format!("multipart/mixed; boundary={boundary}");
    let reply = Reply {
        status: 200,
        headers: vec![("content-type".to_owned(), content_type.into_bytes())],
        verdict: Verdict::Done,
        reason: None,
        retry_after: None,
    };
    Response { reply, body }
}

async fn send_part(sender: &Sender, boundary: &str, part: PartResponse) -> Result<(), Incomplete> {
    sender.send(part_head(boundary, &part)).await?;
    sender.send(part.buffered).await?;
    if let Some((mut rest, _permit)) = part.rest {
        loop {
            let chunk = tokio::select! {
                biased;
                () = sender.closed() => return Err(Incomplete),
                chunk = rest.chunk() => chunk,
            };
            match chunk {
                Some(chunk) => sender.send(chunk?).await?,
                None => break,
            }
        }
    }
    sender.send("\r\n").await
}

/// Returns the delimiter and the header fields that precede the body of a part.
fn part_head(boundary: &str, part: &PartResponse) -> Bytes {
    let mut bytes = BytesMut::new();
    let line = format!(
        "--{boundary}\r\n{}: {}\r\n{}: {}\r\n",
        header::KEY,
        part.key,
        header::STATUS,
        part.reply.status
    );
    bytes.extend_from_slice(line.as_bytes());
    for (name, value) in &part.reply.headers {
        bytes.extend_from_slice(name.as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.freeze()
}

fn closing_delimiter(boundary: &str) -> Bytes {
    format!("--{boundary}--\r\n").into()
}
