//! The paths of this daemon to the upstreams: what requests and probes tell of them.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use copperwell_assignment::shared::Shared;
use copperwell_backend::probe::{self, Answer};
use copperwell_routing::{
    UpstreamId,
    reach::{Change, End, Probe, Reach, Update},
    registry::Upstream,
};
use prometheus_client::{
    metrics::{counter::Counter, gauge::Gauge},
    registry::Registry,
};
use spdlog::{info, warn};
use tokio::{sync::watch, time::Instant};

/// The timeout for opening the connection of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// The timeout of the answer to a health check, which waits for a slot of the upstream.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(800);

/// The paths to all upstreams.
#[derive(Debug)]
pub struct Paths {
    reach: Mutex<Reach>,
    /// The lost paths, as the driver reports them.
    lost: Arc<watch::Sender<Vec<UpstreamId>>>,
    lost_gauge: Gauge,
    losses: Counter,
    probes: Counter,
    health_checks: Counter,
    deferred_probes: Counter,
}

impl Paths {
    pub(crate) fn new(keys: &Shared) -> Self {
        Self {
            reach: Mutex::default(),
            lost: keys.lost.clone(),
            lost_gauge: Gauge::default(),
            losses: Counter::default(),
            probes: Counter::default(),
            health_checks: Counter::default(),
            deferred_probes: Counter::default(),
        }
    }

    /// Registers the metrics in `registry`.
    pub fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("gateway");
        registry.register(
            "lost_paths",
            "Upstreams to which this daemon can open no connection, or none that is answered",
            self.lost_gauge.clone(),
        );
        registry.register(
            "path_losses",
            "Times that an upstream could not be reached any more",
            self.losses.clone(),
        );
        registry.register(
            "path_probes",
            "Connections opened to find out whether an upstream can be reached",
            self.probes.clone(),
        );
        registry.register(
            "path_health_checks",
            "Health checks sent to find out whether an upstream answers this daemon",
            self.health_checks.clone(),
        );
        registry.register(
            "path_probes_deferred",
            "Probes that were due and put off, as others were due before them",
            self.deferred_probes.clone(),
        );
    }

    /// Locks what is known of the paths.
    pub(crate) fn reach(&self) -> MutexGuard<'_, Reach> {
        self.reach.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether any path is lost.
    pub(crate) fn has_lost(&self) -> bool {
        self.lost_gauge.get() > 0
    }

    /// Records whether a connection to an upstream could be opened.
    pub(crate) fn record_connect(&self, id: &UpstreamId, is_open: bool) {
        let change = self.reach().record_connect(id, is_open, Instant::now());
        self.record_change(id, change);
    }

    /// Records how a request at an upstream has ended.
    pub(crate) fn record_end(&self, id: &UpstreamId, end: End) {
        let change = self.reach().record_end(id, end, Instant::now());
        self.record_change(id, change);
    }

    /// Records that a connection to an upstream broke under an order.
    pub(crate) fn record_loss(&self, id: &UpstreamId) {
        let change = self.reach().record_loss(id, Instant::now());
        self.record_change(id, change);
    }

    /// Records that an order to an upstream has waited in vain since `sent_at`.
    pub(crate) fn record_timeout(&self, id: &UpstreamId, sent_at: Instant) {
        self.reach().record_timeout(id, sent_at);
    }

    /// Records that an upstream has answered an order.
    pub(crate) fn record_order_answer(&self, id: &UpstreamId) {
        let change = self.reach().record_order_answer(id, Instant::now());
        self.record_change(id, change);
    }

    /// Forgets the path to an upstream that has started again.
    pub(crate) fn restart(&self, id: &UpstreamId) {
        let change = self.reach().restart(id, Instant::now());
        self.record_change(id, change);
    }

    fn record_change(&self, id: &UpstreamId, change: Option<Change>) {
        let Some(change) = change else { return };
        let lost = self.reach().lost();
        match change {
            Change::Lost => {
                self.losses.inc();
                let reach = self.reach();
                let silent = reach.is_lost_in_silence(id);
                let tried = reach.tried(Instant::now());
                drop(reach);
                warn!("cannot use connections to an upstream", kv: { event = "path-lost", server = &**id, silent, lost = lost.len(), tried });
            }
            Change::Back(after) => {
                info!("connections to an upstream can be used again", kv: { event = "path-back", server = &**id, after_ms = after.as_millis() as u64, lost = lost.len() });
            }
        }
        self.publish(lost);
    }

    /// Forgets upstreams that are no longer registered.
    pub(crate) fn retain(&self, is_registered: impl Fn(&str) -> bool) {
        let mut reach = self.reach();
        reach.retain(is_registered);
        let lost = reach.lost();
        drop(reach);
        self.publish(lost);
    }

    fn publish(&self, lost: Vec<UpstreamId>) {
        let count = i64::try_from(lost.len()).unwrap_or(i64::MAX);
        self.lost_gauge.set(count);
        self.lost.send_if_modified(|known| {
            let is_new = *known != lost;
            *known = lost;
            is_new
        });
    }

    /// Looks at all paths; returns those that are to be probed, and what was found of many together.
    pub(crate) fn update<'a>(&self, all: impl IntoIterator<Item = &'a Arc<Upstream>>) -> Update {
        let mut reach = self.reach();
        let update = reach.update(all, Instant::now(), &mut rand::rng());
        self.deferred_probes.inc_by(reach.take_deferred_probes());
        let lost = reach.lost();
        drop(reach);
        self.publish(lost);
        update
    }

    /// Probes a path, with a health check at `health_path` if that is due and there is one.
    pub(crate) async fn probe(&self, probe: Probe, health_path: Option<String>) {
        self.probes.inc();
        let Probe { upstream, asks } = probe;
        let Some(health_path) = health_path.filter(|_| asks) else {
            let is_open = probe::is_reachable(upstream.address, PROBE_TIMEOUT).await;
            self.record_connect(&upstream.id, is_open);
            return;
        };
        self.health_checks.inc();
        let sent_at = Instant::now();
        let asked = probe::ask(
            upstream.address,
            &health_path,
            PROBE_TIMEOUT,
            HEALTH_CHECK_TIMEOUT,
        );
        let answer = asked.await;
        let (id, now) = (&upstream.id, Instant::now());
        let change = match answer {
            Answer::Answered => self.reach().record_health_answer(id, now),
            Answer::Silent => self.reach().record_health_timeout(id, sent_at, now),
            Answer::Unreachable => self.reach().record_connect(id, false, now),
        };
        self.record_change(id, change);
    }
}
