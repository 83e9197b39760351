//! The way of a try to its owner's slot.

use std::{sync::Arc, time::Duration};

use crate::{
    call::{Call, Failure},
    engine::Inner,
    gate::{Slot, Want},
    serving::{Door, Serving},
    table::{Owner, Pass, Route},
};
use copperwell_backend::Forward;
use copperwell_keyspace::manifest::Upstream;
use copperwell_message::{Class, Reason};
use copperwell_policy::{quarantine::Admission, window::Term};
use tokio::time::{Instant, timeout_at};

/// How long a request waits for a shard that has no owner and none in sight.
const UNOWNED_WAIT: Duration = Duration::from_secs(2);

/// Where a try goes, with all that it holds.
pub(crate) struct Target {
    /// The service.
    pub(crate) serving: Arc<Serving>,
    /// The upstream.
    pub(crate) upstream: Upstream,
    /// The owner.
    pub(crate) owner: Owner,
    /// The count on the shard.
    pub(crate) pass: Pass,
    /// The slot.
    pub(crate) slot: Slot,
}

impl<F: Forward> Inner<F> {
    /// Finds the owner and waits for a slot there.
    pub(crate) async fn target(&self, call: &Call) -> Result<Target, Failure> {
        loop {
            let serving = self.serving(&call.head.service)?;
            let owner = self.route(call, &serving).await?;
            let Some(door) = serving.door(&owner.upstream) else {
                return Err(Failure::not_run(Reason::Unowned));
            };
            if call
                .pinned
                .as_ref()
                .is_some_and(|pin| *pin != owner.upstream)
            {
                return Err(Failure::not_run(Reason::ConnectionLost).with_final());
            }
            let alone = self.admit(call, &serving, door, &owner)?;
            if call.sends > 0 && self.heed(call, door, &owner).await? {
                continue;
            }
            let Some(slot) = self.slot(call, door, &owner, alone).await? else {
                continue;
            };
            let Ok((entered, pass)) = self.table.enter(&call.head.service, call.head.shard) else {
                continue;
            };
            if !entered.is_same(&owner) {
                continue;
            }
            // A server may have crashed while this request waited.
            if self.admit(call, &serving, door, &entered)? && !alone {
                continue;
            }
            let upstream = door.upstream.clone();
            return Ok(Target {
                serving,
                upstream,
                owner: entered,
                pass,
                slot,
            });
        }
    }

    /// Waits until the shard has an owner.
    pub(crate) async fn route(&self, call: &Call, serving: &Serving) -> Result<Owner, Failure> {
        let head = &call.head;
        let mut hold = None;
        let unowned_until = call.deadline.min(Instant::now() + UNOWNED_WAIT);
        loop {
            let until = match self.table.route(&head.service, head.shard) {
                Route::Elsewhere => return Err(Failure::not_run(Reason::NotLeader)),
                Route::Owned(owner) => return Ok(owner),
                Route::Unowned => unowned_until,
                Route::Held => call.deadline,
            };
            if hold.is_none() {
                let place = serving.kept.hold(head.caller);
                hold = Some(place.map_err(Failure::not_run)?);
            }
            let same = |route: &Route| matches!(route, Route::Unowned | Route::Held);
            let changed = self.table.changed(&head.service, head.shard, same);
            if timeout_at(until, changed).await.is_err() {
                return Err(Failure::not_run(Reason::Unowned));
            }
        }
    }

    /// Whether the request has to run alone.
    fn admit(
        &self,
        call: &Call,
        serving: &Serving,
        door: &Door,
        owner: &Owner,
    ) -> Result<bool, Failure> {
        let suspects = door.gate().meet(owner.incarnation);
        self.guard
            .crash(&suspects, serving.service.limits.quarantine);
        match self.guard.admit(call.head.fingerprint) {
            Admission::Free => Ok(false),
            Admission::Alone => Ok(true),
            Admission::Refused { remaining } => Err(Failure::not_run(Reason::Quarantined)
                .with_retry_after(remaining)
                .with_final()),
        }
    }

    /// Leaves a server alone that sheds, as long as it asks for; `true` if that took time.
    async fn heed(&self, call: &Call, door: &Door, owner: &Owner) -> Result<bool, Failure> {
        let now = Instant::now();
        let Some(until) = door.gate().shed_until(now) else {
            return Ok(false);
        };
        if until >= call.deadline {
            return Err(Failure::not_run(Reason::Shed)
                .with_retry_after(until - now)
                .with_final());
        }
        let head = &call.head;
        let same = |route: &Route| matches!(route, Route::Owned(now) if now.is_same(owner));
        let changed = self.table.changed(&head.service, head.shard, same);
        // Both ways the way is looked for anew.
        let _ = timeout_at(until, changed).await;
        Ok(true)
    }

    /// Waits for a slot; `None` if the shard's owner changed meanwhile.
    async fn slot(
        &self,
        call: &Call,
        door: &Door,
        owner: &Owner,
        alone: bool,
    ) -> Result<Option<Slot>, Failure> {
        let head = &call.head;
        let want = Want {
            class: self.class(call),
            caller: head.caller,
            deadline: call.deadline,
            alone,
        };
        let began = Instant::now();
        let same = |route: &Route| matches!(route, Route::Owned(now) if now.is_same(owner));
        tokio::select! {
            biased;
            slot = door.gate().enter(want) => match slot {
                Ok(slot) => {
                    self.metrics.queueing.observe(began.elapsed().as_secs_f64());
                    Ok(Some(slot))
                }
                Err(refusal) => {
                    Err(Failure::not_run(refusal.reason).with_retry_after(refusal.retry_after))
                }
            },
            () = self.table.changed(&head.service, head.shard, same) => Ok(None),
        }
    }

    /// Batch services take no interactive requests.
    fn class(&self, call: &Call) -> Class {
        let declared = self
            .serving(&call.head.service)
            .map_or(call.head.class, |serving| serving.service.class);
        declared.max(call.head.class)
    }
}

impl Target {
    /// Checks, at the moment of sending, that the request may still be sent, and notes in its
    /// window that it is.
    pub(crate) fn check(&self, call: &Call, now: Instant) -> Result<(), Failure> {
        if now >= call.deadline {
            return Err(Failure::not_run(Reason::DeadlineHopeless));
        }
        if !self.owner.lease.is_valid(now) {
            return Err(Failure::not_run(Reason::LeaseLapsed));
        }
        let term = Term {
            turn: self.pass.turn(),
            epoch: Some(self.owner.tenure),
        };
        if call
            .entered
            .is_some_and(|entered| !entered.term.is_same(term))
        {
            // Another leader may have run it meanwhile.
            return Err(Failure::may_have_run(Reason::IdempotencyKeyUnknown));
        }
        let ids = &self.serving.kept.ids;
        if call.entered.is_some_and(|entered| !ids.leave(entered)) {
            return Err(Failure::not_run(Reason::NotLeader));
        }
        Ok(())
    }
}
