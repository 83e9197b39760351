//! An open-loop load generator: requests start when they are due, however slow the answers are.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError, RwLock,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::schedule::Offer;
use bytes::Bytes;
use copperwell_message::{Reason, Verdict};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde_json::Value;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until, timeout_at},
};
use uuid::Uuid;

/// How long a caller waits beyond the deadline of a request before it closes the connection.
const DEADLINE_GRACE: Duration = Duration::from_secs(2);

/// The delay before a caller resends a request without an answer.
const RESEND_DELAY: Duration = Duration::from_millis(300);

/// The addresses of the entry daemons, used round robin as by the platform's balancer.
#[derive(Debug, Clone, Default)]
pub struct Entries {
    addresses: Arc<RwLock<Vec<SocketAddr>>>,
    next: Arc<AtomicU64>,
}

/// The behaviour of callers.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The deadline of each request.
    pub deadline: Duration,
    /// The largest number of times that a request without the owner's answer is resent.
    pub resends: u32,
}

/// The result of an offer.
#[derive(Debug, Clone)]
pub struct Result {
    /// The offer.
    pub offer: Offer,
    /// When the request was due.
    pub due: Instant,
    /// The idempotency key, if the request is not repeatable.
    pub id: Option<Uuid>,
    /// The verdict of each attempt, in order.
    pub verdicts: Vec<Verdict>,
    /// The reason that the last attempt failed.
    pub reason: Option<Reason>,
    /// The time from when the request was due to the end of the last answer.
    pub latency: Duration,
    /// Whether the answer belongs to another request, or is malformed.
    pub wrong: bool,
    /// A hash of the parts of the answer that do not depend on which server gave it.
    pub content: Option<u64>,
}

/// The answer to one attempt.
struct Answer {
    verdict: Verdict,
    reason: Option<Reason>,
    wrong: bool,
    content: Option<u64>,
}

impl Entries {
    /// Creates the list from the addresses of daemons.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self {
            addresses: Arc::new(RwLock::new(addresses)),
            next: Arc::default(),
        }
    }

    /// Replaces the list of daemons.
    pub fn set(&self, addresses: Vec<SocketAddr>) {
        *self
            .addresses
            .write()
            .unwrap_or_else(PoisonError::into_inner) = addresses;
    }

    /// Returns the next daemon in round-robin order; `None` if there is none.
    #[must_use]
    pub fn next(&self) -> Option<SocketAddr> {
        let addresses = self
            .addresses
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        let count = self.next.fetch_add(1, Ordering::Relaxed);
        let index = count.checked_rem(addresses.len() as u64)?;
        addresses.get(usize::try_from(index).ok()?).copied()
    }
}

/// Sends the offers when they are due and waits for all results.
pub async fn run(offers: Vec<Offer>, entries: Entries, caller: Caller) -> Vec<Result> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_secs(1)));
    let client = Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(Duration::from_secs(30))
        .build(connector);
    let sender = Arc::new(Sender {
        client,
        entries,
        caller,
    });
    let results = Arc::new(Mutex::new(Vec::with_capacity(offers.len())));
    let start = Instant::now();
    let mut running = JoinSet::new();
    for offer in offers {
        let due = start + offer.at;
        sleep_until(due).await;
        let sender = sender.clone();
        let results = results.clone();
        running.spawn(async move {
            let result = sender.offer(offer, due).await;
            results
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(result);
        });
        while running.try_join_next().is_some() {}
    }
    while running.join_next().await.is_some() {}
    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
    std::mem::take(&mut results)
}

/// Sends requests for the callers.
struct Sender {
    client: Client<HttpConnector, Full<Bytes>>,
    entries: Entries,
    caller: Caller,
}

