//! Recognises requests that come again.

use std::net::IpAddr;

use copperwell_message::Head;
use copperwell_routing::quarantine::Fingerprint;
use http::{header::HOST, request::Parts};

/// The fingerprint of a request, and the parts that it is made of.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Identity {
    /// The same if the caller sends the request again, to any daemon.
    pub(crate) fingerprint: Fingerprint,
    /// The address of the caller.
    pub(crate) caller: IpAddr,
    /// A hash of method, host and path.
    pub(crate) target: Fingerprint,
    /// A hash of the start of the body.
    pub(crate) body: Fingerprint,
}

impl Identity {
    /// Creates the identity of a request.
    ///
    /// `body` is the start of the body. The caller's address, and the id, the deadline and the key of a request
    /// are left out of the fingerprint: they differ between attempts, or are not looked at by every service. A
    /// caller has several addresses if it runs on several machines, or behind a proxy that changes.
    pub(crate) fn new(caller: IpAddr, parts: &Parts, body: &[u8]) -> Self {
        let caller = caller.to_canonical();
        let host = host_of(parts).unwrap_or_default();
        let method = parts.method.as_str();
        let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
        Self {
            fingerprint: Head::fingerprint_of(host, "", method, path, body),
            caller,
            target: Head::fingerprint_of(host, "", method, path, b""),
            body: Head::fingerprint_of("", "", "", "", body),
        }
    }
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
