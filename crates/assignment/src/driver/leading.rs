//! The work of the leader.

use std::{pin::Pin, sync::atomic::Ordering, time::Duration};

use super::{Driver, Environment, LEAD, Term, encode, swap_outcome_name};
use crate::{
    clock::Clock,
    demand::Report,
    election,
    exchange::Standing,
    expiry::Expiry,
    lease::{Lapse, Lease},
    machine::{Machine, Observation},
    order::{Action, Order, Outcome, Sender},
    plan::Plan,
    register::{Register, generation, position},
    table::{Tables, Version},
};
use copperwell_message::{HashMap, HashSet};
use copperwell_routing::{ServiceName, UpstreamId};
use futures::{StreamExt, stream::FuturesUnordered};
use spdlog::info;
use tokio::{
    sync::mpsc,
    time::{Instant, MissedTickBehavior, interval},
};
use tokio_util::sync::CancellationToken;

use store::{LONG_GRANT_MARGIN, SLOW_CALL, StoreResult};

mod store;

/// How often the leader checks for due work.
const TICK: Duration = Duration::from_millis(20);

/// How often the leader collects the counts of its own daemon.
const COUNT_INTERVAL: Duration = Duration::from_millis(400);

/// For how long another daemon must reach far more upstreams before the leader steps down, so that daemons that hear
/// of crashes later than the leader do not count as better.
const REACH_PATIENCE: Duration = Duration::from_millis(700);

/// An order in flight, which ends with its outcome.
type OrderCall<'a> = Pin<Box<dyn Future<Output = (ServiceName, Order, Outcome)> + Send + 'a>>;
/// A call to the store in flight.
type StoreCall<'a> = Pin<Box<dyn Future<Output = StoreResult> + Send + 'a>>;

/// A term in which this daemon leads.
pub(super) struct Leadership<'a, R, S, K, E> {
    driver: &'a Driver<R, S, K, E>,
    term: u64,
    /// The position after the newest change that this leader knows of.
    position: u64,
    lease: Lease,
    machines: Vec<Machine>,
    /// The predecessor's plans of services that have no machine yet.
    plans: HashMap<ServiceName, Plan>,
    /// What the predecessor wrote of the expiries of ranges.
    expiries: HashMap<ServiceName, Vec<Expiry>>,
    /// When the grants of the previous leader expire, if known.
    grants_end: Option<Duration>,
    /// Until when grants may be in force that no plan names.
    unknown_until: Duration,
    /// Whether all entries must be written again, as the log has lost its end.
    must_restore: bool,
    /// The number of writes in this term after the first entry.
    beat: u64,
    renew_at: Duration,
    /// The earliest time of the next write, which is delayed after a failed one.
    next_write_at: Duration,
    table_number: u64,
    /// Since when the store has not answered this daemon.
    store_unreachable_since: Option<Duration>,
    /// The lapse of the lease, if it was announced. It is binding until a write that starts later
    /// renews the lease.
    lapse: Option<Lapse>,
    /// When the last write was sent, if it is unknown whether the store has it.
    unconfirmed_write_at: Option<Duration>,
    /// When the current call to the store was sent; `None` if there is none.
    call_sent_at: Option<Duration>,
    /// Whether another daemon has taken over.
    is_lost: bool,
    /// Whether a much stronger daemon should lead instead.
    should_step_down: bool,
    /// Since when another daemon reaches far more upstreams.
    is_worse_since: Option<Duration>,
    counted_at: Duration,
    started_at: Duration,
}

impl<'a, R: Register, S: Sender, K: Clock, E: Environment> Leadership<'a, R, S, K, E> {
    /// Starts a term.
    ///
    /// `grants_end` is when the grants of the previous leader expire, if known.
    pub(super) fn new(
        driver: &'a Driver<R, S, K, E>,
        term: Term,
        grants_end: Option<Duration>,
    ) -> Self {
        let mut lease = Lease::default();
        lease.renew(term.started_at, &driver.timing.lease);
        Self {
            driver,
            term: term.number,
            position: term.position,
            lease,
            machines: Vec::new(),
            plans: term.plans,
            expiries: term.expiries,
            grants_end,
            unknown_until: term.unknown_until,
            must_restore: false,
            beat: 0,
            renew_at: term.started_at + driver.timing.lease.renew_interval,
            next_write_at: Duration::ZERO,
            table_number: 0,
            store_unreachable_since: None,
            lapse: None,
            unconfirmed_write_at: None,
            call_sent_at: None,
            is_lost: false,
            should_step_down: false,
            is_worse_since: None,
            counted_at: term.started_at,
            started_at: term.started_at,
        }
    }

