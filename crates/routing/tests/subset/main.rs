//! Load reports and preferred subsets, on a simulated fleet of daemons and upstreams.

use std::time::Duration;

use copperwell_routing::load::{Loads, Outcome, Report};
use rand::{SeedableRng, rngs::SmallRng};
use test_case::test_case;
use tokio::time::Instant;

use fleet::{Fleet, IDLE_TIMEOUT, Measure, Reporting, SLOTS, upstream};

mod fleet;

/// Runs a fleet and returns it and what was measured in 15 s after 10 s.
fn measure(fleet: Fleet) -> (Fleet, Measure) {
    measure_after(fleet, Duration::from_secs(10), Duration::from_secs(15))
}

fn measure_after(mut fleet: Fleet, before: Duration, time: Duration) -> (Fleet, Measure) {
    fleet.run(before);
    let measure = fleet.run(time);
    (fleet, measure)
}

/// Guards against a new connection for each request, since upstreams close those that are idle for 10 s, and against
/// load that is less even than without subsets: 83 daemons, 104 upstreams with three slots.
#[test_case(500.0; "half of the capacity")]
#[test_case(900.0; "most of the capacity")]
fn connections_are_not_used_again(rate: f64) {
    let all = Fleet::new(83, 104, rate, Reporting::True).without_subsets();
    let subsets = Fleet::new(83, 104, rate, Reporting::True);
    // Many connections are opened at first, and closed only after 10 s.
    let (before, time) = (Duration::from_secs(15), Duration::from_secs(20));
    let (_, all) = measure_after(all, before, time);
    let (fleet, subsets) = measure_after(subsets, before, time);
    let (before, after) = (all.opened_share(), subsets.opened_share());
    assert!(
        after < 0.7 * before,
        "new connections: {after}, were {before}"
    );
    let (before, after) = (all.mean_wait_s(), subsets.mean_wait_s());
    assert!(after < 1.2 * before, "mean wait: {after} s, was {before} s");
    let (before, after) = (all.full_share(), subsets.full_share());
    assert!(
        after < 1.1 * before,
        "met a full upstream: {after}, were {before}"
    );
    assert!(
        fleet.longest_gap() < IDLE_TIMEOUT,
        "{:?}",
        fleet.longest_gap()
    );
}

/// Guards against reports that daemons do not use: requests must meet fewer full upstreams and wait less than without.
#[test_case(104, 500.0, false; "half of the capacity")]
#[test_case(104, 900.0, false; "most of the capacity")]
#[test_case(104, 500.0, true; "machines that change their pace every 400 ms")]
#[test_case(104, 900.0, true; "machines that change their pace, most of the capacity")]
#[test_case(20, 140.0, false; "few upstreams")]
#[test_case(20, 140.0, true; "few upstreams on machines that change their pace")]
fn reports_do_not_shorten_waits(upstreams: usize, rate: f64, shares_machines: bool) {
    let measure_with = |reporting| {
        let fleet = Fleet::new(83, upstreams, rate, reporting);
        measure(match shares_machines {
            true => fleet.with_shared_machines(),
            false => fleet,
        })
        .1
    };
    let (without, with) = (
        measure_with(Reporting::Missing),
        measure_with(Reporting::True),
    );
    let (before, after) = (without.full_share(), with.full_share());
    assert!(
        after < 0.9 * before,
        "met a full upstream: {after}, were {before}"
    );
    let (before, after) = (without.mean_wait_s(), with.mean_wait_s());
    assert!(after < 0.8 * before, "mean wait: {after} s, was {before} s");
}

/// Guards against false reports that attract or divert requests, and that make all wait longer than without any report:
/// 10 of 104 upstreams report falsely, at most of the capacity.
#[test_case(Reporting::SomeIdle(10), 0.5, 1.5; "some always idle")]
#[test_case(Reporting::SomeFull(10), 0.4, 1.5; "some always full")]
#[test_case(Reporting::SomeMissing(10), 0.4, 1.5; "some missing")]
fn some_false_reports_harm_others(reporting: Reporting, least: f64, most: f64) {
    let (_, without) = measure(Fleet::new(83, 104, 900.0, Reporting::Missing));
    let (fleet, with) = measure(Fleet::new(83, 104, 900.0, reporting));
    let share = fleet.share_of_first(10);
    assert!(share > least && share < most, "{share} of a mean share");
    let (before, after) = (without.mean_wait_s(), with.mean_wait_s());
    assert!(after <= before, "mean wait: {after} s, was {before} s");
    assert_eq!(with.shed, 0, "requests turned away");
}

