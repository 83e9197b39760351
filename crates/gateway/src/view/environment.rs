//! What the driver of key assignment sees of the view, and tells it.

use std::{
    sync::{Arc, PoisonError, atomic::Ordering},
    time::Duration,
};

use super::{View, leader::Taken};
use copperwell_assignment::{
    driver::Environment,
    store_state::{Delta, ListVersion, Newest, UpstreamList},
    transfer,
};
use copperwell_message::HashSet;
use copperwell_routing::{
    Incarnation, ServiceName, UpstreamId,
    evacuation::Evacuations,
    freshness::Origin,
    registry::{Changes, Upstream},
};
use spdlog::warn;
use tokio::time::Instant;

/// How long the leader must be silent before a daemon asks the successors. It is longer than an exchange without
/// news.
const LEADER_SILENCE: Duration = Duration::from_millis(700);

impl Environment for View {
    fn keyed_services(&self) -> Option<Vec<ServiceName>> {
        let configuration = self.configuration()?;
        let keyed = configuration.services().filter(|service| service.is_keyed);
        Some(keyed.map(|service| service.name.clone()).collect())
    }

    fn upstreams(&self, service: &str) -> Vec<Arc<Upstream>> {
        self.registry().of_service(service).to_vec()
    }

    fn warming_up(&self, service: &str) -> HashSet<UpstreamId> {
        let mut warming_up = self.upstreams_warming_up(service);
        if self.warmup_limit(service).is_some() {
            // Another thread may be about to record what a new list says.
            let registry = self.registry();
            let upstreams = registry.of_service(service).iter();
            let listed = upstreams.filter(|one| !one.warmup.is_zero());
            warming_up.extend(listed.map(|one| one.id.clone()));
        }
        warming_up
    }

    fn all_upstreams(&self) -> Vec<Arc<Upstream>> {
        self.registry().all().cloned().collect()
    }

    fn list_read_at(&self) -> Option<Duration> {
        match self.list_read_at_us.load(Ordering::Acquire) {
            0 => None,
            micros => Some(Duration::from_micros(micros)),
        }
    }

    fn versions(&self) -> (u64, ListVersion) {
        let known = self.configuration.load();
        let version = known.as_ref().map_or(0, |known| known.version);
        (version, self.leader_update().list)
    }

    fn is_leader_late(&self) -> bool {
        let list_age = self.list_ages().ask;
        let update = self.leader_update();
        let is_late = |at: Option<Instant>, limit| at.is_some_and(|at| at.elapsed() >= limit);
        is_late(update.received_at, LEADER_SILENCE) || is_late(update.read_at, list_age)
    }

    fn record_successor(&self, newest: Option<Newest>) {
        let now = Instant::now();
        let version = self.versions().0;
        let mut update = self.leader_update();
        update.successor_answered_at = Some(now);
        let Some(newest) = newest else { return };
        let confirmed_at = now.checked_sub(newest.age);
        update.successor_confirmed_at = update.successor_confirmed_at.max(confirmed_at);
        update.configuration = update.configuration.max(newest.version);
        update.behind_since = match version < update.configuration {
            true => update.behind_since.or(Some(now)),
            false => None,
        };
    }

    fn is_list_late(&self) -> bool {
        let age_max = self.list_ages().ask;
        let read_at = self.leader_update().list_read_at();
        read_at.is_some_and(|at| at.elapsed() >= age_max)
    }

    fn known_list(&self) -> ListVersion {
        self.leader_update().known_list()
    }

    fn apply_successor_list(&self, delta: Delta) -> bool {
        let _change = self.change_list();
        let now = Instant::now();
        let read_at = now.checked_sub(delta.age);
        if !self.leader_update().take_successor_list(&delta, read_at) {
            return false;
        }
        let mut changes = Changes::default();
        if let Some(list) = delta.upstreams {
            self.keys.store_state.follow_list(delta.list, &list);
            changes = self.apply_list(list, now);
        }
        self.record_list(&changes, read_at.unwrap_or(now), Origin::Successor);
        true
    }

    fn record_successors_asked(&self) {
        self.leader_update().were_successors_asked = true;
    }

    fn record_leaving(&self, id: &UpstreamId, born: Incarnation) {
        Self::record_leaving(self, id, born);
    }

    fn record_broken(&self, id: &UpstreamId) {
        self.paths.record_loss(id);
    }

    fn record_unanswered(&self, id: &UpstreamId, sent_at: Instant) {
        self.paths.record_timeout(id, sent_at);
    }

    fn record_order_answer(&self, id: &UpstreamId) {
        self.paths.record_order_answer(id);
    }

    fn record_unconnected(&self, id: &UpstreamId) {
        self.paths.reach().record_doubt(id);
    }

    fn record_transfer(&self) {
        let mut update = self.leader_update();
        update.behind_since = update.behind_since.map(|_| Instant::now());
    }

    fn apply_difference(&self, encoded: &[u8]) -> bool {
        let Some(difference) = transfer::decode(encoded) else {
            warn!("configuration from another daemon is unreadable", kv: { event = "configuration-unreadable", bytes = encoded.len() });
            return false;
        };
        let known = self.configuration();
        let Some(configuration) = difference.apply(known.as_deref()) else {
            return false;
        };
        self.update_configuration(configuration);
        true
    }

    fn apply_evacuations(&self, evacuations: &Evacuations) {
        self.update_evacuations(evacuations);
    }

    fn apply_update(&self, mut delta: Delta) {
        let now = Instant::now();
        if let Some(encoded) = &delta.difference {
            self.apply_difference(encoded);
        }
        let is_behind = self.versions().0 < delta.configuration;
        let _change = self.change_list();
        let mut update = self.leader_update();
        update.received_at = Some(now);
        update.were_successors_asked = false;
        update.read_at = now.checked_sub(delta.age);
        update.configuration = delta.configuration;
        update.behind_since = match is_behind {
            true => update.behind_since.or(Some(now)),
            false => None,
        };
        let read_at = update.read_at;
        let taken = update.take_list(&mut delta, read_at);
        drop(update);
        let changes = match taken {
            Taken::New(list) => {
                self.keys.store_state.follow_list(delta.list, &list);
                self.apply_list(list, now)
            }
            Taken::Same => Changes::default(),
            Taken::Older | Taken::Inapplicable => return,
        };
        self.record_list(&changes, read_at.unwrap_or(now), Origin::Leader);
    }
}

impl View {
    /// Applies a list that another daemon has read.
    fn apply_list(&self, list: UpstreamList, now: Instant) -> Changes {
        let mut registry = self
            .registry
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let changes = match list {
            UpstreamList::Whole(upstreams) => registry.replace(upstreams, now),
            UpstreamList::Changed { changed, gone, .. } => {
                registry.apply_changes(changed, gone, now)
            }
        };
        drop(registry);
        self.apply_changes(&changes, now);
        changes
    }
}
