//! All daemons together stay within the allowance, whatever they know of each other.

use std::time::Duration;

use copperwell_routing::budget::{Allowance, Budget};
use test_case::test_case;
use tokio::time::Instant;

const ALLOWANCE: Allowance = Allowance {
    ratio: 0.2,
    slack: 60.0,
    window: Duration::from_secs(10),
};

const DAEMONS: usize = 12;

/// The precision with which a window is kept.
const PART: Duration = Duration::from_millis(500);

/// Takes as many retries as a budget gives.
fn drain(budget: &mut Budget, now: Instant, daemons: usize) -> u32 {
    let mut taken = 0;
    while budget.retry(now, daemons) {
        taken += 1;
    }
    taken
}

#[test]
fn a_share_of_requests_and_of_the_slack() {
    let began = Instant::now();
    let mut budget = Budget::new(ALLOWANCE, began);
    let now = began + ALLOWANCE.window;
    for _ in 0..100 {
        budget.request(now);
    }
    // A part of 20 for the requests and 5 of the slack.
    assert_eq!(drain(&mut budget, now, DAEMONS), 21);
    // What was spent is spent until the window is over.
    assert_eq!(drain(&mut budget, now + Duration::from_secs(9), DAEMONS), 0);
    let later = now + ALLOWANCE.window + PART;
    assert_eq!(drain(&mut budget, later, DAEMONS), 4);
}

/// Daemons that are cut off from each other see fewer, and spend no more for that.
#[test_case(7; "the larger part")]
#[test_case(4; "the smaller part")]
#[test_case(1; "alone")]
fn a_partition_does_not_multiply_the_slack(seen: usize) {
    let began = Instant::now();
    let mut budget = Budget::new(ALLOWANCE, began);
    let now = began + ALLOWANCE.window;
    assert!(budget.retry(now, DAEMONS));
    let cut = now + ALLOWANCE.window + PART;
    assert_eq!(drain(&mut budget, cut, seen), 4);
}

/// All daemons end and begin again: what both runs spend within one window is allowed for one.
#[test]
fn a_new_run_does_not_spend_the_slack_again() {
    let began = Instant::now();
    let mut first = Budget::new(ALLOWANCE, began);
    let end = began + ALLOWANCE.window;
    let spent = drain(&mut first, end, DAEMONS);
    let mut second = Budget::new(ALLOWANCE, end);
    assert_eq!(
        drain(&mut second, end + Duration::from_millis(100), DAEMONS),
        0
    );
    let half = end + ALLOWANCE.window / 2;
    assert!(drain(&mut second, half, DAEMONS) <= spent / 2 + 1);
}

/// Right after a restart of all, the first daemons that hear of each other are few.
#[test]
fn a_new_run_does_not_take_the_share_of_those_that_it_has_not_heard_of() {
    let began = Instant::now();
    let spent = (0..DAEMONS).map(|heard| {
        let mut budget = Budget::new(ALLOWANCE, began);
        let mut spent = 0;
        for step in 1..=10 {
            spent += drain(&mut budget, began + PART * step, heard + 1);
        }
        spent
    });
    let spent: u32 = spent.sum();
    // Half of the window has passed.
    assert!(f64::from(spent) <= ALLOWANCE.slack / 2.0, "{spent}");
}

/// Everything fails from one moment on, and all daemons begin again a while later: what both runs send
/// once more within one window is allowed for one.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
#[test_case(6)]
#[test_case(8)]
fn a_restart_of_all_does_not_spend_the_ratio_again(ends_after_s: u64) {
    const RATE: u64 = 53;
    let began = Instant::now();
    let mut budget = Budget::new(ALLOWANCE, began);
    let fails_at = began + 2 * ALLOWANCE.window;
    let ends_at = fails_at + Duration::from_secs(ends_after_s);
    let window_ends = fails_at + ALLOWANCE.window;
    let step = Duration::from_secs(1) / u32::try_from(RATE).unwrap();
    let (mut now, mut requests, mut retries) = (began, 0, 0);
    let mut is_second = false;
    while now < window_ends {
        now += step;
        if now >= ends_at && !is_second {
            budget = Budget::new(ALLOWANCE, now);
            is_second = true;
        }
        budget.request(now);
        if now > fails_at {
            requests += 1;
            retries += u32::from(budget.retry(now, DAEMONS));
        }
    }
    let share = ALLOWANCE.slack / DAEMONS as f64;
    let allowed = ALLOWANCE.ratio * f64::from(requests) + share;
    assert!(f64::from(retries) <= allowed, "{retries} of {allowed}");
}

#[tokio::test(start_paused = true)]
async fn what_is_left_falls_with_each_retry() {
    let now = Instant::now();
    let mut budget = Budget::new(ALLOWANCE, now);
    let later = now + ALLOWANCE.window;
    for _ in 0..100 {
        budget.request(later);
    }
    let before = budget.left(later, 10);
    assert!(before >= 1.0, "{before}");
    assert!(budget.retry(later, 10));
    assert!((before - budget.left(later, 10) - 1.0).abs() < 1e-9);
    while budget.retry(later, 10) {}
    assert!(budget.left(later, 10) < 1.0);
}
