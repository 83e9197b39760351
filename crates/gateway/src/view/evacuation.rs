//! Evacuations of data centres, as this daemon knows them.

use std::{
    sync::{Arc, MutexGuard, PoisonError},
    time::Duration,
};

use super::View;
use crate::list_log::{self, ListAge};
use copperwell_message::{HashMap, HashSet};
use copperwell_routing::{
    Incarnation, UpstreamId, ZoneName,
    evacuation::{Difference, Evacuations},
    freshness::Origin,
    registry::{Changes, Upstream},
};
use spdlog::{info, warn};
use tokio::time::Instant;

/// The maximum time since the last confirmation of the evacuations, after which a daemon that knows of one reads them
/// itself. It exceeds the time for which the leader waits for changes before it answers.
const CONFIRMATION_AGE_MAX: Duration = Duration::from_secs(8);

/// How long a holder in an evacuated data centre still gets requests for its keys while they migrate. A plan takes a
/// slow store most of a second, and requests wait for a new holder for less; daemons learn of an evacuation at most three
/// seconds before no request may reach the data centre.
const EVACUATION_GRACE: Duration = Duration::from_millis(1_500);

/// The state of evacuations that is not in the registry.
#[derive(Debug, Default)]
pub(super) struct EvacuationRecord {
    /// When the store or another daemon last confirmed the evacuations.
    confirmed_at: Option<Instant>,
    /// The evacuated data centres whose upstreams hold no keys any more.
    without_keys: HashSet<ZoneName>,
}

/// An evacuated data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evacuation {
    /// The data centre.
    pub zone: ZoneName,
    /// The number of its upstreams.
    pub upstreams: usize,
    /// The requests that this daemon has in flight there.
    pub in_flight: u32,
    /// The ranges of keys that are held there, by the routing tables.
    pub key_ranges: usize,
}

impl View {
    /// Applies evacuations that this daemon or another one has read from the store, if they are newer than the known
    /// ones.
    ///
    /// The upstreams of evacuated data centres are draining from now on, and those of others get requests again.
    pub fn update_evacuations(&self, evacuations: &Evacuations) {
        let now = Instant::now();
        let known = self.registry().evacuations().version;
        if evacuations.version >= known {
            self.evacuation_record().confirmed_at = Some(now);
        }
        if evacuations.version <= known {
            return;
        }
        let configuration = self.configuration();
        let services = configuration.iter().flat_map(|known| known.services());
        let warmups: HashMap<_, _> = services
            .filter_map(|service| Some((service.name.clone(), service.warmup?.duration)))
            .collect();
        let _change = self.change_list();
        let mut registry = self
            .registry
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let Some((difference, changes)) = registry.set_evacuations(evacuations, &warmups, now)
        else {
            return;
        };
        let upstreams: Vec<_> = registry.all().cloned().collect();
        // Requests are served on other threads, and must not find an upstream that has returned before it counts as
        // warming up.
        self.record_registrations(&registry, now);
        drop(registry);
        self.keys.evacuations.send_replace(evacuations.clone());
        if !changes.draining.is_empty() || !changes.resumed.is_empty() {
            self.keys.store_state.update_upstreams(upstreams);
        }
        self.apply_changes(&changes, now);
        self.extend_grace(&difference, &changes, now);
        for zone in difference.started.iter().chain(&difference.ended) {
            self.evacuation_record().without_keys.remove(zone);
        }
        let offset = evacuations.version.offset;
        for zone in &difference.started {
            let upstreams = self.upstreams_in(zone);
            match upstreams {
                0 => {
                    warn!("evacuation of a data centre without known upstreams", kv: { event = "evacuation", zone = &**zone, offset })
                }
                _ => {
                    info!("evacuation of a data centre started", kv: { event = "evacuation", zone = &**zone, upstreams, offset })
                }
            }
        }
        for zone in &difference.ended {
            let upstreams = self.upstreams_in(zone);
            info!("evacuation of a data centre ended", kv: { event = "evacuation-end", zone = &**zone, upstreams, offset });
        }
        let age = self.freshness().age(now);
        let list = ListAge {
            origin: Origin::Store,
            age,
            before: age,
        };
        list_log::record(&changes, list);
    }

