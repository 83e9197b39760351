//! What a daemon was last told by the leader and its successors, and whose list of upstreams it has.

use copperwell_assignment::store_state::{Delta, ListVersion, UpstreamList};
use tokio::time::Instant;

/// The last update from the leader, and the answers of its successors since then.
#[derive(Debug, Default)]
pub(super) struct LeaderUpdate {
    /// When it was received; `None` before the first one.
    pub(super) received_at: Option<Instant>,
    /// When the leader read its list of upstreams; `None` before the first update.
    pub(super) read_at: Option<Instant>,
    /// The version of the leader's configuration.
    pub(super) configuration: u64,
    /// Since when this daemon lacks it, or when a part of it last arrived.
    pub(super) behind_since: Option<Instant>,
    /// The leader's list of which this daemon asks for changes only; the default if it needs the whole one.
    pub(super) list: ListVersion,
    /// When the list in the registry was read, if this daemon or a successor has read it since the leader.
    pub(super) newer_list_at: Option<Instant>,
    /// The successor's list that the registry has; the default if it has none.
    pub(super) successor_list: ListVersion,
    /// Whether the daemons that should lead next have been asked since then.
    pub(super) were_successors_asked: bool,
    /// When one of them last answered; `None` if none was asked.
    pub(super) successor_answered_at: Option<Instant>,
    /// When the store last confirmed the configuration to such a daemon.
    pub(super) successor_confirmed_at: Option<Instant>,
}

/// What to do with the list of an update from the leader.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Taken {
    /// The registry takes this list, or what has changed.
    New(UpstreamList),
    /// The registry has it.
    Same,
    /// The registry has a later one.
    Older,
    /// It does not apply to the list in the registry; a whole one will follow.
    Inapplicable,
}

impl LeaderUpdate {
    /// Returns the version of the list in the registry; the default if it is this daemon's own.
    pub(super) fn known_list(&self) -> ListVersion {
        match self.newer_list_at {
            Some(_) => self.successor_list,
            None => self.list,
        }
    }

    /// Returns when the list in the registry was read, by the leader or a successor; `None` if neither has.
    pub(super) fn list_read_at(&self) -> Option<Instant> {
        let is_of_successor = self.successor_list != ListVersion::default();
        let newer_at = self.newer_list_at.filter(|_| is_of_successor);
        self.read_at.max(newer_at)
    }

    /// Takes the list of an update from the leader if it applies to the registry.
    ///
    /// `at` is when the leader read it. [`Taken::Same`] says that the registry has all of it. A list that was read since is kept: a leader that is cut off from the store goes
    /// on to tell its old one.
    pub(super) fn take_list(&mut self, delta: &mut Delta, at: Option<Instant>) -> Taken {
        let list = delta.upstreams.take();
        let previous = std::mem::replace(&mut self.list, delta.list);
        if self.newer_list_at.is_some_and(|newer| at < Some(newer)) {
            return Taken::Older;
        }
        let has_list_of_leader = self.newer_list_at.is_none();
        if has_list_of_leader && is_applicable(&list, delta.list, previous) || is_whole(&list) {
            self.newer_list_at = None;
            self.successor_list = ListVersion::default();
            return list.map_or(Taken::Same, Taken::New);
        }
        let successor_list = std::mem::take(&mut self.successor_list);
        self.list = if successor_list.run == delta.list.run {
            // The successor leads now, and can tell what has changed since.
            self.newer_list_at = None;
            successor_list
        } else {
            // Makes the leader send its whole list next time.
            ListVersion::default()
        };
        Taken::Inapplicable
    }

    /// Takes the list of a successor, which has read it at `at`, if it applies to the registry and is newer; returns
    /// whether it is.
    pub(super) fn take_successor_list(&mut self, delta: &Delta, at: Option<Instant>) -> bool {
        if at <= self.read_at.max(self.newer_list_at) {
            return false;
        }
        let previous = self.known_list();
        if !is_applicable(&delta.upstreams, delta.list, previous) {
            self.successor_list = ListVersion::default();
            return false;
        }
        self.newer_list_at = at;
        self.successor_list = delta.list;
        true
    }
}

/// Returns whether a daemon that has the list `previous` can take a list, or what has changed, of version `version`.
fn is_applicable(list: &Option<UpstreamList>, version: ListVersion, previous: ListVersion) -> bool {
    match list {
        Some(UpstreamList::Whole(_)) => true,
        Some(UpstreamList::Changed { from, .. }) => *from == previous,
        None => version == previous,
    }
}

fn is_whole(list: &Option<UpstreamList>) -> bool {
    matches!(list, Some(UpstreamList::Whole(_)))
}
