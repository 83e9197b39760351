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
    /// Time left until it must be answered.
    pub left: Duration,
}

/// The least time that makes another try worthwhile.
const USEFUL: Duration = Duration::from_millis(20);

/// Whether another try is allowed, if the budget pays for it.
#[must_use]
pub fn may_follow(tried: &Tried) -> bool {
    if tried.sent >= tried.attempts || tried.left < USEFUL {
        return false;
    }
    match tried.verdict {
        Verdict::Done => false,
        Verdict::NotRun => tried.reason != Reason::DeadlineHopeless,
        Verdict::MayHaveRun => tried.is_repeatable && tried.reason != Reason::DeadlinePassed,
    }
}
