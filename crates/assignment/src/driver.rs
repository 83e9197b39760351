//! The daemon's part in the assignment: it follows the leader, or leads itself.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use crate::{
    DaemonName,
    clock::Clock,
    demand::Report,
    election,
    exchange::{Server, Standing},
    expiry::{Expiries, Expiry},
    lease::{self, LeaderEntry, Observer},
    machine,
    metrics::Metrics,
    order::Sender,
    plan::Plan,
    reach::{Helper, Keyed},
    register::{Failure, Register, Snapshot, generation},
    shared::Shared,
    store_state::{Delta, ListVersion, Newest},
    table::{Table, Tables, Version},
};
use copperwell_message::{HashMap, HashSet};
use copperwell_policy::backoff::Backoff;
use copperwell_routing::{
    Incarnation, ServiceName, UpstreamId, ZoneName, evacuation::Evacuations, registry::Upstream,
};
use rand::RngExt;
use spdlog::warn;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

use following::FollowOutcome;
use leading::Leadership;
use takeover::Term;

mod fetch;
mod following;
mod leading;
mod succession;
mod takeover;

/// The store entry that names the leader.
const LEAD: &str = "lead";

/// The prefix of the store entries that hold plans; the name of the service follows.
const PLAN: &str = "plan.";

/// The prefix of the entries with the expiries of the ranges of each service.
const EXPIRIES: &str = "expiries.";

/// How long a daemon waits before it reads the store again.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

/// The maximum of that interval after repeated failures of the store.
const POLL_INTERVAL_MAX: Duration = Duration::from_secs(2);

/// The longest time after which a daemon connects again to a leader whose connection broke.
const RECONNECT_DELAY_MAX: Duration = Duration::from_millis(200);

/// How much longer a daemon that reaches far fewer upstreams than others waits before it leads.
const REACH_DELAY: Duration = Duration::from_millis(1_500);

/// The daemon's knowledge of services and upstreams.
pub trait Environment: Send + Sync + 'static {
    /// Returns the services whose keys are sharded; `None` if there is no configuration yet.
    fn keyed_services(&self) -> Option<Vec<ServiceName>>;

    /// Returns the upstreams of a service, including those that are draining.
    fn upstreams(&self, service: &str) -> Vec<Arc<Upstream>>;

    /// Returns the upstreams of a service that warm up, if its configuration limits their requests meanwhile.
    fn warming_up(&self, _service: &str) -> HashSet<UpstreamId> {
        HashSet::default()
    }

    /// Returns the upstreams of all services.
    fn all_upstreams(&self) -> Vec<Arc<Upstream>>;

    /// Returns when this daemon's last successful read of the list of upstreams started, by the boot
    /// clock; `None` if it never read the list itself.
    fn list_read_at(&self) -> Option<Duration>;

    /// Returns the versions of the configuration and of the list of upstreams that this daemon has.
    fn versions(&self) -> (u64, ListVersion);

    /// Applies data that the leader has read from the store.
    fn apply_update(&self, delta: Delta);

    /// Applies evacuations of data centres that another daemon knows of, if they are newer than the known ones.
    fn apply_evacuations(&self, evacuations: &Evacuations);

    /// Returns whether the leader's news are so late that its successors are to be asked.
    fn is_leader_late(&self) -> bool;

    /// Records the answer of a daemon that should lead next: what it knows of the newest configuration.
    fn record_successor(&self, newest: Option<Newest>);

    /// Returns whether the leader's list of upstreams is so old that a successor is to be asked for its own.
    fn is_list_late(&self) -> bool;

    /// Returns the version of the list that this daemon has from a successor or the leader.
    fn known_list(&self) -> ListVersion;

    /// Applies the list of a successor, if it was read later than this daemon's; returns whether this daemon has it.
    fn apply_successor_list(&self, delta: Delta) -> bool;

    /// Records that all successors were asked, and have answered or not in time.
    fn record_successors_asked(&self);

    /// Records that an incarnation of an upstream has said to a daemon that it leaves.
    fn record_leaving(&self, id: &UpstreamId, born: Incarnation);

    /// Records that a connection to an upstream broke under an order.
    fn record_broken(&self, id: &UpstreamId);

    /// Records that an order has waited for an answer in vain since `sent_at`.
    fn record_unanswered(&self, id: &UpstreamId, sent_at: Instant);

    /// Records that an upstream has answered an order.
    fn record_order_answer(&self, id: &UpstreamId);

    /// Records that no connection to an upstream could be opened for an order.
    fn record_unconnected(&self, id: &UpstreamId);

    /// Records that a part of a configuration arrived from another daemon.
    fn record_transfer(&self);

    /// Puts a configuration in force that another daemon has sent as a difference; returns whether it could be
    /// read and applied.
    fn apply_difference(&self, encoded: &[u8]) -> bool;
}

