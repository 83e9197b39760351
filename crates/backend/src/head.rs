//! The native framing: converts request heads to HTTP, and HTTP response heads to replies.

use std::{net::SocketAddr, time::Duration};

use crate::{
    framing::{Framing, Read, RequestHash, Unsendable},
    order::header,
    outgoing::Outgoing,
};
use copperwell_keyspace::Epoch;
use copperwell_message::{Body, Head, Reason, Repeat, Reply, Response, Verdict};
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode, Uri,
    header::{
        CONNECTION, CONTENT_LENGTH, EXPECT, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION,
        RETRY_AFTER, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
    },
    request,
};

/// The prefix of the header fields reserved for the native protocol.
const RESERVED_PREFIX: &str = "copperwell-";

/// A request head with the epoch under which it is sent.
#[derive(Debug)]
pub(crate) struct HeadWithEpoch {
    pub(crate) head: Head,
    pub(crate) epoch: Epoch,
}

/// The native framing of Copperwell's protocol.
#[derive(Debug)]
pub(crate) struct Native;

impl Framing for Native {
    type Head = HeadWithEpoch;

    fn head(
        &self,
        to: SocketAddr,
        request_head: &HeadWithEpoch,
    ) -> Result<request::Parts, Unsendable> {
        head_of(to, &request_head.head, request_head.epoch)
    }

    fn set_deadline(&self, headers: &mut HeaderMap, remaining: Duration) {
        let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        headers.insert(header::DEADLINE, HeaderValue::from(remaining_ms));
    }

    fn read(&self, _: &HeadWithEpoch, headers: &HeaderMap, status: StatusCode) -> Read {
        let Some(refusal) = refusal_in(headers, status) else {
            return Read::Answer(reply_of(headers, status));
        };
        let mut reply = Response::refusal(Verdict::NotRun, refusal.reason).reply;
        reply.headers.extend(incarnation_in(headers));
        reply.retry_after = refusal.retry_after;
        Read::Refused {
            reply,
            is_named: false,
        }
    }

    fn repeated_id(&self, _: &HeadWithEpoch) -> Option<RequestHash> {
        None
    }
}

/// Converts a request head to the HTTP head sent to the server at `to`.
fn head_of(to: SocketAddr, head: &Head, epoch: Epoch) -> Result<request::Parts, Unsendable> {
    let (mut parts, ()) = Request::new(()).into_parts();
    parts.method = Method::from_bytes(head.method.as_bytes()).map_err(|_| Unsendable)?;
    parts.uri = Uri::try_from(head.path.as_str()).map_err(|_| Unsendable)?;
    for (name, value) in &head.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).map_err(|_| Unsendable)?;
        let value = HeaderValue::from_bytes(value).map_err(|_| Unsendable)?;
        if passes_to_server(&name) {
            parts.headers.append(name, value);
        }
    }
    let mut fields = Fields(&mut parts.headers);
    fields.set(HOST.as_str(), to.to_string())?;
    fields.set(header::SERVICE, head.service.as_str())?;
    fields.set(header::KEY, encode_key(&head.key))?;
    fields.set(header::SHARD, head.shard.to_string())?;
    fields.set(header::EPOCH, epoch.to_string())?;
    fields.set(header::REQUEST, head.id.to_string())?;
    if let Repeat::Once(key) = head.repeat {
        fields.set(header::IDEMPOTENCY, key.to_string())?;
    }
    Ok(parts)
}

/// Combines a head with a body.
///
/// A streamed body keeps a valid `Content-Length` of the head; for a full body it is recomputed.
pub(crate) fn request_of(mut parts: request::Parts, body: Body) -> Request<Outgoing> {
    if body.as_full().is_some() || !has_valid_length(&parts.headers) {
        parts.headers.remove(CONTENT_LENGTH);
    }
    Request::from_parts(parts, Outgoing::new(body))
}

/// A server's refusal of a request that it did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Refused {
    reason: Reason,
    retry_after: Option<Duration>,
}

