//! How often the platform's list of VMs is read.

use std::time::Duration;

use copperwell_policy::listing::{INTERVAL, Need, Schedule};
use test_case::test_case;
use tokio::time::Instant;

/// Readings within a time for which the same thing is missed.
fn readings(need: Need, listed: usize, time: Duration) -> usize {
    let start = Instant::now();
    let mut schedule = Schedule::new();
    let mut readings = 0;
    let mut now = start;
    while now < start + time {
        if schedule.is_due(need, listed, now) {
            schedule.note(need, listed, now);
            readings += 1;
        }
        now += INTERVAL;
    }
    readings
}

#[test_case(Need::Evidence, 12, 600; "a group that waits reads each second")]
#[test_case(Need::Unlisted, 12, 63; "a member that is never listed, few VMs")]
#[test_case(Need::Rest, 12, 60; "rest, few VMs")]
#[test_case(Need::Evidence, 1100, 600; "a group that waits reads each second, many VMs")]
#[test_case(Need::Unlisted, 1100, 11; "a member that is never listed, many VMs")]
#[test_case(Need::Rest, 1100, 5; "rest, many VMs")]
fn readings_in_ten_minutes(need: Need, listed: usize, expected: usize) {
    let time = Duration::from_mins(10);
    assert_eq!(readings(need, listed, time), expected);
}

#[test]
fn a_new_need_begins_with_its_first_pause() {
    let start = Instant::now();
    let mut schedule = Schedule::new();
    schedule.note(Need::Rest, 1100, start);
    assert!(!schedule.is_due(Need::Rest, 1100, start + INTERVAL));
    assert!(schedule.is_due(Need::Unlisted, 1100, start + INTERVAL));
    schedule.note(Need::Unlisted, 1100, start + INTERVAL);
    schedule.note(Need::Unlisted, 1100, start + 2 * INTERVAL);
    assert!(!schedule.is_due(Need::Unlisted, 1100, start + 3 * INTERVAL));
    assert!(schedule.is_due(Need::Evidence, 1100, start + 3 * INTERVAL));
    schedule.note(Need::Rest, 1100, start + 3 * INTERVAL);
    assert!(schedule.is_due(Need::Unlisted, 1100, start + 4 * INTERVAL));
}
