//! The leader's data from the store, which it passes on so that other daemons need not read the
//! store.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use crate::transfer::{Chunk, Encoded, History};
use copperwell_message::HashMap;
use copperwell_routing::{UpstreamId, configuration::Configuration, registry::Upstream};
use serde::{Deserialize, Serialize};
use tokio::{sync::watch, time::Instant};

/// The maximum number of removed upstreams that are remembered.
const REMOVED_MAX: usize = 1_024;

/// The maximum number of runs whose lists are remembered.
const SPANS_MAX: usize = 8;

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

/// What a daemon knows of the newest configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Newest {
    /// The version of its configuration.
    pub version: u64,
    /// How long ago the store returned or confirmed it.
    pub age: Duration,
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
    /// The run of this daemon.
    run: u64,
    /// The last list that this daemon has read or was told.
    list: ListVersion,
    upstreams: BTreeMap<UpstreamId, Arc<Upstream>>,
    /// The number of the list in which each upstream last changed or was removed.
    changed_in: HashMap<UpstreamId, u64>,
    /// The lists since which all changes are known, the latest last. Their numbers increase over all spans.
    spans: Vec<Span>,
    /// The highest number of a list of this daemon's run.
    issued: u64,
    /// Whether this daemon has read the list, rather than been told.
    is_own: bool,
    /// How many upstreams are in the list though the read did not return them.
    kept: usize,
    /// When this daemon last read the list; `None` if it never did.
    read_at: Option<Instant>,
    /// When the store last returned or confirmed the newest configuration; `None` if it never did.
    confirmed_at: Option<Instant>,
}

/// Consecutive lists of one run.
#[derive(Debug, Clone, Copy)]
struct Span {
    run: u64,
    first: u64,
    last: u64,
}

impl StoreState {
    /// Creates an empty state for the daemon's run `run`.
    #[must_use]
    pub fn new(run: u64) -> Self {
        let state = State {
            configurations: History::default(),
            run,
            list: ListVersion { run, number: 0 },
            upstreams: BTreeMap::new(),
            changed_in: HashMap::default(),
            spans: Vec::new(),
            issued: 0,
            is_own: false,
            kept: 0,
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

    /// Sets the list of upstreams, which this daemon read at `at`; returns whether it has changed.
    pub fn set_upstreams(
        &self,
        upstreams: impl IntoIterator<Item = Arc<Upstream>>,
        at: Instant,
    ) -> bool {
        self.set_upstreams_with_kept(upstreams, at, 0)
    }

    /// Sets the list of upstreams as [`StoreState::set_upstreams`] does; the read did not return `kept` of them.
    pub fn set_upstreams_with_kept(
        &self,
        upstreams: impl IntoIterator<Item = Arc<Upstream>>,
        at: Instant,
        kept: usize,
    ) -> bool {
        let upstreams = upstreams.into_iter();
        let upstreams = upstreams.map(|one| (one.id.clone(), one)).collect();
        let is_new = self.with(|state| {
            state.read_at = Some(at);
            state.is_own = true;
            state.kept = kept;
            state.replace_list(upstreams)
        });
        if is_new {
            self.changes.send_replace(());
        }
        is_new
    }

    /// Sets the list of upstreams after a change that the store does not show, if this daemon has read it.
    pub fn update_upstreams(&self, upstreams: impl IntoIterator<Item = Arc<Upstream>>) {
        let upstreams = upstreams.into_iter();
        let upstreams = upstreams.map(|one| (one.id.clone(), one)).collect();
        let is_new = self.with(|state| state.is_own && state.replace_list(upstreams));
        if is_new {
            self.changes.send_replace(());
        }
    }

    /// Follows a list that the leader has told, so that a daemon that leads next can tell others what has changed
    /// since.
    pub fn follow_list(&self, version: ListVersion, list: &UpstreamList) {
        self.with(|state| state.follow(version, list));
    }

    /// Returns the version of the list.
    #[must_use]
    pub fn list_version(&self) -> ListVersion {
        self.with(|state| state.list)
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

    /// Returns what [`StoreState::delta_for`] returns, for a daemon that asks while the leader is silent.
    ///
    /// Returns `None` if the list is older than its read: this daemon has kept upstreams that the read did not return,
    /// since reads before it had failed. The other daemon may have read the list meanwhile, and know that they left.
    #[must_use]
    pub fn successor_delta_for(&self, configuration: u64, known: ListVersion) -> Option<Delta> {
        match self.with(|state| state.kept) {
            0 => self.delta_for(configuration, known),
            _ => None,
        }
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
    /// Replaces the list by one that this daemon has read; `false` if it is unchanged.
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
        let number = self.list.number.max(self.issued) + 1;
        self.issued = number;
        let version = ListVersion {
            run: self.run,
            number,
        };
        self.upstreams = upstreams;
        self.advance(version, changed);
        true
    }

    /// Follows a list of another daemon.
    fn follow(&mut self, version: ListVersion, list: &UpstreamList) {
        match list {
            UpstreamList::Whole(upstreams) => {
                self.is_own = false;
                self.kept = 0;
                let upstreams = upstreams.iter().cloned().map(Arc::new);
                self.upstreams = upstreams.map(|one| (one.id.clone(), one)).collect();
                self.changed_in.clear();
                self.spans.clear();
                self.advance(version, Vec::new());
            }
            UpstreamList::Changed {
                from,
                changed,
                gone,
            } if *from == self.list => {
                self.is_own = false;
                self.kept = 0;
                for upstream in changed {
                    let upstream = Arc::new(upstream.clone());
                    self.upstreams.insert(upstream.id.clone(), upstream);
                }
                for id in gone {
                    self.upstreams.remove(id);
                }
                let changed = changed.iter().map(|one| &one.id).chain(gone);
                let changed = changed.cloned().collect();
                self.advance(version, changed);
            }
            UpstreamList::Changed { .. } => {}
        }
    }

    /// Gives the list a new version, in which `changed` are new, have changed or are gone.
    fn advance(&mut self, version: ListVersion, changed: Vec<UpstreamId>) {
        let ListVersion { run, number } = version;
        let is_later = number > self.list.number;
        self.list = version;
        self.changed_in
            .extend(changed.into_iter().map(|id| (id, number)));
        let is_forgotten = self.changed_in.len() > self.upstreams.len() + REMOVED_MAX;
        if is_forgotten || !is_later {
            // A number that is not later cannot be compared with the earlier ones.
            self.changed_in.clear();
            self.spans.clear();
        }
        match self.spans.last_mut().filter(|span| span.run == run) {
            Some(span) => span.last = number,
            None => self.spans.push(Span {
                run,
                first: number,
                last: number,
            }),
        }
        if self.spans.len() > SPANS_MAX {
            self.spans.remove(0);
        }
    }

    /// Returns the list for a daemon that has the list `known`.
    fn list_for(&self, known: ListVersion) -> UpstreamList {
        let is_known = self
            .spans
            .iter()
            .any(|span| span.run == known.run && (span.first..=span.last).contains(&known.number));
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
