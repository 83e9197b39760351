//! All daemons together stay within the allowance even if they do not know each other.

use std::time::Duration;

use copperwell_routing::budget::{Allowance, Budget};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use test_case::test_case;
use tokio::time::Instant;

const ALLOWANCE: Allowance = Allowance {
    ratio: 0.2,
    slack: 60.0,
    window: Duration::from_secs(10),
};

const DAEMONS: usize = 12;

/// The length of a bucket, which is the precision of the window.
const BUCKET: Duration = Duration::from_millis(500);

/// Spends all retries of a budget and returns their number.
fn spend_all(budget: &mut Budget, now: Instant, daemons: usize) -> u32 {
    let mut spent = 0;
    while budget.try_spend(now, daemons) {
        spent += 1;
    }
    spent
}

#[test_case(20, 20; "steady requests")]
#[test_case(1, 12; "a burst")]
fn budget_is_a_share_of_requests_and_of_slack(buckets: u32, retries: u32) {
    let started_at = Instant::now();
    let mut budget = Budget::new(ALLOWANCE, started_at);
    for bucket in (0..buckets).rev() {
        let now = started_at + ALLOWANCE.window - BUCKET * bucket;
        (0..100 / buckets).for_each(|_| budget.record_request(now));
    }
    let now = started_at + ALLOWANCE.window;
    // 85% of 20 for the requests, less a part for bursts, and of 5 for the share of the slack.
    assert_eq!(spend_all(&mut budget, now, DAEMONS), retries);
    // Spent retries count until the window is over.
    assert_eq!(
        spend_all(&mut budget, now + Duration::from_secs(9), DAEMONS),
        0
    );
    let later = now + ALLOWANCE.window + BUCKET;
    assert_eq!(spend_all(&mut budget, later, DAEMONS), 4);
}

/// Partitioned daemons see fewer others but must not spend more.
#[test_case(7; "majority side")]
#[test_case(4; "minority side")]
#[test_case(1; "alone")]
fn partition_does_not_multiply_the_slack(visible: usize) {
    let started_at = Instant::now();
    let mut budget = Budget::new(ALLOWANCE, started_at);
    let now = started_at + ALLOWANCE.window;
    assert!(budget.try_spend(now, DAEMONS));
    let partitioned_at = now + ALLOWANCE.window + BUCKET;
    assert_eq!(spend_all(&mut budget, partitioned_at, visible), 4);
}

/// Guards against a number that is right for a moment alone, as a new leader names it before all daemons have called it.
#[test]
fn momentary_number_of_daemons_multiplies_the_slack() {
    let started_at = Instant::now();
    let mut budget = Budget::new(ALLOWANCE, started_at);
    let mut now = started_at + ALLOWANCE.window;
    budget.remaining(now, DAEMONS);
    for _ in 0..20 {
        now += ALLOWANCE.window / 4;
        let spent = spend_all(&mut budget, now, 1);
        assert!(spent <= 4, "{spent} retries by one of {DAEMONS} daemons");
        budget.remaining(now, DAEMONS - 1);
    }
}

/// Guards against a fleet that is started anew at once, before a leader has told its daemons how many they are: together
/// they must not spend more than the slack.
#[test_case(12; "a dozen")]
#[test_case(100; "a hundred")]
#[test_case(300; "hundreds")]
fn daemons_that_do_not_know_their_number_spend_more_than_the_slack(daemons: u32) {
    let started_at = Instant::now();
    let end = started_at + ALLOWANCE.window;
    let budgets = (0..daemons).map(|_| Budget::new(ALLOWANCE, started_at));
    let spent: u32 = budgets
        .map(|mut budget| spend_all(&mut budget, end, 0))
        .sum();
    assert!(
        f64::from(spent) <= ALLOWANCE.slack,
        "{spent} retries of {}",
        ALLOWANCE.slack
    );
}

/// All daemons restart: both incarnations together must not spend more in a window than one may.
#[test]
fn restart_does_not_spend_the_slack_again() {
    let started_at = Instant::now();
    let mut first = Budget::new(ALLOWANCE, started_at);
    let end = started_at + ALLOWANCE.window;
    let spent = spend_all(&mut first, end, DAEMONS);
    let mut second = Budget::new(ALLOWANCE, end);
    assert_eq!(
        spend_all(&mut second, end + Duration::from_millis(100), DAEMONS),
        0
    );
    let half = end + ALLOWANCE.window / 2;
    assert!(spend_all(&mut second, half, DAEMONS) <= spent / 2 + 1);
}

/// Right after a restart of all daemons, each of them knows only few others.
#[test]
fn restarted_daemon_does_not_spend_the_share_of_unknown_daemons() {
    let started_at = Instant::now();
    let spent = (0..DAEMONS).map(|known| {
        let mut budget = Budget::new(ALLOWANCE, started_at);
        let mut spent = 0;
        for step in 1..=10 {
            spent += spend_all(&mut budget, started_at + BUCKET * step, known + 1);
        }
        spent
    });
    let spent: u32 = spent.sum();
    // Half of the window has passed.
    assert!(f64::from(spent) <= ALLOWANCE.slack / 2.0, "{spent}");
}

