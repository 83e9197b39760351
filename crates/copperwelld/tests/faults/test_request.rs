//! A single request, of which every answer is looked at.

use std::{
    net::SocketAddr,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use copperwell_keyspace::GroupId;
use copperwell_message::{Reason, Verdict};
use copperwell_rig::{probe, schedule::Once};
use copperwell_standin::backend::{Echo, switch::header::SERVICE_MS};
use http::{HeaderMap, Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use tokio::task::JoinHandle;
use uuid::Uuid;

use crate::support::{Bench, PATIENCE};

/// A request, which is not repeatable unless said otherwise.
#[derive(Debug, Clone)]
pub(crate) struct Ask {
    /// Its idempotency key.
    pub(crate) id: Uuid,
    /// What its body says.
    pub(crate) body: &'static str,
    key: String,
    path: String,
    method: Method,
    is_repeatable: bool,
    deadline: Duration,
    fields: Vec<(&'static str, String)>,
}

/// What came back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Answer {
    /// The verdict; `None` if the connection ended without an answer.
    pub(crate) verdict: Option<Verdict>,
    /// The reason for there being no owner's answer.
    pub(crate) reason: Option<Reason>,
    /// The body, if it is whole.
    pub(crate) body: Option<Bytes>,
}

impl Ask {
    /// A request for a key of the group, which runs for some time.
    pub(crate) fn new(bench: &Bench, group: &str, service_time: Duration) -> Self {
        let key = key_of(bench, group);
        let service = &bench.cluster.manifest.services[0].name;
        Self {
            id: id_of_age(Duration::ZERO),
            body: "once",
            path: format!("{service}/{key}/ask"),
            key,
            method: Method::POST,
            is_repeatable: false,
            deadline: PATIENCE,
            fields: vec![(SERVICE_MS, service_time.as_millis().to_string())],
        }
    }

    /// One that is repeatable.
    pub(crate) fn repeatable(bench: &Bench, group: &str, service_time: Duration) -> Self {
        Self {
            method: Method::GET,
            is_repeatable: true,
            ..Self::new(bench, group, service_time)
        }
    }

    /// One for a key of each group.
    pub(crate) fn over(bench: &Bench, groups: &[&str]) -> Self {
        let keys: Vec<String> = groups.iter().map(|group| key_of(bench, group)).collect();
        let service = &bench.cluster.manifest.services[0].name;
        Self {
            path: format!("{service}/{}/ask", keys.join(",")),
            ..Self::repeatable(bench, groups[0], Duration::ZERO)
        }
    }

    /// The same with a time limit of its caller's.
    pub(crate) fn with_deadline(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }

    /// The same with a field that the server looks at.
    pub(crate) fn with_field(mut self, name: &'static str, value: impl ToString) -> Self {
        self.fields.push((name, value.to_string()));
        self
    }

    /// The same under another idempotency key.
    pub(crate) fn with_id(mut self, id: Uuid) -> Self {
        self.id = id;
        self
    }

    /// Sends it to a daemon.
    pub(crate) fn send(&self, entry: SocketAddr) -> JoinHandle<Answer> {
        let ask = self.clone();
        tokio::spawn(async move {
            match ask.open(entry).await {
                Some(response) => {
                    let (parts, body) = response.into_parts();
                    let body = body.collect().await.ok();
                    Answer::new(&parts.headers, body.map(|body| body.to_bytes()))
                }
                None => Answer::new(&HeaderMap::new(), None),
            }
        })
    }

    /// Sends it to a daemon and waits for the head of the answer; `None` if none came.
    pub(crate) async fn open(&self, entry: SocketAddr) -> Option<Response<Incoming>> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(format!("http://{entry}/{}", self.path))
            .header(
                "copperwell-deadline-ms",
                self.deadline.as_millis().to_string(),
            );
        if !self.is_repeatable {
            request = request.header("idempotency-key", self.id.to_string());
        }
        for (name, value) in &self.fields {
            request = request.header(*name, value);
        }
        let body = if self.is_repeatable { "" } else { self.body };
        let request = request.body(Full::new(Bytes::from(body))).unwrap();
        let client = Client::builder(TokioExecutor::new()).build_http();
        client.request(request).await.ok()
    }

    /// Whether a whole answer is the one to this request.
    pub(crate) fn is_own(&self, answer: &Answer) -> bool {
        let echo = answer
            .body
            .as_ref()
            .map(|body| serde_json::from_slice(body));
        let Some(Ok(echo)) = echo else { return false };
        let echo: Echo = echo;
        let id = (!self.is_repeatable).then(|| self.id.to_string());
        answer.verdict == Some(Verdict::Done) && echo.key == self.key && echo.idempotency == id
    }
}

/// An idempotency key that was made so long ago.
pub(crate) fn id_of_age(age: Duration) -> Uuid {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    Once::new(&mut rand::rng()).id(unix - age)
}

/// An idempotency key that is to be made so long from now.
pub(crate) fn id_from_ahead(ahead: Duration) -> Uuid {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    Once::new(&mut rand::rng()).id(unix + ahead)
}

/// A key that the group owns at first.
pub(crate) fn key_of(bench: &Bench, group: &str) -> String {
    let manifest = &bench.cluster.manifest;
    let service = &manifest.services[0];
    let owners = manifest.initial_owners(service);
    let is_own = |owner: &GroupId| owner.to_string() == group;
    let (index, _) = (0..)
        .zip(owners.iter())
        .find(|(_, owner)| is_own(owner))
        .unwrap();
    probe::key_of(index, service.shards)
}

impl Answer {
    /// Verdict and reason.
    pub(crate) fn outcome(&self) -> (Option<Verdict>, Option<Reason>) {
        (self.verdict, self.reason)
    }

    fn new(headers: &HeaderMap, body: Option<Bytes>) -> Self {
        let field = |name: &str| headers.get(name)?.to_str().ok();
        Self {
            verdict: field("copperwell-verdict").and_then(Verdict::parse),
            reason: field("copperwell-reason").and_then(Reason::parse),
            body,
        }
    }
}
