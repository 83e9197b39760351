//! Load reports and preferred subsets: simulated daemons, upstreams with slots and a queue, and their connections.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use copperwell_routing::{
    load::{Loads, Outcome, Report},
    registry::Upstream,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use test_case::test_case;
use tokio::time::Instant;

/// The mean time of a request at an upstream of usual speed, in seconds.
const SERVICE_TIME_S: f64 = 0.27;

const SLOTS: u32 = 3;

/// How many requests wait at an upstream; others are turned away.
const WAITING_MAX: usize = 12;

/// How long an upstream keeps an idle connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

const DATA_CENTRES: usize = 3;

/// How upstreams report their load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reporting {
    Missing,
    True,
    /// What was true a second before.
    Late,
    /// Some upstreams say that they are always idle.
    SomeIdle(usize),
    /// Some upstreams say that they are always full.
    SomeFull(usize),
    /// Some upstreams send none.
    SomeMissing(usize),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request,
    Ended { daemon: usize, upstream: usize },
    PaceChanges,
}

struct Waiting {
    daemon: usize,
    sent_at: Duration,
}

struct Server {
    upstream: Arc<Upstream>,
    speed: f64,
    pace: f64,
    running: u32,
    waiting: VecDeque<Waiting>,
    /// The requests that it got since the measure began.
    sent: u32,
    last_sent_at: Duration,
    longest_gap: Duration,
    /// What was true within the last second.
    reported: VecDeque<(Duration, Report)>,
}

/// What is measured between two points in time.
#[derive(Debug, Clone, Copy, Default)]
struct Measure {
    requests: u32,
    opened: u32,
    full: u32,
    shed: u32,
    waited_s: f64,
    taken_s: f64,
}

impl Measure {
    fn opened_share(&self) -> f64 {
        f64::from(self.opened) / f64::from(self.requests)
    }

    fn full_share(&self) -> f64 {
        f64::from(self.full) / f64::from(self.requests)
    }

    fn mean_time_s(&self) -> f64 {
        self.taken_s / f64::from(self.requests)
    }

    fn mean_wait_s(&self) -> f64 {
        self.waited_s / f64::from(self.requests)
    }
}

struct Fleet {
    start: Instant,
    now: Duration,
    rate: f64,
    daemons: Vec<Loads>,
    /// The running sum of the shares of daemons in all requests.
    shares: Vec<f64>,
    servers: Vec<Server>,
    upstreams: Vec<Arc<Upstream>>,
    /// When the idle connections of a daemon to an upstream were used last.
    idle: HashMap<(usize, usize), Vec<Duration>>,
    /// When requests were sent that have not ended.
    sent_at: HashMap<(usize, usize), VecDeque<Duration>>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    number: u64,
    reporting: Reporting,
    shares_machines: bool,
    measure: Measure,
    random: SmallRng,
}

fn upstream(number: usize) -> Arc<Upstream> {
    Arc::new(Upstream {
        id: format!("u{number}").into(),
        born: 1,
        service: "cabins".into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        zone: format!("z{}", number % DATA_CENTRES).into(),
        slots: SLOTS,
        is_draining: false,
        warmup: Duration::ZERO,
    })
}

impl Fleet {
    /// Creates daemons that send `rate` requests a second together, of which some have four times as many callers as
    /// others, and upstreams with speeds of 0.6, 1.0 and 1.4.
    fn new(daemons: usize, upstreams: usize, rate: f64, reporting: Reporting) -> Self {
        let mut fleet = Self {
            start: Instant::now(),
            now: Duration::ZERO,
            rate,
            daemons: Vec::new(),
            shares: Vec::new(),
            servers: Vec::new(),
            upstreams: Vec::new(),
            idle: HashMap::new(),
            sent_at: HashMap::new(),
            events: BinaryHeap::new(),
            number: 0,
            reporting,
            shares_machines: false,
            measure: Measure::default(),
            random: SmallRng::seed_from_u64(1),
        };
        let mut share = 0.0;
        for number in 0..daemons {
            let mut loads = Loads::default().with_identity(&format!("d{number}"));
            loads.set_daemons(u32::try_from(daemons).expect("few daemons"));
            fleet.daemons.push(loads);
            share += 1.0 + (number % 4) as f64;
            fleet.shares.push(share);
        }
        for number in 0..upstreams {
            fleet.add_upstream(number);
        }
        fleet.plan(Duration::ZERO, Event::Request);
        fleet
    }

    fn add_upstream(&mut self, number: usize) {
        let upstream = upstream(number);
        self.upstreams.push(upstream.clone());
        self.servers.push(Server {
            upstream,
            speed: [1.0, 0.6, 1.4, 1.0][number % 4],
            pace: 1.0,
            running: 0,
            waiting: VecDeque::new(),
            sent: 0,
            last_sent_at: self.now,
            longest_gap: Duration::ZERO,
            reported: VecDeque::new(),
        });
    }

    /// Has daemons use all upstreams alike, as they do while their number is not known.
    fn without_subsets(mut self) -> Self {
        for daemon in &mut self.daemons {
            daemon.set_daemons(0);
        }
        self
    }

    /// Has machines change their pace every 400 ms, between 0.5 and 1.9; three upstreams share one.
    fn with_shared_machines(mut self) -> Self {
        self.shares_machines = true;
        self.plan(Duration::ZERO, Event::PaceChanges);
        self
    }

    fn plan(&mut self, after: Duration, event: Event) {
        self.number += 1;
        let at = self.now + after;
        self.events.push(Reverse((at, self.number, event)));
    }

