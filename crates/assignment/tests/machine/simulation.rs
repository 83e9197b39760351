//! A simulation of servers that hold keys, a store, and one leader after another.

mod orders;
mod server;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use copperwell_assignment::{
    expiry::Expiry,
    machine::{Machine, Observation, Timing, latest_grant_end},
    plan::Plan,
    register::position,
};
use copperwell_routing::{Key, registry::Upstream};
use rand::{SeedableRng, rngs::SmallRng};

use orders::SentOrder;
pub(crate) use server::{Server, upstream};

/// The time of one simulation step.
pub(crate) const STEP: Duration = Duration::from_millis(20);

/// How often the leader renews its entry in the store.
const BEAT: Duration = Duration::from_millis(700);

/// The distance between the keys whose holders are compared. Ranges are split anywhere, so any
/// sample finds an overlap that lasts.
const SAMPLE_DISTANCE: usize = 509;

/// The simulation.
pub(crate) struct Simulation {
    pub(crate) now: Duration,
    pub(crate) servers: Vec<Server>,
    pub(crate) machine: Machine,
    pub(crate) stored: Option<Plan>,
    /// The expiries in the store, and when they are written again.
    expiries: (Vec<Expiry>, Duration),
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

impl Simulation {
    pub(crate) fn new(servers: usize, seed: u64) -> Self {
        let now = Duration::from_secs(100);
        let servers = (0..servers).map(|number| Server::new(upstream(number, 1)));
        Self {
            now,
            servers: servers.collect(),
            machine: Machine::new("cups".into(), None, Timing::default(), None, now),
            stored: None,
            expiries: (Vec::new(), now),
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
            .with_expiries(&self.expiries.0, self.now)
            .with_fence_from(position(self.generation, 0))
            .with_unassigned_until(self.unknown_until);
        // A leader reads only what its predecessor wrote.
        self.expiries = (Vec::new(), self.now + BEAT);
    }

    /// Starts a new leader after the store has come back with the plan `copy`, or without any.
    pub(crate) fn change_leader_after_loss(&mut self, copy: Option<Plan>) {
        self.generation += 1;
        self.unknown_until = latest_grant_end(&Timing::default(), self.now);
        // The plan is written together with the entry of the new leader.
        self.stored = copy.map(Plan::without_holders);
        self.expiries = (Vec::new(), self.now);
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
        if self.now >= self.expiries.1 && !self.is_store_unreachable {
            self.expiries = (self.machine.expiries(self.now), self.now + BEAT);
        }
        if self.write.is_none()
            && let Some((edition, plan)) = self.machine.plan_to_store()
        {
            self.write = Some((edition, plan, self.now + Duration::from_millis(10)));
        }
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

/// Returns the sampled keys.
pub(crate) fn sample() -> impl Iterator<Item = Key> {
    (0..=Key::MAX).step_by(SAMPLE_DISTANCE)
}
