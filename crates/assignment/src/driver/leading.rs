//! What the daemon that leads does.

use std::{pin::Pin, sync::atomic::Ordering, time::Duration};

use super::{Driver, LEAD, PLAN, Scene, Term, decode, encode, outcome_of};
use crate::{
    clock::Clock,
    demand::Report,
    election,
    exchange::Standing,
    lease::{Lapse, Lease},
    machine::{Machine, Sight},
    order::{Action, Command, Order, Outcome},
    plan::Plan,
    register::{Register, Snapshot},
    table::{Tables, Version},
};
use copperwell_message::HashMap;
use copperwell_routing::ServiceName;
use futures::{StreamExt, stream::FuturesUnordered};
use spdlog::info;
use tokio::{
    sync::mpsc,
    time::{MissedTickBehavior, interval},
};
use tokio_util::sync::CancellationToken;

use store::{LONG_HOLD, SLOW, Stored};

mod store;

/// How often the leader looks at what is due.
const TICK: Duration = Duration::from_millis(20);

/// How often the leader takes its own daemon's counts.
const COUNT: Duration = Duration::from_millis(400);

type Running<'a> = Pin<Box<dyn Future<Output = (ServiceName, Order, Outcome)> + Send + 'a>>;
type Storing<'a> = Pin<Box<dyn Future<Output = Stored> + Send + 'a>>;

/// One leadership.
pub(super) struct Leading<'a, R, C, K, S> {
    driver: &'a Driver<R, C, K, S>,
    term: u64,
    end: u64,
    lease: Lease,
    machines: Vec<Machine>,
    /// The predecessor's plans of services that no machine leads yet.
    plans: HashMap<ServiceName, Plan>,
    grants_end: Option<Duration>,
    beat: u64,
    beat_at: Duration,
    /// Nothing is written before, since a write has just failed.
    write_at: Duration,
    number: u64,
    /// Since when the store does not answer this daemon.
    store_away: Option<Duration>,
    /// What was said of the lease, once it had lapsed; it binds until a later write renews it.
    lapse: Option<Lapse>,
    /// When the last write was sent, if nobody knows whether it is in the store.
    unsure: Option<Duration>,
    /// When the call to the store was sent that has no answer yet.
    asked_at: Option<Duration>,
    is_lost: bool,
    /// Whether a much stronger daemon is to lead in its place.
    gives_way: bool,
    counted_at: Duration,
}

impl<'a, R: Register, C: Command, K: Clock, S: Scene> Leading<'a, R, C, K, S> {
    /// A leadership that begins with the plans of `snapshot`.
    ///
    /// `grants_end` says when the grants of the leader before end, if that is known.
    pub(super) fn new(
        driver: &'a Driver<R, C, K, S>,
        term: Term,
        snapshot: &Snapshot,
        grants_end: Option<Duration>,
    ) -> Self {
        let mut lease = Lease::default();
        lease.renew(term.began, &driver.timing.lease);
        let services = snapshot.entries.keys().filter_map(|key| {
            let service = key.strip_prefix(PLAN)?;
            Some((ServiceName::from(service), decode(snapshot, key)?))
        });
        Self {
            driver,
            term: term.number,
            end: term.end,
            lease,
            machines: Vec::new(),
            plans: services.collect(),
            grants_end,
            beat: 0,
            beat_at: term.began + driver.timing.lease.renew_interval,
            write_at: Duration::ZERO,
            number: 0,
            store_away: None,
            lapse: None,
            unsure: None,
            asked_at: None,
            is_lost: false,
            gives_way: false,
            counted_at: term.began,
        }
    }

    /// Leads until another daemon does, or `stopping`.
    pub(super) async fn run(
        mut self,
        reports: &mut mpsc::Receiver<Vec<Report>>,
        stopping: &CancellationToken,
    ) {
        let driver = self.driver;
        driver.metrics.leading.set(1);
        driver.metrics.terms.inc();
        let mut running: FuturesUnordered<Running<'a>> = FuturesUnordered::new();
        let mut storing: Option<Storing<'a>> = None;
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        // A look costs by ranges and upstreams, so there is none where nothing can follow from it.
        let mut looks = true;
        while !self.is_lost && !stopping.is_cancelled() && !self.gives_way {
            if looks {
                self.act();
                for (service, order) in self.orders() {
                    running.push(Box::pin(carry_out(driver, service, order)));
                }
            }
            if storing.is_none() {
                storing = self.write();
            }
            looks = tokio::select! {
                Some((service, order, outcome)) = running.next() => {
                    self.take(&service, &order, outcome)
                }
                stored = wait_for(&mut storing) => {
                    storing = self.stored(stored);
                    true
                }
                Some(report) = reports.recv() => {
                    self.count(report);
                    false
                }
                _ = ticks.tick() => true,
                () = stopping.cancelled() => false,
            };
        }
        driver.desk.set_standing(Standing::Follows);
        driver.metrics.leading.set(0);
        if !self.is_lost {
            self.hand_over(running, storing).await;
        }
        info!("leads no more", kv: { event = "lead-end", term = self.term, lost = self.is_lost });
    }

