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

use crate::{request_log::Basis, watch};
use arc_swap::ArcSwapOption;
use copperwell_assignment::{
    driver::{Scene, Shared},
    news::{ListNumber, Listed, News},
};
use copperwell_message::HashMap;
use copperwell_routing::{
    ServiceName, UpstreamId, ZoneName,
    admission::Admission,
    budget::{Allowance, Budget},
    configuration::Configuration,
    latency::Works,
    load::Loads,
    registry::{Changes, Registry, Upstream},
};
use rand::RngExt;
use spdlog::info;
use tokio::time::Instant;

/// What a daemon believes.
#[derive(Debug)]
pub struct Beliefs {
    /// The daemon's data centre.
    pub zone: ZoneName,
    /// Who serves which keys, and what is asked for.
    pub keys: Shared,
    configuration: ArcSwapOption<Configuration>,
    /// When the store last told this daemon that its configuration is the newest, or gave it.
    configuration_read: Mutex<Option<Instant>>,
    registry: RwLock<Registry>,
    /// When each upstream that is draining was first seen to be.
    draining: Mutex<HashMap<UpstreamId, Instant>>,
    /// When the reading of the newest list began, in microseconds of the boot clock; 0 for never.
    listed_us: AtomicU64,
    heard: Mutex<Heard>,
    loads: Mutex<Loads>,
    works: Mutex<Works>,
    admissions: Mutex<HashMap<ServiceName, Admission>>,
    budgets: Mutex<Budgets>,
    began: Instant,
}

/// The retries of each service.
#[derive(Debug)]
struct Budgets {
    allowance: Allowance,
    services: HashMap<ServiceName, Budget>,
}

/// What the leader told last.
#[derive(Debug, Default)]
struct Heard {
    /// When it told that; `None` if it never did.
    at: Option<Instant>,
    /// When the list that it has was read; `None` if it never told.
    read_at: Option<Instant>,
    configuration: u64,
    list: ListNumber,
}

impl Beliefs {
    /// A daemon in its run `run` that knows nothing yet.
    #[must_use]
    pub fn new(run: u64, zone: ZoneName, allowance: Allowance) -> Self {
        Self {
            zone,
            keys: Shared::new(run),
            configuration: ArcSwapOption::empty(),
            configuration_read: Mutex::default(),
            registry: RwLock::default(),
            draining: Mutex::default(),
            listed_us: AtomicU64::new(0),
            heard: Mutex::default(),
            loads: Mutex::default(),
            works: Mutex::default(),
            admissions: Mutex::default(),
            budgets: Mutex::new(Budgets {
                allowance,
                services: HashMap::default(),
            }),
            began: Instant::now(),
        }
    }

