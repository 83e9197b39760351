//! The leader's data from the store, which it passes on so that other daemons need not read the
//! store.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use crate::{
    exchange::Newest,
    transfer::{Chunk, Encoded, History},
};
use copperwell_message::HashMap;
use copperwell_routing::{UpstreamId, configuration::Configuration, registry::Upstream};
use serde::{Deserialize, Serialize};
use tokio::{sync::watch, time::Instant};

/// The maximum number of removed upstreams that are remembered.
const REMOVED_MAX: usize = 1_024;

/// Identifies a list of upstreams, by the run of the daemon that read it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListVersion {
    /// The run of that daemon.
    pub run: u64,
    /// The number of the list within the run; it increases when the list changes.
    pub number: u64,
}

/// The data from the store that another daemon lacks.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Delta {
    /// The version of the newest configuration.
    pub configuration: u64,
    /// What changes from the configuration of the other daemon, if that is older and the difference is short.
    /// A longer one has to be asked for.
    pub difference: Option<Encoded>,
    /// The version of the list of upstreams.
    pub list: ListVersion,
    /// How long ago that list was read.
    pub age: Duration,
    /// The list, if the other daemon has a different one.
    pub upstreams: Option<UpstreamList>,
}

/// A list of upstreams, or its difference from an earlier list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamList {
    /// The whole list.
    Whole(Vec<Upstream>),
    /// The difference from an earlier list.
    Changed {
        /// The earlier list.
        from: ListVersion,
        /// Upstreams that are new or have changed.
        changed: Vec<Upstream>,
        /// Upstreams that are no longer listed.
        gone: Vec<UpstreamId>,
    },
}

/// This daemon's data from the store.
#[derive(Debug)]
pub struct StoreState {
    state: Mutex<State>,
    /// Signals changes; reading an unchanged list sends no signal.
    changes: watch::Sender<()>,
}

#[derive(Debug)]
struct State {
    configurations: History,
    list: ListVersion,
    upstreams: BTreeMap<UpstreamId, Arc<Upstream>>,
    /// The number of the list in which each upstream last changed or was removed.
    changed_in: HashMap<UpstreamId, u64>,
    /// The number of the earliest list since which all changes are known.
    history_start: u64,
    /// When the list was last read; `None` if it never was.
    read_at: Option<Instant>,
    /// When the store last returned or confirmed the newest configuration; `None` if it never did.
    confirmed_at: Option<Instant>,
}

impl StoreState {
    /// Creates an empty state for the daemon's run `run`.
    #[must_use]
    pub fn new(run: u64) -> Self {
        let state = State {
            configurations: History::default(),
            list: ListVersion { run, number: 0 },
            upstreams: BTreeMap::new(),
            changed_in: HashMap::default(),
            history_start: 0,
            read_at: None,
            confirmed_at: None,
        };
        Self {
            state: Mutex::new(state),
            changes: watch::Sender::new(()),
        }
    }

    /// Sets this daemon's configuration, which is newer than the ones before.
    pub fn set_configuration(&self, configuration: &Arc<Configuration>) {
        self.with(|state| state.configurations.add(configuration.clone()));
        self.changes.send_replace(());
    }

    /// Records that the store has returned or confirmed the newest configuration.
    pub fn confirm_configuration(&self) {
        self.with(|state| state.confirmed_at = Some(Instant::now()));
    }

    /// Returns what this daemon has read of the newest configuration; `None` if it has not read the store.
    #[must_use]
    pub fn newest_configuration(&self) -> Option<Newest> {
        self.with(|state| {
            let age = state.confirmed_at?.elapsed();
            let version = state.configurations.version();
            Some(Newest { version, age })
        })
    }

    /// Sets the list of upstreams, which this daemon read at `at`.
    pub fn set_upstreams(&self, upstreams: impl IntoIterator<Item = Arc<Upstream>>, at: Instant) {
        let upstreams = upstreams.into_iter();
        let upstreams = upstreams.map(|one| (one.id.clone(), one)).collect();
        let is_new = self.with(|state| {
            state.read_at = Some(at);
            state.replace_list(upstreams)
        });
        if is_new {
            self.changes.send_replace(());
        }
    }

