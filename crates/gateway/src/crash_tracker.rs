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
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use crate::{fingerprint::Identity, line_limit::LineLimit};
use copperwell_assignment::quarantine::SharedQuarantine;
use copperwell_backend::probe;
use copperwell_message::HashMap;
use copperwell_policy::unanswered::Unanswered;
use copperwell_routing::{
    Incarnation, UpstreamId,
    quarantine::{Admission, CrashedRun, Fingerprint},
    registry::{Changes, Upstream},
};
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};
use spdlog::info;
use tokio::time::{Instant, sleep};

/// When an upstream is probed after a request was left unanswered: its sockets close one after the other.
const PROBE_DELAYS: [Duration; 2] = [Duration::from_millis(10), Duration::from_millis(150)];

/// How old the list of upstreams may be: what was sent later may have reached a run that is not listed yet.
const LIST_AGE_MAX: Duration = Duration::from_secs(2);

/// The timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Correlates unanswered requests with upstreams that ended, and quarantines requests that cause crashes.
#[derive(Debug)]
pub struct CrashTracker {
    upstreams: Mutex<HashMap<UpstreamId, Sends>>,
    quarantine: Arc<SharedQuarantine>,
    next_send: AtomicU64,
    /// The number of requests in flight that are to be kept apart.
    kept_apart: AtomicUsize,
    lost_requests: Family<EndLabel, Counter>,
    unproved: Counter,
    proofs: Family<ProofLabel, Counter>,
    suppressed_lines: Counter,
    line_limit: LineLimit,
}

/// A request at an upstream, which counts as unanswered if it is dropped before another end.
#[derive(Debug)]
pub(crate) struct Send {
    tracker: Arc<CrashTracker>,
    upstream: Arc<Upstream>,
    identity: Identity,
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
    sent_at: Instant,
    /// When the connection was lost, if it was.
    lost_at: Option<Instant>,
    /// Whether the request is to be kept apart from others like it.
    is_apart: bool,
}

