//! Serves the requests of the shards that this daemon leads.
//!
//! Lock order: the writer of the configuration, then a service's keys or a gate; the quarantine is
//! never taken with another lock held. No lock is held across an await.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, SystemTime},
};

use crate::{
    call::{Call, Failure, Room},
    gauges::Gauges,
    guard::Guard,
    metrics::Metrics,
    observation::{CHANNEL, Observation},
    serving::{Config, Serving},
    status::{HotKey, Status},
    table::{Route, Table},
};
use arc_swap::ArcSwap;
use copperwell_backend::Forward;
use copperwell_keyspace::{Epoch, ServiceName, ShardIndex, manifest::Manifest};
use copperwell_message::{Head, Reason, Repeat, Request, Response, Serve};
use copperwell_policy::{
    quarantine::Share,
    window::{Export, Tenure, Term},
};
use prometheus_client::registry::Registry;
use tokio::{sync::mpsc, time::Instant};

/// The longest that a conviction of another leader counts here.
const SHARED_MAX: Duration = Duration::from_hours(1);

/// Serves the requests of the shards that this daemon leads.
///
/// Each request waits until its shard has an owner and that owner a free slot, is sent once its
/// rights and its deadline have been checked once more, and holds its slot until its answer is
/// read. Dropping the future of a request frees whatever it holds.
#[derive(Debug)]
pub struct Engine<F> {
    inner: Arc<Inner<F>>,
}

/// What requests share.
#[derive(Debug)]
pub(crate) struct Inner<F> {
    /// Sends requests to upstreams.
    pub(crate) forward: Arc<F>,
    /// The routes.
    pub(crate) table: Arc<Table>,
    /// The requests that crash servers.
    pub(crate) guard: Arc<Guard>,
    /// The counters.
    pub(crate) metrics: Metrics,
    /// Reads wall time.
    pub(crate) wall: fn() -> SystemTime,
    room: Room,
    config: Arc<ArcSwap<Config>>,
    writer: Mutex<()>,
    observed: mpsc::Sender<Observation>,
    stopping: AtomicBool,
}

impl<F: Forward> Engine<F> {
    /// An engine that sends through `forward` what `table` routes to an upstream.
    ///
    /// The receiver gives what the engine sees of servers, for the ownership driver.
    #[must_use]
    pub fn new(forward: Arc<F>, table: Arc<Table>) -> (Self, mpsc::Receiver<Observation>) {
        Self::with_wall(forward, table, SystemTime::now)
    }

