//! Recognises requests that come again.

use std::net::IpAddr;

use copperwell_message::Head;
use copperwell_routing::quarantine::Fingerprint;
use http::{header::HOST, request::Parts};

/// Returns the fingerprint of a request, which is the same if its caller sends it again, to any daemon.
///
/// `body` is the start of the body. The id, the deadline and the key of a request are left out: they differ
/// between attempts, or are not looked at by every service.
pub(crate) fn fingerprint_of(caller: IpAddr, parts: &Parts, body: &[u8]) -> Fingerprint {
    let caller = caller.to_canonical().to_string();
    let host = host_of(parts).unwrap_or_default();
    let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
    Head::fingerprint_of(host, &caller, parts.method.as_str(), path, body)
}

/// Returns the host that a request names, in a header field or in its target, without a port.
pub(crate) fn host_of(parts: &Parts) -> Option<&str> {
    let host = match parts.headers.get(HOST) {
        Some(host) => host.to_str().ok()?,
        None => parts.uri.host()?,
    };
    Some(host.split_once(':').map_or(host, |(name, _)| name))
}

#[cfg(test)]
mod tests;
