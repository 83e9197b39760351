//! The table by which daemons route keys.

use std::sync::Arc;

use crate::plan::Plan;
use arc_swap::ArcSwap;
use copperwell_message::HashMap;
use copperwell_routing::{Key, ServiceName, UpstreamId};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

/// Orders tables: first by the leadership that made them, then by their number within it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    /// The leadership, by the offset of its first record in the store.
    pub term: u64,
    /// The number of the table within the leadership.
    pub number: u64,
}

/// Who serves which keys of each service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tables {
    /// The version.
    pub version: Version,
    /// A table for each service.
    pub services: HashMap<ServiceName, Table>,
}

/// Who serves which keys of one service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// The upstreams that the ranges name.
    holders: Vec<UpstreamId>,
    /// The share of requests that each of the holders can take, in parts of [`ALL`].
    admits: Vec<u8>,
    /// Ranges in order; each reaches up to the next one.
    ranges: Vec<Stretch>,
}

/// Admits all requests.
pub const ALL: u8 = 20;

/// Who serves a key.
#[derive(Debug, Clone, PartialEq)]
pub struct Served {
    /// The upstream.
    pub by: UpstreamId,
    /// The share of requests that it can take.
    pub admits: f64,
}

/// A range of keys, by its first one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Stretch {
    first: Key,
    /// Which of the holders; `None` while nobody serves the range.
    holder: Option<u16>,
}

/// The newest tables that a daemon knows.
#[derive(Debug, Default)]
pub struct Directory {
    tables: ArcSwap<Tables>,
    changed: Notify,
}

impl Table {
    /// A table of ranges that are given in order, by their first key.
    #[must_use]
    pub fn new<'a>(ranges: impl IntoIterator<Item = (Key, Option<&'a UpstreamId>)>) -> Self {
        let mut table = Self::default();
        let mut known: HashMap<UpstreamId, u16> = HashMap::default();
        for (first, holder) in ranges {
            let holder = holder.map(|id| {
                *known.entry(id.clone()).or_insert_with(|| {
                    table.holders.push(id.clone());
                    u16::try_from(table.holders.len() - 1).unwrap_or(u16::MAX)
                })
            });
            if table.ranges.last().is_none_or(|last| last.holder != holder) {
                table.ranges.push(Stretch { first, holder });
            }
        }
        table
    }

    /// Says what share of its requests each holder can take, in parts of [`ALL`].
    #[must_use]
    pub fn with_admits(mut self, admits: impl Fn(&UpstreamId) -> u8) -> Self {
        self.admits = self.holders.iter().map(admits).collect();
        self
    }

    /// The table that follows from a plan, if all its grants are in force.
    #[must_use]
    pub fn of(plan: &Plan) -> Self {
        let ranges = plan.ranges.iter();
        Self::new(ranges.map(|range| {
            let holder = range.holder.as_ref().map(|holder| &holder.id);
            (range.first, holder)
        }))
    }

    /// Who serves a key.
    #[must_use]
    pub fn served(&self, key: Key) -> Option<Served> {
        let after = self.ranges.partition_point(|range| range.first <= key);
        let range = self.ranges.get(after.checked_sub(1)?)?;
        let index = usize::from(range.holder?);
        let admits = self.admits.get(index).copied().unwrap_or(ALL);
        Some(Served {
            by: self.holders.get(index)?.clone(),
            admits: f64::from(admits) / f64::from(ALL),
        })
    }
}

impl Directory {
    /// Takes tables, if they are newer than those that are known.
    pub fn take(&self, tables: Tables) -> bool {
        if tables.version <= self.tables.load().version {
            return false;
        }
        self.tables.store(Arc::new(tables));
        self.changed.notify_waiters();
        true
    }

    /// The tables.
    #[must_use]
    pub fn tables(&self) -> Arc<Tables> {
        self.tables.load_full()
    }

    /// The version of the tables.
    #[must_use]
    pub fn version(&self) -> Version {
        self.tables.load().version
    }

    /// Who serves a key of a service.
    #[must_use]
    pub fn served(&self, service: &str, key: Key) -> Option<Served> {
        let tables = self.tables.load();
        tables.services.get(service)?.served(key)
    }

    /// Resolves once the tables are newer than `version`.
    pub async fn newer_than(&self, version: Version) {
        loop {
            let changed = self.changed.notified();
            if self.tables.load().version > version {
                return;
            }
            changed.await;
        }
    }
}
