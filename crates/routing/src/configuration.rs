//! The configuration that operators publish: routes, services and limits for callers.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use crate::{RegionName, ServiceName};
use copperwell_message::{HashMap, HashSet};
use serde::{Deserialize, Serialize};

use defect::Defect;

pub mod defect;
pub mod difference;

/// The version of a configuration; later ones are higher.
pub type Version = u64;

/// The increment of the sequence by which requests are distributed over the parts of a route: 2^64 divided by
/// the golden ratio. The sequence has low discrepancy: its first terms are evenly distributed, however many
/// are taken.
const GOLDEN_RATIO_INCREMENT: u64 = 0x9E37_79B9_7F4A_7C15;

/// The configuration of a gateway.
#[derive(Debug)]
pub struct Configuration {
    /// The version.
    pub version: Version,
    /// Limits for callers.
    pub limits: Limits,
    services: HashMap<ServiceName, Service>,
    /// The routes of each host, those with the longest prefix first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
    /// The services whose requests have several priorities.
    prioritized: HashSet<ServiceName>,
    /// What this daemon did not understand when it read the configuration.
    defects: Vec<Defect>,
}

/// Limits for callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The largest request head, in bytes.
    pub head_bytes: usize,
    /// The largest request body, in bytes.
    pub body_bytes: u64,
    /// The timeout for receiving a request head.
    pub head_time: Duration,
    /// How long a connection may stay idle.
    pub idle_time: Duration,
}

/// A service and the properties of its upstreams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The name.
    pub name: ServiceName,
    /// The number of connections that each upstream accepts from all clients together.
    pub connections: u32,
    /// Whether the service is partitioned by key: each key belongs to one upstream, which must hold a grant
    /// for it.
    pub is_keyed: bool,
    /// The path of its upstreams' health checks, if they have any.
    ///
    /// Between daemons it is sent apart from the service, which earlier releases read without it.
    #[serde(skip)]
    pub health_path: Option<String>,
    /// How its upstreams warm up, if they do; sent apart from the service as well.
    #[serde(skip)]
    pub warmup: Option<Warmup>,
}

/// How the upstreams of a service warm up after their start, or after they have become cold again.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Warmup {
    /// How long it takes.
    pub duration: Duration,
    /// The requests a second that an upstream takes meanwhile, from all daemons together.
    pub rate: f64,
}

/// The rule for requests that match a host and a path prefix.
#[derive(Debug, Serialize, Deserialize)]
pub struct Route {
    /// The name.
    pub name: String,
    /// The host that it matches, in lower case.
    pub host: String,
    /// The path prefix that it matches, with a slash at both ends.
    pub prefix: String,
    /// Whether its requests may run more than once.
    pub is_repeatable: bool,
    /// The time limit for answering a request.
    pub timeout: Duration,
    /// The most attempts for one request.
    pub attempts: u32,
    /// The target latency: the time within which a response is worth most.
    pub objective: Duration,
    /// The priority among requests for the same service; the lowest number goes first.
    pub priority: u32,
    /// The services that get its requests, by weight.
    pub parts: Vec<Part>,
    /// The regions whose upstreams may serve its requests; empty for all.
    ///
    /// Between daemons it is sent apart from the route, which earlier releases read without it.
    #[serde(skip)]
    pub regions: Vec<RegionName>,
    /// The number of requests that were assigned to a part.
    #[serde(skip)]
    dealt: AtomicU64,
}

/// The share of a route's requests that goes to one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The service that gets the share.
    pub service: ServiceName,
    /// The size of the share, relative to the sum of all weights.
    pub weight: u32,
}

impl Configuration {
    /// Creates a configuration from its services and routes.
    #[must_use]
    pub fn new(
        version: Version,
        limits: Limits,
        services: impl IntoIterator<Item = Service>,
        routes: impl IntoIterator<Item = Route>,
    ) -> Self {
        let routes = routes.into_iter().map(Arc::new);
        Self::from_shared(version, limits, services, routes)
    }

    /// Creates a configuration from routes that others may have, too.
    fn from_shared(
        version: Version,
        limits: Limits,
        services: impl IntoIterator<Item = Service>,
        routes: impl IntoIterator<Item = Arc<Route>>,
    ) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::default();
        for route in routes {
            let host = hosts.entry(route.host.clone()).or_default();
            host.push(route);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let prioritized = prioritized(hosts.values().flatten());
        let services = services.into_iter();
        Self {
            version,
            limits,
            services: services
                .map(|service| (service.name.clone(), service))
                .collect(),
            hosts,
            prioritized,
            defects: Vec::new(),
        }
    }

