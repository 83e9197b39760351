//! Selects the upstream for the next attempt of a request.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use crate::{
    queue::{Permit, Queues},
    rejection::Rejection,
    relay::Relay,
    view::View,
};
use copperwell_assignment::{table::Version, warmup::Reservation};
use copperwell_message::{HashSet, Reason};
use copperwell_routing::{
    Key, RegionName, ServiceName, UpstreamId,
    quarantine::{Admission, Fingerprint},
    registry::Upstream,
};
use rand::RngExt;
use tokio::time::{Instant, sleep};

/// The interval at which a request that waits for a holder checks whether none can be expected.
const HOLDER_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The minimum time after which a caller may retry if its service has no upstream where it may be served. Only the
/// operator ends that state, so its duration is unknown.
const UNSERVED_RETRY_AFTER: Duration = Duration::from_secs(1);

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
    /// The regions in which the request may be served; empty for all.
    pub(crate) regions: Vec<RegionName>,
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

/// What happens to a request if no upstream has a free permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WhenFull {
    /// It is queued for a permit.
    Queue,
    /// It is refused.
    Refuse,
}

/// Where the next attempt of a request goes.
#[derive(Debug)]
pub(crate) enum Selected {
    /// To this upstream, with a permit for one request.
    Upstream(Arc<Upstream>, Permit),
    /// To this upstream, which warms up, with a permit and this reservation.
    WarmingUp(Arc<Upstream>, Permit, Reservation),
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
        if !matches!(selected, Selected::Relay(_)) {
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
        if let Some(helper) = relays.and_then(|tried| self.relay_for(requirements, tried)) {
            return Ok(Selected::Relay(helper));
        }
        let cold = self.view.upstreams_warming_up(&requirements.service);
        if !cold.is_empty() {
            self.request_return_check(&cold, requirements);
            return self
                .select_warm_or_cold(&cold, requirements, attempted)
                .await;
        }
        let none = HashSet::default();
        self.select_any_except(&none, requirements, attempted, WhenFull::Queue)
            .await
    }

    /// Selects an upstream as [`Self::select_any`] does, but none of `excluded`.
    async fn select_any_except(
        &self,
        excluded: &HashSet<UpstreamId>,
        requirements: &Requirements,
        attempted: &[UpstreamId],
        when_full: WhenFull,
    ) -> Result<Selected, Rejection> {
        let limits = &self.view.keys.limits;
        let mut full: Vec<(Duration, Arc<Upstream>)> = Vec::new();
        loop {
            let chosen = self.choose_or_wait(requirements, attempted, &full, excluded, when_full);
            match chosen.await {
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

    /// Chooses an upstream and takes a permit there, but at none of `full` and `excluded` and, if others are left, none
    /// that this daemon does not reach.
    fn choose(
        &self,
        requirements: &Requirements,
        attempted: &[UpstreamId],
        full: &[(Duration, Arc<Upstream>)],
        excluded: &HashSet<UpstreamId>,
    ) -> Result<(Arc<Upstream>, Permit), Rejection> {
        let mut avoided = self.view.crash_tracker.upstreams_kept_apart();
        avoided.extend_from_slice(attempted);
        // A request may have been queued since it was decided which upstreams warm up.
        let cold = match excluded.is_empty() {
            true => HashSet::default(),
            false => self.view.upstreams_warming_up(&requirements.service),
        };
        let registry = self.view.registry();
        let mut upstreams = registry.of_service(&requirements.service);
        if upstreams.iter().all(|upstream| upstream.is_draining) {
            return Err(match registry.is_evacuated(&requirements.service) {
                true => unserved_rejection(Reason::NoUpstream),
                false => Rejection::new(Reason::NoUpstream),
            });
        }
        let in_regions: Vec<_>;
        if !requirements.regions.is_empty() {
            let allowed = |one: &&Arc<Upstream>| self.is_allowed(one, requirements);
            in_regions = upstreams.iter().filter(allowed).cloned().collect();
            if in_regions.iter().all(|upstream| upstream.is_draining) {
                return Err(unserved_rejection(Reason::NoRegion));
            }
            upstreams = &in_regions;
        }
        let remaining: Vec<_>;
        if !full.is_empty() || !excluded.is_empty() {
            let is_excluded = |id: &UpstreamId| {
                excluded.contains(id) && (cold.contains(id) || attempted.contains(id))
                    || full.iter().any(|(_, upstream)| upstream.id == *id)
            };
            let others = upstreams
                .iter()
                .filter(|upstream| !is_excluded(&upstream.id));
            remaining = others.cloned().collect();
            upstreams = &remaining;
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
        loads.set_daemons(self.view.keys.daemons.load(Ordering::Relaxed));
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

    /// Returns whether an upstream is in a region in which the request may be served.
    fn is_allowed(&self, upstream: &Upstream, requirements: &Requirements) -> bool {
        self.view
            .is_in_regions(&upstream.zone, &requirements.regions)
    }
}

/// Returns the refusal of a request whose upstreams want none for `wait`.
fn closed_rejection(wait: Duration) -> Rejection {
    // Spreads the callers that are told the same time.
    let spread = rand::rng().random_range(1.0..1.5);
    Rejection::new(Reason::UpstreamClosed).with_retry_after(wait.mul_f64(spread))
}

/// Returns the refusal of a request whose service has no upstream where it may be served.
fn unserved_rejection(reason: Reason) -> Rejection {
    // Spreads the callers that are told the same time.
    let spread = rand::rng().random_range(1.0..2.0);
    Rejection::new(reason).with_retry_after(UNSERVED_RETRY_AFTER.mul_f64(spread))
}

mod cold;
mod holder;
mod permits;
mod relays;
mod returned;

#[cfg(test)]
mod tests;
