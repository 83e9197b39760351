//! Names and statuses of verdicts and reasons, and fingerprints.

use std::collections::HashSet;

use copperwell_message::{Head, Reason, Response, Verdict};
use test_case::test_case;

#[test]
fn names_are_read_back() {
    for verdict in [Verdict::Done, Verdict::NotRun, Verdict::MayHaveRun] {
        assert_eq!(Verdict::parse(verdict.as_str()), Some(verdict));
    }
    for reason in Reason::ALL {
        assert_eq!(Reason::parse(reason.as_str()), Some(*reason));
    }
    let names: HashSet<&str> = Reason::ALL.iter().map(|reason| reason.as_str()).collect();
    assert_eq!(names.len(), Reason::ALL.len());
    assert_eq!(Verdict::parse("Done"), None);
    assert_eq!(Reason::parse(""), None);
}

#[test]
fn no_reason_looks_like_a_success() {
    for reason in Reason::ALL {
        assert!((400..600).contains(&reason.status()), "{reason:?}");
        let refusal = Response::refusal(Verdict::NotRun, *reason);
        assert_eq!(refusal.reply.status, reason.status());
        assert_eq!(refusal.reply.reason, Some(*reason));
    }
}

#[test_case(["s", "k", "GET", "/p", ""], ["s", "k", "GET", "/p", ""] => true; "the same")]
#[test_case(["s", "k", "GET", "/p", ""], ["s", "k2", "GET", "/p", ""] => false; "another key")]
#[test_case(["sk", "", "GET", "/p", ""], ["s", "k", "GET", "/p", ""] => false; "parts do not run together")]
#[test_case(["s", "k", "POST", "/p", "1"], ["s", "k", "POST", "/p", "2"] => false; "another body")]
fn fingerprint_tells_requests_apart(one: [&str; 5], other: [&str; 5]) -> bool {
    let of = |[service, key, method, path, body]: [&str; 5]| {
        Head::fingerprint_of(service, key, method, path, body.as_bytes())
    };
    of(one) == of(other)
}
