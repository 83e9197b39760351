//! The connection pools for requests, one for each server.
//!
//! Lock order: the map of lanes, then the idle connections of one lane. No lock is held across an
//! `.await`.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock},
    time::Duration,
};

use crate::{
    Forward,
    exchange::Exchange,
    head::{HeadWithEpoch, Native},
    lane::Lane,
    metrics::{Label, Metrics},
    order::Order,
};
use copperwell_keyspace::{
    HashMap, HashSet, ServiceName,
    manifest::{Manifest, Upstream},
};
use copperwell_message::{Request, Response};
use tokio::time::Instant;

/// The inactivity timeout of a service for which none is set.
pub const INACTIVITY_TIMEOUT_DEFAULT: Duration = Duration::from_secs(2);

/// Number of servers above which lanes that are not in use are dropped.
const SERVERS_MAX: usize = 4096;

/// Sends requests over HTTP/1.1 on bounded connection pools, one for each server.
#[derive(Debug)]
pub struct Pool {
    timing: Timing,
    metrics: Metrics,
    inactivity_timeouts: RwLock<HashMap<ServiceName, Duration>>,
    lanes: Mutex<HashMap<SocketAddr, Arc<Lane>>>,
}

/// Time limits and the warm minimum of a connection pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Timeout for opening a connection.
    pub connect: Duration,
    /// How long a connection beyond the warm minimum may stay idle.
    pub idle: Duration,
    /// The warm minimum: connections kept open to a server, at most its slots.
    pub warm: u32,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            idle: Duration::from_secs(60),
            warm: 2,
        }
    }
}

impl Default for Pool {
    fn default() -> Self {
        Self::new()
    }
}

impl Pool {
    /// Creates a pool with default time limits.
    #[must_use]
    pub fn new() -> Self {
        Self::with_timing(Timing::default())
    }

    /// Creates a pool with the given time limits.
    #[must_use]
    pub fn with_timing(timing: Timing) -> Self {
        Self {
            timing,
            metrics: Metrics::default(),
            inactivity_timeouts: RwLock::default(),
            lanes: Mutex::default(),
        }
    }

    /// Returns the pool's counters.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Sets how long a connection may pass no bytes while it carries a request of `service`.
    pub fn set_silence(&self, service: &ServiceName, timeout: Duration) {
        let mut inactivity_timeouts = self
            .inactivity_timeouts
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        inactivity_timeouts.insert(service.clone(), timeout);
    }

    /// Opens connections to a server up to the warm minimum, stopping at the first failure.
    pub async fn warm(&self, upstream: &Upstream) {
        self.lane(upstream).warm_up().await;
    }

    /// Applies the limits of a manifest, and closes idle connections to servers that it omits.
    pub fn follow(&self, manifest: &Manifest) {
        let services = manifest.services.iter();
        let timeouts = services.map(|service| (service.name.clone(), service.limits.silence));
        *self
            .inactivity_timeouts
            .write()
            .unwrap_or_else(PoisonError::into_inner) = timeouts.collect();
        let upstreams = manifest
            .services
            .iter()
            .flat_map(|service| &service.upstreams);
        let addresses: HashSet<SocketAddr> = upstreams.map(|upstream| upstream.address).collect();
        self.lanes()
            .retain(|address, _| addresses.contains(address));
    }

    /// Returns the number of open connections to a server.
    #[must_use]
    pub fn open_connections(&self, address: SocketAddr) -> usize {
        let lanes = self.lanes();
        lanes
            .get(&address)
            .map_or(0, |lane| lane.open_connections())
    }

    fn lanes(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Lane>>> {
        self.lanes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the lane of an upstream, replacing it if its connection limit changed.
    fn lane(&self, upstream: &Upstream) -> Arc<Lane> {
        let mut lanes = self.lanes();
        if let Some(lane) = lanes.get(&upstream.address)
            && lane.has_limit_of(upstream)
        {
            return lane.clone();
        }
        if lanes.len() >= SERVERS_MAX {
            lanes.retain(|_, lane| Arc::strong_count(lane) > 1);
        }
        let lane = Arc::new(Lane::for_upstream(
            upstream,
            self.timing,
            self.metrics.clone(),
        ));
        lanes.insert(upstream.address, lane.clone());
        lane
    }

    fn inactivity_timeout_of(&self, service: &str) -> Duration {
        let timeouts = self
            .inactivity_timeouts
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        timeouts
            .get(service)
            .copied()
            .unwrap_or(INACTIVITY_TIMEOUT_DEFAULT)
    }
}

impl Forward for Pool {
    async fn forward(&self, upstream: &Upstream, order: Order, request: Request) -> Response {
        let deadline = Instant::now() + order.deadline;
        let inactivity_timeout = self.inactivity_timeout_of(&request.head.service);
        let lane = self.lane(upstream);
        let exchange = Exchange::new(lane.clone(), inactivity_timeout, deadline);
        let request_head = HeadWithEpoch {
            head: request.head,
            epoch: order.epoch,
        };
        let result = exchange
            .run(&Native, &request_head, request.body, || true)
            .await;
        lane.spawn_warm_up();
        result.unwrap_or_else(|failed| {
            let label = Label::new(failed.reason.as_str());
            self.metrics.failed.get_or_create(&label).inc();
            Response::refusal(failed.verdict, failed.reason)
        })
    }
}