    /// Brings machines up to date and publishes what changed.
    fn act(&mut self) {
        let driver = self.driver;
        let now = driver.clock.now();
        self.stand(now);
        for service in driver.scene.keyed_services().unwrap_or_default() {
            if self.machines.iter().all(|one| *one.service() != service) {
                let plan = self.plans.remove(&service);
                info!("leads a service", kv: { event = "lead-service", service = &*service, ranges = plan.as_ref().map_or(0, |plan| plan.ranges.len()), term = self.term });
                let machine =
                    Machine::new(service, plan, driver.timing.grants, self.grants_end, now);
                self.machines.push(machine);
            }
        }
        if let Some(asked) = self.asked_at.filter(|asked| now >= *asked + SLOW) {
            self.note_store(Some(asked));
        }
        if now >= self.counted_at + COUNT {
            self.counted_at = now;
            self.count(driver.shared.counts.take());
            let daemons = driver.desk.daemons();
            driver.shared.daemons.store(daemons, Ordering::Relaxed);
            let strongest = driver.desk.strongest();
            self.gives_way = election::should_step_down(driver.identity.strength, strongest);
        }
    }

    /// The orders that are due.
    fn orders(&mut self) -> Vec<(ServiceName, Order)> {
        let driver = self.driver;
        let now = driver.clock.now();
        let Some(listed_at) = driver.scene.listed_at() else {
            return Vec::new();
        };
        if !self.lease.is_valid(now) {
            return Vec::new();
        }
        let all = driver.scene.all_upstreams();
        let mut orders = Vec::new();
        for machine in &mut self.machines {
            let upstreams = driver.scene.upstreams(machine.service());
            let sight = Sight::new(&upstreams, &all, listed_at);
            let is_away = self.store_away.is_some() && self.lease.remaining(now) < LONG_HOLD;
            let sight = sight.with_store_away(is_away);
            let due = machine.step(now, &sight);
            orders.extend(
                due.into_iter()
                    .map(|order| (machine.service().clone(), order)),
            );
        }
        self.publish();
        orders
    }

    fn publish(&mut self) {
        let tables = self
            .machines
            .iter()
            .map(|machine| (machine.service().clone(), machine.table()));
        let services: HashMap<_, _> = tables.collect();
        let directory = &self.driver.shared.directory;
        if directory.tables().services == services && directory.tables().version.term == self.term {
            return;
        }
        self.number += 1;
        let version = Version {
            term: self.term,
            number: self.number,
        };
        directory.publish(Tables { version, services });
        let ranges = self.machines.iter().map(Machine::ranges);
        let (all, unserved) = ranges.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.driver.metrics.ranges.set(gauge(all));
        self.driver.metrics.unserved.set(gauge(unserved));
    }

    /// Takes what became of an order; tells whether there may be something to do at once.
    fn take(&mut self, service: &ServiceName, order: &Order, outcome: Outcome) -> bool {
        let now = self.driver.clock.now();
        note(service, order, &outcome);
        let Some(machine) = self.machine(service) else {
            return false;
        };
        let looks = machine.take(order, outcome, now);
        if machine.take_fenced() {
            // The store says whether another daemon leads.
            self.beat_at = now;
        }
        looks
    }

    fn count(&mut self, reports: Vec<Report>) {
        for report in reports {
            if let Some(machine) = self.machine(&report.service) {
                machine.count(&report);
            }
        }
    }

    fn machine(&mut self, service: &ServiceName) -> Option<&mut Machine> {
        self.machines
            .iter_mut()
            .find(|machine| machine.service() == service)
    }

    /// Lets orders end and tells the others that they may take over.
    async fn hand_over(
        &mut self,
        mut running: FuturesUnordered<Running<'a>>,
        storing: Option<Storing<'a>>,
    ) {
        let driver = self.driver;
        let limit = driver.timing.grants.order_limit;
        let ended = async { while running.next().await.is_some() {} };
        let _ = tokio::time::timeout(limit, ended).await;
        let mut storing = storing;
        while let Some(call) = storing {
            storing = self.stored(call.await);
        }
        if self.is_lost {
            return;
        }
        let mut lead = driver.lead(self.term, self.beat + 1, self.number, true);
        lead.grants_end = self.grants_end_after(driver.clock.now());
        let swapped = driver.register.swap(self.end, &[encode(LEAD, &lead)]).await;
        driver.metrics.swapped(outcome_of(&swapped));
        info!("leadership is free", kv: { event = "hand-over", term = self.term, outcome = outcome_of(&swapped) });
    }
}

async fn carry_out<R: Register, C: Command, K: Clock, S: Scene>(
    driver: &Driver<R, C, K, S>,
    service: ServiceName,
    order: Order,
) -> (ServiceName, Order, Outcome) {
    let limits = driver.timing.grants.limits(&order.action);
    let outcome = driver.command.give(&order, limits).await;
    driver.metrics.ordered(action_of(&order), word_of(&outcome));
    (service, order, outcome)
}

async fn wait_for(storing: &mut Option<Storing<'_>>) -> Stored {
    match storing {
        Some(storing) => storing.await,
        None => std::future::pending().await,
    }
}

/// Logs an order that moves keys, or that failed; renewals that went well are only counted.
fn note(service: &str, order: &Order, outcome: &Outcome) {
    let is_renewal = matches!(&order.action, Action::Grant { handover: None, .. });
    if is_renewal && matches!(outcome, Outcome::Done { .. }) {
        return;
    }
    info!("an order ended", kv: {
        event = "order",
        service,
        action = action_of(order),
        outcome = word_of(outcome),
        server = &*order.holder.id,
        first = order.first,
        last = order.last,
        fence = order.fence
    });
}

fn action_of(order: &Order) -> &'static str {
    match order.action {
        Action::Grant { .. } => "grant",
        Action::Release => "release",
    }
}

fn word_of(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Done { .. } => "done",
        Outcome::Fenced => "fenced",
        Outcome::Elsewhere => "elsewhere",
        Outcome::Refused => "refused",
        Outcome::Unsent => "unsent",
        Outcome::Unknown => "unknown",
        Outcome::Unread => "unread",
        Outcome::Broken => "broken",
    }
}
