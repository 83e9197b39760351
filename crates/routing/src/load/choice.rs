//! The cost of a request at each upstream, and the choice among them.

use std::{sync::Arc, time::Duration};

use super::{
    Loads,
    observation::Load,
    subset::{self, Demand},
};
use crate::{UpstreamId, registry::Upstream};
use rand::{Rng, RngExt};
use tokio::time::Instant;

/// The cost that is added, as a multiple of the base cost, if every request at an upstream fails.
const FAILURE_COST: f64 = 20.0;

/// The cost factor of an upstream in another data centre.
const REMOTE_COST: f64 = 1.3;

/// The cost factor of an upstream that is still warming up.
const WARMUP_COST: f64 = 2.0;

/// How many times the cost of an upstream outside of the preferred subset the best one in it may have.
const SPILL_OVER_COST: f64 = 1.5;

/// How long a report shows that an upstream reports its load.
const REPORTING_TTL: Duration = Duration::from_secs(10);

/// The share of the upstreams that have answered lately which must report their load for a subset to be used. Whether
/// the subset has room is known too late from latencies alone.
const REPORTING_SHARE: f64 = 0.5;

/// The weight of the usual latency of all upstreams in the estimate for one upstream, in samples. Requests differ in
/// cost, so a few samples say little about the upstream.
const PRIOR_SAMPLES: f64 = 3.0;

/// The cost reduction of an upstream without observations, as a share. Without it, daemons would always
/// return to upstreams that happened to get cheap requests and never try the others.
const EXPLORATION_BONUS: f64 = 0.3;

/// The cost factor of an upstream that must be checked before it is used. It exceeds the jitter, so that a daemon goes on
/// with equal ones that it has checked, and is below [`REMOTE_COST`].
pub(super) const CHECK_COST: f64 = 1.25;

/// The best upstream of several.
#[derive(Debug, Clone, Copy)]
struct Best<'a> {
    is_last_resort: bool,
    cost: f64,
    /// The cost without the bonus for what is unknown.
    expected: f64,
    upstream: &'a Arc<Upstream>,
}

