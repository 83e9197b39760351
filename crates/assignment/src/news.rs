//! What the daemon that leads has read of the store, for those that leave the reading to it.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use copperwell_message::HashMap;
use copperwell_routing::{UpstreamId, configuration::Configuration, registry::Upstream};
use serde::{Deserialize, Serialize};
use tokio::{sync::watch, time::Instant};

/// The largest configuration that is told to others, in bytes; a larger one is better read from the store
/// than sent through one daemon's link.
const TOLD_BYTES_MAX: u64 = 8 << 10;

/// Upstreams that are gone and still remembered, at most.
const GONE_MAX: usize = 1_024;

/// Which list of upstreams, by the run of the daemon that read it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListNumber {
    /// The run.
    pub run: u64,
    /// The number within the run; it rises when the list changes.
    pub number: u64,
}

/// What a daemon has read of the store, as it tells others.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct News {
    /// The version of the newest configuration.
    pub configuration: u64,
    /// That configuration, for a daemon that has an older one, if it is not too large.
    pub told: Option<Arc<Configuration>>,
    /// Which list of upstreams it has.
    pub list: ListNumber,
    /// How long ago that list was read.
    pub age: Duration,
    /// The list, for a daemon that has another one.
    pub upstreams: Option<Listed>,
}

/// A list of upstreams, for a daemon that may have an earlier one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Listed {
    /// All of it.
    Whole(Vec<Upstream>),
    /// What changed.
    Changed {
        /// The list that it is a change of.
        from: ListNumber,
        /// Upstreams that are new or have changed.
        changed: Vec<Upstream>,
        /// Upstreams that are gone.
        gone: Vec<UpstreamId>,
    },
}

/// What this daemon has read of the store.
#[derive(Debug)]
pub struct Board {
    read: Mutex<Read>,
    /// Tells of changes; a new reading that changes nothing is none.
    changes: watch::Sender<()>,
}

#[derive(Debug)]
struct Read {
    configuration: u64,
    /// That configuration, if it is not too large to be told.
    told: Option<Arc<Configuration>>,
    list: ListNumber,
    upstreams: BTreeMap<UpstreamId, Arc<Upstream>>,
    /// In which list each upstream changed last, or was found to be gone.
    changed: HashMap<UpstreamId, u64>,
    /// The earliest list of which all changes since are known.
    known_from: u64,
    /// When the list was read; `None` before the first time.
    at: Option<Instant>,
}

impl Board {
    /// An empty board of a daemon's run.
    #[must_use]
    pub fn new(run: u64) -> Self {
        let read = Read {
            configuration: 0,
            told: None,
            list: ListNumber { run, number: 0 },
            upstreams: BTreeMap::new(),
            changed: HashMap::default(),
            known_from: 0,
            at: None,
        };
        Self {
            read: Mutex::new(read),
            changes: watch::Sender::new(()),
        }
    }

    /// Notes the configuration that this daemon has, which is newer than those before.
    pub fn note_configuration(&self, configuration: &Arc<Configuration>) {
        let is_told =
            bincode::serialized_size(&**configuration).is_ok_and(|bytes| bytes <= TOLD_BYTES_MAX);
        self.with(|read| {
            read.configuration = configuration.version;
            read.told = is_told.then(|| configuration.clone());
        });
        self.changes.send_replace(());
    }

    /// Notes a list that this daemon has read at `at`.
    pub fn note_list(&self, upstreams: impl IntoIterator<Item = Arc<Upstream>>, at: Instant) {
        let upstreams = upstreams.into_iter();
        let upstreams = upstreams.map(|one| (one.id.clone(), one)).collect();
        let is_new = self.with(|read| {
            read.at = Some(at);
            read.take(upstreams)
        });
        if is_new {
            self.changes.send_replace(());
        }
    }

    /// What there is to tell a daemon that has a configuration and the list `knows`; `None` if nothing was
    /// read yet.
    #[must_use]
    pub fn news(&self, configuration: u64, knows: ListNumber) -> Option<News> {
        self.with(|read| {
            let is_newer = read.configuration > configuration;
            Some(News {
                configuration: read.configuration,
                told: read.told.clone().filter(|_| is_newer),
                list: read.list,
                age: read.at?.elapsed(),
                upstreams: (read.list != knows).then(|| read.listed(knows)),
            })
        })
    }

    /// Resolves once there is something newer than what a daemon knows.
    pub async fn newer_than(&self, configuration: u64, list: ListNumber) {
        let mut changes = self.changes.subscribe();
        loop {
            let is_newer =
                self.with(|read| read.configuration > configuration || read.list != list);
            if is_newer || changes.changed().await.is_err() {
                return;
            }
        }
    }

    fn with<T>(&self, act: impl FnOnce(&mut Read) -> T) -> T {
        act(&mut self.read.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Read {
    /// Takes a list; `false` if it is the one that is known.
    fn take(&mut self, upstreams: BTreeMap<UpstreamId, Arc<Upstream>>) -> bool {
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
        self.changed
            .extend(changed.into_iter().map(|id| (id, number)));
        self.upstreams = upstreams;
        if self.changed.len() > self.upstreams.len() + GONE_MAX {
            let upstreams = &self.upstreams;
            self.changed.retain(|id, _| upstreams.contains_key(id));
            self.known_from = number;
        }
        true
    }

    /// The list, for a daemon that has the list `knows`.
    fn listed(&self, knows: ListNumber) -> Listed {
        let is_known = knows.run == self.list.run
            && (self.known_from.max(1)..self.list.number).contains(&knows.number);
        if !is_known {
            let all = self.upstreams.values();
            return Listed::Whole(all.map(|upstream| (**upstream).clone()).collect());
        }
        let since = self.changed.iter();
        let since = since.filter(|(_, number)| **number > knows.number);
        let (mut changed, mut gone) = (Vec::new(), Vec::new());
        for (id, _) in since {
            match self.upstreams.get(id) {
                Some(upstream) => changed.push((**upstream).clone()),
                None => gone.push(id.clone()),
            }
        }
        Listed::Changed {
            from: knows,
            changed,
            gone,
        }
    }
}
