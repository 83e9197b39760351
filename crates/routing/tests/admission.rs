//! Admission of requests while a key's holder is overloaded.

use std::time::Duration;

use copperwell_routing::admission::{Admission, Class};
use test_case::test_case;

const REQUESTS: u32 = 20_000;

/// The requests at the start that are not counted, as the classes are not known yet.
const WARMUP: u32 = 2_000;

/// The requests of one class: priority, work in milliseconds, and how many of 20 requests are of this class.
type Load = (u32, u64, u32);

/// Returns the admitted share of each class.
fn admitted_shares(loads: &[Load], admitted_share: f64) -> Vec<f64> {
    let mut admission = Admission::default();
    let mut counts = vec![(0_u32, 0_u32); loads.len()];
    for number in 0..REQUESTS {
        // A multiplicative hash spreads the classes and the draws evenly, so that the test is deterministic.
        let mut point = number.wrapping_mul(7) % 20;
        let index = loads.iter().position(|(_, _, count)| {
            let is_here = point < *count;
            point = point.wrapping_sub(*count);
            is_here
        });
        let index = index.unwrap();
        let (priority, work_ms, _) = loads[index];
        let class = Class {
            priority,
            work: Duration::from_millis(work_ms),
        };
        let draw = f64::from(number.wrapping_mul(2_654_435_769)) / f64::from(u32::MAX);
        let is_admitted = admission.admit(class, admitted_share, draw);
        if number >= WARMUP {
            counts[index].0 += u32::from(is_admitted);
            counts[index].1 += 1;
        }
    }
    let share = |(admitted, all): &(u32, u32)| f64::from(*admitted) / f64::from(*all);
    counts.iter().map(share).collect()
}

/// Requests of two priorities that require the same work; a quarter is urgent.
///
/// Guards against refusals of urgent requests for which there would be room. The third load left nothing to less urgent
/// requests before they had a floor: a quarter of the mean share, which urgent requests pay.
#[test_case(1.0, 1.0, 1.0; "capacity for all")]
#[test_case(0.7, 1.0, 0.6; "urgent requests first")]
#[test_case(0.2, 0.65, 0.05; "too little for urgent requests")]
fn urgent_requests_are_admitted_first(admits: f64, urgent: f64, others: f64) {
    let shares = admitted_shares(&[(1, 100, 5), (2, 100, 15)], admits);
    assert!((shares[0] - urgent).abs() < 0.03, "{shares:?}");
    assert!((shares[1] - others).abs() < 0.03, "{shares:?}");
}

/// 75 ms at priority 1 beside 470 ms at priority 2, as many of each, on a holder that can do a part of the work.
///
/// Guards against refusals by number: before, as many short urgent requests were refused as if they required as much
/// work as the long ones, of which one makes room for six.
#[test_case(0.9)]
#[test_case(0.67)]
#[test_case(0.4)]
fn short_urgent_requests_lose_almost_nothing(admits: f64) {
    let shares = admitted_shares(&[(1, 75, 10), (2, 470, 10)], admits);
    assert!(shares[0] > 0.98, "{shares:?}");
    let work = (shares[0] * 75.0 + shares[1] * 470.0) / 545.0;
    assert!(work <= admits + 0.01, "{work}");
    // Headroom of a tenth, and no more, is left to urgent requests.
    assert!(work > admits * 0.88, "{work}");
}

/// Guards against a class that is starved: each keeps a quarter of what all get on average, however little it is.
#[test_case(&[(0, 75, 12), (1, 470, 8)], 0.1; "an urgent class takes all")]
#[test_case(&[(0, 300, 18), (1, 75, 2)], 0.3; "a rare less urgent class")]
#[test_case(&[(1, 75, 7), (1, 470, 7), (2, 75, 6)], 0.2; "long ones of the same priority")]
fn no_class_is_starved(loads: &[Load], admits: f64) {
    let shares = admitted_shares(loads, admits);
    let counts = loads.iter().map(|(_, _, count)| f64::from(*count));
    let mean: f64 = counts
        .zip(&shares)
        .map(|(count, share)| count * share)
        .sum();
    let mean = mean / 20.0;
    for share in &shares {
        assert!(*share > 0.22 * mean, "{shares:?}");
    }
    // No class is served less often than a less urgent one.
    assert!(
        shares.is_sorted_by(|first, second| *first >= second - 0.02),
        "{shares:?}"
    );
}

/// Guards against a change for services with one class: the admitted share is that of the leader.
#[test_case(0.8)]
#[test_case(0.3)]
fn one_class_gets_the_admitted_share(admits: f64) {
    let shares = admitted_shares(&[(3, 120, 20)], admits);
    assert!((shares[0] - admits).abs() < 0.02, "{shares:?}");
}
