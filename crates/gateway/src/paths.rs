//! The paths of this daemon to the upstreams: what requests and probes tell of them.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use crate::view::View;
use copperwell_assignment::driver::Shared;
use copperwell_backend::probe;
use copperwell_routing::{
    UpstreamId,
    reach::{Change, End, Reach},
    registry::Upstream,
};
use prometheus_client::{
    metrics::{counter::Counter, gauge::Gauge},
    registry::Registry,
};
use spdlog::{info, warn};
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};

/// How often paths are looked at.
const INTERVAL: Duration = Duration::from_millis(100);

/// The timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// The paths to all upstreams.
#[derive(Debug)]
pub struct Paths {
    reach: Mutex<Reach>,
    /// The lost paths, as the driver reports them.
    lost: Arc<watch::Sender<Vec<UpstreamId>>>,
    lost_gauge: Gauge,
    losses: Counter,
    probes: Counter,
}

impl Paths {
    pub(crate) fn new(keys: &Shared) -> Self {
        Self {
            reach: Mutex::default(),
            lost: keys.lost.clone(),
            lost_gauge: Gauge::default(),
            losses: Counter::default(),
            probes: Counter::default(),
        }
    }

    /// Registers the metrics in `registry`.
    pub fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("gateway");
        registry.register(
            "lost_paths",
            "Upstreams to which this daemon cannot open a connection",
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
                warn!("cannot open connections to an upstream", kv: { event = "path-lost", server = &**id, lost = lost.len() });
            }
            Change::Back(after) => {
                info!("connections to an upstream can be opened again", kv: { event = "path-back", server = &**id, after_ms = after.as_millis() as u64, lost = lost.len() });
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

    async fn probe(&self, upstream: &Upstream) {
        self.probes.inc();
        let is_open = probe::is_reachable(upstream.address, PROBE_TIMEOUT).await;
        self.record_connect(&upstream.id, is_open);
    }
}

/// Probes the paths that are in doubt, forever.
pub async fn watch(view: Arc<View>) {
    loop {
        sleep(INTERVAL).await;
        let registry = view.registry();
        let due = view
            .paths
            .reach()
            .due_probes(registry.all(), Instant::now());
        drop(registry);
        for upstream in due {
            let view = view.clone();
            tokio::spawn(async move { view.paths.probe(&upstream).await });
        }
    }
}
