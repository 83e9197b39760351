//! Requests that got no answer, and proof that their upstream has ended.

use std::time::Duration;

use copperwell_policy::unanswered::{PROOF_TIMEOUT, Unanswered};
use test_case::test_case;
use tokio::time::Instant;

#[test_case(1, true; "of the incarnation")]
#[test_case(2, true; "of a later incarnation")]
#[test_case(0, false; "of an earlier incarnation")]
fn proof_counts_whenever_it_comes(ended: u64, expected: bool) {
    let now = Instant::now();
    let later = now + PROOF_TIMEOUT - Duration::from_millis(1);
    let mut lost_first = Unanswered::new();
    assert_eq!(lost_first.record(now, 1, now, "request"), None);
    let proved = lost_first.record_end(later, ended);
    assert_eq!(proved, vec!["request"; usize::from(expected)]);
    let mut ended_first = Unanswered::new();
    assert!(ended_first.record_end(now, ended).is_empty());
    let proved = ended_first.record(later, 1, now, "request");
    assert_eq!(proved.is_some(), expected);
}

#[test]
fn request_is_proved_once() {
    let now = Instant::now();
    let mut unanswered = Unanswered::new();
    unanswered.record(now, 1, now, "request");
    assert_eq!(unanswered.record_end(now, 1), ["request"]);
    assert!(unanswered.record_end(now, 2).is_empty());
}

#[test]
fn request_is_forgotten_without_proof() {
    let now = Instant::now();
    let mut unanswered = Unanswered::new();
    unanswered.record(now, 1, now, "request");
    assert!(unanswered.has_requests());
    let later = now + PROOF_TIMEOUT;
    assert!(unanswered.record_end(later, 1).is_empty());
    assert_eq!(unanswered.take_unproved(later), 1);
    assert_eq!(unanswered.take_unproved(later), 0);
    assert!(unanswered.is_empty(later + PROOF_TIMEOUT));
}

/// A refused connection proves nothing if the server answers afterwards.
#[test_case(1, false; "of the incarnation")]
#[test_case(0, true; "of an earlier incarnation")]
fn answer_refutes_an_earlier_proof(answered: u64, expected: bool) {
    let now = Instant::now();
    let mut unanswered = Unanswered::new();
    unanswered.record_end(now, 1);
    unanswered.record_life(answered);
    assert_eq!(
        unanswered.record(now, 1, now, "request").is_some(),
        expected
    );
}

/// The list of upstreams may still name the run that has ended.
#[test]
fn request_to_an_upstream_that_is_back_is_taken_for_one_of_the_run_before() {
    let now = Instant::now();
    let later = now + Duration::from_secs(3);
    let mut unanswered = Unanswered::new();
    unanswered.record_end(now, 1);
    assert_eq!(unanswered.record(later, 1, later, "request"), None);
    assert_eq!(unanswered.record_end(later, 1), ["request"]);
}

#[test]
fn requests_are_bounded() {
    let now = Instant::now();
    let mut unanswered = Unanswered::new();
    for request in 0..10_000 {
        unanswered.record(now, 1, now, request);
    }
    assert_eq!(unanswered.record_end(now, 1).len(), 256);
}
