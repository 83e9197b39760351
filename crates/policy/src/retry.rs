//! Whether a failed attempt may be retried.

use copperwell_message::{Reason, Repeat, Verdict};

/// How a failed attempt may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retry {
    /// Not at all: the failure is the answer.
    Never,
    /// On the upstream that owns the shard by then.
    Anywhere,
    /// On the same upstream only, since the request may have crashed it.
    SameUpstream,
}

/// Decides on a retry after an attempt that ended with `verdict` and `reason`.
#[must_use]
pub fn after(verdict: Verdict, reason: Reason, repeat: Repeat) -> Retry {
    match (verdict, repeat) {
        (Verdict::Done, _) | (Verdict::MayHaveRun, Repeat::Once(_)) => Retry::Never,
        (Verdict::NotRun, _) => after_not_run(reason),
        (Verdict::MayHaveRun, Repeat::Repeatable) => after_may_have_run(reason),
    }
}

fn after_not_run(reason: Reason) -> Retry {
    match reason {
        Reason::ConnectionRefused | Reason::Fenced | Reason::Shed | Reason::LeaseLapsed => {
            Retry::Anywhere
        }
        // The other reasons are final, or don't change within a deadline.
        _ => Retry::Never,
    }
}

fn after_may_have_run(reason: Reason) -> Retry {
    match reason {
        Reason::ConnectionLost => Retry::SameUpstream,
        Reason::ConnectionSilent => Retry::Anywhere,
        _ => Retry::Never,
    }
}
