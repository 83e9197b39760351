//! The leader's state machine for one service: which order goes to which upstream, and when.
//!
//! A range of keys has at most one holder, because
//!
//! - a holder is written to the store before its first grant is sent ([`Machine::plan_to_store`]),
//!   with a fencing token higher than any before;
//! - a holder is replaced only after its grant has ended: it has answered a release, or the grant
//!   has expired even by the slowest clock (`KeyRange::grant_end`);
//! - a holder that restarts keeps its ranges, under a higher fencing token;
//! - an order that may still be in flight makes the state of a range uncertain. The holder of such
//!   a range receives a higher fencing token before it is asked to release, so that it refuses the
//!   late order.
//!
//! All times are of the boot clock.

use std::time::Duration;

use crate::{
    Fence,
    balance::Loads,
    demand::{Demand, Report},
    expiry::Expiry,
    order::{Action, Order, Outcome},
    plan::Plan,
    table::{FULL_SHARE, Table},
};
use copperwell_message::{HashMap, HashSet};
use copperwell_routing::{ServiceName, UpstreamId};

use holder::{State, Status, is_any_responsive, is_replaceable_during_warmup, status_of};
use key_range::{KeyRange, Stage, max_grant_duration};

pub use observation::Observation;
pub use timing::{Timing, latest_grant_end};

mod holder;
mod key_range;
mod observation;
mod placement;
mod timing;

/// The number of ranges per upstream in the first plan, so that neighbouring keys that are busy at
/// the same time have several holders.
const FIRST_RANGES_PER_UPSTREAM: usize = 6;

/// The maximum number of ranges in the first plan, since each costs the leader an order per
/// renewal. Every upstream gets one, even if that exceeds the maximum.
const FIRST_RANGES_MAX: usize = 256;

/// How long the first plan waits for more upstreams to register.
const FIRST_PLAN_DELAY: Duration = Duration::from_secs(3);

/// How often the load is rebalanced.
const REBALANCE_INTERVAL: Duration = Duration::from_millis(500);

/// How long a leader that cannot open connections to many upstreams takes no keys from them, so that a daemon that
/// reaches them can take the lead.
const CUT_OFF_PATIENCE: Duration = Duration::from_secs(3);

/// The state machine that assigns the keys of one service.
#[derive(Debug)]
pub struct Machine {
    service: ServiceName,
    timing: Timing,
    ranges: Vec<KeyRange>,
    fence: Fence,
    states: HashMap<UpstreamId, State>,
    demand: Demand,
    /// The loads at the last rebalancing.
    loads: Loads,
    rebalance_at: Duration,
    first_upstream_at: Option<Duration>,
    /// The number of changes of the plan.
    edition: u64,
    stored_edition: u64,
    is_fenced: bool,
    has_long_grants: bool,
    /// Since when the leader cannot open connections to many upstreams.
    cut_off_since: Option<Duration>,
    /// Until when keys are not assigned, as unknown grants of theirs may be in force.
    unassigned_until: Duration,
}

impl Machine {
    /// Creates the state machine of a service from the plan of an earlier leader; `None` for a new
    /// service.
    ///
    /// `grants_end` is when the grants of that leader expire, if it has announced that.
    #[must_use]
    pub fn new(
        service: ServiceName,
        plan: Option<Plan>,
        timing: Timing,
        grants_end: Option<Duration>,
        now: Duration,
    ) -> Self {
        let plan = plan.filter(Plan::is_whole);
        let latest = latest_grant_end(&timing, now);
        let uncertain_until = grants_end.unwrap_or(latest).min(latest) + timing.grant_timeout;
        let fence = plan.as_ref().map_or(0, |plan| plan.fence);
        let ranges = plan.map_or(Vec::new(), |plan| plan.ranges);
        Self {
            service,
            timing,
            ranges: ranges
                .into_iter()
                .map(|range| KeyRange::from_plan(range, uncertain_until, now))
                .collect(),
            fence,
            states: HashMap::default(),
            loads: Loads::new(Demand::new(now).loads(), 0.0),
            demand: Demand::new(now),
            rebalance_at: now + REBALANCE_INTERVAL,
            first_upstream_at: None,
            edition: 0,
            stored_edition: 0,
            is_fenced: false,
            has_long_grants: false,
            cut_off_since: None,
            unassigned_until: Duration::ZERO,
        }
    }

    /// Makes new fencing tokens higher than `fence`.
    #[must_use]
    pub fn with_fence_from(mut self, fence: Fence) -> Self {
        self.fence = self.fence.max(fence);
        self
    }

    /// Applies the expiries of ranges that the previous leader wrote, which were read at `now` or before.
    #[must_use]
    pub fn with_expiries(mut self, expiries: &[Expiry], now: Duration) -> Self {
        let by_fence: HashMap<_, _> = expiries.iter().map(|one| (one.fence, one)).collect();
        for range in &mut self.ranges {
            let expiry = by_fence.get(&range.fence);
            if let Some(expiry) = expiry.filter(|one| one.covers(&range.to_plan())) {
                range.limit_uncertainty(now + max_grant_duration(expiry.left));
            }
        }
        self
    }

