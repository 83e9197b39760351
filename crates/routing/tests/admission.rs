//! Admission of requests while a key's holder is overloaded.

use copperwell_routing::admission::Admission;
use test_case::test_case;

const REQUESTS: u32 = 4_000;

/// Returns the admitted shares of urgent and other requests, where one request in `urgent_interval` is urgent.
fn admitted_shares(urgent_interval: u32, admits: f64) -> (f64, f64) {
    let mut admission = Admission::default();
    let (mut urgent, mut others) = ((0, 0), (0, 0));
    for number in 0..REQUESTS {
        let is_urgent = number % urgent_interval == 0;
        let priority = if is_urgent { 1 } else { 2 };
        // Multiplicative hashing spreads the draws evenly, so that the test is deterministic.
        let draw = f64::from(number.wrapping_mul(2_654_435_769)) / f64::from(u32::MAX);
        let is_admitted = admission.admit(priority, admits, draw);
        let counts = if is_urgent { &mut urgent } else { &mut others };
        counts.0 += u32::from(is_admitted);
        counts.1 += 1;
    }
    let share = |(admitted, all): (u32, u32)| f64::from(admitted) / f64::from(all);
    (share(urgent), share(others))
}

#[test_case(4, 1.0, 1.0, 1.0; "capacity for all")]
#[test_case(4, 0.7, 1.0, 0.6; "urgent requests first")]
#[test_case(4, 0.2, 0.8, 0.0; "too little for urgent requests")]
fn urgent_requests_are_admitted_first(urgent_interval: u32, admits: f64, urgent: f64, others: f64) {
    let (admitted_urgent, admitted_others) = admitted_shares(urgent_interval, admits);
    assert!((admitted_urgent - urgent).abs() < 0.08, "{admitted_urgent}");
    assert!((admitted_others - others).abs() < 0.08, "{admitted_others}");
}
