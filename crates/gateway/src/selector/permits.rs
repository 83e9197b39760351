//! Acquires permits at upstreams, and waits in their queues.

use std::{sync::Arc, time::Duration};

use super::{HOLDER_POLL_INTERVAL, Requirements, Selector, WhenFull};
use crate::{
    queue::{Permit, QueueId},
    rejection::Rejection,
};
use copperwell_message::{HashSet, Reason};
use copperwell_routing::{Key, UpstreamId, admission::Class, registry::Upstream, schedule::Entry};
use tokio::time::{Instant, timeout};

impl Requirements {
    /// Returns the class of the request for admission control.
    pub(super) fn class(&self) -> Class {
        Class {
            priority: self.priority,
            work: self.work,
        }
    }

    /// Returns the request's entry in a queue, in which it waits until `wait_until` at most.
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

    /// Returns the queue in which the request waits for a permit at an upstream.
    fn queue_of(&self, upstream: &Upstream) -> QueueId {
        match self.key {
            Some(_) => QueueId::Holder(upstream.id.clone()),
            None => QueueId::Service(self.service.clone()),
        }
    }
}

impl Selector {
    /// Returns the permit of a request that is already counted in flight at an upstream.
    pub(super) fn permit_of(&self, upstream: &Upstream, requirements: &Requirements) -> Permit {
        let queue = requirements.queue_of(upstream);
        let id = upstream.id.clone();
        self.queues.permit(&self.view, queue, id, requirements.work)
    }

    /// Chooses an upstream and acquires a permit there. Waits for a permit if requests of the service are queued.
    ///
    /// `full` are the upstreams that have reached their rate limit, with the time until the next request there is due.
    pub(super) async fn choose_or_wait(
        &self,
        requirements: &Requirements,
        attempted: &[UpstreamId],
        full: &[(Duration, Arc<Upstream>)],
        excluded: &HashSet<UpstreamId>,
        when_full: WhenFull,
    ) -> Result<(Arc<Upstream>, Permit), Rejection> {
        let choose = || self.choose(requirements, attempted, full, excluded);
        // If a rate limit is reached, the calling function waits for the limit instead of for a permit.
        if !full.is_empty() || !self.is_queued(requirements) {
            return choose();
        }
        let queue = QueueId::Service(requirements.service.clone());
        if when_full == WhenFull::Refuse {
            return match self.queues.is_idle(&queue) {
                true => choose(),
                // Queued requests take precedence.
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

    /// Returns whether requests for a service without keys are queued for permits.
    ///
    /// Without priorities or a warm-up, a queue would only move waiting requests from the upstreams and callers to this
    /// daemon.
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

    /// Acquires a permit at an upstream, if one is free.
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

    /// Waits for a permit at the holder of a key; returns `None` if the holder asks for no requests for a time.
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

    /// Waits until a key has another holder, or its holder may not serve keys any more.
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
            // The wait has a timeout because an evacuation is in the registry before it is in the routing tables.
            let _ = timeout(HOLDER_POLL_INTERVAL, routing_tables.newer_than(version)).await;
        }
    }
}
