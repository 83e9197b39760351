//! Requests to upstreams that warm up.

use std::time::Duration;

use copperwell_routing::{
    registry::Upstream,
    warmup::{Allowance, Limit, RESERVATION_TTL, Schedules, State, Warmups},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use test_case::test_case;
use tokio::time::Instant;

/// The daemons of a fleet.
const DAEMONS: usize = 83;

/// How often each daemon asks for a reservation.
const ASK_INTERVAL: Duration = Duration::from_millis(20);

/// The limit of deployments: 4.1 requests a second, exceeded by half and 8 requests.
fn limit() -> Limit {
    limit_of(4.1, 8.0)
}

fn limit_of(rate: f64, slack: f64) -> Limit {
    let allowance = Allowance {
        overshoot: 1.5,
        slack,
    };
    Limit::new(rate, allowance)
}

/// Returns the most of `times` within any second.
fn most_in_a_second(mut times: Vec<Instant>) -> usize {
    times.sort_unstable();
    let within = |first: usize| {
        let end = times[first] + Duration::from_secs(1);
        times[first..].iter().take_while(|at| **at < end).count()
    };
    (0..times.len()).map(within).max().unwrap_or(0)
}

/// Has all daemons ask one leader for `time` from `start` on; returns when their requests are due.
fn ask(
    schedules: &mut Schedules,
    limit: Limit,
    start: Instant,
    time: Duration,
    patience: Duration,
) -> Vec<Instant> {
    let mut due = Vec::new();
    let mut now = start;
    while now < start + time {
        for _ in 0..DAEMONS {
            if let Ok(wait) = schedules.reserve(&"cold".into(), limit, patience, now) {
                due.push(now + wait);
            }
        }
        now += ASK_INTERVAL;
    }
    due
}

/// Guards against a cold upstream that crashes, as every one of 83 daemons finds it idle and wants to use it.
#[test_case(4.1, 8.0; "as deployed")]
#[test_case(40.0, 8.0; "ten times the rate")]
#[test_case(0.3, 8.0; "a slow upstream")]
#[test_case(4.1, 0.0; "no slack")]
#[test_case(2.0, 1.7; "a share that is no integer")]
fn daemons_that_all_want_one_cold_upstream_exceed_its_limit(rate: f64, slack: f64) {
    let limit = limit_of(rate, slack);
    for patience in [Duration::ZERO, Duration::from_millis(700)] {
        let time = Duration::from_secs(6);
        let due = ask(
            &mut Schedules::default(),
            limit,
            Instant::now(),
            time,
            patience,
        );
        // Each request is sent up to 200 ms after it is due.
        let mut random = SmallRng::seed_from_u64(7);
        for _ in 0..50 {
            let late = due.iter().map(|at| {
                let late = RESERVATION_TTL.mul_f64(f64::from(random.random_range(0..2)));
                *at + late
            });
            assert!(most_in_a_second(late.collect()) <= limit.share());
        }
    }
}

/// Guards against a limit that leaves a cold upstream without the requests that it can take.
#[test]
fn cold_upstream_gets_less_than_it_takes() {
    let due = ask(
        &mut Schedules::default(),
        limit(),
        Instant::now(),
        Duration::from_secs(10),
        Duration::ZERO,
    );
    assert!(due.len() >= 38, "{}", due.len());
}

/// Guards against two leaders that together exceed the limit, when the second one starts at any time within a second
/// after the first one was last asked.
#[test]
fn leaders_that_follow_each_other_exceed_the_limit() {
    let limit = limit();
    let start = Instant::now();
    for gap_ms in (0..1_000).step_by(50) {
        let time = Duration::from_secs(2);
        let patience = Duration::from_millis(700);
        let mut due = ask(&mut Schedules::default(), limit, start, time, patience);
        let next_start = start + time + Duration::from_millis(gap_ms);
        let next = ask(&mut Schedules::default(), limit, next_start, time, patience);
        due.extend(next);
        for first_late in [Duration::ZERO, RESERVATION_TTL] {
            let late = due.iter().map(|at| match *at < next_start {
                true => *at + first_late,
                false => *at,
            });
            let most = most_in_a_second(late.collect());
            assert!(most as f64 <= limit.per_second, "{most} after {gap_ms} ms");
        }
    }
}

/// Guards against requests to upstreams for which half of the limit allows none.
#[test_case(4.1, -8.0; "negative slack")]
#[test_case(0.5, 0.0; "less than one a second")]
#[test_case(0.0, 8.0; "no requests at all")]
#[test_case(f64::NAN, 8.0; "no number")]
fn request_is_reserved_where_none_is_allowed(rate: f64, slack: f64) {
    let limit = limit_of(rate, slack);
    let mut schedules = Schedules::default();
    let patience = Duration::from_secs(10);
    let reserved = schedules.reserve(&"cold".into(), limit, patience, Instant::now());
    assert!(reserved.is_err());
}

fn upstream(born: u64, warmup_ms: u64) -> Upstream {
    Upstream {
        id: "a".into(),
        born,
        service: "cups".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "here".into(),
        slots: 2,
        is_draining: false,
        warmup: Duration::from_millis(warmup_ms),
    }
}

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Guards against a warm-up that never ends, as the list still has a registration that is not written any more.
#[test]
fn registration_that_is_read_again_extends_the_warm_up() {
    let mut warmups = Warmups::default();
    let start = Instant::now();
    for read in 0..20 {
        let now = start + ms(300) * read;
        let begins = warmups.record_registration(&upstream(1, 2_000), now);
        assert_eq!(begins, read == 0);
    }
    // 2 s, 5 % and 100 ms.
    assert!(warmups.left("a", start + ms(2_199)).is_some());
    assert_eq!(warmups.left("a", start + ms(2_201)), None);
    assert_eq!(warmups.take_warm(start + ms(2_201)), ["a".into()]);
    assert!(warmups.take_warm(start + ms(2_202)).is_empty());
}

/// Guards against a late registration without warm-up, written before the upstream became cold, that ends the
/// warm-up which its health response has named.
#[test]
fn older_source_shortens_a_warm_up() {
    let mut warmups = Warmups::default();
    let start = Instant::now();
    assert!(warmups.record_health(&"a".into(), ms(3_000), start, start));
    assert!(!warmups.record_registration(&upstream(1, 0), start + ms(10)));
    assert!(!warmups.record_registration(&upstream(2, 1_000), start + ms(20)));
    assert!(!warmups.record_health(&"a".into(), ms(0), start, start + ms(30)));
    assert!(warmups.left("a", start + ms(3_200)).is_some());
}

/// Guards against requests to a process that was started again since its upstream was last heard.
#[test]
fn upstream_stays_confirmed_after_it_may_have_restarted() {
    let mut warmups = Warmups::default();
    let start = Instant::now();
    let id = "a".into();
    assert_eq!(warmups.state("a", start), State::Unconfirmed);
    warmups.record_answer(&id, start, start + ms(100));
    assert_eq!(warmups.state("a", start + ms(1_099)), State::Warm);
    assert_eq!(warmups.state("a", start + ms(1_100)), State::Unconfirmed);
    warmups.record_answer(&id, start, start + ms(1_200));
    warmups.record_failure(&id, start + ms(1_300));
    // This answer was on its way before the failure.
    warmups.record_answer(&id, start + ms(1_250), start + ms(1_400));
    assert_eq!(warmups.state("a", start + ms(1_400)), State::Unconfirmed);
    warmups.record_health(&id, ms(0), start + ms(1_500), start + ms(1_510));
    assert_eq!(warmups.state("a", start + ms(1_510)), State::Warm);
    // A new incarnation in the list is another process.
    warmups.record_registration(&upstream(5, 0), start + ms(1_520));
    assert_eq!(warmups.state("a", start + ms(1_520)), State::Unconfirmed);
}