    /// Leads until another daemon takes over or `stopping` is cancelled.
    pub(super) async fn run(
        mut self,
        reports: &mut mpsc::Receiver<Vec<Report>>,
        stopping: &CancellationToken,
    ) {
        let driver = self.driver;
        driver.metrics.leading.set(1);
        driver.metrics.is_successor.set(0);
        driver.shared.successors.send_replace(Vec::new());
        driver
            .shared
            .reads_for_others
            .store(true, Ordering::Relaxed);
        driver.metrics.terms.inc();
        let mut orders_in_flight: FuturesUnordered<OrderCall<'a>> = FuturesUnordered::new();
        let mut store_call: Option<StoreCall<'a>> = None;
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        // The cost of a step grows with the number of ranges and upstreams, so it is skipped after
        // events that cannot lead to new orders.
        let mut is_step_due = true;
        while !self.is_lost && !stopping.is_cancelled() && !self.should_step_down {
            if is_step_due {
                self.update();
                for (service, order) in self.due_orders() {
                    orders_in_flight.push(Box::pin(send_order(driver, service, order)));
                }
            }
            if store_call.is_none() {
                store_call = self.start_write();
            }
            is_step_due = tokio::select! {
                Some((service, order, outcome)) = orders_in_flight.next() => {
                    self.apply_outcome(&service, &order, outcome)
                }
                result = wait_for(&mut store_call) => {
                    store_call = self.handle_store_result(result);
                    true
                }
                Some(report) = reports.recv() => {
                    self.add_reports(report);
                    false
                }
                _ = ticks.tick() => true,
                () = stopping.cancelled() => false,
            };
        }
        driver.server.set_standing(Standing::Follows);
        driver.metrics.leading.set(0);
        if !self.is_lost {
            self.hand_over(orders_in_flight, store_call).await;
        }
        info!("leadership ended", kv: { event = "lead-end", term = self.term, lost = self.is_lost });
    }

    /// Creates machines for new services, updates the status of this daemon, and collects its counts.
    fn update(&mut self) {
        let driver = self.driver;
        let now = driver.clock.now();
        self.update_standing(now);
        for service in driver.environment.keyed_services().unwrap_or_default() {
            if self.machines.iter().all(|one| *one.service() != service) {
                let plan = self.plans.remove(&service);
                let ranges = plan.iter().flat_map(|plan| &plan.ranges);
                let unassigned = ranges.clone().filter(|one| one.holder.is_none()).count();
                info!("assigning the keys of a service", kv: { event = "lead-service", service = &*service, ranges = ranges.count(), unassigned, term = self.term });
                let timing = driver.timing.grants;
                let expiries = self.expiries.remove(&service).unwrap_or_default();
                let machine = Machine::new(service, plan, timing, self.grants_end, now)
                    .with_expiries(&expiries, now)
                    .with_fence_from(position(generation(self.position), 0))
                    .with_unassigned_until(self.unknown_until);
                self.machines.push(machine);
            }
        }
        if let Some(sent_at) = self
            .call_sent_at
            .filter(|sent_at| now >= *sent_at + SLOW_CALL)
        {
            self.set_store_unreachable(Some(sent_at));
        }
        if now >= self.counted_at + COUNT_INTERVAL {
            self.counted_at = now;
            self.add_reports(driver.shared.load_counts.take());
            let daemons = driver.server.daemons();
            driver.shared.daemons.store(daemons, Ordering::Relaxed);
            // The daemons that were not told get it with the list of upstreams.
            for (id, born) in driver.server.leaving() {
                driver.environment.record_leaving(&id, born);
            }
            self.should_step_down = self.is_other_better(now);
        }
    }

