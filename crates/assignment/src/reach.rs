//! Which upstreams each daemon reaches, and who can send requests to those that it does not.

use std::net::SocketAddr;

use crate::DaemonName;
use copperwell_message::{HashMap, HashSet};
use copperwell_routing::{Incarnation, UpstreamId, ZoneName};
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use tokio::time::{Duration, Instant};

/// How long a report counts; daemons that reach all upstreams report rarely.
const REPORT_TTL: Duration = Duration::from_secs(12);

/// The most daemons that a daemon is told of.
const HELPERS_MAX: usize = 8;

/// A daemon that accepts requests of others, and the upstreams that it does not reach.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Helper {
    /// The name of the daemon.
    pub name: DaemonName,
    /// The address at which it accepts requests of other daemons.
    pub address: SocketAddr,
    /// Its data centre.
    pub zone: ZoneName,
    /// The upstreams to which it can open no connection, or none that is answered, in order.
    pub lost: Vec<UpstreamId>,
    /// The incarnations of upstreams that have said to it that they leave.
    pub leaving: Vec<(UpstreamId, Incarnation)>,
}

/// The latest report of each daemon.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    helpers: HashMap<DaemonName, (Instant, Helper)>,
}

impl Helper {
    /// Returns whether the daemon reaches an upstream, as far as it knows.
    #[must_use]
    pub fn reaches(&self, id: &UpstreamId) -> bool {
        self.lost.binary_search(id).is_err()
    }
}

/// The least share of a service's upstreams that a daemon does not reach for which it should not lead. A few crashed
/// upstreams, of which daemons learn at different times, are no reason.
const LOST_SHARE: f64 = 0.25;

/// The upstreams of the services with keys, by which daemons are compared as leaders: these get orders.
#[derive(Debug, Clone, Default)]
pub(crate) struct Keyed {
    services: Vec<HashSet<UpstreamId>>,
}

/// How many upstreams of each service with keys a daemon does not reach, in the order of [`Keyed`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Lost(Vec<usize>);

impl Keyed {
    pub(crate) fn new(services: impl IntoIterator<Item = HashSet<UpstreamId>>) -> Self {
        let services = services.into_iter().collect();
        Self { services }
    }

    /// Returns how many upstreams of each service are among `lost`.
    pub(crate) fn count(&self, lost: &[UpstreamId]) -> Lost {
        let among = |all: &HashSet<UpstreamId>| lost.iter().filter(|id| all.contains(*id)).count();
        Lost(self.services.iter().map(among).collect())
    }

    /// Returns whether a daemon that does not reach `own` should leave the lead to one that does not reach `other`: it
    /// reaches far fewer upstreams of a service.
    pub(crate) fn is_much_worse(&self, own: &Lost, other: &Lost) -> bool {
        let mut counts = self.services.iter().zip(own.0.iter().zip(&other.0));
        counts.any(|(all, (own, other))| is_much_more(*own, *other, all.len()))
    }
}

impl Lost {
    /// Returns the lower count of two daemons for each service.
    pub(crate) fn min(self, other: &Self) -> Self {
        let pairs = self.0.into_iter().zip(&other.0);
        Self(pairs.map(|(one, other)| one.min(*other)).collect())
    }

    pub(crate) fn total(&self) -> usize {
        self.0.iter().sum()
    }
}

/// Returns whether `own` of `all` upstreams are far more than `other`.
fn is_much_more(own: usize, other: usize, all: usize) -> bool {
    own as f64 >= LOST_SHARE * all as f64 && own > 2 * other + 1
}

impl Reports {
    /// Returns the incarnations of upstreams that have said to any daemon that they leave.
    pub(crate) fn leaving(&self) -> Vec<(UpstreamId, Incarnation)> {
        let helpers = self.helpers.values();
        let leaving = helpers.flat_map(|(_, helper)| helper.leaving.iter().cloned());
        let leaving: HashSet<_> = leaving.collect();
        leaving.into_iter().collect()
    }

    pub(crate) fn add(&mut self, helper: Helper) {
        let now = Instant::now();
        self.helpers
            .retain(|_, (at, _)| now.saturating_duration_since(*at) < REPORT_TTL);
        self.helpers.insert(helper.name.clone(), (now, helper));
    }

    /// Returns whether a daemon has reported which upstreams it reaches.
    pub(crate) fn has(&self, name: &DaemonName) -> bool {
        self.helpers.contains_key(name)
    }

    /// Returns the upstreams that a daemon does not reach; none if it has not reported.
    pub(crate) fn lost(&self, name: &DaemonName) -> &[UpstreamId] {
        let known = self.helpers.get(name);
        known.map_or(&[], |(_, helper)| &helper.lost)
    }

    /// Returns daemons at random of all that `is_alive`: first those that reach most of `upstreams`, and of these first
    /// those of `zone`.
    pub(crate) fn helpers(
        &self,
        zone: &ZoneName,
        upstreams: usize,
        is_alive: impl Fn(&DaemonName) -> bool,
    ) -> Vec<Helper> {
        let now = Instant::now();
        let known = self.helpers.values();
        let alive = known.filter(|(at, helper)| {
            now.saturating_duration_since(*at) < REPORT_TTL && is_alive(&helper.name)
        });
        let mut helpers: Vec<&Helper> = alive.map(|(_, helper)| helper).collect();
        let best = helpers.iter().map(|helper| helper.lost.len()).min();
        let is_worse =
            |helper: &Helper| is_much_more(helper.lost.len(), best.unwrap_or(0), upstreams);
        // Else all daemons would be sent to the same few.
        helpers.shuffle(&mut rand::rng());
        helpers.sort_by_key(|helper| (is_worse(helper), helper.zone != *zone));
        let helpers = helpers.into_iter().take(HELPERS_MAX).cloned();
        let without_leaving = |helper| Helper {
            leaving: Vec::new(),
            ..helper
        };
        helpers.map(without_leaving).collect()
    }
}

#[cfg(test)]
mod tests;
