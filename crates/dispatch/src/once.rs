//! Requests that are not repeatable: at most once, and a resend gets the outcome of the first.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use crate::{
    call::{Call, Failure},
    engine::Inner,
    ids::{Claimed, Entered, Running},
    serving::Serving,
    table::Route,
};
use copperwell_backend::Forward;
use copperwell_message::{Body, Reason, Reply, Response, Verdict};
use copperwell_policy::window::{Claim, Outcome, Tenure, Term};
use tokio::{sync::oneshot, time::timeout_at};
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

/// The status of an answer that is not kept: the request ran, and its answer is gone.
const STATUS_NOT_KEPT: u16 = 410;

/// The header of an answer that is not kept.
const HEADER_BODY: &str = "copperwell-body";

/// The header with the status that the answer had.
const HEADER_STATUS: &str = "copperwell-status";

impl<F: Forward> Inner<F> {
    /// Serves a request that is not repeatable.
    pub(crate) async fn serve_once(self: &Arc<Self>, id: Uuid, mut call: Call) -> Response {
        // Once it has joined another, nothing can rule out that it ran.
        let mut unless = Verdict::NotRun;
        loop {
            let serving = match self.serving(&call.head.service) {
                Ok(serving) => serving,
                Err(failure) => return Failure::new(unless, failure.reason).into_response(),
            };
            let Some(tenure) = self.tenure(&call) else {
                return Failure::new(unless, Reason::NotLeader).into_response();
            };
            let claim = Claim {
                id,
                shard: call.head.shard,
                tenure,
                fingerprint: call.head.fingerprint,
            };
            match serving.kept.ids.claim(claim, (self.wall)()) {
                Claimed::Run(entered) => {
                    call.entered = Some(entered);
                    return self.run_once(id, entered, call, serving).await;
                }
                Claimed::Join(ended) => {
                    self.metrics.joins.inc();
                    unless = Verdict::MayHaveRun;
                    if timeout_at(call.deadline, ended).await.is_err() {
                        return Failure::may_have_run(Reason::DeadlinePassed).into_response();
                    }
                }
                Claimed::Wait => {
                    if let Err(failure) = self.route(&call, &serving).await {
                        return unjudged(failure).into_response();
                    }
                }
                Claimed::Kept(outcome) => {
                    self.metrics.kept.inc();
                    return replay(outcome);
                }
                Claimed::Refused(refusal) => {
                    return Failure::new(refusal.verdict, refusal.reason).into_response();
                }
            }
        }
    }

    /// Runs a request that the window let in.
    ///
    /// Once it has left, it goes on though its caller goes away: a resend then gets the outcome
    /// in place of a lasting doubt.
    async fn run_once(
        self: &Arc<Self>,
        id: Uuid,
        entered: Entered,
        call: Call,
        serving: Arc<Serving>,
    ) -> Response {
        let (to, from) = oneshot::channel();
        let gone = call.gone.clone();
        let _going = gone.clone().drop_guard();
        let engine = Arc::clone(self);
        let sent = Arc::clone(&call.sent);
        tokio::spawn(async move {
            let running = serving
                .kept
                .ids
                .running(id, entered.ticket, Arc::clone(&sent));
            tokio::select! {
                biased;
                () = engine.run_claimed(call, running, to) => {}
                () = gone_unsent(&gone, &sent) => {}
            }
        });
        from.await
            .unwrap_or_else(|_| Failure::may_have_run(Reason::Stopping).into_response())
    }

    async fn run_claimed(
        &self,
        mut call: Call,
        running: Running<'_>,
        to: oneshot::Sender<Response>,
    ) {
        match self.run(&mut call).await {
            Ok(answer) => answer.keep(running, to).await,
            Err(response) => {
                running.finish(outcome_of(&response.reply));
                // The caller may have gone away; the outcome is kept for its resend.
                let _ = to.send(response);
            }
        }
    }

    /// How long this daemon has led the request's shard; `None` if it does not.
    fn tenure(&self, call: &Call) -> Option<Tenure> {
        let lead = self.table.lead(&call.head.service, call.head.shard);
        let epoch = match &lead.route {
            Route::Elsewhere => return None,
            Route::Owned(owner) => Some(owner.tenure),
            Route::Unowned | Route::Held => None,
        };
        Some(Tenure {
            term: Term {
                turn: lead.turn,
                epoch,
            },
            length: lead.owned_for(),
        })
    }
}

/// Resolves when the caller has gone away before the request has left.
async fn gone_unsent(gone: &CancellationToken, sent: &AtomicBool) {
    gone.cancelled().await;
    if sent.load(Ordering::Acquire) {
        std::future::pending().await
    }
}

/// A failure to find an owner: it stays open whether the leader before ran the request, unless the
/// next leader can tell.
fn unjudged(failure: Failure) -> Failure {
    match failure.reason {
        Reason::NotLeader => failure,
        _ => Failure {
            verdict: Verdict::MayHaveRun,
            ..failure
        },
    }
}

fn outcome_of(reply: &Reply) -> Outcome {
    match reply.verdict {
        Verdict::NotRun => Outcome::NotRun,
        Verdict::Done | Verdict::MayHaveRun => Outcome::MayHaveRun {
            reason: reply.reason.unwrap_or(Reason::Protocol),
        },
    }
}

/// The answer to the resend of a request whose outcome is kept.
fn replay(outcome: Outcome) -> Response {
    match outcome {
        Outcome::Answered(whole) => Response {
            reply: whole.reply,
            body: Body::full(whole.body),
        },
        Outcome::Done { status } => done(status),
        Outcome::MayHaveRun { reason } => Failure::may_have_run(reason).into_response(),
        Outcome::NotRun => Failure::not_run(Reason::Cancelled).into_response(),
    }
}

/// Says that a request ran to its end, without the answer that it had.
fn done(status: u16) -> Response {
    let headers = vec![
        (HEADER_BODY.to_owned(), b"not-kept".to_vec()),
        (HEADER_STATUS.to_owned(), status.to_string().into_bytes()),
    ];
    Response {
        reply: Reply {
            status: STATUS_NOT_KEPT,
            headers,
            verdict: Verdict::Done,
            reason: None,
            retry_after: None,
        },
        body: Body::empty(),
    }
}
