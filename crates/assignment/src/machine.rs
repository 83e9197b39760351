//! The decisions of the daemon that leads: which order goes to which upstream, and when.
//!
//! A range of keys has at most one holder, since
//!
//! - a holder is written to the store before it gets its first grant ([`Machine::plan_to_store`]),
//!   with a fencing token that is higher than any before;
//! - it is replaced only once its grant has surely ended: it answered a release, or the time that it
//!   was given is over by the slowest clock ([`Tract::ends`]);
//! - a holder that begins another run keeps its ranges, under a higher fencing token;
//! - an order that may still be on its way makes a range doubtful. The holder of a doubtful range
//!   gets a higher fencing token before it is asked to release, so that it refuses what comes late.
//!
//! All times are of the boot clock.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    Fence, Holder,
    balance::{self, Loads, Piece},
    demand::{Demand, Report},
    order::{Action, Order, Outcome},
    pace::Estimate,
    plan::{Plan, Range},
    table::{ALL, Table},
};
use copperwell_message::HashMap;
use copperwell_routing::{Birth, Key, ServiceName, UpstreamId, registry::Upstream};

/// Ranges that each upstream gets in the first plan, so that keys that lie close together and are
/// busy together have several holders.
const FIRST_RANGES: usize = 6;

/// How long the first plan waits for more upstreams to register.
const FIRST_WAIT: Duration = Duration::from_secs(3);

/// How much longer a holder may think its grant lasts, by its own clock, as a part of the grant.
const CLOCK_DRIFT: f64 = 0.02;

/// What is added to the end of a grant, for scheduling at both ends.
const MARGIN: Duration = Duration::from_millis(150);

/// How long daemons have to hear that keys are about to be released, so that they hold requests.
const NOTICE: Duration = Duration::from_millis(8);

/// How long after a failed order the next one follows.
const RETRY: Duration = Duration::from_millis(150);

/// Orders in a row without an answer that make a holder silent.
const SILENT_ORDERS: u32 = 3;

/// How long a holder has not answered any order before it is silent.
const SILENT_TIME: Duration = Duration::from_millis(1_200);

/// How often the balance is looked at.
const BALANCE_TIME: Duration = Duration::from_millis(500);

/// Ranges that move at a time to even out load, at most.
const MOVES_MAX: usize = 8;

/// The use of a holder's slots above which it gets only a share of the requests for its keys.
const FULL: f64 = 1.0;

/// Time limits of grants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// How long a grant lasts.
    pub hold: Duration,
    /// How long a grant lasts that is given while the store does not answer.
    pub hold_max: Duration,
    /// How often a grant is renewed.
    pub renew: Duration,
    /// How long a grant's answer may take.
    pub order_limit: Duration,
    /// How long a release's answer may take.
    pub release_limit: Duration,
    /// How long after a change of leader the earlier one may still give orders.
    pub predecessor: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            hold: Duration::from_secs(5),
            hold_max: Duration::from_secs(10),
            renew: Duration::from_millis(1_500),
            order_limit: Duration::from_millis(500),
            release_limit: Duration::from_secs(4),
            predecessor: Duration::from_millis(1_500),
        }
    }
}

/// What the leader knows beside its own orders.
#[derive(Debug, Clone, Copy)]
pub struct Sight<'a> {
    /// The upstreams of the service.
    pub upstreams: &'a [Arc<Upstream>],
    /// The upstreams of all services.
    pub all: &'a [Arc<Upstream>],
    /// When the reading that gave them began.
    pub listed_at: Duration,
    /// Whether the store does not answer.
    pub is_store_away: bool,
}

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

/// A range of keys and what happens to it.
#[derive(Debug, Clone)]
struct Tract {
    first: Key,
    last: Key,
    holder: Option<Holder>,
    fence: Fence,
    stage: Stage,
    /// Whether the holder is to lose it.
    is_leaving: bool,
    /// Who is to have it next, if that is decided.
    to: Option<Holder>,
    /// Whether an order about it has no outcome yet.
    is_ordered: bool,
    /// When the next order is due.
    due: Duration,
    /// When the holder's grant has surely ended.
    ends: Duration,
    /// Until when an order may arrive that this leader does not know of.
    doubtful_until: Duration,
    /// The highest fencing token of such an order.
    doubtful_fence: Fence,
    /// What its last holder left for the next one.
    handover: Option<String>,
}

