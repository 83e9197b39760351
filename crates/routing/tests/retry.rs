//! What may follow a try that failed.

use std::time::Duration;

use copperwell_message::{Reason, Verdict};
use copperwell_routing::retry::{Next, Tried, next};
use test_case::test_case;

const NOW: Next = Next::After(Duration::ZERO);

fn tried(verdict: Verdict, reason: Reason) -> Tried {
    Tried {
        verdict,
        reason,
        is_repeatable: false,
        sent: 1,
        attempts: 2,
        is_keyed: false,
        usual: Duration::from_millis(200),
        left: Duration::from_secs(1),
    }
}

#[test_case(Verdict::NotRun, Reason::Shed, NOW; "no room")]
#[test_case(Verdict::NotRun, Reason::ConnectionRefused, NOW; "nobody listens")]
#[test_case(Verdict::NotRun, Reason::Fenced, NOW; "not the holder")]
#[test_case(Verdict::NotRun, Reason::DeadlineHopeless, Next::Nothing; "too late")]
#[test_case(Verdict::MayHaveRun, Reason::ConnectionLost, Next::Nothing; "lost")]
#[test_case(Verdict::MayHaveRun, Reason::UpstreamFailed, Next::Nothing; "failed")]
fn a_request_that_runs_once(verdict: Verdict, reason: Reason, expected: Next) {
    assert_eq!(next(&tried(verdict, reason)), expected);
}

#[test_case(Reason::ConnectionLost, NOW; "lost")]
#[test_case(Reason::UpstreamFailed, NOW; "failed")]
#[test_case(Reason::Protocol, NOW; "no answer of its own")]
#[test_case(Reason::DeadlinePassed, Next::Nothing; "too late")]
fn a_request_that_may_be_repeated(reason: Reason, expected: Next) {
    let repeatable = Tried {
        is_repeatable: true,
        ..tried(Verdict::MayHaveRun, reason)
    };
    assert_eq!(next(&repeatable), expected);
}

/// The only upstream that can serve it is full, or not there.
#[test_case(Reason::Shed, Next::After(Duration::from_millis(100)); "no room")]
#[test_case(Reason::ConnectionRefused, Next::Nothing; "nobody listens")]
#[test_case(Reason::Fenced, NOW; "not the holder")]
fn a_request_with_a_key(reason: Reason, expected: Next) {
    let keyed = Tried {
        is_keyed: true,
        ..tried(Verdict::NotRun, reason)
    };
    assert_eq!(next(&keyed), expected);
}

#[test_case(Tried { sent: 2, ..tried(Verdict::NotRun, Reason::Shed) }; "attempts")]
#[test_case(Tried { left: Duration::from_millis(10), ..tried(Verdict::NotRun, Reason::Shed) }; "time")]
fn nothing_is_left(tried: Tried) {
    assert_eq!(next(&tried), Next::Nothing);
}
