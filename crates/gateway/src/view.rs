//! A daemon's view of the configuration and the upstreams.
//!
//! Lock order: the change of the list, then the registry, then the loads, the paths or the warm-ups; the other locks are
//! never held together. The list is read on another thread than requests are served on.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use crate::{crash_tracker::CrashTracker, paths::Paths, warmup::WarmupState};
use arc_swap::{ArcSwap, ArcSwapOption};
use copperwell_assignment::shared::Shared;
use copperwell_message::HashMap;
use copperwell_routing::{
    RegionName, ServiceName, UpstreamId, ZoneName,
    admission::{Admission, Class},
    budget::{Allowance, Budget},
    configuration::{Configuration, defect::Defect},
    freshness::Freshness,
    latency::RouteLatencies,
    load::Loads,
    registry::{Changes, Registry},
};
use rand::RngExt;
use spdlog::{info, warn};
use tokio::{sync::Notify, time::Instant};

use evacuation::EvacuationRecord;
use leader::LeaderUpdate;

pub use evacuation::Evacuation;
pub use list::ReadStart;

mod environment;
mod evacuation;
mod leader;
pub(crate) mod list;

/// The maximum number of defects of a configuration that are logged.
const DEFECTS_LOGGED_MAX: usize = 32;

/// How long a successor of the leader counts as alive after an answer.
const SUCCESSOR_TTL: Duration = Duration::from_secs(1);

/// A daemon's view of the system, by which it routes requests.
///
/// It may be stale: [`View::configuration_age`] and [`View::upstreams_age`] tell how old it is.
#[derive(Debug)]
pub struct View {
    /// The daemon's data centre.
    pub zone: ZoneName,
    /// The state that is shared with the driver of key assignment.
    pub keys: Shared,
    /// The paths to upstreams.
    pub paths: Paths,
    /// The requests at upstreams, and those that crash upstreams.
    pub crash_tracker: Arc<CrashTracker>,
    /// The upstreams that warm up.
    pub warmups: WarmupState,
    configuration: ArcSwapOption<Configuration>,
    /// When a read of the store last returned or confirmed the newest configuration.
    configuration_read_at: Mutex<Option<Instant>>,
    registry: RwLock<Registry>,
    draining: Mutex<HashMap<UpstreamId, Draining>>,
    evacuation_record: Mutex<EvacuationRecord>,
    /// When this daemon's last successful read of the list started, in microseconds of the boot clock; 0 for
    /// never.
    list_read_at_us: AtomicU64,
    leader_update: Mutex<LeaderUpdate>,
    freshness: Mutex<Freshness>,
    /// Held while a list of upstreams is compared with the one that is known and applied.
    list_change: Mutex<()>,
    /// Signals a later list, or that none can be had.
    list_read: Notify,
    loads: Mutex<Loads>,
    route_latencies: Mutex<RouteLatencies>,
    admissions: Mutex<HashMap<ServiceName, Admission>>,
    /// The region of each data centre.
    regions: ArcSwap<HashMap<ZoneName, RegionName>>,
    budgets: Mutex<Budgets>,
    started_at: Instant,
}

/// A draining upstream.
#[derive(Debug, Clone, Copy)]
struct Draining {
    /// Until when it still gets requests for its keys.
    until: Instant,
    /// Until when it may get them at most, if it drains for its own reasons and not only for an evacuation.
    fresh_until: Instant,
}

/// The versions of the data on which a routing decision was based.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RoutingVersions {
    /// The version of the configuration.
    pub(crate) configuration: u64,
    /// The term of the leader that published the routing tables.
    pub(crate) term: u64,
    /// The number of the routing tables within the term.
    pub(crate) table: u64,
}

/// The retry budgets of all services.
#[derive(Debug)]
struct Budgets {
    allowance: Allowance,
    services: HashMap<ServiceName, Budget>,
}

impl View {
    /// Creates an empty view for a daemon in its run `run`.
    #[must_use]
    pub fn new(run: u64, zone: ZoneName, allowance: Allowance) -> Self {
        let keys = Shared::new(run);
        Self {
            zone,
            paths: Paths::new(&keys),
            crash_tracker: Arc::new(CrashTracker::new(keys.quarantine.clone())),
            warmups: WarmupState::default(),
            keys,
            configuration: ArcSwapOption::empty(),
            configuration_read_at: Mutex::default(),
            registry: RwLock::default(),
            draining: Mutex::default(),
            evacuation_record: Mutex::default(),
            list_read_at_us: AtomicU64::new(0),
            leader_update: Mutex::default(),
            freshness: Mutex::default(),
            list_change: Mutex::default(),
            list_read: Notify::new(),
            loads: Mutex::default(),
            route_latencies: Mutex::default(),
            admissions: Mutex::default(),
            regions: ArcSwap::default(),
            budgets: Mutex::new(Budgets {
                allowance,
                services: HashMap::default(),
            }),
            started_at: Instant::now(),
        }
    }

