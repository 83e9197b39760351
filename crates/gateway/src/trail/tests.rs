//! Tests that no request is said not to have run that may have.

use std::net::SocketAddr;

use super::Trail;
use crate::rejection::Rejection;
use copperwell_message::{Body, Reason, Reply, Response, Verdict};
use test_case::test_case;

use Step::{At, Break, Through, Withdraw};
use Verdict::{Done, MayHaveRun, NotRun};

/// What happens to a request.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// It is sent to an upstream, and the attempt ends with this verdict.
    At(Verdict),
    /// It is sent through another daemon, and the attempt ends with this verdict.
    Through(Verdict),
    /// An upstream is chosen, and left again before the request is sent.
    Withdraw,
    /// It is sent, to an upstream or through another daemon, and the attempt is dropped.
    Break(Way),
}

#[derive(Debug, Clone, Copy)]
enum Way {
    Upstream,
    Helper,
}

fn helper() -> SocketAddr {
    "127.0.0.1:7001".parse().unwrap()
}

fn play(steps: &[Step]) -> Trail {
    let mut trail = Trail::default();
    for step in steps {
        let mut flight = match step {
            At(_) | Withdraw | Break(Way::Upstream) => trail.begin_at("i-1".into()),
            Through(_) | Break(Way::Helper) => trail.begin_through(helper()),
        };
        match step {
            At(verdict) | Through(verdict) => {
                flight.record_sending();
                flight.end(*verdict);
                trail.keep(Err(Rejection::new(Reason::ConnectionLost)), *verdict);
            }
            Withdraw => {
                flight.end(NotRun);
                trail.withdraw();
            }
            Break(_) => flight.record_sending(),
        }
    }
    trail
}

/// Guards against a false "not run" (503 for a booking that a server runs), whichever way a request was sent.
#[test_case(&[], NotRun; "was not sent")]
#[test_case(&[Withdraw], NotRun; "was chosen for an upstream only")]
#[test_case(&[At(NotRun)], NotRun; "was refused by an upstream")]
#[test_case(&[Through(NotRun)], NotRun; "was refused by a helper")]
#[test_case(&[Through(NotRun), Through(NotRun)], NotRun; "was refused by two helpers")]
#[test_case(&[At(MayHaveRun)], MayHaveRun; "may have run at an upstream")]
#[test_case(&[At(Done)], MayHaveRun; "ran at an upstream and failed there")]
#[test_case(&[Through(MayHaveRun)], MayHaveRun; "may have run at a helper")]
#[test_case(&[Break(Way::Upstream)], MayHaveRun; "was broken off at an upstream")]
#[test_case(&[Break(Way::Helper)], MayHaveRun; "was broken off at a helper")]
#[test_case(&[Through(NotRun), Break(Way::Helper)], MayHaveRun; "was refused by a helper and broken off at another")]
#[test_case(&[Break(Way::Helper), At(NotRun)], MayHaveRun; "was broken off at a helper and refused later")]
#[test_case(&[At(MayHaveRun), At(NotRun)], MayHaveRun; "may have run and was refused later")]
#[test_case(&[At(MayHaveRun), Withdraw], MayHaveRun; "may have run and was withdrawn later")]
fn refusal_denies_that_a_request_may_have_run(steps: &[Step], verdict: Verdict) {
    let mut trail = play(steps);
    let refusal = trail.finish(Rejection::stopping()).unwrap_err();
    assert_eq!(refusal.verdict(), verdict);
    let is_promise = matches!(refusal.status().as_u16(), 408 | 421 | 429 | 503);
    assert_eq!(is_promise, verdict == NotRun, "{}", refusal.status());
}

#[test]
fn attempt_that_was_not_sent_counts_as_run_when_it_is_dropped() {
    let mut trail = Trail::default();
    let _ = trail.begin_at("i-1".into());
    let refusal = trail.finish(Rejection::stopping()).unwrap_err();
    assert_eq!(refusal.verdict(), NotRun);
}

/// Guards against another answer in the place of one that an upstream has made.
#[test]
fn later_refusal_replaces_the_answer_of_an_upstream() {
    let mut trail = play(&[At(Done)]);
    let reply = Reply {
        status: 500,
        headers: Vec::new(),
        verdict: Done,
        reason: None,
        retry_after: None,
    };
    let body = Body::empty();
    trail.keep(Ok(Response { reply, body }), MayHaveRun);
    trail.keep(Err(Rejection::new(Reason::Shed)), NotRun);
    let response = trail.finish(Rejection::new(Reason::Shed)).unwrap();
    assert_eq!(response.reply.status, 500);
}

#[test_case(&[At(NotRun)], Reason::ConnectionLost; "by what was kept")]
#[test_case(&[At(NotRun), Break(Way::Helper)], Reason::Stopping; "by the stop that broke off a later attempt")]
#[test_case(&[], Reason::Stopping; "by the stop that came first")]
fn request_ends_for_another_reason(steps: &[Step], reason: Reason) {
    let refusal = play(steps).finish(Rejection::stopping()).unwrap_err();
    assert_eq!(refusal.reason(), reason);
}