/// The identity of this daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// The name of the daemon.
    pub name: DaemonName,
    /// The number of this run, different for each start of the daemon.
    pub run: u64,
    /// The address at which the daemon accepts reports.
    pub address: SocketAddr,
    /// The address at which it accepts requests of other daemons to upstreams.
    pub helper_address: SocketAddr,
    /// Its data centre.
    pub zone: ZoneName,
    /// Its share of a processor, in thousandths.
    pub strength: u32,
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
}

/// The timing of leadership and grants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Timing {
    /// The timing of the leader's lease.
    pub lease: lease::Timing,
    /// The timing of grants.
    pub grants: machine::Timing,
}

/// Follows the leader, or leads.
#[derive(Debug)]
pub struct Driver<R, S, K, E> {
    /// The identity of this daemon.
    pub identity: Identity,
    /// The timing of leadership and grants.
    pub timing: Timing,
    /// The store entries through which daemons agree.
    pub register: Arc<R>,
    /// Sends orders to upstreams.
    pub sender: Arc<S>,
    /// The boot clock.
    pub clock: K,
    /// The daemon's knowledge of services and upstreams.
    pub environment: Arc<E>,
    /// State that is shared with the rest of the daemon.
    pub shared: Shared,
    /// The server side of the exchange.
    pub server: Server,
    /// Metrics of leadership and grants.
    pub metrics: Metrics,
}

impl<R: Register, S: Sender, K: Clock, E: Environment> Driver<R, S, K, E> {
    /// Runs until `stopping` is cancelled, then hands over leadership.
    ///
    /// `reports` receives the load reports of other daemons.
    pub async fn run(self, mut reports: mpsc::Receiver<Vec<Report>>, stopping: CancellationToken) {
        let stop = stopping.clone();
        tokio::select! {
            () = self.run_until_stopped(&mut reports, &stopping) => {}
            () = async { stop.cancelled().await; sleep(self.timing.lease.renew_interval).await } => {}
            () = self.fetch_configurations() => {}
            () = self.ask_successors() => {}
            () = self.ask_for_lists() => {}
            () = self.ask_for_evacuations() => {}
        }
        self.server.set_standing(Standing::Follows);
    }