    /// Sets what was not understood.
    #[must_use]
    pub fn with_defects(mut self, defects: impl IntoIterator<Item = Defect>) -> Self {
        self.defects = defects.into_iter().collect();
        self
    }

    /// Returns what this daemon did not understand; nothing if it has the configuration from another daemon.
    #[must_use]
    pub fn defects(&self) -> &[Defect] {
        &self.defects
    }

    /// Returns the route of `host` with the longest prefix that matches `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns a service by its name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns whether the requests for a service have several priorities.
    #[must_use]
    pub fn has_priorities(&self, service: &str) -> bool {
        self.prioritized.contains(service)
    }

    /// Iterates over all services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }
}

/// Returns the services that get requests of several priorities.
fn prioritized<'a>(routes: impl Iterator<Item = &'a Arc<Route>>) -> HashSet<ServiceName> {
    let mut priorities: HashMap<&ServiceName, u32> = HashMap::default();
    let mut prioritized = HashSet::default();
    for route in routes {
        for part in route.parts.iter().filter(|part| part.weight > 0) {
            let first = *priorities.entry(&part.service).or_insert(route.priority);
            if first != route.priority {
                prioritized.insert(part.service.clone());
            }
        }
    }
    prioritized
}

impl Route {
    /// Creates a route for `host` and `prefix` with default limits for requests that must not be repeated.
    #[must_use]
    pub fn new(
        name: impl Into<String>,
        host: &str,
        prefix: impl Into<String>,
        parts: impl IntoIterator<Item = Part>,
    ) -> Self {
        Self {
            name: name.into(),
            host: host.to_ascii_lowercase(),
            prefix: prefix.into(),
            is_repeatable: false,
            timeout: Duration::from_secs(1),
            attempts: 1,
            objective: Duration::from_secs(1),
            priority: 0,
            parts: parts.into_iter().collect(),
            regions: Vec::new(),
            dealt: AtomicU64::new(0),
        }
    }

    /// Sets whether requests may run more than once.
    #[must_use]
    pub fn with_repeatable(mut self, is_repeatable: bool) -> Self {
        self.is_repeatable = is_repeatable;
        self
    }

    /// Sets the time limit for answering a request.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sets the most attempts for one request.
    #[must_use]
    pub fn with_attempts(mut self, attempts: u32) -> Self {
        self.attempts = attempts;
        self
    }

    /// Sets the target latency.
    #[must_use]
    pub fn with_objective(mut self, objective: Duration) -> Self {
        self.objective = objective;
        self
    }

    /// Sets the priority among requests for the same service.
    #[must_use]
    pub fn with_priority(mut self, priority: u32) -> Self {
        self.priority = priority;
        self
    }

    /// Sets the regions whose upstreams may serve requests; none for all.
    #[must_use]
    pub fn with_regions(mut self, regions: impl IntoIterator<Item = RegionName>) -> Self {
        self.regions = regions.into_iter().collect();
        self
    }

    /// Returns whether the route exists, but nothing is known of where its requests go.
    #[must_use]
    pub fn is_unreadable(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns whether two routes are the same, apart from the requests that were assigned to their parts.
    fn is_same_as(&self, other: &Self) -> bool {
        let Self {
            name,
            host,
            prefix,
            is_repeatable,
            timeout,
            attempts,
            objective,
            priority,
            parts,
            regions,
            dealt: _,
        } = self;
        *name == other.name
            && *host == other.host
            && *prefix == other.prefix
            && *is_repeatable == other.is_repeatable
            && *timeout == other.timeout
            && *attempts == other.attempts
            && *objective == other.objective
            && *priority == other.priority
            && *parts == other.parts
            && *regions == other.regions
    }

    /// Returns the service for the next request.
    ///
    /// The shares are kept over any sequence of requests, not only on average. Returns `None` if no part has
    /// a positive weight.
    #[must_use]
    pub fn next_service(&self) -> Option<&ServiceName> {
        if let [only] = self.parts.as_slice() {
            return Some(&only.service);
        }
        let total: u64 = self.parts.iter().map(|part| u64::from(part.weight)).sum();
        let number = self.dealt.fetch_add(1, Ordering::Relaxed);
        let point = u128::from(number.wrapping_mul(GOLDEN_RATIO_INCREMENT)) * u128::from(total);
        let mut point = u64::try_from(point >> u64::BITS).unwrap_or(u64::MAX);
        for part in &self.parts {
            match point.checked_sub(u64::from(part.weight)) {
                Some(remainder) => point = remainder,
                None => return Some(&part.service),
            }
        }
        None
    }
}
