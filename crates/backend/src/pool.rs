//! The pool of request connections.
//!
//! Lock order: the map of lanes, then one lane's idle connections. No lock is held across an
//! await.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock},
    time::Duration,
};

use crate::{
    Forward,
    exchange::Exchange,
    head::{Ordered, Own},
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

/// The silence limit of a service that has none set.
pub const SILENCE_DEFAULT: Duration = Duration::from_secs(2);

/// Servers that have a lane.
const LANES_MAX: usize = 4096;

/// Sends requests over HTTP/1.1 on bounded pools of connections, one for each server.
#[derive(Debug)]
pub struct Pool {
    timing: Timing,
    metrics: Metrics,
    silences: RwLock<HashMap<ServiceName, Duration>>,
    lanes: Mutex<HashMap<SocketAddr, Arc<Lane>>>,
}

/// Time limits and the warm minimum of a [`Pool`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// For a new connection.
    pub connect: Duration,
    /// How long a connection beyond the warm minimum may stay unused.
    pub idle: Duration,
    /// Connections kept open to a server, at most its slots.
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
    /// A pool with default time limits.
    #[must_use]
    pub fn new() -> Self {
        Self::with_timing(Timing::default())
    }

    /// A pool with these time limits.
    #[must_use]
    pub fn with_timing(timing: Timing) -> Self {
        Self {
            timing,
            metrics: Metrics::default(),
            silences: RwLock::default(),
            lanes: Mutex::default(),
        }
    }

    /// The pool's counters.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Sets how long a connection may make no progress on a request of this service.
    pub fn set_silence(&self, service: &ServiceName, silence: Duration) {
        let mut silences = self
            .silences
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        silences.insert(service.clone(), silence);
    }

    /// Opens connections to a server until the warm minimum is there; failures end it.
    pub async fn warm(&self, upstream: &Upstream) {
        self.lane(upstream).warm_up().await;
    }

    /// Takes the limits of a manifest, and closes idle connections to servers that it lacks.
    pub fn follow(&self, manifest: &Manifest) {
        let services = manifest.services.iter();
        let silences = services.map(|service| (service.name.clone(), service.limits.silence));
        *self
            .silences
            .write()
            .unwrap_or_else(PoisonError::into_inner) = silences.collect();
        let upstreams = manifest
            .services
            .iter()
            .flat_map(|service| &service.upstreams);
        let addresses: HashSet<SocketAddr> = upstreams.map(|upstream| upstream.address).collect();
        self.lanes().retain(|to, _| addresses.contains(to));
    }

    /// Connections that are open to a server.
    #[must_use]
    pub fn open_connections(&self, to: SocketAddr) -> usize {
        let lanes = self.lanes();
        lanes.get(&to).map_or(0, |lane| lane.open_connections())
    }

    fn lanes(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Lane>>> {
        self.lanes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The lane of an upstream; a new one if its limits changed.
    fn lane(&self, upstream: &Upstream) -> Arc<Lane> {
        let mut lanes = self.lanes();
        if let Some(lane) = lanes.get(&upstream.address)
            && lane.fits(upstream)
        {
            return lane.clone();
        }
        if lanes.len() >= LANES_MAX {
            lanes.retain(|_, lane| Arc::strong_count(lane) > 1);
        }
        let lane = Arc::new(Lane::to_upstream(
            upstream,
            self.timing,
            self.metrics.clone(),
        ));
        lanes.insert(upstream.address, lane.clone());
        lane
    }

    fn silence_of(&self, service: &str) -> Duration {
        let silences = self.silences.read().unwrap_or_else(PoisonError::into_inner);
        silences.get(service).copied().unwrap_or(SILENCE_DEFAULT)
    }
}

impl Forward for Pool {
    async fn forward(&self, upstream: &Upstream, order: Order, request: Request) -> Response {
        let deadline = Instant::now() + order.deadline;
        let silence = self.silence_of(&request.head.service);
        let lane = self.lane(upstream);
        let exchange = Exchange::new(lane.clone(), silence, deadline);
        let asked = Ordered {
            head: request.head,
            epoch: order.epoch,
        };
        let answer = exchange.run(&Own, &asked, request.body).await;
        lane.keep_warm();
        answer.unwrap_or_else(|failed| {
            let label = Label::new(failed.reason.as_str());
            self.metrics.failed.get_or_create(&label).inc();
            Response::refusal(failed.verdict, failed.reason)
        })
    }
}
