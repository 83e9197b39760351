//! Simulated daemons, upstreams with slots and a queue, and the connections between them.

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
use tokio::time::Instant;

/// The mean time of a request at an upstream of usual speed, in seconds.
const SERVICE_TIME_S: f64 = 0.27;

pub(crate) const SLOTS: u32 = 3;

/// How many requests wait at an upstream; others are turned away.
const WAITING_MAX: usize = 12;

/// How long an upstream keeps an idle connection.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

const DATA_CENTRES: usize = 3;

/// How upstreams report their load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reporting {
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

pub(crate) struct Server {
    pub(crate) upstream: Arc<Upstream>,
    speed: f64,
    pace: f64,
    running: u32,
    waiting: VecDeque<Waiting>,
    /// The requests that it got since the measure began.
    pub(crate) sent: u32,
    last_sent_at: Duration,
    longest_gap: Duration,
    /// What was true within the last second.
    reported: VecDeque<(Duration, Report)>,
}

/// What is measured between two points in time.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Measure {
    requests: u32,
    opened: u32,
    full: u32,
    pub(crate) shed: u32,
    waited_s: f64,
    taken_s: f64,
}

impl Measure {
    pub(crate) fn opened_share(&self) -> f64 {
        f64::from(self.opened) / f64::from(self.requests)
    }

    pub(crate) fn full_share(&self) -> f64 {
        f64::from(self.full) / f64::from(self.requests)
    }

    pub(crate) fn mean_time_s(&self) -> f64 {
        self.taken_s / f64::from(self.requests)
    }

    pub(crate) fn mean_wait_s(&self) -> f64 {
        self.waited_s / f64::from(self.requests)
    }
}

pub(crate) struct Fleet {
    pub(crate) start: Instant,
    pub(crate) now: Duration,
    rate: f64,
    pub(crate) daemons: Vec<Loads>,
    /// The running sum of the shares of daemons in all requests.
    shares: Vec<f64>,
    pub(crate) servers: Vec<Server>,
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

pub(crate) fn upstream(number: usize) -> Arc<Upstream> {
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
    pub(crate) fn new(daemons: usize, upstreams: usize, rate: f64, reporting: Reporting) -> Self {
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

    pub(crate) fn add_upstream(&mut self, number: usize) {
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
    pub(crate) fn without_subsets(mut self) -> Self {
        for daemon in &mut self.daemons {
            daemon.set_daemons(0);
        }
        self
    }

    /// Has machines change their pace every 400 ms, between 0.5 and 1.9; three upstreams share one.
    pub(crate) fn with_shared_machines(mut self) -> Self {
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
    pub(crate) fn run(&mut self, time: Duration) -> Measure {
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
    pub(crate) fn share_of_first(&self, count: usize) -> f64 {
        let sent = |servers: &[Server]| servers.iter().map(|server| server.sent).sum::<u32>();
        let first = f64::from(sent(&self.servers[..count])) / count as f64;
        first * self.servers.len() as f64 / f64::from(sent(&self.servers))
    }

    /// Returns the longest time for which an upstream got no request.
    pub(crate) fn longest_gap(&self) -> Duration {
        let gaps = self
            .servers
            .iter()
            .map(|server| server.longest_gap.max(self.now - server.last_sent_at));
        gaps.max().unwrap_or_default()
    }
}
