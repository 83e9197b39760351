//! Verdicts, which say whether a request may have run, and the reasons for failures.

use serde::{Deserialize, Serialize};

/// What is known about the execution of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The owner ran the request, and its complete answer follows.
    Done,
    /// The request did not run and will not run later.
    NotRun,
    /// The request may have run, in whole or in part.
    MayHaveRun,
}

impl Verdict {
    /// Returns the value of the `copperwell-verdict` response header.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
        }
    }

    /// Parses a header value; returns `None` for an unknown one.
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
        /// Each reason is the value of a metric label, so the set of reasons is closed.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum Reason { $($(#[$doc])* $name,)* }

        impl Reason {
            /// All reasons, in declaration order.
            pub const ALL: &[Self] = &[$(Self::$name),*];

            /// Returns the metric label, also the value of the `copperwell-reason` response header.
            #[must_use]
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// Returns the HTTP status of the response to the caller.
            #[must_use]
            pub fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Parses a header value; returns `None` for an unknown one.
            #[must_use]
            pub fn parse(value: &str) -> Option<Self> {
                match value { $($text => Some(Self::$name),)* _ => None }
            }
        }
    };
}

reasons! {
    /// The request is malformed.
    BadRequest = "bad-request", 400;
    /// The request is not repeatable and has no UUIDv7 idempotency key.
    IdempotencyKeyMissing = "idempotency-key-missing", 400;
    /// The idempotency key is not a UUIDv7, or its time is further ahead than clocks may differ.
    IdempotencyKeyInvalid = "idempotency-key-invalid", 400;
    /// The idempotency key was used before for a different request.
    IdempotencyKeyReused = "idempotency-key-reused", 422;
    /// The idempotency key is older than the window in which outcomes are kept.
    IdempotencyKeyExpired = "idempotency-key-expired", 409;
    /// The idempotency key was created before the current leader took over, which does not know it.
    IdempotencyKeyUnknown = "idempotency-key-unknown", 409;
    /// The manifest in force has no service of this name.
    UnknownService = "unknown-service", 404;
    /// No route matches the request's host and path.
    NoRoute = "no-route", 404;
    /// This daemon has not read a configuration yet.
    NoConfiguration = "no-configuration", 503;
    /// No upstream of the service accepts requests.
    NoUpstream = "no-upstream", 503;
    /// The request was shed because the key's upstream is overloaded.
    Overload = "overload", 503;
    /// The upstream ran the request and reported a failure.
    UpstreamFailed = "upstream-failed", 502;
    /// The body or the headers exceed their limit.
    TooLarge = "too-large", 413;
    /// The caller sent its request too slowly.
    SlowCaller = "slow-caller", 408;
    /// This daemon has reached its limit of requests for the service.
    ServiceLimit = "service-limit", 503;
    /// A limit or queue is full, and the caller has used up its fair share of it.
    CallerShare = "caller-share", 429;
    /// The upstream's queue is full.
    QueueFull = "queue-full", 503;
    /// The deadline can no longer be met, and the request was not sent.
    DeadlineHopeless = "deadline-hopeless", 503;
    /// The deadline passed before the answer arrived.
    DeadlinePassed = "deadline-passed", 504;
    /// The daemon is not the leader of the key's group.
    NotLeader = "not-leader", 503;
    /// No leader of the key's group is reachable.
    NoLeader = "no-leader", 503;
    /// The key's shard has no owner at present.
    Unowned = "unowned", 503;
    /// The lease on the shard expired before the request was sent.
    LeaseLapsed = "lease-lapsed", 503;
    /// The server rejected the request: it does not own the shard, or has seen a higher epoch.
    Fenced = "fenced", 503;
    /// The server shed the request.
    Shed = "shed", 503;
    /// No connection could be established.
    ConnectionRefused = "connection-refused", 503;
    /// The connection was lost after the request was sent.
    ConnectionLost = "connection-lost", 502;
    /// The connection went silent after the request was sent.
    ConnectionSilent = "connection-silent", 504;
    /// The request was refused because it crashed servers that ran it.
    Quarantined = "quarantined", 503;
    /// The retry budget is used up.
    RetryBudget = "retry-budget", 503;
    /// The daemon is stopping.
    Stopping = "stopping", 503;
    /// The caller cancelled the request.
    Cancelled = "cancelled", 499;
    /// The upstream takes no more requests at present, by the limit that it has named.
    UpstreamLimit = "upstream-limit", 503;
    /// A hop violated the protocol.
    Protocol = "protocol", 502;
    /// The upstream has asked for no requests for a time.
    UpstreamClosed = "upstream-closed", 503;
    /// The route exists, but this daemon does not understand it.
    UnreadableRoute = "unreadable-route", 503;
    /// The request may be served in some regions only, and none of them has an upstream for it.
    NoRegion = "no-region", 503;
}
