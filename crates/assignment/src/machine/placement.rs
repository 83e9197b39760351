//! Which holder each range has: the load of holders, moves between them, and holders of free ranges.

use std::time::Duration;

use super::{
    Machine, Observation, REBALANCE_INTERVAL,
    holder::Targets,
    key_range::{KeyRange, Stage},
};
use crate::{
    balance::{self, Loads, MovesMax, Segment},
    demand::Demand,
    table::FULL_SHARE,
};
use copperwell_routing::Key;

/// The maximum number of ranges that migrate at the same time to balance the load, unless the number of underloaded holders
/// or, for hot keys, of upstreams allows more.
const MIGRATIONS_MAX: usize = 8;

/// The share of its fair load below which a holder is underloaded, such as one that has joined or has returned from an
/// evacuation.
const UNDERLOADED_SHARE: f64 = 0.5;

/// The number of underloaded holders per concurrent migration, where this allows more than [`MIGRATIONS_MAX`]. The
/// holders that release the keys still serve nearly all of their other keys meanwhile.
const UNDERLOADED_PER_MIGRATION: usize = 2;

/// The number of upstreams per concurrent migration of hot keys, where this allows more than [`MIGRATIONS_MAX`]. As many
/// keys may become hot at once as there are upstreams, and each migration involves two upstreams for a short time.
const UPSTREAMS_PER_HOT_MIGRATION: usize = 8;

/// The utilization of a holder's slots above which it admits only a share of the requests for its
/// keys.
const FULL_UTILIZATION: f64 = 1.0;

impl Machine {
    /// Starts to migrate ranges from overloaded holders to others.
    pub(super) fn rebalance(&mut self, now: Duration, observation: &Observation<'_>) {
        if now < self.rebalance_at {
            return;
        }
        self.rebalance_at = now + REBALANCE_INTERVAL;
        self.demand.decay(now);
        let targets = Targets::new(observation, &self.states, now);
        let segments = self.segments(&targets);
        self.loads = Loads::new(self.demand.loads(), self.demand.work_per_request_ms());
        let totals = balance::totals(&segments, &self.loads, targets.holders.len());
        self.update_admission(&targets, &totals);
        let migrating = self
            .ranges
            .iter()
            .filter(|range| range.is_migrating)
            .count();
        let may_move = !observation.is_store_unreachable && !observation.is_cut_off();
        let underloaded = underloaded_count(&totals, &targets.weights);
        let wide_max = MIGRATIONS_MAX.max(underloaded.div_ceil(UNDERLOADED_PER_MIGRATION));
        let hot_max = wide_max.max(targets.holders.len() / UPSTREAMS_PER_HOT_MIGRATION);
        if migrating >= hot_max || !may_move {
            return;
        }
        let moves = balance::moves(
            &segments,
            &self.loads,
            &targets.weights,
            MovesMax {
                hot: hot_max - migrating,
                wide: wide_max.saturating_sub(migrating),
            },
        );
        for next in moves {
            let to = targets.holders[next.to].clone();
            self.split_out(next.first, next.last);
            let range = self.ranges.iter_mut().find(|one| one.first == next.first);
            if let Some(range) = range {
                range.is_migrating = true;
                range.target = Some(to);
            }
        }
    }

    /// Sets the share of requests that each holder admits, from its load.
    fn update_admission(&mut self, targets: &Targets, totals: &[f64]) {
        for (index, holder) in targets.holders.iter().enumerate() {
            // A slot does one second of typical work per second.
            let capacity_ms = targets.weights[index] * 1e3;
            let utilization = Demand::rate(totals[index]) / capacity_ms;
            let admits =
                (FULL_UTILIZATION / utilization.max(FULL_UTILIZATION)) * f64::from(FULL_SHARE);
            if let Some(state) = self.states.get_mut(&holder.id) {
                state.admits = admits.ceil() as u8;
            }
        }
    }

    /// Assigns a holder to each free range.
    pub(super) fn assign_free_ranges(&mut self, now: Duration, observation: &Observation<'_>) {
        if now < self.unassigned_until || self.ranges.iter().all(|range| range.stage != Stage::Free)
        {
            return;
        }
        let targets = Targets::new(observation, &self.states, now);
        if targets.holders.is_empty() {
            return;
        }
        let mut totals =
            balance::totals(&self.segments(&targets), &self.loads, targets.holders.len());
        self.edition += 1;
        for range in &mut self.ranges {
            if range.stage != Stage::Free {
                continue;
            }
            let preferred = range.target.take().and_then(|to| targets.index_of(&to));
            let Some(index) = preferred.or_else(|| targets.least_loaded(&totals)) else {
                continue;
            };
            totals[index] += self.loads.sum(range.first, range.last);
            range.holder = Some(targets.holders[index].clone());
            self.fence += 1;
            range.set_fence(self.fence, self.edition);
        }
    }

    /// Returns the ranges as input for the balancer, without those whose holder cannot be given
    /// keys.
    fn segments(&self, targets: &Targets) -> Vec<Segment> {
        let segment = |range: &KeyRange| {
            let holder = range.target.as_ref().or(range.holder.as_ref())?;
            let is_movable = !range.is_migrating
                && !range.has_order_in_flight
                && range.stage == Stage::Granted { is_served: true };
            Some(Segment {
                first: range.first,
                last: range.last,
                holder: targets.index_of(holder)?,
                is_movable,
            })
        };
        self.ranges.iter().filter_map(segment).collect()
    }

    /// Splits ranges so that one consists of exactly these keys.
    fn split_out(&mut self, first: Key, last: Key) {
        if let Some(before) = first.checked_sub(1) {
            self.split_after(before);
        }
        self.split_after(last);
    }

    fn split_after(&mut self, key: Key) {
        let at = self
            .ranges
            .iter()
            .position(|range| range.first <= key && key < range.last);
        let Some(at) = at else { return };
        let mut rest = self.ranges[at].clone();
        self.ranges[at].last = key;
        rest.first = key + 1;
        self.ranges.insert(at + 1, rest);
        self.edition += 1;
    }
}

/// Returns the number of holders with less than [`UNDERLOADED_SHARE`] of their fair load.
fn underloaded_count(totals: &[f64], weights: &[f64]) -> usize {
    let mean = totals.iter().sum::<f64>() / weights.iter().sum::<f64>().max(f64::MIN_POSITIVE);
    let pairs = totals.iter().zip(weights);
    pairs
        .filter(|(total, weight)| **total < UNDERLOADED_SHARE * mean * **weight)
        .count()
}