    async fn run_until_stopped(
        &self,
        reports: &mut mpsc::Receiver<Vec<Report>>,
        stopping: &CancellationToken,
    ) {
        let mut observer = Observer::default();
        let mut failures = 0;
        let mut leader: Option<LeaderEntry> = None;
        let mut candidates: Vec<DaemonName> = Vec::new();
        sleep(self.startup_delay()).await;
        while !stopping.is_cancelled() {
            match self.register.read().await {
                Ok(snapshot) => {
                    let has_recovered = std::mem::take(&mut failures) > 0;
                    leader = self.apply_snapshot(&snapshot, &mut observer);
                    if leader.is_none() {
                        self.shared.has_looked_for_leader.send_replace(true);
                    }
                    // After an outage of the store, the old leader has more information than a
                    // successor would, so it gets the chance to renew its lease first.
                    if !has_recovered
                        && self.may_take_over(&snapshot, leader.as_ref(), &observer, &candidates)
                        && let Some(term) = self.take_over(&snapshot, leader.as_ref()).await
                    {
                        let predecessor = leader.take();
                        let grants_end = predecessor
                            .as_ref()
                            .and_then(|leader| observer.grants_end(leader));
                        let generation = generation(term.number);
                        let entry = self.leader_entry(term.number, 0, 0, false, generation);
                        self.announce_to(predecessor, entry);
                        self.shared.quarantine.lead();
                        self.shared.limits.lead();
                        let leadership = Leadership::new(self, term, grants_end);
                        leadership.run(reports, stopping).await;
                        self.shared.limits.follow_nobody();
                        // A leader that stepped down follows its successor and lets the others try
                        // first.
                        leader = self.server.successor();
                        candidates = self.server.candidates();
                    }
                }
                Err(failure) => {
                    warn!("the store does not answer", kv: { dependency = "store", failure = failure.as_str() });
                    failures += 1;
                    self.shared.has_looked_for_leader.send_replace(true);
                }
            }
            // The last known leader may know of a later one.
            while let Some(current) = &leader {
                match self.follow(current, &mut candidates, stopping).await {
                    FollowOutcome::Lost => break,
                    FollowOutcome::Lapsed(lapse) => {
                        observer.record_lapse(lapse, self.clock.now());
                        break;
                    }
                    FollowOutcome::Superseded(newer_leader) => leader = Some(newer_leader),
                    FollowOutcome::Broken => {
                        if !election::should_reconnect(self.rank(&candidates), &candidates) {
                            break;
                        }
                        let share = rand::rng().random_range(0.0..1.0);
                        sleep(RECONNECT_DELAY_MAX.mul_f64(share)).await;
                    }
                }
            }
            self.shared.has_looked_for_leader.send_replace(true);
            let rank = self.rank(&candidates);
            let daemons = self.shared.daemons.load(Ordering::Relaxed);
            let jitter = election::max_jitter(rank, &candidates, daemons);
            let jitter = jitter.mul_f64(rand::rng().random_range(0.0..1.0));
            let interval = Backoff::new(POLL_INTERVAL, POLL_INTERVAL_MAX).bound(failures + 1);
            let strength = self.identity.strength;
            let delay = election::candidate_delay(rank, &candidates)
                + election::outsider_delay(rank, &candidates, strength)
                + self.reach_delay()
                + jitter;
            tokio::select! {
                () = sleep(interval + delay) => {}
                () = stopping.cancelled() => {}
            }
        }
    }

    /// Returns the place of this daemon among the candidates; `None` if it is none of them.
    fn rank(&self, candidates: &[DaemonName]) -> Option<usize> {
        let own = &self.identity.name;
        candidates.iter().position(|candidate| candidate == own)
    }

    fn startup_delay(&self) -> Duration {
        let strength = self.identity.strength;
        if self.identity.is_first_start {
            return election::first_startup_delay(strength, rand::rng().random_range(0.0..1.0));
        }
        // After a restart, callers are served at once, whether or not there is a leader.
        self.shared.has_looked_for_leader.send_replace(true);
        election::startup_delay(strength)
    }

    /// Returns how much longer this daemon waits before it leads, if others reach far more upstreams.
    fn reach_delay(&self) -> Duration {
        let keyed = self.keyed();
        let own = keyed.count(&self.shared.lost.borrow());
        let helpers = self.shared.helpers.borrow();
        let lost = helpers.iter().map(|helper| keyed.count(&helper.lost));
        let best = lost.reduce(|best, one| best.min(&one));
        let is_worse = best.is_some_and(|best| keyed.is_much_worse(&own, &best));
        if is_worse {
            REACH_DELAY
        } else {
            Duration::ZERO
        }
    }

