//! The human-readable text of refusals.

use copperwell_message::{Body, Reason, Reply, Response, Verdict};

/// A refusal by ingress itself; the request did not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// What exactly is wrong, if more is known than the reason.
    detail: Option<String>,
}

impl Refusal {
    /// Creates a refusal whose `detail` names what is wrong.
    #[must_use]
    pub fn new(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            detail: Some(detail.into()),
        }
    }

    /// Returns the response to the caller.
    #[must_use]
    pub fn response(self) -> Response {
        let mut response = Response::refusal(Verdict::NotRun, self.reason);
        let detail = self.detail.as_deref();
        response.body = body(&response.reply, detail);
        response
    }
}

impl From<Reason> for Refusal {
    fn from(reason: Reason) -> Self {
        Self {
            reason,
            detail: None,
        }
    }
}

/// Returns the body of a refusal: reason and verdict for programs, then sentences for people.
#[must_use]
pub fn body(reply: &Reply, detail: Option<&str>) -> Body {
    let Some(reason) = reply.reason else {
        return Body::empty();
    };
    let name = reason.as_str();
    let verdict = reply.verdict.as_str();
    let remedy = remedy(reason);
    let text = match detail {
        Some(detail) => format!("{name}, {verdict}: {detail} {remedy}\n"),
        None => format!("{name}, {verdict}: {remedy}\n"),
    };
    Body::full(text)
}

/// Returns what the caller can do about a refusal.
fn remedy(reason: Reason) -> &'static str {
    match reason {
        Reason::NoRoute => "Use a host and path that the configuration in force serves.",
        Reason::NoConfiguration => {
            "Send the request again once this daemon has read its configuration."
        }
        Reason::NoUpstream => "Send the request again once the service has an upstream.",
        Reason::Overload => "Send the request again later; its key gets too many requests.",
        Reason::UpstreamFailed => "Find out what the request did before you send it again.",
        Reason::BadRequest => "Correct the request; sent again as it is, it fails the same way.",
        Reason::IdempotencyKeyMissing => {
            "Send an idempotency-key header with a new UUIDv7, and the same one with each retry."
        }
        Reason::IdempotencyKeyInvalid => {
            "Use a UUIDv7 of the present time as idempotency key, and check the caller's clock."
        }
        Reason::IdempotencyKeyReused => {
            "The idempotency key belongs to another request; use a new one for this request."
        }
        Reason::IdempotencyKeyExpired => {
            "The idempotency key is older than the service remembers; check whether the request ran."
        }
        Reason::IdempotencyKeyUnknown => {
            "The idempotency key was created under an earlier leader; check whether the request ran."
        }
        Reason::UnknownService => "Use a service that the manifest in force declares.",
        Reason::TooLarge => "Send a smaller request; the service declares the largest body.",
        Reason::SlowCaller => "Send the whole request without long pauses.",
        Reason::ServiceLimit | Reason::QueueFull | Reason::Shed | Reason::RetryBudget => {
            "The service is overloaded; send the request again later."
        }
        Reason::CallerShare => {
            "Too many requests of this caller are in flight; send fewer at once."
        }
        Reason::DeadlineHopeless => {
            "The deadline could not be met; allow more time or send the request again later."
        }
        Reason::DeadlinePassed => "The deadline passed before the response arrived.",
        Reason::NotLeader | Reason::NoLeader | Reason::Unowned | Reason::LeaseLapsed => {
            "The key has no reachable owner at the moment; send the request again."
        }
        Reason::Fenced => "The owner of the key is changing; send the request again.",
        Reason::ConnectionRefused => "The owner could not be reached; send the request again.",
        Reason::ConnectionLost | Reason::ConnectionSilent => {
            "The connection to the owner ended before the response was complete."
        }
        Reason::Quarantined => "The request crashed servers that ran it; do not send it as it is.",
        Reason::Stopping => "The daemon is stopping; send the request again.",
        Reason::Cancelled => "The caller cancelled the request.",
        Reason::Protocol => "The versions of daemons or servers may be incompatible.",
    }
}
