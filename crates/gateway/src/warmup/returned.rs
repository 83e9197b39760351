//! Upstreams that have returned from an evacuation, until a health check shows that they are warm.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use super::AnswerLabel;
use crate::view::View;
use copperwell_backend::exchange::Health;
use copperwell_message::{HashSet, Reason};
use copperwell_routing::{Incarnation, UpstreamId, registry::Upstream, warmup::Confirmation};
use http::uri::PathAndQuery;
use prometheus_client::{
    metrics::{counter::Counter, family::Family},
    registry::Registry as Metrics,
};
use rand::RngExt;
use spdlog::info;
use tokio::{
    sync::{Notify, futures::Notified},
    time::Instant,
};

/// The maximum number of health checks that a daemon has in flight.
const IN_FLIGHT_MAX: usize = 16;

/// The maximum random delay of a health check. All daemons learn of the end of an evacuation at about the same time, and
/// must not check an upstream all at once.
const CHECK_DELAY_MAX: Duration = Duration::from_millis(150);

/// A run of an upstream that was found warm, and the time at which its evacuation ended.
type Warm = (UpstreamId, Incarnation, Instant);

/// The results of health checks to upstreams that have returned.
#[derive(Debug, Default)]
pub(super) struct Returns {
    /// The runs that were found warm, until they are listed so.
    warm: Mutex<Vec<Warm>>,
    /// Signals that an upstream has returned.
    returned: Notify,
    /// Signals that a health check has ended.
    checked: Notify,
    checks: Family<AnswerLabel, Counter>,
}

impl Returns {
    pub(super) fn register(&self, registry: &mut Metrics) {
        registry.register(
            "return_checks",
            "Health checks to upstreams that have returned from an evacuation, by what came of them",
            self.checks.clone(),
        );
    }

    /// Signals that an upstream has returned.
    pub(super) fn notify(&self) {
        self.returned.notify_one();
    }

    fn warm(&self) -> MutexGuard<'_, Vec<Warm>> {
        self.warm.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count(&self, answer: &'static str) {
        self.checks.get_or_create(&AnswerLabel { answer }).inc();
    }
}

impl View {
    /// Waits until upstreams have returned from an evacuation.
    pub(crate) async fn wait_returned(&self) {
        self.warmups.returns.returned.notified().await;
    }