    /// Assigns no keys until `until`, as grants of theirs may be in force that no plan names.
    #[must_use]
    pub fn with_unassigned_until(mut self, until: Duration) -> Self {
        self.unassigned_until = until;
        self
    }

    /// Has the plan stored again after it was lost, and makes new fencing tokens higher than `fence`.
    pub fn store_again(&mut self, fence: Fence) {
        self.fence = self.fence.max(fence);
        self.edition += 1;
    }

    /// Returns the service.
    #[must_use]
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Adds the load that a daemon counted.
    pub fn add_report(&mut self, report: &Report) {
        self.demand.add(report.requests, &report.keys);
        for (id, pace) in &report.upstreams {
            if let Some(state) = self.states.get_mut(id) {
                state.slowness.add(pace);
            }
        }
    }

    /// Returns the orders that are due now. The caller must hold the leader's lease.
    pub fn step(&mut self, now: Duration, observation: &Observation<'_>) -> Vec<Order> {
        if self.ranges.is_empty() && now >= self.unassigned_until {
            self.create_ranges(now, observation);
        }
        self.set_store_unreachable(observation.is_store_unreachable, now);
        self.cut_off_since = match observation.is_cut_off() {
            true => self.cut_off_since.or(Some(now)),
            false => None,
        };
        self.update_holders(now, observation);
        self.rebalance(now, observation);
        self.assign_free_ranges(now, observation);
        let mut orders = Vec::new();
        for range in &mut self.ranges {
            orders.extend(range.next_order(
                now,
                observation,
                &self.states,
                &self.timing,
                self.has_long_grants,
            ));
        }
        orders
    }

    /// Applies the outcome of an order; returns whether new orders may be due at once.
    ///
    /// A successful renewal leads to no new orders.
    pub fn apply_outcome(&mut self, order: &Order, outcome: Outcome, now: Duration) -> bool {
        let entry = self.states.entry(order.holder.id.clone());
        let state = entry.or_insert_with(|| State::new(order.address, now));
        match outcome {
            Outcome::Done { .. } | Outcome::Fenced | Outcome::Misdirected => {
                state.answered_at = now;
                state.unanswered = 0;
            }
            Outcome::Refused | Outcome::Broken => {
                state.unanswered += 1;
                state.failed_at = now;
                state.broken_at = Some(now);
            }
            Outcome::Unknown
            | Outcome::Foreign
            | Outcome::UnreadOnNewConnection
            | Outcome::Unsent => {
                state.unanswered += 1;
                state.failed_at = now;
            }
        }
        state.is_unconnected = matches!(outcome, Outcome::Refused | Outcome::Unsent);
        // The range may have changed since the order was sent; the outcome does not matter then.
        let range = self
            .ranges
            .iter_mut()
            .find(|range| range.is_awaiting(order));
        let Some(range) = range else { return true };
        range.has_order_in_flight = false;
        if outcome == Outcome::Misdirected {
            // The holder's process has ended, since another upstream has its address.
            range.free(None);
            self.edition += 1;
            return true;
        }
        match &order.action {
            Action::Grant { hold, .. } => {
                let is_renewal = range.is_served() && matches!(outcome, Outcome::Done { .. });
                if range.apply_grant(*hold, &outcome, now, &self.timing) {
                    return !is_renewal || range.is_migrating;
                }
                self.is_fenced = true;
                self.fence += 1;
                self.edition += 1;
                range.set_fence(self.fence, self.edition);
            }
            Action::Release => range.apply_release(outcome, now),
        }
        true
    }

    /// Returns whether an upstream has reported a higher fencing token since the last call.
    pub fn take_fenced(&mut self) -> bool {
        std::mem::take(&mut self.is_fenced)
    }

    /// Returns the plan and its edition, if it has changed since it was last stored.
    #[must_use]
    pub fn plan_to_store(&self) -> Option<(u64, Plan)> {
        (self.stored_edition < self.edition).then(|| (self.edition, self.plan()))
    }

    /// Records that an edition of the plan is in the store.
    pub fn mark_stored(&mut self, edition: u64, now: Duration) {
        self.stored_edition = self.stored_edition.max(edition);
        for range in &mut self.ranges {
            if let Stage::Unstored {
                edition: needed,
                is_served,
            } = range.stage
                && needed <= edition
            {
                range.stage = Stage::Granted { is_served };
                range.due = now;
            }
        }
    }

    /// Returns the routing table.
    #[must_use]
    pub fn table(&self) -> Table {
        let admits = |id: &UpstreamId| {
            let state = self.states.get(id);
            state.map_or(FULL_SHARE, |state| state.admits)
        };
        let table = Table::new(self.ranges.iter().map(|range| {
            let holder = range.holder.as_ref().filter(|_| range.is_served());
            (range.first, holder.map(|holder| &holder.id))
        }));
        table.with_admits(admits)
    }

