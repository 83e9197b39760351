//! Sends a request to upstreams, with retries, until it is answered or finally fails.

use std::{
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::Duration,
};

use crate::{
    crash_tracker::Send,
    dialect::{Dialect, Metadata, Outbound},
    fingerprint::Identity,
    metrics::{Metrics, Stage},
    pools::{CONNECTIONS_MAX, ConnectionPools},
    refusal::Refusal,
    relay::{self, Terms},
    request_log::{RequestContext, RequestLog},
    selector::{Requirements, Selected, Selector},
    view::View,
};
use copperwell_backend::exchange::{Exchange, Failed};
use copperwell_message::{Body, Reason, Reply, Response, Verdict};
use copperwell_routing::{
    Key, ServiceName, UpstreamId,
    configuration::Route,
    limit::Observation,
    load::Outcome,
    registry::Upstream,
    retry::{self, Decision, FailedAttempt},
    stop::Pending,
};
use http::request::Parts;
use tokio::{
    sync::oneshot,
    time::{Instant, sleep},
};

use outcome::{
    Attempt, BodyEnd, Classified, PathGuard, classify, end_send, end_streamed, outcome_of,
    result_of,
};

mod elsewhere;
mod outcome;

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
    /// When this daemon ends all requests; empty unless it stops.
    pub(crate) ends_at: &'a OnceLock<Instant>,
}

