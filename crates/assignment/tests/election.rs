//! In which order daemons try to lead.

use std::time::Duration;

use copperwell_assignment::{DaemonName, election};
use test_case::test_case;

fn candidates() -> Vec<DaemonName> {
    ["one", "two", "three"].map(DaemonName::from).to_vec()
}

#[test]
fn stronger_daemons_try_first_after_their_start() {
    let waits = [0, 100, 200, 500, 1_000, 4_000].map(election::startup_delay);
    assert!(waits.is_sorted_by(|one, other| one >= other), "{waits:?}");
    assert!(waits[1] > waits[3] + Duration::from_millis(100));
    assert_eq!(waits[4], Duration::ZERO);
}

/// The strongest daemons must lead although machines start up to 300 ms apart.
#[test]
fn the_strongest_lead_when_all_start_for_the_first_time() {
    let earliest_weak = election::first_startup_delay(200, 0.0);
    let latest_strong = election::first_startup_delay(500, 1.0) + Duration::from_millis(150);
    assert!(latest_strong < earliest_weak, "{latest_strong:?}");
}

/// Whatever the jitter, each candidate waits less than the next one, and the last one less than
/// daemons that are not candidates.
#[test]
fn candidates_try_in_order() {
    let candidates = candidates();
    let ranks = [Some(0), Some(1), Some(2), None];
    for pair in ranks.windows(2) {
        let longest = election::candidate_delay(pair[0], &candidates)
            + election::max_jitter(pair[0], &candidates, 85);
        assert!(
            longest < election::candidate_delay(pair[1], &candidates),
            "{pair:?}"
        );
    }
    assert_eq!(election::candidate_delay(None, &[]), Duration::ZERO);
}

/// Guards against a weak daemon that leads because all candidates have lost the store for a moment.
#[test_case(None, candidates(), 100, 450; "weak")]
#[test_case(None, candidates(), 500, 250; "strong")]
#[test_case(Some(2), candidates(), 100, 0; "a candidate")]
#[test_case(None, Vec::new(), 100, 0; "no candidates are known")]
fn weaker_daemons_try_later(
    rank: Option<usize>,
    known: Vec<DaemonName>,
    strength: u32,
    expected_ms: u64,
) {
    let delay = election::outsider_delay(rank, &known, strength);
    assert_eq!(delay, Duration::from_millis(expected_ms));
}

#[test_case(None, candidates(), true; "candidates look for the leader")]
#[test_case(Some(1), candidates(), false; "a candidate itself")]
#[test_case(None, Vec::new(), false; "nobody is known who would look for it")]
fn a_broken_connection_is_opened_again(
    rank: Option<usize>,
    known: Vec<DaemonName>,
    expected: bool,
) {
    assert_eq!(election::should_reconnect(rank, &known), expected);
}

#[test_case(candidates(), 100, Duration::ZERO; "candidates are known, and try in order")]
#[test_case(Vec::new(), 1_000, Duration::ZERO; "the strongest there can be")]
#[test_case(Vec::new(), 500, Duration::from_millis(500); "strong")]
#[test_case(Vec::new(), 100, Duration::from_millis(900); "weak")]
fn a_free_lead_is_left_to_others(known: Vec<DaemonName>, strength: u32, expected: Duration) {
    assert_eq!(election::vacancy_patience(&known, strength), expected);
}

#[test_case(100, 500, 4, true; "much stronger")]
#[test_case(100, 500, 3, false; "much stronger, but most do not know yet")]
#[test_case(200, 200, 60, false; "equal")]
#[test_case(300, 500, 60, false; "somewhat stronger")]
#[test_case(0, 0, 60, false; "no strength is known")]
#[test_case(500, 0, 60, false; "alone")]
fn a_leader_steps_down(own: u32, strongest: u32, led_s: u64, expected: bool) {
    let led = Duration::from_secs(led_s);
    assert_eq!(election::should_step_down(own, strongest, led), expected);
}
