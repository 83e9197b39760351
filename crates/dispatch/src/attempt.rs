//! Tries of one request, until an answer or a failure that stands.

use std::{sync::Arc, time::Duration};

use crate::{
    answer::{Answer, Held},
    call::{Call, Failure},
    engine::Inner,
    gate::Gate,
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

/// Waits between the tries of one request.
const RETRY_FIRST: Duration = Duration::from_millis(25);
const RETRY_MOST: Duration = Duration::from_secs(1);

/// A failed try.
struct Failed {
    failure: Failure,
    /// Where it was sent, if it was.
    sent_to: Option<Box<Sent>>,
}

/// Where a failed try was sent.
struct Sent {
    upstream: Upstream,
    owner: Owner,
    gate: Arc<Gate>,
}

impl<F: Forward> Inner<F> {
    /// Tries a request until there is an answer or a failure that stands.
    pub(crate) async fn run(&self, call: &mut Call) -> Result<Answer, Response> {
        loop {
            let failed = match self.attempt(call).await {
                Ok(answer) => return Ok(answer),
                Err(failed) => failed,
            };
            call.fail(&failed.failure, failed.sent_to.is_some());
            if failed.failure.verdict == Verdict::NotRun {
                self.stay(call);
            }
            let Some(delay) = self.delay(call, &failed) else {
                return Err(call.settle(failed.failure));
            };
            self.metrics.retry(failed.failure.reason);
            self.pause(call, &failed, delay).await;
        }
    }

    /// Notes in the window that what has left did not run.
    fn stay(&self, call: &Call) {
        if let Some(entered) = call.entered
            && let Ok(serving) = self.serving(&call.head.service)
        {
            serving.kept.ids.stay(entered);
        }
    }

    async fn attempt(&self, call: &mut Call) -> Result<Answer, Failed> {
        let target = self.target(call).await.map_err(Failed::from)?;
        self.send(call, target).await
    }

    async fn send(&self, call: &mut Call, target: Target) -> Result<Answer, Failed> {
        let request = call
            .request()
            .ok_or(Failure::not_run(Reason::Protocol).with_final())?;
        // The process may have been paused at any point above, so both rights are checked last.
        let now = Instant::now();
        target.check(call, now)?;
        if call.sends == 0 {
            let limits = &target.serving.service.limits;
            target.serving.kept.first_try(limits.retry_percent);
        }
        call.leave();
        self.metrics.sends.inc();
        let order = Order {
            epoch: target.owner.epoch,
            deadline: call.deadline - now,
        };
        let forward = self.forward.forward(&target.upstream, order, request);
        let response = timeout_at(call.deadline, forward)
            .await
            .unwrap_or_else(|_| Response::refusal(Verdict::MayHaveRun, Reason::DeadlinePassed));
        self.conclude(call, target, response)
    }

    /// Tells an answer from a failed try.
    fn conclude(&self, call: &Call, target: Target, response: Response) -> Result<Answer, Failed> {
        let held = Held {
            suspect: Suspect {
                fingerprint: call.head.fingerprint,
                alone: target.slot.is_alone(),
                incarnation: target.owner.incarnation,
            },
            slot: target.slot,
            _pass: target.pass,
            quarantine: target.serving.service.limits.quarantine,
            guard: Arc::clone(&self.guard),
        };
        self.meet(&response.reply, &held);
        let Some(reason) = response.reply.reason else {
            return Ok(Answer {
                response,
                held,
                deadline: call.deadline,
            });
        };
        let failure = Failure {
            verdict: response.reply.verdict,
            reason,
            retry_after: response.reply.retry_after,
            is_final: false,
        };
        let sent = Sent {
            upstream: target.upstream,
            owner: target.owner,
            gate: Arc::clone(held.slot.gate()),
        };
        self.learn(call, &failure, &sent, held);
        Err(Failed {
            failure,
            sent_to: Some(Box::new(sent)),
        })
    }

    /// Notes a server that has restarted, should the answer say so before the driver does.
    fn meet(&self, reply: &Reply, held: &Held) {
        let run = incarnation_of(reply).filter(|run| *run > held.suspect.incarnation);
        if let Some(run) = run {
            let suspects = held.slot.gate().meet(run);
            self.guard.crash(&suspects, held.quarantine);
        }
    }

    /// Draws conclusions about the server from a failed try.
    fn learn(&self, call: &Call, failure: &Failure, sent: &Sent, mut held: Held) {
        match failure.reason {
            Reason::Shed => {
                sent.gate.shed(failure.retry_after);
                held.slot.set_end(End::Shed);
            }
            Reason::ConnectionRefused => {
                let suspects = sent.gate.refuse(sent.owner.incarnation);
                self.guard.crash(&suspects, held.quarantine);
                self.observe_unreachable(call, sent);
            }
            Reason::ConnectionLost => {
                let suspects = sent.gate.lose(held.suspect);
                self.guard.crash(&suspects, held.quarantine);
                self.observe_unreachable(call, sent);
            }
            Reason::ConnectionSilent => self.observe_unreachable(call, sent),
            Reason::Fenced => self.observe(Observation::Fenced {
                service: call.head.service.as_str().into(),
                shard: call.head.shard,
                upstream: sent.upstream.name.clone(),
                epoch: sent.owner.epoch,
            }),
            _ => {}
        }
    }

    fn observe_unreachable(&self, call: &Call, sent: &Sent) {
        self.observe(Observation::Unreachable {
            service: call.head.service.as_str().into(),
            upstream: sent.upstream.name.clone(),
        });
    }

    /// How long to wait before the next try; `None` if there is to be none.
    fn delay(&self, call: &mut Call, failed: &Failed) -> Option<Duration> {
        let failure = &failed.failure;
        let allowed = retry::after(failure.verdict, failure.reason, call.head.repeat);
        let wanted = allowed != Retry::Never && !failure.is_final && !call.gone.is_cancelled();
        if !wanted || !call.is_resendable() {
            return None;
        }
        if allowed == Retry::SameUpstream {
            let sent = failed.sent_to.as_ref()?;
            call.pinned = Some(sent.upstream.name.clone());
        }
        let now = Instant::now();
        let backoff = Backoff::new(RETRY_FIRST, RETRY_MOST);
        let jittered = backoff.delay(call.tries, &mut rand::rng());
        let shedding = failed
            .shed_until(now)
            .map_or(Duration::ZERO, |until| until - now);
        let delay = shedding + jittered;
        if now + delay >= call.deadline {
            return None;
        }
        self.pays(call, failure).then_some(delay)
    }

    /// Takes the next try out of the retry budget, if it can burden a server a second time.
    fn pays(&self, call: &Call, failure: &Failure) -> bool {
        // A refused connection or a lapsed lease brought nothing to a server, and the gate's
        // pauses bound how often a server that refuses is tried.
        let is_free = matches!(
            failure.reason,
            Reason::ConnectionRefused | Reason::LeaseLapsed
        );
        let pays = is_free
            || self
                .serving(&call.head.service)
                .is_ok_and(|serving| serving.kept.retry());
        if !pays {
            self.metrics.deny_retry(failure.reason);
        }
        pays
    }

    /// Waits for the next try, or until the shard's owner has changed.
    async fn pause(&self, call: &Call, failed: &Failed, delay: Duration) {
        let Some(sent) = &failed.sent_to else {
            return tokio::time::sleep(delay).await;
        };
        let same = |route: &Route| matches!(route, Route::Owned(now) if now.is_same(&sent.owner));
        let changed = self
            .table
            .changed(&call.head.service, call.head.shard, same);
        // Both ways the next try is due.
        let _ = timeout(delay, changed).await;
    }
}

impl Failed {
    fn shed_until(&self, now: Instant) -> Option<Instant> {
        self.sent_to.as_ref()?.gate.shed_until(now)
    }
}

impl From<Failure> for Failed {
    fn from(failure: Failure) -> Self {
        Self {
            failure,
            sent_to: None,
        }
    }
}

/// The server's run that an answer names.
fn incarnation_of(reply: &Reply) -> Option<Incarnation> {
    let (_, value) = reply
        .headers
        .iter()
        .find(|(name, _)| name == header::INCARNATION)?;
    std::str::from_utf8(value).ok()?.parse().ok()
}
