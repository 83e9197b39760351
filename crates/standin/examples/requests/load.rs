//! Open and closed loops of requests.

use std::{
    collections::BTreeMap,
    io,
    net::Ipv4Addr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use crate::target::{Failure, Way, client};
use copperwell_rig::{node::Node, usage::Usage};
use futures::future::join_all;
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rand_distr::{Distribution, Exp1};
use serde::Serialize;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until, timeout},
};

/// Keys in use.
const KEYS: u32 = 2000;

/// Load before the figures begin, so that connections are open.
const WARM_UP: Duration = Duration::from_secs(1);

/// The deadline of requests whose time does not matter.
pub(crate) const LONG: Duration = Duration::from_secs(5);

/// How long callers of overloaded servers wait beyond their deadline.
const PATIENCE: Duration = Duration::from_secs(5);

/// The caller hung up.
const HUNG_UP: Failure = "hung-up";

/// Requests at a time when throughput is measured.
const CONCURRENCY: usize = 64;

/// An open loop of requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Load {
    pub(crate) rate: f64,
    /// Keys of each request.
    pub(crate) keys: usize,
    /// How long each runs at its server.
    pub(crate) service_ms: u64,
    pub(crate) deadline: Duration,
    /// The caller's address.
    pub(crate) from: Ipv4Addr,
}

/// What became of one request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Answer {
    pub(crate) outcome: Result<(), Failure>,
    pub(crate) latency: Duration,
}

/// Figures of an open loop.
#[derive(Debug, Serialize)]
pub(crate) struct Figure {
    pub(crate) name: String,
    pub(crate) offered: usize,
    /// Answers of owners, in time or not.
    pub(crate) done: usize,
    /// Why the others have none.
    pub(crate) failed: BTreeMap<Failure, u64>,
    /// Answers of owners within the deadline, per second.
    pub(crate) good_per_s: f64,
    pub(crate) p50_ms: f64,
    pub(crate) p99_ms: f64,
    pub(crate) p999_ms: f64,
    /// What servers ran meanwhile, also to warm up and for other loads.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) ran: Option<u64>,
    /// What of that whole answers needed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) needed: Option<usize>,
}

/// Figures of a closed loop: one daemon in one role.
#[derive(Debug, Serialize)]
pub(crate) struct Core {
    pub(crate) role: &'static str,
    pub(crate) done_per_s: f64,
    pub(crate) failed: u64,
    /// CPU seconds per second.
    pub(crate) cores: f64,
    /// Requests per CPU second.
    pub(crate) per_core: f64,
}

impl Figure {
    pub(crate) fn new(name: String, answers: &[Answer], load: Load, seconds: u64) -> Self {
        let mut histogram = Histogram::<u64>::new_with_bounds(1, 3_600_000_000, 3)
            .expect("the bounds and three digits are supported");
        let done = answers.iter().filter(|answer| answer.outcome.is_ok());
        for answer in done.clone() {
            let micros = u64::try_from(answer.latency.as_micros()).unwrap_or(u64::MAX);
            histogram.saturating_record(micros);
        }
        let good = done
            .clone()
            .filter(|answer| answer.latency <= load.deadline);
        let mut failed = BTreeMap::new();
        for failure in answers.iter().filter_map(|answer| answer.outcome.err()) {
            *failed.entry(failure).or_default() += 1;
        }
        let millis = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        Self {
            name,
            offered: answers.len(),
            done: done.count(),
            failed,
            good_per_s: good.count() as f64 / seconds as f64,
            p50_ms: millis(0.5),
            p99_ms: millis(0.99),
            p999_ms: millis(0.999),
            ran: None,
            needed: None,
        }
    }

    /// Adds what servers ran meanwhile.
    pub(crate) fn with_ran(mut self, ran: u64) -> Self {
        self.ran = Some(ran);
        self
    }

    /// Adds what of that whole answers needed.
    pub(crate) fn with_needed(mut self, needed: usize) -> Self {
        self.needed = Some(needed);
        self
    }
}

/// A request to send: when, and for which keys.
pub(crate) type Ask = (Duration, Vec<String>);

/// What became of an open loop.
#[derive(Debug, Default)]
pub(crate) struct Offer {
    /// In the time to warm up.
    warm: Vec<Answer>,
    /// After it.
    pub(crate) counted: Vec<Answer>,
}

impl Offer {
    /// Owners' answers, also in the time to warm up.
    pub(crate) fn done(&self) -> usize {
        let all = self.warm.iter().chain(&self.counted);
        all.filter(|answer| answer.outcome.is_ok()).count()
    }

