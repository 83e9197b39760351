//! Upstreams that warm up, as this daemon knows them.
//!
//! Nothing here has an effect on a service that names no warm-up, or without the allowance of the settings.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use crate::view::View;
use copperwell_assignment::warmup::Reservation;
use copperwell_message::HashSet;
use copperwell_routing::{
    UpstreamId,
    registry::{Registry, Upstream},
    warmup::{Allowance, Limit, Warmups},
};
use http::uri::PathAndQuery;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry as Metrics,
};
use spdlog::info;
use tokio::time::Instant;

use returned::Returns;

mod returned;

/// The maximum number of log lines in one [`LOG_WINDOW`], since all upstreams of a data centre may start together.
const LINES_MAX: u32 = 100;

/// The window in which log lines are counted.
const LOG_WINDOW: Duration = Duration::from_secs(10);

/// The upstreams that warm up, and the allowance of the settings.
#[derive(Debug, Default)]
pub struct WarmupState {
    known: Mutex<Warmups>,
    allowance: Mutex<Option<Allowance>>,
    /// The start of the current [`LOG_WINDOW`], and the number of log lines in it.
    lines: Mutex<Option<(Instant, u32)>>,
    warming_up: Gauge,
    health_checks: Family<AnswerLabel, Counter>,
    suppressed_lines: Counter,
    returns: Returns,
}

/// The state of an upstream that warms up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct WarmingUp {
    /// The limit on its requests.
    pub(crate) limit: Limit,
    /// The remaining warm-up time.
    pub(crate) left: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AnswerLabel {
    answer: &'static str,
}

impl WarmupState {
    /// Registers the metrics in `registry`.
    pub fn register(&self, registry: &mut Metrics) {
        let registry = registry.sub_registry_with_prefix("gateway");
        registry.register(
            "warming_up_upstreams",
            "Upstreams that warm up, as this daemon knows",
            self.warming_up.clone(),
        );
        registry.register(
            "warmup_health_checks",
            "Health checks sent on new connections before a request, by what the upstream said",
            self.health_checks.clone(),
        );
        registry.register(
            "warmup_log_thinned",
            "Lines about warm-ups that were left out, to bound the log",
            self.suppressed_lines.clone(),
        );
        self.returns.register(registry);
    }

    fn known(&self) -> MutexGuard<'_, Warmups> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn allowance(&self) -> Option<Allowance> {
        let allowance = self.allowance.lock();
        *allowance.unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether one more log line may be written, and counts it.
    fn allows_line(&self) -> bool {
        let now = Instant::now();
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let (since, count) = lines
            .filter(|(since, _)| now < *since + LOG_WINDOW)
            .unwrap_or((now, 0));
        *lines = Some((since, count + 1));
        if count >= LINES_MAX {
            self.suppressed_lines.inc();
        }
        count < LINES_MAX
    }

    fn log_begin(&self, id: &UpstreamId, source: &'static str, left: Duration) {
        if self.allows_line() {
            info!("an upstream warms up", kv: { event = "warmup", server = &**id, source, left_ms = left.as_millis() as u64 });
        }
    }
}

impl View {
    /// Sets how far the rates of upstreams that warm up may be exceeded; `None` if they are not limited.
    pub fn set_warmup_allowance(&self, allowance: Option<Allowance>) {
        let known = &self.warmups.allowance;
        *known.lock().unwrap_or_else(PoisonError::into_inner) = allowance;
    }

    /// Returns the limit of upstreams of a service while they warm up; `None` if they have none.
    pub(crate) fn warmup_limit(&self, service: &str) -> Option<Limit> {
        let allowance = self.warmups.allowance()?;
        let configuration = self.configuration()?;
        let warmup = configuration.service(service)?.warmup?;
        Some(Limit::new(warmup.rate, allowance))
    }

    /// Returns the limit of an upstream if it warms up.
    pub(crate) fn warming_up(&self, upstream: &Upstream) -> Option<WarmingUp> {
        let limit = self.warmup_limit(&upstream.service)?;
        let left = self.warmups.known().left(&upstream.id, Instant::now())?;
        Some(WarmingUp { limit, left })
    }

    /// Returns the upstreams of a service that warm up, if they have a limit meanwhile.
    pub(crate) fn upstreams_warming_up(&self, service: &str) -> HashSet<UpstreamId> {
        if self.warmup_limit(service).is_none() {
            return HashSet::default();
        }
        let registry = self.registry();
        let known = self.warmups.known();
        let now = Instant::now();
        let upstreams = registry.of_service(service).iter();
        let cold = upstreams.filter(|one| known.left(&one.id, now).is_some());
        cold.map(|one| one.id.clone()).collect()
    }