/// All requests fail from one moment on, and all daemons restart a while later: both incarnations together
/// must not send more retries in a window than one may.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
#[test_case(6)]
#[test_case(8)]
fn restart_does_not_spend_the_ratio_again(restart_after_s: u64) {
    const RATE: u64 = 53;
    let started_at = Instant::now();
    let mut budget = Budget::new(ALLOWANCE, started_at);
    let fails_at = started_at + 2 * ALLOWANCE.window;
    let restarts_at = fails_at + Duration::from_secs(restart_after_s);
    let window_ends_at = fails_at + ALLOWANCE.window;
    let step = Duration::from_secs(1) / u32::try_from(RATE).unwrap();
    let (mut now, mut requests, mut retries) = (started_at, 0, 0);
    let mut has_restarted = false;
    while now < window_ends_at {
        now += step;
        if now >= restarts_at && !has_restarted {
            budget = Budget::new(ALLOWANCE, now);
            has_restarted = true;
        }
        budget.record_request(now);
        if now > fails_at {
            requests += 1;
            retries += u32::from(budget.try_spend(now, DAEMONS));
        }
    }
    let share = ALLOWANCE.slack / DAEMONS as f64;
    let allowed = ALLOWANCE.ratio * f64::from(requests) + share;
    assert!(f64::from(retries) <= allowed, "{retries} of {allowed}");
}

#[tokio::test(start_paused = true)]
async fn remaining_budget_falls_with_each_retry() {
    let now = Instant::now();
    let mut budget = Budget::new(ALLOWANCE, now);
    let later = now + ALLOWANCE.window;
    for _ in 0..100 {
        budget.record_request(later);
    }
    let before = budget.remaining(later, 10);
    assert!(before >= 1.0, "{before}");
    assert!(budget.try_spend(later, 10));
    assert!((before - budget.remaining(later, 10) - 1.0).abs() < 1e-9);
    while budget.try_spend(later, 10) {}
    assert!(budget.remaining(later, 10) < 1.0);
}

/// The interval at which callers may send.
const STEP: Duration = Duration::from_millis(50);

/// The time that is played.
const PLAYED: Duration = Duration::from_secs(60);

/// When upstreams begin to shed every request.
const SHEDS_AT: Duration = Duration::from_secs(30);

/// The retries that the route of a request allows.
const RETRIES_PER_REQUEST: u32 = 2;

/// Counts of the steps of a play.
struct Counts(Vec<u32>);

impl Counts {
    fn new() -> Self {
        Self(vec![0; steps(PLAYED)])
    }

    fn in_window(&self, start: usize) -> f64 {
        let window = &self.0[start..start + steps(ALLOWANCE.window)];
        f64::from(window.iter().sum::<u32>())
    }
}

fn steps(time: Duration) -> usize {
    usize::try_from(time.as_millis() / STEP.as_millis()).unwrap()
}

/// Guards against budgets that daemons keep alone and exceed together: each gets requests in bursts, and spends most
/// after its own burst. Requests are counted in a window, the one before it or the one half a window before, whichever
/// has most.
#[test_case(11, 1_000.0, 10; "few daemons with many requests")]
#[test_case(295, 150.0, 1; "many daemons with single requests")]
#[test_case(295, 150.0, 4; "many daemons with bursts of four")]
#[test_case(85, 150.0, 8; "dozens of daemons with bursts of eight")]
#[test_case(295, 150.0, 8; "many daemons with bursts of eight")]
#[test_case(295, 150.0, 16; "many daemons with bursts of sixteen")]
fn daemons_together_spend_more_than_the_allowance(daemons: usize, requests: f64, burst: u32) {
    let slack = ALLOWANCE.slack / DAEMONS as f64 * daemons as f64;
    let allowance = Allowance { slack, ..ALLOWANCE };
    let started_at = Instant::now();
    let budget = |_| Budget::new(allowance, started_at);
    let mut budgets: Vec<_> = (0..daemons).map(budget).collect();
    let mut random = SmallRng::seed_from_u64(1);
    let (mut arrived, mut spent) = (Counts::new(), Counts::new());
    let window = steps(ALLOWANCE.window);
    let probability = requests / window as f64 / f64::from(burst);
    let mut now = started_at;
    for step in 0..steps(PLAYED) {
        now += STEP;
        for budget in &mut budgets {
            if !random.random_bool(probability) {
                continue;
            }
            (0..burst).for_each(|_| budget.record_request(now));
            arrived.0[step] += burst;
            if now >= started_at + SHEDS_AT {
                let retries = 0..burst * RETRIES_PER_REQUEST;
                let paid = retries.filter(|_| budget.try_spend(now, daemons));
                spent.0[step] += u32::try_from(paid.count()).unwrap();
            }
        }
    }
    for start in window..steps(PLAYED) - window {
        let counted = [start, start - window / 2, start - window];
        let requests = counted.map(|start| arrived.in_window(start));
        let requests = requests.into_iter().fold(0.0, f64::max);
        let allowed = allowance.ratio * requests + allowance.slack;
        let spent = spent.in_window(start);
        assert!(spent <= allowed, "{spent} retries of {allowed}");
    }
}