/// What proves that an incarnation of an upstream has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Proof {
    /// It refuses connections.
    Refused,
    /// The registry lists a later incarnation.
    Incarnation,
    /// The registry lists it no more; it may only have lost its way to the store.
    Removed,
    /// It was known before the request ended.
    Known,
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
    pub(crate) fn new(quarantine: Arc<SharedQuarantine>) -> Self {
        let suppressed_lines = Counter::default();
        Self {
            upstreams: Mutex::default(),
            quarantine,
            next_send: AtomicU64::new(0),
            kept_apart: AtomicUsize::new(0),
            lost_requests: Family::default(),
            unproved: Counter::default(),
            proofs: Family::default(),
            line_limit: LineLimit::new(suppressed_lines.clone()),
            suppressed_lines,
        }
    }

    /// Registers the counters in `registry`.
    pub fn register(&self, registry: &mut Registry) {
        self.quarantine.register(registry);
        let registry = registry.sub_registry_with_prefix("gateway");
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
        registry.register(
            "crash_log_thinned",
            "Lines about unanswered requests that were left out, to bound the log",
            self.suppressed_lines.clone(),
        );
    }

    /// Returns how a request may run now.
    pub(crate) fn admit(&self, request: Fingerprint) -> Admission {
        self.quarantine.admit(request)
    }

    /// Returns whether a request ran at a crash and was not answered since.
    pub(crate) fn is_suspect(&self, request: Fingerprint) -> bool {
        self.quarantine.is_suspect(request)
    }

    /// Returns whether a request that is to be kept apart is in flight at an upstream.
    pub(crate) fn has_kept_apart(&self, id: &str) -> bool {
        let upstreams = self.upstreams();
        let sends = upstreams.get(id);
        sends.is_some_and(|sends| sends.in_flight.values().any(|run| run.is_apart))
    }

    /// Returns the upstreams at which requests that are to be kept apart are in flight.
    pub(crate) fn upstreams_kept_apart(&self) -> Vec<UpstreamId> {
        if self.kept_apart.load(Ordering::Relaxed) == 0 {
            return Vec::new();
        }
        let upstreams = self.upstreams();
        let kept_apart = upstreams
            .iter()
            .filter(|(_, sends)| sends.in_flight.values().any(|run| run.is_apart));
        kept_apart.map(|(id, _)| id.clone()).collect()
    }

    /// Records that a request is sent to an upstream.
    pub(crate) fn start(self: &Arc<Self>, upstream: &Arc<Upstream>, identity: Identity) -> Send {
        let now = Instant::now();
        let request = identity.fingerprint;
        let run = Run {
            request,
            born: upstream.born,
            sent_at: now,
            lost_at: None,
            is_apart: self.admit(request) == Admission::Apart,
        };
        if run.is_apart {
            self.kept_apart.fetch_add(1, Ordering::Relaxed);
        }
        let number = self.next_send.fetch_add(1, Ordering::Relaxed);
        let mut upstreams = self.upstreams();
        let sends = upstreams.entry(upstream.id.clone()).or_default();
        sends.in_flight.insert(number, run);
        drop(upstreams);
        Send {
            tracker: self.clone(),
            upstream: upstream.clone(),
            identity,
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
            if let Some(sends) = self.upstreams().get_mut(&upstream.id) {
                sends.unanswered.record_life(upstream.born);
            }
            if let Some(ended) = upstream.born.checked_sub(1) {
                self.record_end(&upstream.id, ended, Proof::Incarnation);
            }
        }
        for upstream in &changes.gone {
            self.record_end(&upstream.id, upstream.born, Proof::Removed);
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
        self.quarantine.maintain();
    }

    /// Records proof that an incarnation and all earlier ones have ended.
    fn record_end(&self, id: &UpstreamId, ended: Incarnation, by: Proof) {
        let mut upstreams = self.upstreams();
        let Some(sends) = upstreams.get_mut(id) else {
            return;
        };
        let now = Instant::now();
        let mut crashed = sends.unanswered.record_end(now, ended);
        // After any other proof, what is in flight may still be answered.
        if by == Proof::Incarnation {
            let in_flight = sends.in_flight.values();
            let has_ended = |run: &&Run| run.born <= ended && now >= run.sent_at + LIST_AGE_MAX;
            crashed.extend(in_flight.filter(has_ended));
        }
        drop(upstreams);
        self.record_crashes(id, &crashed, by);
    }

    fn record_crashes(&self, id: &UpstreamId, runs: &[Run], by: Proof) {
        if runs.is_empty() {
            return;
        }
        let label = ProofLabel { by: by.as_str() };
        self.proofs.get_or_create(&label).inc();
        self.quarantine.record_crashes(runs.iter().map(|run| {
            let crashed = CrashedRun {
                upstream: id.clone(),
                born: run.born,
                sent_at: run.sent_at,
                lost_at: run.lost_at,
            };
            (run.request, crashed)
        }));
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
                self.record_end(&upstream.id, upstream.born, Proof::Refused);
                break;
            }
        }
        if let Some(sends) = self.upstreams().get_mut(&upstream.id) {
            sends.is_probed = false;
        }
    }

    fn upstreams(&self) -> MutexGuard<'_, HashMap<UpstreamId, Sends>> {
        self.upstreams
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Proof {
    fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Incarnation => "incarnation",
            Self::Removed => "removed",
            Self::Known => "known",
        }
    }
}

impl Send {
    /// Records a complete answer, which shows that the request does not crash upstreams.
    pub(crate) fn answered(mut self) {
        self.finish(|sends, run| sends.unanswered.record_life(run.born));
        self.tracker.quarantine.record_answer(self.run.request);
    }

    /// Records a response that shows that the upstream lives, but not that it has run the request well.
    pub(crate) fn failed(mut self) {
        self.finish(|sends, run| sends.unanswered.record_life(run.born));
    }

    /// Records that the request did not run.
    pub(crate) fn not_run(mut self) {
        self.finish(|_, _| ());
    }

    /// Records that the connection was lost before the response had ended.
    pub(crate) fn connection_lost(mut self) {
        self.run.lost_at = Some(Instant::now());
        self.unanswered("connection-lost");
        self.tracker.probe(&self.upstream);
    }

    fn unanswered(&mut self, end: &'static str) {
        let tracker = &self.tracker;
        tracker.lost_requests.get_or_create(&EndLabel { end }).inc();
        let run = self.run;
        if tracker.line_limit.allows_line() {
            let Identity {
                caller,
                target,
                body,
                ..
            } = self.identity;
            info!("request left unanswered", kv: { event = "request-lost", end, fingerprint = run.request, caller: = caller, target, body, server = &*self.upstream.id, born = run.born });
        }
        let mut crashed = None;
        self.finish(|sends, run| {
            crashed = sends
                .unanswered
                .record(Instant::now(), run.born, run.sent_at, *run);
        });
        self.tracker
            .record_crashes(&self.upstream.id, crashed.as_slice(), Proof::Known);
    }

    fn finish(&mut self, update: impl FnOnce(&mut Sends, &Run)) {
        self.is_over = true;
        if self.run.is_apart {
            self.tracker.kept_apart.fetch_sub(1, Ordering::Relaxed);
        }
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

#[cfg(test)]
mod tests;
