//! Admission of requests while a key's holder is overloaded.

use std::{collections::VecDeque, time::Duration};

use copperwell_routing::admission::{Admission, Class};
use rand::{RngExt, SeedableRng, rngs::StdRng};
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
/// requests before they had a floor: 0.27 of the mean share, which urgent requests pay.
#[test_case(1.0, 1.0, 1.0; "capacity for all")]
#[test_case(0.7, 1.0, 0.6; "urgent requests first")]
#[test_case(0.2, 0.64, 0.054; "too little for urgent requests")]
fn urgent_requests_are_admitted_first(admits: f64, urgent: f64, others: f64) {
    let shares = admitted_shares(&[(1, 100, 5), (2, 100, 15)], admits);
    assert!((shares[0] - urgent).abs() < 0.03, "{shares:?}");
    assert!((shares[1] - others).abs() < 0.03, "{shares:?}");
}

/// 75 ms at priority 1 beside 470 ms at priority 2, on a holder that can do a part of the work.
///
/// Guards against refusals by number: before, as many short urgent requests were refused as if they required as much
/// work as the long ones, of which one makes room for six.
#[test_case(10, 0.9; "as many of each, nine tenths")]
#[test_case(10, 0.67; "as many of each, two thirds")]
#[test_case(10, 0.4; "as many of each, two fifths")]
#[test_case(18, 0.67; "mostly urgent ones, two thirds")]
fn short_urgent_requests_lose_almost_nothing(urgent: u32, admits: f64) {
    let loads = [(1, 75, urgent), (2, 470, 20 - urgent)];
    let shares = admitted_shares(&loads, admits);
    assert!(shares[0] > 0.96, "{shares:?}");
    let work = |share: &dyn Fn(usize) -> f64| -> f64 {
        let works = loads.iter().enumerate();
        works
            .map(|(index, (_, work_ms, count))| share(index) * f64::from(*count) * *work_ms as f64)
            .sum()
    };
    let work = work(&|index| shares[index]) / work(&|_| 1.0);
    assert!(work <= admits + 0.01, "{work}");
    // Three tenths, and no more, are left unused so that urgent requests are not late.
    assert!(work > admits * 0.68, "{work}");
}

/// A holder of two slots and a queue of 12, which serves in the order of arrival, gets several times what it can do, of
/// which 75 ms at priority 1 and 470 ms at priority 2; it admits the share that the leader publishes (seed 5).
///
/// Guards against urgent requests that are admitted and late, as they wait at the holder behind long ones.
#[test_case(1.1, 0.5, 0.88; "a little too much")]
#[test_case(1.5, 0.5, 0.95; "half too much")]
#[test_case(2.5, 0.5, 0.95; "far too much")]
#[test_case(1.5, 0.9, 0.88; "half too much, mostly urgent ones")]
fn urgent_requests_are_answered_in_time(load: f64, urgent: f64, in_time: f64) {
    const SLOTS: usize = 2;
    const QUEUE: usize = 12;
    const TIME_S: f64 = 300.0;
    let works_s = [0.075, 0.470];
    let deadlines_s = [1.0, 4.0];
    let mut random = StdRng::seed_from_u64(5);
    let mut admission = Admission::default();
    // The leader publishes twentieths, rounded up.
    let admits = (20.0 / load).ceil() / 20.0;
    let mean_s = urgent * works_s[0] + (1.0 - urgent) * works_s[1];
    let rate = load * SLOTS as f64 / mean_s;
    let mut free_at = [0.0_f64; SLOTS];
    let mut queue: VecDeque<(usize, f64)> = VecDeque::new();
    let mut counts = [(0.0, 0.0); 2];
    let mut now_s = 0.0;
    while now_s < TIME_S {
        now_s -= random.random_range(f64::EPSILON..1.0).ln() / rate;
        loop {
            let next = free_at.iter_mut().min_by(|one, other| one.total_cmp(other));
            let next = next.unwrap();
            if *next > now_s {
                break;
            }
            let Some((class, arrived_s)) = queue.pop_front() else {
                break;
            };
            *next = next.max(arrived_s) + works_s[class] * random.random_range(0.5..1.5);
            counts[class].1 += f64::from(u8::from(*next - arrived_s <= deadlines_s[class]));
        }
        let class = usize::from(random.random_range(0.0..1.0) >= urgent);
        counts[class].0 += 1.0;
        let request = Class {
            priority: [1, 2][class],
            work: Duration::from_secs_f64(works_s[class]),
        };
        let draw = random.random_range(0.0..1.0);
        if admission.admit(request, admits, draw) && queue.len() < QUEUE {
            queue.push_back((class, now_s));
        }
    }
    let [short, long] = counts.map(|(requests, answered)| answered / requests);
    let mean = (counts[0].1 + counts[1].1) / (counts[0].0 + counts[1].0);
    println!("load {load}, {urgent} urgent: {short:.3} of the urgent, {long:.3} of the others");
    assert!(short >= in_time && short >= long, "{short} {long}");
    assert!(long >= 0.25 * mean, "{long} of {mean}");
}

/// Guards against a class that is starved: each keeps at least a quarter of what all get on average, however little it is.
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
        assert!(*share >= 0.25 * mean, "{shares:?}");
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
