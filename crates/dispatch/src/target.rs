//! The choice of an attempt's target: its shard's owner and a slot there.

use std::{sync::Arc, time::Duration};

use crate::{
    call::{Call, Failure},
    config::{ActiveService, ActiveUpstream},
    engine::Inner,
    limiter::{Slot, SlotRequest},
    table::{InFlight, Owner, Route},
};
use copperwell_backend::Forward;
use copperwell_keyspace::manifest::Upstream;
use copperwell_message::{Class, Reason};
use copperwell_policy::{quarantine::Admission, window::Term};
use tokio::time::{Instant, timeout_at};

/// How long a request waits for a shard with [`Route::Unowned`].
const UNOWNED_WAIT: Duration = Duration::from_secs(2);

/// The target of an attempt, with the resources that the attempt holds.
pub(crate) struct Target {
    /// The service.
    pub(crate) service: Arc<ActiveService>,
    /// The upstream.
    pub(crate) upstream: Upstream,
    /// The owner.
    pub(crate) owner: Owner,
    /// The in-flight count of the shard.
    pub(crate) in_flight: InFlight,
    /// The slot on the upstream.
    pub(crate) slot: Slot,
}

impl<F: Forward> Inner<F> {
    /// Finds the owner and waits for a slot on it.
    pub(crate) async fn target(&self, call: &Call) -> Result<Target, Failure> {
        loop {
            let service = self.active_service(&call.head.service)?;
            let owner = self.route(call, &service).await?;
            let Some(upstream) = service.upstream(&owner.upstream) else {
                return Err(Failure::not_run(Reason::Unowned));
            };
            if call
                .pinned
                .as_ref()
                .is_some_and(|pinned| *pinned != owner.upstream)
            {
                return Err(Failure::not_run(Reason::ConnectionLost).into_final());
            }
            let is_exclusive = self.admit(call, &service, upstream, &owner)?;
            if call.sends > 0 && self.wait_for_shed_backoff(call, upstream, &owner).await? {
                continue;
            }
            let Some(slot) = self.slot(call, upstream, &owner, is_exclusive).await? else {
                continue;
            };
            let Ok((current_owner, in_flight)) = self
                .table
                .begin_request(&call.head.service, call.head.shard)
            else {
                continue;
            };
            if !current_owner.is_same(&owner) {
                continue;
            }
            // A server may have crashed while this request waited.
            if self.admit(call, &service, upstream, &current_owner)? && !is_exclusive {
                continue;
            }
            let upstream = upstream.settings.clone();
            return Ok(Target {
                service,
                upstream,
                owner: current_owner,
                in_flight,
                slot,
            });
        }
    }

    /// Waits until the shard has an owner and returns it.
    pub(crate) async fn route(
        &self,
        call: &Call,
        service: &ActiveService,
    ) -> Result<Owner, Failure> {
        let head = &call.head;
        let mut owner_wait = None;
        let unowned_until = call.deadline.min(Instant::now() + UNOWNED_WAIT);
        loop {
            let until = match self.table.route(&head.service, head.shard) {
                Route::Elsewhere => return Err(Failure::not_run(Reason::NotLeader)),
                Route::Owned(owner) => return Ok(owner),
                Route::Unowned => unowned_until,
                Route::Pending => call.deadline,
            };
            if owner_wait.is_none() {
                let admitted = service.state.admit_owner_wait(head.caller);
                owner_wait = Some(admitted.map_err(Failure::not_run)?);
            }
            let is_unchanged = |route: &Route| matches!(route, Route::Unowned | Route::Pending);
            let changed = self
                .table
                .wait_for_change(&head.service, head.shard, is_unchanged);
            if timeout_at(until, changed).await.is_err() {
                return Err(Failure::not_run(Reason::Unowned));
            }
        }
    }

    /// Returns whether the request must be the only one on the upstream.
    fn admit(
        &self,
        call: &Call,
        service: &ActiveService,
        upstream: &ActiveUpstream,
        owner: &Owner,
    ) -> Result<bool, Failure> {
        let suspects = upstream.limiter().observe_incarnation(owner.incarnation);
        self.quarantine
            .record_crash(&suspects, service.settings.limits.quarantine);
        self.record_restarts(service);
        match self.quarantine.admit(call.head.fingerprint) {
            Admission::Free => Ok(false),
            Admission::Exclusive => Ok(true),
            Admission::Refused { remaining } => Err(Failure::not_run(Reason::Quarantined)
                .with_retry_after(remaining)
                .into_final()),
        }
    }

