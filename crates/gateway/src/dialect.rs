//! How callers and upstreams name what a request needs beside HTTP itself.

use std::time::Duration;

use copperwell_backend::framing::Framing;
use copperwell_routing::{Key, UpstreamId};
use http::{HeaderMap, HeaderValue, Method, Uri};

/// One protocol that callers and upstreams speak over HTTP/1.1.
pub trait Dialect: Framing<Head = Outbound> {
    /// Reads what a caller says of its request.
    ///
    /// # Errors
    ///
    /// What is wrong, for the caller.
    fn asked(&self, headers: &HeaderMap) -> Result<Asked, &'static str>;

    /// Marks an answer that this daemon gives itself.
    fn mark(&self, headers: &mut HeaderMap, id: &HeaderValue, retry_after: Option<Duration>);
}

/// What a caller says of its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Asked {
    /// The request's id, which differs from that of every other attempt.
    pub id: HeaderValue,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The key, for a service that is divided by key.
    pub key: Option<Key>,
}

/// A request on its way to an upstream.
#[derive(Debug, Clone)]
pub struct Outbound {
    /// The method.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub target: Uri,
    /// The caller's header fields.
    pub headers: HeaderMap,
    /// The request's id.
    pub id: HeaderValue,
    /// The upstream that is meant.
    pub upstream: UpstreamId,
}
