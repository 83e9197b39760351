//! Permits for requests at upstreams, and the queues for them.

use std::{sync::Arc, time::Duration};

use super::{HOLDER_POLL_INTERVAL, Patience, Requirements, Selector};
use crate::{
    queue::{Permit, QueueId},
    rejection::Rejection,
};
use copperwell_message::{HashSet, Reason};
use copperwell_routing::{Key, UpstreamId, admission::Class, registry::Upstream, schedule::Entry};
use tokio::time::{Instant, timeout};

impl Requirements {
    /// Returns what admission control has to know of the request.
    pub(super) fn class(&self) -> Class {
        Class {
            priority: self.priority,
            work: self.work,
        }
    }

    fn entry(&self, wait_until: Instant) -> Entry {
        Entry {
            priority: self.priority,
            arrived: self.arrived,
            objective: self.objective,
            deadline: self.answer_deadline,
            wait_until,
            work: self.work,
        }
    }

    /// Returns the queue for permits at an upstream.
    fn queue_of(&self, upstream: &Upstream) -> QueueId {
        match self.key {
            Some(_) => QueueId::Holder(upstream.id.clone()),
            None => QueueId::Service(self.service.clone()),
        }
    }
}

impl Selector {
    /// Returns the permit of a request that is counted as started at an upstream.
    pub(super) fn permit_of(&self, upstream: &Upstream, requirements: &Requirements) -> Permit {
        let queue = requirements.queue_of(upstream);
        let id = upstream.id.clone();
        self.queues.permit(&self.view, queue, id, requirements.work)
    }

    /// Chooses an upstream with a permit there, and waits for one if the service's requests compete.
    pub(super) async fn choose_or_wait(
        &self,
        requirements: &Requirements,
        attempted: &[UpstreamId],
        full: &[(Duration, Arc<Upstream>)],
        excluded: &HashSet<UpstreamId>,
        patience: Patience,
    ) -> Result<(Arc<Upstream>, Permit), Rejection> {
        let choose = || self.choose(requirements, attempted, full, excluded);
        // A request for which upstreams without room by their limit are left waits for that limit instead.
        if !full.is_empty() || !self.is_queued(requirements) {
            return choose();
        }
        let queue = QueueId::Service(requirements.service.clone());
        if patience == Patience::None {
            return match self.queues.is_idle(&queue) {
                true => choose(),
                // A free permit is for those that are queued.
                false => Err(Rejection::new(Reason::QueueFull)),
            };
        }
        let latest = requirements.objective.min(requirements.answer_deadline);
        let wait_until = latest
            .checked_sub(requirements.work)
            .unwrap_or(requirements.arrived);
        let entry = requirements.entry(wait_until);
        self.queues.acquire(&self.view, queue, entry, choose).await
    }

    /// Returns whether requests for a service without keys wait for permits.
    ///
    /// Where all requests are alike, waiting only moves the queue from the upstreams and the callers to this daemon.
    fn is_queued(&self, requirements: &Requirements) -> bool {
        let service = &requirements.service;
        let configuration = self.view.configuration();
        configuration.is_some_and(|known| {
            let warms_up = known
                .service(service)
                .is_some_and(|one| one.warmup.is_some());
            warms_up || known.has_priorities(service)
        })
    }

    /// Takes a permit at an upstream if one is free.
    pub(super) fn try_permit(
        &self,
        upstream: &Upstream,
        requirements: &Requirements,
    ) -> Result<Permit, Rejection> {
        let mut loads = self.view.loads();
        if !loads.has_capacity(upstream) {
            return Err(Rejection::new(Reason::QueueFull));
        }
        loads.record_start(&upstream.id, Instant::now());
        drop(loads);
        Ok(self.permit_of(upstream, requirements))
    }

    /// Waits for a permit at the holder of a key; returns `None` if the holder wants no requests meanwhile.
    pub(super) async fn acquire_at(
        &self,
        holder: &Upstream,
        requirements: &Requirements,
    ) -> Result<Option<Permit>, Rejection> {
        let take = || {
            let loads = self.view.loads();
            if loads.closed_for(&holder.id, Instant::now()).is_some() {
                return Ok(None);
            }
            drop(loads);
            self.try_permit(holder, requirements).map(Some)
        };
        let queue = requirements.queue_of(holder);
        let entry = requirements.entry(requirements.deadline);
        self.queues.acquire(&self.view, queue, entry, take).await
    }

    /// Waits until a key has another holder.
    pub(super) async fn wait_for_move(
        &self,
        requirements: &Requirements,
        key: Key,
        holder: &UpstreamId,
    ) {
        let routing_tables = &self.view.keys.routing_tables;
        loop {
            let version = routing_tables.version();
            let served = routing_tables.served(&requirements.service, key);
            let is_holder = served.is_some_and(|served| served.upstream == *holder);
            if !is_holder || !self.view.may_serve_keys(holder) {
                return;
            }
            // An evacuation shows in the registry before it does in the tables.
            let _ = timeout(HOLDER_POLL_INTERVAL, routing_tables.newer_than(version)).await;
        }
    }
}
