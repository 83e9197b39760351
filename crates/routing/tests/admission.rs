//! Who is let in while a key's holder cannot take all.

use copperwell_routing::admission::Admission;
use test_case::test_case;

const REQUESTS: u32 = 4_000;

/// Plays requests of which one in `every` is urgent; gives the shares that are let in.
fn play(every: u32, admits: f64) -> (f64, f64) {
    let mut admission = Admission::default();
    let (mut urgent, mut others) = ((0, 0), (0, 0));
    for number in 0..REQUESTS {
        let is_urgent = number % every == 0;
        let priority = if is_urgent { 1 } else { 2 };
        // Draws that lie evenly, whatever the order.
        let draw = f64::from(number.wrapping_mul(2_654_435_769)) / f64::from(u32::MAX);
        let is_in = admission.admit(priority, admits, draw);
        let counted = if is_urgent { &mut urgent } else { &mut others };
        counted.0 += u32::from(is_in);
        counted.1 += 1;
    }
    let share = |(taken, all): (u32, u32)| f64::from(taken) / f64::from(all);
    (share(urgent), share(others))
}

#[test_case(4, 1.0, 1.0, 1.0; "room for all")]
#[test_case(4, 0.7, 1.0, 0.6; "urgent ones first")]
#[test_case(4, 0.2, 0.8, 0.0; "not even for the urgent ones")]
fn shares(every: u32, admits: f64, urgent: f64, others: f64) {
    let (in_urgent, in_others) = play(every, admits);
    assert!((in_urgent - urgent).abs() < 0.08, "{in_urgent}");
    assert!((in_others - others).abs() < 0.08, "{in_others}");
}
