//! Selects cold upstreams, which are those that warm up, for requests that no warm upstream can serve.
//!
//! A request to a cold upstream needs a reservation from the leader, which limits the rate of all daemons together.

use std::{sync::Arc, time::Duration};

use super::{Requirements, Selected, Selector, WhenFull};
use crate::{queue::Permit, rejection::Rejection, warmup::WarmingUp};
use copperwell_assignment::warmup::{Refused, Reservation};
use copperwell_message::{HashSet, Reason};
use copperwell_routing::{UpstreamId, registry::Upstream};
use rand::{RngExt, seq::SliceRandom};
use tokio::time::Instant;

/// The maximum number of upstreams for which a reservation is requested, one after the other. Each request to the
/// leader delays the caller's.
const CANDIDATES_MAX: usize = 3;

impl Selector {
    /// Selects a warm upstream if one has capacity, and otherwise one of `cold`.
    pub(super) async fn select_warm_or_cold(
        &self,
        cold: &HashSet<UpstreamId>,
        requirements: &Requirements,
        attempted: &[UpstreamId],
    ) -> Result<Selected, Rejection> {
        let mut excluded = cold.clone();
        excluded.extend(attempted.iter().cloned());
        let warm = self.select_any_except(&excluded, requirements, attempted, WhenFull::Refuse);
        match warm.await {
            Err(rejection) if rejection.reason != Reason::NoRegion => {}
            // Outside of the regions, no upstream is an alternative, warm or cold.
            result => return result,
        }
        if let Some(selected) = self.select_returned(requirements, attempted).await {
            return Ok(selected);
        }
        let is_any_warm = {
            let registry = self.view.registry();
            let mut upstreams = registry.of_service(&requirements.service).iter();
            upstreams.any(|one| {
                let is_usable = !one.is_draining && self.is_allowed(one, requirements);
                is_usable && !cold.contains(&one.id)
            })
        };
        match self.select_cold(cold, requirements, is_any_warm).await {
            Ok(selected) => Ok(selected),
            Err(rejection) if !is_any_warm => Err(rejection),
            // Waits for a warm upstream, which may be one of `attempted`: retrying there is better than refusing.
            Err(_) => {
                self.select_any_except(cold, requirements, attempted, WhenFull::Queue)
                    .await
            }
        }
    }

    /// Selects one of `cold` that has capacity, and waits until its reservation is due.
    ///
    /// It does not wait if `is_any_warm`, since a warm upstream may have capacity sooner.
    async fn select_cold(
        &self,
        cold: &HashSet<UpstreamId>,
        requirements: &Requirements,
        is_any_warm: bool,
    ) -> Result<Selected, Rejection> {
        let mut soonest: Option<(Duration, Arc<Upstream>)> = None;
        for upstream in self.usable_cold(cold, requirements) {
            match self.reserve(&upstream, Duration::ZERO).await {
                Ok(reservation) => return self.with_permit(upstream, reservation, requirements),
                Err(wait) if soonest.as_ref().is_none_or(|(known, _)| wait < *known) => {
                    soonest = Some((wait, upstream));
                }
                Err(_) => {}
            }
        }
        let Some((wait, upstream)) = soonest else {
            return Err(Rejection::new(Reason::QueueFull));
        };
        let now = Instant::now();
        let wait_max = requirements.deadline.saturating_duration_since(now);
        if is_any_warm || wait > wait_max {
            return Err(rejection_after(wait));
        }
        match self.reserve(&upstream, wait_max).await {
            Ok(reservation) => {
                if let Some(reservation) = &reservation {
                    reservation.wait_due().await;
                }
                self.with_permit(upstream, reservation, requirements)
            }
            Err(wait) => Err(rejection_after(wait)),
        }
    }

