//! The decisions of the daemon that leads: which order goes to which upstream, and when.
//!
//! A range of keys has at most one holder, since
//!
//! - a holder is written to the store before it gets its first grant ([`Machine::plan_to_store`]),
//!   with a fencing token that is higher than any before;
//! - it is replaced only once its grant has surely ended: it answered a release, or the time that it
//!   was given is over by the slowest clock (`Tract::ends`);
//! - a holder that begins another run keeps its ranges, under a higher fencing token;
//! - an order that may still be on its way makes a range doubtful. The holder of a doubtful range
//!   gets a higher fencing token before it is asked to release, so that it refuses what comes late.
//!
//! All times are of the boot clock.

use std::time::Duration;

use crate::{
    Fence,
    balance::{self, Loads, Piece},
    demand::{Demand, Report},
    order::{Action, Order, Outcome},
    plan::{Plan, Range},
    table::{ALL, Table},
};
use copperwell_message::{HashMap, HashSet};
use copperwell_routing::{Key, ServiceName, UpstreamId};

use holder::{Fate, Seats, State, fate, is_any_heard};
use tract::{Stage, Tract, lasting};

pub use sight::Sight;
pub use timing::Timing;

mod holder;
mod sight;
mod timing;
mod tract;

/// Ranges that each upstream gets in the first plan, so that keys that lie close together and are
/// busy together have several holders.
const FIRST_RANGES: usize = 6;

/// Ranges of the first plan, since each costs the leader an order in each renewal; every upstream
/// gets one, however many there are.
const FIRST_RANGES_MAX: usize = 256;

/// How long the first plan waits for more upstreams to register.
const FIRST_WAIT: Duration = Duration::from_secs(3);

/// How often the balance is looked at.
const BALANCE_TIME: Duration = Duration::from_millis(500);

/// Ranges that move at a time to even out load, at most.
const MOVES_MAX: usize = 8;

/// The use of a holder's slots above which it gets only a share of the requests for its keys.
const FULL: f64 = 1.0;

/// The decisions for one service.
#[derive(Debug)]
pub struct Machine {
    service: ServiceName,
    timing: Timing,
    tracts: Vec<Tract>,
    fence: Fence,
    holders: HashMap<UpstreamId, State>,
    demand: Demand,
    /// The loads by which ranges were balanced last.
    loads: Loads,
    balance_at: Duration,
    first_seen: Option<Duration>,
    /// Counts changes of what is to be stored.
    edition: u64,
    stored: u64,
    is_fenced: bool,
    long_hold: bool,
}

impl Machine {
    /// Takes over from an earlier leader, whose plan is `plan`; `None` for a new service.
    ///
    /// `grants_end` says when the grants of that leader end, if it told.
    #[must_use]
    pub fn new(
        service: ServiceName,
        plan: Option<Plan>,
        timing: Timing,
        grants_end: Option<Duration>,
        now: Duration,
    ) -> Self {
        let plan = plan.filter(Plan::is_whole);
        let latest = now + timing.predecessor + timing.read + lasting(timing.hold_max);
        let doubtful_until = grants_end.unwrap_or(latest).min(latest) + timing.order_limit;
        let fence = plan.as_ref().map_or(0, |plan| plan.fence);
        let ranges = plan.map_or(Vec::new(), |plan| plan.ranges);
        Self {
            service,
            timing,
            tracts: ranges
                .into_iter()
                .map(|range| Tract::inherited(range, doubtful_until, now))
                .collect(),
            fence,
            holders: HashMap::default(),
            loads: Loads::new(Demand::new(now).loads(), 0.0),
            demand: Demand::new(now),
            balance_at: now + BALANCE_TIME,
            first_seen: None,
            edition: 0,
            stored: 0,
            is_fenced: false,
            long_hold: false,
        }
    }

    /// The service.
    #[must_use]
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Adds what a daemon counted.
    pub fn count(&mut self, report: &Report) {
        self.demand.add(report.requests, &report.keys);
        for (id, pace) in &report.upstreams {
            if let Some(state) = self.holders.get_mut(id) {
                state.pace.add(pace);
            }
        }
    }

    /// The orders that are due now; the caller has the right to give them.
    pub fn step(&mut self, now: Duration, sight: &Sight<'_>) -> Vec<Order> {
        if self.tracts.is_empty() {
            self.begin(now, sight);
        }
        self.note_store(sight.is_store_away, now);
        self.judge_holders(now, sight);
        self.even_out(now, sight);
        self.fill(now, sight);
        let mut orders = Vec::new();
        for tract in &mut self.tracts {
            orders.extend(tract.order(now, sight, &self.holders, &self.timing, self.long_hold));
        }
        orders
    }

