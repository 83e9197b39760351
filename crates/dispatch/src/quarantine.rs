//! The quarantine that all requests share.
//!
//! Lock order: the quarantine is locked last.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use crate::{limiter::Limiter, metrics::Metrics};
use copperwell_policy::{
    quarantine::{Admission, Conviction, Quarantine, Suspect},
    unanswered::PROOF_TIMEOUT,
};
use tokio::time::Instant;

/// A quarantine of the requests that crash servers, with its metrics.
#[derive(Debug)]
pub(crate) struct SharedQuarantine {
    quarantine: Mutex<Quarantine>,
    /// Until when an unanswered request may turn out to be the suspect of a crash.
    awaits_proof_until: Mutex<Option<Instant>>,
    metrics: Metrics,
}

impl SharedQuarantine {
    /// Creates an empty quarantine.
    pub(crate) fn new(metrics: Metrics) -> Self {
        Self {
            quarantine: Mutex::new(Quarantine::new()),
            awaits_proof_until: Mutex::default(),
            metrics,
        }
    }

    /// Returns how a request may run now.
    pub(crate) fn admit(&self, fingerprint: u64) -> Admission {
        self.quarantine().admit(Instant::now(), fingerprint)
    }

    /// Returns whether any request was left unanswered recently, so that proof of a crash matters.
    pub(crate) fn awaits_proof(&self) -> bool {
        let until = *self.awaits_proof_until();
        until.is_some_and(|until| Instant::now() < until)
    }

    /// Records a request that the server of `limiter` left unanswered, as a suspect for `duration` if the
    /// server has crashed.
    pub(crate) fn record_unanswered(
        &self,
        limiter: &Limiter,
        suspect: Suspect,
        duration: Duration,
    ) {
        *self.awaits_proof_until() = Some(Instant::now() + PROOF_TIMEOUT);
        let crashed = limiter.record_unanswered(suspect);
        self.record_crash(crashed.as_slice(), duration);
    }

    /// Attributes a crash to `suspects`, each of which is remembered for `duration`.
    pub(crate) fn record_crash(&self, suspects: &[Suspect], duration: Duration) {
        if suspects.is_empty() {
            return;
        }
        let now = Instant::now();
        let mut quarantine = self.quarantine();
        for suspect in suspects {
            self.metrics.suspects.inc();
            if quarantine.crash(now, *suspect, duration) {
                self.metrics.convictions.inc();
                spdlog::warn!(
                    "request {:016x} crashed a server again: quarantined for {duration:?}",
                    suspect.fingerprint
                );
            }
        }
    }

    /// Clears a request that ran exclusively and was answered.
    pub(crate) fn clear(&self, fingerprint: u64) {
        self.quarantine().clear(Instant::now(), fingerprint);
    }

    /// Returns the requests in quarantine, for other leaders.
    pub(crate) fn export(&self) -> Vec<Conviction> {
        self.quarantine().export(Instant::now())
    }

    /// Adds requests that another leader has in quarantine, each for at most `duration`.
    pub(crate) fn import(&self, convictions: &[Conviction], duration: Duration) {
        self.quarantine()
            .import(Instant::now(), convictions, duration);
    }

    fn awaits_proof_until(&self) -> MutexGuard<'_, Option<Instant>> {
        self.awaits_proof_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
