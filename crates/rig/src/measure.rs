//! The measures of a run: correctness, availability, balance and latency.

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

/// The largest number of ownership overlaps that are printed.
const MAX_PRINTED_OVERLAPS: usize = 10;

/// The shortest wait for an answer that counts as an outage; a shorter one counts as latency only.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(100);

/// The measures of one run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Summary {
    /// The name of the scenario.
    pub scenario: String,
    /// The router under test: `copperwell` or `naive`.
    pub router: String,
    /// The seed that the load was generated from.
    pub seed: u64,
    /// Requests offered.
    pub requests: u64,
    /// Requests that got the complete answer of their owner.
    pub done: u64,
    /// Requests whose last verdict is "not run".
    pub not_run: u64,
    /// Requests whose last verdict is "may have run", or that got no verdict.
    pub may_have_run: u64,
    /// Answers that belong to another request, or are malformed.
    pub wrong_answers: u64,
    /// Intervals in which two servers owned the same shard.
    pub double_owned: u64,
    /// Requests that are not repeatable but ran more than once.
    pub twice_run: u64,
    /// Requests that ran although all of their verdicts are "not run".
    pub false_not_run: u64,
    /// The highest ratio of an upstream's requests to the mean of its service, over all services.
    pub imbalance: f64,
    /// The highest ratio of an upstream's requests to the mean, by service.
    pub imbalance_by_service: BTreeMap<String, f64>,
    /// Changes of a shard's owner after the start of the load.
    pub moves: u64,
    /// Changes of owner per key that was requested.
    pub moves_per_key_served: f64,
    /// The median over keys of the longest outage.
    pub unavailable_ms_p50: u64,
    /// The 99th percentile over keys of the longest outage.
    pub unavailable_ms_p99: u64,
    /// The longest outage of any key.
    pub unavailable_ms_max: u64,
    /// The median latency of answers, measured from the time at which the request was due.
    pub p50_ms: f64,
    /// The 99th percentile of latency.
    pub p99_ms: f64,
    /// The 99.9th percentile of latency.
    pub p999_ms: f64,
    /// The 99th percentile of latency, by service.
    pub p99_ms_by_service: BTreeMap<String, f64>,
    /// Retries that daemons sent.
    pub retries: u64,
    /// Records appended to the log after the start of the load.
    pub appends: u64,
    /// The mean control traffic of a daemon, received and sent, in bytes per second.
    pub control_bytes_per_s: f64,
    /// Requests without an answer from the owner, by reason.
    pub reasons: BTreeMap<String, u64>,
}

/// Computes the measures that follow from the callers' results and the servers' record.
///
/// The fields that depend on the daemons or on the scenario are left at their defaults.
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
            .filter(|change| change.at >= start)
            .count() as u64,
        ..Summary::default()
    };
    for overlap in record.overlaps().iter().take(MAX_PRINTED_OVERLAPS) {
        eprintln!("a shard had two owners at the same time: {overlap:?}");
    }
    count_verdicts(results, &mut summary);
    let runs = record.runs();
    summary.false_not_run = false_not_run(results, &runs);
    summary.imbalance_by_service = imbalance(&runs, start);
    summary.imbalance = summary
        .imbalance_by_service
        .values()
        .copied()
        .fold(0.0, f64::max);
    let outages = longest_outage_by_key(results, manifest);
    summary.moves_per_key_served = summary.moves as f64 / outages.len().max(1) as f64;
    let distribution = histogram(outages.iter().copied());
    summary.unavailable_ms_p50 = distribution.value_at_quantile(0.5) / 1000;
    summary.unavailable_ms_p99 = distribution.value_at_quantile(0.99) / 1000;
    summary.unavailable_ms_max = outages.iter().max().map_or(0, |longest| millis(*longest));
    latencies(results, &mut summary);
    summary
}

fn count_verdicts(results: &[Result], summary: &mut Summary) {
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
    let mut runs_by_id: HashMap<&str, u64> = HashMap::default();
    // A run that its server undid because its lease had expired took no effect.
    for run in runs.iter().filter(|run| run.outcome != Outcome::Undone) {
        if let Some(id) = &run.idempotency {
            *runs_by_id.entry(id).or_default() += 1;
        }
    }
    let false_verdicts = results.iter().filter(|result| {
        let is_all_not_run = result
            .verdicts
            .iter()
            .all(|verdict| *verdict == Verdict::NotRun);
        is_all_not_run
            && result
                .id
                .is_some_and(|id| runs_by_id.contains_key(id.to_string().as_str()))
    });
    false_verdicts.count() as u64
}

fn imbalance(runs: &[Run], start: Instant) -> BTreeMap<String, f64> {
    let mut by_service: BTreeMap<&str, BTreeMap<&str, u64>> = BTreeMap::new();
    for run in runs.iter().filter(|run| run.start >= start) {
        let servers = by_service.entry(&run.shard.service).or_default();
        *servers.entry(&run.server).or_default() += 1;
    }
    let ratios = by_service.into_iter().map(|(service, servers)| {
        let sum: u64 = servers.values().sum();
        let most = servers.values().max().copied().unwrap_or(0);
        let ratio = most as f64 * servers.len() as f64 / sum.max(1) as f64;
        (service.to_owned(), ratio)
    });
    ratios.collect()
}

/// Returns the longest outage of its shard for each key that was requested.
fn longest_outage_by_key(results: &[Result], manifest: &Manifest) -> Vec<Duration> {
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
        .map(|(shard, results)| (shard, longest_outage(results)))
        .collect();
    let outage = |((service, _), index): (&(&str, &str), &u32)| {
        outages
            .get(&(*service, *index))
            .copied()
            .unwrap_or_default()
    };
    keys.iter().map(outage).collect()
}

/// Returns the longest outage in the results of one shard.
///
/// An outage is a sequence of requests without a prompt answer. It lasts from the time at which the
/// first one was due until the last one was answered late or refused.
fn longest_outage(mut results: Vec<&Result>) -> Duration {
    results.sort_by_key(|result| result.due);
    let mut longest = Duration::ZERO;
    let mut outage_start: Option<Instant> = None;
    for result in results {
        let is_prompt =
            result.verdicts.last() == Some(&Verdict::Done) && result.latency < OUTAGE_THRESHOLD;
        if is_prompt {
            outage_start = None;
            continue;
        }
        let from = *outage_start.get_or_insert(result.due);
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

/// Returns a histogram of durations in microseconds.
fn histogram(values: impl Iterator<Item = Duration>) -> Histogram<u64> {
    let mut histogram = Histogram::new_with_bounds(1, 3_600_000_000, 3)
        .expect("the bounds and three digits are supported");
    for value in values {
        let micros = u64::try_from(value.as_micros()).unwrap_or(u64::MAX);
        histogram.saturating_record(micros);
    }
    histogram
}

/// Returns a quantile in milliseconds.
fn quantile(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
