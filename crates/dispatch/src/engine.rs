//! The engine that serves the requests of the shards that this daemon leads.
//!
//! Lock order: the writer of the configuration, then a service's idempotency window or a limiter.
//! The quarantine is never locked while another lock is held. No lock is held across an await.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, SystemTime},
};

use crate::{
    call::{BodyMemory, Call, Failure},
    config::{ActiveService, Config},
    gauges::Gauges,
    metrics::Metrics,
    observation::{CHANNEL_CAPACITY, Observation},
    quarantine::SharedQuarantine,
    status::{HotKey, Status},
    table::{Route, Table},
};
use arc_swap::ArcSwap;
use copperwell_backend::Forward;
use copperwell_keyspace::{Epoch, ServiceName, ShardIndex, manifest::Manifest};
use copperwell_message::{Head, Reason, Repeat, Request, Response, Serve};
use copperwell_policy::{
    quarantine::Conviction,
    window::{Export, Tenure, Term},
};
use prometheus_client::registry::Registry;
use tokio::{sync::mpsc, time::Instant};

/// The longest time for which a quarantine set by another leader counts here.
const IMPORTED_QUARANTINE_MAX: Duration = Duration::from_hours(1);

/// Serves the requests of the shards that this daemon leads.
///
/// Each request waits until its shard has an owner and that owner a free slot. It is sent after a
/// last check of its lease, term and deadline, and holds its slot until its answer is read.
/// Dropping the future of a request frees whatever it holds.
#[derive(Debug)]
pub struct Engine<F> {
    inner: Arc<Inner<F>>,
}

/// The state that all requests share.
#[derive(Debug)]
pub(crate) struct Inner<F> {
    /// Sends requests to upstreams.
    pub(crate) forward: Arc<F>,
    /// The routes of the shards.
    pub(crate) table: Arc<Table>,
    /// The requests that are suspected or known to crash servers.
    pub(crate) quarantine: Arc<SharedQuarantine>,
    /// The counters and histograms.
    pub(crate) metrics: Metrics,
    /// Returns the wall time.
    pub(crate) wall_clock: fn() -> SystemTime,
    body_memory: BodyMemory,
    config: Arc<ArcSwap<Config>>,
    config_writer: Mutex<()>,
    observation_sender: mpsc::Sender<Observation>,
    stopping: AtomicBool,
}

impl<F: Forward> Engine<F> {
    /// Creates an engine that sends requests through `forward` to the upstreams in `table`.
    ///
    /// The receiver yields observations of servers for the ownership driver.
    #[must_use]
    pub fn new(forward: Arc<F>, table: Arc<Table>) -> (Self, mpsc::Receiver<Observation>) {
        Self::with_wall_clock(forward, table, SystemTime::now)
    }

    /// Creates an engine that takes the wall time, by which it ages idempotency keys, from
    /// `wall_clock`.
    #[must_use]
    pub fn with_wall_clock(
        forward: Arc<F>,
        table: Arc<Table>,
        wall_clock: fn() -> SystemTime,
    ) -> (Self, mpsc::Receiver<Observation>) {
        let (observation_sender, observations) = mpsc::channel(CHANNEL_CAPACITY);
        let metrics = Metrics::new();
        let inner = Inner {
            forward,
            table,
            quarantine: Arc::new(SharedQuarantine::new(metrics.clone())),
            metrics,
            wall_clock,
            body_memory: BodyMemory::new(),
            config: Arc::default(),
            config_writer: Mutex::default(),
            observation_sender,
            stopping: AtomicBool::new(false),
        };
        let engine = Self {
            inner: Arc::new(inner),
        };
        (engine, observations)
    }

    /// Registers the engine's counters, gauges and histograms.
    pub fn register(&self, registry: &mut Registry) {
        self.inner.metrics.register(registry);
        let gauges = Gauges::new(Arc::clone(&self.inner.config));
        registry.register_collector(Box::new(gauges));
    }

    /// Applies a manifest.
    ///
    /// Services and upstreams that stay keep their queues, budgets and idempotency keys.
    pub fn set_manifest(&self, manifest: Arc<Manifest>) {
        let inner = &self.inner;
        let _writer = inner
            .config_writer
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let config = Config::new(&manifest, &inner.config.load());
        inner.config.store(Arc::new(config));
    }

    /// Refuses new requests from now on; requests in flight continue.
    pub fn stop(&self) {
        self.inner.stopping.store(true, Ordering::Release);
    }

    /// Returns the load of the upstreams that have received requests from this daemon.
    #[must_use]
    pub fn status(&self) -> Vec<Status> {
        let config = self.inner.config.load();
        let mut statuses: Vec<Status> = config.services.values().flat_map(status_of).collect();
        statuses.sort_by(|left, right| {
            (&left.service, &left.upstream).cmp(&(&right.service, &right.upstream))
        });
        statuses
    }

    /// Returns the most requested keys of every service, in descending order within a service.
    #[must_use]
    pub fn hot_keys(&self) -> Vec<HotKey> {
        let config = self.inner.config.load();
        let now = Instant::now();
        let hot = config.services.values().flat_map(|service| {
            let shares = service.state.hot_keys.top(now).into_iter();
            shares.map(|share| HotKey {
                service: service.settings.name.clone(),
                key: share.key,
                permille: share.permille,
            })
        });
        hot.collect()
    }

