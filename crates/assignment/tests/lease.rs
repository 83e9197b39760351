//! When another daemon may take over leadership.

use std::time::Duration;

use copperwell_assignment::lease::{Lapse, LeaderEntry, Observer, Timing};
use test_case::test_case;

const TERM: u64 = 7;

const BEAT: u64 = 3;

fn leader() -> LeaderEntry {
    LeaderEntry {
        name: "one".into(),
        run: 1,
        address: ([127, 0, 0, 1], 7_000).into(),
        term: TERM,
        beat: BEAT,
        number: 1,
        is_over: false,
        generation: 0,
        unknown_for: Duration::ZERO,
        grants_end: Duration::ZERO,
    }
}

fn stopped_leader() -> LeaderEntry {
    LeaderEntry {
        is_over: true,
        ..leader()
    }
}

fn lapse(term: u64, beat: u64) -> Option<Lapse> {
    Some(Lapse {
        term,
        beat,
        grants_end: Duration::from_secs(5),
    })
}

/// The daemon has seen the leader's entry unchanged for some time, and may have received the
/// announcement of a lapse.
#[test_case(None, 0, None, Some(Duration::MAX); "there is no leader")]
#[test_case(Some(leader()), 0, None, None; "the lease may have just been renewed")]
#[test_case(Some(leader()), 1_999, None, None; "before the timeout")]
#[test_case(Some(leader()), 2_000, None, Some(Duration::ZERO); "after the timeout")]
#[test_case(Some(leader()), 2_300, None, Some(Duration::from_millis(300)); "some time after the timeout")]
#[test_case(Some(stopped_leader()), 0, None, Some(Duration::ZERO); "the leader has stopped")]
#[test_case(Some(stopped_leader()), 300, None, Some(Duration::from_millis(300)); "the leader stopped before")]
#[test_case(Some(leader()), 0, lapse(TERM, BEAT), Some(Duration::ZERO); "the leader has announced a lapse")]
#[test_case(Some(leader()), 0, lapse(TERM, BEAT + 1), Some(Duration::ZERO); "a later write has not arrived")]
#[test_case(Some(leader()), 0, lapse(TERM, BEAT - 1), None; "the lease was renewed after the lapse")]
#[test_case(Some(leader()), 0, lapse(TERM - 1, BEAT), None; "the lapse is of an earlier term")]
fn another_daemon_takes_over(
    entry: Option<LeaderEntry>,
    unchanged_ms: u64,
    lapse: Option<Lapse>,
    expected: Option<Duration>,
) {
    let mut observer = Observer::default();
    let seen = Duration::from_secs(60);
    observer.observe(entry.as_ref(), seen);
    if let Some(lapse) = lapse {
        observer.record_lapse(lapse, seen);
    }
    let now = seen + Duration::from_millis(unchanged_ms);
    let address = ([127, 0, 0, 2], 7_000).into();
    let vacant_for = observer.vacant_for(entry.as_ref(), "two", address, now, &Timing::default());
    assert_eq!(vacant_for, expected);
}
