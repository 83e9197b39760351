//! Sends a request to one upstream, and records what that shows.

use std::{sync::Arc, time::Duration};

use super::{
    Attempts,
    outcome::{self, Attempt, BodyEnd, PathGuard, end_send, end_streamed, outcome_of},
};
use crate::{
    crash_tracker::Send,
    dialect::{Dialect, Outbound},
    metrics::Stage,
    queue::{InFlight, Permit},
    trail::Flight,
    view::View,
};
use copperwell_assignment::warmup::Reservation;
use copperwell_backend::exchange::{Exchange, Failed, Gate};
use copperwell_message::{Body, Reason, Reply, Response};
use copperwell_routing::{
    Key,
    limit::Observation,
    load::{InvalidReport, Outcome, Timing},
    registry::Upstream,
};
use http::{request::Parts, uri::PathAndQuery};
use tokio::{sync::oneshot, time::Instant};

/// Decides whether a request is still sent, and confirms an upstream that may have been started again.
struct SendGate<'a, M> {
    view: &'a View,
    upstream: &'a Upstream,
    may_send: M,
}

impl<M: FnMut() -> bool + std::marker::Send> Gate for SendGate<'_, M> {
    fn may_send(&mut self) -> bool {
        (self.may_send)()
    }

    fn health_check(&mut self, closed_at: Option<Instant>) -> Option<PathAndQuery> {
        self.view.health_check_before(self.upstream, closed_at)
    }

    fn record_health(&mut self, warmup_left: Option<Duration>, sent_at: Instant) {
        self.view.record_health(self.upstream, warmup_left, sent_at);
    }

    fn record_named(&mut self, warmup_left: Duration, sent_at: Instant) {
        self.view
            .confirm_return(self.upstream, warmup_left, sent_at);
    }
}

