//! Whether a request that has no answer yet may be sent once more.

use std::time::Duration;

use copperwell_message::{Reason, Verdict};

/// What is known of a request after a try that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tried {
    /// Whether the try may have run.
    pub verdict: Verdict,
    /// Why it failed.
    pub reason: Reason,
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// Upstreams that it was sent to.
    pub sent: u32,
    /// The most upstreams that it may be sent to.
    pub attempts: u32,
    /// Whether only one upstream can serve it.
    pub is_keyed: bool,
    /// How long such requests usually take at an upstream.
    pub usual: Duration,
    /// Time left until it must be answered.
    pub left: Duration,
}

/// The least time that makes another try worthwhile.
const USEFUL: Duration = Duration::from_millis(20);

/// How long a request waits before it goes to the same full upstream again, as a part of the time that
/// such requests take there.
const PAUSE: f64 = 0.5;

/// What may follow a try that failed, if the budget pays for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Nothing: the failure stands.
    Nothing,
    /// Another try after this pause.
    After(Duration),
}

/// What may follow a try that failed.
///
/// A request with a key has one upstream that can serve it. If that one is full, the next try waits
/// for some of its work to end; if nobody listens there, no try helps until the key has another holder.
#[must_use]
pub fn next(tried: &Tried) -> Next {
    if tried.sent >= tried.attempts || tried.left < USEFUL {
        return Next::Nothing;
    }
    let allowed = match tried.verdict {
        Verdict::Done => false,
        Verdict::NotRun => tried.reason != Reason::DeadlineHopeless,
        Verdict::MayHaveRun => tried.is_repeatable && tried.reason != Reason::DeadlinePassed,
    };
    match (allowed, tried.is_keyed, tried.reason) {
        (false, _, _) | (true, true, Reason::ConnectionRefused) => Next::Nothing,
        (true, true, Reason::Shed) => Next::After(tried.usual.mul_f64(PAUSE).min(tried.left / 2)),
        _ => Next::After(Duration::ZERO),
    }
}