/// Returns the refusal in a response, if the server states that the request did not run.
fn refusal_in(headers: &HeaderMap, status: StatusCode) -> Option<Refused> {
    let fallback = match status {
        StatusCode::MISDIRECTED_REQUEST | StatusCode::CONFLICT => Reason::Fenced,
        StatusCode::SERVICE_UNAVAILABLE => Reason::Shed,
        _ => return None,
    };
    let verdict = headers.get(header::VERDICT)?.to_str().ok()?;
    if Verdict::parse(verdict) != Some(Verdict::NotRun) {
        return None;
    }
    let reason = headers.get(header::REASON);
    let reason = reason.and_then(|value| Reason::parse(value.to_str().ok()?));
    Some(Refused {
        reason: reason.filter(is_server_reason).unwrap_or(fallback),
        retry_after: retry_after(headers),
    })
}

/// Returns the reply that carries a server's answer to the caller.
fn reply_of(headers: &HeaderMap, status: StatusCode) -> Reply {
    let headers = headers
        .iter()
        .filter(|(name, _)| passes_to_caller(name))
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect();
    Reply {
        status: status.as_u16(),
        headers,
        verdict: Verdict::Done,
        reason: None,
        retry_after: None,
    }
}

/// Returns the incarnation header of a response, as a header of a reply.
fn incarnation_in(headers: &HeaderMap) -> Option<(String, Vec<u8>)> {
    let value = headers.get(header::INCARNATION)?;
    Some((header::INCARNATION.to_owned(), value.as_bytes().to_vec()))
}

/// Percent-encodes a key for a header field: `%` and all bytes outside of `!` to `~`.
fn encode_key(key: &str) -> String {
    let mut text = String::with_capacity(key.len());
    for byte in key.bytes() {
        if byte.is_ascii_graphic() && byte != b'%' {
            text.push(char::from(byte));
        } else {
            text.push_str(&format!("%{byte:02X}"));
        }
    }
    text
}

/// Header fields that the client sets itself, replacing the caller's.
struct Fields<'a>(&'a mut HeaderMap);

impl Fields<'_> {
    fn set(&mut self, name: &'static str, value: impl AsRef<str>) -> Result<(), Unsendable> {
        let value = HeaderValue::from_str(value.as_ref()).map_err(|_| Unsendable)?;
        self.0.insert(HeaderName::from_static(name), value);
        Ok(())
    }
}

fn passes_to_server(name: &HeaderName) -> bool {
    !is_hop_by_hop(name)
        && !name.as_str().starts_with(RESERVED_PREFIX)
        && name.as_str() != header::IDEMPOTENCY
        && ![HOST, EXPECT].contains(name)
}

fn passes_to_caller(name: &HeaderName) -> bool {
    let is_reserved =
        name.as_str().starts_with(RESERVED_PREFIX) && name.as_str() != header::INCARNATION;
    !is_hop_by_hop(name) && !is_reserved
}

/// Returns whether a header field concerns one connection only.
#[must_use]
pub fn is_hop_by_hop(name: &HeaderName) -> bool {
    [
        CONNECTION,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ]
    .contains(name)
        || ["keep-alive", "proxy-connection"].contains(&name.as_str())
}

/// Returns whether a server may give this reason.
fn is_server_reason(reason: &Reason) -> bool {
    [Reason::Fenced, Reason::Shed, Reason::DeadlineHopeless].contains(reason)
}

fn has_valid_length(headers: &HeaderMap) -> bool {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let first = lengths.next().and_then(|value| value.to_str().ok());
    let is_number = first
        .is_some_and(|text| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit()));
    is_number && lengths.next().is_none()
}

/// Returns the timeout of a `Keep-Alive` header field, in whole seconds.
pub(crate) fn keep_alive_in(headers: &HeaderMap) -> Option<Duration> {
    let fields = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = fields
        .split(',')
        .find_map(|field| field.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(RETRY_AFTER)?.to_str().ok()?;
    text.parse().ok().map(Duration::from_secs)
}
