//! Selects the upstream for the next attempt of a request.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    queue::{Permit, Queues},
    rejection::Rejection,
    relay::Relay,
    view::View,
};
use copperwell_assignment::table::Version;
use copperwell_message::Reason;
use copperwell_routing::{
    Key, ServiceName, UpstreamId,
    quarantine::{Admission, Fingerprint},
    registry::Upstream,
};
use rand::RngExt;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// How often a request that is to be kept apart looks whether the other one has ended.
const APART_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The requirements of a request for its upstream.
#[derive(Debug, Clone)]
pub(crate) struct Requirements {
    /// The request.
    pub(crate) request: Fingerprint,
    /// The service.
    pub(crate) service: ServiceName,
    /// The key, if the service is partitioned by key.
    pub(crate) key: Option<Key>,
    /// The priority among requests for the service; the lowest number goes first.
    pub(crate) priority: u32,
    /// When the request stops waiting for an upstream.
    pub(crate) deadline: Instant,
    /// When the request arrived.
    pub(crate) arrived: Instant,
    /// Until when an answer has its full value.
    pub(crate) objective: Instant,
    /// Until when the caller waits for an answer.
    pub(crate) answer_deadline: Instant,
    /// How long a request of its route usually takes at an upstream.
    pub(crate) work: Duration,
}

/// Selects upstreams for requests.
#[derive(Debug)]
pub(crate) struct Selector {
    pub(crate) view: Arc<View>,
    pub(crate) queues: Arc<Queues>,
    pub(crate) relay: Arc<Relay>,
}

/// Where the next attempt of a request goes.
#[derive(Debug)]
pub(crate) enum Selected {
    /// To this upstream, with a permit for one request.
    Upstream(Arc<Upstream>, Permit),
    /// Through the daemon at this address, which reaches an upstream that this one does not.
    Relay(SocketAddr),
}

impl Selector {
    /// Returns where the next attempt of a request goes, once its upstream has capacity.
    ///
    /// `relays` are the daemons through which it was tried already; `None` if it must not be relayed. `attempted`
    /// are the upstreams of earlier attempts. `stale_version` is a version of the routing tables by which an attempt
    /// was misdirected. A request that crashes upstreams is refused, and one that
    /// may do so is not sent to an upstream that has another such request.
    pub(crate) async fn select(
        &self,
        requirements: &Requirements,
        attempted: &[UpstreamId],
        stale_version: Option<Version>,
        relays: Option<&[SocketAddr]>,
    ) -> Result<Selected, Rejection> {
        let is_apart = self.check_quarantine(requirements.request)? == Admission::Apart;
        let selected = match requirements.key {
            Some(key) => {
                self.select_holder(requirements, key, stale_version, is_apart, relays)
                    .await?
            }
            None => self.select_any(requirements, attempted, relays).await?,
        };
        if matches!(selected, Selected::Upstream(..)) {
            // The request may have waited, and may have crashed upstreams elsewhere meanwhile.
            self.check_quarantine(requirements.request)?;
        }
        Ok(selected)
    }

    /// Returns how a request may run, or the refusal if it crashes upstreams.
    fn check_quarantine(&self, request: Fingerprint) -> Result<Admission, Rejection> {
        match self.view.crash_tracker.admit(request) {
            Admission::Refused(left) => {
                Err(Rejection::new(Reason::Quarantined).with_retry_after(left))
            }
            admission => Ok(admission),
        }
    }

