//! Sends a request to upstreams, with retries, until it is answered or finally fails.

use std::{
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::Duration,
};

use crate::{
    dialect::{Dialect, Metadata},
    fingerprint::Identity,
    metrics::{Metrics, Stage},
    pools::ConnectionPools,
    rejection::Rejection,
    relay::{self, Terms},
    request_log::{RequestContext, RequestLog},
    selector::{Requirements, Selected, Selector},
    trail::{Refusal, Trail},
    view::View,
};
use copperwell_backend::exchange::Failed;
use copperwell_memory::Budget;
use copperwell_message::{Body, Reason, Response, Verdict};
use copperwell_routing::{
    ServiceName,
    configuration::Route,
    retry::{self, Decision, FailedAttempt},
    stop::Pending,
};
use http::request::Parts;
use tokio::time::{Instant, sleep};

use outcome::{Classified, classify};

mod elsewhere;
mod outcome;
mod send;

/// The share of a route's objective, from the arrival of a request, within which a holder of the request's key
/// must be selected.
const SELECTION_TIME_RATIO: f64 = 0.7;

/// How often another upstream is selected for a request because the one before left until it was to be sent there.
const WITHDRAWALS_MAX: u32 = 3;

/// The attempts of one request.
pub(crate) struct Attempts<'a, D> {
    pub(crate) request_log: &'a RequestLog,
    pub(crate) context: RequestContext<'a>,
    pub(crate) dialect: &'a D,
    pub(crate) view: &'a Arc<View>,
    pub(crate) selector: &'a Selector,
    pub(crate) pools: &'a ConnectionPools,
    pub(crate) identity: Identity,
    pub(crate) metrics: &'a Metrics,
    pub(crate) route: &'a Route,
    pub(crate) metadata: &'a Metadata,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    /// The terms under which another daemon has sent the request here; `None` if its caller has.
    pub(crate) terms: Option<Terms>,
    /// Bounds what is buffered of bodies.
    pub(crate) budget: &'a Budget,
    /// When this daemon ends all requests; empty unless it stops.
    pub(crate) ends_at: &'a OnceLock<Instant>,
}

