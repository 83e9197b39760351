//! Decides whether a request is retried after a failed attempt.

use std::time::Duration;

use copperwell_message::{Reason, Verdict};

/// A request after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Whether the request may have run in this attempt.
    pub verdict: Verdict,
    /// Why the attempt failed.
    pub reason: Reason,
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// The number of attempts so far.
    pub attempts: u32,
    /// The most attempts that the route allows.
    pub attempts_max: u32,
    /// Whether the request has a key, which only one upstream can serve.
    pub is_keyed: bool,
    /// How long requests of the route usually take at an upstream.
    pub usual_time: Duration,
    /// The time left until the deadline.
    pub time_left: Duration,
}

/// The least time left for which a retry is worthwhile.
const TIME_LEFT_MIN: Duration = Duration::from_millis(20);

/// The delay before a retry at the same upstream that may be full, as a share of the usual time of such requests.
const SHED_DELAY_RATIO: f64 = 0.5;

/// Whether a retry is allowed, provided that the retry budget is not exhausted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// No retry: the failure is final.
    GiveUp,
    /// A retry after this delay.
    RetryAfter(Duration),
}

/// Decides whether a request is retried after a failed attempt.
///
/// Only one upstream can serve a request with a key. If it sheds load, or resets the connection as some upstreams do
/// that are full, the retry waits for some of its requests to end. If it refuses connections, a retry is of no use
/// until the key has another holder.
#[must_use]
pub fn decide(attempt: &FailedAttempt) -> Decision {
    if attempt.attempts >= attempt.attempts_max || attempt.time_left < TIME_LEFT_MIN {
        return Decision::GiveUp;
    }
    let is_allowed = match attempt.verdict {
        Verdict::Done => false,
        Verdict::NotRun => attempt.reason != Reason::DeadlineHopeless,
        Verdict::MayHaveRun => attempt.is_repeatable && attempt.reason != Reason::DeadlinePassed,
    };
    match (is_allowed, attempt.is_keyed, attempt.reason) {
        (false, _, _) | (true, true, Reason::ConnectionRefused) => Decision::GiveUp,
        (true, true, Reason::Shed | Reason::ConnectionLost) => Decision::RetryAfter(
            attempt
                .usual_time
                .mul_f64(SHED_DELAY_RATIO)
                .min(attempt.time_left / 2),
        ),
        _ => Decision::RetryAfter(Duration::ZERO),
    }
}
