//! The registry of live upstreams.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    Incarnation, ServiceName, UpstreamId, ZoneName,
    evacuation::{Difference, Evacuations, Return},
};
use copperwell_message::{HashMap, HashSet};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// How long upstreams that are missing from the list may be kept once reads succeed again after a failure.
///
/// Registrations that expired while the store was unavailable are renewed within two seconds of its return.
const RENEWAL_GRACE: Duration = Duration::from_millis(2_200);

/// Missing upstreams are kept for [`RENEWAL_GRACE`] only if they are more than this share of all upstreams.
///
/// While the store is unavailable, registrations expire together. If only a few are missing, only this daemon
/// was unable to read the store, and the missing upstreams have left as they do all the time.
const EXPIRED_RATIO: f64 = 0.25;

/// A registered upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// The name.
    pub id: UpstreamId,
    /// The incarnation.
    pub born: Incarnation,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// The data centre.
    pub zone: ZoneName,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is draining before shutdown and should get no new requests.
    pub is_draining: bool,
    /// The remaining warm-up time after its start, during which it is slow.
    pub warmup: Duration,
}

/// The live upstreams.
#[derive(Debug, Default)]
pub struct Registry {
    upstreams: HashMap<UpstreamId, Arc<Upstream>>,
    services: HashMap<ServiceName, Vec<Arc<Upstream>>>,
    /// The end of the [`RENEWAL_GRACE`] after the last failure to read the list.
    grace_ends_at: Option<Instant>,
    /// Whether a read has failed since the last list.
    has_read_failed: bool,
    /// When the last list was received.
    read_at: Option<Instant>,
    /// The incarnations that have said that they leave, whatever their registrations say.
    leaving: HashMap<UpstreamId, Incarnation>,
    /// The data centres whose upstreams are treated as draining, whatever their registrations say.
    evacuations: Evacuations,
    /// The upstreams of these data centres and of `returning`, as they are listed.
    as_listed: HashMap<UpstreamId, Upstream>,
    /// The data centres whose evacuation has ended so recently that their upstreams are cold.
    returning: HashMap<ZoneName, Return>,
}

/// The most incarnations that are remembered as leaving.
const LEAVING_MAX: usize = 4_096;

/// The changes between two lists of upstreams.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Upstreams that are new or have a new incarnation.
    pub joined: Vec<Arc<Upstream>>,
    /// Upstreams that started to drain.
    pub draining: Vec<Arc<Upstream>>,
    /// Upstreams that were draining and get requests again, in the same incarnation.
    pub resumed: Vec<Arc<Upstream>>,
    /// Upstreams that were removed.
    pub gone: Vec<Arc<Upstream>>,
    /// The number of upstreams that are missing from the list but kept for now.
    pub kept: usize,
}

impl Registry {
    /// Records that the list could not be read.
    pub fn record_read_failure(&mut self) {
        self.has_read_failed = true;
    }

    /// Returns when the last list was received; `None` before the first one.
    #[must_use]
    pub fn read_at(&self) -> Option<Instant> {
        self.read_at
    }

    /// Replaces the upstreams by a list that was read from the store at `now`.
    ///
    /// After a failed read, upstreams that are missing from the list may be kept for `RENEWAL_GRACE`.
    pub fn update(&mut self, listed: impl IntoIterator<Item = Upstream>, now: Instant) -> Changes {
        self.read_at = Some(now);
        if std::mem::take(&mut self.has_read_failed) {
            self.grace_ends_at = Some(now + RENEWAL_GRACE);
        }
        self.returning.retain(|_, end| !end.is_over(now));
        let mut changes = Changes::default();
        let mut seen = HashSet::default();
        let is_in_grace = self.grace_ends_at.is_some_and(|at| now < at);
        for upstream in listed {
            seen.insert(upstream.id.clone());
            let known = self.upstreams.get(&upstream.id);
            // A store that comes back from a copy lists an earlier incarnation until the upstream writes again.
            if is_in_grace && known.is_some_and(|known| known.born > upstream.born) {
                continue;
            }
            self.update_one(upstream, &mut changes, now);
        }
        let missing = self.upstreams.keys().filter(|id| !seen.contains(*id));
        let missing: Vec<_> = missing.cloned().collect();
        let have_expired = missing.len() as f64 > EXPIRED_RATIO * self.upstreams.len() as f64;
        if is_in_grace && have_expired {
            changes.kept = missing.len();
        } else {
            let gone = missing.iter().filter_map(|id| self.upstreams.remove(id));
            changes.gone.extend(gone);
        }
        self.rebuild_index();
        changes
    }

