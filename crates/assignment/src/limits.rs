//! The limits of upstreams that the parts of a daemon share, and the way to the one that schedules them.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use crate::exchange::Client;
use copperwell_routing::{
    UpstreamId,
    limit::{Entry, Limits, Observation, Scope},
    registry::Upstream,
};
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use spdlog::info;
use tokio::{sync::watch, time::Instant};

/// How the log says that an upstream has no limit.
const NO_LIMIT: f64 = -1.0;

/// The limits of upstreams that are shared, with their metrics and log lines.
#[derive(Debug)]
pub struct SharedLimits {
    limits: Mutex<Limits>,
    /// The version of the limits, for those who wait for a newer one.
    version: watch::Sender<u64>,
    scheduler: Mutex<Scheduler>,
    /// The number of daemons; 0 if it is unknown.
    daemons: Arc<AtomicU32>,
    limited: Gauge,
    reservations: Family<ReservationLabel, Counter>,
}

/// The limits of all upstreams, at a version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The version.
    pub version: u64,
    /// The limits.
    pub entries: Vec<Entry>,
}

/// Who schedules the requests to upstreams with a limit.
#[derive(Debug, Clone, Default)]
enum Scheduler {
    /// Nobody: each daemon its own.
    #[default]
    Nobody,
    /// This daemon, which leads.
    Here,
    /// The leader.
    Leader(Arc<Client>),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReservationLabel {
    by: &'static str,
    outcome: &'static str,
}

impl SharedLimits {
    /// Creates limits that `daemons` share if nobody schedules their requests.
    #[must_use]
    pub fn new(daemons: Arc<AtomicU32>) -> Self {
        Self {
            limits: Mutex::default(),
            version: watch::Sender::default(),
            scheduler: Mutex::default(),
            daemons,
            limited: Gauge::default(),
            reservations: Family::default(),
        }
    }

    /// Registers the metrics in `registry`.
    pub fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("gateway");
        registry.register(
            "limited_upstreams",
            "Upstreams that have named a limit",
            self.limited.clone(),
        );
        registry.register(
            "limit_reservations",
            "Requests to upstreams with a limit, by who scheduled them and whether they had room",
            self.reservations.clone(),
        );
    }

    /// Records what an answer of an upstream says of its limit.
    pub fn observe(&self, upstream: &UpstreamId, observation: Observation) {
        let mut limits = self.limits();
        let before = limits.rate(upstream, observation.born);
        let phase = rand::rng().random_range(0.0..1.0);
        if !limits.observe(upstream, observation, phase, Instant::now()) {
            return;
        }
        info!("upstream changed its limit", kv: { event = "upstream-limit", server = &**upstream, born = observation.born, per_s = observation.rate.unwrap_or(NO_LIMIT), before_per_s = before.unwrap_or(NO_LIMIT) });
        self.announce(&limits);
    }

    /// Reserves a request to an upstream, if it is due within `patience`, and returns how long it has to wait.
    ///
    /// # Errors
    ///
    /// Returns how long it would have to wait if that is longer than `patience`.
    pub async fn acquire(
        &self,
        upstream: &Upstream,
        patience: Duration,
    ) -> Result<Duration, Duration> {
        let Some(entry) = self.entry_with_room(upstream, patience)? else {
            return Ok(Duration::ZERO);
        };
        let scheduler = self.scheduler().clone();
        let (by, result) = match scheduler {
            Scheduler::Here => ("leader", self.reserve(&entry, Scope::Shared, patience)),
            Scheduler::Nobody => ("self", self.reserve_own(&entry, patience)),
            Scheduler::Leader(client) => match client.reserve(entry.clone(), patience).await {
                Some(result) => ("leader", result),
                None => ("self", self.reserve_own(&entry, patience)),
            },
        };
        let outcome = match result {
            Ok(_) => "reserved",
            Err(_) => "full",
        };
        let label = ReservationLabel { by, outcome };
        self.reservations.get_or_create(&label).inc();
        if let Err(wait) = result {
            self.limits()
                .record_full(&upstream.id, wait, Instant::now());
        }
        result
    }