impl<D: Dialect> Attempts<'_, D> {
    /// Sends the request, with retries, and returns the response or the final failure.
    ///
    /// Each attempt is recorded in `trail`, also if the future is dropped.
    pub(crate) async fn run(
        &self,
        parts: Parts,
        body: Body,
        trail: &mut Trail,
    ) -> Result<Response, Refusal> {
        if self.route.is_unreadable() {
            return trail.finish(Rejection::new(Reason::UnreadableRoute));
        }
        let Some(service) = self.route.next_service().cloned() else {
            return trail.finish(Rejection::new(Reason::NoRoute));
        };
        if self.terms.is_none() {
            self.view.count_request(&service);
        }
        let requirements = match self.requirements(&service) {
            Ok(requirements) => requirements,
            Err(rejection) => return trail.finish(rejection),
        };
        let buffered = body.as_full();
        let mut stream = Some(body);
        let mut stale_version = None;
        let mut withdrawn = 0;
        loop {
            self.view.wait_for_list(self.deadline).await;
            if self.would_be_cut(buffered.is_some()) {
                return trail.finish(Rejection::stopping());
            }
            let selected = self.selector.select(
                &requirements,
                trail.attempted(),
                stale_version.take(),
                self.relays(trail.helpers()),
            );
            let selected = match selected.await {
                Ok(selected) => selected,
                Err(rejection) => return trail.finish(rejection),
            };
            if trail.attempted().is_empty() {
                let queue_time = self.arrived.elapsed();
                self.metrics
                    .observe(Stage::Queue, self.route.is_repeatable, queue_time);
            }
            let body = match &buffered {
                Some(bytes) => Body::full(bytes.clone()),
                None => match stream.take() {
                    Some(body) => body,
                    None => return trail.finish(Rejection::new(Reason::QueueFull)),
                },
            };
            let (upstream, permit, reservation) = match selected {
                Selected::Upstream(upstream, _) | Selected::WarmingUp(upstream, ..)
                    if self.is_lost_for_others(&upstream.id) =>
                {
                    return trail.finish(Rejection::new(Reason::ConnectionRefused));
                }
                Selected::Upstream(upstream, permit) => (upstream, permit, None),
                Selected::WarmingUp(upstream, permit, reservation) => {
                    (upstream, permit, Some(reservation))
                }
                Selected::Relay(helper) => {
                    let terms = self.terms_for_relay(trail.attempted().len());
                    let flight = trail.begin_through(helper);
                    let response = self.relay(helper, flight, terms, &parts, body).await;
                    let is_untried = relay::is_untried(&response);
                    let verdict = response.reply.verdict;
                    let rejection = match outcome::result_of(response) {
                        Ok(response) => return Ok(response),
                        Err(rejection) => rejection,
                    };
                    trail.keep(Err(rejection.clone()), verdict);
                    if is_untried && buffered.is_some() {
                        continue;
                    }
                    return trail.finish(rejection);
                }
            };
            let version = self.view.keys.routing_tables.version();
            let flight = trail.begin_at(upstream.id.clone());
            let place = (permit, reservation);
            let attempt = self
                .send(&upstream, place, flight, &parts, body, requirements.key)
                .await;
            let elapsed = attempt.elapsed;
            let (result, failed) = match classify(attempt) {
                Classified::Answer(response) => return Ok(response),
                Classified::Failure(result, failed) => (result, failed),
            };
            let progress = Progress {
                requirements: &requirements,
                attempts: trail.attempted().len(),
                is_buffered: buffered.is_some(),
                relays: self.relays(trail.helpers()),
            };
            let is_withdrawn = outcome::is_withdrawn(failed);
            let decision = match is_withdrawn {
                true => progress.decide_withdrawn(withdrawn),
                false => self.decide_retry(failed, &progress),
            };
            let request_log = self.request_log;
            request_log.failed(
                self.context,
                &upstream,
                failed,
                trail,
                elapsed,
                decision.as_str(),
            );
            let rejection = Rejection::new(failed.reason);
            if is_withdrawn {
                // It was not sent there, so what came of an earlier attempt still holds.
                trail.withdraw();
                withdrawn += 1;
                self.metrics.withdrawn.inc();
                if decision == RetryDecision::GiveUp {
                    return trail.finish(rejection);
                }
                continue;
            }
            trail.keep(result, failed.verdict);
            match decision {
                RetryDecision::Retry(delay) => sleep(delay).await,
                RetryDecision::BudgetExhausted => {
                    self.metrics.record_denied_retry(failed.reason);
                    return trail.finish(rejection);
                }
                RetryDecision::GiveUp => return trail.finish(rejection),
            }
            self.metrics.record_retry(failed.reason);
            if failed.reason == Reason::Fenced {
                stale_version = Some(version);
            }
        }
    }

    /// Returns the most upstreams to which the request may be sent.
    fn attempts_max(&self) -> u32 {
        let limit = self.terms.map(|terms| terms.attempts);
        limit.map_or(self.route.attempts, |limit| limit.min(self.route.attempts))
    }

    fn is_keyed(&self, service: &ServiceName) -> bool {
        let configuration = self.view.configuration();
        let known = configuration
            .as_ref()
            .and_then(|known| known.service(service));
        known.is_some_and(|service| service.is_keyed)
    }

    /// Returns the requirements of the request for its upstream, and counts the load of its key.
    fn requirements(&self, service: &ServiceName) -> Result<Requirements, Rejection> {
        let key = match (self.is_keyed(service), self.metadata.key) {
            (false, _) => None,
            (true, Some(key)) => {
                if self.terms.is_none() {
                    let usual = self.usual_time();
                    let load_counts = &self.view.keys.load_counts;
                    load_counts.count_request(service, key, usual);
                }
                Some(key)
            }
            (true, None) => return Err(Rejection::new(Reason::BadRequest)),
        };
        let selection_time = self.route.objective.mul_f64(SELECTION_TIME_RATIO);
        Ok(Requirements {
            request: self.identity.fingerprint,
            service: service.clone(),
            key,
            priority: self.route.priority,
            regions: self.route.regions.clone(),
            deadline: self.deadline.min(self.arrived + selection_time),
            arrived: self.arrived,
            objective: self.arrived + self.route.objective,
            answer_deadline: self.deadline,
            work: self.usual_time(),
        })
    }

    /// Returns whether this daemon stops before the request can be expected to end.
    fn would_be_cut(&self, is_whole: bool) -> bool {
        let Some(ends_at) = self.ends_at.get() else {
            return false;
        };
        let now = Instant::now();
        let pending = Pending {
            usual: self.view.route_latencies().measured(&self.route.name),
            objective: self.route.objective,
            time_left: self.deadline.saturating_duration_since(now),
            is_repeatable: self.route.is_repeatable,
            is_whole,
        };
        pending.would_be_cut(now, *ends_at)
    }

    /// Returns whether the request may crash upstreams.
    fn is_suspect(&self) -> bool {
        let crash_tracker = &self.view.crash_tracker;
        crash_tracker.is_suspect(self.identity.fingerprint)
    }

    /// Returns how long a request of this route usually takes at an upstream.
    fn usual_time(&self) -> Duration {
        let latencies = self.view.route_latencies();
        latencies.usual(&self.route.name, self.route.objective)
    }

    /// Decides whether to retry after a failed attempt.
    fn decide_retry(&self, failed: Failed, progress: &Progress<'_>) -> RetryDecision {
        if progress.is_buffered && self.can_relay(failed, progress) {
            // Nothing was sent, so the budget is not concerned if another daemon reaches the upstream.
            return RetryDecision::Retry(Duration::ZERO);
        }
        let service = &progress.requirements.service;
        let decision = retry::decide(&FailedAttempt {
            verdict: failed.verdict,
            reason: failed.reason,
            is_repeatable: self.route.is_repeatable,
            attempts: progress.attempts(),
            attempts_max: self.attempts_max(),
            is_keyed: self.metadata.key.is_some() && self.is_keyed(service),
            usual_time: self.usual_time(),
            time_left: self.deadline.saturating_duration_since(Instant::now()),
        });
        match decision {
            // A request that may crash upstreams is not sent to a further one.
            Decision::RetryAfter(_)
                if failed.verdict == Verdict::MayHaveRun && self.is_suspect() =>
            {
                RetryDecision::GiveUp
            }
            Decision::RetryAfter(delay) if progress.is_buffered => {
                if self.view.try_spend_retry(service) {
                    RetryDecision::Retry(delay)
                } else {
                    RetryDecision::BudgetExhausted
                }
            }
            _ => RetryDecision::GiveUp,
        }
    }
}

