//! The protocol that callers and upstreams speak on top of HTTP.

use std::time::Duration;

use copperwell_backend::framing::Framing;
use copperwell_message::Reply;
use copperwell_routing::{
    Key, UpstreamId,
    limit::Rate,
    load::{InvalidReport, Report},
};
use http::{HeaderMap, HeaderValue, Method, Uri};

/// A protocol that callers and upstreams speak over HTTP/1.1.
pub trait Dialect: Framing<Head = Outbound> {
    /// Parses a caller's request metadata from its header fields.
    ///
    /// # Errors
    ///
    /// Returns a description of the invalid field for the caller.
    fn parse_metadata(&self, headers: &HeaderMap) -> Result<Metadata, &'static str>;

    /// Returns the requests a second that an upstream takes from all daemons together, if a reply names them.
    fn limit_in(&self, reply: &Reply) -> Option<Rate>;

    /// Returns what an upstream reports of its load, if a reply does so.
    fn load_in(&self, reply: &Reply) -> Option<Result<Report, InvalidReport>>;

    /// Returns for how long an upstream that turns a request away wants no others of this daemon, if a reply says so.
    fn closed_for(&self, reply: &Reply) -> Option<Duration>;

    /// Returns whether a reply says that its upstream leaves.
    fn is_leaving(&self, reply: &Reply) -> bool;

    /// Adds the protocol's header fields to a response that this daemon generates itself.
    fn set_response_headers(
        &self,
        headers: &mut HeaderMap,
        id: &HeaderValue,
        retry_after: Option<Duration>,
    );
}

/// The metadata of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Metadata {
    /// The request's id, unique for each attempt of the caller.
    pub id: HeaderValue,
    /// How long the caller waits for a response.
    pub deadline: Option<Duration>,
    /// The key, for a service that is partitioned by key.
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
    /// The upstream that the request is addressed to.
    pub upstream: UpstreamId,
}