    /// Sets the list of upstreams after a change that the store does not show, if a list was read.
    pub fn update_upstreams(&self, upstreams: impl IntoIterator<Item = Arc<Upstream>>) {
        let upstreams = upstreams.into_iter();
        let upstreams = upstreams.map(|one| (one.id.clone(), one)).collect();
        let is_new = self.with(|state| state.read_at.is_some() && state.replace_list(upstreams));
        if is_new {
            self.changes.send_replace(());
        }
    }

    /// Returns the data that a daemon with the configuration of version `configuration` and the list
    /// `known` lacks; `None` if no list was read yet.
    #[must_use]
    pub fn delta_for(&self, configuration: u64, known: ListVersion) -> Option<Delta> {
        self.with(|state| {
            let age = state.read_at?.elapsed();
            let newest = state.configurations.version();
            let is_newer = newest > configuration;
            let difference = is_newer.then(|| state.configurations.inline(configuration));
            Some(Delta {
                configuration: newest,
                difference: difference.flatten(),
                list: state.list,
                age,
                upstreams: (state.list != known).then(|| state.list_for(known)),
            })
        })
    }

    /// Returns the number of upstreams in the list.
    #[must_use]
    pub fn upstream_count(&self) -> usize {
        self.with(|state| state.upstreams.len())
    }

    /// Returns a part of the difference from the configuration `known` to `version`, from the byte `start` on;
    /// `None` if this daemon does not have `version`.
    #[must_use]
    pub fn chunk(&self, known: u64, version: u64, start: usize) -> Option<Chunk> {
        self.with(|state| state.configurations.chunk(known, version, start))
    }

    /// Waits until there is newer data than the given configuration and list.
    pub async fn newer_than(&self, configuration: u64, list: ListVersion) {
        let mut changes = self.changes.subscribe();
        loop {
            let is_newer = self
                .with(|state| state.configurations.version() > configuration || state.list != list);
            if is_newer || changes.changed().await.is_err() {
                return;
            }
        }
    }

    fn with<T>(&self, access: impl FnOnce(&mut State) -> T) -> T {
        access(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl State {
    /// Replaces the list; `false` if it is unchanged.
    fn replace_list(&mut self, upstreams: BTreeMap<UpstreamId, Arc<Upstream>>) -> bool {
        let new = upstreams
            .iter()
            .filter(|(id, upstream)| self.upstreams.get(*id) != Some(*upstream));
        let gone = self
            .upstreams
            .keys()
            .filter(|id| !upstreams.contains_key(*id));
        let changed: Vec<UpstreamId> = new.map(|(id, _)| id).chain(gone).cloned().collect();
        if changed.is_empty() {
            return false;
        }
        self.list.number += 1;
        let number = self.list.number;
        self.changed_in
            .extend(changed.into_iter().map(|id| (id, number)));
        self.upstreams = upstreams;
        if self.changed_in.len() > self.upstreams.len() + REMOVED_MAX {
            let upstreams = &self.upstreams;
            self.changed_in.retain(|id, _| upstreams.contains_key(id));
            self.history_start = number;
        }
        true
    }

    /// Returns the list for a daemon that has the list `known`.
    fn list_for(&self, known: ListVersion) -> UpstreamList {
        let is_known = known.run == self.list.run
            && (self.history_start.max(1)..self.list.number).contains(&known.number);
        if !is_known {
            let all = self.upstreams.values();
            return UpstreamList::Whole(all.map(|upstream| (**upstream).clone()).collect());
        }
        let changes = self.changed_in.iter();
        let changes = changes.filter(|(_, number)| **number > known.number);
        let (mut changed, mut gone) = (Vec::new(), Vec::new());
        for (id, _) in changes {
            match self.upstreams.get(id) {
                Some(upstream) => changed.push((**upstream).clone()),
                None => gone.push(id.clone()),
            }
        }
        UpstreamList::Changed {
            from: known,
            changed,
            gone,
        }
    }
}