    /// Returns whether the daemon that should lead next is much stronger, or has reached far more upstreams than
    /// this one for a time.
    fn is_other_better(&mut self, now: Duration) -> bool {
        let driver = self.driver;
        let report = driver.reach_report();
        let keyed = driver.keyed();
        let lost = keyed.count(&report.lost);
        let helpers = driver.server.report_own_reach(report, keyed.clone());
        driver.shared.helpers.send_replace(helpers);
        let Some(candidate) = driver.server.first_candidate() else {
            return false;
        };
        if !candidate.has_reported || !keyed.is_much_worse(&lost, &candidate.lost) {
            self.is_worse_since = None;
            return !keyed.is_much_worse(&candidate.lost, &lost)
                && election::should_step_down(
                    driver.identity.strength,
                    candidate.strength,
                    now.saturating_sub(self.started_at),
                );
        }
        let since = *self.is_worse_since.get_or_insert(now);
        let is_due = now >= since + REACH_PATIENCE;
        if is_due {
            info!("another daemon reaches far more upstreams and should lead", kv: { event = "lead-cut-off", term = self.term, lost = lost.total(), candidate_lost = candidate.lost.total() });
        }
        is_due
    }

    /// Returns the orders that are due.
    fn due_orders(&mut self) -> Vec<(ServiceName, Order)> {
        let driver = self.driver;
        let now = driver.clock.now();
        let Some(list_read_at) = driver.environment.list_read_at() else {
            return Vec::new();
        };
        if !self.lease.is_valid(now) {
            return Vec::new();
        }
        let all = driver.environment.all_upstreams();
        let lost: HashSet<UpstreamId> = driver.shared.lost.borrow().iter().cloned().collect();
        let mut orders = Vec::new();
        for machine in &mut self.machines {
            let upstreams = driver.environment.upstreams(machine.service());
            let warming_up = driver.environment.warming_up(machine.service());
            let observation = Observation::new(&upstreams, &all, list_read_at);
            let is_unreachable = self.store_unreachable_since.is_some()
                && self.lease.remaining(now) < LONG_GRANT_MARGIN;
            let observation = observation
                .with_store_unreachable(is_unreachable)
                .with_lost(&lost)
                .with_warming_up(&warming_up);
            let due = machine.step(now, &observation);
            orders.extend(
                due.into_iter()
                    .map(|order| (machine.service().clone(), order)),
            );
        }
        self.publish();
        orders
    }

    /// Publishes the routing tables if they have changed.
    fn publish(&mut self) {
        let tables = self
            .machines
            .iter()
            .map(|machine| (machine.service().clone(), machine.table()));
        let services: HashMap<_, _> = tables.collect();
        let routing_tables = &self.driver.shared.routing_tables;
        if routing_tables.tables().services == services
            && routing_tables.tables().version.term == self.term
        {
            return;
        }
        self.table_number += 1;
        let version = Version {
            term: self.term,
            number: self.table_number,
        };
        routing_tables.publish(Tables { version, services });
        let ranges = self.machines.iter().map(Machine::range_counts);
        let (all, unserved) = ranges.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.driver.metrics.ranges.set(gauge(all));
        self.driver.metrics.unserved.set(gauge(unserved));
    }

    /// Applies the outcome of an order; returns whether new orders may be due at once.
    fn apply_outcome(&mut self, service: &ServiceName, order: &Order, outcome: Outcome) -> bool {
        let now = self.driver.clock.now();
        log_outcome(service, order, &outcome);
        let Some(machine) = self.machine(service) else {
            return false;
        };
        let is_step_due = machine.apply_outcome(order, outcome, now);
        if machine.take_fenced() {
            // The next write shows whether another daemon leads.
            self.renew_at = now;
        }
        is_step_due
    }

    fn add_reports(&mut self, reports: Vec<Report>) {
        for report in reports {
            if let Some(machine) = self.machine(&report.service) {
                machine.add_report(&report);
            }
        }
    }

