//! Selects the holder of a request's key, once it has capacity.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::{
    HOLDER_POLL_INTERVAL, Requirements, Selected, Selector, closed_rejection, unserved_rejection,
};
use crate::{queue::Permit, rejection::Rejection};
use copperwell_assignment::{
    table::{Served, Version},
    warmup::Reservation,
};
use copperwell_message::Reason;
use copperwell_routing::{Key, UpstreamId, registry::Upstream};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// How often a request that is to be kept apart looks whether the other one has ended.
const APART_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What a request that waits for a holder has got.
#[derive(Debug)]
struct Progress {
    is_admitted: bool,
    /// The upstream that has room for it by its limit.
    reserved: Option<UpstreamId>,
    /// Its reservation at an upstream that warms up.
    reservation: Option<Reservation>,
}

impl Selector {
    /// Waits until a key has a holder with capacity, and returns the holder.
    pub(super) async fn select_holder(
        &self,
        requirements: &Requirements,
        key: Key,
        stale_version: Option<Version>,
        is_apart: bool,
        relays: Option<&[SocketAddr]>,
    ) -> Result<Selected, Rejection> {
        let routing_tables = &self.view.keys.routing_tables;
        let _queued = self.queues.enter();
        if let Some(stale_version) = stale_version {
            let newer = routing_tables.newer_than(stale_version);
            let _ = timeout_at(requirements.deadline, newer).await;
        }
        let mut progress = Progress {
            // Admission control applies once, and not to a retry after a stale routing table.
            is_admitted: stale_version.is_some(),
            reserved: None,
            reservation: None,
        };
        loop {
            let version = routing_tables.tables().version;
            let served = routing_tables.served(&requirements.service, key);
            if let Some(served) = &served {
                self.check_region(&served.upstream, requirements)?;
                let relay = |tried| self.relay_to(&served.upstream, requirements, tried);
                // The daemon that helps decides on the admission.
                if let Some(helper) = relays.and_then(relay) {
                    return Ok(Selected::Relay(helper));
                }
                self.admit(served, requirements, &mut progress)?;
            }
            let upstream = served.and_then(|served| self.eligible_holder(&served.upstream));
            let Some(upstream) = upstream else {
                self.wait_for_holder(requirements, version).await?;
                continue;
            };
            if self.wait_until_open(&upstream.id, requirements).await?
                || is_apart && self.wait_apart(&upstream.id, requirements).await?
            {
                continue;
            }
            let permit = self.acquire_at_holder(&upstream, requirements, key);
            let Some(permit) = permit.await? else {
                continue;
            };
            let selected =
                self.reserve_at_holder(upstream, permit, version, requirements, &mut progress);
            if let Some(selected) = selected.await? {
                return Ok(selected);
            }
        }
    }

    /// Refuses a request by the share that its key's range admits, unless it was admitted before.
    fn admit(
        &self,
        served: &Served,
        requirements: &Requirements,
        progress: &mut Progress,
    ) -> Result<(), Rejection> {
        if !progress.is_admitted {
            let class = requirements.class();
            let (view, service) = (&self.view, &requirements.service);
            progress.is_admitted = view.admits(service, class, served.admitted_share);
        }
        match progress.is_admitted {
            true => Ok(()),
            false => Err(Rejection::new(Reason::Overload)),
        }
    }

    /// Waits for a time if another request that may crash upstreams runs at a holder.
    ///
    /// Returns whether it has waited.
    async fn wait_apart(
        &self,
        holder: &UpstreamId,
        requirements: &Requirements,
    ) -> Result<bool, Rejection> {
        if !self.view.crash_tracker.has_kept_apart(holder) {
            return Ok(false);
        }
        if Instant::now() >= requirements.deadline {
            return Err(Rejection::new(Reason::QueueFull));
        }
        // A streamed response ends without freeing a permit.
        let until = Instant::now() + APART_POLL_INTERVAL;
        sleep_until(requirements.deadline.min(until)).await;
        Ok(true)
    }

