//! Differences between configurations.
//!
//! Configurations grow to thousands of routes of which a change concerns few, so that daemons which have an
//! earlier one are sent only what changes.

use std::sync::Arc;

use super::{Configuration, Limits, Route, Service, Version, Warmup};
use crate::{RegionName, ServiceName};
use copperwell_message::{HashMap, HashSet};
use serde::{Deserialize, Serialize};

/// What changes from one configuration to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Difference {
    /// The version of the earlier configuration; `None` if this is the whole of the later one.
    pub from: Option<Version>,
    /// The version of the later configuration.
    pub to: Version,
    limits: Limits,
    services: Vec<Service>,
    /// Routes that are new or have changed, in the order of their places.
    changed: Vec<Arc<Route>>,
    /// The places of routes that are gone, in order.
    removed: Vec<Place>,
    /// Earlier releases ignore what follows the removed routes.
    health_checks: Vec<HealthCheck>,
    /// What earlier releases neither send nor read.
    #[serde(skip)]
    extension: Extension,
}

/// Properties of services and routes that follow a difference, as earlier releases do not send them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Extension {
    warmups: Vec<ServiceWarmup>,
    regions: Vec<RouteRegions>,
}

/// How the upstreams of a service warm up.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct ServiceWarmup {
    service: ServiceName,
    warmup: Warmup,
}

/// The regions of a route that is new or has changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct RouteRegions {
    place: Place,
    regions: Vec<RegionName>,
}

/// The path of the health checks of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct HealthCheck {
    service: ServiceName,
    path: String,
}

/// The requests that a route matches.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
struct Place {
    host: String,
    prefix: String,
}

impl Place {
    fn of(route: &Route) -> Self {
        Self {
            host: route.host.clone(),
            prefix: route.prefix.clone(),
        }
    }
}

impl Configuration {
    /// Returns the difference from an earlier configuration, or the whole of this one without an earlier one.
    #[must_use]
    pub fn difference_from(&self, earlier: Option<&Self>) -> Difference {
        let before = earlier.map(Self::routes_by_place).unwrap_or_default();
        let after = self.routes_by_place();
        let is_new = |(place, route): &(&Place, &&Arc<Route>)| {
            let known = before.get(*place);
            known.is_none_or(|known| !known.is_same_as(route))
        };
        let changed = after.iter().filter(is_new);
        let mut changed: Vec<_> = changed.map(|(_, route)| (*route).clone()).collect();
        changed.sort_by(|one, other| (&one.host, &one.prefix).cmp(&(&other.host, &other.prefix)));
        let removed = before.keys().filter(|place| !after.contains_key(*place));
        let mut removed: Vec<_> = removed.cloned().collect();
        removed.sort();
        let mut services: Vec<_> = self.services().cloned().collect();
        services.sort_by(|one, other| one.name.cmp(&other.name));
        let health_checks = services.iter().filter_map(|service| {
            Some(HealthCheck {
                service: service.name.clone(),
                path: service.health_path.clone()?,
            })
        });
        Difference {
            extension: Extension::new(&services, &changed),
            health_checks: health_checks.collect(),
            from: earlier.map(|earlier| earlier.version),
            to: self.version,
            limits: self.limits,
            services,
            changed,
            removed,
        }
    }

    /// Makes routes that an earlier configuration has too one with those, so that they go on from there.
    pub fn share_routes(&mut self, earlier: &Self) {
        let known = earlier.routes_by_place();
        for route in self.hosts.values_mut().flatten() {
            if let Some(same) = known.get(&Place::of(route))
                && same.is_same_as(route)
            {
                *route = (*same).clone();
            }
        }
    }

    /// Returns the routes by what they match; of several with the same match, the one that is used.
    fn routes_by_place(&self) -> HashMap<Place, &Arc<Route>> {
        let mut routes = HashMap::default();
        for route in self.hosts.values().flatten() {
            routes.entry(Place::of(route)).or_insert(route);
        }
        routes
    }
}

impl Extension {
    fn new(services: &[Service], changed: &[Arc<Route>]) -> Self {
        let warmups = services.iter().filter_map(|service| {
            Some(ServiceWarmup {
                service: service.name.clone(),
                warmup: service.warmup?,
            })
        });
        let restricted = changed.iter().filter(|route| !route.regions.is_empty());
        let regions = restricted.map(|route| RouteRegions {
            place: Place::of(route),
            regions: route.regions.clone(),
        });
        Self {
            warmups: warmups.collect(),
            regions: regions.collect(),
        }
    }

    fn warmup_of(&self, service: &ServiceName) -> Option<Warmup> {
        let mut warmups = self.warmups.iter();
        let found = warmups.find(|one| one.service == *service);
        found.map(|one| one.warmup)
    }
}

impl Difference {
    /// Returns what follows the difference.
    #[must_use]
    pub fn extension(&self) -> &Extension {
        &self.extension
    }

    /// Sets what follows the difference.
    #[must_use]
    pub fn with_extension(mut self, extension: Extension) -> Self {
        for RouteRegions { place, regions } in &extension.regions {
            let mut changed = self.changed.iter_mut();
            let restricted = changed.find(|route| Place::of(route) == *place);
            if let Some(route) = restricted.and_then(Arc::get_mut) {
                route.regions = regions.clone();
            }
        }
        self.extension = extension;
        self
    }

    /// Returns the later configuration; `None` if this is no difference from `earlier`.
    #[must_use]
    pub fn apply(&self, earlier: Option<&Configuration>) -> Option<Configuration> {
        let base = match self.from {
            None => None,
            Some(from) => Some(earlier.filter(|earlier| earlier.version == from)?),
        };
        let kept = base.map(Configuration::routes_by_place).unwrap_or_default();
        let replaced = self.changed.iter().map(|route| Place::of(route));
        let dropped: HashSet<Place> = replaced.chain(self.removed.iter().cloned()).collect();
        let kept = kept
            .into_iter()
            .filter(|(place, _)| !dropped.contains(place));
        let routes = kept
            .map(|(_, route)| route.clone())
            .chain(self.changed.iter().cloned());
        Some(Configuration::from_shared(
            self.to,
            self.limits,
            self.complete_services(),
            routes,
        ))
    }

    /// Returns the services with what is sent apart from them.
    fn complete_services(&self) -> impl Iterator<Item = Service> {
        self.services.iter().map(|service| {
            let check = self
                .health_checks
                .iter()
                .find(|check| check.service == service.name);
            Service {
                health_path: check.map(|check| check.path.clone()),
                warmup: self.extension.warmup_of(&service.name),
                ..service.clone()
            }
        })
    }
}
