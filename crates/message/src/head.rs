//! Heads of requests and replies.

use std::{net::IpAddr, time::Duration};

use crate::{
    body::Body,
    verdict::{Reason, Verdict},
};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// How urgent the requests of a service are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// A person waits for the answer.
    Interactive,
    /// The answer may be late, but must be complete.
    Batch,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// Running it more than once does no harm.
    Repeatable,
    /// It must run at most once, and is identified by its idempotency key, a UUIDv7.
    Once(Uuid),
}

/// The head of a request, as it is sent between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Identifies this request in logs and at servers.
    pub id: Uuid,
    /// The service that the request is for.
    pub service: String,
    /// The key whose owner must answer.
    pub key: String,
    /// The shard of `key` by the manifest that ingress uses.
    pub shard: u32,
    /// The class of the service; batch for a part of a multi-key request.
    pub class: Class,
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    /// Time left until the caller's deadline, measured when the head is written.
    #[serde(with = "millis")]
    pub deadline: Duration,
    /// The caller's address, for fairness between callers.
    pub caller: IpAddr,
    /// A hash of service, key, method, path and start of the body, which is the same for a resend.
    ///
    /// Zero until ingress has read the start of the body; see [`Head::fingerprint_of`].
    pub fingerprint: u64,
    /// The HTTP method.
    pub method: String,
    /// Path and query as they are sent to the server, starting with `/`.
    pub path: String,
    /// End-to-end header fields, in order.
    pub headers: Vec<(String, Vec<u8>)>,
    /// How often the request was forwarded between daemons, at most [`Head::HOPS_MAX`] times.
    pub hops: u8,
}

impl Head {
    /// The largest number of times that a request is forwarded between daemons.
    pub const HOPS_MAX: u8 = 3;

    /// Returns the hash that identifies requests with the same content.
    ///
    /// `body` is the start of the body, up to the number of bytes that ingress buffers.
    #[must_use]
    pub fn fingerprint_of(service: &str, key: &str, method: &str, path: &str, body: &[u8]) -> u64 {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        for part in [
            service.as_bytes(),
            key.as_bytes(),
            method.as_bytes(),
            path.as_bytes(),
            body,
        ] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.digest()
    }
}

/// The head of a reply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// End-to-end header fields, in order.
    pub headers: Vec<(String, Vec<u8>)>,
    /// What is known about the execution of the request.
    pub verdict: Verdict,
    /// Why the owner's answer is missing; `None` with [`Verdict::Done`].
    pub reason: Option<Reason>,
    /// The time after which the caller should retry, if known.
    pub retry_after: Option<Duration>,
}

/// A request: its head and its body.
#[derive(Debug)]
pub struct Request {
    /// The head.
    pub head: Head,
    /// The body.
    pub body: Body,
}

/// A response: its head and its body.
#[derive(Debug)]
pub struct Response {
    /// The head.
    pub reply: Reply,
    /// The body; an error while reading it means that the answer is incomplete.
    pub body: Body,
}

/// Returns whether a status ends a request: 200 to 599, the final ones of RFC 9110.
///
/// A status of 1xx is followed by another one. Beyond these classes a caller cannot know whether to repeat its request.
#[must_use]
pub fn is_final(status: u16) -> bool {
    (200..=599).contains(&status)
}

impl Response {
    /// Creates a response without an answer from the owner.
    #[must_use]
    pub fn refusal(verdict: Verdict, reason: Reason) -> Self {
        Self {
            reply: Reply {
                status: reason.status(),
                headers: Vec::new(),
                verdict,
                reason: Some(reason),
                retry_after: None,
            },
            body: Body::empty(),
        }
    }

    /// Sets the time after which the caller should retry.
    #[must_use]
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.reply.retry_after = Some(after);
        self
    }
}

/// Serializes durations as whole milliseconds.
mod millis {
    use std::time::Duration;

    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(value: &Duration, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_u64(u64::try_from(value.as_millis()).unwrap_or(u64::MAX))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
        u64::deserialize(from).map(Duration::from_millis)
    }
}