    /// Sets for how long an upstream that leaves serves.
    #[must_use]
    pub fn with_drain(self, drain: Duration) -> Self {
        self.set_drain(drain);
        self
    }

    /// Sets the region of each data centre.
    pub fn set_regions(&self, regions: HashMap<ZoneName, RegionName>) {
        self.regions.store(Arc::new(regions));
    }

    /// Returns whether a data centre is in one of the regions `allowed`; all are if that is empty. A data centre without
    /// a known region is in none.
    pub(crate) fn is_in_regions(&self, zone: &str, allowed: &[RegionName]) -> bool {
        allowed.is_empty() || {
            let regions = self.regions.load();
            regions.get(zone).is_some_and(|one| allowed.contains(one))
        }
    }

    /// Returns whether the bodies of requests that may be served in the regions `allowed` may be sent to daemons of a
    /// data centre: it is there, or in the region of this daemon's callers.
    pub(crate) fn may_relay_in(&self, zone: &str, allowed: &[RegionName]) -> bool {
        let regions = self.regions.load();
        let is_near = || {
            *zone == *self.zone || {
                let own = regions.get(&self.zone);
                own.is_some() && regions.get(zone) == own
            }
        };
        self.is_in_regions(zone, allowed) || is_near()
    }

    /// Makes the daemon prefer a subset of the upstreams of services that have many, by a hash of its name.
    #[must_use]
    pub fn with_name(self, daemon: &str) -> Self {
        let loads = Loads::default().with_identity(daemon);
        Self {
            loads: Mutex::new(loads),
            ..self
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.load_full()
    }

    /// Puts a configuration in force if it is newer; returns whether it is.
    pub fn update_configuration(&self, configuration: Configuration) -> bool {
        let mut configuration = configuration;
        let version = configuration.version;
        let known = self.configuration.load();
        let before = known.as_ref().map_or(0, |known| known.version);
        let is_newer = known.is_none() || before < version;
        if is_newer {
            if let Some(known) = known.as_ref() {
                configuration.share_routes(known);
            }
            let configuration = Arc::new(configuration);
            self.keys.store_state.set_configuration(&configuration);
            self.configuration.store(Some(configuration.clone()));
            info!("configuration in force", kv: { event = "configuration", version, before });
            for Defect {
                kind,
                name,
                message,
            } in configuration.defects().iter().take(DEFECTS_LOGGED_MAX)
            {
                warn!("a part of the configuration is not understood", kv: { event = "configuration-defect", version, kind = kind.as_str(), name = name.as_str(), why = message.as_str() });
            }
        }
        is_newer
    }

    /// Records that a read of the store returned or confirmed the newest configuration.
    pub(crate) fn record_configuration_read(&self) {
        let read_at = &self.configuration_read_at;
        *read_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
        self.keys.store_state.confirm_configuration();
    }

    /// Returns how long ago the configuration was last confirmed to be the newest, by the store or the leader.
    #[must_use]
    pub fn configuration_age(&self) -> Option<Duration> {
        let read_at = *self
            .configuration_read_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let known = self.configuration.load();
        let version = known.as_ref()?.version;
        let update = self.leader_update();
        let confirmed_at = update
            .received_at
            .filter(|_| update.configuration <= version);
        confirmed_at.max(read_at).map(|at| at.elapsed())
    }

    /// Returns how long ago the last update from the leader was received.
    #[must_use]
    pub fn leader_age(&self) -> Option<Duration> {
        self.leader_update().received_at.map(|at| at.elapsed())
    }

    /// Returns whether requests can be served: a configuration and a list of upstreams are known.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        let is_listed = self.registry().read_at().is_some();
        self.configuration.load().is_some() && is_listed
    }

    /// Returns the versions of the data by which requests are routed.
    pub(crate) fn routing_versions(&self) -> RoutingVersions {
        let known = self.configuration.load();
        let version = self.keys.routing_tables.version();
        RoutingVersions {
            configuration: known.as_ref().map_or(0, |known| known.version),
            term: version.term,
            table: version.number,
        }
    }

