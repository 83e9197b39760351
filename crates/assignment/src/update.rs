//! What changed in the tables, for daemons that have an earlier version.
//!
//! Tables change many times a second while keys move, and grow with the upstreams. So a daemon that
//! follows the leader gets only what is new to it.

use crate::table::{Table, Tables, Version};
use copperwell_routing::{Key, ServiceName, UpstreamId};
use serde::{Deserialize, Serialize};

/// Newer tables.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// All of them.
    Whole(Tables),
    /// What changed, one version after the other.
    Steps(Vec<Step>),
}

/// What changed from one version of the tables to the next.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The version before.
    pub from: Version,
    /// The version after.
    pub to: Version,
    /// The changed tables.
    services: Vec<(ServiceName, Change)>,
}

/// What changed in the table of one service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Change {
    /// Ranges that somebody else serves, or nobody, in order.
    pub(crate) spans: Vec<Span>,
    /// Upstreams that can take another share of requests, in parts of [`crate::table::ALL`].
    pub(crate) admits: Vec<(UpstreamId, u8)>,
}

/// A range of keys and who serves it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Span {
    pub(crate) first: Key,
    pub(crate) last: Key,
    pub(crate) holder: Option<UpstreamId>,
}

impl Change {
    /// The span that a key lies in.
    pub(crate) fn span_of(&self, key: Key) -> Option<&Span> {
        let after = self.spans.partition_point(|span| span.first <= key);
        let span = self.spans.get(after.checked_sub(1)?)?;
        (key <= span.last).then_some(span)
    }
}

impl Step {
    /// What changed from `before` to `after`; `None` if they have not the same leader and services.
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

    /// The tables after this step; `None` if it does not begin at `before`.
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