    /// Returns when the last of the grants has expired, even by the slowest clock.
    #[must_use]
    pub fn grants_end(&self) -> Duration {
        let ends = self.ranges.iter().map(KeyRange::latest_grant_end);
        ends.max().unwrap_or_default().max(self.unassigned_until)
    }

    /// Returns the expiries of the ranges that are being released.
    #[must_use]
    pub fn expiries(&self, now: Duration) -> Vec<Expiry> {
        let ranges = self.ranges.iter();
        ranges.filter_map(|range| range.expiry(now)).collect()
    }

    /// Returns the number of ranges, and how many of them no upstream serves.
    #[must_use]
    pub fn range_counts(&self) -> (usize, usize) {
        let unserved = self.ranges.iter().filter(|range| !range.is_served());
        (self.ranges.len(), unserved.count())
    }

    fn plan(&self) -> Plan {
        let ranges = self.ranges.iter().map(KeyRange::to_plan);
        Plan {
            fence: self.fence,
            ranges: ranges.collect(),
        }
    }

    /// Creates the ranges of a new service, for the upstreams that it has.
    fn create_ranges(&mut self, now: Duration, observation: &Observation<'_>) {
        let usable = observation.upstreams.iter().filter(|one| !one.is_draining);
        let count = usable.count();
        if count == 0 {
            return;
        }
        let per_upstream = (FIRST_RANGES_MAX / count).clamp(1, FIRST_RANGES_PER_UPSTREAM);
        let first_upstream_at = *self.first_upstream_at.get_or_insert(now);
        if now < first_upstream_at + FIRST_PLAN_DELAY {
            return;
        }
        let ranges = Plan::unassigned(count * per_upstream).ranges;
        self.ranges = ranges
            .into_iter()
            .map(|range| KeyRange::from_plan(range, Duration::ZERO, now))
            .collect();
    }

    /// While the store is unreachable, grants have the maximum duration, since this leader will
    /// soon no longer be allowed to renew them.
    fn set_store_unreachable(&mut self, is_unreachable: bool, now: Duration) {
        if is_unreachable && !self.has_long_grants {
            for range in &mut self.ranges {
                range.due = range.due.min(now);
            }
        }
        self.has_long_grants = is_unreachable;
    }

    /// Returns whether the leader has lost its path to many upstreams a moment ago, so that another daemon may still
    /// reach them and take the lead.
    fn is_waiting_for_leader(&self, now: Duration) -> bool {
        self.cut_off_since
            .is_some_and(|since| now < since + CUT_OFF_PATIENCE)
    }

    /// Starts to migrate ranges from holders that drain or are lost, frees those whose holder's
    /// process has ended, and reassigns those of restarted holders; then advances migrations.
    fn update_holders(&mut self, now: Duration, observation: &Observation<'_>) {
        let is_any_responsive =
            is_any_responsive(observation, &self.states, now) && !self.is_waiting_for_leader(now);
        for range in &mut self.ranges {
            let Some(holder) = &range.holder else {
                continue;
            };
            match status_of(holder, is_any_responsive, observation, &self.states, now) {
                Status::Active => {}
                Status::Leaving => range.is_migrating = true,
                Status::Ended => {
                    range.free(None);
                    self.edition += 1;
                }
                Status::Restarted(born) => {
                    // The new run holds nothing, or what a late renewal of the old run's grant gave
                    // it. No other upstream holds the range in either case, and the new run needs a
                    // higher token.
                    self.fence += 1;
                    self.edition += 1;
                    // A new run that warms up accepts few requests, so its keys migrate if a warm upstream can hold them.
                    range.is_migrating |=
                        is_replaceable_during_warmup(holder, observation, &self.states, now);
                    range.reassign_to_run(born, self.fence, self.edition);
                }
            }
        }
        self.update_states(observation, now);
        for range in &mut self.ranges {
            let holder = range.holder.as_ref();
            let state = holder.and_then(|holder| self.states.get(&holder.id));
            let is_responsive = state.is_some_and(|state| !state.is_unresponsive(now));
            if range.advance_migration(now, is_responsive, &mut self.fence, self.edition + 1) {
                self.edition += 1;
            }
        }
    }

    /// Updates the state of listed upstreams, and keeps that of holders that are no longer listed,
    /// since their addresses are still needed.
    fn update_states(&mut self, observation: &Observation<'_>, now: Duration) {
        let holders = self.ranges.iter().filter_map(|range| range.holder.as_ref());
        let unlisted = holders.filter(|holder| observation.upstream(&holder.id).is_none());
        let unlisted: HashSet<&UpstreamId> = unlisted.map(|holder| &holder.id).collect();
        self.states
            .retain(|id, _| observation.upstream(id).is_some() || unlisted.contains(id));
        for upstream in observation.upstreams {
            let entry = self.states.entry(upstream.id.clone());
            let state = entry.or_insert_with(|| State::new(upstream.address, now));
            state.address = upstream.address;
            state.update_connectable(observation.is_connectable(&upstream.id), now);
            state.slowness.update(upstream.slots, now);
        }
    }
}