    /// Takes what became of an order; tells whether there may be something to do at once.
    ///
    /// Nothing follows from a renewal that went well.
    pub fn take(&mut self, order: &Order, outcome: Outcome, now: Duration) -> bool {
        let known = self.holders.entry(order.holder.id.clone());
        let state = known.or_insert_with(|| State::at(order.address, now));
        match outcome {
            Outcome::Done { .. } | Outcome::Fenced | Outcome::Elsewhere => {
                state.heard = now;
                state.unanswered = 0;
            }
            Outcome::Refused | Outcome::Broken => {
                state.unanswered += 1;
                state.failed = now;
                state.broke = Some(now);
            }
            Outcome::Unknown | Outcome::Unread | Outcome::Unsent => {
                state.unanswered += 1;
                state.failed = now;
            }
        }
        // An order about a range that has changed since concerns nobody any more.
        let tract = self.tracts.iter_mut().find(|tract| tract.awaits(order));
        let Some(tract) = tract else { return true };
        tract.is_ordered = false;
        if outcome == Outcome::Elsewhere {
            // The holder's process has ended, since another one has its address.
            tract.vacate(None);
            self.edition += 1;
            return true;
        }
        match &order.action {
            Action::Grant { hold, .. } => {
                let is_renewal = tract.is_served() && matches!(outcome, Outcome::Done { .. });
                if tract.granted(*hold, &outcome, now, &self.timing) {
                    return !is_renewal || tract.is_leaving;
                }
                self.is_fenced = true;
                self.fence += 1;
                self.edition += 1;
                tract.choose(self.fence, self.edition);
            }
            Action::Release => tract.released(outcome, now),
        }
        true
    }

    /// Whether an upstream said that it has seen a higher fencing token, since the last call.
    pub fn take_fenced(&mut self) -> bool {
        std::mem::take(&mut self.is_fenced)
    }

    /// The plan, with its edition, if it has changed since it was last stored.
    #[must_use]
    pub fn plan_to_store(&self) -> Option<(u64, Plan)> {
        (self.stored < self.edition).then(|| (self.edition, self.plan()))
    }

    /// Notes that an edition of the plan is in the store.
    pub fn stored(&mut self, edition: u64, now: Duration) {
        self.stored = self.stored.max(edition);
        for tract in &mut self.tracts {
            if let Stage::Chosen {
                edition: needed,
                is_served,
            } = tract.stage
                && needed <= edition
            {
                tract.stage = Stage::Granted { is_served };
                tract.due = now;
            }
        }
    }

    /// The table by which daemons route.
    #[must_use]
    pub fn table(&self) -> Table {
        let admits = |id: &UpstreamId| {
            let state = self.holders.get(id);
            state.map_or(ALL, |state| state.admits)
        };
        let table = Table::new(self.tracts.iter().map(|tract| {
            let holder = tract.holder.as_ref().filter(|_| tract.is_served());
            (tract.first, holder.map(|holder| &holder.id))
        }));
        table.with_admits(admits)
    }

    /// When the last of its grants has surely ended.
    #[must_use]
    pub fn grants_end(&self) -> Duration {
        let ends = self.tracts.iter().map(Tract::surely_ends);
        ends.max().unwrap_or_default()
    }

    /// How many ranges there are, and how many of them nobody serves.
    #[must_use]
    pub fn ranges(&self) -> (usize, usize) {
        let unserved = self.tracts.iter().filter(|tract| !tract.is_served());
        (self.tracts.len(), unserved.count())
    }

    fn plan(&self) -> Plan {
        let ranges = self.tracts.iter().map(|tract| Range {
            first: tract.first,
            last: tract.last,
            holder: tract.holder.clone(),
            fence: tract.fence,
        });
        Plan {
            fence: self.fence,
            ranges: ranges.collect(),
        }
    }

    /// Cuts the keys of a new service for the upstreams that it has.
    fn begin(&mut self, now: Duration, sight: &Sight<'_>) {
        let usable = sight.upstreams.iter().filter(|one| !one.is_draining);
        let count = usable.count();
        if count == 0 {
            return;
        }
        let each = (FIRST_RANGES_MAX / count).clamp(1, FIRST_RANGES);
        let first_seen = *self.first_seen.get_or_insert(now);
        if now < first_seen + FIRST_WAIT {
            return;
        }
        let ranges = Plan::vacant(count * each).ranges;
        self.tracts = ranges
            .into_iter()
            .map(|range| Tract::inherited(range, Duration::ZERO, now))
            .collect();
    }

    /// While the store is away, grants last as long as they may, since the right to renew them ends.
    fn note_store(&mut self, is_away: bool, now: Duration) {
        if is_away && !self.long_hold {
            for tract in &mut self.tracts {
                tract.due = tract.due.min(now);
            }
        }
        self.long_hold = is_away;
    }

    /// Takes keys from holders that leave, are lost, or have begun another run.
    fn judge_holders(&mut self, now: Duration, sight: &Sight<'_>) {
        let others = is_any_heard(sight, &self.holders, now);
        for tract in &mut self.tracts {
            let Some(holder) = &tract.holder else {
                continue;
            };
            match fate(holder, others, sight, &self.holders, now) {
                Fate::Stays => {}
                Fate::Leaves => tract.is_leaving = true,
                Fate::Gone => {
                    tract.vacate(None);
                    self.edition += 1;
                }
                Fate::Reborn(born) => {
                    // The new run holds nothing, or by a late renewal what the old one held. Either
                    // way nobody else does, and it needs a higher token.
                    self.fence += 1;
                    self.edition += 1;
                    tract.follow(born, self.fence, self.edition);
                }
            }
        }
        self.note_addresses(sight, now);
        for tract in &mut self.tracts {
            let holder = tract.holder.as_ref();
            let state = holder.and_then(|holder| self.holders.get(&holder.id));
            let answers = state.is_some_and(|state| !state.is_silent(now));
            if tract.advance(now, answers, &mut self.fence, self.edition + 1) {
                self.edition += 1;
            }
        }
    }