    /// Returns the upstreams by which daemons are compared as leaders.
    fn keyed(&self) -> Keyed {
        let services = self.environment.keyed_services().unwrap_or_default();
        let ids_of = |service: ServiceName| {
            let upstreams = self.environment.upstreams(&service);
            upstreams.iter().map(|one| one.id.clone()).collect()
        };
        Keyed::new(services.into_iter().map(ids_of))
    }

    /// Returns what this daemon reaches, for the leader.
    fn reach_report(&self) -> Helper {
        Helper {
            name: self.identity.name.clone(),
            address: self.identity.helper_address,
            zone: self.identity.zone.clone(),
            lost: self.shared.lost.borrow().clone(),
            leaving: self.shared.leaving.borrow().clone(),
        }
    }

    /// Applies the leader's entry and the plans in the store.
    fn apply_snapshot(&self, snapshot: &Snapshot, observer: &mut Observer) -> Option<LeaderEntry> {
        let leader: Option<LeaderEntry> = decode(snapshot, LEAD);
        let now = self.clock.now();
        observer.observe(leader.as_ref(), now);
        observer.observe_generation(generation(snapshot.end), now);
        if let Some(leader) = &leader {
            // A plan holds intended assignments; while the leader answers, its own tables are more
            // accurate.
            let version = Version {
                term: leader.term,
                number: leader.number,
            };
            let plans = plans_of(snapshot).into_iter();
            let services = plans
                .map(|(service, plan)| (service, Table::from_plan(&plan)))
                .collect();
            self.shared
                .routing_tables
                .adopt_plans(Tables { version, services });
        }
        leader
    }

    fn leader_entry(
        &self,
        term: u64,
        beat: u64,
        number: u64,
        is_over: bool,
        generation: u64,
    ) -> LeaderEntry {
        LeaderEntry {
            name: self.identity.name.clone(),
            run: self.identity.run,
            address: self.identity.address,
            term,
            beat,
            number,
            is_over,
            grants_end: Duration::ZERO,
            generation,
            unknown_for: Duration::ZERO,
        }
    }
}

/// Returns the plans of all services.
fn plans_of(snapshot: &Snapshot) -> HashMap<ServiceName, Plan> {
    let plans = snapshot.entries.keys().filter_map(|key| {
        let service = key.strip_prefix(PLAN)?;
        Some((ServiceName::from(service), decode(snapshot, key)?))
    });
    plans.collect()
}

/// Returns what the leader of `term` wrote of the expiries of ranges, for each service.
fn expiries_of(snapshot: &Snapshot, term: u64) -> HashMap<ServiceName, Vec<Expiry>> {
    let expiries = snapshot.entries.keys().filter_map(|key| {
        let service = key.strip_prefix(EXPIRIES)?;
        let expiries: Expiries = decode(snapshot, key)?;
        (expiries.term == term).then(|| (ServiceName::from(service), expiries.ranges))
    });
    expiries.collect()
}

/// Returns the name of the result of a compare-and-swap, for logs and metrics.
fn swap_outcome_name(result: &Result<u64, Failure>) -> &'static str {
    match result {
        Ok(_) => "done",
        Err(failure) => failure.as_str(),
    }
}

/// Encodes an entry for the store.
fn encode(key: impl Into<String>, value: &impl serde::Serialize) -> (String, Vec<u8>) {
    (key.into(), bincode::serialize(value).unwrap_or_default())
}

/// Decodes an entry from the store; `None` if it is missing or invalid.
fn decode<T: serde::de::DeserializeOwned>(snapshot: &Snapshot, key: &str) -> Option<T> {
    let value = snapshot.entries.get(key)?;
    let decoded = bincode::deserialize(value);
    if let Err(error) = &decoded {
        warn!("failed to decode a store entry", kv: { event = "entry-unreadable", key, error:? = error });
    }
    decoded.ok()
}