    /// Returns a future that waits for the end of the next health check to an upstream that has returned.
    pub(crate) fn return_checked(&self) -> Notified<'_> {
        self.warmups.returns.checked.notified()
    }

    /// Returns whether upstreams that have returned may still be found warm.
    pub(crate) fn has_returned(&self) -> bool {
        self.warmups.known().has_returned(Instant::now())
    }

    /// Returns the upstreams of a service that have returned, count as warming up, and may be found warm. Returns none if
    /// no further health check can be requested.
    pub(crate) fn unchecked_returned(&self, service: &str) -> HashSet<UpstreamId> {
        let registry = self.registry();
        let known = self.warmups.known();
        let now = Instant::now();
        let upstreams = registry.of_service(service).iter();
        let upstreams = upstreams.filter(|one| !one.is_draining);
        let (mut returned, mut can_check_any) = (HashSet::default(), false);
        for upstream in upstreams {
            let can_check = known.can_check(&upstream.id, now);
            can_check_any |= can_check;
            if can_check || known.awaits_check(&upstream.id, now) {
                returned.insert(upstream.id.clone());
            }
        }
        if !can_check_any {
            returned.clear();
        }
        returned
    }

    /// Returns whether a health check is to be sent to an upstream of a service that has returned, or is in flight.
    pub(crate) fn awaits_return_check(&self, service: &str) -> bool {
        let registry = self.registry();
        let known = self.warmups.known();
        let now = Instant::now();
        let mut upstreams = registry.of_service(service).iter();
        upstreams.any(|one| !one.is_draining && known.awaits_check(&one.id, now))
    }

    /// Returns whether a health check is to be sent to an upstream that has returned, or is in flight.
    pub(crate) fn awaits_return_check_of(&self, id: &str) -> bool {
        self.warmups.known().awaits_check(id, Instant::now())
    }

    /// Requests a health check of an upstream that has returned, if that may show that it is warm.
    pub(crate) fn request_return_check(&self, id: &str) {
        let delay = rand::rng().random_range(Duration::ZERO..CHECK_DELAY_MAX);
        let mut known = self.warmups.known();
        known.request_check(id, delay, Instant::now());
    }

    /// Requests health checks of all upstreams that have returned, if this daemon leads. The leader grants keys only to
    /// warm upstreams, and its list tells other daemons which are not warm.
    pub(crate) fn request_leader_checks(&self) {
        if !self.keys.warmups.is_leading() {
            return;
        }
        let unchecked = self.warmups.known().unchecked(Instant::now());
        for id in unchecked {
            self.request_return_check(&id);
        }
    }

    /// Returns the health checks that are to be sent now; each must be followed by
    /// [`record_return_check`](Self::record_return_check).
    pub(crate) fn take_return_checks(&self) -> Vec<(Arc<Upstream>, PathAndQuery)> {
        let due = {
            let mut known = self.warmups.known();
            known.take_due_checks(IN_FLIGHT_MAX, Instant::now())
        };
        let mut checks = Vec::new();
        for id in due {
            let upstream = self.registry().get(&id).cloned();
            // It may be evacuated again.
            let upstream = upstream.filter(|one| !one.is_draining);
            let path = upstream.as_ref().and_then(|one| self.health_path(one));
            match upstream.zip(path) {
                Some(check) => checks.push(check),
                None => self.warmups.known().record_check_end(&id),
            }
        }
        checks
    }

    fn health_path(&self, upstream: &Upstream) -> Option<PathAndQuery> {
        self.warmup_limit(&upstream.service)?;
        let configuration = self.configuration()?;
        let service = configuration.service(&upstream.service)?;
        PathAndQuery::try_from(service.health_path.as_deref()?).ok()
    }

    /// Records the result of a health check to an upstream that has returned.
    pub(crate) fn record_return_check(&self, upstream: &Upstream, result: Result<Health, Reason>) {
        let now = Instant::now();
        let mut known = self.warmups.known();
        if let Ok(health) = result {
            let Health {
                warmup_left,
                sent_at,
                ..
            } = health;
            known.record_health(&upstream.id, warmup_left, sent_at, now);
        }
        drop(known);
        let named = result
            .ok()
            .and_then(|health| Some((health.named?, health.sent_at)));
        match named {
            Some((left, sent_at)) => self.confirm_return(upstream, left, sent_at),
            None => {
                let answer = if result.is_ok() { "unnamed" } else { "none" };
                self.log_return_check(upstream, answer, Duration::ZERO);
            }
        }
        if result == Err(Reason::ConnectionRefused) {
            self.record_unheard(upstream);
        }
        self.warmups.known().record_check_end(&upstream.id);
        self.warmups.returns.checked.notify_waiters();
    }

    /// Records the remaining warm-up time `left` in the answer to a health check that was sent at `sent_at`, which may
    /// show that an upstream that has returned from an evacuation is warm.
    pub(crate) fn confirm_return(&self, upstream: &Upstream, left: Duration, sent_at: Instant) {
        let now = Instant::now();
        let mut known = self.warmups.known();
        let confirmation = known.confirm_return(&upstream.id, upstream.born, left, sent_at, now);
        drop(known);
        let answer = match confirmation {
            Confirmation::Unneeded => return,
            Confirmation::Warm(ended_at) => {
                let run = (upstream.id.clone(), upstream.born, ended_at);
                self.warmups.returns.warm().push(run);
                "warm"
            }
            Confirmation::WarmingUp => "warming-up",
            Confirmation::Late => "late",
        };
        let took = now.saturating_duration_since(sent_at);
        self.log_return_check(upstream, answer, took);
    }

    fn log_return_check(&self, upstream: &Upstream, answer: &'static str, took: Duration) {
        self.warmups.returns.count(answer);
        if self.warmups.allows_line() {
            info!("checked an upstream that has returned from an evacuation", kv: { event = "return-check", server = &*upstream.id, answer, took_ms = took.as_millis() as u64 });
        }
    }

    /// Lists upstreams that have returned and were found warm as they are registered.
    pub(crate) fn list_returned(&self) {
        let warm = std::mem::take(&mut *self.warmups.returns.warm());
        if !warm.is_empty() {
            self.list_warm(&warm);
        }
    }
}