impl<D: Dialect> Attempts<'_, D> {
    /// Sends the request, with retries, and returns the response or the final failure.
    ///
    /// Each upstream is added to `trail` before the request is sent there.
    pub(crate) async fn run(
        &self,
        parts: Parts,
        body: Body,
        trail: &mut Trail,
    ) -> Result<Response, Refusal> {
        let service = self.route.next_service().cloned();
        let service = service.ok_or(Refusal::not_run(Reason::NoRoute))?;
        if self.terms.is_none() {
            self.view.count_request(&service);
        }
        let requirements = self.requirements(&service)?;
        let mut relays: Vec<SocketAddr> = Vec::new();
        let buffered = body.as_full();
        let mut stream = Some(body);
        let mut stale_version = None;
        let mut withdrawn = 0;
        // The result that is returned unless a later attempt succeeds.
        let mut last_result: Option<Result<Response, Refusal>> = None;
        loop {
            self.view.wait_for_list(self.deadline).await;
            if self.would_be_cut(buffered.is_some()) {
                return last_result.unwrap_or(Err(Refusal::stopping()));
            }
            let selected = self.selector.select(
                &requirements,
                &trail.attempted,
                stale_version.take(),
                self.relays(&relays),
            );
            let selected = match selected.await {
                Ok(selected) => selected,
                Err(refusal) => return last_result.unwrap_or(Err(refusal)),
            };
            if trail.attempted.is_empty() {
                let queue_time = self.arrived.elapsed();
                self.metrics
                    .observe(Stage::Queue, self.route.is_repeatable, queue_time);
            }
            let body = match &buffered {
                Some(bytes) => Body::full(bytes.clone()),
                None => match stream.take() {
                    Some(body) => body,
                    None => return last_result.unwrap_or(Err(Refusal::not_run(Reason::QueueFull))),
                },
            };
            let upstream = match selected {
                Selected::Upstream(upstream) if self.is_lost_for_others(&upstream.id) => {
                    let refusal = Refusal::not_run(Reason::ConnectionRefused);
                    return last_result.unwrap_or(Err(refusal));
                }
                Selected::Upstream(upstream) => upstream,
                Selected::Relay(helper) => {
                    relays.push(helper);
                    let terms = self.terms_for_relay(trail.attempted.len());
                    let response = self.relay(helper, terms, &parts, body).await;
                    if relay::is_untried(&response) && buffered.is_some() {
                        last_result = Some(result_of(response));
                        continue;
                    }
                    return result_of(response);
                }
            };
            let version = self.view.keys.routing_tables.version();
            trail.attempted.push(upstream.id.clone());
            let progress = Progress {
                requirements: &requirements,
                attempts: trail.attempted.len(),
                is_buffered: buffered.is_some(),
                relays: self.relays(&relays),
            };
            let attempt = self
                .send(
                    &upstream,
                    &parts,
                    body,
                    requirements.key,
                    &mut trail.last_send,
                )
                .await;
            let elapsed = attempt.elapsed;
            let (result, failed) = match classify(attempt) {
                Classified::Answer(response) => return Ok(response),
                Classified::Failure(result, failed) => (result, failed),
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
            if is_withdrawn {
                // It was not sent there.
                trail.attempted.pop();
                withdrawn += 1;
                self.metrics.withdrawn.inc();
            }
            match decision {
                RetryDecision::Retry(_) if is_withdrawn => {
                    last_result = Some(result);
                    continue;
                }
                RetryDecision::Retry(delay) => sleep(delay).await,
                RetryDecision::BudgetExhausted => {
                    self.metrics.record_denied_retry(failed.reason);
                    return result;
                }
                RetryDecision::GiveUp => return result,
            }
            self.metrics.record_retry(failed.reason);
            if failed.reason == Reason::Fenced {
                stale_version = Some(version);
            }
            last_result = Some(result);
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
    fn requirements(&self, service: &ServiceName) -> Result<Requirements, Refusal> {
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
            (true, None) => return Err(Refusal::not_run(Reason::BadRequest)),
        };
        let selection_time = self.route.objective.mul_f64(SELECTION_TIME_RATIO);
        Ok(Requirements {
            request: self.identity.fingerprint,
            service: service.clone(),
            key,
            priority: self.route.priority,
            deadline: self.deadline.min(self.arrived + selection_time),
        })
    }

    /// Sends the request to an upstream once, and records how the attempt ended.
    async fn send(
        &self,
        upstream: &Arc<Upstream>,
        parts: &Parts,
        body: Body,
        key: Option<Key>,
        last_send: &mut Sending,
    ) -> Attempt {
        let connections = self.connections_to(upstream);
        let pool = self.pools.pool_of(upstream, connections);
        let outbound = Outbound {
            method: parts.method.clone(),
            target: parts.uri.clone(),
            headers: parts.headers.clone(),
            id: self.metadata.id.clone(),
            upstream: upstream.id.clone(),
        };
        let in_flight = self.selector.queues.start(self.view, &upstream.id);
        let left = self.deadline.saturating_duration_since(Instant::now());
        let (body_end, streamed) = oneshot::channel();
        let exchange = Exchange::new(pool.clone(), left, self.deadline).with_body_end(body_end);
        let send = self.view.crash_tracker.start(upstream, self.identity);
        let sent_at = Instant::now();
        let path = PathGuard::new(self.view, upstream, pool);
        let is_whole = body.as_full().is_some();
        let list_age = self.view.upstreams_age();
        let mut sending = Sending {
            age_at_choice: list_age,
            ..Sending::default()
        };
        let may_send = || {
            sending.age = self.view.upstreams_age();
            sending.waited = Some(sent_at.elapsed());
            self.view.may_send(upstream, key.is_some()) && !self.would_be_cut(is_whole)
        };
        let result = exchange.run(self.dialect, &outbound, body, may_send).await;
        self.metrics.observe_sending(sending);
        *last_send = sending;
        path.end(&result);
        if let Ok(response) = &result {
            self.observe_limit(upstream, &response.reply, sent_at);
            if let Some(time) = self.dialect.closed_for(&response.reply) {
                self.record_closed(upstream, time);
            }
            if self.dialect.is_leaving(&response.reply) {
                self.view.record_leaving(&upstream.id, upstream.born);
            }
        }
        let is_unreachable =
            matches!(&result, Err(failed) if failed.reason == Reason::ConnectionRefused);
        // Refused connections prove nothing where they are refused by something on the way to all upstreams.
        if is_unreachable && !self.view.is_cut_off() {
            self.view.crash_tracker.record_unreachable(upstream);
        }
        let outcome = outcome_of(&result);
        let streamed = end_send(send, &result, streamed);
        // How a streamed response has ended is known later.
        let elapsed = in_flight.end(match streamed {
            Some(_) => Outcome::Cancelled,
            None => outcome,
        });
        if let Some((send, body_end)) = streamed {
            self.spawn_end_of_stream(send, body_end, upstream, outcome, elapsed);
        }
        if outcome == Outcome::Answered {
            self.record_answer(upstream, elapsed);
        }
        self.metrics
            .observe(Stage::Upstream, self.route.is_repeatable, elapsed);
        Attempt {
            outcome,
            elapsed,
            result,
        }
    }

    /// Records that an upstream wants no requests for `time`.
    fn record_closed(&self, upstream: &Upstream, time: Duration) {
        self.metrics.closed_upstreams.inc();
        self.request_log.closed(self.context, upstream, time);
        let mut loads = self.view.loads();
        loads.record_closed(&upstream.id, time, Instant::now());
    }

    /// Records whether a reply names a limit of the upstream. A refusal without one says nothing.
    fn observe_limit(&self, upstream: &Upstream, reply: &Reply, sent_at: Instant) {
        let rate = self.dialect.limit_in(reply);
        if rate.is_none() && reply.reason.is_some() {
            return;
        }
        let observation = Observation {
            born: upstream.born,
            rate,
            sent_at,
        };
        self.view.keys.limits.observe(&upstream.id, observation);
    }

    /// Has a task record how a send and its streamed response end, of which the head took `elapsed`.
    fn spawn_end_of_stream(
        &self,
        send: Send,
        body_end: BodyEnd,
        upstream: &Upstream,
        outcome: Outcome,
        elapsed: Duration,
    ) {
        let (view, id) = (self.view.clone(), upstream.id.clone());
        tokio::spawn(async move {
            let end = body_end.await.unwrap_or(Err(Reason::Cancelled));
            let outcome = match end {
                Ok(()) => outcome,
                Err(Reason::Cancelled) => Outcome::Cancelled,
                Err(_) => Outcome::TimedOut,
            };
            let now = Instant::now();
            view.loads().record_response_end(&id, outcome, elapsed, now);
            end_streamed(send, end);
        });
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

    /// Records the latency of an answered request for its route, and for the upstream if the request has a key.
    fn record_answer(&self, upstream: &Upstream, elapsed: Duration) {
        let usual = self.usual_time();
        self.view
            .route_latencies()
            .record(&self.route.name, elapsed);
        if self.metadata.key.is_some() {
            let load_counts = &self.view.keys.load_counts;
            load_counts.count_response(&upstream.service, &upstream.id, elapsed, usual);
        }
    }

    /// Returns this daemon's share of the connections that an upstream accepts, but at least one for each of
    /// its slots.
    fn connections_to(&self, upstream: &Upstream) -> u32 {
        let configuration = self.view.configuration();
        let service = configuration
            .as_ref()
            .and_then(|known| known.service(&upstream.service));
        let all = service.map_or(CONNECTIONS_MAX, |service| service.connections);
        let daemons = &self.view.keys.daemons;
        let daemons = daemons.load(std::sync::atomic::Ordering::Relaxed).max(1);
        (all / daemons).max(upstream.slots)
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

/// The attempts of a request.
#[derive(Debug, Default)]
pub(crate) struct Trail {
    /// The upstreams to which it was sent.
    pub(crate) attempted: Vec<UpstreamId>,
    /// The last time that it was sent.
    pub(crate) last_send: Sending,
}

/// How old a daemon's knowledge was when it sent a request to an upstream.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Sending {
    /// The age of the list of upstreams when the upstream was chosen; `None` if there was no list.
    pub(crate) age_at_choice: Option<Duration>,
    /// Its age when the request was sent; `None` if it was not sent.
    pub(crate) age: Option<Duration>,
    /// The time from the choice to the sending; `None` if it was not sent.
    pub(crate) waited: Option<Duration>,
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
