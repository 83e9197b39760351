//! Retry decisions after failed attempts.

use std::time::Duration;

use copperwell_message::{Reason, Verdict};
use copperwell_routing::retry::{Decision, FailedAttempt, decide};
use test_case::test_case;

const RETRY_NOW: Decision = Decision::RetryAfter(Duration::ZERO);

fn failed_attempt(verdict: Verdict, reason: Reason) -> FailedAttempt {
    FailedAttempt {
        verdict,
        reason,
        is_repeatable: false,
        attempts: 1,
        attempts_max: 2,
        is_keyed: false,
        usual_time: Duration::from_millis(200),
        time_left: Duration::from_secs(1),
    }
}

#[test_case(Verdict::NotRun, Reason::Shed, RETRY_NOW; "shed")]
#[test_case(Verdict::NotRun, Reason::ConnectionRefused, RETRY_NOW; "connection refused")]
#[test_case(Verdict::NotRun, Reason::Fenced, RETRY_NOW; "fenced")]
#[test_case(Verdict::NotRun, Reason::DeadlineHopeless, Decision::GiveUp; "deadline hopeless")]
#[test_case(Verdict::MayHaveRun, Reason::ConnectionLost, Decision::GiveUp; "lost")]
#[test_case(Verdict::MayHaveRun, Reason::UpstreamFailed, Decision::GiveUp; "failed")]
fn non_repeatable_request(verdict: Verdict, reason: Reason, expected: Decision) {
    assert_eq!(decide(&failed_attempt(verdict, reason)), expected);
}

#[test_case(Reason::ConnectionLost, RETRY_NOW; "lost")]
#[test_case(Reason::UpstreamFailed, RETRY_NOW; "failed")]
#[test_case(Reason::Protocol, RETRY_NOW; "protocol error")]
#[test_case(Reason::DeadlinePassed, Decision::GiveUp; "deadline passed")]
fn repeatable_request(reason: Reason, expected: Decision) {
    let repeatable = FailedAttempt {
        is_repeatable: true,
        ..failed_attempt(Verdict::MayHaveRun, reason)
    };
    assert_eq!(decide(&repeatable), expected);
}

/// The only upstream that can serve the key is overloaded, unreachable or no longer the holder.
#[test_case(Reason::Shed, Decision::RetryAfter(Duration::from_millis(100)); "shed")]
#[test_case(Reason::ConnectionRefused, Decision::GiveUp; "connection refused")]
#[test_case(Reason::Fenced, RETRY_NOW; "fenced")]
fn keyed_request(reason: Reason, expected: Decision) {
    let keyed = FailedAttempt {
        is_keyed: true,
        ..failed_attempt(Verdict::NotRun, reason)
    };
    assert_eq!(decide(&keyed), expected);
}

/// The upstream may be full, and then resets the connection of a retry at once as well.
#[test]
fn keyed_request_is_sent_again_at_once_after_a_reset() {
    let keyed = FailedAttempt {
        is_keyed: true,
        is_repeatable: true,
        ..failed_attempt(Verdict::MayHaveRun, Reason::ConnectionLost)
    };
    let delay = Duration::from_millis(100);
    assert_eq!(decide(&keyed), Decision::RetryAfter(delay));
}

#[test_case(FailedAttempt { attempts: 2, ..failed_attempt(Verdict::NotRun, Reason::Shed) }; "attempts")]
#[test_case(FailedAttempt { time_left: Duration::from_millis(10), ..failed_attempt(Verdict::NotRun, Reason::Shed) }; "time")]
fn limits_are_exhausted(attempt: FailedAttempt) {
    assert_eq!(decide(&attempt), Decision::GiveUp);
}
