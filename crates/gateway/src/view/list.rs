//! The list of upstreams: how it changes, how old it is, and whether requests are sent by it.

use std::{
    sync::{MutexGuard, PoisonError, atomic::Ordering},
    time::Duration,
};

use super::{Draining, View};
use crate::list_log::{self, ListAge};
use copperwell_assignment::store_state::ListVersion;
use copperwell_routing::{
    Incarnation, UpstreamId,
    freshness::{Ages, Freshness, Origin, Use},
    registry::{Changes, Upstream},
};
use tokio::time::{Instant, timeout_at};

/// How long a draining holder still gets requests for its keys while they migrate.
const DRAINING_GRACE: Duration = Duration::from_millis(200);

/// How often a request that waits for a later list looks whether the store is late.
const LATE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// When a read of the store started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadStart {
    /// By the boot clock.
    pub boot: Duration,
    /// By the runtime's clock.
    pub at: Instant,
}

impl View {
    /// Applies a list of upstreams that this daemon read from the store, unless it has a later one.
    pub fn update_upstreams(
        &self,
        listed: impl IntoIterator<Item = Upstream>,
        start: ReadStart,
    ) -> Changes {
        let _change = self.change_list();
        if self.freshness().read_at() > Some(start.at) {
            return Changes::default();
        }
        let now = Instant::now();
        let mut registry = self
            .registry
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let changes = registry.update(listed, now);
        let upstreams: Vec<_> = registry.all().cloned().collect();
        drop(registry);
        let store_state = &self.keys.store_state;
        let is_new = store_state.set_upstreams_with_kept(upstreams, start.at, changes.kept);
        let mut update = self.leader_update();
        if is_new || update.list != self.keys.store_state.list_version() {
            // The leader's changes since its last list do not apply to this list.
            update.list = ListVersion::default();
            update.newer_list_at = Some(start.at);
            update.successor_list = ListVersion::default();
        }
        drop(update);
        self.keys
            .needs_upstream_list
            .store(false, Ordering::Relaxed);
        self.apply_changes(&changes, now);
        self.record_list(&changes, start.at, Origin::Store);
        let start_us = u64::try_from(start.boot.as_micros()).unwrap_or(u64::MAX);
        self.list_read_at_us
            .store(start_us.max(1), Ordering::Release);
        changes
    }

    /// Records that an incarnation of an upstream has said that it leaves.
    pub fn record_leaving(&self, id: &UpstreamId, born: Incarnation) {
        // Answers of an upstream that drains already are the usual case.
        if self
            .registry()
            .get(id)
            .is_some_and(|known| known.is_draining)
        {
            return;
        }
        let _change = self.change_list();
        let now = Instant::now();
        let mut registry = self
            .registry
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let changes = registry.record_leaving(id, born);
        let leaving = registry.leaving();
        let is_listed = registry.read_at().is_some();
        let upstreams: Vec<_> = registry.all().cloned().collect();
        drop(registry);
        self.keys.leaving.send_replace(leaving);
        if is_listed && !changes.draining.is_empty() {
            self.keys.store_state.update_upstreams(upstreams);
        }
        self.apply_changes(&changes, now);
        let age = self.freshness().age(now);
        let list = ListAge {
            origin: Origin::Upstream,
            age,
            before: age,
        };
        list_log::record(&changes, list);
    }

    /// Records that the registry has the list of a read that started at `read_at`, and logs its changes.
    pub(super) fn record_list(&self, changes: &Changes, read_at: Instant, origin: Origin) {
        let now = Instant::now();
        let mut freshness = self.freshness();
        let before = freshness.age(now);
        freshness.record_list(read_at);
        let age = Some(now.saturating_duration_since(read_at));
        drop(freshness);
        self.list_read.notify_waiters();
        let list = ListAge {
            origin,
            age,
            before,
        };
        list_log::record(changes, list);
    }

    /// Records that the list of upstreams could not be read, or not in time.
    pub fn record_list_failure(&self) {
        self.freshness().record_late(Instant::now());
        self.list_read.notify_waiters();
        let mut registry = self
            .registry
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        registry.record_read_failure();
    }

