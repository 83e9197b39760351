//! What operators declare: routes, services, and limits for callers.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use crate::ServiceName;
use copperwell_message::HashMap;
use serde::{Deserialize, Serialize};

/// The version of a configuration; later ones are higher.
pub type Version = u64;

/// The step of a sequence whose first terms, whatever their number, lie evenly in a range.
const EVEN_STEP: u64 = 0x9E37_79B9_7F4A_7C15;

/// A configuration in force.
#[derive(Debug, Serialize, Deserialize)]
pub struct Configuration {
    /// Its version.
    pub version: Version,
    /// Limits for callers.
    pub limits: Limits,
    services: HashMap<ServiceName, Service>,
    /// The routes of each host, those with the longest prefix first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
}

/// Limits for callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The largest request head, in bytes.
    pub head_bytes: usize,
    /// The largest request body, in bytes.
    pub body_bytes: u64,
    /// The longest time a caller may take to send a head.
    pub head_time: Duration,
    /// How long a connection may be without a request.
    pub idle_time: Duration,
}

/// A service and how its upstreams are spoken to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Connections that each upstream accepts from all callers together.
    pub connections: u32,
    /// Whether each key belongs to one upstream, which must hold a grant of it.
    pub is_keyed: bool,
}

/// Where requests for a host and prefix go.
#[derive(Debug, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that it serves, in lower case.
    pub host: String,
    /// The start of the paths that it serves, with a slash at both ends.
    pub prefix: String,
    /// Whether its requests may run more than once.
    pub is_repeatable: bool,
    /// The longest time that a request may be kept.
    pub timeout: Duration,
    /// The most upstreams that one request may be sent to.
    pub attempts: u32,
    /// The time within which an answer is worth most.
    pub objective: Duration,
    /// The rank among requests for the same service; the lowest goes first.
    pub priority: u32,
    /// Where its requests go, by weight.
    pub parts: Vec<Part>,
    /// Requests that were given a part.
    #[serde(skip)]
    dealt: AtomicU64,
}

/// A share of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The service that gets the share.
    pub service: ServiceName,
    /// The size of the share, against the sum of all weights.
    pub weight: u32,
}

impl Configuration {
    /// A configuration with these services and routes.
    #[must_use]
    pub fn new(
        version: Version,
        limits: Limits,
        services: impl IntoIterator<Item = Service>,
        routes: impl IntoIterator<Item = Route>,
    ) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::default();
        for route in routes {
            let host = hosts.entry(route.host.clone()).or_default();
            host.push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services.into_iter();
        Self {
            version,
            limits,
            services: services
                .map(|service| (service.name.clone(), service))
                .collect(),
            hosts,
        }
    }

    /// The route with the longest prefix of `path` among those of `host`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// A service by its name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }
}

impl Route {
    /// A route for `host` and `prefix`, with limits that suit a request that must not be repeated.
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
            dealt: AtomicU64::new(0),
        }
    }

    /// Says that requests may run more than once.
    #[must_use]
    pub fn with_repeatable(mut self, is_repeatable: bool) -> Self {
        self.is_repeatable = is_repeatable;
        self
    }

    /// Sets the longest time that a request may be kept.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sets the most upstreams that one request may be sent to.
    #[must_use]
    pub fn with_attempts(mut self, attempts: u32) -> Self {
        self.attempts = attempts;
        self
    }

    /// Sets the time within which an answer is worth most.
    #[must_use]
    pub fn with_objective(mut self, objective: Duration) -> Self {
        self.objective = objective;
        self
    }

    /// Sets the rank among requests for the same service.
    #[must_use]
    pub fn with_priority(mut self, priority: u32) -> Self {
        self.priority = priority;
        self
    }

    /// The service that the next request goes to.
    ///
    /// The parts get their shares evenly over any run of requests, not only on average. `None` if
    /// the route has no part with a weight.
    #[must_use]
    pub fn deal(&self) -> Option<&ServiceName> {
        if let [only] = self.parts.as_slice() {
            return Some(&only.service);
        }
        let total: u64 = self.parts.iter().map(|part| u64::from(part.weight)).sum();
        let dealt = self.dealt.fetch_add(1, Ordering::Relaxed);
        let point = u128::from(dealt.wrapping_mul(EVEN_STEP)) * u128::from(total);
        let mut point = u64::try_from(point >> u64::BITS).unwrap_or(u64::MAX);
        for part in &self.parts {
            match point.checked_sub(u64::from(part.weight)) {
                Some(rest) => point = rest,
                None => return Some(&part.service),
            }
        }
        None
    }
}
