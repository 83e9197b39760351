//! Data centres that are evacuated: their upstreams get no new requests.

use std::{collections::BTreeSet, time::Duration};

use crate::{Incarnation, ServiceName, UpstreamId, ZoneName, registry::Upstream};
use copperwell_message::HashMap;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// The position up to which the operator's topic was read. A later version replaces an earlier one, whichever daemon has
/// read it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    /// The era of the store.
    pub era: u64,
    /// The offset up to which the topic was read.
    pub offset: u64,
}

/// The data centres that are evacuated.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// The version.
    pub version: Version,
    /// The data centres.
    pub zones: BTreeSet<ZoneName>,
}

/// The differences between two sets of evacuated data centres.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Difference {
    /// The data centres whose evacuation has started.
    pub started: Vec<ZoneName>,
    /// The data centres whose evacuation has ended.
    pub ended: Vec<ZoneName>,
}

/// The end of an evacuation, after which upstreams may be cold.
#[derive(Debug, Clone)]
pub(crate) struct Return {
    pub(crate) ended_at: Instant,
    /// How long the upstreams of each service warm up.
    warmups: HashMap<ServiceName, Duration>,
    /// The runs of upstreams that were found warm since.
    warm: HashMap<UpstreamId, Incarnation>,
}

impl Evacuations {
    /// Returns whether a data centre is evacuated.
    #[must_use]
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.contains(zone)
    }

    /// Returns what changes from this set to `later`.
    #[must_use]
    pub fn difference(&self, later: &Self) -> Difference {
        Difference {
            started: later.zones.difference(&self.zones).cloned().collect(),
            ended: self.zones.difference(&later.zones).cloned().collect(),
        }
    }
}

impl Return {
    pub(crate) fn new(ended_at: Instant, warmups: HashMap<ServiceName, Duration>) -> Self {
        Self {
            ended_at,
            warmups,
            warm: HashMap::default(),
        }
    }

    /// Records that a run of an upstream is warm.
    pub(crate) fn record_warm(&mut self, id: &UpstreamId, born: Incarnation) {
        self.warm.insert(id.clone(), born);
    }

    /// Returns how much longer an upstream counts as warming up.
    pub(crate) fn warmup_left(&self, upstream: &Upstream, now: Instant) -> Duration {
        if self.warm.get(&upstream.id) == Some(&upstream.born) {
            return Duration::ZERO;
        }
        let warmup = self.warmups.get(&upstream.service);
        let warmup = warmup.copied().unwrap_or_default();
        (self.ended_at + warmup).saturating_duration_since(now)
    }

    /// Returns whether all upstreams are warm.
    pub(crate) fn is_over(&self, now: Instant) -> bool {
        let longest = self.warmups.values().max().copied().unwrap_or_default();
        now >= self.ended_at + longest
    }
}