    /// An engine that reads wall time from `wall`; it judges idempotency keys by it.
    #[must_use]
    pub fn with_wall(
        forward: Arc<F>,
        table: Arc<Table>,
        wall: fn() -> SystemTime,
    ) -> (Self, mpsc::Receiver<Observation>) {
        let (observed, observations) = mpsc::channel(CHANNEL);
        let metrics = Metrics::new();
        let inner = Inner {
            forward,
            table,
            guard: Arc::new(Guard::new(metrics.clone())),
            metrics,
            wall,
            room: Room::new(),
            config: Arc::default(),
            writer: Mutex::default(),
            observed,
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

    /// Puts a manifest in force.
    ///
    /// Queues, budgets and keys of services and upstreams that stay are kept.
    pub fn set_manifest(&self, manifest: Arc<Manifest>) {
        let inner = &self.inner;
        let _writer = inner.writer.lock().unwrap_or_else(PoisonError::into_inner);
        let config = Config::new(&manifest, &inner.config.load());
        inner.config.store(Arc::new(config));
    }

    /// Refuses new requests from here on; those under way go on.
    pub fn stop(&self) {
        self.inner.stopping.store(true, Ordering::Release);
    }

    /// The upstreams to which requests have come, as the engine sees them.
    #[must_use]
    pub fn status(&self) -> Vec<Status> {
        let config = self.inner.config.load();
        let mut all: Vec<Status> = config.services.values().flat_map(status_of).collect();
        all.sort_by(|one, other| {
            (&one.service, &one.upstream).cmp(&(&other.service, &other.upstream))
        });
        all
    }

    /// The keys of every service that are asked for most, the first one first within a service.
    #[must_use]
    pub fn hot_keys(&self) -> Vec<HotKey> {
        let config = self.inner.config.load();
        let now = Instant::now();
        let hot = config.services.values().flat_map(|serving| {
            let parts = serving.kept.hot.top(now).into_iter();
            parts.map(|part| HotKey {
                service: serving.service.name.clone(),
                key: part.key,
                permille: part.permille,
            })
        });
        hot.collect()
    }

    /// Takes the keys of shards, led last under `epoch`, out for the standby of that appointment.
    ///
    /// The standby takes them over under the next epoch and no other, so that a hand-over that
    /// comes late or twice lets no key run again.
    ///
    /// Call it when the shards' routes are [`Route::Elsewhere`] and nothing is in flight on them;
    /// what still runs goes out as having perhaps run. `None` if no such service is in force.
    #[must_use]
    pub fn window_export(
        &self,
        service: &ServiceName,
        epoch: Epoch,
        shards: &[ShardIndex],
    ) -> Option<Export> {
        let inner = &self.inner;
        let serving = inner.serving(service).ok()?;
        let tenure = |shard| {
            let lead = inner.table.lead(service, shard);
            Tenure {
                term: Term {
                    turn: lead.turn,
                    epoch: lead.first.map(|first| first.tenure),
                },
                length: lead.owned_for(),
            }
        };
        let ids = &serving.kept.ids;
        let next = epoch + 1;
        Some(ids.export(service, next, shards, tenure, (inner.wall)()))
    }

    /// Takes over the keys that the leader directly before exported.
    ///
    /// Call it before the shards' routes leave [`Route::Elsewhere`]. Keys that come without an
    /// import and were made before this daemon led the shard are answered as having perhaps run.
    pub fn window_import(&self, export: Export) {
        let inner = &self.inner;
        let service = Arc::clone(&export.service);
        let Ok(serving) = inner.serving(&service) else {
            return;
        };
        let turn = |shard| {
            let lead = inner.table.lead(&service, shard);
            lead.turn + u64::from(matches!(lead.route, Route::Elsewhere))
        };
        serving.kept.ids.import(export, turn, (inner.wall)());
    }

    /// The requests that this leader found to crash servers, for the other leaders.
    #[must_use]
    pub fn quarantine_export(&self) -> Vec<Share> {
        self.inner.guard.export()
    }

    /// Refuses what another leader found to crash servers.
    pub fn quarantine_import(&self, shares: &[Share]) {
        self.inner.guard.import(shares, SHARED_MAX);
    }
}

impl<F: Forward> Serve for Engine<F> {
    async fn serve(&self, request: Request) -> Response {
        let inner = &self.inner;
        inner.metrics.requests.inc();
        let arrived = Instant::now();
        let mut watch = Watch::new(&inner.metrics);
        let response = inner.serve(request, arrived).await;
        watch.end(&response, arrived);
        response
    }
}

impl<F: Forward> Inner<F> {
    async fn serve(self: &Arc<Self>, request: Request, arrived: Instant) -> Response {
        let longest = match self.accept(&request.head) {
            Ok(serving) => {
                serving.kept.hot.count(&request.head.key, arrived);
                serving.service.limits.deadline
            }
            Err(failure) => return failure.into_response(),
        };
        let deadline = arrived + request.head.deadline.min(longest);
        let repeat = request.head.repeat;
        let call = match Call::read(request, deadline, &self.room).await {
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

    /// The service in force of this name.
    pub(crate) fn serving(&self, service: &str) -> Result<Arc<Serving>, Failure> {
        let config = self.config.load();
        let serving = config.services.get(service);
        serving
            .map(Arc::clone)
            .ok_or(Failure::not_run(Reason::UnknownService))
    }

    /// Tells the ownership driver what was seen of a server.
    pub(crate) fn observe(&self, observation: Observation) {
        // The driver has its own heartbeats; a lost observation costs time, not truth.
        if self.observed.try_send(observation).is_err() {
            self.metrics.observations_lost.inc();
        }
    }

    /// Refuses what need not be read any further.
    fn accept(&self, head: &Head) -> Result<Arc<Serving>, Failure> {
        if self.stopping.load(Ordering::Acquire) {
            return Err(Failure::not_run(Reason::Stopping));
        }
        let serving = self.serving(&head.service)?;
        match self.table.route(&head.service, head.shard) {
            Route::Elsewhere => Err(Failure::not_run(Reason::NotLeader)),
            _ => Ok(serving),
        }
    }
}

/// Counts how a request ends; one that is dropped before was cancelled.
struct Watch<'a> {
    metrics: &'a Metrics,
    ended: bool,
}

impl<'a> Watch<'a> {
    fn new(metrics: &'a Metrics) -> Self {
        Self {
            metrics,
            ended: false,
        }
    }

    fn end(&mut self, response: &Response, arrived: Instant) {
        self.ended = true;
        self.metrics
            .latency
            .observe(arrived.elapsed().as_secs_f64());
        if let Some(reason) = response.reply.reason {
            self.metrics.refuse(reason);
        }
    }
}

impl Drop for Watch<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.metrics.cancellations.inc();
        }
    }
}

fn status_of(serving: &Arc<Serving>) -> impl Iterator<Item = Status> {
    let clamped = |count| u32::try_from(count).unwrap_or(u32::MAX);
    serving.doors().filter_map(move |door| {
        let view = door.used_gate()?.view();
        Some(Status {
            service: Arc::clone(&serving.service.name),
            upstream: Arc::clone(&door.upstream.name),
            slots: view.limit,
            in_flight: view.in_flight,
            interactive: clamped(view.interactive),
            batch: clamped(view.batch),
            paused: view.paused,
        })
    })
}
