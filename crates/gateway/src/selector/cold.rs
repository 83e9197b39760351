//! Selects upstreams that warm up, for requests that no other upstream can serve.

use std::{sync::Arc, time::Duration};

use super::{Patience, Requirements, Selected, Selector};
use crate::{queue::Permit, rejection::Rejection, warmup::WarmingUp};
use copperwell_assignment::warmup::{Refused, Reservation};
use copperwell_message::{HashSet, Reason};
use copperwell_routing::{UpstreamId, registry::Upstream};
use rand::{RngExt, seq::SliceRandom};
use tokio::time::Instant;

/// The upstreams for which the leader is asked in turn, as each question takes time.
const ASKED_MAX: usize = 3;

impl Selector {
    /// Selects an upstream that is not one of `cold` if one of them has room, or else one of `cold`.
    pub(super) async fn select_any_beside(
        &self,
        cold: &HashSet<UpstreamId>,
        requirements: &Requirements,
        attempted: &[UpstreamId],
    ) -> Result<Selected, Rejection> {
        let mut excluded = cold.clone();
        excluded.extend(attempted.iter().cloned());
        let warm = self.select_any_but(&excluded, requirements, attempted, Patience::None);
        if let Ok(selected) = warm.await {
            return Ok(selected);
        }
        if let Some(selected) = self.select_returned(requirements, attempted).await {
            return Ok(selected);
        }
        let is_any_warm = {
            let registry = self.view.registry();
            let mut upstreams = registry.of_service(&requirements.service).iter();
            upstreams.any(|one| !one.is_draining && !cold.contains(&one.id))
        };
        match self.select_cold(cold, requirements, is_any_warm).await {
            Ok(selected) => Ok(selected),
            Err(rejection) if !is_any_warm => Err(rejection),
            // An upstream where an attempt failed is better than none.
            Err(_) => {
                self.select_any_but(cold, requirements, attempted, Patience::Queue)
                    .await
            }
        }
    }

    /// Selects one of `cold` that has room, and waits until a request there is due; it does not wait if `is_any_warm`,
    /// as that one may have room sooner.
    async fn select_cold(
        &self,
        cold: &HashSet<UpstreamId>,
        requirements: &Requirements,
        is_any_warm: bool,
    ) -> Result<Selected, Rejection> {
        let mut least: Option<(Duration, Arc<Upstream>)> = None;
        for upstream in self.usable_cold(cold) {
            match self.reserve(&upstream, Duration::ZERO).await {
                Ok(reservation) => return self.with_permit(upstream, reservation, requirements),
                Err(wait) if least.as_ref().is_none_or(|(least, _)| wait < *least) => {
                    least = Some((wait, upstream));
                }
                Err(_) => {}
            }
        }
        let Some((wait, upstream)) = least else {
            return Err(Rejection::new(Reason::QueueFull));
        };
        let now = Instant::now();
        let patience = requirements.deadline.saturating_duration_since(now);
        if is_any_warm || wait > patience {
            return Err(rejection_after(wait));
        }
        match self.reserve(&upstream, patience).await {
            Ok(reservation) => {
                if let Some(reservation) = &reservation {
                    reservation.wait_due().await;
                }
                self.with_permit(upstream, reservation, requirements)
            }
            Err(wait) => Err(rejection_after(wait)),
        }
    }

    /// Takes a permit at an upstream for which a request has a reservation, or needs none.
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

    /// Returns some of `cold` at which this daemon may have a request in flight, in random order.
    fn usable_cold(&self, cold: &HashSet<UpstreamId>) -> Vec<Arc<Upstream>> {
        let registry = self.view.registry();
        let upstreams = cold.iter().filter_map(|id| registry.get(id).cloned());
        let mut upstreams: Vec<_> = upstreams.filter(|one| !one.is_draining).collect();
        drop(registry);
        let reach = self.view.paths.reach();
        upstreams.retain(|one| !reach.is_unusable(&one.id));
        drop(reach);
        let loads = self.view.loads();
        let now = Instant::now();
        upstreams.retain(|one| loads.has_capacity(one) && loads.closed_for(&one.id, now).is_none());
        drop(loads);
        upstreams.shuffle(&mut rand::rng());
        upstreams.truncate(ASKED_MAX);
        upstreams
    }

    /// Returns where a request for a key of `holder` goes: there, with a reservation if it warms up. Returns `None` if
    /// it has waited for that, as the key may have moved meanwhile.
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
        // Others may use the place meanwhile.
        drop(permit);
        self.view.request_return_check(&holder.id);
        if self.wait_for_return_check(&holder, requirements).await {
            return Ok(None);
        }
        let patience = requirements.deadline.saturating_duration_since(now);
        match self.reserve(&holder, patience).await {
            Ok(Some(reserved)) => {
                reserved.wait_due().await;
                *reservation = Some(reserved);
                Ok(None)
            }
            // It has become warm meanwhile.
            Ok(None) => Ok(None),
            Err(wait) => Err(rejection_after(wait)),
        }
    }

    /// Reserves a request to an upstream if that is due within `patience`; returns `None` if the upstream does not warm
    /// up.
    ///
    /// # Errors
    ///
    /// Returns how long it would have to wait if that is longer, or until the upstream is warm if no leader answers.
    async fn reserve(
        &self,
        upstream: &Upstream,
        patience: Duration,
    ) -> Result<Option<Reservation>, Duration> {
        let Some(WarmingUp { limit, left }) = self.view.warming_up(upstream) else {
            return Ok(None);
        };
        let warmups = &self.view.keys.warmups;
        match warmups.acquire(&upstream.id, limit, patience).await {
            Ok(reservation) => Ok(Some(reservation)),
            Err(Refused::Full(wait)) => Err(wait.min(left)),
            Err(Refused::NoLeader) => Err(left),
        }
    }
}

/// Returns the refusal of a request for which there is room only after `wait`.
fn rejection_after(wait: Duration) -> Rejection {
    // Spreads the callers that are told the same time.
    let spread = rand::rng().random_range(1.0..1.5);
    Rejection::new(Reason::UpstreamLimit).with_retry_after(wait.mul_f64(spread))
}
