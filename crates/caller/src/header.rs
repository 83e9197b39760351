//! Header fields between callers and ingress.

use http::HeaderMap;

/// Request header: the time until the caller gives up, in milliseconds.
pub const DEADLINE: &str = "copperwell-deadline-ms";
/// Request header: a UUIDv7 that makes the request run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Response header: whether the request may have run.
pub const VERDICT: &str = "copperwell-verdict";
/// Response header: why there is no response from the owner of the key.
pub const REASON: &str = "copperwell-reason";
/// Part header in the response to a multi-key request: the key of the part.
pub const KEY: &str = "copperwell-key";
/// Part header in the response to a multi-key request: the status of the part.
pub const STATUS: &str = "copperwell-status";

/// The prefix of the header fields that Copperwell defines; those of callers are not forwarded.
const INTERNAL_PREFIX: &str = "copperwell-";

/// Header fields that belong to one connection and are never forwarded.
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

/// Returns the header fields that are forwarded to the owner of the key, in order.
pub(crate) fn forwarded(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let connection_options = headers.get_all(http::header::CONNECTION);
    let connection_options: Vec<String> = connection_options
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let forwarded = headers.iter().filter(|(name, _)| {
        let name = name.as_str();
        let is_internal = name.starts_with(INTERNAL_PREFIX) || name == IDEMPOTENCY_KEY;
        !is_internal
            && !HOP_BY_HOP.contains(&name)
            && !connection_options.iter().any(|other| other == name)
    });
    forwarded
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect()
}