/// What happens to a range.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Nobody holds it.
    Free,
    /// Its holder or fencing token is new and not stored yet.
    Chosen {
        /// The edition of the plan that must be stored.
        edition: u64,
        /// Whether its holder serves it under a lower fencing token meanwhile.
        is_served: bool,
    },
    /// Its holder gets grants.
    Granted {
        /// Whether the holder has said that it holds it.
        is_served: bool,
    },
    /// Its holder is asked to let go.
    Releasing,
}

/// What the leader has seen of an upstream.
#[derive(Debug, Clone, Copy)]
struct State {
    /// Where it listens.
    address: SocketAddr,
    /// When it last answered an order.
    heard: Duration,
    /// Orders without an answer since then.
    unanswered: u32,
    /// When a connection to it was refused or broke: what listens there now may be another run.
    broke: Option<Duration>,
    /// How fast it works.
    pace: Estimate,
    /// The share of requests that it can take, in parts of [`ALL`].
    admits: u8,
}

impl Machine {
    /// Takes over from an earlier leader, whose plan is `plan`; `None` for a new service.
    #[must_use]
    pub fn new(service: ServiceName, plan: Option<Plan>, timing: Timing, now: Duration) -> Self {
        let plan = plan.filter(Plan::is_whole);
        let doubtful_until =
            now + timing.predecessor + lasting(timing.hold_max) + timing.order_limit;
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

    /// Takes what became of an order.
    pub fn take(&mut self, order: &Order, outcome: Outcome, now: Duration) {
        let known = self.holders.entry(order.holder.id.clone());
        let state = known.or_insert_with(|| State::at(order.address, now));
        match outcome {
            Outcome::Done { .. } | Outcome::Fenced | Outcome::Elsewhere => {
                state.heard = now;
                state.unanswered = 0;
            }
            Outcome::Refused | Outcome::Broken => {
                state.unanswered += 1;
                state.broke = Some(now);
            }
            Outcome::Unknown | Outcome::Unsent => state.unanswered += 1,
        }
        // An order about a range that has changed since concerns nobody any more.
        let tract = self.tracts.iter_mut().find(|tract| tract.awaits(order));
        let Some(tract) = tract else { return };
        tract.is_ordered = false;
        if outcome == Outcome::Elsewhere {
            // The holder's process has ended, since another one has its address.
            tract.vacate(None);
            self.edition += 1;
            return;
        }
        match &order.action {
            Action::Grant { hold, .. } => {
                if tract.granted(*hold, &outcome, now, &self.timing) {
                    return;
                }
                self.is_fenced = true;
                self.fence += 1;
                self.edition += 1;
                tract.choose(self.fence, self.edition);
            }
            Action::Release => tract.released(outcome, now),
        }
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
        let first_seen = *self.first_seen.get_or_insert(now);
        if now < first_seen + FIRST_WAIT {
            return;
        }
        let ranges = Plan::vacant(count * FIRST_RANGES).ranges;
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
        for tract in &mut self.tracts {
            let Some(holder) = &tract.holder else {
                continue;
            };
            match fate(holder, sight, &self.holders, now) {
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
        let tracts = &self.tracts;
        let holds = |id: &UpstreamId| {
            let mut holders = tracts.iter().filter_map(|tract| tract.holder.as_ref());
            holders.any(|holder| holder.id == *id)
        };
        let is_listed = |id: &UpstreamId| sight.upstreams.iter().any(|one| one.id == *id);
        self.holders.retain(|id, _| is_listed(id) || holds(id));
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

impl Tract {
    fn inherited(range: Range, doubtful_until: Duration, now: Duration) -> Self {
        let is_held = range.holder.is_some();
        Self {
            first: range.first,
            last: range.last,
            holder: range.holder,
            fence: range.fence,
            stage: if is_held {
                Stage::Granted { is_served: true }
            } else {
                Stage::Free
            },
            is_leaving: false,
            to: None,
            is_ordered: false,
            due: now,
            ends: doubtful_until,
            doubtful_until: if is_held {
                doubtful_until
            } else {
                Duration::ZERO
            },
            doubtful_fence: range.fence,
            handover: None,
        }
    }

    /// Whether an order is the one whose outcome is awaited.
    fn awaits(&self, order: &Order) -> bool {
        self.is_ordered
            && self.first == order.first
            && self.last == order.last
            && self.fence == order.fence
            && self.holder.as_ref() == Some(&order.holder)
    }

    fn is_served(&self) -> bool {
        match self.stage {
            Stage::Granted { is_served } | Stage::Chosen { is_served, .. } => is_served,
            Stage::Free | Stage::Releasing => false,
        }
    }

    /// Takes a new fencing token, which must be stored before it is used.
    fn choose(&mut self, fence: Fence, edition: u64) {
        let is_served = self.is_served();
        self.fence = fence;
        self.stage = Stage::Chosen { edition, is_served };
    }

    /// Gives the range to the next run of its holder.
    fn follow(&mut self, born: Birth, fence: Fence, edition: u64) {
        if let Some(holder) = &mut self.holder {
            holder.born = born;
        }
        self.stage = Stage::Free;
        self.is_ordered = false;
        self.handover = None;
        self.choose(fence, edition);
    }

    fn vacate(&mut self, handover: Option<String>) {
        self.holder = None;
        self.stage = Stage::Free;
        self.is_leaving = false;
        self.is_ordered = false;
        self.handover = handover;
        self.doubtful_until = Duration::ZERO;
        self.ends = Duration::ZERO;
    }

    /// Takes a range that is leaving one step further; `true` if the plan changed.
    ///
    /// `answers` says whether its holder answers orders.
    fn advance(&mut self, now: Duration, answers: bool, fence: &mut Fence, edition: u64) -> bool {
        let waits = self.is_ordered && self.stage != Stage::Releasing;
        if !self.is_leaving || waits {
            return false;
        }
        if now >= self.ends.max(self.doubtful_until) {
            let handover = self.handover.take();
            self.vacate(handover);
            return true;
        }
        if !matches!(self.stage, Stage::Granted { .. }) {
            return false;
        }
        if now < self.doubtful_until && answers {
            if self.fence > self.doubtful_fence {
                // The grant with a higher token is due and will tell.
                return false;
            }
            // Once it has seen a higher token, the holder refuses late orders.
            *fence += 1;
            self.choose(*fence, edition);
            return true;
        }
        self.stage = Stage::Releasing;
        self.due = now + NOTICE;
        false
    }

    fn order(
        &mut self,
        now: Duration,
        sight: &Sight<'_>,
        states: &HashMap<UpstreamId, State>,
        timing: &Timing,
        long_hold: bool,
    ) -> Option<Order> {
        let holder = self.holder.as_ref()?;
        if self.is_ordered || now < self.due {
            return None;
        }
        let state = states.get(&holder.id)?;
        let action = match self.stage {
            Stage::Granted { .. } => {
                if state.broke.is_some_and(|broke| sight.listed_at <= broke) {
                    return None;
                }
                Action::Grant {
                    hold: if long_hold {
                        timing.hold_max
                    } else {
                        timing.hold
                    },
                    handover: self.handover.clone(),
                }
            }
            Stage::Releasing => Action::Release,
            Stage::Free | Stage::Chosen { .. } => return None,
        };
        self.is_ordered = true;
        Some(Order {
            holder: holder.clone(),
            address: state.address,
            first: self.first,
            last: self.last,
            fence: self.fence,
            action,
        })
    }

    /// Takes what became of a grant; `false` if the holder has seen a higher fencing token.
    fn granted(
        &mut self,
        hold: Duration,
        outcome: &Outcome,
        now: Duration,
        timing: &Timing,
    ) -> bool {
        let ends = now + lasting(hold);
        match outcome {
            Outcome::Done { .. } => {
                self.ends = self.ends.max(ends);
                self.handover = None;
                self.due = now + timing.renew;
                if self.fence > self.doubtful_fence {
                    // The holder refuses what still is on its way.
                    self.doubtful_until = Duration::ZERO;
                }
                if let Stage::Granted { is_served } = &mut self.stage {
                    *is_served = true;
                }
            }
            Outcome::Unknown | Outcome::Broken => {
                self.ends = self.ends.max(ends);
                self.doubtful_until = self.doubtful_until.max(ends);
                self.doubtful_fence = self.fence;
                self.due = now + RETRY;
            }
            Outcome::Refused | Outcome::Unsent => self.due = now + RETRY,
            Outcome::Fenced | Outcome::Elsewhere => return false,
        }
        true
    }

    fn released(&mut self, outcome: Outcome, now: Duration) {
        match outcome {
            Outcome::Done { handover } if now >= self.doubtful_until => self.vacate(handover),
            Outcome::Done { handover } => {
                // A late order could give it back until then.
                self.handover = handover;
                self.ends = self.doubtful_until;
                self.due = self.doubtful_until;
            }
            _ => self.due = now + RETRY,
        }
    }
}

/// What is to become of a holder's keys.
enum Fate {
    Stays,
    Leaves,
    /// The holder's process has surely ended.
    Gone,
    /// The holder has begun another run.
    Reborn(Birth),
}

fn fate(
    holder: &Holder,
    sight: &Sight<'_>,
    states: &HashMap<UpstreamId, State>,
    now: Duration,
) -> Fate {
    let state = states.get(&holder.id);
    let Some(upstream) = sight.upstreams.iter().find(|one| one.id == holder.id) else {
        let is_gone = state.is_some_and(|state| state.is_replaced(holder, sight));
        return if is_gone { Fate::Gone } else { Fate::Leaves };
    };
    if upstream.born > holder.born {
        return Fate::Reborn(upstream.born);
    }
    let is_silent = state.is_some_and(|state| state.is_silent(now));
    if upstream.is_draining || is_silent {
        return Fate::Leaves;
    }
    Fate::Stays
}

impl State {
    fn at(address: SocketAddr, now: Duration) -> Self {
        Self {
            address,
            pace: Estimate::new(now),
            admits: ALL,
            heard: Duration::ZERO,
            unanswered: 0,
            broke: None,
        }
    }

    /// Whether another upstream has the address of a holder, whose process has ended then.
    fn is_replaced(&self, holder: &Holder, sight: &Sight<'_>) -> bool {
        sight
            .all
            .iter()
            .any(|one| one.address == self.address && one.id != holder.id && one.born > holder.born)
    }

    fn is_silent(&self, now: Duration) -> bool {
        self.unanswered >= SILENT_ORDERS && now.saturating_sub(self.heard) > SILENT_TIME
    }
}

/// The upstreams that can be given keys.
struct Seats {
    holders: Vec<Holder>,
    weights: Vec<f64>,
}

impl Seats {
    fn new(sight: &Sight<'_>, states: &HashMap<UpstreamId, State>, now: Duration) -> Self {
        let is_usable = |one: &&Arc<Upstream>| {
            let state = states.get(&one.id);
            !one.is_draining && !state.is_some_and(|state| state.is_silent(now))
        };
        let usable: Vec<_> = sight.upstreams.iter().filter(is_usable).collect();
        let holder = |one: &&Arc<Upstream>| Holder {
            id: one.id.clone(),
            born: one.born,
        };
        let weight = |one: &&Arc<Upstream>| {
            let slowness = states
                .get(&one.id)
                .map_or(1.0, |state| state.pace.slowness());
            f64::from(one.slots.max(1)) / slowness
        };
        Self {
            holders: usable.iter().map(holder).collect(),
            weights: usable.iter().map(weight).collect(),
        }
    }

    fn index(&self, holder: &Holder) -> Option<usize> {
        self.holders.iter().position(|one| one == holder)
    }

    fn least(&self, totals: &[f64]) -> Option<usize> {
        let relative = |seat: usize| totals[seat] / self.weights[seat];
        (0..self.holders.len()).min_by(|one, other| relative(*one).total_cmp(&relative(*other)))
    }
}

/// How long a grant may last by the slowest clock.
fn lasting(hold: Duration) -> Duration {
    hold.mul_f64(1.0 + CLOCK_DRIFT) + MARGIN
}
