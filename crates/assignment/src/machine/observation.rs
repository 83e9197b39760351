//! The leader's view of upstreams and the store.

use std::{sync::Arc, time::Duration};

use copperwell_message::HashMap;
use copperwell_routing::{UpstreamId, registry::Upstream};

/// Facts that the leader observes, apart from the outcomes of its orders.
#[derive(Debug, Clone)]
pub struct Observation<'a> {
    /// The upstreams of the service.
    pub(super) upstreams: &'a [Arc<Upstream>],
    pub(super) by_id: HashMap<&'a UpstreamId, &'a Upstream>,
    /// The upstreams of all services.
    pub(super) all: &'a [Arc<Upstream>],
    /// When the reading of these lists started.
    pub(super) list_read_at: Duration,
    /// Whether the store is unreachable.
    pub(super) is_store_unreachable: bool,
}

impl<'a> Observation<'a> {
    /// Creates an observation from the upstreams of the service and those of all services, whose
    /// reading started at `list_read_at`.
    #[must_use]
    pub fn new(
        upstreams: &'a [Arc<Upstream>],
        all: &'a [Arc<Upstream>],
        list_read_at: Duration,
    ) -> Self {
        Self {
            upstreams,
            by_id: upstreams.iter().map(|one| (&one.id, &**one)).collect(),
            all,
            list_read_at,
            is_store_unreachable: false,
        }
    }

    /// Sets whether the store is unreachable.
    #[must_use]
    pub fn with_store_unreachable(mut self, is_unreachable: bool) -> Self {
        self.is_store_unreachable = is_unreachable;
        self
    }

    /// Returns the upstream of the service with this id.
    pub(super) fn upstream(&self, id: &UpstreamId) -> Option<&'a Upstream> {
        self.by_id.get(id).copied()
    }
}