    /// Removes the idempotency keys of shards and returns them for the standby.
    ///
    /// `epoch` is the epoch under which this daemon led the shards last. The standby accepts the
    /// keys under the next epoch only, so that a late or repeated handover lets no key run again.
    ///
    /// Call it when the shards' routes are [`Route::Elsewhere`] and nothing is in flight on them;
    /// requests that still run are exported as ones that may have run. Returns `None` if the
    /// current manifest has no such service.
    #[must_use]
    pub fn window_export(
        &self,
        service: &ServiceName,
        epoch: Epoch,
        shards: &[ShardIndex],
    ) -> Option<Export> {
        let inner = &self.inner;
        let active = inner.active_service(service).ok()?;
        let tenure = |shard| {
            let leadership = inner.table.leadership(service, shard);
            Tenure {
                term: Term {
                    acquisition: leadership.generation,
                    epoch: leadership.first_grant.map(|first| first.leadership_epoch),
                },
                length: leadership.owned_for(),
            }
        };
        let window = &active.state.window;
        let next = epoch + 1;
        Some(window.export(service, next, shards, tenure, (inner.wall_clock)()))
    }

    /// Adds the idempotency keys that the direct predecessor exported.
    ///
    /// Call it before the shards' routes change from [`Route::Elsewhere`]. Without an import, a key
    /// that was created before this daemon led the shard is answered with "may have run".
    pub fn window_import(&self, export: Export) {
        let inner = &self.inner;
        let service = Arc::clone(&export.service);
        let Ok(active) = inner.active_service(&service) else {
            return;
        };
        let generation = |shard| {
            let leadership = inner.table.leadership(&service, shard);
            leadership.generation + u64::from(matches!(leadership.route, Route::Elsewhere))
        };
        active
            .state
            .window
            .import(export, generation, (inner.wall_clock)());
    }

    /// Returns the requests that this leader has in quarantine, for the other leaders.
    #[must_use]
    pub fn quarantine_export(&self) -> Vec<Conviction> {
        self.inner.quarantine.export()
    }

    /// Refuses the requests that another leader has in quarantine.
    pub fn quarantine_import(&self, convictions: &[Conviction]) {
        self.inner
            .quarantine
            .import(convictions, IMPORTED_QUARANTINE_MAX);
    }
}

impl<F: Forward> Serve for Engine<F> {
    async fn serve(&self, request: Request) -> Response {
        let inner = &self.inner;
        inner.metrics.requests.inc();
        let arrived = Instant::now();
        let mut recorder = Recorder::new(&inner.metrics);
        let response = inner.serve(request, arrived).await;
        recorder.finish(&response, arrived);
        response
    }
}

impl<F: Forward> Inner<F> {
    async fn serve(self: &Arc<Self>, request: Request, arrived: Instant) -> Response {
        let deadline_max = match self.accept(&request.head) {
            Ok(service) => {
                service.state.hot_keys.count(&request.head.key, arrived);
                service.settings.limits.deadline
            }
            Err(failure) => return failure.into_response(),
        };
        let deadline = arrived + request.head.deadline.min(deadline_max);
        let repeat = request.head.repeat;
        let call = match Call::read(request, deadline, &self.body_memory).await {
            Ok(call) => call,
            Err(failure) => return failure.before_claim(repeat).into_response(),
        };
        match call.head.repeat {
            Repeat::Repeatable => self.serve_repeatable(call).await,
            Repeat::Once(id) => self.serve_once(id, call).await,
        }
    }

    async fn serve_repeatable(&self, mut call: Call) -> Response {
        match self.run(&mut call).await {
            Ok(answer) => answer.relay(),
            Err(response) => response,
        }
    }

    /// Returns the service of this name in the current manifest.
    pub(crate) fn active_service(&self, name: &str) -> Result<Arc<ActiveService>, Failure> {
        let config = self.config.load();
        let service = config.services.get(name);
        service
            .map(Arc::clone)
            .ok_or(Failure::not_run(Reason::UnknownService))
    }

    /// Reports an observation of a server to the ownership driver.
    pub(crate) fn report(&self, observation: Observation) {
        // The driver has its own heartbeats, so a lost observation only delays what it learns.
        if self.observation_sender.try_send(observation).is_err() {
            self.metrics.observations_lost.inc();
        }
    }

    /// Returns the service of a request, or refuses the request before its body is read.
    fn accept(&self, head: &Head) -> Result<Arc<ActiveService>, Failure> {
        if self.stopping.load(Ordering::Acquire) {
            return Err(Failure::not_run(Reason::Stopping));
        }
        let service = self.active_service(&head.service)?;
        match self.table.route(&head.service, head.shard) {
            Route::Elsewhere => Err(Failure::not_run(Reason::NotLeader)),
            _ => Ok(service),
        }
    }
}

/// Records how a request ends; a request that is dropped earlier counts as cancelled.
struct Recorder<'a> {
    metrics: &'a Metrics,
    is_finished: bool,
}

impl<'a> Recorder<'a> {
    fn new(metrics: &'a Metrics) -> Self {
        Self {
            metrics,
            is_finished: false,
        }
    }

    fn finish(&mut self, response: &Response, arrived: Instant) {
        self.is_finished = true;
        self.metrics
            .latency
            .observe(arrived.elapsed().as_secs_f64());
        if let Some(reason) = response.reply.reason {
            self.metrics.record_refusal(reason);
        }
    }
}

impl Drop for Recorder<'_> {
    fn drop(&mut self) {
        if !self.is_finished {
            self.metrics.cancellations.inc();
        }
    }
}

fn status_of(service: &Arc<ActiveService>) -> impl Iterator<Item = Status> {
    let clamped = |count| u32::try_from(count).unwrap_or(u32::MAX);
    service.upstreams().filter_map(move |upstream| {
        let stats = upstream.existing_limiter()?.stats();
        Some(Status {
            service: Arc::clone(&service.settings.name),
            upstream: Arc::clone(&upstream.settings.name),
            slots: stats.limit,
            in_flight: stats.in_flight,
            interactive: clamped(stats.interactive),
            batch: clamped(stats.batch),
            paused: stats.paused,
        })
    })
}