    /// Remembers where upstreams listen, also after their registration is gone.
    fn note_addresses(&mut self, sight: &Sight<'_>, now: Duration) {
        let holders = self.tracts.iter().filter_map(|tract| tract.holder.as_ref());
        let unlisted = holders.filter(|holder| sight.of(&holder.id).is_none());
        let unlisted: HashSet<&UpstreamId> = unlisted.map(|holder| &holder.id).collect();
        self.holders
            .retain(|id, _| sight.of(id).is_some() || unlisted.contains(id));
        for upstream in sight.upstreams {
            let known = self.holders.entry(upstream.id.clone());
            let state = known.or_insert_with(|| State::at(upstream.address, now));
            state.address = upstream.address;
            state.pace.settle(upstream.slots, now);
        }
    }

    /// Lets keys move from busy holders to others.
    fn even_out(&mut self, now: Duration, sight: &Sight<'_>) {
        if now < self.balance_at {
            return;
        }
        self.balance_at = now + BALANCE_TIME;
        self.demand.decay(now);
        let seats = Seats::new(sight, &self.holders, now);
        let pieces = self.pieces(&seats);
        self.loads = Loads::new(self.demand.loads(), self.demand.grain());
        let totals = balance::totals(&pieces, &self.loads, seats.holders.len());
        self.limit(&seats, &totals);
        let moving = self.tracts.iter().filter(|tract| tract.is_leaving).count();
        if moving >= MOVES_MAX || sight.is_store_away {
            return;
        }
        let moves = balance::moves(&pieces, &self.loads, &seats.weights, MOVES_MAX - moving);
        for next in moves {
            let to = seats.holders[next.to].clone();
            self.cut(next.first, next.last);
            let tract = self.tracts.iter_mut().find(|one| one.first == next.first);
            if let Some(tract) = tract {
                tract.is_leaving = true;
                tract.to = Some(to);
            }
        }
    }

    /// Says what share of requests each holder can take, from the work that is asked of it.
    fn limit(&mut self, seats: &Seats, totals: &[f64]) {
        for (seat, holder) in seats.holders.iter().enumerate() {
            // A slot does a second of usual work each second.
            let capacity_ms = seats.weights[seat] * 1e3;
            let use_of = Demand::rate(totals[seat]) / capacity_ms;
            let admits = (FULL / use_of.max(FULL)) * f64::from(ALL);
            if let Some(state) = self.holders.get_mut(&holder.id) {
                state.admits = admits.ceil() as u8;
            }
        }
    }

    /// Gives each free range a holder.
    fn fill(&mut self, now: Duration, sight: &Sight<'_>) {
        if self.tracts.iter().all(|tract| tract.stage != Stage::Free) {
            return;
        }
        let seats = Seats::new(sight, &self.holders, now);
        if seats.holders.is_empty() {
            return;
        }
        let mut totals = balance::totals(&self.pieces(&seats), &self.loads, seats.holders.len());
        self.edition += 1;
        for tract in &mut self.tracts {
            if tract.stage != Stage::Free {
                continue;
            }
            let wanted = tract.to.take().and_then(|to| seats.index(&to));
            let Some(seat) = wanted.or_else(|| seats.least(&totals)) else {
                continue;
            };
            totals[seat] += self.loads.of(tract.first, tract.last);
            tract.holder = Some(seats.holders[seat].clone());
            self.fence += 1;
            tract.choose(self.fence, self.edition);
        }
    }

    /// The ranges as the balance sees them; those that nobody can have are left out.
    fn pieces(&self, seats: &Seats) -> Vec<Piece> {
        let piece = |tract: &Tract| {
            let holder = tract.to.as_ref().or(tract.holder.as_ref())?;
            let is_movable = !tract.is_leaving
                && !tract.is_ordered
                && tract.stage == Stage::Granted { is_served: true };
            Some(Piece {
                first: tract.first,
                last: tract.last,
                holder: seats.index(holder)?,
                is_movable,
            })
        };
        self.tracts.iter().filter_map(piece).collect()
    }

    /// Cuts ranges so that one has just these keys.
    fn cut(&mut self, first: Key, last: Key) {
        if let Some(before) = first.checked_sub(1) {
            self.cut_after(before);
        }
        self.cut_after(last);
    }

    fn cut_after(&mut self, key: Key) {
        let at = self
            .tracts
            .iter()
            .position(|tract| tract.first <= key && key < tract.last);
        let Some(at) = at else { return };
        let mut rest = self.tracts[at].clone();
        self.tracts[at].last = key;
        rest.first = key + 1;
        self.tracts.insert(at + 1, rest);
        self.edition += 1;
    }
}
