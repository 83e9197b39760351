//! How requests and answers of one protocol look on a server's connection.

use std::{net::SocketAddr, time::Duration};

use copperwell_message::Reply;
use http::{HeaderMap, StatusCode, request};

/// One protocol that servers speak over HTTP/1.1.
pub trait Framing: Send + Sync + 'static {
    /// What is known of a request.
    type Head: Send + Sync;

    /// The HTTP head of a request to a server.
    ///
    /// # Errors
    ///
    /// [`Unsendable`] if the head cannot be written as HTTP.
    fn head(&self, to: SocketAddr, asked: &Self::Head) -> Result<request::Parts, Unsendable>;

    /// Tells the server how much time is left.
    fn set_deadline(&self, headers: &mut HeaderMap, left: Duration);

    /// What the head of an answer says.
    fn read(&self, asked: &Self::Head, headers: &HeaderMap, status: StatusCode) -> Read;
}

/// What the head of an answer says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Read {
    /// The server ran the request.
    Answer(Reply),
    /// The server did not run the request.
    Refused(Reply),
    /// The answer belongs to another request.
    Foreign,
}

/// Why a head cannot be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unsendable;
