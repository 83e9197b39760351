//! Which requests an upstream's crash is laid to.
//!
//! The locks of losses and quarantine are never held together.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use crate::metrics::Metrics;
use copperwell_message::HashMap;
use copperwell_policy::quarantine::{Losses, Suspect};
use copperwell_routing::{
    Birth, UpstreamId,
    quarantine::{Crash, Fingerprint, Quarantine},
    registry::Upstream,
};
use spdlog::warn;
use tokio::time::Instant;

/// Ties requests whose connection broke to the upstreams that ended.
#[derive(Debug)]
pub(crate) struct Guard {
    losses: Mutex<HashMap<UpstreamId, Losses>>,
    quarantine: Arc<Mutex<Quarantine>>,
    metrics: Metrics,
}

impl Guard {
    pub(crate) fn new(quarantine: Arc<Mutex<Quarantine>>, metrics: Metrics) -> Self {
        Self {
            losses: Mutex::default(),
            quarantine,
            metrics,
        }
    }

    /// Whether any request is under suspicion or refused.
    pub(crate) fn is_idle(&self) -> bool {
        self.quarantine().is_empty()
    }

    /// How long a request is refused still.
    pub(crate) fn refuses(&self, request: Fingerprint) -> Option<Duration> {
        self.quarantine().refuses(request, Instant::now())
    }

    /// A request got an answer.
    pub(crate) fn answered(&self, request: Fingerprint) {
        self.quarantine().clear(request);
    }

    /// The connection broke under a request.
    pub(crate) fn lost(&self, upstream: &Upstream, request: Fingerprint) {
        let suspect = Suspect {
            fingerprint: request,
            alone: false,
            incarnation: upstream.born,
        };
        self.with(&upstream.id, |losses| losses.lose(Instant::now(), suspect));
    }

    /// Nobody listens at an upstream any more, so the run that was known there is over.
    pub(crate) fn ended(&self, id: &UpstreamId, born: Birth) {
        if self.losses().contains_key(id) {
            self.with(id, |losses| losses.refuse(Instant::now(), born));
        }
    }

    /// Forgets upstreams that are gone, and what is over.
    pub(crate) fn tidy(&self, is_alive: impl Fn(&str) -> bool) {
        self.losses().retain(|id, _| is_alive(id));
        self.quarantine().tidy(Instant::now());
    }

    fn with(&self, id: &UpstreamId, act: impl FnOnce(&mut Losses) -> Vec<Suspect>) {
        let mut losses = self.losses();
        let suspects = act(losses.entry(id.clone()).or_default());
        drop(losses);
        let now = Instant::now();
        for suspect in suspects {
            let crash = Crash {
                request: suspect.fingerprint,
                upstream: id.clone(),
                born: suspect.incarnation,
            };
            self.metrics.suspects.inc();
            if self.quarantine().crash(crash, now) {
                warn!("a request crashed several upstreams and is refused", kv: { event = "quarantined", fingerprint = suspect.fingerprint });
            }
        }
    }

    fn losses(&self) -> MutexGuard<'_, HashMap<UpstreamId, Losses>> {
        self.losses.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