    /// Reserves a request for another daemon, as the leader.
    pub(crate) fn reserve_for(
        &self,
        entry: &Entry,
        patience: Duration,
    ) -> Result<Duration, Duration> {
        self.merge(std::slice::from_ref(entry));
        self.reserve(entry, Scope::Shared, patience)
    }

    /// Schedules the requests of all daemons here from now on.
    pub(crate) fn lead(&self) {
        self.limits().lead(Instant::now());
        *self.scheduler() = Scheduler::Here;
    }

    /// Asks a leader from now on, and tells it again what earlier ones knew.
    pub(crate) fn follow(&self, leader: Arc<Client>) {
        self.limits().follow();
        *self.scheduler() = Scheduler::Leader(leader);
    }

    /// Leaves the schedules to the leader, which has answered.
    pub(crate) fn end_own_schedules(&self) {
        self.limits().end_own_schedules();
    }

    /// Schedules this daemon's requests at its share of the limits from now on.
    pub(crate) fn follow_nobody(&self) {
        *self.scheduler() = Scheduler::Nobody;
    }

    /// Takes what was observed since the last call, to report it to the leader.
    #[must_use]
    pub fn take_unreported(&self) -> Vec<Entry> {
        self.limits().take_unreported(Instant::now())
    }

    /// Takes over what another daemon knows.
    pub fn merge(&self, entries: &[Entry]) {
        if entries.is_empty() {
            return;
        }
        let phase = rand::rng().random_range(0.0..1.0);
        let mut limits = self.limits();
        limits.merge(entries, phase, Instant::now());
        self.announce(&limits);
    }

    /// Returns what a daemon that knows version `known` lacks; `None` if it lacks nothing.
    #[must_use]
    pub fn newer_than(&self, known: u64) -> Option<Snapshot> {
        let limits = self.limits();
        let version = limits.version();
        (version != known).then(|| Snapshot {
            version,
            entries: limits.entries(Instant::now()),
        })
    }

    /// Waits until the version is another one than `known`.
    pub async fn wait_newer_than(&self, known: u64) {
        let mut version = self.version.subscribe();
        // `self` owns the sender, so the channel stays open.
        let _ = version.wait_for(|version| *version != known).await;
    }

    /// Forgets the limits of upstreams that are no longer registered.
    pub fn retain(&self, is_registered: impl Fn(&str) -> bool) {
        let mut limits = self.limits();
        limits.retain(Instant::now(), is_registered);
        self.announce(&limits);
    }

    /// Returns the limit of an upstream, if it has one.
    ///
    /// # Errors
    ///
    /// Returns how long it is known to have no room, if that is longer than `patience`.
    fn entry_with_room(
        &self,
        upstream: &Upstream,
        patience: Duration,
    ) -> Result<Option<Entry>, Duration> {
        let now = Instant::now();
        let limits = self.limits();
        let entry = limits.entry(&upstream.id, upstream.born, now);
        let full_for = limits.full_for(&upstream.id, now);
        match full_for.filter(|wait| entry.is_some() && *wait > patience) {
            Some(wait) => Err(wait),
            None => Ok(entry),
        }
    }

    fn reserve(
        &self,
        entry: &Entry,
        scope: Scope,
        patience: Duration,
    ) -> Result<Duration, Duration> {
        let now = Instant::now();
        self.limits()
            .reserve(&entry.upstream, entry.born, scope, patience, now)
    }

    fn reserve_own(&self, entry: &Entry, patience: Duration) -> Result<Duration, Duration> {
        let daemons = self.daemons.load(Ordering::Relaxed);
        self.reserve(entry, Scope::Own(daemons), patience)
    }

    fn announce(&self, limits: &Limits) {
        self.limited
            .set(i64::try_from(limits.len()).unwrap_or(i64::MAX));
        let version = limits.version();
        self.version.send_if_modified(|known| {
            let is_new = *known != version;
            *known = version;
            is_new
        });
    }

    fn limits(&self) -> MutexGuard<'_, Limits> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn scheduler(&self) -> MutexGuard<'_, Scheduler> {
        self.scheduler
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