impl Loads {
    /// Returns the upstream with the lowest cost, in which `warmup_cost` is a factor.
    pub(super) fn choose_by<'a>(
        &mut self,
        upstreams: &'a [Arc<Upstream>],
        zone: &str,
        avoid: &[UpstreamId],
        now: Instant,
        random: &mut impl Rng,
        warmup_cost: impl Fn(&Upstream) -> f64,
    ) -> Option<&'a Arc<Upstream>> {
        let subset = self.subset(upstreams, zone, now);
        let usual_s = self.usual_latency(upstreams);
        let (mut preferred, mut other): (Option<Best<'_>>, Option<Best<'_>>) = (None, None);
        for (index, upstream) in upstreams.iter().enumerate() {
            let is_closed = self.closed_for(&upstream.id, now).is_some();
            if upstream.is_draining || is_closed || !self.has_capacity(upstream) {
                continue;
            }
            let load = self.loads.get(&upstream.id);
            // Jitter keeps daemons from all choosing the same one of equal upstreams.
            let jitter = random.random_range(0.9..1.1);
            let (cost, bonus) = cost(upstream, load, usual_s, zone, now);
            let cost = cost * warmup_cost(upstream);
            let found = Best {
                is_last_resort: avoid.contains(&upstream.id)
                    || load.is_some_and(|load| load.is_paused(now)),
                cost: jitter * cost * bonus,
                expected: cost,
                upstream,
            };
            let is_preferred = subset.as_ref().is_none_or(|members| members[index]);
            let best = if is_preferred {
                &mut preferred
            } else {
                &mut other
            };
            let is_better = best.is_none_or(|best| {
                (found.is_last_resort, found.cost) < (best.is_last_resort, best.cost)
            });
            if is_better {
                *best = Some(found);
            }
        }
        let spills_over = match (preferred, other) {
            (Some(preferred), Some(other)) => {
                let limit = SPILL_OVER_COST * other.expected;
                (preferred.is_last_resort, preferred.expected) > (other.is_last_resort, limit)
            }
            (None, other) => other.is_some(),
            _ => false,
        };
        self.spill_overs += u64::from(spills_over);
        let best = if spills_over { other } else { preferred };
        best.map(|best| best.upstream)
    }

    /// Returns which upstreams this daemon prefers for a request that is to be sent now; `None` for all.
    fn subset(
        &mut self,
        upstreams: &[Arc<Upstream>],
        zone: &str,
        now: Instant,
    ) -> Option<Vec<bool>> {
        let identity = self.identity?;
        let service = &upstreams.first()?.service;
        let loads = upstreams.iter().filter_map(|one| self.loads.get(&one.id));
        let (mut in_flight, mut answered, mut reporting) = (0, 0_u32, 0_u32);
        for load in loads {
            in_flight += load.in_flight;
            let age = now.saturating_duration_since(load.updated_at);
            answered += u32::from(load.samples > 0.0 && age < REPORTING_TTL);
            let is_reporting = load
                .report
                .is_some_and(|known| known.age(now) < REPORTING_TTL);
            reporting += u32::from(is_reporting);
        }
        if reporting == 0 || f64::from(reporting) < REPORTING_SHARE * f64::from(answered) {
            self.demands.remove(service);
            return None;
        }
        let new = || Demand::new(now);
        let demand = self.demands.entry(service.clone()).or_insert_with(new);
        demand.record(in_flight, now);
        let size = demand.size(upstreams, zone, self.daemons);
        demand.record_subset(size);
        Some(subset::members(upstreams, identity, zone, size?))
    }

    /// Returns the median of the latencies of the upstreams that have answered.
    ///
    /// A mean would have one upstream that was very slow raise what is expected of all that are hardly known, itself
    /// among them: it would not be tried again.
    fn usual_latency(&self, upstreams: &[Arc<Upstream>]) -> f64 {
        let loads = upstreams
            .iter()
            .filter_map(|upstream| self.loads.get(&upstream.id));
        let mut known: Vec<f64> = loads
            .map(|load| load.latency_s)
            .filter(|latency| *latency > 0.0)
            .collect();
        if known.is_empty() {
            return f64::MIN_POSITIVE;
        }
        let middle = (known.len() - 1) / 2;
        let (_, median, _) = known.select_nth_unstable_by(middle, f64::total_cmp);
        *median
    }
}

/// Returns the cost of a request at an upstream, the expected wait in seconds times penalty factors, and a factor that
/// lowers it while little is known of the upstream.
fn cost(
    upstream: &Upstream,
    load: Option<&Load>,
    usual_s: f64,
    zone: &str,
    now: Instant,
) -> (f64, f64) {
    let (in_flight, latency_s, confidence, failure_rate) = match load {
        None => (0, usual_s, 0.0, 0.0),
        Some(load) => {
            let decay = load.decay(now);
            let own_s = if load.latency_s > 0.0 {
                load.latency_s
            } else {
                usual_s
            };
            let confidence = decay * load.samples / (load.samples + PRIOR_SAMPLES);
            let latency_s = usual_s + (own_s - usual_s) * confidence;
            (
                load.in_flight,
                latency_s,
                confidence,
                load.failure_rate * decay,
            )
        }
    };
    let slots = f64::from(upstream.slots.max(1));
    let mut cost = latency_s * (slots + f64::from(in_flight)) / slots;
    if let Some(report) = load.and_then(|load| load.report) {
        cost *= report.factor(in_flight, now);
    }
    cost *= 1.0 + FAILURE_COST * failure_rate * failure_rate;
    if &*upstream.zone != zone {
        cost *= REMOTE_COST;
    }
    (cost, 1.0 - EXPLORATION_BONUS * (1.0 - confidence))
}

/// Returns the cost factor of an upstream for its warm-up.
pub(super) fn warmup_cost(upstream: &Upstream) -> f64 {
    match upstream.warmup.is_zero() {
        true => 1.0,
        false => WARMUP_COST,
    }
}
