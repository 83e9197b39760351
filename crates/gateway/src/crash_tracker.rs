//! Attributes crashes of upstreams to the requests that were in flight there.
//!
//! Each send is tracked until it is answered. One that is not becomes a suspect if the incarnation that it was
//! sent to is found to have ended: a connection made for that purpose is refused, or the registry removes the
//! upstream or lists a later incarnation.
//!
//! The locks of the sends and of the quarantine are never held together.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use copperwell_backend::probe;
use copperwell_message::HashMap;
use copperwell_policy::unanswered::Unanswered;
use copperwell_routing::{
    Incarnation, UpstreamId,
    quarantine::{Crash, Fingerprint, Quarantine},
    registry::{Changes, Upstream},
};
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};
use spdlog::{info, warn};
use tokio::time::{Instant, sleep};

/// When an upstream is probed after a request was left unanswered: its sockets close one after the other.
const PROBE_DELAYS: [Duration; 2] = [Duration::from_millis(10), Duration::from_millis(150)];

/// The timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Correlates unanswered requests with upstreams that ended, and quarantines requests that cause crashes.
#[derive(Debug)]
pub struct CrashTracker {
    upstreams: Mutex<HashMap<UpstreamId, Sends>>,
    quarantine: Arc<Mutex<Quarantine>>,
    next_send: AtomicU64,
    suspects: Counter,
    lost_requests: Family<EndLabel, Counter>,
    unproved: Counter,
    proofs: Family<ProofLabel, Counter>,
}

/// A request at an upstream, which counts as unanswered if it is dropped before another end.
#[derive(Debug)]
pub(crate) struct Send {
    tracker: Arc<CrashTracker>,
    upstream: Arc<Upstream>,
    number: u64,
    run: Run,
    is_over: bool,
}

/// The sends to one upstream.
#[derive(Debug, Default)]
struct Sends {
    in_flight: HashMap<u64, Run>,
    unanswered: Unanswered<Run>,
    is_probed: bool,
}

