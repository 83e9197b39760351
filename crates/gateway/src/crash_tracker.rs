//! Attributes crashes of upstreams to the requests that were in flight there.
//!
//! The locks of lost requests and quarantine are never held together.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use crate::metrics::Metrics;
use copperwell_message::HashMap;
use copperwell_policy::quarantine::{LostRequests, Suspect};
use copperwell_routing::{
    Incarnation, UpstreamId,
    quarantine::{Crash, Fingerprint, Quarantine},
    registry::Upstream,
};
use spdlog::{info, warn};
use tokio::time::Instant;

/// Correlates lost connections with crashed upstreams and quarantines requests that cause crashes.
#[derive(Debug)]
pub(crate) struct CrashTracker {
    lost_requests: Mutex<HashMap<UpstreamId, LostRequests>>,
    quarantine: Arc<Mutex<Quarantine>>,
    metrics: Metrics,
}

impl CrashTracker {
    pub(crate) fn new(quarantine: Arc<Mutex<Quarantine>>, metrics: Metrics) -> Self {
        Self {
            lost_requests: Mutex::default(),
            quarantine,
            metrics,
        }
    }

    /// Returns how much longer a request is quarantined; `None` if it is not.
    pub(crate) fn quarantined_for(&self, request: Fingerprint) -> Option<Duration> {
        self.quarantine().refused_for(request, Instant::now())
    }

    /// Clears a suspected request that was answered.
    pub(crate) fn record_answer(&self, request: Fingerprint) {
        self.quarantine().clear(request);
    }

    /// Records a request whose connection was lost before the response.
    pub(crate) fn record_lost_connection(&self, upstream: &Upstream, request: Fingerprint) {
        self.metrics.lost_requests.inc();
        info!("connection lost under a request", kv: { event = "request-lost", fingerprint = request, server = &*upstream.id, born = upstream.born });
        let suspect = Suspect {
            fingerprint: request,
            is_exclusive: false,
            incarnation: upstream.born,
        };
        self.update_lost_requests(&upstream.id, |lost_requests| {
            lost_requests.record_lost_connection(Instant::now(), suspect)
        });
    }

    /// Records that an upstream refused a connection, which proves that the known incarnation has ended.
    pub(crate) fn record_refused_connection(&self, id: &UpstreamId, born: Incarnation) {
        if self.lost_requests().contains_key(id) {
            self.update_lost_requests(id, |lost_requests| {
                lost_requests.record_refused_connection(Instant::now(), born)
            });
        }
    }

    /// Removes unregistered upstreams and expired quarantine entries.
    pub(crate) fn remove_stale(&self, is_registered: impl Fn(&str) -> bool) {
        let now = Instant::now();
        let mut lost_requests = self.lost_requests();
        let unproved: usize = lost_requests
            .values_mut()
            .map(|lost_requests| lost_requests.take_unproved(now))
            .sum();
        lost_requests.retain(|id, _| is_registered(id));
        drop(lost_requests);
        self.metrics.unproved_losses.inc_by(unproved as u64);
        self.quarantine().remove_expired(Instant::now());
    }

    fn update_lost_requests(
        &self,
        id: &UpstreamId,
        update: impl FnOnce(&mut LostRequests) -> Vec<Suspect>,
    ) {
        let mut lost_requests = self.lost_requests();
        let suspects = update(lost_requests.entry(id.clone()).or_default());
        drop(lost_requests);
        let now = Instant::now();
        for suspect in suspects {
            let crash = Crash {
                request: suspect.fingerprint,
                upstream: id.clone(),
                born: suspect.incarnation,
            };
            self.metrics.suspects.inc();
            info!("upstream crashed under a request", kv: { event = "suspect", fingerprint = suspect.fingerprint, server = &**id, born = suspect.incarnation });
            if self.quarantine().record_crash(crash, now) {
                warn!("request quarantined: it crashed several upstreams", kv: { event = "quarantined", fingerprint = suspect.fingerprint });
            }
        }
    }

    fn lost_requests(&self) -> MutexGuard<'_, HashMap<UpstreamId, LostRequests>> {
        self.lost_requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
