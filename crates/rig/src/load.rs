//! Offers load in an open loop: requests start when they are due, however slow the answers are.

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

/// Time that a caller grants beyond its deadline before it hangs up.
const PATIENCE: Duration = Duration::from_secs(2);

/// The pause before a caller sends a request again that has no answer.
const RESEND_PAUSE: Duration = Duration::from_millis(300);

/// The entry daemons, as the platform's balancer knows them.
#[derive(Debug, Clone, Default)]
pub struct Entries {
    addresses: Arc<RwLock<Vec<SocketAddr>>>,
    next: Arc<AtomicU64>,
}

/// How callers behave.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The deadline that they name.
    pub deadline: Duration,
    /// How often they send a request again that came back without the owner's answer.
    pub resends: u32,
}

/// What became of an offer.
#[derive(Debug, Clone)]
pub struct Result {
    /// The offer.
    pub offer: Offer,
    /// When it was due.
    pub due: Instant,
    /// Its idempotency key, if it is not repeatable.
    pub id: Option<Uuid>,
    /// The verdict of each sending, the last one last.
    pub verdicts: Vec<Verdict>,
    /// The reason of the last sending without an answer.
    pub reason: Option<Reason>,
    /// From the time it was due to the end of the last answer.
    pub latency: Duration,
    /// Whether the answer was another request's, or not whole.
    pub wrong: bool,
    /// What the owner answered, but for who it is: a hash of key, path and body.
    pub content: Option<u64>,
}

/// An answer to one sending.
struct Answer {
    verdict: Verdict,
    reason: Option<Reason>,
    wrong: bool,
    content: Option<u64>,
}

impl Entries {
    /// The given daemons.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self {
            addresses: Arc::new(RwLock::new(addresses)),
            next: Arc::default(),
        }
    }

    /// Replaces the daemons.
    pub fn set(&self, addresses: Vec<SocketAddr>) {
        *self
            .addresses
            .write()
            .unwrap_or_else(PoisonError::into_inner) = addresses;
    }

    /// The next daemon in turn.
    #[must_use]
    pub fn next(&self) -> Option<SocketAddr> {
        let addresses = self
            .addresses
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        let index = turn.checked_rem(addresses.len() as u64)?;
        addresses.get(usize::try_from(index).ok()?).copied()
    }
}

/// Offers the load and waits for all answers.
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

struct Sender {
    client: Client<HttpConnector, Full<Bytes>>,
    entries: Entries,
    caller: Caller,
}

impl Sender {
    async fn offer(&self, offer: Offer, due: Instant) -> Result {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let id = offer.once.map(|once| once.id(unix));
        let mut verdicts = Vec::new();
        loop {
            let answer = self.send(&offer, id).await;
            verdicts.push(answer.verdict);
            let again = answer.verdict != Verdict::Done && !answer.wrong;
            if again && verdicts.len() <= self.caller.resends as usize {
                sleep(RESEND_PAUSE).await;
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
        let until = Instant::now() + self.caller.deadline + PATIENCE;
        // A daemon that refuses the connection is one that the balancer would not have chosen.
        while Instant::now() < until {
            let Some(entry) = self.entries.next() else {
                break;
            };
            let request = self.request(entry, offer, id);
            match timeout_at(until, self.client.request(request)).await {
                Ok(Ok(response)) => return read(offer, response, until).await,
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

async fn read(offer: &Offer, response: Response<Incoming>, until: Instant) -> Answer {
    let (parts, body) = response.into_parts();
    let field = |name: &str| {
        parts
            .headers
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    let verdict = field("copperwell-verdict").and_then(Verdict::parse);
    let reason = field("copperwell-reason").and_then(Reason::parse);
    let whole = match timeout_at(until, body.collect()).await {
        Ok(Ok(whole)) => Some(whole.to_bytes()),
        Ok(Err(_)) | Err(_) => None,
    };
    let verdict = verdict.unwrap_or(Verdict::MayHaveRun);
    match (verdict, whole) {
        // A body that was cut short is no answer, and the caller can tell.
        (Verdict::Done, None) => Answer {
            verdict: Verdict::MayHaveRun,
            reason,
            wrong: false,
            content: None,
        },
        (Verdict::Done, Some(whole)) => {
            let answer = serde_json::from_slice(&whole).unwrap_or_default();
            Answer {
                verdict,
                reason,
                wrong: parts.status != StatusCode::OK || !is_own(offer, &answer),
                content: Some(content_of(&answer)),
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

/// Whether an answer names the key and the number of the request.
fn is_own(offer: &Offer, answer: &Value) -> bool {
    let path = format!("/load/{}", offer.number);
    answer["key"] == offer.key.as_str() && answer["path"] == path
}

/// What any owner would answer.
fn content_of(answer: &Value) -> u64 {
    let parts = ["service", "key", "path", "digest", "length"];
    let text: Vec<String> = parts.iter().map(|part| answer[part].to_string()).collect();
    xxhash_rust::xxh3::xxh3_64(text.join("/").as_bytes())
}
