//! Requests over several keys: one part for each key, joined in order.
//!
//! Parts run as batch class, a few at a time. What they answer is held back up to a bound, so that
//! a failure can still become an error that names its keys; beyond the bound it is streamed, and a
//! failure cuts the answer short. An answer is never whole without all its parts.

use std::{sync::Arc, time::Duration};

use crate::{
    Network,
    admission::Gate,
    header,
    metrics::Metrics,
    parse,
    route::Router,
    scheduler::{Pass, Turn},
};
use bytes::{Bytes, BytesMut};
use copperwell_keyspace::manifest::Service;
use copperwell_message::{Body, Head, Reason, Reply, Request, Response, Sender, Severed, Verdict};
use copperwell_policy::{
    backoff::Backoff,
    turns::{Hopeless, Want},
};
use futures::{StreamExt, stream::FuturesOrdered};
use serde::Serialize;
use tokio::time::{Instant, sleep};
use uuid::Uuid;

/// Parts under way at a time.
const PARTS_AT_ONCE: usize = 8;

/// Bytes of a part's body that are held; a part that is longer is streamed.
const PART_HELD: usize = 64 << 10;

/// Bytes of all parts that are held before the answer begins.
const HELD: usize = 1 << 20;

/// The first wait before a part is tried again.
const PAUSE_FIRST: Duration = Duration::from_millis(50);

/// The longest wait before a part is tried again.
const PAUSE_MOST: Duration = Duration::from_secs(1);

/// A request over several keys.
#[derive(Debug)]
pub(crate) struct Join<N> {
    pub(crate) router: Arc<Router<N>>,
    pub(crate) service: Arc<Service>,
    pub(crate) gate: Arc<Gate>,
    pub(crate) metrics: Metrics,
    /// The head of the whole; each part has its own key and shard.
    pub(crate) head: Head,
    pub(crate) keys: Vec<String>,
    /// Every part gets the same body.
    pub(crate) body: Bytes,
    pub(crate) deadline: Instant,
}

/// What one key's owner answered.
struct Part {
    key: String,
    reply: Reply,
    /// The first bytes, or all.
    held: Bytes,
    /// What follows the first bytes, and the pass of a part that still runs.
    rest: Option<(Body, Pass)>,
}

/// A key without an answer.
#[derive(Debug, Serialize)]
struct Failure {
    key: String,
    verdict: Verdict,
    reason: Reason,
}

/// What an error over several keys says.
#[derive(Debug, Serialize)]
struct Report {
    /// Keys whose owners gave no answer, and keys that were given up with them.
    failed: Vec<Failure>,
    /// How many keys were answered before that.
    done: usize,
}

/// Parts that run beside each other and come out in order.
struct Parts<F: Future, S> {
    running: FuturesOrdered<F>,
    start: S,
    begun: usize,
    count: usize,
}

impl<N: Network> Join<N> {
    /// Asks the owners of all keys and joins their answers.
    pub(crate) async fn run(self) -> Response {
        let turn = self.gate.rota().turn(self.want(), self.at_once_most());
        let turn = match turn.await {
            Ok(turn) => Arc::new(turn),
            Err(Hopeless { retry_after }) => {
                return Response::refusal(Verdict::NotRun, Reason::DeadlineHopeless)
                    .with_retry_after(retry_after);
            }
        };
        let join = Arc::new(self);
        let asking = join.clone();
        let mut parts = Parts {
            running: FuturesOrdered::new(),
            start: move |index| asking.clone().part(turn.clone(), index),
            begun: 0,
            count: join.keys.len(),
        };
        let mut held = Vec::new();
        let mut size = 0;
        loop {
            let part = match parts.next().await {
                None => return whole(held),
                Some(Ok(part)) => part,
                Some(Err(failure)) => return join.error(failure, held.len(), parts.begun),
            };
            size += part.held.len();
            let is_long = part.rest.is_some();
            held.push(part);
            if is_long || size > HELD {
                break;
            }
        }
        let (to, body) = Body::channel();
        let boundary = boundary();
        let response = answer(&boundary, body);
        tokio::spawn(async move { join.stream(to, &boundary, held, parts).await });
        response
    }

