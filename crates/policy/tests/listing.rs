//! Tests of how often the platform's list of VMs is read.

use std::time::Duration;

use copperwell_policy::listing::{INTERVAL_MIN, Need, Schedule};
use test_case::test_case;
use tokio::time::Instant;

/// Counts the reads within `time` while the need stays the same.
fn count_reads(need: Need, listed: usize, time: Duration) -> usize {
    let start = Instant::now();
    let mut schedule = Schedule::new();
    let mut reads = 0;
    let mut now = start;
    while now < start + time {
        if schedule.is_due(need, listed, now) {
            schedule.record_read(need, listed, now);
            reads += 1;
        }
        now += INTERVAL_MIN;
    }
    reads
}

#[test_case(Need::Evidence, 12, 600; "a waiting group causes a read each second")]
#[test_case(Need::Unlisted, 12, 63; "a member that is never listed, few VMs")]
#[test_case(Need::Routine, 12, 60; "routine, few VMs")]
#[test_case(Need::Evidence, 1100, 600; "a waiting group causes a read each second, many VMs")]
#[test_case(Need::Unlisted, 1100, 11; "a member that is never listed, many VMs")]
#[test_case(Need::Routine, 1100, 5; "routine, many VMs")]
fn reads_in_ten_minutes(need: Need, listed: usize, expected: usize) {
    let time = Duration::from_mins(10);
    assert_eq!(count_reads(need, listed, time), expected);
}

#[test]
fn a_new_need_starts_with_its_initial_interval() {
    let start = Instant::now();
    let mut schedule = Schedule::new();
    schedule.record_read(Need::Routine, 1100, start);
    assert!(!schedule.is_due(Need::Routine, 1100, start + INTERVAL_MIN));
    assert!(schedule.is_due(Need::Unlisted, 1100, start + INTERVAL_MIN));
    schedule.record_read(Need::Unlisted, 1100, start + INTERVAL_MIN);
    schedule.record_read(Need::Unlisted, 1100, start + 2 * INTERVAL_MIN);
    assert!(!schedule.is_due(Need::Unlisted, 1100, start + 3 * INTERVAL_MIN));
    assert!(schedule.is_due(Need::Evidence, 1100, start + 3 * INTERVAL_MIN));
    schedule.record_read(Need::Routine, 1100, start + 3 * INTERVAL_MIN);
    assert!(schedule.is_due(Need::Unlisted, 1100, start + 4 * INTERVAL_MIN));
}