    /// The configuration in force.
    #[must_use]
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.load_full()
    }

    /// Takes a configuration, if it is newer.
    pub fn take_configuration(&self, configuration: impl Into<Arc<Configuration>>) -> bool {
        let configuration = configuration.into();
        let version = configuration.version;
        let known = self.configuration.load();
        let before = known.as_ref().map_or(0, |known| known.version);
        let is_newer = known.is_none() || before < version;
        if is_newer {
            self.keys.board.note_configuration(&configuration);
            self.configuration.store(Some(configuration));
            info!("a configuration is in force", kv: { event = "configuration", version, before });
        }
        is_newer
    }

    /// Notes that the store has told of the newest configuration.
    pub(crate) fn note_configuration_read(&self) {
        let read = &self.configuration_read;
        *read.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
    }

    /// How long ago this daemon, or the leader that told it, last saw that its configuration is the newest.
    #[must_use]
    pub fn configuration_age(&self) -> Option<Duration> {
        let read = *self
            .configuration_read
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let known = self.configuration.load();
        let version = known.as_ref()?.version;
        let heard = self.heard();
        let told = heard.at.filter(|_| heard.configuration <= version);
        told.max(read).map(|at| at.elapsed())
    }

    /// How long ago the leader last told this daemon what it knows.
    #[must_use]
    pub fn leader_age(&self) -> Option<Duration> {
        self.heard().at.map(|at| at.elapsed())
    }

    /// Takes a list of upstreams that this daemon read, whose reading began at `listed_at` of the boot clock.
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
        let all: Vec<_> = registry.all().cloned().collect();
        drop(registry);
        // What the leader changed since its last list does not apply to this one.
        self.heard().list = ListNumber::default();
        self.keys.lacks_list.store(false, Ordering::Relaxed);
        self.keys.board.note_list(all, now);
        self.note(&changes, now);
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
        let is_listed = self.registry().read_at().is_some();
        self.configuration.load().is_some() && is_listed
    }

    /// What decisions go by now.
    pub(crate) fn basis(&self) -> Basis {
        let known = self.configuration.load();
        let version = self.keys.directory.version();
        Basis {
            configuration: known.as_ref().map_or(0, |known| known.version),
            term: version.term,
            table: version.number,
        }
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

    /// How long requests of each route take.
    pub fn works(&self) -> MutexGuard<'_, Works> {
        self.works.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a request goes to an upstream that can take the share `admits` of those for its keys.
    #[must_use]
    pub fn admits(&self, service: &ServiceName, priority: u32, admits: f64) -> bool {
        let draw = rand::rng().random_range(0.0..1.0);
        let mut admissions = self
            .admissions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let admission = admissions.entry(service.clone()).or_default();
        admission.admit(priority, admits, draw)
    }

    /// Counts a caller's request for a service.
    pub fn count_request(&self, service: &ServiceName) {
        self.with_budget(service, |budget| budget.request(Instant::now()));
    }

    /// Takes a retry out of the budget of a service; `false` if none is left.
    pub fn take_retry(&self, service: &ServiceName) -> bool {
        let daemons = self.keys.daemons.load(Ordering::Relaxed);
        self.with_budget(service, |budget| {
            budget.retry(Instant::now(), daemons as usize)
        })
    }

    /// The retries that the budget of each service pays for now.
    #[must_use]
    pub fn retries_left(&self) -> Vec<(ServiceName, f64)> {
        let now = Instant::now();
        let daemons = self.keys.daemons.load(Ordering::Relaxed) as usize;
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let services = budgets.services.iter_mut();
        services
            .map(|(service, budget)| (service.clone(), budget.left(now, daemons)))
            .collect()
    }

    /// Allows another part of requests to be sent once more, from here on.
    pub fn set_allowance(&self, allowance: Allowance) {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        budgets.allowance = allowance;
        for budget in budgets.services.values_mut() {
            budget.set_allowance(allowance);
        }
    }

    fn with_budget<T>(&self, service: &ServiceName, act: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let allowance = budgets.allowance;
        let budget = budgets
            .services
            .entry(service.clone())
            .or_insert_with(|| Budget::new(allowance, self.began));
        act(budget)
    }

    /// How long ago the list of upstreams was read, by this daemon or by the leader that told it.
    #[must_use]
    pub fn upstreams_age(&self) -> Option<Duration> {
        let heard = self.heard().read_at;
        let read = self.registry().read_at();
        heard.max(read).map(|at| at.elapsed())
    }

    /// Whether the daemon must read the list of upstreams itself, since what the leader told is
    /// older than `age`, or since it would lead and never read it.
    #[must_use]
    pub fn must_read_upstreams(&self, age: Duration) -> bool {
        self.keys.lacks_list.load(Ordering::Relaxed) || self.is_news_older_than(age)
    }

    fn is_news_older_than(&self, age: Duration) -> bool {
        let read_at = self.heard().read_at;
        read_at.is_none_or(|at| at.elapsed() > age)
    }

    /// Whether the daemon must read the configuration itself: the leader has a newer one, or what it
    /// told is older than `age`.
    #[must_use]
    pub fn must_read_configuration(&self, age: Duration) -> bool {
        self.hears_newer_configuration() || self.is_news_older_than(age)
    }

    /// Whether the leader has a newer configuration.
    #[must_use]
    pub fn hears_newer_configuration(&self) -> bool {
        let heard = self.heard().configuration;
        let known = self.configuration.load();
        known.as_ref().is_none_or(|known| known.version < heard)
    }

    fn heard(&self) -> MutexGuard<'_, Heard> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes what a new list changed.
    fn note(&self, changes: &Changes, now: Instant) {
        let registry = self.registry();
        self.loads().retain(|id| registry.get(id).is_some());
        drop(registry);
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

    fn all_upstreams(&self) -> Vec<Arc<Upstream>> {
        self.registry().all().cloned().collect()
    }

    fn listed_at(&self) -> Option<Duration> {
        match self.listed_us.load(Ordering::Acquire) {
            0 => None,
            micros => Some(Duration::from_micros(micros)),
        }
    }

    fn has(&self) -> (u64, ListNumber) {
        let known = self.configuration.load();
        let version = known.as_ref().map_or(0, |known| known.version);
        (version, self.heard().list)
    }

    fn hear(&self, news: News) {
        let now = Instant::now();
        if let Some(configuration) = news.told {
            self.take_configuration(configuration);
        }
        let mut heard = self.heard();
        heard.at = Some(now);
        heard.read_at = now.checked_sub(news.age);
        heard.configuration = news.configuration;
        let had = heard.list;
        // A list that was read meanwhile is none of the leader's, which then tells all next time.
        let applies = match &news.upstreams {
            Some(Listed::Whole(_)) => true,
            Some(Listed::Changed { from, .. }) => *from == had,
            None => news.list == had,
        };
        heard.list = match applies {
            true => news.list,
            false => ListNumber::default(),
        };
        drop(heard);
        let Some(listed) = news.upstreams.filter(|_| applies) else {
            return;
        };
        let mut registry = self
            .registry
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let changes = match listed {
            Listed::Whole(upstreams) => registry.adopt(upstreams, now),
            Listed::Changed { changed, gone, .. } => registry.adopt_changes(changed, gone, now),
        };
        drop(registry);
        self.note(&changes, now);
        watch::log(&changes);
    }
}