    /// Acquires a permit at an upstream for which the request has a reservation, or needs none.
    fn with_permit(
        &self,
        upstream: Arc<Upstream>,
        reservation: Option<Reservation>,
        requirements: &Requirements,
    ) -> Result<Selected, Rejection> {
        let permit = self.try_permit(&upstream, requirements)?;
        Ok(match reservation {
            Some(reservation) => Selected::WarmingUp(upstream, permit, reservation),
            None => Selected::Upstream(upstream, permit),
        })
    }

    /// Returns up to [`CANDIDATES_MAX`] of `cold` that accept the request from this daemon, in random order.
    fn usable_cold(
        &self,
        cold: &HashSet<UpstreamId>,
        requirements: &Requirements,
    ) -> Vec<Arc<Upstream>> {
        let registry = self.view.registry();
        let upstreams = cold.iter().filter_map(|id| registry.get(id).cloned());
        let may_serve =
            |one: &Arc<Upstream>| !one.is_draining && self.is_allowed(one, requirements);
        let mut upstreams: Vec<_> = upstreams.filter(may_serve).collect();
        drop(registry);
        let reach = self.view.paths.reach();
        upstreams.retain(|one| !reach.is_unusable(&one.id));
        drop(reach);
        let loads = self.view.loads();
        let now = Instant::now();
        upstreams.retain(|one| loads.has_capacity(one) && loads.closed_for(&one.id, now).is_none());
        drop(loads);
        upstreams.shuffle(&mut rand::rng());
        upstreams.truncate(CANDIDATES_MAX);
        upstreams
    }

    /// Selects the holder of a key, with a reservation if it warms up.
    ///
    /// Returns `None` after waiting for a reservation, which is then stored in `reservation`. The key may have moved
    /// meanwhile, so that the caller must look up the holder again.
    pub(super) async fn reserve_holder(
        &self,
        holder: Arc<Upstream>,
        permit: Permit,
        requirements: &Requirements,
        reservation: &mut Option<Reservation>,
    ) -> Result<Option<Selected>, Rejection> {
        let now = Instant::now();
        let valid = reservation
            .take()
            .filter(|one| one.is_valid(&holder.id, now));
        if let Some(reservation) = valid {
            return Ok(Some(Selected::WarmingUp(holder, permit, reservation)));
        }
        if self.view.warming_up(&holder).is_none() {
            return Ok(Some(Selected::Upstream(holder, permit)));
        }
        // Other requests may use the permit while this one waits.
        drop(permit);
        self.view.request_return_check(&holder.id);
        if self.wait_for_return_check(&holder, requirements).await {
            return Ok(None);
        }
        let wait_max = requirements.deadline.saturating_duration_since(now);
        match self.reserve(&holder, wait_max).await {
            Ok(Some(reserved)) => {
                reserved.wait_due().await;
                *reservation = Some(reserved);
                Ok(None)
            }
            // The holder has become warm since the check above.
            Ok(None) => Ok(None),
            Err(wait) => Err(rejection_after(wait)),
        }
    }

    /// Reserves a request to an upstream, if it is due within `wait_max`; returns `None` if the upstream does not warm
    /// up.
    ///
    /// # Errors
    ///
    /// Returns the time until a request would be due, or until the upstream is warm if no leader answers.
    async fn reserve(
        &self,
        upstream: &Upstream,
        wait_max: Duration,
    ) -> Result<Option<Reservation>, Duration> {
        let Some(WarmingUp { limit, left }) = self.view.warming_up(upstream) else {
            return Ok(None);
        };
        let warmups = &self.view.keys.warmups;
        match warmups.acquire(&upstream.id, limit, wait_max).await {
            Ok(reservation) => Ok(Some(reservation)),
            Err(Refused::Full(wait)) => Err(wait.min(left)),
            Err(Refused::NoLeader) => Err(left),
        }
    }
}

/// Returns the refusal of a request that could be sent only after `wait`.
fn rejection_after(wait: Duration) -> Rejection {
    // Jitter, so that callers that are refused together do not retry together.
    let jitter = rand::rng().random_range(1.0..1.5);
    Rejection::new(Reason::UpstreamLimit).with_retry_after(wait.mul_f64(jitter))
}