    /// What became of both.
    pub(crate) fn join(mut self, other: Self) -> Self {
        self.warm.extend(other.warm);
        self.counted.extend(other.counted);
        self
    }
}

/// Offers load and gives what became of it after the time to warm up.
pub(crate) async fn open_loop(way: &Way, load: Load, seconds: u64, seed: u64) -> Vec<Answer> {
    whole_loop(way, load, seconds, seed).await.counted
}

/// Offers load and gives what became of it.
pub(crate) async fn whole_loop(way: &Way, load: Load, seconds: u64, seed: u64) -> Offer {
    let asks = asks(load, seconds, seed);
    let warm = asks.iter().take_while(|(at, _)| *at < WARM_UP).count();
    let mut all = send_all(way, load, asks).await;
    let counted = all.split_off(warm.min(all.len()));
    Offer { warm: all, counted }
}

pub(crate) fn asks(load: Load, seconds: u64, seed: u64) -> Vec<Ask> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut at = Duration::ZERO;
    let mut asks = Vec::new();
    loop {
        let pause: f64 = Exp1.sample(&mut random);
        at += Duration::from_secs_f64(pause / load.rate);
        if at >= WARM_UP + Duration::from_secs(seconds) {
            return asks;
        }
        asks.push((at, (0..load.keys).map(|_| key(&mut random)).collect()));
    }
}

fn key(random: &mut StdRng) -> String {
    format!("k{}", random.random_range(0..KEYS))
}

/// Sends each request at its time, however slow the answers are; the order stays.
pub(crate) async fn send_all(way: &Way, load: Load, asks: Vec<Ask>) -> Vec<Answer> {
    let client = client(load.from);
    let start = Instant::now();
    let mut running = Vec::with_capacity(asks.len());
    for (at, keys) in asks {
        sleep_until(start + at).await;
        let (way, client) = (way.clone(), client.clone());
        running.push(tokio::spawn(async move {
            // The timer is as coarse as the latencies, so the clock runs from the sending.
            let sent = Instant::now();
            let answer = way.send(&client, &keys, load);
            let outcome = timeout(load.deadline + PATIENCE, answer).await;
            Answer {
                outcome: outcome.unwrap_or(Err(HUNG_UP)),
                latency: sent.elapsed(),
            }
        }));
    }
    let answers = join_all(running).await.into_iter();
    answers.filter_map(Result::ok).collect()
}

/// Keeps a fixed number of requests running and reads the CPU time of daemons.
pub(crate) async fn closed_loop(
    seconds: u64,
    seed: u64,
    entry: &Node,
    daemons: &[(&'static str, &Node)],
) -> io::Result<Vec<Core>> {
    let load = Load {
        rate: 0.0,
        keys: 1,
        service_ms: 0,
        deadline: LONG,
        from: Ipv4Addr::LOCALHOST,
    };
    let (done, failed) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut callers = JoinSet::new();
    let client = client(load.from);
    for index in 0..CONCURRENCY as u64 {
        let (way, client) = (Way::daemon(entry), client.clone());
        let (done, failed) = (done.clone(), failed.clone());
        let mut random = StdRng::seed_from_u64(seed.wrapping_mul(31).wrapping_add(index));
        callers.spawn(async move {
            loop {
                let outcome = way.send(&client, &[key(&mut random)], load).await;
                let counter = if outcome.is_ok() { &done } else { &failed };
                counter.fetch_add(1, Ordering::Relaxed);
            }
        });
    }
    sleep(WARM_UP).await;
    let begin = Instant::now();
    let (done_before, failed_before) =
        (done.load(Ordering::Relaxed), failed.load(Ordering::Relaxed));
    let before: io::Result<Vec<Duration>> = daemons
        .iter()
        .map(|(_, node)| processor_time(node))
        .collect();
    sleep(Duration::from_secs(seconds)).await;
    let count = done.load(Ordering::Relaxed) - done_before;
    let failed = failed.load(Ordering::Relaxed) - failed_before;
    let took = begin.elapsed().as_secs_f64();
    let mut figures = Vec::new();
    for ((role, node), before) in daemons.iter().zip(before?) {
        let cpu = (processor_time(node)? - before).as_secs_f64();
        figures.push(Core {
            role,
            done_per_s: count as f64 / took,
            failed,
            cores: cpu / took,
            per_core: count as f64 / cpu,
        });
    }
    Ok(figures)
}

fn processor_time(node: &Node) -> io::Result<Duration> {
    Usage::of(node)?.processor_time()
}
