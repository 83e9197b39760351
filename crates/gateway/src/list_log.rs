//! Log lines about the changes of the list of upstreams.

use std::time::Duration;

use copperwell_routing::{freshness::Origin, registry::Changes};
use spdlog::info;

/// The age of a list of upstreams when it is applied, and whom it comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ListAge {
    pub(crate) origin: Origin,
    /// Its age; `None` if there is none yet.
    pub(crate) age: Option<Duration>,
    /// The age of the list that it replaces.
    pub(crate) before: Option<Duration>,
}

/// Logs the changes between two lists of upstreams.
pub(crate) fn record(changes: &Changes, list: ListAge) {
    let source = list.origin.as_str();
    let (age_ms, before_ms) = (age_ms(list.age), age_ms(list.before));
    for upstream in &changes.joined {
        info!("upstream joined", kv: { event = "joined", server = &*upstream.id, service = &*upstream.service, zone = &*upstream.zone, born = upstream.born, slots = upstream.slots, source, age_ms, before_ms });
    }
    for upstream in &changes.draining {
        info!("upstream is draining", kv: { event = "draining", server = &*upstream.id, service = &*upstream.service, source, age_ms, before_ms });
    }
    for upstream in &changes.resumed {
        info!("upstream gets requests again", kv: { event = "resumed", server = &*upstream.id, service = &*upstream.service, source, age_ms, before_ms });
    }
    for upstream in &changes.gone {
        info!("upstream removed", kv: { event = "gone", server = &*upstream.id, service = &*upstream.service, source, age_ms, before_ms });
    }
    if changes.kept > 0 {
        info!("missing upstreams kept: their registrations may be renewed", kv: { event = "kept", count = changes.kept });
    }
}

/// Returns the age of a list in milliseconds, for logs; -1 if there was no list.
pub(crate) fn age_ms(age: Option<Duration>) -> i64 {
    age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX))
}