    /// Replaces the upstreams by the list of a daemon that reads the store and has decided which missing
    /// upstreams to keep.
    pub fn replace(&mut self, listed: impl IntoIterator<Item = Upstream>, now: Instant) -> Changes {
        self.has_read_failed = false;
        self.grace_ends_at = None;
        self.update(listed, now)
    }

    /// Applies changes to a list that came from a daemon that reads the store.
    pub fn apply_changes(
        &mut self,
        changed: impl IntoIterator<Item = Upstream>,
        gone: impl IntoIterator<Item = UpstreamId>,
        now: Instant,
    ) -> Changes {
        self.has_read_failed = false;
        self.grace_ends_at = None;
        self.read_at = Some(now);
        let mut changes = Changes::default();
        for upstream in changed {
            self.update_one(upstream, &mut changes, now);
        }
        let gone = gone.into_iter();
        changes.gone = gone.filter_map(|id| self.upstreams.remove(&id)).collect();
        self.rebuild_index();
        changes
    }

    /// Records that an incarnation of an upstream has said that it leaves, and takes it for draining from now on.
    pub fn record_leaving(&mut self, id: &UpstreamId, born: Incarnation) -> Changes {
        let mut changes = Changes::default();
        let known = self.leaving.get(id);
        if known.is_some_and(|known| *known >= born) {
            return changes;
        }
        if self.leaving.len() >= LEAVING_MAX {
            let upstreams = &self.upstreams;
            self.leaving.retain(|id, _| upstreams.contains_key(id));
        }
        self.leaving.insert(id.clone(), born);
        if let Some(upstream) = self.upstreams.get(id).filter(|known| known.born == born) {
            self.insert((**upstream).clone(), &mut changes);
            self.rebuild_index();
        }
        changes
    }

    /// Replaces the evacuated data centres by a later version; `None` if it is not later.
    ///
    /// Upstreams that return from an evacuation count as warming up, for the time in `warmups` of their service.
    pub fn set_evacuations(
        &mut self,
        evacuations: &Evacuations,
        warmups: &HashMap<ServiceName, Duration>,
        now: Instant,
    ) -> Option<(Difference, Changes)> {
        if evacuations.version <= self.evacuations.version {
            return None;
        }
        let difference = self.evacuations.difference(evacuations);
        self.evacuations = evacuations.clone();
        for zone in &difference.started {
            self.returning.remove(zone);
        }
        for zone in &difference.ended {
            let end = Return::new(now, warmups.clone());
            self.returning.insert(zone.clone(), end);
        }
        let has_changed =
            |zone| difference.started.contains(zone) || difference.ended.contains(zone);
        let affected = self.upstreams.values().filter(|one| has_changed(&one.zone));
        let affected: Vec<_> = affected.cloned().collect();
        let mut changes = Changes::default();
        for upstream in affected {
            let listed = self.as_listed.remove(&upstream.id);
            let listed = listed.unwrap_or_else(|| (*upstream).clone());
            self.update_one(listed, &mut changes, now);
        }
        self.rebuild_index();
        Some((difference, changes))
    }

    /// Returns when the evacuation of an upstream's data centre has ended, and how much longer the upstream counts as
    /// warming up for that; `None` if it does not.
    #[must_use]
    pub fn warmup_after_return(
        &self,
        upstream: &Upstream,
        now: Instant,
    ) -> Option<(Instant, Duration)> {
        let end = self.returning.get(&upstream.zone)?;
        let left = end.warmup_left(upstream, now);
        (!left.is_zero()).then_some((end.ended_at, left))
    }

    /// Returns the remaining warm-up time of an upstream as it is listed, regardless of evacuations.
    #[must_use]
    pub fn listed_warmup(&self, upstream: &Upstream) -> Duration {
        let listed = self.as_listed.get(&upstream.id).unwrap_or(upstream);
        listed.warmup
    }

