//! What the daemon that leads has read of the store, for those that leave the reading to it.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use copperwell_routing::{configuration::Configuration, registry::Upstream};
use serde::{Deserialize, Serialize};
use tokio::{sync::watch, time::Instant};

/// The largest configuration that is told to others, in bytes; a larger one is better read from the store
/// than sent through one daemon's link.
const TOLD_BYTES_MAX: u64 = 8 << 10;

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
    pub upstreams: Option<Vec<Upstream>>,
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
    upstreams: Vec<Arc<Upstream>>,
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
            upstreams: Vec::new(),
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
    pub fn note_list(&self, mut upstreams: Vec<Arc<Upstream>>, at: Instant) {
        upstreams.sort_by(|one, other| one.id.cmp(&other.id));
        let is_new = self.with(|read| {
            read.at = Some(at);
            let is_new = read.upstreams != upstreams;
            if is_new {
                read.list.number += 1;
                read.upstreams = upstreams;
            }
            is_new
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
            let upstreams = (read.list != knows).then(|| {
                let upstreams = read.upstreams.iter();
                upstreams.map(|upstream| (**upstream).clone()).collect()
            });
            Some(News {
                configuration: read.configuration,
                told: read.told.clone().filter(|_| is_newer),
                list: read.list,
                age: read.at?.elapsed(),
                upstreams,
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