impl<D: Dialect> Attempts<'_, D> {
    /// Sends the request to an upstream once, and records how the attempt ended.
    pub(super) async fn send(
        &self,
        upstream: &Arc<Upstream>,
        (permit, reservation): (Permit, Option<Reservation>),
        mut flight: Flight<'_>,
        parts: &Parts,
        body: Body,
        key: Option<Key>,
    ) -> Attempt {
        let pool = self.pools.pool_for(self.view, upstream);
        let outbound = self.outbound(upstream, parts);
        let in_flight = permit.start();
        let left = self.deadline.saturating_duration_since(Instant::now());
        let (body_end, streamed) = oneshot::channel();
        let exchange = Exchange::new(pool.clone(), left, self.deadline)
            .with_body_end(body_end)
            .with_budget(self.budget.clone());
        let send = self.view.crash_tracker.start(upstream, self.identity);
        let sent_at = Instant::now();
        let path = PathGuard::new(self.view, upstream, pool);
        let is_whole = body.as_full().is_some();
        flight.record_choice(self.view.upstreams_age());
        let may_send = || {
            let may_send = self.may_send(upstream, reservation.as_ref(), key, is_whole);
            if may_send {
                flight.record_sending_at(self.view.upstreams_age(), sent_at.elapsed());
            }
            may_send
        };
        let gate = SendGate {
            view: self.view,
            upstream,
            may_send,
        };
        let result = exchange.run(self.dialect, &outbound, body, gate).await;
        self.metrics.observe_sending(flight.sending());
        flight.end(outcome::verdict_of(&result));
        path.end(&result);
        if let Ok(response) = &result {
            self.observe_reply(upstream, &response.reply, sent_at);
        }
        self.record_unreachable(upstream, &result);
        let outcome = outcome_of(&result);
        self.record_liveness(upstream, outcome, sent_at);
        let streamed = end_send(send, &result, streamed);
        let elapsed = self.record_end(upstream, outcome, in_flight, streamed, sent_at);
        Attempt {
            outcome,
            elapsed,
            result,
        }
    }

    /// Returns the request as it is sent to an upstream.
    fn outbound(&self, upstream: &Upstream, parts: &Parts) -> Outbound {
        Outbound {
            method: parts.method.clone(),
            target: parts.uri.clone(),
            headers: parts.headers.clone(),
            id: self.metadata.id.clone(),
            upstream: upstream.id.clone(),
        }
    }

    /// Returns whether the choice of an upstream still holds when the request is about to be sent.
    fn may_send(
        &self,
        upstream: &Upstream,
        reservation: Option<&Reservation>,
        key: Option<Key>,
        is_whole: bool,
    ) -> bool {
        self.view.may_send(upstream, key.is_some())
            && self.view.may_send_cold(upstream, reservation)
            && !self.would_be_cut(is_whole)
    }

    /// Records what a reply says of its upstream.
    fn observe_reply(&self, upstream: &Upstream, reply: &Reply, sent_at: Instant) {
        self.observe_limit(upstream, reply, sent_at);
        self.observe_load(upstream, reply);
        if let Some(time) = self.dialect.closed_for(reply) {
            self.record_closed(upstream, time);
        }
        if self.dialect.is_leaving(reply) {
            self.view.record_leaving(&upstream.id, upstream.born);
        }
    }

    /// Records that an upstream has refused the connection.
    fn record_unreachable(&self, upstream: &Arc<Upstream>, result: &Result<Response, Failed>) {
        let is_unreachable =
            matches!(result, Err(failed) if failed.reason == Reason::ConnectionRefused);
        // Refused connections prove nothing where they are refused by something on the way to all upstreams.
        if is_unreachable && !self.view.is_cut_off() {
            self.view.crash_tracker.record_unreachable(upstream);
        }
    }

    /// Records that a request is not in flight any more, and its latency; returns that.
    ///
    /// `streamed` is the send whose response body is still streamed.
    fn record_end(
        &self,
        upstream: &Arc<Upstream>,
        outcome: Outcome,
        in_flight: InFlight,
        streamed: Option<(Send, BodyEnd)>,
        sent_at: Instant,
    ) -> Duration {
        // How a streamed response has ended is known later.
        let elapsed = in_flight.end(match streamed {
            Some(_) => Outcome::Cancelled,
            None => outcome,
        });
        if let Some((send, body_end)) = streamed {
            self.spawn_end_of_stream(send, body_end, upstream, outcome, elapsed, sent_at);
        }
        if outcome == Outcome::Answered {
            self.record_answer(upstream, elapsed);
        }
        self.metrics
            .observe(Stage::Upstream, self.route.is_repeatable, elapsed);
        elapsed
    }

    /// Records whether the process of an upstream has answered a request that was sent at `sent_at`.
    fn record_liveness(&self, upstream: &Upstream, outcome: Outcome, sent_at: Instant) {
        match outcome {
            Outcome::Answered | Outcome::Failed | Outcome::Shed => {
                self.view.record_heard(upstream, sent_at);
            }
            Outcome::ConnectionFailed | Outcome::ConnectionLost | Outcome::TimedOut => {
                self.view.record_unheard(upstream);
            }
            // Another upstream may have the address.
            Outcome::Misdirected | Outcome::Cancelled => {}
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

    /// Records what a reply says of the upstream's load, while its request still counts as in flight.
    fn observe_load(&self, upstream: &Upstream, reply: &Reply) {
        // The reply may be that of another upstream, which has the address now.
        if reply.reason == Some(Reason::Fenced) {
            return;
        }
        match self.dialect.load_in(reply) {
            Some(Ok(report)) => {
                let mut loads = self.view.loads();
                loads.record_report(&upstream.id, report, true, Instant::now());
            }
            Some(Err(InvalidReport)) => {
                self.metrics.ignored_reports.inc();
            }
            None => {}
        }
    }

    /// Has a task record how a send and its streamed response end, of which the head took `elapsed`.
    fn spawn_end_of_stream(
        &self,
        send: Send,
        body_end: BodyEnd,
        upstream: &Arc<Upstream>,
        outcome: Outcome,
        elapsed: Duration,
        sent_at: Instant,
    ) {
        let (view, upstream) = (self.view.clone(), upstream.clone());
        tokio::spawn(async move {
            let end = body_end.await.unwrap_or(Err(Reason::Cancelled));
            let outcome = match end {
                Ok(()) => outcome,
                // Not the fault of the upstream.
                Err(Reason::Cancelled | Reason::SlowCaller | Reason::Overload) => {
                    Outcome::Cancelled
                }
                Err(_) => Outcome::TimedOut,
            };
            let now = Instant::now();
            let timing = Timing {
                head: elapsed,
                whole: now.saturating_duration_since(sent_at),
            };
            if end == Err(Reason::ConnectionLost) {
                view.record_unheard(&upstream);
            }
            let id = &upstream.id;
            view.loads().record_response_end(id, outcome, timing, now);
            end_streamed(send, end);
        });
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
}
