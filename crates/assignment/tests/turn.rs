//! In which order daemons try to lead.

use std::time::Duration;

use copperwell_assignment::{DaemonName, turn};
use test_case::test_case;

fn heirs() -> Vec<DaemonName> {
    ["one", "two", "three"].map(DaemonName::from).to_vec()
}

#[test]
fn stronger_daemons_try_first_after_their_start() {
    let waits = [0, 100, 200, 500, 1_000, 4_000].map(turn::first);
    assert!(waits.is_sorted_by(|one, other| one >= other), "{waits:?}");
    assert!(waits[1] > waits[3] + Duration::from_millis(100));
    assert_eq!(waits[4], Duration::ZERO);
}

/// Machines start up to 300 ms apart, and the strongest lead all the same.
#[test]
fn the_strongest_lead_when_all_start_for_the_first_time() {
    let earliest_weak = turn::first_start(200, 0.0);
    let latest_strong = turn::first_start(500, 1.0) + Duration::from_millis(150);
    assert!(latest_strong < earliest_weak, "{latest_strong:?}");
}

/// No heir waits as long as the one after it, whatever it draws, nor as those that are none.
#[test]
fn heirs_try_in_turn() {
    let heirs = heirs();
    let ranks = [Some(0), Some(1), Some(2), None];
    for pair in ranks.windows(2) {
        let longest = turn::later(pair[0], &heirs) + turn::jitter(pair[0], &heirs, 85);
        assert!(longest < turn::later(pair[1], &heirs), "{pair:?}");
    }
    assert_eq!(turn::later(None, &[]), Duration::ZERO);
}

#[test_case(100, 500, true; "much stronger")]
#[test_case(200, 200, false; "equal")]
#[test_case(300, 500, false; "somewhat stronger")]
#[test_case(0, 0, false; "nobody says")]
#[test_case(500, 0, false; "alone")]
fn a_leader_gives_way(own: u32, strongest: u32, expected: bool) {
    assert_eq!(turn::gives_way(own, strongest), expected);
}
