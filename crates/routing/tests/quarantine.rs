//! Only requests that crash upstreams are refused, and then by all daemons.

use std::time::Duration;

use copperwell_routing::quarantine::{Admission, CrashedRun, Fingerprint, Quarantine};
use test_case::test_case;
use tokio::time::Instant;

const REQUEST: Fingerprint = 7;
const OTHER: Fingerprint = 8;

/// When every crash of a test has been known long enough to count.
const SETTLED: Duration = Duration::from_secs(10);

fn at(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

/// A run from `sent` to `ended`, both in milliseconds from `start`; if they are equal, its end is not known.
fn run(start: Instant, upstream: &str, born: u64, [sent, ended]: [u64; 2]) -> CrashedRun {
    CrashedRun {
        upstream: upstream.into(),
        born,
        sent_at: at(start, sent),
        lost_at: (sent != ended).then(|| at(start, ended)),
    }
}

/// Records the crashes of a request at the upstreams named, one after the other.
fn crash(quarantine: &mut Quarantine, request: Fingerprint, upstreams: &str, start: Instant) {
    for (number, upstream) in (0..).zip(upstreams.split(' ')) {
        let sent = 500 * number;
        let run = run(start, upstream, 1, [sent, sent + 10]);
        quarantine.record_crash(request, run, at(start, sent + 10));
    }
}

fn is_refused(quarantine: &Quarantine, request: Fingerprint, now: Instant) -> bool {
    matches!(quarantine.admit(request, now), Admission::Refused(_))
}

#[test_case(&[("a", 1), ("b", 1)], false; "two upstreams")]
#[test_case(&[("a", 1), ("b", 1), ("c", 1)], true; "three upstreams")]
#[test_case(&[("a", 1), ("a", 2), ("a", 3)], true; "three incarnations of one upstream")]
#[test_case(&[("a", 1), ("a", 1), ("a", 1), ("b", 1)], false; "one crash observed several times")]
fn request_is_refused_after_three_crashes(crashes: &[(&str, u64)], expected: bool) {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    for crash in crashes {
        let (upstream, born) = *crash;
        // Observations of one crash have the same time.
        let first = crashes.iter().position(|other| other == crash).unwrap();
        let sent = 500 * first as u64;
        let run = run(start, upstream, born, [sent, sent + 10]);
        quarantine.record_crash(REQUEST, run, start);
    }
    let now = start + SETTLED;
    assert_eq!(quarantine.decide(now), vec![REQUEST; usize::from(expected)]);
    assert_eq!(is_refused(&quarantine, REQUEST, now), expected);
    assert!(!is_refused(&quarantine, OTHER, now));
    // The upstream may have been fixed, so the quarantine expires.
    let later = now + Duration::from_secs(61);
    assert!(!is_refused(&quarantine, REQUEST, later));
}

/// The list of upstreams may still name the run before.
#[test_case([[0, 10], [3_000, 3_010], [6_000, 6_010]], true; "one after the other")]
#[test_case([[0, 400], [100, 410], [200, 700]], false; "at one crash that is noticed late")]
fn crashes_of_an_upstream_that_is_back_before_it_is_listed_count_once(
    times: [[u64; 2]; 3],
    expected: bool,
) {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    for times in times {
        quarantine.record_crash(REQUEST, run(start, "a", 1, times), start);
    }
    let refused = quarantine.decide(start + SETTLED);
    assert_eq!(!refused.is_empty(), expected);
}

#[test_case([[0, 990], [100, 1_000], [400, 1_010]], false; "in flight at the same time")]
#[test_case([[0, 10], [10, 20], [20, 30]], true; "sent on at once")]
#[test_case([[0, 10], [5, 15], [900, 910]], true; "at daemons whose reports differ in transit")]
#[test_case([[0, 0], [500, 500], [1_000, 1_000]], true; "without a sign of when the upstream ended")]
fn only_successive_crashes_count(runs: [[u64; 2]; 3], expected: bool) {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    for (upstream, times) in ["a", "b", "c"].into_iter().zip(runs) {
        quarantine.record_crash(REQUEST, run(start, upstream, 1, times), start);
    }
    let refused = quarantine.decide(start + SETTLED);
    assert_eq!(!refused.is_empty(), expected);
}

/// A request that was merely in flight at a crash is answered elsewhere and must never be refused.
#[test]
fn answer_clears_a_request() {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    for (number, upstream) in (0..).zip(["a", "b", "c", "d", "e"]) {
        let sent = 1_000 * number;
        let crashed = run(start, upstream, 1, [sent, sent + 10]);
        quarantine.record_crash(REQUEST, crashed, at(start, sent + 10));
        quarantine.record_answer(REQUEST, at(start, sent + 500));
        assert!(!quarantine.is_suspect(REQUEST));
        // The crash of a run that was sent before the answer may be found later.
        let found_late = run(start, "late", number, [sent + 100, sent + 100]);
        assert!(!quarantine.record_crash(REQUEST, found_late, at(start, sent + 600)));
    }
    assert_eq!(quarantine.decide(start + SETTLED), []);
}

#[test_case("a b c", "a b", &[REQUEST]; "at two of three crashes")]
#[test_case("a b c", "a b c", &[]; "at all of three crashes")]
#[test_case("a b c d", "a b c", &[REQUEST]; "at three of four crashes")]
fn what_ran_beside_a_crashing_request_is_told_from_it(
    culprits: &str,
    beside: &str,
    expected: &[Fingerprint],
) {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, REQUEST, culprits, start);
    crash(&mut quarantine, OTHER, beside, start);
    let now = start + SETTLED;
    assert_eq!(quarantine.decide(now), expected);
    if !expected.is_empty() {
        assert!(!quarantine.is_suspect(OTHER));
        // The report of a crash that is explained may come late.
        let late = run(start, "a", 1, [0, 10]);
        assert!(!quarantine.record_crash(OTHER, late, now));
    }
}

