//! The engine's quarantine.
//!
//! Lock order: the quarantine, then nothing else.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use crate::metrics::Metrics;
use copperwell_policy::quarantine::{Admission, Quarantine, Share, Suspect};
use tokio::time::Instant;

/// Knows the requests that crash servers.
#[derive(Debug)]
pub(crate) struct Guard {
    quarantine: Mutex<Quarantine>,
    metrics: Metrics,
}

impl Guard {
    /// Knows of none.
    pub(crate) fn new(metrics: Metrics) -> Self {
        Self {
            quarantine: Mutex::new(Quarantine::new()),
            metrics,
        }
    }

    /// How a request may run now.
    pub(crate) fn admit(&self, fingerprint: u64) -> Admission {
        self.quarantine().admit(Instant::now(), fingerprint)
    }

    /// Ties a crash to suspects, for `length`.
    pub(crate) fn crash(&self, suspects: &[Suspect], length: Duration) {
        if suspects.is_empty() {
            return;
        }
        let now = Instant::now();
        let mut quarantine = self.quarantine();
        for suspect in suspects {
            self.metrics.suspects.inc();
            if quarantine.crash(now, *suspect, length) {
                self.metrics.convictions.inc();
                spdlog::warn!(
                    "request {:016x} crashed a server again and is refused for {length:?}",
                    suspect.fingerprint
                );
            }
        }
    }

    /// Clears a request that ran alone and came back.
    pub(crate) fn clear(&self, fingerprint: u64) {
        self.quarantine().clear(Instant::now(), fingerprint);
    }

    /// The convictions in force.
    pub(crate) fn export(&self) -> Vec<Share> {
        self.quarantine().export(Instant::now())
    }

    /// Takes over convictions of another leader.
    pub(crate) fn import(&self, shares: &[Share], length: Duration) {
        self.quarantine().import(Instant::now(), shares, length);
    }

    fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
