//! The connection pools of all upstreams.

use std::{
    sync::{Arc, Mutex, PoisonError, atomic::Ordering},
    time::Duration,
};

use crate::view::View;
use copperwell_backend::{lane::Lane, metrics::Metrics as ConnectionMetrics, pool::Timing};
use copperwell_memory::Budget;
use copperwell_message::HashMap;
use copperwell_routing::{UpstreamId, registry::Upstream};

/// The timeout for opening a connection to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long an idle connection is kept open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// The most connections of this daemon to one upstream, regardless of how many the upstream accepts.
const CONNECTIONS_MAX: u32 = 32;

/// The connection pools of all upstreams.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPools {
    pools: Mutex<HashMap<UpstreamId, Arc<Lane>>>,
    metrics: ConnectionMetrics,
    /// The maximum number of bytes that are read at a time; `None` for the default.
    read_bytes: Option<usize>,
}

impl ConnectionPools {
    /// Creates the pools. Their connections read at most as many bytes at a time as `budget` allows.
    pub(crate) fn new(budget: &Budget) -> Self {
        Self {
            read_bytes: budget.read_bytes(),
            ..Self::default()
        }
    }

    /// Returns the metrics of the connections.
    pub(crate) fn metrics(&self) -> &ConnectionMetrics {
        &self.metrics
    }

    /// Closes the connections to upstreams that are no longer registered.
    pub(crate) fn retain(&self, is_registered: impl Fn(&str) -> bool) {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        pools.retain(|id, _| is_registered(id));
    }

    /// Returns the pool of an upstream. Its size is this daemon's share of the connections that the upstream accepts, but
    /// at least one connection for each slot.
    pub(crate) fn pool_for(&self, view: &View, upstream: &Upstream) -> Arc<Lane> {
        let configuration = view.configuration();
        let service = configuration
            .as_ref()
            .and_then(|known| known.service(&upstream.service));
        let all = service.map_or(CONNECTIONS_MAX, |service| service.connections);
        let daemons = view.keys.daemons.load(Ordering::Relaxed).max(1);
        self.pool_of(upstream, (all / daemons).max(upstream.slots))
    }

    /// Returns the pool of an upstream, of at most `connections` connections.
    pub(crate) fn pool_of(&self, upstream: &Upstream, connections: u32) -> Arc<Lane> {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        let known = pools.get(&upstream.id);
        if let Some(pool) = known.filter(|pool| pool.address() == upstream.address) {
            return pool.clone();
        }
        let timing = Timing {
            connect: CONNECT_TIMEOUT,
            idle: IDLE_TIMEOUT,
            warm: 0,
        };
        let limit = connections.clamp(1, CONNECTIONS_MAX);
        let pool = Lane::new(upstream.address, limit, timing, self.metrics.clone());
        let pool = Arc::new(match self.read_bytes {
            Some(bytes) => pool.with_read_bytes(bytes),
            None => pool,
        });
        pools.insert(upstream.id.clone(), pool.clone());
        pool
    }
}
