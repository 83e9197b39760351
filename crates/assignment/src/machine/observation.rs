//! The leader's view of upstreams and the store.

use std::{sync::Arc, time::Duration};

use copperwell_message::{HashMap, HashSet};
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
    /// The upstreams to which the leader cannot open a connection; `None` if it does not probe them.
    pub(super) lost: Option<&'a HashSet<UpstreamId>>,
    /// The upstreams that warm up.
    pub(super) warming_up: Option<&'a HashSet<UpstreamId>>,
}

/// The share of a service's upstreams to which no connection can be opened from which on the fault may be at the
/// leader.
const CUT_OFF_SHARE: f64 = 0.5;

/// The least number of such upstreams.
const CUT_OFF_MIN: usize = 2;

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
            lost: None,
            warming_up: None,
        }
    }

    /// Sets whether the store is unreachable.
    #[must_use]
    pub fn with_store_unreachable(mut self, is_unreachable: bool) -> Self {
        self.is_store_unreachable = is_unreachable;
        self
    }

    /// Sets the upstreams to which the leader cannot open a connection, of all services.
    #[must_use]
    pub fn with_lost(mut self, lost: &'a HashSet<UpstreamId>) -> Self {
        self.lost = Some(lost);
        self
    }

    /// Sets the upstreams that warm up.
    #[must_use]
    pub fn with_warming_up(mut self, warming_up: &'a HashSet<UpstreamId>) -> Self {
        self.warming_up = Some(warming_up);
        self
    }

    /// Returns whether an upstream warms up.
    pub(super) fn is_warming_up(&self, id: &UpstreamId) -> bool {
        self.warming_up.is_some_and(|ids| ids.contains(id))
    }

    /// Returns whether the leader cannot open a connection to so many upstreams of the service that the fault may be
    /// at the leader.
    pub(super) fn is_cut_off(&self) -> bool {
        let Some(lost) = self.lost else { return false };
        let is_lost = |one: &&Arc<Upstream>| lost.contains(&one.id);
        let count = self.upstreams.iter().filter(is_lost).count();
        count >= CUT_OFF_MIN && count as f64 >= CUT_OFF_SHARE * self.upstreams.len() as f64
    }

    /// Returns whether a connection to an upstream can be opened, as far as the leader probes that.
    pub(super) fn is_connectable(&self, id: &UpstreamId) -> bool {
        self.lost.is_some_and(|lost| !lost.contains(id))
    }

    /// Returns the upstream of the service with this id.
    pub(super) fn upstream(&self, id: &UpstreamId) -> Option<&'a Upstream> {
        self.by_id.get(id).copied()
    }
}
