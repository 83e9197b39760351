//! Whether upstreams have capacity for further requests.

use super::QueueId;
use crate::view::View;
use copperwell_routing::{load::Loads, registry::Upstream};
use tokio::time::Instant;

/// Returns whether an upstream accepts one more request of this daemon.
pub(super) fn accepts_request(loads: &Loads, upstream: &Upstream, now: Instant) -> bool {
    loads.closed_for(&upstream.id, now).is_none() && loads.has_capacity(upstream)
}

/// Returns whether a queued request should try to acquire a permit.
///
/// This is also true if it would not get one but should stop waiting: if its holder has left or asks for no requests,
/// or if no upstream of its service is left.
pub(super) fn may_have_permit(view: &View, queue: &QueueId) -> bool {
    let now = Instant::now();
    let registry = view.registry();
    match queue {
        QueueId::Holder(id) => {
            let upstream = registry.get(id);
            upstream.is_none_or(|upstream| {
                let loads = view.loads();
                loads.closed_for(id, now).is_some() || loads.has_capacity(upstream)
            })
        }
        QueueId::Service(service) => {
            let usable: Vec<_> = registry
                .of_service(service)
                .iter()
                .filter(|one| !one.is_draining)
                .collect();
            let lost = view.paths.has_lost();
            let is_lost = |one: &Upstream| lost && view.paths.reach().is_unusable(&one.id);
            let is_all_lost = usable.iter().all(|one| is_lost(one));
            usable.is_empty()
                || usable.iter().any(|one| {
                    (is_all_lost || !is_lost(one)) && accepts_request(&view.loads(), one, now)
                })
        }
    }
}

/// Returns the number of requests in flight at the upstreams of a queue, which is the number of permits in use.
pub(super) fn permits_in_use(view: &View, queue: &QueueId) -> u32 {
    let registry = view.registry();
    let loads = view.loads();
    match queue {
        QueueId::Holder(id) => loads.in_flight(id),
        QueueId::Service(service) => {
            let upstreams = registry.of_service(service).iter();
            upstreams.map(|one| loads.in_flight(&one.id)).sum()
        }
    }
}
