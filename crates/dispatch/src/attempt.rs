//! The attempts of one request, up to an answer or a final failure.

use std::{sync::Arc, time::Duration};

use crate::{
    answer::{Answer, Permit},
    call::{Call, Failure},
    engine::Inner,
    limiter::Limiter,
    observation::Observation,
    table::{Owner, Route},
    target::Target,
};
use copperwell_backend::{
    Forward,
    order::{Order, header},
};
use copperwell_keyspace::{Incarnation, manifest::Upstream};
use copperwell_message::{Reason, Reply, Response, Verdict};
use copperwell_policy::{
    backoff::Backoff,
    quarantine::Suspect,
    retry::{self, Retry},
    slots::End,
};
use tokio::time::{Instant, timeout, timeout_at};

/// The backoff between the attempts of one request.
const RETRY_BACKOFF_INITIAL: Duration = Duration::from_millis(25);
const RETRY_BACKOFF_MAX: Duration = Duration::from_secs(1);

/// A failed attempt.
struct FailedAttempt {
    failure: Failure,
    /// The destination, if the attempt was sent.
    destination: Option<Box<Destination>>,
}

/// The destination of a failed attempt.
struct Destination {
    upstream: Upstream,
    owner: Owner,
    limiter: Arc<Limiter>,
}

impl<F: Forward> Inner<F> {
    /// Sends a request and retries it until there is an answer or a final failure.
    pub(crate) async fn run(&self, call: &mut Call) -> Result<Answer, Response> {
        loop {
            let failed = match self.attempt(call).await {
                Ok(answer) => return Ok(answer),
                Err(failed) => failed,
            };
            call.record_failure(&failed.failure);
            if failed.failure.verdict == Verdict::NotRun {
                self.mark_not_run(call);
            }
            let Some(delay) = self.retry_delay(call, &failed) else {
                return Err(call.final_response(failed.failure));
            };
            self.metrics.record_retry(failed.failure.reason);
            self.wait_before_retry(call, &failed, delay).await;
        }
    }

    /// Records in the idempotency window that the request, though sent, did not run.
    fn mark_not_run(&self, call: &Call) {
        if let Some(entry) = call.window_entry
            && let Ok(service) = self.active_service(&call.head.service)
        {
            service.state.window.mark_not_run(entry);
        }
    }

    async fn attempt(&self, call: &mut Call) -> Result<Answer, FailedAttempt> {
        let target = self.target(call).await.map_err(FailedAttempt::from)?;
        self.send(call, target).await
    }

    async fn send(&self, call: &mut Call, target: Target) -> Result<Answer, FailedAttempt> {
        let request = call
            .request()
            .ok_or(Failure::not_run(Reason::Protocol).into_final())?;
        // The process may have been paused at any point above, so lease and term are checked last.
        let now = Instant::now();
        target.check(call, now)?;
        if call.sends == 0 {
            let limits = &target.service.settings.limits;
            target
                .service
                .state
                .record_first_attempt(limits.retry_percent);
        }
        call.record_send();
        self.metrics.sends.inc();
        let order = Order {
            epoch: target.owner.epoch,
            deadline: call.deadline - now,
        };
        let forward = self.forward.forward(&target.upstream, order, request);
        let response = timeout_at(call.deadline, forward)
            .await
            .unwrap_or_else(|_| Response::refusal(Verdict::MayHaveRun, Reason::DeadlinePassed));
        self.classify(call, target, response)
    }

    /// Decides whether a response is an answer or a failed attempt, and records what it shows about
    /// the server.
    fn classify(
        &self,
        call: &Call,
        target: Target,
        response: Response,
    ) -> Result<Answer, FailedAttempt> {
        let permit = Permit {
            suspect: Suspect {
                fingerprint: call.head.fingerprint,
                is_exclusive: target.slot.is_exclusive(),
                incarnation: target.owner.incarnation,
            },
            slot: target.slot,
            _in_flight: target.in_flight,
            quarantine_duration: target.service.settings.limits.quarantine,
            quarantine: Arc::clone(&self.quarantine),
        };
        self.record_incarnation(&response.reply, &permit);
        let Some(reason) = response.reply.reason else {
            return Ok(Answer {
                response,
                permit,
                deadline: call.deadline,
            });
        };
        let failure = Failure {
            verdict: response.reply.verdict,
            reason,
            retry_after: response.reply.retry_after,
            is_final: false,
        };
        let destination = Destination {
            upstream: target.upstream,
            owner: target.owner,
            limiter: Arc::clone(permit.slot.limiter()),
        };
        self.record_failure(call, &failure, &destination, permit);
        Err(FailedAttempt {
            failure,
            destination: Some(Box::new(destination)),
        })
    }

    /// Records a restart of the server if a response shows it before the driver reports it.
    fn record_incarnation(&self, reply: &Reply, permit: &Permit) {
        let newer =
            incarnation_of(reply).filter(|incarnation| *incarnation > permit.suspect.incarnation);
        if let Some(incarnation) = newer {
            let suspects = permit.slot.limiter().observe_incarnation(incarnation);
            self.quarantine
                .record_crash(&suspects, permit.quarantine_duration);
        }
    }

