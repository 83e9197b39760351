//! Requests to upstreams that warm up.

use std::time::Duration;

use copperwell_routing::{
    UpstreamId,
    registry::Upstream,
    warmup::{Allowance, Confirmation, Limit, RESERVATION_TTL, Schedules, State, Warmups},
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
    wait_max: Duration,
) -> Vec<Instant> {
    let mut due = Vec::new();
    let mut now = start;
    while now < start + time {
        for _ in 0..DAEMONS {
            if let Ok(wait) = schedules.reserve(&"cold".into(), limit, wait_max, now) {
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
    for wait_max in [Duration::ZERO, Duration::from_millis(700)] {
        let time = Duration::from_secs(6);
        let due = ask(
            &mut Schedules::default(),
            limit,
            Instant::now(),
            time,
            wait_max,
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
        let wait_max = Duration::from_millis(700);
        let mut due = ask(&mut Schedules::default(), limit, start, time, wait_max);
        let next_start = start + time + Duration::from_millis(gap_ms);
        let next = ask(&mut Schedules::default(), limit, next_start, time, wait_max);
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
    let wait_max = Duration::from_secs(10);
    let reserved = schedules.reserve(&"cold".into(), limit, wait_max, Instant::now());
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

/// An upstream that has returned from an evacuation, which this daemon learns at `start`.
fn returned(start: Instant) -> Warmups {
    let mut warmups = Warmups::default();
    assert!(warmups.record_return(&"a".into(), 1, start, ms(3_000), start));
    warmups
}

/// Confirms the upstream of [`returned`] by a health check that takes 5 ms.
fn confirm(warmups: &mut Warmups, left_ms: u64, sent_at: Instant) -> Confirmation {
    warmups.confirm_return(&"a".into(), 1, ms(left_ms), sent_at, sent_at + ms(5))
}

/// Guards against a warm upstream that stays idle after an evacuation, and against a return that is read again with each
/// list and undoes what was found.
#[test]
fn warm_upstream_that_has_returned_counts_as_warming_up() {
    let start = Instant::now();
    let mut warmups = returned(start);
    assert!(warmups.left("a", start + ms(1)).is_some());
    let warm = confirm(&mut warmups, 0, start + ms(1));
    assert_eq!(warm, Confirmation::Warm(start));
    assert_eq!(warmups.left("a", start + ms(6)), None);
    assert_eq!(warmups.take_warm(start + ms(6)), ["a".into()]);
    let (ended_at, now) = (start, start + ms(600));
    assert!(!warmups.record_return(&"a".into(), 1, ended_at, ms(2_400), now));
    assert_eq!(warmups.left("a", now), None);
    let again = confirm(&mut warmups, 0, now);
    assert_eq!(again, Confirmation::Unneeded);
}

/// Guards against requests without a reservation to an upstream that has not answered, or has answered a health check
/// that was sent before this daemon knew of the end of the evacuation: it may have become cold in between.
#[test]
fn upstream_is_warm_by_an_answer_to_a_check_sent_before_its_return() {
    let start = Instant::now();
    let mut warmups = returned(start);
    for before_ms in [0, 1, 500] {
        let sent_at = start - ms(before_ms);
        assert_eq!(confirm(&mut warmups, 0, sent_at), Confirmation::Late);
        warmups.record_health(&"a".into(), ms(0), sent_at, start + ms(20));
        warmups.record_answer(&"a".into(), start + ms(30), start + ms(40));
        assert!(warmups.left("a", start + ms(50)).is_some());
    }
    // 3 s, 5 % and 100 ms.
    assert!(warmups.left("a", start + ms(3_249)).is_some());
    assert_eq!(warmups.left("a", start + ms(3_251)), None);
}

/// Guards against a cold upstream that counts as warm, or warms up for a shorter time, because it was asked.
#[test]
fn cold_upstream_that_has_returned_is_warm_too_early() {
    let start = Instant::now();
    let mut warmups = returned(start);
    let cold = confirm(&mut warmups, 1_000, start + ms(2));
    assert_eq!(cold, Confirmation::WarmingUp);
    warmups.record_health(&"a".into(), ms(1_000), start + ms(2), start + ms(7));
    assert!(warmups.left("a", start + ms(3_249)).is_some());
    assert!(!warmups.can_check("a", start + ms(10)));
    // It names a longer time than the configuration does.
    let mut warmups = returned(start);
    warmups.record_health(&"a".into(), ms(5_000), start + ms(2), start + ms(7));
    let warm = confirm(&mut warmups, 0, start + ms(8));
    assert_eq!(warm, Confirmation::Warm(start));
    assert!(warmups.left("a", start + ms(5_000)).is_some());
}

/// Guards against an answer to a check of the previous return, or of an earlier run, that passes for the present one.
#[test]
fn answer_of_an_earlier_return_or_run_confirms_a_later_one() {
    let start = Instant::now();
    let mut warmups = returned(start);
    let sent_at = start + ms(100);
    warmups.request_check("a", ms(0), start + ms(90));
    assert_eq!(warmups.take_due_checks(8, sent_at), ["a".into()]);
    // It is evacuated again, and that ends while the check is in flight.
    let ended_at = start + ms(150);
    assert!(!warmups.record_return(&"a".into(), 1, ended_at, ms(3_000), ended_at));
    let late = warmups.confirm_return(&"a".into(), 1, ms(0), sent_at, start + ms(200));
    assert_eq!(late, Confirmation::Late);
    warmups.record_check_end("a");
    assert!(warmups.left("a", start + ms(201)).is_some());
    assert!(warmups.can_check("a", start + ms(201)));
    // The process restarts.
    let listed_at = start + ms(300);
    warmups.record_return(&"a".into(), 2, ended_at, ms(2_850), listed_at);
    let earlier = warmups.confirm_return(&"a".into(), 1, ms(0), start + ms(310), start + ms(320));
    assert_eq!(earlier, Confirmation::Late);
    assert!(warmups.left("a", start + ms(330)).is_some());
    let same = warmups.confirm_return(&"a".into(), 2, ms(0), start + ms(340), start + ms(350));
    assert_eq!(same, Confirmation::Warm(ended_at));
}

/// Guards against a list, in which the leader still has the return as a registration, that keeps a warm upstream idle,
/// whether it arrives before the end of the evacuation is known, before the answer or after it; and against an answer
/// that refutes a registration which was read after the check was sent.
#[test_case(0; "before the return")]
#[test_case(200; "before the check")]
#[test_case(310; "before the answer")]
#[test_case(400; "after the answer")]
fn registration_of_an_upstream_that_has_returned_outlasts_an_answer(listed_ms: u64) {
    let start = Instant::now();
    let mut warmups = Warmups::default();
    let sent_at = start + ms(300);
    for at_ms in (0..450).step_by(10) {
        let now = start + ms(at_ms);
        if at_ms == listed_ms {
            warmups.record_registration(&upstream(1, 2_900), now);
        }
        if at_ms == 100 {
            warmups.record_return(&"a".into(), 1, now, ms(3_000), now);
        }
        if at_ms == 320 {
            let answer = warmups.confirm_return(&"a".into(), 1, ms(0), sent_at, now);
            assert_eq!(answer == Confirmation::Late, listed_ms == 310);
        }
    }
    let now = start + ms(450);
    let is_cold = listed_ms >= 310;
    assert_eq!(warmups.left("a", now).is_some(), is_cold);
    assert_eq!(warmups.can_check("a", now), is_cold);
    let again = warmups.confirm_return(&"a".into(), 1, ms(0), now + ms(1), now + ms(5));
    assert_eq!(matches!(again, Confirmation::Warm(_)), is_cold);
    assert_eq!(warmups.left("a", now + ms(6)), None);
}

/// Guards against an upstream that is asked without end because it does not answer, and against more health checks in
/// flight than allowed.
#[test]
fn health_checks_to_upstreams_that_have_returned_are_unbounded() {
    let start = Instant::now();
    let mut warmups = Warmups::default();
    let ids: Vec<_> = (0..40)
        .map(|number| UpstreamId::from(format!("u{number:02}").as_str()))
        .collect();
    for id in &ids {
        warmups.record_return(id, 1, start, ms(3_000), start);
    }
    assert!(warmups.take_due_checks(16, start).is_empty());
    let mut sent = 0;
    for step in 0..400 {
        let now = start + ms(10 * step);
        for id in &ids {
            warmups.request_check(id, ms(0), now);
        }
        let checks = warmups.take_due_checks(16, now);
        assert!(checks.len() <= 16);
        assert!(warmups.take_due_checks(16, now).len() + checks.len() <= 16);
        sent += checks.len();
        for id in checks {
            assert!(warmups.awaits_check(&id, now));
            warmups.record_check_end(&id);
        }
    }
    assert_eq!(sent, 3 * ids.len());
    assert!(!warmups.has_returned(start + ms(3_251)));
}