    /// Records the crashes that the routes show, of servers to which this request need not go.
    fn record_restarts(&self, service: &ActiveService) {
        if !self.quarantine.awaits_proof() {
            return;
        }
        for upstream in service.upstreams() {
            let limiter = upstream.existing_limiter();
            let Some(limiter) = limiter.filter(|limiter| limiter.has_unanswered()) else {
                continue;
            };
            let name = &upstream.settings.name;
            if let Some(incarnation) = self.table.incarnation(&service.settings.name, name) {
                let suspects = limiter.observe_incarnation(incarnation);
                self.quarantine
                    .record_crash(&suspects, service.settings.limits.quarantine);
            }
        }
    }

    /// Waits for the backoff of a server that sheds load; returns whether there was a wait.
    async fn wait_for_shed_backoff(
        &self,
        call: &Call,
        upstream: &ActiveUpstream,
        owner: &Owner,
    ) -> Result<bool, Failure> {
        let now = Instant::now();
        let Some(until) = upstream.limiter().shed_until(now) else {
            return Ok(false);
        };
        if until >= call.deadline {
            return Err(Failure::not_run(Reason::Shed)
                .with_retry_after(until - now)
                .into_final());
        }
        let head = &call.head;
        let is_unchanged =
            |route: &Route| matches!(route, Route::Owned(current) if current.is_same(owner));
        let changed = self
            .table
            .wait_for_change(&head.service, head.shard, is_unchanged);
        // The target is chosen anew in both cases.
        let _ = timeout_at(until, changed).await;
        Ok(true)
    }

    /// Waits for a slot; returns `None` if the shard's owner changed meanwhile.
    async fn slot(
        &self,
        call: &Call,
        upstream: &ActiveUpstream,
        owner: &Owner,
        is_exclusive: bool,
    ) -> Result<Option<Slot>, Failure> {
        let head = &call.head;
        let slot_request = SlotRequest {
            class: self.class(call),
            caller: head.caller,
            deadline: call.deadline,
            is_exclusive,
        };
        let started = Instant::now();
        let is_unchanged =
            |route: &Route| matches!(route, Route::Owned(current) if current.is_same(owner));
        tokio::select! {
            biased;
            slot = upstream.limiter().acquire(slot_request) => match slot {
                Ok(slot) => {
                    self.metrics.queueing.observe(started.elapsed().as_secs_f64());
                    Ok(Some(slot))
                }
                Err(refusal) => {
                    Err(Failure::not_run(refusal.reason).with_retry_after(refusal.retry_after))
                }
            },
            () = self.table.wait_for_change(&head.service, head.shard, is_unchanged) => Ok(None),
        }
    }

    /// Returns the class of the request; every request to a batch service is batch.
    fn class(&self, call: &Call) -> Class {
        let declared = self
            .active_service(&call.head.service)
            .map_or(call.head.class, |service| service.settings.class);
        declared.max(call.head.class)
    }
}

impl Target {
    /// Checks right before sending that the request may still be sent, and marks it as sent in its
    /// idempotency window.
    pub(crate) fn check(&self, call: &Call, now: Instant) -> Result<(), Failure> {
        if now >= call.deadline {
            return Err(Failure::not_run(Reason::DeadlineHopeless));
        }
        if !self.owner.lease.is_valid(now) {
            return Err(Failure::not_run(Reason::LeaseLapsed));
        }
        let term = Term {
            acquisition: self.in_flight.generation(),
            epoch: Some(self.owner.leadership_epoch),
        };
        if call
            .window_entry
            .is_some_and(|entry| !entry.term.is_same(term))
        {
            // Another leader may have run the request meanwhile.
            return Err(Failure::may_have_run(Reason::IdempotencyKeyUnknown));
        }
        let window = &self.service.state.window;
        if call
            .window_entry
            .is_some_and(|entry| !window.mark_sent(entry))
        {
            return Err(Failure::not_run(Reason::NotLeader));
        }
        Ok(())
    }
}
