//! Selects the upstream for the next attempt of a request.

use std::{sync::Arc, time::Duration};

use crate::{queue::Queues, refusal::Refusal, view::View};
use copperwell_assignment::table::Version;
use copperwell_message::Reason;
use copperwell_routing::{Key, ServiceName, UpstreamId, registry::Upstream};
use tokio::time::{Instant, timeout_at};

/// How long a draining holder still gets requests for its keys while they migrate.
const DRAINING_GRACE: Duration = Duration::from_millis(200);

/// The requirements of a request for its upstream.
#[derive(Debug, Clone)]
pub(crate) struct Requirements {
    /// The service.
    pub(crate) service: ServiceName,
    /// The key, if the service is partitioned by key.
    pub(crate) key: Option<Key>,
    /// The priority among requests for the service; the lowest number goes first.
    pub(crate) priority: u32,
    /// When the request stops waiting for an upstream.
    pub(crate) deadline: Instant,
}

/// Selects upstreams for requests.
#[derive(Debug)]
pub(crate) struct Selector {
    pub(crate) view: Arc<View>,
    pub(crate) queues: Arc<Queues>,
}

impl Selector {
    /// Returns the upstream for the next attempt of a request, once it has capacity.
    ///
    /// `attempted` are the upstreams of earlier attempts. `stale_version` is a version of the routing
    /// tables by which an attempt was misdirected.
    pub(crate) async fn select(
        &self,
        requirements: &Requirements,
        attempted: &[UpstreamId],
        stale_version: Option<Version>,
    ) -> Result<Arc<Upstream>, Refusal> {
        match requirements.key {
            Some(key) => self.select_holder(requirements, key, stale_version).await,
            None => self.select_any(requirements, attempted).await,
        }
    }

    async fn select_any(
        &self,
        requirements: &Requirements,
        attempted: &[UpstreamId],
    ) -> Result<Arc<Upstream>, Refusal> {
        let registry = self.view.registry();
        let upstreams = registry.of_service(&requirements.service);
        if upstreams.iter().all(|upstream| upstream.is_draining) {
            return Err(Refusal::not_run(Reason::NoUpstream));
        }
        let now = Instant::now();
        let zone = &self.view.zone;
        let mut random = rand::rng();
        let loads = self.view.loads();
        let chosen = loads.choose(upstreams, zone, attempted, now, &mut random);
        chosen.cloned().ok_or(Refusal::not_run(Reason::QueueFull))
    }

    /// Waits until a key has a holder with capacity, and returns the holder.
    async fn select_holder(
        &self,
        requirements: &Requirements,
        key: Key,
        stale_version: Option<Version>,
    ) -> Result<Arc<Upstream>, Refusal> {
        let routing_tables = &self.view.keys.routing_tables;
        let _queued = self.queues.enter();
        if let Some(stale_version) = stale_version {
            let _ = timeout_at(
                requirements.deadline,
                routing_tables.newer_than(stale_version),
            )
            .await;
        }
        // Admission control applies once, and not to a retry after a stale routing table.
        let mut is_admitted = stale_version.is_some();
        loop {
            let version = routing_tables.tables().version;
            let served = routing_tables.served(&requirements.service, key);
            if let Some(served) = &served
                && !is_admitted
            {
                let view = &self.view;
                is_admitted = view.admits(
                    &requirements.service,
                    requirements.priority,
                    served.admitted_share,
                );
                if !is_admitted {
                    return Err(Refusal::not_run(Reason::Overload));
                }
            }
            let upstream = served.and_then(|served| self.eligible_holder(&served.upstream));
            let Some(upstream) = upstream else {
                let update = timeout_at(requirements.deadline, routing_tables.newer_than(version));
                if update.await.is_err() {
                    return Err(Refusal::not_run(Reason::Unowned));
                }
                continue;
            };
            if self.view.loads().has_capacity(&upstream) {
                return Ok(upstream);
            }
            if Instant::now() >= requirements.deadline {
                return Err(Refusal::not_run(Reason::QueueFull));
            }
            self.queues.wait(&upstream.id, requirements.deadline).await;
        }
    }

    /// Returns a holder unless it has been draining for too long.
    fn eligible_holder(&self, id: &UpstreamId) -> Option<Arc<Upstream>> {
        let registry = self.view.registry();
        let upstream = registry.get(id)?.clone();
        drop(registry);
        let draining_for = self.view.draining_for(id);
        let is_eligible = draining_for.is_none_or(|time| time < DRAINING_GRACE);
        is_eligible.then_some(upstream)
    }
}
