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
#[test_case(None, 0, None, true; "there is no leader")]
#[test_case(Some(leader()), 0, None, false; "the lease may have just been renewed")]
#[test_case(Some(leader()), 1_999, None, false; "before the timeout")]
#[test_case(Some(leader()), 2_000, None, true; "after the timeout")]
#[test_case(Some(stopped_leader()), 0, None, true; "the leader has stopped")]
#[test_case(Some(leader()), 0, lapse(TERM, BEAT), true; "the leader has announced a lapse")]
#[test_case(Some(leader()), 0, lapse(TERM, BEAT + 1), true; "a later write has not arrived")]
#[test_case(Some(leader()), 0, lapse(TERM, BEAT - 1), false; "the lease was renewed after the lapse")]
#[test_case(Some(leader()), 0, lapse(TERM - 1, BEAT), false; "the lapse is of an earlier term")]
fn another_daemon_takes_over(
    entry: Option<LeaderEntry>,
    unchanged_ms: u64,
    lapse: Option<Lapse>,
    expected: bool,
) {
    let mut observer = Observer::default();
    let seen = Duration::from_secs(60);
    observer.observe(entry.as_ref(), seen);
    if let Some(lapse) = lapse {
        observer.record_lapse(lapse, seen);
    }
    let now = seen + Duration::from_millis(unchanged_ms);
    let address = ([127, 0, 0, 2], 7_000).into();
    let may_take_over_now =
        observer.may_take_over(entry.as_ref(), "two", address, now, &Timing::default());
    assert_eq!(may_take_over_now, expected);
}
