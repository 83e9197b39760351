//! What a run shows of the users' measures.

use std::{collections::BTreeMap, time::Duration};

use crate::load::Result;
use copperwell_keyspace::{HashMap, manifest::Manifest, shard};
use copperwell_message::Verdict;
use copperwell_standin::backend::{
    Record,
    record::{Outcome, Run},
};
use hdrhistogram::Histogram;
use serde::Serialize;
use tokio::time::Instant;

/// Overlaps that are told one by one.
const OVERLAPS_TOLD: usize = 10;

/// A shorter time without an answer counts as latency, not as lost service.
const NOTICED: Duration = Duration::from_millis(100);

/// The measures of one run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Summary {
    /// The scenario.
    pub scenario: String,
    /// The router.
    pub router: String,
    /// The seed of the load.
    pub seed: u64,
    /// Requests offered.
    pub requests: u64,
    /// Requests with their owner's whole answer.
    pub done: u64,
    /// Requests that the router says did not run.
    pub not_run: u64,
    /// Requests of which nobody can tell.
    pub may_have_run: u64,
    /// Answers that were another request's, or not whole.
    pub wrong_answers: u64,
    /// Times when two servers owned a shard.
    pub double_owned: u64,
    /// Requests that are not repeatable and ran more than once.
    pub twice_run: u64,
    /// Requests that ran though each of their verdicts was that they did not.
    pub false_not_run: u64,
    /// The worst upstream's share of its service's requests over the mean.
    pub imbalance: f64,
    /// The same for each service.
    pub imbalance_by_service: BTreeMap<String, f64>,
    /// Changes of a shard's owner after the start.
    pub moves: u64,
    /// Changes of owner for each key served.
    pub moves_per_key_served: f64,
    /// Half of the keys were without service for at most this long.
    pub unavailable_ms_p50: u64,
    /// 99 of 100 keys were without service for at most this long.
    pub unavailable_ms_p99: u64,
    /// No key was without service for longer.
    pub unavailable_ms_max: u64,
    /// The latency of half of the answers, from the time they were due.
    pub p50_ms: f64,
    /// The latency of 99 of 100 answers.
    pub p99_ms: f64,
    /// The latency of 999 of 1,000 answers.
    pub p999_ms: f64,
    /// The latency of 99 of 100 answers of each service.
    pub p99_ms_by_service: BTreeMap<String, f64>,
    /// Requests that daemons sent again.
    pub retries: u64,
    /// Records appended to the log after the start.
    pub appends: u64,
    /// Bytes that a daemon received and sent for control, each second.
    pub control_bytes_per_s: f64,
    /// Requests without an answer, by reason.
    pub reasons: BTreeMap<String, u64>,
}

/// Works out the measures that follow from answers and from the servers' own record.
#[must_use]
pub fn summary(
    results: &[Result],
    record: &Record,
    manifest: &Manifest,
    start: Instant,
) -> Summary {
    let mut summary = Summary {
        requests: results.len() as u64,
        double_owned: record.overlaps().len() as u64,
        twice_run: record.twice_run().len() as u64,
        moves: record
            .moves()
            .iter()
            .filter(|moved| moved.at >= start)
            .count() as u64,
        ..Summary::default()
    };
    for overlap in record.overlaps().iter().take(OVERLAPS_TOLD) {
        eprintln!("two owners: {overlap:?}");
    }
    count(results, &mut summary);
    let runs = record.runs();
    summary.false_not_run = false_not_run(results, &runs);
    summary.imbalance_by_service = imbalance(&runs, start);
    summary.imbalance = summary
        .imbalance_by_service
        .values()
        .copied()
        .fold(0.0, f64::max);
    let keys = unavailable_by_key(results, manifest);
    summary.moves_per_key_served = summary.moves as f64 / keys.len().max(1) as f64;
    let outage = histogram(keys.iter().copied());
    summary.unavailable_ms_p50 = outage.value_at_quantile(0.5) / 1000;
    summary.unavailable_ms_p99 = outage.value_at_quantile(0.99) / 1000;
    summary.unavailable_ms_max = keys.iter().max().map_or(0, |longest| millis(*longest));
    latencies(results, &mut summary);
    summary
}

fn count(results: &[Result], summary: &mut Summary) {
    for result in results {
        match result.verdicts.last() {
            Some(Verdict::Done) => summary.done += 1,
            Some(Verdict::NotRun) => summary.not_run += 1,
            Some(Verdict::MayHaveRun) | None => summary.may_have_run += 1,
        }
        summary.wrong_answers += u64::from(result.wrong);
        if let Some(reason) = result.reason {
            *summary
                .reasons
                .entry(reason.as_str().to_owned())
                .or_default() += 1;
        }
    }
}