/// If the same two requests ran at all crashes, the one that ran shorter each time is refused.
#[test]
fn request_that_always_ran_beside_a_crashing_one_is_not_refused() {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    for (number, upstream) in (1..).zip(["a", "b", "c", "d"]) {
        let ended = 1_000 * number;
        let crashed = run(start, upstream, 1, [ended - 10, ended]);
        let beside = run(start, upstream, 1, [ended - 700, ended]);
        quarantine.record_crash(REQUEST, crashed, at(start, ended));
        quarantine.record_crash(OTHER, beside, at(start, ended));
    }
    assert_eq!(quarantine.decide(start + SETTLED), [REQUEST]);
    assert!(!quarantine.is_suspect(OTHER));
}

/// Silent upstreams do not show when they ended.
#[test_case(4, 0; "another crash may tell them apart")]
#[test_case(5, 1; "one of them has to be refused")]
fn two_requests_that_nothing_tells_apart_are_both_refused(crashes: u64, expected: usize) {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    for number in 0..crashes {
        let upstream = number.to_string();
        let silent = run(start, &upstream, 1, [500 * number; 2]);
        quarantine.record_crash(REQUEST, silent.clone(), start);
        quarantine.record_crash(OTHER, silent, start);
    }
    assert_eq!(quarantine.decide(start + SETTLED).len(), expected);
}

/// Reports of what ran at a crash arrive one after the other.
#[test]
fn crash_counts_only_when_all_daemons_had_time_to_report() {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, OTHER, "a b c", start);
    assert_eq!(quarantine.decide(at(start, 1_020)), []);
    crash(&mut quarantine, REQUEST, "a b c d", start);
    assert_eq!(quarantine.decide(start + SETTLED), [REQUEST]);
}

#[test]
fn request_that_crashes_an_upstream_after_its_refusal_is_refused_at_once_and_longer() {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, REQUEST, "a b c", start);
    let mut now = start + SETTLED;
    assert_eq!(quarantine.decide(now), [REQUEST]);
    for (upstream, minutes) in [("d", 2), ("e", 4), ("f", 8), ("g", 10), ("h", 10)] {
        let Admission::Refused(left) = quarantine.admit(REQUEST, now) else {
            panic!("the request is not refused before it crashes {upstream}");
        };
        now += left;
        assert_eq!(quarantine.admit(REQUEST, now), Admission::Apart);
        quarantine.record_crash(REQUEST, run(now, upstream, 1, [0, 10]), at(now, 10));
        now += SETTLED;
        quarantine.remove_expired(now);
        assert_eq!(quarantine.decide(now), [REQUEST]);
        let time = Duration::from_secs(60 * minutes);
        assert_eq!(quarantine.admit(REQUEST, now), Admission::Refused(time));
    }
    // Once it is answered, it is like any other request.
    now += Duration::from_mins(10);
    quarantine.record_answer(REQUEST, now);
    assert_eq!(quarantine.admit(REQUEST, now), Admission::Free);
}