    /// Returns whether so many upstreams are unreachable that the fault must be at this daemon.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        let upstreams = self.registry().len();
        self.paths.reach().is_cut_off(upstreams)
    }

    /// Locks the registry of upstreams for reading.
    pub fn registry(&self) -> RwLockReadGuard<'_, Registry> {
        self.registry.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the observed load of upstreams.
    pub fn loads(&self) -> MutexGuard<'_, Loads> {
        self.loads.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the usual latencies of routes.
    pub fn route_latencies(&self) -> MutexGuard<'_, RouteLatencies> {
        self.route_latencies
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether a request is admitted to an upstream that can do only `admitted_share` of the work.
    #[must_use]
    pub fn admits(&self, service: &ServiceName, class: Class, admitted_share: f64) -> bool {
        let draw = rand::rng().random_range(0.0..1.0);
        let mut admissions = self
            .admissions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let admission = admissions.entry(service.clone()).or_default();
        admission.admit(class, admitted_share, draw)
    }

    /// Counts a caller's request for a service.
    pub fn count_request(&self, service: &ServiceName) {
        self.with_budget(service, |budget| budget.record_request(Instant::now()));
    }

    /// Spends a retry from the budget of a service; returns `false` if the budget is exhausted.
    pub fn try_spend_retry(&self, service: &ServiceName) -> bool {
        let daemons = self.keys.daemons.load(Ordering::Relaxed);
        self.with_budget(service, |budget| {
            budget.try_spend(Instant::now(), daemons as usize)
        })
    }

    /// Returns the number of retries left in the budget of each service.
    #[must_use]
    pub fn retries_left(&self) -> Vec<(ServiceName, f64)> {
        let now = Instant::now();
        let daemons = self.keys.daemons.load(Ordering::Relaxed) as usize;
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let services = budgets.services.iter_mut();
        services
            .map(|(service, budget)| (service.clone(), budget.remaining(now, daemons)))
            .collect()
    }

    /// Replaces the retry allowance of all services.
    pub fn set_allowance(&self, allowance: Allowance) {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        budgets.allowance = allowance;
        for budget in budgets.services.values_mut() {
            budget.set_allowance(allowance);
        }
    }

    fn with_budget<T>(&self, service: &ServiceName, update: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let allowance = budgets.allowance;
        let budget = budgets
            .services
            .entry(service.clone())
            .or_insert_with(|| Budget::new(allowance, self.started_at));
        update(budget)
    }

    /// Returns whether this daemon must read the configuration itself, because the last read of the leader and
    /// its successors is older than `age`, or because they have a newer one and no part of it has arrived for
    /// `patience`.
    ///
    /// Until successors have been asked, and while they answer, they also have `patience` to read the store.
    #[must_use]
    pub fn must_read_configuration(&self, age: Duration, patience: Duration) -> bool {
        let update = self.leader_update();
        let is_stuck = update
            .behind_since
            .is_some_and(|since| since.elapsed() > patience);
        let answered_at = update.successor_answered_at;
        let is_answered = answered_at.is_some_and(|at| at.elapsed() < SUCCESSOR_TTL);
        let are_unasked =
            !update.were_successors_asked && !self.keys.successors.borrow().is_empty();
        let age_max = match is_answered || are_unasked {
            true => age + patience,
            false => age,
        };
        let confirmed_at = update.read_at.max(update.successor_confirmed_at);
        drop(update);
        let is_unconfirmed = confirmed_at.is_none_or(|at| at.elapsed() > age_max);
        is_stuck && self.is_configuration_stale() || is_unconfirmed || self.must_read_evacuations()
    }

    /// Returns whether the leader has a newer configuration, or this daemon has none.
    #[must_use]
    pub fn is_configuration_stale(&self) -> bool {
        let leader_version = self.leader_update().configuration;
        let known = self.configuration.load();
        known
            .as_ref()
            .is_none_or(|known| known.version < leader_version)
    }

    fn leader_update(&self) -> MutexGuard<'_, LeaderUpdate> {
        self.leader_update
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates the load and draining records after a change of the registry.
    fn apply_changes(&self, changes: &Changes, now: Instant) {
        let registry = self.registry();
        self.loads().retain(|id| registry.get(id).is_some());
        for upstream in &changes.joined {
            self.loads().reopen(&upstream.id);
            self.paths.restart(&upstream.id);
        }
        self.paths.retain(|id| registry.get(id).is_some());
        self.record_registrations(&registry, now);
        drop(registry);
        self.crash_tracker.record_changes(changes);
        self.record_draining(changes, now);
    }
}
