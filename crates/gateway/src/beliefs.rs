//! What a daemon believes of configuration and upstreams.
//!
//! Lock order: the registry, then the loads; the other locks are never held together.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use copperwell_assignment::driver::{Scene, Shared};
use copperwell_message::HashMap;
use copperwell_routing::{
    ServiceName, UpstreamId, ZoneName,
    budget::{Allowance, Budget},
    configuration::Configuration,
    load::Loads,
    registry::{Changes, Registry, Upstream},
};
use tokio::time::Instant;

/// Daemons that share the retry budget while nobody knows how many there are.
const DAEMONS_DEFAULT: u32 = 16;

/// What a daemon believes.
#[derive(Debug)]
pub struct Beliefs {
    /// The daemon's data centre.
    pub zone: ZoneName,
    /// Who serves which keys, and what is asked for.
    pub keys: Shared,
    configuration: ArcSwapOption<Configuration>,
    registry: RwLock<Registry>,
    /// When each upstream that is draining was first seen to be.
    draining: Mutex<HashMap<UpstreamId, Instant>>,
    /// When the reading of the newest list began, in microseconds of the boot clock; 0 for never.
    listed_us: AtomicU64,
    loads: Mutex<Loads>,
    budgets: Mutex<HashMap<ServiceName, Budget>>,
    allowance: Allowance,
}

impl Beliefs {
    /// A daemon that knows nothing yet.
    #[must_use]
    pub fn new(zone: ZoneName, allowance: Allowance) -> Self {
        Self {
            zone,
            keys: Shared::default(),
            configuration: ArcSwapOption::empty(),
            registry: RwLock::default(),
            draining: Mutex::default(),
            listed_us: AtomicU64::new(0),
            loads: Mutex::default(),
            budgets: Mutex::default(),
            allowance,
        }
    }

    /// The configuration in force.
    #[must_use]
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.load_full()
    }

    /// Takes a configuration, if it is newer.
    pub fn take_configuration(&self, configuration: Configuration) -> bool {
        let known = self.configuration.load();
        let is_newer = known
            .as_ref()
            .is_none_or(|known| known.version < configuration.version);
        if is_newer {
            self.configuration.store(Some(Arc::new(configuration)));
        }
        is_newer
    }

    /// Takes a list of upstreams whose reading began at `listed_at` of the boot clock.
    pub fn take_upstreams(
        &self,
        listed: impl IntoIterator<Item = Upstream>,
        listed_at: Duration,
    ) -> Changes {
        let now = Instant::now();
        let mut registry = self
            .registry
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let changes = registry.take(listed, now);
        self.loads().retain(|id| registry.get(id).is_some());
        drop(registry);
        self.note_draining(&changes, now);
        let listed_us = u64::try_from(listed_at.as_micros()).unwrap_or(u64::MAX);
        self.listed_us.store(listed_us.max(1), Ordering::Release);
        changes
    }

    /// Notes that the list of upstreams could not be read.
    pub fn miss_upstreams(&self) {
        let mut registry = self
            .registry
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        registry.miss();
    }

    /// Whether requests can be served: a configuration and a list of upstreams are known.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.configuration.load().is_some() && self.listed_us.load(Ordering::Acquire) > 0
    }

    /// How long an upstream has been draining, as far as this daemon knows.
    #[must_use]
    pub fn draining_for(&self, id: &str) -> Option<Duration> {
        let draining = self.draining.lock().unwrap_or_else(PoisonError::into_inner);
        draining.get(id).map(Instant::elapsed)
    }

    /// The upstreams.
    pub fn registry(&self) -> RwLockReadGuard<'_, Registry> {
        self.registry.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// What was seen of each upstream.
    pub fn loads(&self) -> MutexGuard<'_, Loads> {
        self.loads.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a caller's request for a service.
    pub fn count_request(&self, service: &ServiceName) {
        self.with_budget(service, |budget| budget.request(Instant::now()));
    }

    /// Takes a retry out of the budget of a service; `false` if none is left.
    pub fn take_retry(&self, service: &ServiceName) -> bool {
        let daemons = match self.keys.daemons.load(Ordering::Relaxed) {
            0 => DAEMONS_DEFAULT,
            known => known,
        };
        self.with_budget(service, |budget| {
            budget.retry(Instant::now(), daemons as usize)
        })
    }

    fn with_budget<T>(&self, service: &ServiceName, act: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| Budget::new(self.allowance));
        act(budget)
    }

    fn note_draining(&self, changes: &Changes, now: Instant) {
        let mut draining = self.draining.lock().unwrap_or_else(PoisonError::into_inner);
        for upstream in &changes.joined {
            draining.remove(&upstream.id);
        }
        for upstream in &changes.draining {
            draining.insert(upstream.id.clone(), now);
        }
        for upstream in &changes.gone {
            draining.remove(&upstream.id);
        }
    }
}

impl Scene for Beliefs {
    fn keyed_services(&self) -> Option<Vec<ServiceName>> {
        let configuration = self.configuration()?;
        let keyed = configuration.services().filter(|service| service.is_keyed);
        Some(keyed.map(|service| service.name.clone()).collect())
    }

    fn upstreams(&self, service: &str) -> Vec<Arc<Upstream>> {
        self.registry().of(service).to_vec()
    }

    fn listed_at(&self) -> Option<Duration> {
        match self.listed_us.load(Ordering::Acquire) {
            0 => None,
            micros => Some(Duration::from_micros(micros)),
        }
    }
}
