//! Whether a failed try may be followed by another.

use copperwell_message::{Reason, Repeat, Verdict};

/// What may follow a failed try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retry {
    /// Nothing: the failure is the answer.
    Never,
    /// Another try, wherever the shard's owner is by then.
    Anywhere,
    /// Another try on the same upstream only, since the request may have crashed it.
    SameUpstream,
}

/// Judges a try that ended with `verdict` and `reason`.
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
        // The others are judged to be final, or nothing changes them within a deadline.
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
