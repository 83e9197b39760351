//! A single request whose response is checked.

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

use crate::support::{Harness, LONG_TIMEOUT};

/// A request, which is not repeatable by default.
#[derive(Debug, Clone)]
pub(crate) struct TestRequest {
    /// The idempotency key.
    pub(crate) id: Uuid,
    /// The body.
    pub(crate) body: &'static str,
    key: String,
    path: String,
    method: Method,
    is_repeatable: bool,
    deadline: Duration,
    fields: Vec<(&'static str, String)>,
}

/// A response, as far as it arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct TestResponse {
    /// The verdict, or `None` if the connection ended without a response.
    pub(crate) verdict: Option<Verdict>,
    /// The reason why there is no response from the owner.
    pub(crate) reason: Option<Reason>,
    /// The body, if it is complete.
    pub(crate) body: Option<Bytes>,
}

impl TestRequest {
    /// Creates a request with a service time for a key of the group.
    pub(crate) fn new(harness: &Harness, group: &str, service_time: Duration) -> Self {
        let key = key_of(harness, group);
        let service = &harness.cluster.manifest.services[0].name;
        Self {
            id: id_of_age(Duration::ZERO),
            body: "once",
            path: format!("{service}/{key}/ask"),
            key,
            method: Method::POST,
            is_repeatable: false,
            deadline: LONG_TIMEOUT,
            fields: vec![(SERVICE_MS, service_time.as_millis().to_string())],
        }
    }

    /// Creates a repeatable request with a service time for a key of the group.
    pub(crate) fn repeatable(harness: &Harness, group: &str, service_time: Duration) -> Self {
        Self {
            method: Method::GET,
            is_repeatable: true,
            ..Self::new(harness, group, service_time)
        }
    }

    /// Creates a repeatable request for one key of each group.
    pub(crate) fn multi_key(harness: &Harness, groups: &[&str]) -> Self {
        let keys: Vec<String> = groups.iter().map(|group| key_of(harness, group)).collect();
        let service = &harness.cluster.manifest.services[0].name;
        Self {
            path: format!("{service}/{}/ask", keys.join(",")),
            ..Self::repeatable(harness, groups[0], Duration::ZERO)
        }
    }

    /// Sets the caller's deadline.
    pub(crate) fn with_deadline(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }

    /// Adds a header field that the server evaluates.
    pub(crate) fn with_field(mut self, name: &'static str, value: impl ToString) -> Self {
        self.fields.push((name, value.to_string()));
        self
    }

    /// Sets the idempotency key.
    pub(crate) fn with_id(mut self, id: Uuid) -> Self {
        self.id = id;
        self
    }

    /// Sends the request to a daemon.
    pub(crate) fn send(&self, ingress: SocketAddr) -> JoinHandle<TestResponse> {
        let test_request = self.clone();
        tokio::spawn(async move {
            match test_request.open(ingress).await {
                Some(response) => {
                    let (parts, body) = response.into_parts();
                    let body = body.collect().await.ok();
                    TestResponse::new(&parts.headers, body.map(|body| body.to_bytes()))
                }
                None => TestResponse::new(&HeaderMap::new(), None),
            }
        })
    }

    /// Sends the request to a daemon and waits for the head of the response.
    ///
    /// Returns `None` if there is no response.
    pub(crate) async fn open(&self, ingress: SocketAddr) -> Option<Response<Incoming>> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(format!("http://{ingress}/{}", self.path))
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

    /// Returns whether a response is complete and the one to this request.
    pub(crate) fn is_answered_by(&self, response: &TestResponse) -> bool {
        let echo = response
            .body
            .as_ref()
            .map(|body| serde_json::from_slice(body));
        let Some(Ok(echo)) = echo else { return false };
        let echo: Echo = echo;
        let id = (!self.is_repeatable).then(|| self.id.to_string());
        response.verdict == Some(Verdict::Done) && echo.key == self.key && echo.idempotency == id
    }
}

/// Returns an idempotency key of this age.
pub(crate) fn id_of_age(age: Duration) -> Uuid {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    Once::new(&mut rand::rng()).id(since_epoch - age)
}

/// Returns an idempotency key with a timestamp this far in the future.
pub(crate) fn id_from_future(offset: Duration) -> Uuid {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    Once::new(&mut rand::rng()).id(since_epoch + offset)
}

/// Returns a key that the group owns initially.
pub(crate) fn key_of(harness: &Harness, group: &str) -> String {
    let manifest = &harness.cluster.manifest;
    let service = &manifest.services[0];
    let owners = manifest.initial_owners(service);
    let is_owner = |owner: &GroupId| owner.to_string() == group;
    let (index, _) = (0..)
        .zip(owners.iter())
        .find(|(_, owner)| is_owner(owner))
        .unwrap();
    probe::key_of(index, service.shards)
}

impl TestResponse {
    /// Returns the verdict and the reason.
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
