//! The mapping of one protocol's requests and responses to HTTP/1.1.

use std::{net::SocketAddr, time::Duration};

use copperwell_message::Reply;
use http::{HeaderMap, StatusCode, request};

/// A hash of a request's id.
pub type RequestHash = u64;

/// A protocol that servers speak over HTTP/1.1.
pub trait Framing: Send + Sync + 'static {
    /// The protocol's head of a request.
    type Head: Send + Sync;

    /// Converts a request head to the HTTP head sent to the server at `to`.
    ///
    /// # Errors
    ///
    /// [`Unsendable`] if the head cannot be expressed as HTTP.
    fn head(&self, to: SocketAddr, request_head: &Self::Head)
    -> Result<request::Parts, Unsendable>;

    /// Sets the header field that carries the time remaining until the deadline.
    fn set_deadline(&self, headers: &mut HeaderMap, remaining: Duration);

    /// Returns a hash of the id that the server's responses repeat; `None` if they repeat none.
    fn repeated_id(&self, request_head: &Self::Head) -> Option<RequestHash>;

    /// Returns the remaining warm-up time in the head of a health response; zero if it does not state any.
    fn warmup_left(&self, _headers: &HeaderMap) -> Duration {
        Duration::ZERO
    }

    /// Returns the remaining warm-up time of the server of `request_head`; `None` if the head of a health response does
    /// not state it, or is from another server.
    fn warmup_of(
        &self,
        _request_head: &Self::Head,
        _headers: &HeaderMap,
        _status: StatusCode,
    ) -> Option<Duration> {
        None
    }

    /// Interprets the head of a response to the request `request_head`.
    fn read(&self, request_head: &Self::Head, headers: &HeaderMap, status: StatusCode) -> Read;
}

/// The meaning of a response head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Read {
    /// The server ran the request.
    Answer(Reply),
    /// The server did not run the request.
    Refused {
        /// The refusal.
        reply: Reply,
        /// Whether the response repeats the request's id.
        is_named: bool,
    },
    /// The response belongs to another request.
    Foreign,
}

/// The error for a request head that cannot be expressed as HTTP.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unsendable;
