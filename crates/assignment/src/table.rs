//! The routing tables, which map keys to the upstreams that serve them.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use crate::{
    plan::Plan,
    update::{Change, Span, Step, Update},
};
use arc_swap::ArcSwap;
use copperwell_message::HashMap;
use copperwell_routing::{Key, ServiceName, UpstreamId};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

/// A version of the tables, ordered by the term of the leader that made them, then by their number
/// within the term.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    /// The term of leadership: one more than the position at which its first entry was written to
    /// the store, so later terms are higher.
    pub term: u64,
    /// The number of the tables within the term.
    pub number: u64,
}

/// The routing tables of all services.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tables {
    /// The version of the tables.
    pub version: Version,
    /// The table of each service.
    pub services: HashMap<ServiceName, Table>,
}

/// The routing table of one service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// The upstreams that serve the ranges.
    holders: Vec<UpstreamId>,
    /// The share of requests that each of them admits, in parts of [`FULL_SHARE`].
    admits: Vec<u8>,
    /// Ranges in order; each ends where the next one starts.
    ranges: Vec<RangeStart>,
}

/// The share of an upstream that admits all requests.
pub const FULL_SHARE: u8 = 20;

/// The upstream that serves a key.
#[derive(Debug, Clone, PartialEq)]
pub struct Served {
    /// The name of the upstream.
    pub upstream: UpstreamId,
    /// The share of requests that it admits, from 0 to 1.
    pub admitted_share: f64,
}

/// The start of a range of keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct RangeStart {
    first: Key,
    /// The index of the upstream that serves the range; `None` if there is none.
    holder: Option<u16>,
}

/// The newest routing tables of a daemon.
#[derive(Debug, Default)]
pub struct RoutingTables {
    tables: ArcSwap<Tables>,
    changed: Notify,
    history: Mutex<History>,
}

/// The maximum number of steps kept for daemons that are some versions behind.
const STEPS_MAX: usize = 64;

/// How the newest tables were built.
#[derive(Debug, Default)]
struct History {
    /// The last changes that this daemon published, up to the newest tables.
    steps: VecDeque<Step>,
    /// The version of the newest tables that come from a leader, to which its changes can be
    /// applied.
    base: Option<Version>,
}

impl Table {
    /// Creates a table of ranges that are given in order, by their first key.
    #[must_use]
    pub fn new<'a>(ranges: impl IntoIterator<Item = (Key, Option<&'a UpstreamId>)>) -> Self {
        let mut table = Self::default();
        let mut indices: HashMap<UpstreamId, u16> = HashMap::default();
        for (first, holder) in ranges {
            let holder = holder.map(|id| {
                *indices.entry(id.clone()).or_insert_with(|| {
                    table.holders.push(id.clone());
                    u16::try_from(table.holders.len() - 1).unwrap_or(u16::MAX)
                })
            });
            if table.ranges.last().is_none_or(|last| last.holder != holder) {
                table.ranges.push(RangeStart { first, holder });
            }
        }
        table
    }

    /// Sets the share of requests that each upstream admits, in parts of [`FULL_SHARE`].
    #[must_use]
    pub fn with_admits(mut self, admits: impl Fn(&UpstreamId) -> u8) -> Self {
        self.admits = self.holders.iter().map(admits).collect();
        self
    }

    /// Creates the table of a plan, as if all its grants were in force.
    #[must_use]
    pub fn from_plan(plan: &Plan) -> Self {
        let ranges = plan.ranges.iter();
        Self::new(ranges.map(|range| {
            let holder = range.holder.as_ref().map(|holder| &holder.id);
            (range.first, holder)
        }))
    }

    /// Returns the change that turns this table into `other`.
    pub(crate) fn change_to(&self, other: &Self) -> Change {
        let mut spans: Vec<Span> = Vec::new();
        let firsts = self.ranges.iter().chain(&other.ranges);
        let mut firsts: Vec<Key> = firsts.map(|range| range.first).collect();
        firsts.sort_unstable();
        firsts.dedup();
        for (at, first) in firsts.iter().copied().enumerate() {
            let holder = other.holder(first);
            if self.holder(first) == holder {
                continue;
            }
            let last = firsts.get(at + 1).map_or(Key::MAX, |next| next - 1);
            match spans.last_mut() {
                Some(span) if span.holder.as_ref() == holder && span.last == first - 1 => {
                    span.last = last;
                }
                _ => spans.push(Span {
                    first,
                    last,
                    holder: holder.cloned(),
                }),
            }
        }
        let known: HashMap<_, _> = self.shares().collect();
        let admits = other
            .shares()
            .filter(|(id, admits)| known.get(id).copied().unwrap_or(FULL_SHARE) != *admits);
        Change {
            spans,
            admits: admits.map(|(id, admits)| (id.clone(), admits)).collect(),
        }
    }

    /// Returns the table after a change.
    pub(crate) fn with_change(&self, change: &Change) -> Self {
        let own = self.ranges.iter().map(|range| range.first);
        let spans = change.spans.iter();
        let edges = spans.flat_map(|span| [Some(span.first), span.last.checked_add(1)]);
        let mut firsts: Vec<Key> = own.chain(edges.flatten()).chain([0]).collect();
        firsts.sort_unstable();
        firsts.dedup();
        let holder = |key| match change.span_of(key) {
            Some(span) => span.holder.as_ref(),
            None => self.holder(key),
        };
        let ranges = firsts.into_iter().map(|first| (first, holder(first)));
        let mut shares: HashMap<&UpstreamId, u8> = self.shares().collect();
        shares.extend(change.admits.iter().map(|(id, admits)| (id, *admits)));
        Self::new(ranges).with_admits(|id| shares.get(id).copied().unwrap_or(FULL_SHARE))
    }

    fn holder(&self, key: Key) -> Option<&UpstreamId> {
        let after = self.ranges.partition_point(|range| range.first <= key);
        let range = self.ranges.get(after.checked_sub(1)?)?;
        self.holders.get(usize::from(range.holder?))
    }

    /// Returns the upstreams and the shares that they admit.
    fn shares(&self) -> impl Iterator<Item = (&UpstreamId, u8)> {
        let admits = self.admits.iter().copied();
        self.holders
            .iter()
            .zip(admits.chain(std::iter::repeat(FULL_SHARE)))
    }

    /// Returns the number of ranges that are served by upstreams for which `is_counted` holds.
    #[must_use]
    pub fn ranges_of(&self, is_counted: impl Fn(&UpstreamId) -> bool) -> usize {
        let holders = self.ranges.iter().filter_map(|range| range.holder);
        let holders = holders.filter_map(|index| self.holders.get(usize::from(index)));
        holders.filter(|id| is_counted(id)).count()
    }

    /// Returns the upstream that serves a key.
    #[must_use]
    pub fn served(&self, key: Key) -> Option<Served> {
        let after = self.ranges.partition_point(|range| range.first <= key);
        let range = self.ranges.get(after.checked_sub(1)?)?;
        let index = usize::from(range.holder?);
        let admits = self.admits.get(index).copied().unwrap_or(FULL_SHARE);
        Some(Served {
            upstream: self.holders.get(index)?.clone(),
            admitted_share: f64::from(admits) / f64::from(FULL_SHARE),
        })
    }
}

