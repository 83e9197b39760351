//! Whether a request may have run, and why it ended as it did.

use serde::{Deserialize, Serialize};

/// What is known about the execution of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The owner ran the request and its whole answer follows.
    Done,
    /// The request did not run and never will.
    NotRun,
    /// The request may have run, in whole or in part.
    MayHaveRun,
}

impl Verdict {
    /// The value of the `copperwell-verdict` response header.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
        }
    }

    /// Reads a header value; `None` for anything else.
    #[must_use]
    pub fn parse(value: &str) -> Option<Self> {
        match value {
            "done" => Some(Self::Done),
            "not-run" => Some(Self::NotRun),
            "may-have-run" => Some(Self::MayHaveRun),
            _ => None,
        }
    }
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $text:literal, $status:literal;)*) => {
        /// Why a request was refused, retried or left without an answer.
        ///
        /// Each reason is a metric label, so the set is closed.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum Reason { $($(#[$doc])* $name,)* }

        impl Reason {
            /// Every reason, in declaration order.
            pub const ALL: &[Self] = &[$(Self::$name),*];

            /// The metric label and the value of the `copperwell-reason` response header.
            #[must_use]
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// The HTTP status that a caller sees.
            #[must_use]
            pub fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Reads a header value; `None` for anything else.
            #[must_use]
            pub fn parse(value: &str) -> Option<Self> {
                match value { $($text => Some(Self::$name),)* _ => None }
            }
        }
    };
}

reasons! {
    /// The request cannot be understood.
    BadRequest = "bad-request", 400;
    /// A request that is not repeatable came without a UUIDv7 idempotency key.
    IdempotencyKeyMissing = "idempotency-key-missing", 400;
    /// The idempotency key is not a UUIDv7, or from further in the future than clocks may differ.
    IdempotencyKeyInvalid = "idempotency-key-invalid", 400;
    /// The idempotency key was used before for another request.
    IdempotencyKeyReused = "idempotency-key-reused", 422;
    /// The idempotency key is older than the window in which outcomes are kept.
    IdempotencyKeyExpired = "idempotency-key-expired", 409;
    /// The idempotency key is unknown to a leader that took over after it was made.
    IdempotencyKeyUnknown = "idempotency-key-unknown", 409;
    /// No service of this name is in force.
    UnknownService = "unknown-service", 404;
    /// No route fits the request's host and path.
    NoRoute = "no-route", 404;
    /// This daemon knows no configuration yet.
    NoConfiguration = "no-configuration", 503;
    /// No upstream of the service takes requests.
    NoUpstream = "no-upstream", 503;
    /// The key's upstream cannot take all that is asked of it.
    Overload = "overload", 503;
    /// The upstream ran the request and answered that it failed.
    UpstreamFailed = "upstream-failed", 502;
    /// The body or the headers exceed their limit.
    TooLarge = "too-large", 413;
    /// The caller was too slow in sending its request.
    SlowCaller = "slow-caller", 408;
    /// The service's limit of requests at this daemon is reached.
    ServiceLimit = "service-limit", 503;
    /// The caller's fair share of a full queue is used up.
    CallerShare = "caller-share", 429;
    /// The upstream's queue is full.
    QueueFull = "queue-full", 503;
    /// The deadline cannot be met any more, and nothing was sent.
    DeadlineHopeless = "deadline-hopeless", 503;
    /// The deadline passed while the answer was awaited.
    DeadlinePassed = "deadline-passed", 504;
    /// The daemon does not lead the group of this key.
    NotLeader = "not-leader", 503;
    /// No daemon that leads the key's group can be reached.
    NoLeader = "no-leader", 503;
    /// The key's shard has no owner at the moment.
    Unowned = "unowned", 503;
    /// The leader's right to the shard ended before the request was sent.
    LeaseLapsed = "lease-lapsed", 503;
    /// The server refused: it does not own the shard, or has seen a higher epoch.
    Fenced = "fenced", 503;
    /// The server shed the request.
    Shed = "shed", 503;
    /// No connection could be made.
    ConnectionRefused = "connection-refused", 503;
    /// The connection ended after the request was sent.
    ConnectionLost = "connection-lost", 502;
    /// The connection went silent after the request was sent.
    ConnectionSilent = "connection-silent", 504;
    /// The request was refused because it crashed servers that ran it.
    Quarantined = "quarantined", 503;
    /// The retry budget is used up.
    RetryBudget = "retry-budget", 503;
    /// The daemon is stopping.
    Stopping = "stopping", 503;
    /// The caller went away.
    Cancelled = "cancelled", 499;
    /// A hop broke the protocol.
    Protocol = "protocol", 502;
}