impl Sender {
    async fn offer(&self, offer: Offer, due: Instant) -> Result {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let id = offer.once.map(|once| once.id(since_epoch));
        let mut verdicts = Vec::new();
        loop {
            let answer = self.send(&offer, id).await;
            verdicts.push(answer.verdict);
            let is_failed = answer.verdict != Verdict::Done && !answer.wrong;
            if is_failed && verdicts.len() <= self.caller.resends as usize {
                sleep(RESEND_DELAY).await;
                continue;
            }
            return Result {
                offer,
                due,
                id,
                verdicts,
                reason: answer.reason,
                latency: due.elapsed(),
                wrong: answer.wrong,
                content: answer.content,
            };
        }
    }

    async fn send(&self, offer: &Offer, id: Option<Uuid>) -> Answer {
        let until = Instant::now() + self.caller.deadline + DEADLINE_GRACE;
        // Tries the next daemon after a refused connection: the platform's balancer would not have
        // chosen a daemon that does not listen.
        while Instant::now() < until {
            let Some(entry) = self.entries.next() else {
                break;
            };
            let request = self.request(entry, offer, id);
            match timeout_at(until, self.client.request(request)).await {
                Ok(Ok(response)) => return read_answer(offer, response, until).await,
                Ok(Err(error)) if error.is_connect() => sleep(Duration::from_millis(20)).await,
                Ok(Err(_)) | Err(_) => break,
            }
        }
        Answer {
            verdict: Verdict::MayHaveRun,
            reason: None,
            wrong: false,
            content: None,
        }
    }

    fn request(&self, entry: SocketAddr, offer: &Offer, id: Option<Uuid>) -> Request<Full<Bytes>> {
        let uri = format!(
            "http://{entry}/{}/{}/load/{}",
            offer.service, offer.key, offer.number
        );
        let deadline = u64::try_from(self.caller.deadline.as_millis()).unwrap_or(u64::MAX);
        let mut builder = Request::builder()
            .uri(uri)
            .header("copperwell-deadline-ms", deadline);
        let mut body = Bytes::new();
        if let Some(id) = id {
            builder = builder
                .method(Method::POST)
                .header("idempotency-key", id.to_string());
            body = Bytes::from(offer.number.to_string());
        }
        builder
            .body(Full::new(body))
            .expect("the parts of a request are valid")
    }
}

async fn read_answer(offer: &Offer, response: Response<Incoming>, until: Instant) -> Answer {
    let (parts, body) = response.into_parts();
    let header = |name: &str| {
        parts
            .headers
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    let verdict = header("copperwell-verdict").and_then(Verdict::parse);
    let reason = header("copperwell-reason").and_then(Reason::parse);
    let content = match timeout_at(until, body.collect()).await {
        Ok(Ok(collected)) => Some(collected.to_bytes()),
        Ok(Err(_)) | Err(_) => None,
    };
    let verdict = verdict.unwrap_or(Verdict::MayHaveRun);
    match (verdict, content) {
        // The caller detects a truncated body and does not count it as an answer.
        (Verdict::Done, None) => Answer {
            verdict: Verdict::MayHaveRun,
            reason,
            wrong: false,
            content: None,
        },
        (Verdict::Done, Some(content)) => {
            let answer = serde_json::from_slice(&content).unwrap_or_default();
            Answer {
                verdict,
                reason,
                wrong: parts.status != StatusCode::OK || !matches_offer(offer, &answer),
                content: Some(content_hash(&answer)),
            }
        }
        (_, _) => Answer {
            verdict,
            reason,
            wrong: false,
            content: None,
        },
    }
}

/// Returns whether an answer has the key and the number of the request.
fn matches_offer(offer: &Offer, answer: &Value) -> bool {
    let path = format!("/load/{}", offer.number);
    answer["key"] == offer.key.as_str() && answer["path"] == path
}

/// Hashes the parts of an answer that are the same from any owner.
fn content_hash(answer: &Value) -> u64 {
    let parts = ["service", "key", "path", "digest", "length"];
    let text: Vec<String> = parts.iter().map(|part| answer[part].to_string()).collect();
    xxhash_rust::xxh3::xxh3_64(text.join("/").as_bytes())
}