    /// Records runs of upstreams that were found warm, each with the time at which its evacuation ended, and lists them as
    /// they are registered. Returns whether the list has changed.
    pub fn record_warm<'a>(
        &mut self,
        warm: impl IntoIterator<Item = &'a (UpstreamId, Incarnation, Instant)>,
        now: Instant,
    ) -> bool {
        let mut has_changed = false;
        for (id, born, ended_at) in warm {
            let Some(upstream) = self.upstreams.get(id).filter(|one| one.born == *born) else {
                continue;
            };
            // The data centre may have been evacuated again.
            let end = self.returning.get_mut(&upstream.zone);
            let Some(end) = end.filter(|end| end.ended_at == *ended_at) else {
                continue;
            };
            end.record_warm(id, *born);
            if let Some(listed) = self.as_listed.get(id).cloned() {
                self.update_one(listed, &mut Changes::default(), now);
                has_changed = true;
            }
        }
        if has_changed {
            self.rebuild_index();
        }
        has_changed
    }

    /// Returns the evacuated data centres.
    #[must_use]
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Returns whether no upstream of a service gets requests, and some only since their data centre is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, service: &str) -> bool {
        let upstreams = self.of_service(service);
        let mut zones = upstreams.iter().map(|one| &one.zone);
        !self.evacuations.zones.is_empty()
            && upstreams.iter().all(|one| one.is_draining)
            && zones.any(|zone| self.evacuations.contains(zone))
    }

    /// Returns the registered upstreams that have said that they leave.
    #[must_use]
    pub fn leaving(&self) -> Vec<(UpstreamId, Incarnation)> {
        let leaving = self.leaving.iter();
        let registered = leaving.filter(|(id, born)| {
            let upstream = self.upstreams.get(*id);
            upstream.is_some_and(|upstream| upstream.born == **born)
        });
        registered.map(|(id, born)| (id.clone(), *born)).collect()
    }

    /// Iterates over all upstreams in arbitrary order.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.upstreams.values()
    }

    /// Returns the upstreams of a service, including draining ones, ordered by name.
    #[must_use]
    pub fn of_service(&self, service: &str) -> &[Arc<Upstream>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns an upstream by its name.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Arc<Upstream>> {
        self.upstreams.get(id)
    }

    /// Returns the number of upstreams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns whether there are no upstreams.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Applies the registration of an upstream, and the evacuation of its data centre.
    fn update_one(&mut self, mut upstream: Upstream, changes: &mut Changes, now: Instant) {
        // It may have been in another data centre.
        self.as_listed.remove(&upstream.id);
        if self.evacuations.contains(&upstream.zone) {
            self.as_listed.insert(upstream.id.clone(), upstream.clone());
            upstream.is_draining = true;
        } else if let Some(end) = self.returning.get(&upstream.zone) {
            self.as_listed.insert(upstream.id.clone(), upstream.clone());
            upstream.warmup = upstream.warmup.max(end.warmup_left(&upstream, now));
        }
        self.insert(upstream, changes);
    }

    fn insert(&mut self, mut upstream: Upstream, changes: &mut Changes) {
        upstream.is_draining |= self.leaving.get(&upstream.id) == Some(&upstream.born);
        let known = self.upstreams.get(&upstream.id);
        if known.is_some_and(|known| **known == upstream) {
            return;
        }
        let is_same_incarnation = known.is_some_and(|known| known.born == upstream.born);
        let was_draining = is_same_incarnation && known.is_some_and(|known| known.is_draining);
        let upstream = Arc::new(upstream);
        if !is_same_incarnation {
            changes.joined.push(upstream.clone());
        }
        if upstream.is_draining && !was_draining {
            changes.draining.push(upstream.clone());
        }
        if was_draining && !upstream.is_draining {
            changes.resumed.push(upstream.clone());
        }
        self.upstreams.insert(upstream.id.clone(), upstream);
    }

    fn rebuild_index(&mut self) {
        let upstreams = &self.upstreams;
        self.as_listed.retain(|id, _| upstreams.contains_key(id));
        self.services.clear();
        for upstream in self.upstreams.values() {
            let service = self.services.entry(upstream.service.clone()).or_default();
            service.push(upstream.clone());
        }
        for upstreams in self.services.values_mut() {
            upstreams.sort_by(|one, other| one.id.cmp(&other.id));
        }
    }
}
