//! The difference between tables, for daemons that have an earlier version.
//!
//! Tables change many times a second while keys migrate, and their size grows with the number of
//! upstreams. So a daemon that follows the leader receives only the changes.

use crate::table::{Table, Tables, Version};
use copperwell_routing::{Key, ServiceName, UpstreamId};
use serde::{Deserialize, Serialize};

/// An update to newer tables.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The whole tables.
    Whole(Tables),
    /// The changes, one version after the other.
    Steps(Vec<Step>),
}

/// The changes from one version of the tables to the next.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The version before the changes.
    pub from: Version,
    /// The version after the changes.
    pub to: Version,
    /// The changed tables.
    services: Vec<(ServiceName, Change)>,
}

/// The changes in the table of one service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Change {
    /// Ranges that another upstream serves now, or none, in order.
    pub(crate) spans: Vec<Span>,
    /// Upstreams whose admitted share has changed, in parts of [`crate::table::FULL_SHARE`].
    pub(crate) admits: Vec<(UpstreamId, u8)>,
}

/// A range of keys and the upstream that serves it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Span {
    pub(crate) first: Key,
    pub(crate) last: Key,
    pub(crate) holder: Option<UpstreamId>,
}

impl Change {
    /// Returns the span that contains a key.
    pub(crate) fn span_of(&self, key: Key) -> Option<&Span> {
        let after = self.spans.partition_point(|span| span.first <= key);
        let span = self.spans.get(after.checked_sub(1)?)?;
        (key <= span.last).then_some(span)
    }
}

impl Step {
    /// Returns the changes from `before` to `after`; `None` if their leaders or services differ.
    #[must_use]
    pub fn between(before: &Tables, after: &Tables) -> Option<Self> {
        let is_same_leader = before.version.term == after.version.term;
        if !is_same_leader || before.services.len() != after.services.len() {
            return None;
        }
        let mut services = Vec::new();
        for (name, table) in &after.services {
            let change = before.services.get(name)?.change_to(table);
            if change != Change::default() {
                services.push((name.clone(), change));
            }
        }
        Some(Self {
            from: before.version,
            to: after.version,
            services,
        })
    }

    /// Returns the tables after this step; `None` if it does not start at `before`.
    #[must_use]
    pub fn apply(&self, before: &Tables) -> Option<Tables> {
        if self.from != before.version {
            return None;
        }
        let mut services = before.services.clone();
        for (name, change) in &self.services {
            let table: &mut Table = services.get_mut(name)?;
            *table = table.with_change(change);
        }
        Some(Tables {
            version: self.to,
            services,
        })
    }
}