    /// What this request asks of the turns.
    fn want(&self) -> Want {
        Want {
            parts: self.keys.len(),
            at_once: self.keys.len().min(PARTS_AT_ONCE),
            deadline: self.deadline,
        }
    }

    /// Parts of all such requests that this daemon may have under way at a time: its share of what
    /// keeps every slot of the service busy and one part waiting for each, but those of one request
    /// at least.
    fn at_once_most(&self) -> usize {
        let slots: u64 = self
            .service
            .upstreams
            .iter()
            .map(|upstream| u64::from(upstream.slots))
            .sum();
        let slots = usize::try_from(slots).unwrap_or(usize::MAX);
        slots
            .saturating_mul(2)
            .div_ceil(self.router.ingresses().max(1))
            .max(PARTS_AT_ONCE)
    }

    /// Sends parts as they come; returning early cuts the answer short.
    async fn stream<F, S>(
        &self,
        to: Sender,
        boundary: &str,
        held: Vec<Part>,
        mut parts: Parts<F, S>,
    ) where
        F: Future<Output = Result<Part, Failure>> + Send,
        S: FnMut(usize) -> F + Send,
    {
        for part in held {
            if send(&to, boundary, part).await.is_err() {
                return;
            }
        }
        loop {
            let part = tokio::select! {
                biased;
                () = to.closed() => return,
                part = parts.next() => part,
            };
            match part {
                None => break,
                Some(Ok(part)) => {
                    if send(&to, boundary, part).await.is_err() {
                        return;
                    }
                }
                Some(Err(failure)) => return self.metrics.cut(failure.reason),
            }
        }
        if to.send(end(boundary)).await.is_ok() {
            to.end().await;
        }
    }

    /// Waits until a part may begin, and runs it.
    async fn part(self: Arc<Self>, turn: Arc<Turn>, index: usize) -> Result<Part, Failure> {
        let Some(mut pass) = turn.part(index).await else {
            return Err(Failure {
                key: self.keys[index].clone(),
                verdict: Verdict::NotRun,
                reason: Reason::Cancelled,
            });
        };
        let (mut part, rest) = self.fetch(index).await?;
        match rest {
            Some(rest) => part.rest = Some((rest, pass)),
            None => pass.answered(),
        }
        Ok(part)
    }

    /// Asks the owner of one key until it answers, the deadline is near or nothing can change.
    async fn fetch(&self, index: usize) -> Result<(Part, Option<Body>), Failure> {
        let key = &self.keys[index];
        self.gate.first_try(&self.service);
        let backoff = Backoff::new(PAUSE_FIRST, PAUSE_MOST);
        let mut tries = 0;
        loop {
            let request = Request {
                head: parse::part(&self.head, key, &self.service, &self.body),
                body: Body::full(self.body.clone()),
            };
            let response = self.router.send(&self.service, request, self.deadline);
            let response = response.await;
            let asked = response.reply.retry_after.unwrap_or_default();
            let failure = match hold(key, response).await {
                Ok(part) => return Ok(part),
                Err(failure) => failure,
            };
            if is_final(failure.reason) {
                return Err(failure);
            }
            loop {
                tries += 1;
                let pause = backoff.delay(tries, &mut rand::rng()).max(asked);
                if Instant::now() + pause >= self.deadline {
                    return Err(failure);
                }
                sleep(pause).await;
                if !may_load_server(&failure) || self.gate.retry() {
                    break;
                }
            }
            self.metrics.retry(failure.reason);
        }
    }