    fn machine(&mut self, service: &ServiceName) -> Option<&mut Machine> {
        self.machines
            .iter_mut()
            .find(|machine| machine.service() == service)
    }

    /// Waits for orders in flight, then marks the term as over, so that another daemon can take
    /// over.
    async fn hand_over(
        &mut self,
        mut orders_in_flight: FuturesUnordered<OrderCall<'a>>,
        store_call: Option<StoreCall<'a>>,
    ) {
        let driver = self.driver;
        let limit = driver.timing.grants.grant_timeout;
        let ended = async { while orders_in_flight.next().await.is_some() {} };
        let _ = tokio::time::timeout(limit, ended).await;
        let mut store_call = store_call;
        while let Some(call) = store_call {
            store_call = self.handle_store_result(call.await);
        }
        if self.is_lost {
            return;
        }
        let generation = generation(self.position);
        let (beat, number) = (self.beat + 1, self.table_number);
        let mut leader = driver.leader_entry(self.term, beat, number, true, generation);
        let now = driver.clock.now();
        leader.grants_end = self.remaining_grant_time(now);
        leader.unknown_for = self.unknown_until.saturating_sub(now);
        let result = driver
            .register
            .compare_and_swap(self.position, &[encode(LEAD, &leader)])
            .await;
        driver.metrics.count_swap(swap_outcome_name(&result));
        info!("handing over leadership", kv: { event = "hand-over", term = self.term, outcome = swap_outcome_name(&result) });
    }
}

/// Sends an order and counts its outcome.
async fn send_order<R: Register, S: Sender, K: Clock, E: Environment>(
    driver: &Driver<R, S, K, E>,
    service: ServiceName,
    order: Order,
) -> (ServiceName, Order, Outcome) {
    let timeouts = driver.timing.grants.timeouts(&order.action);
    let sent_at = Instant::now();
    let outcome = driver.sender.send(&order, timeouts).await;
    let (environment, id) = (&driver.environment, &order.holder.id);
    match outcome {
        // An answer of another order came over the path too.
        Outcome::Done { .. } | Outcome::Foreign | Outcome::Fenced | Outcome::Misdirected => {
            environment.record_order_answer(id);
        }
        Outcome::Refused | Outcome::Unsent => environment.record_unconnected(id),
        Outcome::Unknown | Outcome::UnreadOnNewConnection => {
            environment.record_unanswered(id, sent_at);
        }
        Outcome::Broken => environment.record_broken(id),
    }
    driver
        .metrics
        .count_order(action_name(&order), order_outcome_name(&outcome));
    (service, order, outcome)
}

/// Waits for the result of a call to the store; waits forever if there is none.
async fn wait_for(store_call: &mut Option<StoreCall<'_>>) -> StoreResult {
    match store_call {
        Some(store_call) => store_call.await,
        None => std::future::pending().await,
    }
}

/// Logs an order that moves keys or failed; successful renewals are only counted.
fn log_outcome(service: &str, order: &Order, outcome: &Outcome) {
    let is_renewal = matches!(&order.action, Action::Grant { handover: None, .. });
    if is_renewal && matches!(outcome, Outcome::Done { .. }) {
        return;
    }
    info!("order ended", kv: {
        event = "order",
        service,
        action = action_name(order),
        outcome = order_outcome_name(outcome),
        server = &*order.holder.id,
        first = order.first,
        last = order.last,
        fence = order.fence
    });
}

fn action_name(order: &Order) -> &'static str {
    match order.action {
        Action::Grant { .. } => "grant",
        Action::Release => "release",
    }
}

/// Returns the name of the outcome of an order, for logs and metrics.
fn order_outcome_name(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Done { .. } => "done",
        Outcome::Fenced => "fenced",
        Outcome::Misdirected => "elsewhere",
        Outcome::Refused => "refused",
        Outcome::Unsent => "unsent",
        Outcome::Unknown => "unknown",
        Outcome::Foreign => "foreign",
        Outcome::UnreadOnNewConnection => "unread",
        Outcome::Broken => "broken",
    }
}
