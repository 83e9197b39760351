//! At-most-once execution of requests that are not repeatable.
//!
//! A resend gets the outcome of the first request.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use crate::{
    call::{Call, Failure},
    config::ActiveService,
    engine::Inner,
    idempotency::{ClaimOutcome, RunningClaim, WindowEntry},
    table::Route,
};
use copperwell_backend::Forward;
use copperwell_message::{Body, Reason, Reply, Response, Verdict};
use copperwell_policy::window::{Claim, Outcome, Tenure, Term};
use tokio::{sync::oneshot, time::timeout_at};
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

/// The status of the response to a resend whose request has run but whose answer is not kept.
const STATUS_NOT_KEPT: u16 = 410;

/// The header that marks a response as one without the answer's body.
const HEADER_BODY: &str = "copperwell-body";

/// The header with the status of the original answer.
const HEADER_STATUS: &str = "copperwell-status";

impl<F: Forward> Inner<F> {
    /// Serves a request that is not repeatable.
    pub(crate) async fn serve_once(self: &Arc<Self>, id: Uuid, mut call: Call) -> Response {
        // Once the request has joined another, it can no longer be ruled out that it ran.
        let mut refusal_verdict = Verdict::NotRun;
        loop {
            let service = match self.active_service(&call.head.service) {
                Ok(service) => service,
                Err(failure) => {
                    return Failure::new(refusal_verdict, failure.reason).into_response();
                }
            };
            let Some(tenure) = self.tenure(&call) else {
                return Failure::new(refusal_verdict, Reason::NotLeader).into_response();
            };
            let claim = Claim {
                id,
                shard: call.head.shard,
                tenure,
                fingerprint: call.head.fingerprint,
            };
            match service.state.window.claim(claim, (self.wall_clock)()) {
                ClaimOutcome::Run(entry) => {
                    call.window_entry = Some(entry);
                    return self.run_once(id, entry, call, service).await;
                }
                ClaimOutcome::Join(ended) => {
                    self.metrics.joins.inc();
                    refusal_verdict = Verdict::MayHaveRun;
                    if timeout_at(call.deadline, ended).await.is_err() {
                        return Failure::may_have_run(Reason::DeadlinePassed).into_response();
                    }
                }
                ClaimOutcome::Wait => {
                    if let Err(failure) = self.route(&call, &service).await {
                        return with_unknown_outcome(failure).into_response();
                    }
                }
                ClaimOutcome::Finished(outcome) => {
                    self.metrics.kept.inc();
                    return replay(outcome);
                }
                ClaimOutcome::Refused(refusal) => {
                    return Failure::new(refusal.verdict, refusal.reason).into_response();
                }
            }
        }
    }

    /// Runs a request whose idempotency key was claimed.
    ///
    /// Once it is sent, it continues even if its caller disconnects, so that a resend gets its
    /// outcome instead of an unknown one.
    async fn run_once(
        self: &Arc<Self>,
        id: Uuid,
        entry: WindowEntry,
        call: Call,
        service: Arc<ActiveService>,
    ) -> Response {
        let (response_sender, response_receiver) = oneshot::channel();
        let cancellation = call.cancellation.clone();
        let _cancel_on_drop = cancellation.clone().drop_guard();
        let engine = Arc::clone(self);
        let sent = Arc::clone(&call.sent);
        tokio::spawn(async move {
            let claim = service
                .state
                .window
                .running_claim(id, entry.ticket, Arc::clone(&sent));
            tokio::select! {
                biased;
                () = engine.run_claimed(call, claim, response_sender) => {}
                () = cancelled_before_send(&cancellation, &sent) => {}
            }
        });
        response_receiver
            .await
            .unwrap_or_else(|_| Failure::may_have_run(Reason::Stopping).into_response())
    }

    async fn run_claimed(
        &self,
        mut call: Call,
        claim: RunningClaim<'_>,
        response_sender: oneshot::Sender<Response>,
    ) {
        match self.run(&mut call).await {
            Ok(answer) => answer.record(claim, response_sender).await,
            Err(response) => {
                claim.finish(outcome_of(&response.reply));
                // The caller may have disconnected; the outcome is recorded for its resend.
                let _ = response_sender.send(response);
            }
        }
    }

    /// Returns how long this daemon has led the request's shard, or `None` if it does not lead it.
    fn tenure(&self, call: &Call) -> Option<Tenure> {
        let leadership = self.table.leadership(&call.head.service, call.head.shard);
        let epoch = match &leadership.route {
            Route::Elsewhere => return None,
            Route::Owned(owner) => Some(owner.leadership_epoch),
            Route::Unowned | Route::Pending => None,
        };
        Some(Tenure {
            term: Term {
                acquisition: leadership.generation,
                epoch,
            },
            length: leadership.owned_for(),
        })
    }
}

/// Resolves if the caller disconnects before the request is sent.
async fn cancelled_before_send(cancellation: &CancellationToken, sent: &AtomicBool) {
    cancellation.cancelled().await;
    if sent.load(Ordering::Acquire) {
        std::future::pending().await
    }
}

/// Returns the failure of a request whose claim is undecided because its shard got no owner.
///
/// The previous leader may have run the request. The verdict of [`Reason::NotLeader`] stays, as the
/// next leader can decide the claim.
fn with_unknown_outcome(failure: Failure) -> Failure {
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

/// Returns the response to the resend of a request with a recorded outcome.
fn replay(outcome: Outcome) -> Response {
    match outcome {
        Outcome::Answered(recorded) => Response {
            reply: recorded.reply,
            body: Body::full(recorded.body),
        },
        Outcome::Done { status } => answer_not_kept(status),
        Outcome::MayHaveRun { reason } => Failure::may_have_run(reason).into_response(),
        Outcome::NotRun => Failure::not_run(Reason::Cancelled).into_response(),
    }
}

/// Returns the response for a request that is done but whose answer is not kept.
fn answer_not_kept(status: u16) -> Response {
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