/// Each daemon observes one crash, and all refuse the request once the leader has merged their reports.
#[test]
fn crashes_of_all_daemons_are_merged() {
    let start = Instant::now();
    let now = start + SETTLED;
    let mut leader = Quarantine::default();
    let mut daemons = [(); 3].map(|()| Quarantine::default());
    for (number, daemon) in (0..).zip(&mut daemons) {
        let sent = 500 * number;
        let upstream = ["a", "b", "c"][number as usize];
        daemon.record_crash(REQUEST, run(start, upstream, 1, [sent, sent + 10]), start);
        let report = daemon.take_unreported(start + Duration::from_secs(2));
        leader.merge(&report, start + Duration::from_secs(2));
        // Each observation is reported once, and counts once however often it is reported.
        assert_eq!(daemon.take_unreported(now), []);
        leader.merge(&report, start + Duration::from_secs(2));
    }
    assert_eq!(leader.decide(now), [REQUEST]);
    for daemon in &mut daemons {
        assert!(!is_refused(daemon, REQUEST, now));
        daemon.merge(&leader.shared(now), now);
        assert!(is_refused(daemon, REQUEST, now));
        // A late answer does not lift the quarantine.
        daemon.record_answer(REQUEST, now);
        assert!(is_refused(daemon, REQUEST, now));
    }
}

#[test]
fn answer_at_another_daemon_clears_a_request() {
    let start = Instant::now();
    let now = start + SETTLED;
    let (mut leader, mut other) = (Quarantine::default(), Quarantine::default());
    crash(&mut other, REQUEST, "a b", start);
    leader.merge(&other.take_unreported(now), now);
    other.record_answer(REQUEST, now);
    leader.merge(&other.take_unreported(now), now);
    assert!(!leader.is_suspect(REQUEST));
}

/// The second leader knows of both crashes that the first one was told of.
#[test]
fn crashes_count_after_the_leader_is_lost() {
    let start = Instant::now();
    let (mut leader, mut follower) = (Quarantine::default(), Quarantine::default());
    crash(&mut leader, REQUEST, "a", start);
    crash(&mut follower, REQUEST, "x b", start);
    let told = start + Duration::from_secs(2);
    leader.merge(&follower.take_unreported(told), told);
    follower.merge(&leader.shared(told), told);
    drop(leader);
    let mut next = Quarantine::default();
    follower.report_again();
    next.merge(&follower.take_unreported(told), told);
    assert_eq!(next.decide(start + SETTLED), [REQUEST]);
}

/// All daemons know the same shared requests; a new leader is told only what each has observed itself.
#[test]
fn new_leader_is_told_by_every_daemon_what_all_know() {
    let start = Instant::now();
    let (mut leader, mut follower) = (Quarantine::default(), Quarantine::default());
    crash(&mut leader, REQUEST, "a b", start);
    crash(&mut follower, OTHER, "c", start);
    follower.merge(&leader.shared(start), start);
    follower.report_again();
    let told = follower.take_unreported(start);
    let told: Vec<_> = told.iter().map(|entry| entry.request).collect();
    assert_eq!(told, [OTHER]);
}

#[test]
fn follower_leaves_the_decision_to_a_leader_that_it_hears() {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, REQUEST, "a b c", start);
    let now = start + SETTLED;
    quarantine.follow(now);
    assert_eq!(quarantine.decide(now), []);
    assert_eq!(quarantine.decide(now + Duration::from_secs(2)), [REQUEST]);
}

#[test]
fn new_leader_decides_at_once() {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, REQUEST, "a b c", start);
    let now = start + SETTLED;
    quarantine.follow(now);
    quarantine.lead();
    assert_eq!(quarantine.decide(now), [REQUEST]);
}

/// A message about many requests must fit into a frame.
#[test]
fn messages_are_bounded() {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    for request in 0..1_000 {
        crash(&mut quarantine, request, "a b", start);
    }
    assert_eq!(quarantine.shared(start).len(), 32);
    assert_eq!(quarantine.take_unreported(start).len(), 128);
}

/// Memory is bounded however many requests fail, and refused requests are not evicted by suspected ones.
#[test]
fn tracked_requests_are_bounded() {
    let start = Instant::now();
    let now = start + SETTLED;
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, REQUEST, "a b c", start);
    assert_eq!(quarantine.decide(now), [REQUEST]);
    for request in 100..5_000 {
        quarantine.record_crash(request, run(now, "d", 1, [0, 10]), now);
    }
    assert!(is_refused(&quarantine, REQUEST, now));
    quarantine.remove_expired(now + Duration::from_mins(15));
    assert!(quarantine.is_empty());
}