    /// Records since when this daemon waits for a read of the list; `None` if it does not read the store now.
    pub fn record_reading(&self, since: Option<Instant>) {
        self.freshness().record_reading(since);
    }

    /// Sets for how long an upstream that leaves serves.
    pub fn set_drain(&self, drain: Duration) {
        self.freshness().set_drain(drain);
    }

    /// Returns the ages of the list at which this daemon acts.
    #[must_use]
    pub fn list_ages(&self) -> Ages {
        self.freshness().ages()
    }

    /// Returns how long ago the read of the store started from which the list of upstreams comes, whoever made it.
    #[must_use]
    pub fn upstreams_age(&self) -> Option<Duration> {
        self.freshness().age(Instant::now())
    }

    /// Waits until the list is young enough for requests to be sent by it, or no later one can be had, at most until
    /// `deadline`.
    pub async fn wait_for_list(&self, deadline: Instant) {
        loop {
            let now = Instant::now();
            if self.freshness().judge(now) != Use::Awaited || now >= deadline {
                return;
            }
            let until = deadline.min(now + LATE_POLL_INTERVAL);
            let _ = timeout_at(until, self.list_read.notified()).await;
        }
    }

    /// Returns whether a request that was meant for `chosen` may be sent there now.
    ///
    /// The upstream may have left since it was chosen, and the list may have become too old to tell.
    #[must_use]
    pub fn may_send(&self, chosen: &Upstream, has_key: bool) -> bool {
        if self.freshness().judge(Instant::now()) == Use::Awaited {
            return false;
        }
        let registry = self.registry();
        let known = registry.get(&chosen.id).cloned();
        drop(registry);
        let Some(known) = known.filter(|known| known.born == chosen.born) else {
            return false;
        };
        !known.is_draining || has_key && self.may_serve_keys(&known.id)
    }

    /// Returns whether an upstream gets requests for its keys: it is not draining, or has been for a short time.
    #[must_use]
    pub fn may_serve_keys(&self, id: &str) -> bool {
        let draining = self.draining.lock().unwrap_or_else(PoisonError::into_inner);
        draining
            .get(id)
            .is_none_or(|one| Instant::now() < one.until)
    }

    /// Records for how long upstreams that have begun to drain get requests for their keys.
    pub(super) fn record_draining(&self, changes: &Changes, now: Instant) {
        // The store has taken their word after the read of the list that is replaced.
        let fresh_until = self.freshness().fresh_until();
        let fresh_until = fresh_until.unwrap_or(now);
        let until = fresh_until.min(now + DRAINING_GRACE);
        let mut draining = self.draining.lock().unwrap_or_else(PoisonError::into_inner);
        for upstream in &changes.joined {
            draining.remove(&upstream.id);
        }
        for upstream in &changes.draining {
            draining.insert(upstream.id.clone(), Draining { until, fresh_until });
        }
        for upstream in changes.resumed.iter().chain(&changes.gone) {
            draining.remove(&upstream.id);
        }
    }

    /// Returns whether this daemon must read the list of upstreams itself.
    ///
    /// This is the case if the list of the leader and its successors is too old, or if this daemon is about to lead and
    /// has never read a list. While it can ask successors, it leaves them some time more.
    #[must_use]
    pub fn must_read_upstreams(&self) -> bool {
        let ages = self.list_ages();
        let can_ask = !self.keys.successors.borrow().is_empty();
        let age_max = if can_ask { ages.read_all } else { ages.read };
        let read_at = self.leader_update().list_read_at();
        let is_old = read_at.is_none_or(|at| at.elapsed() > age_max);
        is_old || self.keys.needs_upstream_list.load(Ordering::Relaxed)
    }

    /// Keeps other threads from changing the list until the guard is dropped.
    pub(super) fn change_list(&self) -> MutexGuard<'_, ()> {
        self.list_change
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn freshness(&self) -> MutexGuard<'_, Freshness> {
        self.freshness
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
