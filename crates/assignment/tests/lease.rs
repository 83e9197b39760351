//! Who may take leadership over, and when.

use std::time::Duration;

use copperwell_assignment::lease::{Lapse, Lead, Timing, Watch};
use test_case::test_case;

const TERM: u64 = 7;

const BEAT: u64 = 3;

fn lead() -> Lead {
    Lead {
        name: "one".into(),
        run: 1,
        address: ([127, 0, 0, 1], 7_000).into(),
        term: TERM,
        beat: BEAT,
        number: 1,
        is_over: false,
        grants_end: Duration::ZERO,
    }
}

fn over() -> Lead {
    Lead {
        is_over: true,
        ..lead()
    }
}

fn lapse(term: u64, beat: u64) -> Option<Lapse> {
    Some(Lapse {
        term,
        beat,
        grants_end: Duration::from_secs(5),
    })
}

/// A daemon that has seen the entry unchanged for some time, and was told that a lease has lapsed.
#[test_case(None, 0, None, true; "nobody leads")]
#[test_case(Some(lead()), 0, None, false; "the lease may have been renewed just now")]
#[test_case(Some(lead()), 1_999, None, false; "others are patient")]
#[test_case(Some(lead()), 2_000, None, true; "and not for ever")]
#[test_case(Some(over()), 0, None, true; "the leader has stopped")]
#[test_case(Some(lead()), 0, lapse(TERM, BEAT), true; "the leader says that it may not give orders")]
#[test_case(Some(lead()), 0, lapse(TERM, BEAT + 1), true; "a later write has not arrived")]
#[test_case(Some(lead()), 0, lapse(TERM, BEAT - 1), false; "it has renewed its lease since")]
#[test_case(Some(lead()), 0, lapse(TERM - 1, BEAT), false; "an earlier leader said so")]
fn another_daemon_takes_over(
    entry: Option<Lead>,
    unchanged_ms: u64,
    lapse: Option<Lapse>,
    expected: bool,
) {
    let mut watch = Watch::default();
    let seen = Duration::from_secs(60);
    watch.see(entry.as_ref(), seen);
    if let Some(lapse) = lapse {
        watch.note_lapse(lapse, seen);
    }
    let now = seen + Duration::from_millis(unchanged_ms);
    let address = ([127, 0, 0, 2], 7_000).into();
    let may = watch.may_take_over(entry.as_ref(), "two", address, now, &Timing::default());
    assert_eq!(may, expected);
}