    /// Runs for `time` and returns what was measured meanwhile.
    fn run(&mut self, time: Duration) -> Measure {
        self.measure = Measure::default();
        for server in &mut self.servers {
            server.sent = 0;
            server.longest_gap = Duration::ZERO;
        }
        let end = self.now + time;
        while let Some(Reverse((at, ..))) = self.events.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, _, event))) = self.events.pop() else {
                break;
            };
            self.now = at;
            match event {
                Event::Request => {
                    let uniform: f64 = self.random.random_range(0.0..1.0);
                    let gap_s = -(1.0 - uniform).ln() / self.rate;
                    self.plan(Duration::from_secs_f64(gap_s), Event::Request);
                    self.send();
                }
                Event::Ended { daemon, upstream } => self.end(daemon, upstream),
                Event::PaceChanges => {
                    let mut pace = 1.0;
                    for (number, server) in self.servers.iter_mut().enumerate() {
                        if number % 3 == 0 {
                            pace = self.random.random_range(0.5..1.9);
                        }
                        server.pace = pace;
                    }
                    self.plan(Duration::from_millis(400), Event::PaceChanges);
                }
            }
        }
        self.now = end;
        self.measure
    }

    fn send(&mut self) {
        let all = *self.shares.last().expect("daemons");
        let draw = self.random.random_range(0.0..all);
        let daemon = self.shares.partition_point(|sum| *sum <= draw);
        let now = self.start + self.now;
        let zone = format!("z{}", daemon % DATA_CENTRES);
        let loads = &mut self.daemons[daemon];
        let chosen = loads.choose(&self.upstreams, &zone, &[], now, &mut self.random);
        let Some(id) = chosen.map(|upstream| upstream.id.clone()) else {
            return;
        };
        loads.record_start(&id, now);
        let is_chosen = |one: &Server| one.upstream.id == id;
        let number = self.servers.iter().position(is_chosen).expect("known");
        self.measure.requests += 1;
        let idle = self.idle.entry((daemon, number)).or_default();
        match idle
            .pop()
            .filter(|used_at| self.now - *used_at < IDLE_TIMEOUT)
        {
            Some(_) => {}
            None => self.measure.opened += 1,
        }
        let server = &mut self.servers[number];
        server.sent += 1;
        server.longest_gap = server.longest_gap.max(self.now - server.last_sent_at);
        server.last_sent_at = self.now;
        self.measure.full += u32::from(server.running >= SLOTS);
        if server.waiting.len() >= WAITING_MAX {
            self.measure.shed += 1;
            loads.record_end(&id, Outcome::Shed, Duration::ZERO, now);
            return;
        }
        self.sent_at
            .entry((daemon, number))
            .or_default()
            .push_back(self.now);
        server.waiting.push_back(Waiting {
            daemon,
            sent_at: self.now,
        });
        self.begin(number);
    }

    /// Begins requests at an upstream that has free slots.
    fn begin(&mut self, number: usize) {
        let server = &mut self.servers[number];
        if server.running >= SLOTS {
            return;
        }
        let Some(waiting) = server.waiting.pop_front() else {
            return;
        };
        server.running += 1;
        self.measure.waited_s += (self.now - waiting.sent_at).as_secs_f64();
        let cost = self.random.random_range(0.4..1.6);
        let time_s = SERVICE_TIME_S * cost * server.pace / server.speed;
        let event = Event::Ended {
            daemon: waiting.daemon,
            upstream: number,
        };
        self.plan(Duration::from_secs_f64(time_s), event);
    }

    fn end(&mut self, daemon: usize, number: usize) {
        self.servers[number].running -= 1;
        self.begin(number);
        let pair = (daemon, number);
        let sent_at = self.sent_at.get_mut(&pair).and_then(VecDeque::pop_front);
        let elapsed = self.now - sent_at.expect("sent");
        self.measure.taken_s += elapsed.as_secs_f64();
        self.idle.entry(pair).or_default().push(self.now);
        let report = self.report(number);
        let id = &self.servers[number].upstream.id;
        let now = self.start + self.now;
        let loads = &mut self.daemons[daemon];
        if let Some(report) = report {
            loads.record_report(id, report, true, now);
        }
        loads.record_end(id, Outcome::Answered, elapsed, now);
    }

    fn report(&mut self, number: usize) -> Option<Report> {
        let now = self.now;
        let server = &mut self.servers[number];
        let honest = Report {
            running: server.running,
            waiting: u32::try_from(server.waiting.len()).expect("few"),
            slots: SLOTS,
            pace: self.shares_machines.then_some(server.pace),
        };
        let requests = |running, waiting| Report {
            running,
            waiting,
            ..honest
        };
        match self.reporting {
            Reporting::Missing => None,
            Reporting::SomeMissing(count) if number < count => None,
            Reporting::SomeIdle(count) if number < count => Some(requests(0, 0)),
            Reporting::SomeFull(count) if number < count => Some(requests(SLOTS, 12)),
            Reporting::Late => {
                server.reported.push_back((now, honest));
                let is_old = |at: Duration| now - at > Duration::from_secs(1);
                while server.reported.get(1).is_some_and(|(at, _)| is_old(*at)) {
                    server.reported.pop_front();
                }
                server.reported.front().map(|(_, report)| *report)
            }
            _ => Some(honest),
        }
    }

    /// Returns the mean share of the first `count` upstreams in the requests, as a multiple of that of all.
    fn share_of_first(&self, count: usize) -> f64 {
        let sent = |servers: &[Server]| servers.iter().map(|server| server.sent).sum::<u32>();
        let first = f64::from(sent(&self.servers[..count])) / count as f64;
        first * self.servers.len() as f64 / f64::from(sent(&self.servers))
    }

    /// Returns the longest time for which an upstream got no request.
    fn longest_gap(&self) -> Duration {
        let gaps = self
            .servers
            .iter()
            .map(|server| server.longest_gap.max(self.now - server.last_sent_at));
        gaps.max().unwrap_or_default()
    }
}

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
