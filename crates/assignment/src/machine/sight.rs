//! What the leader sees of upstreams and store.

use std::{sync::Arc, time::Duration};

use copperwell_message::HashMap;
use copperwell_routing::{UpstreamId, registry::Upstream};

/// What the leader knows beside its own orders.
#[derive(Debug, Clone)]
pub struct Sight<'a> {
    /// The upstreams of the service.
    pub(super) upstreams: &'a [Arc<Upstream>],
    pub(super) by_id: HashMap<&'a UpstreamId, &'a Upstream>,
    /// The upstreams of all services.
    pub(super) all: &'a [Arc<Upstream>],
    /// When the reading that gave them began.
    pub(super) listed_at: Duration,
    /// Whether the store does not answer.
    pub(super) is_store_away: bool,
}

impl<'a> Sight<'a> {
    /// The upstreams of the service, and those of all services, as a reading that began at
    /// `listed_at` gave them.
    #[must_use]
    pub fn new(
        upstreams: &'a [Arc<Upstream>],
        all: &'a [Arc<Upstream>],
        listed_at: Duration,
    ) -> Self {
        Self {
            upstreams,
            by_id: upstreams.iter().map(|one| (&one.id, &**one)).collect(),
            all,
            listed_at,
            is_store_away: false,
        }
    }

    /// Says whether the store does not answer.
    #[must_use]
    pub fn with_store_away(mut self, is_away: bool) -> Self {
        self.is_store_away = is_away;
        self
    }

    /// The upstream of the service with this name.
    pub(super) fn of(&self, id: &UpstreamId) -> Option<&'a Upstream> {
        self.by_id.get(id).copied()
    }
}
