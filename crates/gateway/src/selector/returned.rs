//! Requests health checks of upstreams that have returned from an evacuation, and waits for the answers.

use std::time::Duration;

use super::{Requirements, Selected, Selector, WhenFull};
use copperwell_message::HashSet;
use copperwell_routing::{UpstreamId, registry::Upstream};
use tokio::time::{Instant, timeout_at};

/// The maximum time for which a request waits for health checks if no other upstream has capacity. Upstreams answer
/// immediately, and the checks are spread over half of this time.
const CHECK_WAIT_MAX: Duration = Duration::from_millis(300);

impl Selector {
    /// Requests a health check of the upstream to which the request would be sent if all of `cold` that have returned from
    /// an evacuation were warm, if it is one of these.
    pub(super) fn request_return_check(
        &self,
        cold: &HashSet<UpstreamId>,
        requirements: &Requirements,
    ) {
        let service = &requirements.service;
        let returned = self.view.unchecked_returned(service);
        if returned.is_empty() {
            return;
        }
        let registry = self.view.registry();
        let upstreams = registry.of_service(service).iter();
        let candidates = upstreams.filter(|one| {
            let may_be_warm = !cold.contains(&one.id) || returned.contains(&one.id);
            may_be_warm && self.is_in_regions(one, requirements)
        });
        let candidates: Vec<_> = candidates.cloned().collect();
        drop(registry);
        let now = Instant::now();
        let mut loads = self.view.loads();
        let must_be_checked = |id: &str| returned.contains(id);
        let (zone, random) = (&self.view.zone, &mut rand::rng());
        let chosen = loads.choose_unchecked(&candidates, zone, must_be_checked, now, random);
        let chosen = chosen.map(|one| one.id.clone());
        drop(loads);
        if let Some(id) = chosen.filter(|id| returned.contains(id)) {
            self.view.request_return_check(&id);
        }
    }

    /// Waits until upstreams that have returned are found warm, and selects one of them; `None` if none is in time.
    pub(super) async fn select_returned(
        &self,
        requirements: &Requirements,
        attempted: &[UpstreamId],
    ) -> Option<Selected> {
        let until = requirements.deadline.min(Instant::now() + CHECK_WAIT_MAX);
        let service = &requirements.service;
        loop {
            let checked = self.view.return_checked();
            if !self.view.awaits_return_check(service) {
                return None;
            }
            timeout_at(until, checked).await.ok()?;
            let mut excluded = self.view.upstreams_warming_up(service);
            excluded.extend(attempted.iter().cloned());
            let warm = self.select_any_except(&excluded, requirements, attempted, WhenFull::Refuse);
            if let Ok(selected) = warm.await {
                return Some(selected);
            }
        }
    }

    /// Waits for the answer to a health check of a holder that has returned; returns whether it has been found warm.
    pub(super) async fn wait_for_return_check(
        &self,
        holder: &Upstream,
        requirements: &Requirements,
    ) -> bool {
        let until = requirements.deadline.min(Instant::now() + CHECK_WAIT_MAX);
        loop {
            let checked = self.view.return_checked();
            if self.view.warming_up(holder).is_none() {
                return true;
            }
            let is_awaited = self.view.awaits_return_check_of(&holder.id);
            if !is_awaited || timeout_at(until, checked).await.is_err() {
                return false;
            }
        }
    }

    fn is_in_regions(&self, upstream: &Upstream, requirements: &Requirements) -> bool {
        requirements.regions.is_empty() || self.is_allowed(upstream, requirements)
    }
}