    /// Returns the upstream that can serve a request soonest, if possible not one of `attempted` and without
    /// requests that may crash it.
    ///
    /// If only upstreams are left that have no room by their limit, waits for the one that has room first, or
    /// refuses the request at once if that is too late.
    async fn select_any(
        &self,
        requirements: &Requirements,
        attempted: &[UpstreamId],
        relays: Option<&[SocketAddr]>,
    ) -> Result<Selected, Rejection> {
        if let Some(helper) = relays.and_then(|tried| self.relay_for(&requirements.service, tried))
        {
            return Ok(Selected::Relay(helper));
        }
        let limits = &self.view.keys.limits;
        let mut full: Vec<(Duration, Arc<Upstream>)> = Vec::new();
        loop {
            match self.choose_or_wait(requirements, attempted, &full).await {
                Ok((upstream, permit)) => match limits.acquire(&upstream, Duration::ZERO).await {
                    Ok(_) => return Ok(Selected::Upstream(upstream, permit)),
                    Err(wait) => full.push((wait, upstream)),
                },
                Err(rejection) => {
                    let Some((_, upstream)) = full.iter().min_by_key(|(wait, _)| *wait) else {
                        return Err(rejection);
                    };
                    self.wait_for_limit(upstream, requirements).await?;
                    self.view.loads().record_start(&upstream.id, Instant::now());
                    let permit = self.permit_of(upstream, requirements);
                    return Ok(Selected::Upstream(upstream.clone(), permit));
                }
            }
        }
    }

    /// Returns a daemon that reaches upstreams of a service of which this one reaches none.
    fn relay_for(&self, service: &ServiceName, tried: &[SocketAddr]) -> Option<SocketAddr> {
        if !self.view.paths.has_lost() {
            return None;
        }
        let registry = self.view.registry();
        let upstreams = registry.of_service(service).iter();
        let usable: Vec<_> = upstreams.filter(|one| !one.is_draining).collect();
        let reach = self.view.paths.reach();
        let is_any_usable = usable.iter().any(|one| !reach.is_unusable(&one.id));
        drop(reach);
        if is_any_usable {
            return None;
        }
        self.relay.choose(usable.iter().map(|one| &one.id), tried)
    }

    /// Returns whether a request can be sent through another daemon than those of `tried`.
    pub(crate) fn can_relay(&self, requirements: &Requirements, tried: &[SocketAddr]) -> bool {
        let service = &requirements.service;
        let Some(key) = requirements.key else {
            return self.relay_for(service, tried).is_some();
        };
        let served = self.view.keys.routing_tables.served(service, key);
        served.is_some_and(|served| self.relay_to(&served.upstream, tried).is_some())
    }

    /// Returns a daemon that reaches a holder that this one does not.
    fn relay_to(&self, holder: &UpstreamId, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let is_unusable = self.view.paths.has_lost() && self.view.paths.reach().is_unusable(holder);
        is_unusable
            .then(|| self.relay.choose([holder], tried))
            .flatten()
    }

    /// Chooses an upstream and takes a permit there, but at none of `full` and, if others are left, none that this daemon
    /// does not reach.
    fn choose(
        &self,
        requirements: &Requirements,
        attempted: &[UpstreamId],
        full: &[(Duration, Arc<Upstream>)],
    ) -> Result<(Arc<Upstream>, Permit), Rejection> {
        let mut avoided = self.view.crash_tracker.upstreams_kept_apart();
        avoided.extend_from_slice(attempted);
        let registry = self.view.registry();
        let mut upstreams = registry.of_service(&requirements.service);
        if upstreams.iter().all(|upstream| upstream.is_draining) {
            return Err(Rejection::new(Reason::NoUpstream));
        }
        let with_room: Vec<_>;
        if !full.is_empty() {
            let is_full = |id: &UpstreamId| full.iter().any(|(_, upstream)| upstream.id == *id);
            let others = upstreams.iter().filter(|upstream| !is_full(&upstream.id));
            with_room = others.cloned().collect();
            upstreams = &with_room;
        }
        let reachable: Vec<_>;
        if self.view.paths.has_lost() {
            let reach = self.view.paths.reach();
            let usable = upstreams.iter().filter(|one| !reach.is_unusable(&one.id));
            reachable = usable.cloned().collect();
            if reachable.iter().any(|one| !one.is_draining) {
                upstreams = &reachable;
            }
        }
        let now = Instant::now();
        let zone = &self.view.zone;
        let mut random = rand::rng();
        let mut loads = self.view.loads();
        let chosen = loads.choose(upstreams, zone, &avoided, now, &mut random);
        if let Some(chosen) = chosen.cloned() {
            // Nobody else is given the same place as long as the lock is held.
            loads.record_start(&chosen.id, now);
            drop(loads);
            let permit = self.permit_of(&chosen, requirements);
            return Ok((chosen, permit));
        }
        Err({
            let usable = upstreams.iter().filter(|one| !one.is_draining);
            let closed: Option<Vec<_>> = usable.map(|one| loads.closed_for(&one.id, now)).collect();
            match closed.and_then(|closed| closed.into_iter().min()) {
                Some(wait) => closed_rejection(wait),
                None => Rejection::new(Reason::QueueFull),
            }
        })
    }

