//! How old the list of upstreams may be.

use std::time::Duration;

use copperwell_routing::freshness::{Ages, Freshness, Use};
use test_case::test_case;
use tokio::time::Instant;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test_case(500)]
#[test_case(2_000)]
#[test_case(2_500)]
#[test_case(3_000)]
#[test_case(30_000)]
fn ages_exceed_the_time_for_which_an_upstream_serves(drain_ms: u64) {
    let drain = ms(drain_ms);
    let ages = Ages::within(drain);
    assert!(
        ages.ask < ages.read && ages.read < ages.read_all,
        "{ages:?}"
    );
    // A daemon that reads the store for itself has the list before it may not send by the old one.
    assert!(ages.read_all < ages.send && ages.send < drain, "{ages:?}");
    assert!(
        ages.read_all + ages.patience < drain + ages.patience / 2,
        "{ages:?}"
    );
}

/// When things happen, by a list whose read started at 0; the last one is when it is judged.
#[derive(Default)]
struct Case {
    late_ms: Option<u64>,
    reading_ms: Option<u64>,
    later_list_ms: Option<u64>,
    now_ms: u64,
}

#[test_case(Case { now_ms: 1_800, ..Case::default() }, Use::Fresh; "young")]
#[test_case(Case { now_ms: 1_801, ..Case::default() }, Use::Awaited; "too old")]
#[test_case(Case { reading_ms: Some(1_500), now_ms: 1_900, ..Case::default() }, Use::Awaited; "a read is under way")]
#[test_case(Case { reading_ms: Some(1_500), now_ms: 2_300, ..Case::default() }, Use::Outdated; "a read takes long")]
#[test_case(Case { late_ms: Some(1_600), now_ms: 1_900, ..Case::default() }, Use::Outdated; "a read has failed")]
#[test_case(Case { late_ms: Some(1_600), later_list_ms: Some(1_700), now_ms: 3_400, ..Case::default() }, Use::Fresh; "a later list came after the failure")]
#[test_case(Case { late_ms: Some(1_600), later_list_ms: Some(1_700), now_ms: 3_600, ..Case::default() }, Use::Awaited; "the later list is too old")]
#[test_case(Case { late_ms: Some(1_600), later_list_ms: Some(1_500), now_ms: 3_600, ..Case::default() }, Use::Outdated; "a read failed after that of the later list")]
fn requests_are_sent_by_a_list_that_is_too_old(case: Case, expected: Use) {
    let start = Instant::now();
    let mut freshness = Freshness::default();
    freshness.set_drain(ms(2_000));
    assert_eq!(freshness.judge(start), Use::Fresh);
    freshness.record_list(start);
    if let Some(at) = case.late_ms {
        freshness.record_late(start + ms(at));
    }
    freshness.record_reading(case.reading_ms.map(|at| start + ms(at)));
    if let Some(at) = case.later_list_ms {
        freshness.record_list(start + ms(at));
    }
    assert_eq!(freshness.judge(start + ms(case.now_ms)), expected);
}

#[test]
fn list_of_an_earlier_read_makes_the_later_one_older() {
    let start = Instant::now();
    let mut freshness = Freshness::default();
    freshness.record_list(start + ms(500));
    freshness.record_list(start);
    assert_eq!(freshness.age(start + ms(800)), Some(ms(300)));
}
