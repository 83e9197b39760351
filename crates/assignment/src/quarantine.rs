//! The quarantine that the parts of a daemon share.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use copperwell_routing::quarantine::{Admission, CrashedRun, Entry, Fingerprint, Quarantine};
use prometheus_client::{metrics::counter::Counter, registry::Registry};
use spdlog::{info, warn};
use tokio::{
    sync::{Notify, watch},
    time::Instant,
};

/// A quarantine that is shared, with its counters and log lines.
#[derive(Debug, Default)]
pub struct SharedQuarantine {
    quarantine: Mutex<Quarantine>,
    /// The version of the quarantine, for those who wait for a newer one.
    version: watch::Sender<u64>,
    /// Notified when there is something to report to the leader.
    unreported: Notify,
    suspects: Counter,
    cleared: Counter,
    convictions: Counter,
}

/// What other daemons have to know, at a version.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Snapshot {
    /// The version.
    pub version: u64,
    /// The requests.
    pub entries: Vec<Entry>,
}

impl SharedQuarantine {
    /// Registers the counters in `registry`.
    pub fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("gateway");
        registry.register(
            "suspects",
            "Requests that were in flight when an upstream crashed",
            self.suspects.clone(),
        );
        registry.register(
            "suspects_cleared",
            "Suspected requests that were answered",
            self.cleared.clone(),
        );
        registry.register(
            "convictions",
            "Requests that this daemon found to crash upstreams",
            self.convictions.clone(),
        );
    }

    /// Returns how a request may run now.
    #[must_use]
    pub fn admit(&self, request: Fingerprint) -> Admission {
        let now = Instant::now();
        let mut quarantine = self.lock();
        if quarantine.is_empty() {
            return Admission::Free;
        }
        if quarantine.admit(request, now) == Admission::Apart {
            self.decide(&mut quarantine, now);
        }
        quarantine.admit(request, now)
    }

    /// Returns whether a request ran at a crash and was not answered since.
    #[must_use]
    pub fn is_suspect(&self, request: Fingerprint) -> bool {
        self.lock().is_suspect(request)
    }

    /// Records crashes that this daemon observed.
    pub fn record_crashes(&self, runs: impl IntoIterator<Item = (Fingerprint, CrashedRun)>) {
        let now = Instant::now();
        let mut quarantine = self.lock();
        for (request, run) in runs {
            let (upstream, born) = (run.upstream.clone(), run.born);
            if !quarantine.record_crash(request, run, now) {
                continue;
            }
            self.suspects.inc();
            info!("upstream crashed under a request", kv: { event = "suspect", fingerprint = request, server = &*upstream, born });
        }
        self.decide(&mut quarantine, now);
        drop(quarantine);
        self.unreported.notify_one();
    }

    /// Records a complete answer to a request.
    pub fn record_answer(&self, request: Fingerprint) {
        let mut quarantine = self.lock();
        if quarantine.is_empty() || !quarantine.record_answer(request, Instant::now()) {
            return;
        }
        self.cleared.inc();
        self.announce(&quarantine);
        drop(quarantine);
        self.unreported.notify_one();
    }

    /// Waits until there is something to report to the leader.
    pub async fn wait_for_unreported(&self) {
        self.unreported.notified().await;
    }

    /// Takes what was observed since the last call, to report it to the leader.
    #[must_use]
    pub fn take_unreported(&self) -> Vec<Entry> {
        self.lock().take_unreported(Instant::now())
    }

    /// Reports everything again.
    pub fn report_again(&self) {
        self.lock().report_again();
        self.unreported.notify_one();
    }

    /// Takes over a report, as the leader.
    pub fn merge_report(&self, entries: &[Entry]) {
        let now = Instant::now();
        let mut quarantine = self.lock();
        quarantine.merge(entries, now);
        self.decide(&mut quarantine, now);
    }

    /// Takes over what the leader has decided, and leaves further decisions to it.
    pub fn follow(&self, snapshot: Option<&Snapshot>) {
        let now = Instant::now();
        let mut quarantine = self.lock();
        quarantine.follow(now);
        if let Some(snapshot) = snapshot {
            quarantine.merge(&snapshot.entries, now);
            self.announce(&quarantine);
        }
    }

    /// Takes decisions without waiting for a leader.
    pub fn lead(&self) {
        self.lock().lead();
    }

    /// Returns what a daemon that knows version `known` lacks; `None` if it lacks nothing.
    #[must_use]
    pub fn newer_than(&self, known: u64) -> Option<Snapshot> {
        let now = Instant::now();
        let mut quarantine = self.lock();
        self.decide(&mut quarantine, now);
        let version = quarantine.version();
        (version != known).then(|| Snapshot {
            version,
            entries: quarantine.shared(now),
        })
    }

    /// Waits until the version is another one than `known`.
    pub async fn wait_newer_than(&self, known: u64) {
        let mut version = self.version.subscribe();
        // `self` owns the sender, so the channel stays open.
        let _ = version.wait_for(|version| *version != known).await;
    }

    /// Decides what is due, and forgets what has expired.
    pub fn maintain(&self) {
        let now = Instant::now();
        let mut quarantine = self.lock();
        self.decide(&mut quarantine, now);
        quarantine.remove_expired(now);
    }

    fn decide(&self, quarantine: &mut Quarantine, now: Instant) {
        for fingerprint in quarantine.decide(now) {
            self.convictions.inc();
            let left = match quarantine.admit(fingerprint, now) {
                Admission::Refused(left) => left,
                _ => Duration::ZERO,
            };
            warn!("request quarantined: it crashed several upstreams", kv: { event = "quarantined", fingerprint, for_s = left.as_secs() });
        }
        self.announce(quarantine);
    }

    fn announce(&self, quarantine: &Quarantine) {
        let version = quarantine.version();
        self.version.send_if_modified(|known| {
            let is_new = *known != version;
            *known = version;
            is_new
        });
    }

    fn lock(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