/// A run of a request, as far as this daemon sees it.
#[derive(Debug, Clone, Copy)]
struct Run {
    request: Fingerprint,
    born: Incarnation,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndLabel {
    end: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ProofLabel {
    by: &'static str,
}

impl CrashTracker {
    pub(crate) fn new(quarantine: Arc<Mutex<Quarantine>>) -> Self {
        Self {
            upstreams: Mutex::default(),
            quarantine,
            next_send: AtomicU64::new(0),
            suspects: Counter::default(),
            lost_requests: Family::default(),
            unproved: Counter::default(),
            proofs: Family::default(),
        }
    }

    /// Registers the counters in `registry`.
    pub fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("gateway");
        registry.register(
            "suspects",
            "Requests that were in flight when an upstream crashed",
            self.suspects.clone(),
        );
        registry.register(
            "lost_requests",
            "Requests that an upstream left unanswered, by how they ended",
            self.lost_requests.clone(),
        );
        registry.register(
            "unproved_losses",
            "Lost requests that were forgotten without evidence that the upstream had crashed",
            self.unproved.clone(),
        );
        registry.register(
            "crash_proofs",
            "Ends of upstreams with unanswered requests, by what proved them",
            self.proofs.clone(),
        );
    }

    /// Returns how much longer a request is quarantined; `None` if it is not.
    pub(crate) fn quarantined_for(&self, request: Fingerprint) -> Option<Duration> {
        self.quarantine().refused_for(request, Instant::now())
    }

    /// Records that a request is sent to an upstream.
    pub(crate) fn start(self: &Arc<Self>, upstream: &Arc<Upstream>, request: Fingerprint) -> Send {
        let run = Run {
            request,
            born: upstream.born,
        };
        let number = self.next_send.fetch_add(1, Ordering::Relaxed);
        let mut upstreams = self.upstreams();
        let sends = upstreams.entry(upstream.id.clone()).or_default();
        sends.in_flight.insert(number, run);
        drop(upstreams);
        Send {
            tracker: self.clone(),
            upstream: upstream.clone(),
            number,
            run,
            is_over: false,
        }
    }

    /// Records that an upstream did not accept a connection.
    pub(crate) fn record_unreachable(self: &Arc<Self>, upstream: &Arc<Upstream>) {
        let has_lost = self
            .upstreams()
            .get(&upstream.id)
            .is_some_and(|sends| sends.unanswered.has_requests());
        if has_lost {
            self.probe(upstream);
        }
    }

    /// Records what the registry shows of the ends of upstreams.
    pub(crate) fn record_changes(&self, changes: &Changes) {
        for upstream in &changes.joined {
            if let Some(ended) = upstream.born.checked_sub(1) {
                self.record_end(&upstream.id, ended, "incarnation");
            }
        }
        for upstream in &changes.gone {
            // The upstream may only have lost its way to the store, and answer what is in flight.
            self.record_end(&upstream.id, upstream.born, "removed");
        }
    }

    /// Forgets what has expired, and decides what is due.
    pub(crate) fn maintain(&self) {
        let now = Instant::now();
        let mut unproved = 0;
        self.upstreams().retain(|_, sends| {
            unproved += sends.unanswered.take_unproved(now) as u64;
            !sends.in_flight.is_empty() || !sends.unanswered.is_empty(now)
        });
        self.unproved.inc_by(unproved);
        self.quarantine().remove_expired(now);
    }

    /// Records proof that an incarnation and all earlier ones have ended.
    fn record_end(&self, id: &UpstreamId, ended: Incarnation, by: &'static str) {
        let mut upstreams = self.upstreams();
        let Some(sends) = upstreams.get_mut(id) else {
            return;
        };
        let mut crashed = sends.unanswered.record_end(Instant::now(), ended);
        if by == "incarnation" {
            let in_flight = sends.in_flight.values();
            crashed.extend(in_flight.filter(|run| run.born <= ended));
        }
        drop(upstreams);
        self.record_crashes(id, &crashed, by);
    }

    fn record_crashes(&self, id: &UpstreamId, runs: &[Run], by: &'static str) {
        if runs.is_empty() {
            return;
        }
        self.proofs.get_or_create(&ProofLabel { by }).inc();
        let now = Instant::now();
        for run in runs {
            self.suspects.inc();
            info!("upstream crashed under a request", kv: { event = "suspect", fingerprint = run.request, server = &**id, born = run.born });
            let crash = Crash {
                request: run.request,
                upstream: id.clone(),
                born: run.born,
            };
            if self.quarantine().record_crash(crash, now) {
                warn!("request quarantined: it crashed several upstreams", kv: { event = "quarantined", fingerprint = run.request });
            }
        }
    }

    /// Finds out whether an upstream refuses connections, unless that is being done.
    fn probe(self: &Arc<Self>, upstream: &Arc<Upstream>) {
        if let Some(sends) = self.upstreams().get_mut(&upstream.id)
            && !std::mem::replace(&mut sends.is_probed, true)
        {
            tokio::spawn(self.clone().run_probe(upstream.clone()));
        }
    }

    async fn run_probe(self: Arc<Self>, upstream: Arc<Upstream>) {
        for delay in PROBE_DELAYS {
            sleep(delay).await;
            if probe::is_refused(upstream.address, PROBE_TIMEOUT).await {
                self.record_end(&upstream.id, upstream.born, "refused");
                break;
            }
        }
        if let Some(sends) = self.upstreams().get_mut(&upstream.id) {
            sends.is_probed = false;
        }
    }

    fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn upstreams(&self) -> MutexGuard<'_, HashMap<UpstreamId, Sends>> {
        self.upstreams
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Send {
    /// Records a complete answer, which shows that the request does not crash upstreams.
    pub(crate) fn answered(mut self) {
        self.finish(|sends, run| sends.unanswered.record_answer(run.born));
        self.tracker.quarantine().clear(self.run.request);
    }

    /// Records a response that shows that the upstream lives, but not that it has run the request well.
    pub(crate) fn failed(mut self) {
        self.finish(|sends, run| sends.unanswered.record_answer(run.born));
    }

    /// Records that the request did not run.
    pub(crate) fn not_run(mut self) {
        self.finish(|_, _| ());
    }

    /// Records that the connection was lost before the response had ended.
    pub(crate) fn connection_lost(mut self) {
        self.unanswered("connection-lost");
        self.tracker.probe(&self.upstream);
    }

    fn unanswered(&mut self, end: &'static str) {
        let tracker = &self.tracker;
        tracker.lost_requests.get_or_create(&EndLabel { end }).inc();
        let run = self.run;
        info!("request left unanswered", kv: { event = "request-lost", end, fingerprint = run.request, server = &*self.upstream.id, born = run.born });
        let mut crashed = None;
        self.finish(|sends, run| {
            crashed = sends.unanswered.record(Instant::now(), run.born, *run);
        });
        self.tracker
            .record_crashes(&self.upstream.id, crashed.as_slice(), "known");
    }

    fn finish(&mut self, update: impl FnOnce(&mut Sends, &Run)) {
        self.is_over = true;
        let mut upstreams = self.tracker.upstreams();
        if let Some(sends) = upstreams.get_mut(&self.upstream.id) {
            sends.in_flight.remove(&self.number);
            update(sends, &self.run);
        }
    }
}

impl Drop for Send {
    fn drop(&mut self) {
        if !self.is_over {
            self.unanswered("no-answer");
        }
    }
}