fn false_not_run(results: &[Result], runs: &[Run]) -> u64 {
    let mut ran: HashMap<&str, u64> = HashMap::default();
    // A run that its server undid, since its right had lapsed, took no effect.
    for run in runs.iter().filter(|run| run.outcome != Outcome::Undone) {
        if let Some(id) = &run.idempotency {
            *ran.entry(id).or_default() += 1;
        }
    }
    let refused = results.iter().filter(|result| {
        let never = result
            .verdicts
            .iter()
            .all(|verdict| *verdict == Verdict::NotRun);
        never
            && result
                .id
                .is_some_and(|id| ran.contains_key(id.to_string().as_str()))
    });
    refused.count() as u64
}

fn imbalance(runs: &[Run], start: Instant) -> BTreeMap<String, f64> {
    let mut by_service: BTreeMap<&str, BTreeMap<&str, u64>> = BTreeMap::new();
    for run in runs.iter().filter(|run| run.start >= start) {
        let servers = by_service.entry(&run.shard.service).or_default();
        *servers.entry(&run.server).or_default() += 1;
    }
    let worst = by_service.into_iter().map(|(service, servers)| {
        let sum: u64 = servers.values().sum();
        let most = servers.values().max().copied().unwrap_or(0);
        let worst = most as f64 * servers.len() as f64 / sum.max(1) as f64;
        (service.to_owned(), worst)
    });
    worst.collect()
}

/// For each key that was asked for, the longest time without service of its shard.
fn unavailable_by_key(results: &[Result], manifest: &Manifest) -> Vec<Duration> {
    let mut by_shard: HashMap<(&str, u32), Vec<&Result>> = HashMap::default();
    let mut keys: HashMap<(&str, &str), u32> = HashMap::default();
    for result in results {
        let offer = &result.offer;
        let shards = manifest
            .service(&offer.service)
            .map_or(1, |service| service.shards);
        let index = shard::index_of(&offer.key, shards);
        by_shard
            .entry((&offer.service, index))
            .or_default()
            .push(result);
        keys.insert((&offer.service, &offer.key), index);
    }
    let outages: HashMap<(&str, u32), Duration> = by_shard
        .into_iter()
        .map(|(place, results)| (place, longest_outage(results)))
        .collect();
    let outage = |((service, _), index): (&(&str, &str), &u32)| {
        outages
            .get(&(*service, *index))
            .copied()
            .unwrap_or_default()
    };
    keys.iter().map(outage).collect()
}

/// The longest stretch of requests without a prompt answer, from when the first was due until the
/// last was answered late or refused.
fn longest_outage(mut results: Vec<&Result>) -> Duration {
    results.sort_by_key(|result| result.due);
    let mut longest = Duration::ZERO;
    let mut begun: Option<Instant> = None;
    for result in results {
        let is_prompt = result.verdicts.last() == Some(&Verdict::Done) && result.latency < NOTICED;
        if is_prompt {
            begun = None;
            continue;
        }
        let from = *begun.get_or_insert(result.due);
        let until = result.due + result.latency;
        longest = longest.max(until.saturating_duration_since(from));
    }
    longest
}

fn latencies(results: &[Result], summary: &mut Summary) {
    let done = || {
        results
            .iter()
            .filter(|result| result.verdicts.last() == Some(&Verdict::Done))
    };
    let all = histogram(done().map(|result| result.latency));
    summary.p50_ms = quantile(&all, 0.5);
    summary.p99_ms = quantile(&all, 0.99);
    summary.p999_ms = quantile(&all, 0.999);
    let services = done().map(|result| result.offer.service.as_str());
    let services: std::collections::BTreeSet<&str> = services.collect();
    for service in services {
        let own = done().filter(|result| result.offer.service == service);
        let own = histogram(own.map(|result| result.latency));
        summary
            .p99_ms_by_service
            .insert(service.to_owned(), quantile(&own, 0.99));
    }
}

/// A histogram of microseconds.
fn histogram(values: impl Iterator<Item = Duration>) -> Histogram<u64> {
    let mut histogram = Histogram::new_with_bounds(1, 3_600_000_000, 3)
        .expect("the bounds and three digits are supported");
    for value in values {
        let micros = u64::try_from(value.as_micros()).unwrap_or(u64::MAX);
        histogram.saturating_record(micros);
    }
    histogram
}

fn quantile(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
