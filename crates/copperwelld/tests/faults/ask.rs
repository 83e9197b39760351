//! A single request that is not repeatable, of which every answer is looked at.

use std::{
    net::SocketAddr,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use copperwell_keyspace::GroupId;
use copperwell_message::{Reason, Verdict};
use copperwell_rig::{probe, schedule::Once};
use copperwell_standin::backend::switch::header::SERVICE_MS;
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use tokio::task::JoinHandle;
use uuid::Uuid;

use crate::support::{Bench, PATIENCE};

/// A request that is not repeatable.
#[derive(Debug, Clone)]
pub(crate) struct Ask {
    /// Its idempotency key.
    pub(crate) id: Uuid,
    path: String,
    service_time: Duration,
}

/// What came back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Answer {
    /// The verdict; `None` if the connection ended without an answer.
    pub(crate) verdict: Option<Verdict>,
    /// The reason for there being no owner's answer.
    pub(crate) reason: Option<Reason>,
    /// The body, whole.
    pub(crate) body: Option<Bytes>,
}

impl Ask {
    /// A request for a key of the group, which runs for some time.
    pub(crate) fn new(bench: &Bench, group: &str, service_time: Duration) -> Self {
        let manifest = &bench.cluster.manifest;
        let service = &manifest.services[0];
        let owners = manifest.initial_owners(service);
        let is_own = |owner: &GroupId| owner.to_string() == group;
        let (index, _) = (0..)
            .zip(owners.iter())
            .find(|(_, owner)| is_own(owner))
            .unwrap();
        let key = probe::key_of(index, service.shards);
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        Self {
            id: Once::new(&mut rand::rng()).id(unix),
            path: format!("{}/{key}/ask", service.name),
            service_time,
        }
    }

    /// Sends it to a daemon.
    pub(crate) fn send(&self, entry: SocketAddr) -> JoinHandle<Answer> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{entry}/{}", self.path))
            .header("idempotency-key", self.id.to_string())
            .header("copperwell-deadline-ms", PATIENCE.as_millis().to_string())
            .header(SERVICE_MS, self.service_time.as_millis().to_string())
            .body(Full::new(Bytes::from_static(b"once")))
            .unwrap();
        tokio::spawn(async move {
            let client = Client::builder(TokioExecutor::new()).build_http();
            match client.request(request).await {
                Ok(response) => {
                    let (parts, body) = response.into_parts();
                    let body = body.collect().await.ok();
                    Answer::new(&parts.headers, body.map(|body| body.to_bytes()))
                }
                Err(_) => Answer::new(&HeaderMap::new(), None),
            }
        })
    }
}

impl Answer {
    fn new(headers: &HeaderMap, body: Option<Bytes>) -> Self {
        let field = |name: &str| headers.get(name)?.to_str().ok();
        Self {
            verdict: field("copperwell-verdict").and_then(Verdict::parse),
            reason: field("copperwell-reason").and_then(Reason::parse),
            body,
        }
    }
}
