//! A simulation of servers that hold keys, a store, and one leader after another.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use copperwell_assignment::{
    machine::{Machine, Observation, Timing, latest_grant_end},
    order::{Action, Order, Outcome},
    plan::Plan,
    register::position,
};
use copperwell_routing::{Incarnation, Key, registry::Upstream};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

/// The time of one simulation step.
pub(crate) const STEP: Duration = Duration::from_millis(20);

/// How much longer a grant may last by a server's clock.
const CLOCK_DRIFT_FACTOR: f64 = 1.02;

/// The distance between the keys whose holders are compared. Ranges are split anywhere, so any
/// sample finds an overlap that lasts.
const SAMPLE_DISTANCE: usize = 509;

/// A server and the keys that it holds.
pub(crate) struct Server {
    pub(crate) upstream: Arc<Upstream>,
    /// Whether the server is registered.
    pub(crate) is_listed: bool,
    /// Whether its process runs.
    pub(crate) is_up: bool,
    /// Whether orders reach it.
    pub(crate) is_reachable: bool,
    /// Whether the leader cannot open a connection to it.
    pub(crate) is_path_lost: bool,
    /// Whether a connection to its present run is open.
    is_connected: bool,
    grants: Vec<Grant>,
    /// The highest fencing token that it has received for each sampled key.
    highest_fences: BTreeMap<Key, u64>,
}

#[derive(Clone, Copy)]
struct Grant {
    first: Key,
    last: Key,
    fence: u64,
    until: Duration,
}

/// An order in flight, or one that is carried out late.
struct SentOrder {
    order: Order,
    arrives_at: Duration,
    /// When the leader learns the outcome, and whether that is an answer.
    returns_at: Duration,
    is_answered: bool,
    /// How long after its arrival the order is carried out.
    delay: Duration,
    outcome: Option<Outcome>,
    /// The outcome for the leader if there is no answer.
    unanswered_outcome: Outcome,
    /// The run of the server that has the order in its receive buffer, so that it arrives even if
    /// the server becomes unreachable.
    received_by: Option<Incarnation>,
    leader: usize,
}

/// The simulation.
pub(crate) struct Simulation {
    pub(crate) now: Duration,
    pub(crate) servers: Vec<Server>,
    pub(crate) machine: Machine,
    pub(crate) stored: Option<Plan>,
    /// How often the store has come back from a copy.
    generation: u64,
    /// Until when grants may be in force that no plan names.
    unknown_until: Duration,
    pub(crate) writes: usize,
    /// The share of orders without an answer.
    pub(crate) unanswered: f64,
    /// The share of orders that a server reads late, since they arrive on a new connection.
    pub(crate) read_late: f64,
    pub(crate) is_store_unreachable: bool,
    /// Whether the leader finds out which servers it can connect to.
    pub(crate) probes_paths: bool,
    /// Whether the service limits the requests of servers that warm up.
    pub(crate) limits_warmups: bool,
    leader: usize,
    in_flight: Vec<SentOrder>,
    /// A write in flight: its edition, its plan, and when it takes effect.
    write: Option<(u64, Plan, Duration)>,
    list_read_at: Duration,
    listed: Vec<Arc<Upstream>>,
    /// Upstreams of all services.
    pub(crate) all: Vec<Arc<Upstream>>,
    highest: BTreeMap<Key, (u64, usize)>,
    random: SmallRng,
}

pub(crate) fn upstream(number: usize, born: u64) -> Arc<Upstream> {
    let port = 9_000 + u16::try_from(number).unwrap();
    Arc::new(Upstream {
        id: format!("u{number}").into(),
        born,
        service: "cups".into(),
        address: ([127, 0, 0, 1], port).into(),
        zone: "here".into(),
        slots: 2,
        is_draining: false,
        warmup: Duration::ZERO,
    })
}