impl RoutingTables {
    /// Adopts tables made from the plans in the store, if they are newer; returns whether they are.
    pub fn adopt_plans(&self, tables: Tables) -> bool {
        let _history = self.history();
        self.replace(tables)
    }

    /// Publishes the tables of this daemon, which leads.
    pub fn publish(&self, tables: Tables) {
        let mut history = self.history();
        let before = self.tables();
        let is_own = history.base == Some(before.version);
        match Step::between(&before, &tables).filter(|_| is_own) {
            Some(step) => history.steps.push_back(step),
            None => history.steps.clear(),
        }
        if history.steps.len() > STEPS_MAX {
            history.steps.pop_front();
        }
        history.base = Some(tables.version);
        self.replace(tables);
    }

    /// Applies an update from a leader; `false` if it does not continue the present tables.
    pub fn apply(&self, update: Update) -> bool {
        let mut history = self.history();
        let tables = match update {
            Update::Whole(tables) => tables,
            Update::Steps(steps) => {
                let base = self.tables();
                if history.base != Some(base.version) {
                    return false;
                }
                let mut tables = (*base).clone();
                for step in &steps {
                    match step.apply(&tables) {
                        Some(after) => tables = after,
                        None => return false,
                    }
                }
                tables
            }
        };
        let version = tables.version;
        let is_newer = self.replace(tables);
        if is_newer {
            history.base = Some(version);
            history.steps.clear();
        }
        is_newer
    }

    /// Returns the version of the newest tables if they come from a leader, so that its changes can
    /// be applied to them.
    #[must_use]
    pub fn base(&self) -> Option<Version> {
        let version = self.version();
        self.history().base.filter(|base| *base == version)
    }

    /// Returns the update for a daemon that has tables of version `known`; `None` if it is up to
    /// date.
    ///
    /// `base` is the version of its tables if they come from a leader. Changes are sent only if this
    /// daemon has published tables of that version and all changes since.
    #[must_use]
    pub fn update(&self, known: Version, base: Option<Version>) -> Option<Update> {
        let history = self.history();
        let tables = self.tables();
        if tables.version <= known {
            return None;
        }
        let steps = history.steps.iter();
        let start = steps.clone().position(|step| Some(step.from) == base);
        Some(match start {
            Some(start) => Update::Steps(steps.skip(start).cloned().collect()),
            None => Update::Whole((*tables).clone()),
        })
    }

    fn replace(&self, tables: Tables) -> bool {
        if tables.version <= self.tables.load().version {
            return false;
        }
        self.tables.store(Arc::new(tables));
        self.changed.notify_waiters();
        true
    }

    fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the tables.
    #[must_use]
    pub fn tables(&self) -> Arc<Tables> {
        self.tables.load_full()
    }

    /// Returns the version of the tables.
    #[must_use]
    pub fn version(&self) -> Version {
        self.tables.load().version
    }

    /// Returns the upstream that serves a key of a service.
    #[must_use]
    pub fn served(&self, service: &str, key: Key) -> Option<Served> {
        let tables = self.tables.load();
        tables.services.get(service)?.served(key)
    }

    /// Waits until the tables are newer than `version`.
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