    /// Lists runs of upstreams that were found warm after an evacuation as they are registered. Each is given with the
    /// time at which the evacuation ended.
    pub(crate) fn list_warm(&self, warm: &[(UpstreamId, Incarnation, Instant)]) {
        let _change = self.change_list();
        let mut registry = self
            .registry
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if !registry.record_warm(warm, Instant::now()) {
            return;
        }
        let upstreams: Vec<_> = registry.all().cloned().collect();
        drop(registry);
        self.keys.store_state.update_upstreams(upstreams);
    }

    /// Returns the evacuated data centres, and what is still there.
    #[must_use]
    pub fn evacuations(&self) -> Vec<Evacuation> {
        let registry = self.registry();
        let zones = registry.evacuations().zones.clone();
        if zones.is_empty() {
            return Vec::new();
        }
        let upstreams: Vec<_> = registry.all().cloned().collect();
        drop(registry);
        let tables = self.keys.routing_tables.tables();
        let loads = self.loads();
        let evacuation = |zone: ZoneName| {
            let ids: HashSet<_> = upstreams
                .iter()
                .filter(|one| one.zone == zone)
                .map(|one| &one.id)
                .collect();
            let tables = tables.services.values();
            Evacuation {
                upstreams: ids.len(),
                in_flight: ids.iter().map(|id| loads.in_flight(id)).sum(),
                key_ranges: tables.map(|one| one.ranges_of(|id| ids.contains(id))).sum(),
                zone,
            }
        };
        zones.into_iter().map(evacuation).collect()
    }

    /// Logs the evacuated data centres that hold no keys any more, once each.
    pub(crate) fn log_evacuated_keys(&self) {
        for evacuation in self.evacuations() {
            let is_empty = evacuation.upstreams > 0 && evacuation.key_ranges == 0;
            let zone = &evacuation.zone;
            if is_empty && self.evacuation_record().without_keys.insert(zone.clone()) {
                info!("evacuated data centre holds no keys any more", kv: { event = "evacuation-without-keys", zone = &**zone, in_flight = evacuation.in_flight });
            }
        }
    }

    /// Returns whether this daemon must read evacuations itself: it knows of one, and no daemon has confirmed it for a
    /// time. A leader of an earlier release does not know of evacuations, and never reports their end.
    pub(super) fn must_read_evacuations(&self) -> bool {
        let confirmed_at = self.evacuation_record().confirmed_at;
        let is_old = confirmed_at.is_some_and(|at| at.elapsed() > CONFIRMATION_AGE_MAX);
        is_old && !self.registry().evacuations().zones.is_empty()
    }

    /// Lets upstreams of data centres whose evacuation has started get requests for their keys while these migrate.
    ///
    /// An upstream that was listed as draining before may have been so for its own reasons.
    fn extend_grace(&self, difference: &Difference, changes: &Changes, now: Instant) {
        let registry = self.registry();
        let in_started = |one: &&Arc<Upstream>| difference.started.contains(&one.zone);
        let evacuated: Vec<_> = registry.all().filter(in_started).cloned().collect();
        drop(registry);
        let until = now + EVACUATION_GRACE;
        let mut draining = self.draining.lock().unwrap_or_else(PoisonError::into_inner);
        for upstream in evacuated {
            let is_new = changes.draining.contains(&upstream);
            if let Some(known) = draining.get_mut(&upstream.id) {
                let until = if is_new {
                    until
                } else {
                    until.min(known.fresh_until)
                };
                known.until = known.until.max(until);
            }
        }
    }

    fn upstreams_in(&self, zone: &str) -> usize {
        let registry = self.registry();
        registry.all().filter(|one| *one.zone == *zone).count()
    }

    fn evacuation_record(&self) -> MutexGuard<'_, EvacuationRecord> {
        let record = &self.evacuation_record;
        record.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