    /// Updates the limiter and the quarantine, and informs the driver, after a failed attempt.
    fn record_failure(
        &self,
        call: &Call,
        failure: &Failure,
        destination: &Destination,
        mut permit: Permit,
    ) {
        match failure.reason {
            Reason::Shed => {
                destination.limiter.record_shed(failure.retry_after);
                permit.slot.set_end(End::Shed);
            }
            Reason::ConnectionRefused => {
                let suspects = destination
                    .limiter
                    .record_refused_connection(destination.owner.incarnation);
                self.quarantine
                    .record_crash(&suspects, permit.quarantine_duration);
                self.report_unreachable(call, destination);
            }
            Reason::ConnectionLost | Reason::ConnectionSilent | Reason::DeadlinePassed
                if failure.verdict == Verdict::MayHaveRun =>
            {
                self.quarantine.record_unanswered(
                    &destination.limiter,
                    permit.suspect,
                    permit.quarantine_duration,
                );
                if failure.reason != Reason::DeadlinePassed {
                    self.report_unreachable(call, destination);
                }
            }
            Reason::ConnectionLost | Reason::ConnectionSilent => {
                self.report_unreachable(call, destination);
            }
            Reason::Fenced => self.report(Observation::Fenced {
                service: call.head.service.as_str().into(),
                shard: call.head.shard,
                upstream: destination.upstream.name.clone(),
                epoch: destination.owner.epoch,
            }),
            _ => {}
        }
    }

    fn report_unreachable(&self, call: &Call, destination: &Destination) {
        self.report(Observation::Unreachable {
            service: call.head.service.as_str().into(),
            upstream: destination.upstream.name.clone(),
        });
    }

    /// Returns the delay before the next attempt, or `None` if there must be none.
    fn retry_delay(&self, call: &mut Call, failed: &FailedAttempt) -> Option<Duration> {
        let failure = &failed.failure;
        let allowed = retry::after(failure.verdict, failure.reason, call.head.repeat);
        let is_retryable =
            allowed != Retry::Never && !failure.is_final && !call.cancellation.is_cancelled();
        if !is_retryable || !call.is_resendable() {
            return None;
        }
        if allowed == Retry::SameUpstream {
            let destination = failed.destination.as_ref()?;
            call.pinned = Some(destination.upstream.name.clone());
        }
        let now = Instant::now();
        let backoff = Backoff::new(RETRY_BACKOFF_INITIAL, RETRY_BACKOFF_MAX);
        let jittered = backoff.delay(call.attempts, &mut rand::rng());
        let shed_delay = failed
            .shed_until(now)
            .map_or(Duration::ZERO, |until| until - now);
        let delay = shed_delay + jittered;
        if now + delay >= call.deadline {
            return None;
        }
        self.spend_retry(call, failure).then_some(delay)
    }

    /// Takes the next attempt from the retry budget if it can put load on a server again; returns
    /// `false` if the budget is used up.
    fn spend_retry(&self, call: &Call, failure: &Failure) -> bool {
        // A refused connection or an expired lease put no load on a server, and the limiter's
        // pauses bound how often a server that refuses connections is retried.
        let is_free = matches!(
            failure.reason,
            Reason::ConnectionRefused | Reason::LeaseLapsed
        );
        let is_allowed = is_free
            || self
                .active_service(&call.head.service)
                .is_ok_and(|service| service.state.spend_retry());
        if !is_allowed {
            self.metrics.record_denied_retry(failure.reason);
        }
        is_allowed
    }

    /// Waits for `delay`, or until the shard's owner has changed.
    async fn wait_before_retry(&self, call: &Call, failed: &FailedAttempt, delay: Duration) {
        let Some(destination) = &failed.destination else {
            return tokio::time::sleep(delay).await;
        };
        let is_unchanged =
            |route: &Route| matches!(route, Route::Owned(new) if new.is_same(&destination.owner));
        let changed = self
            .table
            .wait_for_change(&call.head.service, call.head.shard, is_unchanged);
        // The next attempt is due in both cases.
        let _ = timeout(delay, changed).await;
    }
}

impl FailedAttempt {
    fn shed_until(&self, now: Instant) -> Option<Instant> {
        self.destination.as_ref()?.limiter.shed_until(now)
    }
}

impl From<Failure> for FailedAttempt {
    fn from(failure: Failure) -> Self {
        Self {
            failure,
            destination: None,
        }
    }
}

/// Returns the server's incarnation if the response names it.
fn incarnation_of(reply: &Reply) -> Option<Incarnation> {
    let (_, value) = reply
        .headers
        .iter()
        .find(|(name, _)| name == header::INCARNATION)?;
    std::str::from_utf8(value).ok()?.parse().ok()
}
