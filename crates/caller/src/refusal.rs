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
        Reason::NoRoute => "Ask for a host and path that the configuration in force serves.",
        Reason::NoConfiguration => "Send it again once this daemon has read its configuration.",
        Reason::UnreadableRoute => {
            "The configuration says of the route what this release does not know; publish one that it knows, or upgrade."
        }
        Reason::NoUpstream => "Send it again once an upstream of the service is there.",
        Reason::NoRegion => {
            "No server in the regions that the route allows can take it; send the request again later."
        }
        Reason::Overload => "Send it again after a while; the key is asked for too often.",
        Reason::UpstreamFailed => "Find out what it did before it is sent again.",
        Reason::BadRequest => "Correct the request; it fails the same way if it is sent again.",
        Reason::IdempotencyKeyMissing => {
            "Send an idempotency-key header with a fresh UUIDv7, and the same one with a resend."
        }
        Reason::IdempotencyKeyInvalid => {
            "Make the idempotency key a UUIDv7 of the present time, and check the caller's clock."
        }
        Reason::IdempotencyKeyReused => {
            "The idempotency key belongs to another request; make a fresh one for this request."
        }
        Reason::IdempotencyKeyExpired => {
            "The key is older than the service remembers; find out whether the request ran."
        }
        Reason::IdempotencyKeyUnknown => {
            "The key was made under an earlier leader; find out whether the request ran."
        }
        Reason::UnknownService => "Ask for a service that the manifest in force declares.",
        Reason::TooLarge => "Send less; the service declares the largest body.",
        Reason::SlowCaller => "Send the whole request without long pauses.",
        Reason::ServiceLimit | Reason::QueueFull | Reason::Shed | Reason::RetryBudget => {
            "The service is overloaded; send the request again later."
        }
        Reason::CallerShare => {
            "Too many requests of this caller are under way; send fewer at once."
        }
        Reason::DeadlineHopeless => "The deadline could not be met; allow more time or come later.",
        Reason::DeadlinePassed => "The deadline passed before the answer came.",
        Reason::NotLeader | Reason::NoLeader | Reason::Unowned | Reason::LeaseLapsed => {
            "The key has no owner that can be reached at the moment; send the request again."
        }
        Reason::Fenced => "The owner of the key is changing; send the request again.",
        Reason::ConnectionRefused => "The owner could not be reached; send the request again.",
        Reason::ConnectionLost | Reason::ConnectionSilent => {
            "The connection to the owner ended before the answer was whole."
        }
        Reason::Quarantined => "The request crashed servers that ran it; do not send it as it is.",
        Reason::UpstreamLimit | Reason::UpstreamClosed => {
            "The servers take no more requests for now; send the request again later."
        }
        Reason::Stopping => "The daemon is stopping; send the request again.",
        Reason::Cancelled => "The caller went away.",
        Reason::Protocol => "Daemons or servers of different versions may be at work.",
    }
}