    /// Waits for a permit at a holder; returns `None` if the holder must be looked up again.
    async fn acquire_at_holder(
        &self,
        holder: &Upstream,
        requirements: &Requirements,
        key: Key,
    ) -> Result<Option<Permit>, Rejection> {
        tokio::select! {
            biased;
            permit = self.acquire_at(holder, requirements) => permit,
            () = self.wait_for_move(requirements, key, &holder.id) => Ok(None),
        }
    }

    /// Reserves what a request with a permit at a holder needs besides: room by the holder's limit and, while the
    /// holder warms up, a reservation of the leader.
    ///
    /// Returns `None` if it has waited, or the routing tables are newer than `version`: the key may have moved meanwhile.
    async fn reserve_at_holder(
        &self,
        holder: Arc<Upstream>,
        permit: Permit,
        version: Version,
        requirements: &Requirements,
        progress: &mut Progress,
    ) -> Result<Option<Selected>, Rejection> {
        let keys = &self.view.keys;
        let id = holder.id.clone();
        let is_reserved = progress.reserved.as_ref() == Some(&id);
        let is_due = is_reserved || keys.limits.acquire(&holder, Duration::ZERO).await.is_ok();
        if is_reserved || is_due && keys.routing_tables.version() == version {
            let reservation = &mut progress.reservation;
            let selected = self.reserve_holder(holder, permit, requirements, reservation);
            if let Some(selected) = selected.await? {
                return Ok(Some(selected));
            }
        } else {
            drop(permit);
            if !is_due {
                self.wait_for_limit(&holder, requirements).await?;
            }
        }
        progress.reserved = Some(id);
        Ok(None)
    }

    /// Waits until tables that are newer than `version` may name a holder, or some time has passed.
    ///
    /// Refuses the request if the service has upstreams in evacuated data centres only: its keys get no holder then.
    async fn wait_for_holder(
        &self,
        requirements: &Requirements,
        version: Version,
    ) -> Result<(), Rejection> {
        if self.view.registry().is_evacuated(&requirements.service) {
            return Err(unserved_rejection(Reason::NoUpstream));
        }
        let now = Instant::now();
        if now >= requirements.deadline {
            return Err(Rejection::new(Reason::Unowned));
        }
        let until = requirements.deadline.min(now + HOLDER_POLL_INTERVAL);
        let newer = self.view.keys.routing_tables.newer_than(version);
        let _ = timeout_at(until, newer).await;
        Ok(())
    }

    /// Refuses a request whose key is held where it must not be served.
    fn check_region(
        &self,
        holder: &UpstreamId,
        requirements: &Requirements,
    ) -> Result<(), Rejection> {
        if requirements.regions.is_empty() {
            return Ok(());
        }
        let registry = self.view.registry();
        match registry.get(holder) {
            Some(holder) if !self.is_allowed(holder, requirements) => {
                Err(unserved_rejection(Reason::NoRegion))
            }
            _ => Ok(()),
        }
    }

    /// Waits until a holder takes requests again, if it wants none and that ends before the deadline.
    ///
    /// Returns whether it has waited.
    async fn wait_until_open(
        &self,
        holder: &UpstreamId,
        requirements: &Requirements,
    ) -> Result<bool, Rejection> {
        let now = Instant::now();
        let Some(wait) = self.view.loads().closed_for(holder, now) else {
            return Ok(false);
        };
        if now + wait >= requirements.deadline {
            return Err(closed_rejection(wait));
        }
        sleep(wait).await;
        Ok(true)
    }

    /// Returns a holder unless it has been draining for too long.
    fn eligible_holder(&self, id: &UpstreamId) -> Option<Arc<Upstream>> {
        let registry = self.view.registry();
        let upstream = registry.get(id)?.clone();
        drop(registry);
        self.view.may_serve_keys(id).then_some(upstream)
    }
}