    /// Reserves a request to an upstream and waits until it is due by the upstream's limit.
    async fn wait_for_limit(
        &self,
        upstream: &Upstream,
        requirements: &Requirements,
    ) -> Result<(), Rejection> {
        let patience = requirements
            .deadline
            .saturating_duration_since(Instant::now());
        match self.view.keys.limits.acquire(upstream, patience).await {
            Ok(wait) => {
                sleep(wait).await;
                Ok(())
            }
            Err(wait) => {
                // Spreads the callers that are told the same time.
                let spread = rand::rng().random_range(1.0..2.0);
                let retry_after = wait.mul_f64(spread);
                Err(Rejection::new(Reason::UpstreamLimit).with_retry_after(retry_after))
            }
        }
    }

    /// Waits until a key has a holder with capacity, and returns the holder.
    async fn select_holder(
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
            let _ = timeout_at(
                requirements.deadline,
                routing_tables.newer_than(stale_version),
            )
            .await;
        }
        // Admission control applies once, and not to a retry after a stale routing table.
        let mut is_admitted = stale_version.is_some();
        let mut reserved = None;
        loop {
            let version = routing_tables.tables().version;
            let served = routing_tables.served(&requirements.service, key);
            // The daemon that helps decides on the admission.
            if let Some(served) = &served
                && let Some(helper) =
                    relays.and_then(|tried| self.relay_to(&served.upstream, tried))
            {
                return Ok(Selected::Relay(helper));
            }
            if let Some(served) = &served
                && !is_admitted
            {
                let view = &self.view;
                let class = requirements.class();
                is_admitted = view.admits(&requirements.service, class, served.admitted_share);
                if !is_admitted {
                    return Err(Rejection::new(Reason::Overload));
                }
            }
            let upstream = served.and_then(|served| self.eligible_holder(&served.upstream));
            let Some(upstream) = upstream else {
                let update = timeout_at(requirements.deadline, routing_tables.newer_than(version));
                if update.await.is_err() {
                    return Err(Rejection::new(Reason::Unowned));
                }
                continue;
            };
            if self.wait_until_open(&upstream.id, requirements).await? {
                continue;
            }
            if is_apart && self.view.crash_tracker.has_kept_apart(&upstream.id) {
                if Instant::now() >= requirements.deadline {
                    return Err(Rejection::new(Reason::QueueFull));
                }
                // A streamed response ends without freeing a permit.
                let until = Instant::now() + APART_POLL_INTERVAL;
                sleep_until(requirements.deadline.min(until)).await;
                continue;
            }
            let permit = tokio::select! {
                biased;
                permit = self.acquire_at(&upstream, requirements) => permit?,
                () = self.wait_for_move(requirements, key, &upstream.id) => continue,
            };
            let Some(permit) = permit else {
                continue;
            };
            if reserved.as_ref() == Some(&upstream.id) {
                return Ok(Selected::Upstream(upstream, permit));
            }
            let limits = &self.view.keys.limits;
            let is_due = limits.acquire(&upstream, Duration::ZERO).await.is_ok();
            if is_due && routing_tables.version() == version {
                return Ok(Selected::Upstream(upstream, permit));
            }
            drop(permit);
            if !is_due {
                self.wait_for_limit(&upstream, requirements).await?;
            }
            // The key may have moved meanwhile.
            reserved = Some(upstream.id.clone());
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

/// Returns the refusal of a request whose upstreams want none for `wait`.
fn closed_rejection(wait: Duration) -> Rejection {
    // Spreads the callers that are told the same time.
    let spread = rand::rng().random_range(1.0..1.5);
    Rejection::new(Reason::UpstreamClosed).with_retry_after(wait.mul_f64(spread))
}

mod permits;

#[cfg(test)]
mod tests;