/// What has become of a request so far.
struct Progress<'a> {
    requirements: &'a Requirements,
    /// The number of attempts, the current one included.
    attempts: usize,
    /// Whether its body can be sent again.
    is_buffered: bool,
    /// The daemons through which it was tried; `None` if it must not be relayed any more.
    relays: Option<&'a [SocketAddr]>,
}

impl Progress<'_> {
    /// Decides whether another upstream is selected for a request that could not be sent any more, as happened
    /// `withdrawn` times before.
    fn decide_withdrawn(&self, withdrawn: u32) -> RetryDecision {
        match self.is_buffered && withdrawn < WITHDRAWALS_MAX {
            true => RetryDecision::Retry(Duration::ZERO),
            false => RetryDecision::GiveUp,
        }
    }

    fn attempts(&self) -> u32 {
        u32::try_from(self.attempts).unwrap_or(u32::MAX)
    }
}

/// Whether a failed attempt is followed by another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RetryDecision {
    /// Another attempt follows after this delay.
    Retry(Duration),
    /// No attempt follows because the retry budget is exhausted.
    BudgetExhausted,
    /// No attempt follows because a retry is not allowed or of no use.
    GiveUp,
}

impl RetryDecision {
    fn as_str(self) -> &'static str {
        match self {
            Self::Retry(_) => "yes",
            Self::BudgetExhausted => "no-budget",
            Self::GiveUp => "no",
        }
    }
}