/// Guards against false reports of all upstreams that cost much more than no reports: 104 upstreams at most of their
/// capacity. That it costs something cannot be avoided as long as a report counts: which ones are false is not known.
#[test_case(Reporting::Late, false; "a second late")]
#[test_case(Reporting::Late, true; "a second late, on machines that change their pace")]
#[test_case(Reporting::SomeIdle(104), false; "always idle")]
#[test_case(Reporting::SomeFull(104), false; "always full")]
fn false_reports_cost_too_much(reporting: Reporting, shares_machines: bool) {
    let measure_with = |reporting| {
        let fleet = Fleet::new(83, 104, 900.0, reporting);
        measure(match shares_machines {
            true => fleet.with_shared_machines(),
            false => fleet,
        })
        .1
    };
    let (without, with) = (measure_with(Reporting::Missing), measure_with(reporting));
    let (before, after) = (without.mean_time_s(), with.mean_time_s());
    assert!(after < 1.2 * before, "mean time: {after} s, was {before} s");
}

/// Guards against new upstreams that no daemon prefers: four join 104 others at half of the capacity.
#[test]
fn new_upstreams_get_no_requests() {
    let mut fleet = Fleet::new(83, 104, 500.0, Reporting::True);
    fleet.run(Duration::from_secs(15));
    for number in 104..108 {
        fleet.add_upstream(number);
    }
    fleet.run(Duration::from_secs(2));
    for server in &fleet.servers[104..] {
        assert!(server.sent > 0, "{} got none in 2 s", server.upstream.id);
    }
}

/// Guards against a subset where it cannot help: few upstreams, no reports, or an unknown number of daemons.
#[test_case(20, Reporting::True, true, false; "few upstreams")]
#[test_case(104, Reporting::Missing, true, false; "no reports")]
#[test_case(104, Reporting::True, false, false; "unknown number of daemons")]
#[test_case(104, Reporting::True, true, true; "many upstreams that report")]
fn subset_is_used(upstreams: usize, reporting: Reporting, are_counted: bool, is_used: bool) {
    let mut fleet = Fleet::new(83, upstreams, 500.0, reporting);
    if !are_counted {
        fleet = fleet.without_subsets();
    }
    fleet.run(Duration::from_secs(5));
    let now = fleet.start + fleet.now;
    let subsets = fleet.daemons.iter().flat_map(|one| one.subsets(now));
    assert_eq!(subsets.count() > 0, is_used);
}

/// Guards against implausible reports that are believed.
#[test_case(0, 0, 0, None; "no slots")]
#[test_case(100, 0, 3, None; "far more running than slots")]
#[test_case(1, 4_000_000, 3, None; "too many waiting")]
#[test_case(1, 0, 3, Some(0.0); "no time at all")]
#[test_case(1, 0, 3, Some(-1.0); "negative pace")]
#[test_case(1, 0, 3, Some(f64::NAN); "pace that is not a number")]
fn implausible_report_is_believed(running: u32, waiting: u32, slots: u32, pace: Option<f64>) {
    let report = Report {
        running,
        waiting,
        slots,
        pace,
    };
    assert!(report.check().is_err());
}

/// Guards against an upstream with free slots that is passed over for a full one, and against reports that count when
/// they are old.
#[test]
fn report_of_free_slots_is_not_used() {
    let upstreams = [upstream(0), upstream(3)];
    let mut random = SmallRng::seed_from_u64(1);
    let start = Instant::now();
    let mut loads = Loads::default();
    let report = |running| Report {
        running,
        waiting: 0,
        slots: SLOTS,
        pace: None,
    };
    loads.record_report(&upstreams[0].id, report(SLOTS), false, start);
    loads.record_report(&upstreams[1].id, report(SLOTS - 1), false, start);
    let mut first = |after| {
        let now = start + Duration::from_millis(after);
        let chosen = (0..100).map(|_| loads.choose(&upstreams, "z0", &[], now, &mut random));
        chosen
            .flatten()
            .filter(|one| one.id == upstreams[0].id)
            .count()
    };
    assert_eq!(first(10), 0);
    assert!(first(1_000) > 25);
}

/// Guards against a report that closes an upstream to a daemon, and against a limit that stays low though slots are free.
#[test]
fn reports_close_or_do_not_reopen_an_upstream() {
    let one = upstream(0);
    let start = Instant::now();
    let mut loads = Loads::default();
    let report = |running, waiting| Report {
        running,
        waiting,
        slots: SLOTS,
        pace: None,
    };
    for number in 1..=100 {
        let now = start + Duration::from_millis(100 * number);
        if loads.has_capacity(&one) {
            loads.record_start(&one.id, now);
        }
        loads.record_report(&one.id, report(SLOTS, 12), false, now);
    }
    assert_eq!(loads.in_flight(&one.id), 2, "9 without reports");
    loads.record_end(&one.id, Outcome::Cancelled, Duration::ZERO, start);
    assert!(loads.has_capacity(&one), "one of two in flight");
    loads.record_start(&one.id, start);
    assert!(!loads.has_capacity(&one), "two of two in flight");
    loads.record_report(&one.id, report(2, 0), false, start);
    assert!(loads.has_capacity(&one), "a slot is free");
}
