//! Limits that upstreams name, shared by daemons.

use std::time::Duration;

use copperwell_routing::{
    UpstreamId,
    limit::{Limits, Observation, Rate, Scope},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use test_case::test_case;
use tokio::time::Instant;

/// The window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

const BORN: u64 = 5;

fn upstream() -> UpstreamId {
    "a".into()
}

fn named(rate: impl Into<Option<Rate>>, sent_at: Instant) -> Observation {
    Observation {
        born: BORN,
        rate: rate.into(),
        sent_at,
    }
}

fn limited(rate: Rate, phase: f64, now: Instant) -> Limits {
    let mut limits = Limits::default();
    limits.observe(&upstream(), named(rate, now), phase, now);
    limits
}

/// Returns the most times within [`WINDOW`].
fn most_within_window(times: &mut [Instant]) -> usize {
    times.sort();
    let within = |(index, start): (usize, &Instant)| {
        let end = *start + WINDOW;
        times[index..].iter().take_while(|at| **at < end).count()
    };
    times.iter().enumerate().map(within).max().unwrap_or(0)
}

/// One daemon schedules for all, who ask with and without patience, and sometimes not at all.
#[test_case(0.8; "less than one a second")]
#[test_case(1.0; "one a second")]
#[test_case(3.3; "few a second")]
#[test_case(40.0; "many a second")]
fn reserved_requests_exceed_a_limit(rate: Rate) {
    for seed in 0..50 {
        let mut random = SmallRng::seed_from_u64(seed);
        let start = Instant::now();
        let mut limits = limited(rate, 0.0, start);
        let mut times = Vec::new();
        let mut now = start;
        let mut is_idle = false;
        while now < start + Duration::from_secs(120) {
            now += Duration::from_millis(random.random_range(1..40));
            is_idle ^= random.random_bool(0.002);
            if is_idle {
                continue;
            }
            let patience =
                Duration::from_millis(*[0, 0, 500, 2_000].get(random.random_range(0..4)).unwrap());
            match limits.reserve("a", BORN, Scope::Shared, patience, now) {
                Ok(wait) => {
                    assert!(wait <= patience);
                    times.push(now + wait);
                }
                Err(wait) => assert!(wait > patience),
            }
        }
        let most = most_within_window(&mut times);
        let allowed = (rate * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize;
        assert!(most <= allowed, "seed {seed}: {most} of {allowed}");
        let expected = rate * 120.0;
        assert!(most as f64 >= rate * 3.5, "seed {seed}: {most} at most");
        assert!(times.len() as f64 <= expected * 1.05 + 2.0);
    }
}

/// Without a leader, each daemon sends its share, and together they send no more than the limit.
#[test_case(3, 2.0; "three daemons")]
#[test_case(11, 1.0; "eleven daemons")]
#[test_case(90, 0.8; "ninety daemons")]
fn daemons_without_a_leader_exceed_a_limit(daemons: u32, rate: Rate) {
    for seed in 0..20 {
        let mut random = SmallRng::seed_from_u64(seed);
        let start = Instant::now();
        let mut all: Vec<_> = (0..daemons)
            .map(|_| limited(rate, random.random_range(0.0..1.0), start))
            .collect();
        let mut times = Vec::new();
        let mut now = start;
        while now < start + Duration::from_secs(400) {
            now += Duration::from_millis(20);
            for limits in &mut all {
                let scope = Scope::Own(daemons);
                if limits
                    .reserve("a", BORN, scope, Duration::ZERO, now)
                    .is_ok()
                {
                    times.push(now);
                }
            }
        }
        let total = times.len() as f64;
        assert!((0.4..=1.0).contains(&(total / (rate * 400.0))), "{total}");
        let most = most_within_window(&mut times);
        let allowed = (rate * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize;
        assert!(most <= allowed, "seed {seed}: {most} of {allowed}");
    }
}

/// A daemon that connects again and again to a leader that never answers, as to a suspended process, must go on with its
/// own schedule. Otherwise one whose first request is due later than the next connection sends almost none.
#[test_case(0.0; "first request is due at once")]
#[test_case(0.5; "first request is due in the middle of the interval")]
#[test_case(0.95; "first request is due late")]
fn connections_to_a_leader_that_does_not_answer_restart_the_own_schedule(phase: f64) {
    const RECONNECT_INTERVAL: Duration = Duration::from_millis(1_300);
    const TIME: Duration = Duration::from_secs(400);
    let (daemons, rate) = (3, 2.0);
    let start = Instant::now();
    let mut limits = limited(rate, phase, start);
    let mut sent = 0;
    let mut now = start;
    let mut connect_at = start;
    while now < start + TIME {
        now += Duration::from_millis(20);
        if now >= connect_at {
            limits.follow();
            connect_at += RECONNECT_INTERVAL;
        }
        let scope = Scope::Own(daemons);
        if limits.full_for("a", now).is_none() {
            match limits.reserve("a", BORN, scope, Duration::ZERO, now) {
                Ok(_) => sent += 1,
                Err(wait) => limits.record_full("a", wait, now),
            }
        }
    }
    let share = rate / f64::from(daemons) * TIME.as_secs_f64();
    let used = f64::from(sent) / share;
    assert!((0.5..=0.65).contains(&used), "{used} of the share");
}

/// A daemon that has found no room in its own schedule asks a leader that answers at once, as only the leader knows
/// whether there is room. Otherwise the limit is not used for as long as the daemon's own interval.
#[test]
fn leader_that_answers_is_asked_only_when_the_own_schedule_has_room() {
    let start = Instant::now();
    let mut limits = limited(2.0, 0.9, start);
    let wait = limits.reserve("a", BORN, Scope::Own(0), Duration::ZERO, start);
    limits.record_full("a", wait.unwrap_err(), start);
    let now = start + Duration::from_millis(600);
    assert!(limits.full_for("a", now).unwrap() > Duration::from_secs(5));
    limits.end_own_schedules();
    assert_eq!(limits.full_for("a", now), None);
    let mut limits = limited(2.0, 0.9, start);
    limits.record_full("a", Duration::from_secs(9), start);
    limits.lead(start);
    assert_eq!(limits.full_for("a", now), None);
    let wait = limits.reserve("a", BORN, Scope::Shared, Duration::ZERO, now);
    assert_eq!(wait, Ok(Duration::ZERO));
}

/// An answer without a limit ends it only if its request was sent after the limit was named.
#[test_case(Duration::ZERO, true; "sent before the limit was known")]
#[test_case(Duration::from_millis(30), false; "sent after the limit was known")]
fn late_answer_ends_a_limit(sent_after: Duration, is_kept: bool) {
    let start = Instant::now();
    let mut limits = limited(2.0, 0.0, start + Duration::from_millis(10));
    let now = start + Duration::from_millis(50);
    let has_changed = limits.observe(&upstream(), named(None, start + sent_after), 0.0, now);
    assert_eq!(has_changed, !is_kept);
    assert_eq!(limits.rate("a", BORN), is_kept.then_some(2.0));
}

#[test]
fn limit_of_an_earlier_run_holds_for_the_next() {
    let now = Instant::now();
    let mut limits = limited(2.0, 0.0, now);
    assert_eq!(limits.rate("a", BORN + 1), None);
    assert_eq!(
        limits.reserve("a", BORN + 1, Scope::Shared, Duration::ZERO, now),
        Ok(Duration::ZERO)
    );
    let next = Observation {
        born: BORN + 1,
        ..named(4.0, now)
    };
    assert!(limits.observe(&upstream(), next, 0.0, now));
    // A late answer of the earlier run changes nothing.
    assert!(!limits.observe(&upstream(), named(1.0, now), 0.0, now));
    assert_eq!(limits.rate("a", BORN + 1), Some(4.0));
}

/// Limits and their ends reach other daemons whatever the order, and the latest answer counts.
#[test]
fn daemons_disagree_on_a_limit() {
    for seed in 0..100 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut now = Instant::now();
        let mut daemons: Vec<_> = (0..4).map(|_| Limits::default()).collect();
        let mut latest = None;
        for _ in 0..20 {
            now += Duration::from_millis(500);
            let daemon = &mut daemons[random.random_range(0..4)];
            let rate = [Some(1.0), Some(2.0), None][random.random_range(0..3)];
            daemon.observe(&upstream(), named(rate, now), 0.0, now);
            let is_known = daemon
                .entries(now)
                .iter()
                .any(|entry| entry.upstream == upstream());
            latest = if is_known { rate } else { latest };
            let mut entries: Vec<_> = daemons.iter().flat_map(|one| one.entries(now)).collect();
            if random.random() {
                entries.reverse();
            }
            for daemon in &mut daemons {
                daemon.merge(&entries, 0.0, now);
            }
            for daemon in &daemons {
                assert_eq!(daemon.rate("a", BORN), latest, "seed {seed}");
            }
        }
    }
}

/// A limit that rises lets requests go at once that would have waited for the lower one.
#[test]
fn raised_limit_is_used_only_later() {
    let start = Instant::now();
    let mut limits = limited(0.01, 0.0, start);
    let wait = limits.reserve("a", BORN, Scope::Shared, Duration::ZERO, start);
    assert!(wait.unwrap_err() > Duration::from_secs(50));
    limits.record_full("a", wait.unwrap_err(), start);
    let now = start + Duration::from_millis(10);
    limits.observe(&upstream(), named(10.0, now), 0.0, now);
    assert_eq!(limits.full_for("a", now), None);
    let later = now + Duration::from_millis(100);
    let wait = limits.reserve("a", BORN, Scope::Shared, Duration::ZERO, later);
    assert_eq!(wait, Ok(Duration::ZERO));
}