    /// Records what the registrations of all upstreams say.
    pub(crate) fn record_registrations(&self, registry: &Registry, now: Instant) {
        if self.warmups.allowance().is_none() {
            return;
        }
        let mut known = self.warmups.known();
        let mut begun = Vec::new();
        let mut has_returned = false;
        for upstream in registry.all() {
            let listed = registry.listed_warmup(upstream);
            let begins = match listed == upstream.warmup {
                true => known.record_registration(upstream, now),
                // The list also contains the warm-up after a return, which is recorded below.
                false => {
                    let upstream = Upstream {
                        warmup: listed,
                        ..(**upstream).clone()
                    };
                    known.record_registration(&upstream, now)
                }
            };
            if begins {
                begun.push((upstream, "registration", listed));
            }
            if let Some((ended_at, left)) = registry.warmup_after_return(upstream, now) {
                has_returned = true;
                if known.record_return(&upstream.id, upstream.born, ended_at, left, now) {
                    begun.push((upstream, "return", left));
                }
            }
        }
        drop(known);
        if has_returned {
            self.warmups.returns.notify();
        }
        for (upstream, source, left) in begun {
            if self.warmup_limit(&upstream.service).is_some() {
                self.warmups.log_begin(&upstream.id, source, left);
            }
        }
    }

    /// Records an answer of an upstream to a request that was sent at `sent_at`.
    pub(crate) fn record_heard(&self, upstream: &Upstream, sent_at: Instant) {
        if self.warmup_limit(&upstream.service).is_some() {
            let mut known = self.warmups.known();
            known.record_answer(&upstream.id, sent_at, Instant::now());
        }
    }

    /// Records that a connection to an upstream was refused or lost, or stopped responding.
    pub(crate) fn record_unheard(&self, upstream: &Upstream) {
        if self.warmup_limit(&upstream.service).is_some() {
            let mut known = self.warmups.known();
            known.record_failure(&upstream.id, Instant::now());
        }
    }

    /// Returns whether a request may be sent to an upstream as far as its warm-up is concerned: it does not warm up, or
    /// the request has a reservation.
    pub(crate) fn may_send_cold(
        &self,
        upstream: &Upstream,
        reservation: Option<&Reservation>,
    ) -> bool {
        let now = Instant::now();
        reservation.is_some_and(|reservation| reservation.is_valid(&upstream.id, now))
            || self.warming_up(upstream).is_none()
    }

    /// Returns the path of the health check that must precede a request on a new connection to an upstream.
    ///
    /// `closed_at` is when the upstream last closed a connection.
    pub(crate) fn health_check_before(
        &self,
        upstream: &Upstream,
        closed_at: Option<Instant>,
    ) -> Option<PathAndQuery> {
        self.warmup_limit(&upstream.service)?;
        let configuration = self.configuration()?;
        let path = configuration
            .service(&upstream.service)?
            .health_path
            .as_deref()?;
        let mut known = self.warmups.known();
        if let Some(closed_at) = closed_at {
            known.record_failure(&upstream.id, closed_at);
        }
        if known.is_confirmed(&upstream.id, Instant::now()) {
            return None;
        }
        PathAndQuery::try_from(path).ok()
    }

    /// Records the answer to such a health check, or that there was none.
    pub(crate) fn record_health(
        &self,
        upstream: &Upstream,
        warmup_left: Option<Duration>,
        sent_at: Instant,
    ) {
        let answer = match warmup_left {
            None => "none",
            Some(Duration::ZERO) => "warm",
            Some(_) => "warming-up",
        };
        self.warmups
            .health_checks
            .get_or_create(&AnswerLabel { answer })
            .inc();
        let Some(left) = warmup_left else { return };
        let now = Instant::now();
        let mut known = self.warmups.known();
        let begins = known.record_health(&upstream.id, left, sent_at, now);
        drop(known);
        if begins {
            self.warmups.log_begin(&upstream.id, "health", left);
        }
    }

    /// Forgets upstreams that are no longer registered, and records which have become warm.
    pub(crate) fn maintain_warmups(&self) {
        let registry = self.registry();
        let mut known = self.warmups.known();
        known.retain(|id| registry.get(id).is_some());
        let warm = known.take_warm(Instant::now());
        drop(known);
        let services = warm
            .iter()
            .filter_map(|id| Some((id, registry.get(id)?.service.clone())));
        let services: Vec<_> = services.collect();
        drop(registry);
        for (id, service) in services {
            if self.warmup_limit(&service).is_some() && self.warmups.allows_line() {
                info!("an upstream is warm", kv: { event = "warm", server = &**id });
            }
        }
        self.keys.warmups.maintain();
    }

    /// Updates the number of upstreams that warm up.
    pub(crate) fn update_warmup_gauge(&self) {
        let configuration = self.configuration();
        let services = configuration.iter().flat_map(|known| known.services());
        let count: usize = services
            .map(|service| self.upstreams_warming_up(&service.name).len())
            .sum();
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.warmups.warming_up.set(count);
    }
}
