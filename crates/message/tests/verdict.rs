//! Tests of verdicts, reasons and fingerprints.

use std::collections::HashSet;

use copperwell_message::{Head, Reason, Response, Verdict};
use test_case::test_case;

#[test]
fn names_are_parsed_back() {
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
fn every_reason_has_an_error_status() {
    for reason in Reason::ALL {
        assert!((400..600).contains(&reason.status()), "{reason:?}");
        let refusal = Response::refusal(Verdict::NotRun, *reason);
        assert_eq!(refusal.reply.status, reason.status());
        assert_eq!(refusal.reply.reason, Some(*reason));
    }
}

#[test_case(["s", "k", "GET", "/p", ""], ["s", "k", "GET", "/p", ""] => true; "same request")]
#[test_case(["s", "k", "GET", "/p", ""], ["s", "k2", "GET", "/p", ""] => false; "different key")]
#[test_case(["sk", "", "GET", "/p", ""], ["s", "k", "GET", "/p", ""] => false; "different boundary")]
#[test_case(["s", "k", "POST", "/p", "1"], ["s", "k", "POST", "/p", "2"] => false; "different body")]
fn fingerprints_are_equal(one: [&str; 5], other: [&str; 5]) -> bool {
    let fingerprint = |[service, key, method, path, body]: [&str; 5]| {
        Head::fingerprint_of(service, key, method, path, body.as_bytes())
    };
    fingerprint(one) == fingerprint(other)
}