    /// The error that names the keys without an answer; `done` keys were answered and `begun` begun.
    fn error(&self, first: Failure, done: usize, begun: usize) -> Response {
        let reason = first.reason;
        let given_up = self.keys.iter().enumerate().skip(done + 1);
        let given_up = given_up.map(|(index, key)| Failure {
            key: key.clone(),
            verdict: if index < begun {
                Verdict::MayHaveRun
            } else {
                Verdict::NotRun
            },
            reason: Reason::Cancelled,
        });
        let failed: Vec<Failure> = std::iter::once(first).chain(given_up).collect();
        let ran = failed
            .iter()
            .any(|failure| failure.verdict != Verdict::NotRun);
        let verdict = if ran || done > 0 {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        };
        let mut response = Response::refusal(verdict, reason);
        let json = "application/json".as_bytes().to_vec();
        response.reply.headers = vec![("content-type".to_owned(), json)];
        let report = serde_json::to_vec(&Report { failed, done });
        response.body = Body::full(report.unwrap_or_default());
        response
    }
}

impl<F: Future, S: FnMut(usize) -> F> Parts<F, S> {
    /// The next part in order.
    async fn next(&mut self) -> Option<F::Output> {
        while self.running.len() < PARTS_AT_ONCE && self.begun < self.count {
            self.running.push_back((self.start)(self.begun));
            self.begun += 1;
        }
        self.running.next().await
    }
}

/// Reads the first bytes of an answer.
async fn hold(key: &str, response: Response) -> Result<(Part, Option<Body>), Failure> {
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
    let mut held = BytesMut::new();
    let mut rest = None;
    while let Some(chunk) = body.chunk().await {
        let lost = |_: Severed| failure(Verdict::MayHaveRun, Reason::ConnectionLost);
        held.extend_from_slice(&chunk.map_err(lost)?);
        if held.len() > PART_HELD {
            rest = Some(body);
            break;
        }
    }
    let part = Part {
        key: key.to_owned(),
        reply,
        held: held.freeze(),
        rest: None,
    };
    Ok((part, rest))
}

/// Whether nothing changes the outcome of a further try.
fn is_final(reason: Reason) -> bool {
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

/// Whether the request may have reached a server, so that one more try is one more load.
fn may_load_server(failure: &Failure) -> bool {
    let reached = matches!(failure.reason, Reason::Shed | Reason::Fenced);
    reached || failure.verdict == Verdict::MayHaveRun
}

fn boundary() -> String {
    Uuid::new_v4().simple().to_string()
}

/// The answer with all parts.
fn whole(parts: Vec<Part>) -> Response {
    let boundary = boundary();
    let mut bytes = BytesMut::new();
    for part in parts {
        bytes.extend_from_slice(&head(&boundary, &part));
        bytes.extend_from_slice(&part.held);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(&end(&boundary));
    answer(&boundary, Body::full(bytes))
}

fn answer(boundary: &str, body: Body) -> Response {
    let form = format!("multipart/mixed; boundary={boundary}");
    let reply = Reply {
        status: 200,
        headers: vec![("content-type".to_owned(), form.into_bytes())],
        verdict: Verdict::Done,
        reason: None,
        retry_after: None,
    };
    Response { reply, body }
}

async fn send(to: &Sender, boundary: &str, part: Part) -> Result<(), Severed> {
    to.send(head(boundary, &part)).await?;
    to.send(part.held).await?;
    if let Some((mut rest, _pass)) = part.rest {
        loop {
            let chunk = tokio::select! {
                biased;
                () = to.closed() => return Err(Severed),
                chunk = rest.chunk() => chunk,
            };
            match chunk {
                Some(chunk) => to.send(chunk?).await?,
                None => break,
            }
        }
    }
    to.send("\r\n").await
}

/// What precedes a part's bytes.
fn head(boundary: &str, part: &Part) -> Bytes {
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

fn end(boundary: &str) -> Bytes {
    format!("--{boundary}--\r\n").into()
}
