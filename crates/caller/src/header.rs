//! Header fields between callers and ingress.

/// Asked: milliseconds until the caller gives up.
pub const DEADLINE: &str = "copperwell-deadline-ms";
/// Asked: the UUIDv7 that makes a request run at most once.
pub const IDEMPOTENCY: &str = "idempotency-key";
/// Answered: whether the request may have run.
pub const VERDICT: &str = "copperwell-verdict";
/// Answered: why there is no answer from the owner.
pub const REASON: &str = "copperwell-reason";

/// Fields that belong to one connection, so no hop passes them on.
pub(crate) const HOP_BY_HOP: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
];
