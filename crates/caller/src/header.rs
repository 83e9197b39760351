//! Header fields between callers and ingress.

use http::HeaderMap;

/// Asked: milliseconds until the caller gives up.
pub const DEADLINE: &str = "copperwell-deadline-ms";
/// Asked: the UUIDv7 that makes a request run at most once.
pub const IDEMPOTENCY: &str = "idempotency-key";
/// Answered: whether the request may have run.
pub const VERDICT: &str = "copperwell-verdict";
/// Answered: why there is no answer from the owner.
pub const REASON: &str = "copperwell-reason";
/// Answered, for each part of an answer over several keys: its key.
pub const KEY: &str = "copperwell-key";
/// Answered, for each part of an answer over several keys: its status.
pub const STATUS: &str = "copperwell-status";

/// The prefix of fields that only daemons and servers exchange; callers cannot set them.
const OWN: &str = "copperwell-";

/// Fields that belong to one connection, so no hop passes them on.
const HOP_BY_HOP: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "expect",
    "content-length",
];

/// The fields that the owner of the key gets to see, in order.
pub(crate) fn end_to_end(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let named = headers.get_all(http::header::CONNECTION);
    let named: Vec<String> = named
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let passed = headers.iter().filter(|(name, _)| {
        let name = name.as_str();
        let ours = name.starts_with(OWN) || name == IDEMPOTENCY;
        !ours && !HOP_BY_HOP.contains(&name) && !named.iter().any(|other| other == name)
    });
    passed
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect()
}