impl Simulation {
    pub(crate) fn new(servers: usize, seed: u64) -> Self {
        let now = Duration::from_secs(100);
        let servers = (0..servers).map(|number| Server::new(upstream(number, 1)));
        Self {
            now,
            servers: servers.collect(),
            machine: Machine::new("cups".into(), None, Timing::default(), None, now),
            stored: None,
            generation: 0,
            unknown_until: Duration::ZERO,
            writes: 0,
            unanswered: 0.0,
            read_late: 0.0,
            is_store_unreachable: false,
            probes_paths: false,
            limits_warmups: false,
            leader: 0,
            in_flight: Vec::new(),
            write: None,
            list_read_at: now,
            listed: Vec::new(),
            all: Vec::new(),
            highest: BTreeMap::new(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    pub(crate) fn random(&mut self) -> &mut SmallRng {
        &mut self.random
    }

    /// Advances the simulation by `time`.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Starts a new leader; orders of the previous one may still be in flight.
    pub(crate) fn change_leader(&mut self) {
        self.start_leader(None);
    }

    /// Starts a new leader that knows when the grants of the previous one end.
    pub(crate) fn change_leader_with_known_grants_end(&mut self) {
        self.start_leader(Some(self.machine.grants_end()));
    }

    fn start_leader(&mut self, grants_end: Option<Duration>) {
        self.leader += 1;
        self.write = None;
        let plan = self.stored.clone();
        let timing = Timing::default();
        self.machine = Machine::new("cups".into(), plan, timing, grants_end, self.now)
            .with_fence_from(position(self.generation, 0))
            .with_unassigned_until(self.unknown_until);
    }

    /// Starts a new leader after the store has come back with the plan `copy`, or without any.
    pub(crate) fn change_leader_after_loss(&mut self, copy: Option<Plan>) {
        self.generation += 1;
        self.unknown_until = latest_grant_end(&Timing::default(), self.now);
        // The plan is written together with the entry of the new leader.
        self.stored = copy.map(Plan::without_holders);
        self.start_leader(None);
    }

    /// Returns the server that holds a key by its own state.
    pub(crate) fn holder(&self, key: Key) -> Option<usize> {
        let now = self.now;
        self.servers
            .iter()
            .position(|server| server.holds(key, now))
    }

    /// Returns how many of the sampled keys are served.
    pub(crate) fn served(&self) -> usize {
        sample().filter(|key| self.holder(*key).is_some()).count()
    }

    pub(crate) fn step(&mut self) {
        self.now += STEP;
        if self.now >= self.list_read_at + Duration::from_millis(600) {
            self.list_read_at = self.now;
            let listed = self.servers.iter().filter(|server| server.is_listed);
            self.listed = listed.map(|server| server.upstream.clone()).collect();
        }
        self.deliver_orders();
        self.run_store();
        let observation = Observation::new(&self.listed, &self.all, self.list_read_at);
        let observation = observation.with_store_unreachable(self.is_store_unreachable);
        let servers = self.servers.iter();
        let lost = servers.filter(|server| server.is_path_lost);
        let lost = lost.map(|server| server.upstream.id.clone()).collect();
        let observation = match self.probes_paths {
            true => observation.with_lost(&lost),
            false => observation,
        };
        let listed = self.listed.iter().filter(|one| !one.warmup.is_zero());
        let warming_up = listed.map(|one| one.id.clone()).collect();
        let observation = match self.limits_warmups {
            true => observation.with_warming_up(&warming_up),
            false => observation,
        };
        for order in self.machine.step(self.now, &observation) {
            self.send(order);
        }
        self.check();
    }

    fn run_store(&mut self) {
        if let Some((edition, plan, at)) = self.write.take() {
            if self.now < at || self.is_store_unreachable {
                self.write = Some((edition, plan, at));
            } else {
                assert!(plan.is_whole(), "{plan:?}");
                self.stored = Some(plan);
                self.writes += 1;
                self.machine.mark_stored(edition, self.now);
            }
        }
        if self.write.is_none()
            && let Some((edition, plan)) = self.machine.plan_to_store()
        {
            self.write = Some((edition, plan, self.now + Duration::from_millis(10)));
        }
    }

    fn send(&mut self, order: Order) {
        let stored = self.stored.as_ref().unwrap();
        let is_planned = stored.ranges.iter().any(|range| {
            range.first <= order.first
                && order.last <= range.last
                && range.holder.as_ref() == Some(&order.holder)
                && range.fence == order.fence
        });
        if matches!(order.action, Action::Grant { .. }) {
            assert!(is_planned, "granted before it was stored: {order:?}");
        }
        if self.random.random_bool(self.read_late) {
            return self.send_read_late(order);
        }
        let arrives_at = self.now + Duration::from_millis(self.random.random_range(1..30));
        let is_answered = !self.random.random_bool(self.unanswered);
        let limit = Timing::default().grant_timeout;
        let delay = match is_answered {
            true => Duration::ZERO,
            false => Duration::from_millis(self.random.random_range(0..12_000)),
        };
        let returns_at = match is_answered {
            true => arrives_at + Duration::from_millis(1),
            false => self.now + limit,
        };
        self.in_flight.push(SentOrder {
            order,
            arrives_at,
            returns_at,
            is_answered,
            delay,
            outcome: None,
            unanswered_outcome: Outcome::Unknown,
            received_by: None,
            leader: self.leader,
        });
    }

    /// Sends an order that waits at the server until the server has capacity to read it.
    fn send_read_late(&mut self, order: Order) {
        let timing = Timing::default();
        let timeout = timing.timeouts(&order.action).new;
        let read_delay = self
            .random
            .random_range(Duration::ZERO..timing.read_delay_max);
        let address = order.address;
        let mut servers = self.servers.iter();
        let server = servers.find(|server| server.upstream.address == address);
        let reachable = server.filter(|server| server.is_reachable && server.is_up);
        let received_by = reachable.map(|server| server.upstream.born);
        self.in_flight.push(SentOrder {
            order,
            arrives_at: self.now + read_delay,
            returns_at: self.now + read_delay.min(timeout),
            is_answered: read_delay < timeout,
            delay: Duration::ZERO,
            outcome: None,
            unanswered_outcome: Outcome::UnreadOnNewConnection,
            received_by,
            leader: self.leader,
        });
    }

    fn deliver_orders(&mut self) {
        let now = self.now;
        let mut in_flight = std::mem::take(&mut self.in_flight);
        for sent in &mut in_flight {
            if sent.outcome.is_none() && now >= sent.arrives_at + sent.delay {
                let outcome = self.deliver(&sent.order, sent.arrives_at, sent.received_by);
                sent.outcome = Some(outcome);
            }
        }
        let (finished, waiting): (Vec<_>, Vec<_>) = in_flight
            .into_iter()
            .partition(|sent| now >= sent.returns_at && sent.outcome.is_some());
        self.in_flight = waiting;
        // An order without an answer times out, and may still be carried out.
        for sent in &mut self.in_flight {
            if !sent.is_answered && now >= sent.returns_at && sent.leader == self.leader {
                sent.leader = usize::MAX;
                self.machine
                    .apply_outcome(&sent.order, sent.unanswered_outcome.clone(), now);
            }
        }
        for sent in finished {
            if sent.leader == self.leader {
                let outcome = match sent.is_answered {
                    true => sent.outcome.unwrap(),
                    false => sent.unanswered_outcome,
                };
                self.machine.apply_outcome(&sent.order, outcome, now);
            }
        }
    }

    fn deliver(
        &mut self,
        order: &Order,
        arrived: Duration,
        received_by: Option<Incarnation>,
    ) -> Outcome {
        let now = self.now;
        let server = self
            .servers
            .iter_mut()
            .find(|server| server.upstream.address == order.address)
            .unwrap();
        if !server.is_up {
            return Outcome::Refused;
        }
        if received_by.is_some_and(|born| born != server.upstream.born) {
            return Outcome::Broken;
        }
        if server.is_path_lost {
            return Outcome::Unsent;
        }
        if !server.is_reachable && received_by.is_none() {
            return Outcome::Unknown;
        }
        if !std::mem::replace(&mut server.is_connected, true) {
            // The connection to the previous run is found broken.
            return Outcome::Broken;
        }
        server.apply_order(order, arrived, now)
    }

    /// Asserts that no key has two holders, and that fencing tokens increase whenever the holder of
    /// a key changes.
    fn check(&mut self) {
        for key in sample() {
            let holders = self
                .servers
                .iter()
                .enumerate()
                .filter_map(|(number, server)| {
                    let grant = server.grant_of(key, self.now)?;
                    Some((number, grant.fence))
                });
            let holders: Vec<_> = holders.collect();
            assert!(
                holders.len() < 2,
                "key {key} at {:?}: {holders:?}",
                self.now
            );
            let Some((number, fence)) = holders.first().copied() else {
                continue;
            };
            let highest = self.highest.entry(key).or_insert((fence, number));
            let is_higher = fence > highest.0 || (fence == highest.0 && number == highest.1);
            let is_late = fence < highest.0 && number == highest.1;
            assert!(is_higher || is_late, "key {key}: {fence} after {highest:?}");
            if is_higher {
                *highest = (fence, number);
            }
        }
    }
}

impl Server {
    pub(crate) fn new(upstream: Arc<Upstream>) -> Self {
        Self {
            upstream,
            is_listed: true,
            is_up: true,
            is_reachable: true,
            is_path_lost: false,
            is_connected: true,
            grants: Vec::new(),
            highest_fences: BTreeMap::new(),
        }
    }

    /// Ends the process, which loses its state.
    pub(crate) fn crash(&mut self) {
        self.is_up = false;
        self.is_connected = false;
        self.grants.clear();
        self.highest_fences.clear();
    }

    /// Sets how much longer it warms up, as its registration says.
    pub(crate) fn set_warmup(&mut self, left: Duration) {
        let mut upstream = (*self.upstream).clone();
        upstream.warmup = left;
        self.upstream = Arc::new(upstream);
    }

    /// Starts a new run under the same name.
    pub(crate) fn restart(&mut self) {
        let mut upstream = (*self.upstream).clone();
        upstream.born += 1;
        self.upstream = Arc::new(upstream);
        self.is_up = true;
        self.is_listed = true;
    }

    pub(crate) fn drain(&mut self) {
        let mut upstream = (*self.upstream).clone();
        upstream.is_draining = true;
        self.upstream = Arc::new(upstream);
    }

    fn apply_order(&mut self, order: &Order, arrived: Duration, now: Duration) -> Outcome {
        let covers = |grant: &Grant| grant.first <= order.last && order.first <= grant.last;
        match &order.action {
            Action::Grant { hold, .. } => {
                let keys = sample().filter(|key| (order.first..=order.last).contains(key));
                let keys: Vec<Key> = keys.collect();
                let highest = keys
                    .iter()
                    .filter_map(|key| self.highest_fences.get(key))
                    .max();
                if highest.is_some_and(|highest| *highest > order.fence) {
                    return Outcome::Fenced;
                }
                for key in keys {
                    self.highest_fences.insert(key, order.fence);
                }
                let until = arrived + hold.mul_f64(CLOCK_DRIFT_FACTOR);
                let same = self.grants.iter_mut().find(|grant| {
                    (grant.first, grant.last, grant.fence) == (order.first, order.last, order.fence)
                });
                match same {
                    Some(grant) => grant.until = grant.until.max(until),
                    None if until > now => self.grants.push(Grant {
                        first: order.first,
                        last: order.last,
                        fence: order.fence,
                        until,
                    }),
                    None => {}
                }
                Outcome::Done { handover: None }
            }
            Action::Release => {
                let mut kept = Vec::new();
                for grant in self.grants.drain(..) {
                    if !covers(&grant) || grant.fence > order.fence {
                        kept.push(grant);
                        continue;
                    }
                    if grant.first < order.first {
                        let last = order.first - 1;
                        kept.push(Grant { last, ..grant });
                    }
                    if order.last < grant.last {
                        let first = order.last + 1;
                        kept.push(Grant { first, ..grant });
                    }
                }
                self.grants = kept;
                let handover = Some("left".to_owned());
                Outcome::Done { handover }
            }
        }
    }

    fn grant_of(&self, key: Key, now: Duration) -> Option<Grant> {
        let own = self.grants.iter().filter(|grant| {
            (grant.first..=grant.last).contains(&key) && now < grant.until && self.is_up
        });
        own.max_by_key(|grant| grant.fence).copied()
    }

    fn holds(&self, key: Key, now: Duration) -> bool {
        self.grant_of(key, now).is_some()
    }
}

/// Returns the sampled keys.
pub(crate) fn sample() -> impl Iterator<Item = Key> {
    (0..=Key::MAX).step_by(SAMPLE_DISTANCE)
}
