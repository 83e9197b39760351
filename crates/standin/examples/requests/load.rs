//! Offers open and closed loops of requests, and computes their figures.

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

use crate::target::{Failure, Target, client};
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

/// The number of different keys.
const KEYS: u32 = 2000;

/// The duration of the load before the measurement, in which connections are opened.
const WARM_UP: Duration = Duration::from_secs(1);

/// The deadline of requests that are not measured against a deadline.
pub(crate) const LONG_DEADLINE: Duration = Duration::from_secs(5);

/// The time that callers wait beyond the deadline, since servers may be overloaded.
const EXTRA_WAIT: Duration = Duration::from_secs(5);

/// The caller gave up waiting.
const GAVE_UP: Failure = "hung-up";

/// The number of concurrent requests when throughput is measured.
const CONCURRENCY: usize = 64;

/// An open loop of requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Load {
    pub(crate) rate: f64,
    /// The number of keys of each request.
    pub(crate) keys: usize,
    /// The service time at each server, in milliseconds.
    pub(crate) service_ms: u64,
    pub(crate) deadline: Duration,
    /// The caller's address.
    pub(crate) from: Ipv4Addr,
}

/// The outcome of one request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Completion {
    pub(crate) outcome: Result<(), Failure>,
    pub(crate) latency: Duration,
}

/// Figures of an open loop.
#[derive(Debug, Serialize)]
pub(crate) struct Figure {
    pub(crate) name: String,
    pub(crate) offered: usize,
    /// The number of answers from owners, in time or late.
    pub(crate) done: usize,
    /// The number of requests without such an answer, by reason.
    pub(crate) failed: BTreeMap<Failure, u64>,
    /// The number of answers from owners within the deadline, per second.
    pub(crate) good_per_s: f64,
    pub(crate) p50_ms: f64,
    pub(crate) p99_ms: f64,
    pub(crate) p999_ms: f64,
    /// The number of runs at servers meanwhile, including the warm-up and other loads.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) ran: Option<u64>,
    /// The number of those runs that complete answers needed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) needed: Option<usize>,
}

/// Figures of a closed loop for one daemon in one role.
#[derive(Debug, Serialize)]
pub(crate) struct RoleFigure {
    pub(crate) role: &'static str,
    pub(crate) done_per_s: f64,
    pub(crate) failed: u64,
    /// The CPU time used, in seconds per second.
    pub(crate) cores: f64,
    /// The number of requests per second of CPU time.
    pub(crate) per_core: f64,
}

impl Figure {
    pub(crate) fn new(name: String, completions: &[Completion], load: Load, seconds: u64) -> Self {
        let mut histogram = Histogram::<u64>::new_with_bounds(1, 3_600_000_000, 3)
            .expect("the bounds and three digits are supported");
        let done = completions
            .iter()
            .filter(|completion| completion.outcome.is_ok());
        for completion in done.clone() {
            let latency_us = u64::try_from(completion.latency.as_micros()).unwrap_or(u64::MAX);
            histogram.saturating_record(latency_us);
        }
        let good = done
            .clone()
            .filter(|completion| completion.latency <= load.deadline);
        let mut failed = BTreeMap::new();
        for failure in completions
            .iter()
            .filter_map(|completion| completion.outcome.err())
        {
            *failed.entry(failure).or_default() += 1;
        }
        let quantile_ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        Self {
            name,
            offered: completions.len(),
            done: done.count(),
            failed,
            good_per_s: good.count() as f64 / seconds as f64,
            p50_ms: quantile_ms(0.5),
            p99_ms: quantile_ms(0.99),
            p999_ms: quantile_ms(0.999),
            ran: None,
            needed: None,
        }
    }

    /// Adds the number of runs at servers meanwhile.
    pub(crate) fn with_runs(mut self, runs: u64) -> Self {
        self.ran = Some(runs);
        self
    }

    /// Adds the number of runs that complete answers needed.
    pub(crate) fn with_needed(mut self, needed: usize) -> Self {
        self.needed = Some(needed);
        self
    }
}

/// A request to send: its start time and its keys.
pub(crate) type ScheduledRequest = (Duration, Vec<String>);

/// The outcomes of the requests of an open loop.
#[derive(Debug, Default)]
pub(crate) struct Outcomes {
    /// Outcomes in the warm-up.
    warm_up: Vec<Completion>,
    /// Outcomes after the warm-up.
    pub(crate) measured: Vec<Completion>,
}

impl Outcomes {
    /// Returns the number of answers from owners, including the warm-up.
    pub(crate) fn done(&self) -> usize {
        let all = self.warm_up.iter().chain(&self.measured);
        all.filter(|completion| completion.outcome.is_ok()).count()
    }

    /// Merges the outcomes of two loops.
    pub(crate) fn join(mut self, other: Self) -> Self {
        self.warm_up.extend(other.warm_up);
        self.measured.extend(other.measured);
        self
    }
}

/// Offers load and returns the outcomes after the warm-up.
pub(crate) async fn open_loop(
    target: &Target,
    load: Load,
    seconds: u64,
    seed: u64,
) -> Vec<Completion> {
    open_loop_with_warm_up(target, load, seconds, seed)
        .await
        .measured
}

/// Offers load and returns all outcomes.
pub(crate) async fn open_loop_with_warm_up(
    target: &Target,
    load: Load,
    seconds: u64,
    seed: u64,
) -> Outcomes {
    let requests = schedule(load, seconds, seed);
    let warm_up_count = requests.iter().take_while(|(at, _)| *at < WARM_UP).count();
    let mut all = send_all(target, load, requests).await;
    let measured = all.split_off(warm_up_count.min(all.len()));
    Outcomes {
        warm_up: all,
        measured,
    }
}

pub(crate) fn schedule(load: Load, seconds: u64, seed: u64) -> Vec<ScheduledRequest> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut at = Duration::ZERO;
    let mut requests = Vec::new();
    loop {
        let interval: f64 = Exp1.sample(&mut random);
        at += Duration::from_secs_f64(interval / load.rate);
        if at >= WARM_UP + Duration::from_secs(seconds) {
            return requests;
        }
        requests.push((at, (0..load.keys).map(|_| key(&mut random)).collect()));
    }
}

fn key(random: &mut StdRng) -> String {
    format!("k{}", random.random_range(0..KEYS))
}

/// Sends each request at its start time, regardless of earlier answers, and returns the outcomes in
/// the order of the requests.
pub(crate) async fn send_all(
    target: &Target,
    load: Load,
    requests: Vec<ScheduledRequest>,
) -> Vec<Completion> {
    let client = client(load.from);
    let start = Instant::now();
    let mut running = Vec::with_capacity(requests.len());
    for (at, keys) in requests {
        sleep_until(start + at).await;
        let (target, client) = (target.clone(), client.clone());
        running.push(tokio::spawn(async move {
            // The timer is as coarse as the latencies, so latency is measured from the actual send.
            let sent = Instant::now();
            let response = target.send(&client, &keys, load);
            let outcome = timeout(load.deadline + EXTRA_WAIT, response).await;
            Completion {
                outcome: outcome.unwrap_or(Err(GAVE_UP)),
                latency: sent.elapsed(),
            }
        }));
    }
    let completions = join_all(running).await.into_iter();
    completions.filter_map(Result::ok).collect()
}

/// Keeps a fixed number of requests in flight and measures the CPU time of daemons.
pub(crate) async fn closed_loop(
    seconds: u64,
    seed: u64,
    entry: &Node,
    daemons: &[(&'static str, &Node)],
) -> io::Result<Vec<RoleFigure>> {
    let load = Load {
        rate: 0.0,
        keys: 1,
        service_ms: 0,
        deadline: LONG_DEADLINE,
        from: Ipv4Addr::LOCALHOST,
    };
    let (done, failed) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut callers = JoinSet::new();
    let client = client(load.from);
    for index in 0..CONCURRENCY as u64 {
        let (target, client) = (Target::daemon(entry), client.clone());
        let (done, failed) = (done.clone(), failed.clone());
        let mut random = StdRng::seed_from_u64(seed.wrapping_mul(31).wrapping_add(index));
        callers.spawn(async move {
            loop {
                let outcome = target.send(&client, &[key(&mut random)], load).await;
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
    let elapsed = begin.elapsed().as_secs_f64();
    let mut figures = Vec::new();
    for ((role, node), before) in daemons.iter().zip(before?) {
        let cpu = (processor_time(node)? - before).as_secs_f64();
        figures.push(RoleFigure {
            role,
            done_per_s: count as f64 / elapsed,
            failed,
            cores: cpu / elapsed,
            per_core: count as f64 / cpu,
        });
    }
    Ok(figures)
}

fn processor_time(node: &Node) -> io::Result<Duration> {
    Usage::of(node)?.processor_time()
}
