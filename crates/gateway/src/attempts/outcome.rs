//! How attempts end: for the caller, for load balancing, for the path and for the quarantine.

use std::{sync::Arc, time::Duration};

use crate::{crash_tracker::Send, rejection::Rejection, view::View};
use copperwell_backend::{exchange::Failed, lane::Lane};
use copperwell_message::{Reason, Response, Verdict};
use copperwell_routing::{load::Outcome, reach::End, registry::Upstream};
use tokio::{
    sync::oneshot::{self, error::TryRecvError},
    time::Instant,
};

/// The lowest status by which an upstream reports a failure.
const FAILURE_STATUS: u16 = 500;

/// An attempt that has ended: how it ended, how long it took, and its result.
pub(super) struct Attempt {
    pub(super) outcome: Outcome,
    pub(super) elapsed: Duration,
    pub(super) result: Result<Response, Failed>,
}

/// Tells what a request shows of the path to its upstream, also if it is dropped.
pub(super) struct PathGuard<'a> {
    view: &'a View,
    upstream: &'a Upstream,
    pool: Arc<Lane>,
    sent_at: Instant,
    end: End,
}

impl<'a> PathGuard<'a> {
    pub(super) fn new(view: &'a View, upstream: &'a Upstream, pool: Arc<Lane>) -> Self {
        let sent_at = Instant::now();
        view.paths.reach().record_send(&upstream.id, sent_at);
        Self {
            view,
            upstream,
            pool,
            sent_at,
            end: End::Other,
        }
    }

    pub(super) fn end(mut self, result: &Result<Response, Failed>) {
        let paths = &self.view.paths;
        match result {
            Ok(_) => self.end = End::Answered,
            Err(failed) => match failed.reason {
                Reason::ConnectionRefused if !self.pool.is_full() => {
                    paths.record_connect(&self.upstream.id, false);
                }
                Reason::ConnectionLost => self.end = End::ConnectionLost,
                _ if is_withdrawn(*failed) => {}
                Reason::DeadlinePassed | Reason::ConnectionSilent => {
                    let sent_at = self.sent_at;
                    self.end = End::TimedOut { sent_at };
                }
                _ => paths.reach().record_doubt(&self.upstream.id),
            },
        }
    }
}

impl Drop for PathGuard<'_> {
    fn drop(&mut self) {
        self.view.paths.record_end(&self.upstream.id, self.end);
    }
}

/// Returns whether an attempt ended before the request was sent, as the upstream had left or the list was too old.
pub(super) fn is_withdrawn(failed: Failed) -> bool {
    failed.verdict == Verdict::NotRun && failed.reason == Reason::NoUpstream
}

/// An attempt's result by its meaning for the caller.
pub(super) enum Classified {
    /// The response that the caller gets.
    Answer(Response),
    /// What the caller gets unless a later attempt succeeds, and the failure.
    Failure(Result<Response, Rejection>, Failed),
}

/// Classifies the result of an attempt by its meaning for the caller.
pub(super) fn classify(attempt: Attempt) -> Classified {
    match attempt.result {
        Ok(response) if attempt.outcome == Outcome::Answered => Classified::Answer(response),
        Ok(response) => match response.reply.reason {
            Some(reason) => {
                let verdict = Verdict::NotRun;
                let rejection = rejection_of(reason, &response);
                Classified::Failure(Err(rejection), Failed { verdict, reason })
            }
            None => {
                let reason = Reason::UpstreamFailed;
                let verdict = Verdict::MayHaveRun;
                Classified::Failure(Ok(response), Failed { verdict, reason })
            }
        },
        Err(failed) => Classified::Failure(Err(Rejection::new(failed.reason)), failed),
    }
}

/// Returns whether a request may have run in an attempt that has ended: not if it was not sent, or if the upstream
/// says so.
pub(super) fn verdict_of(result: &Result<Response, Failed>) -> Verdict {
    match result {
        Ok(response) if response.reply.reason.is_some() => Verdict::NotRun,
        Ok(_) => Verdict::MayHaveRun,
        Err(failed) => failed.verdict,
    }
}

/// Returns the result of a relayed request, by the response of the daemon that helped.
pub(super) fn result_of(response: Response) -> Result<Response, Rejection> {
    match response.reply.reason {
        None => Ok(response),
        Some(reason) => Err(rejection_of(reason, &response)),
    }
}

fn rejection_of(reason: Reason, response: &Response) -> Rejection {
    Rejection {
        reason,
        retry_after: response.reply.retry_after,
    }
}

/// How a streamed response body ends.
pub(super) type BodyEnd = oneshot::Receiver<Result<(), Reason>>;

/// Records how a send ended; returns it if its response body is still streamed.
pub(super) fn end_send(
    send: Send,
    result: &Result<Response, Failed>,
    mut streamed: BodyEnd,
) -> Option<(Send, BodyEnd)> {
    match result {
        Ok(response) if response.reply.reason.is_some() => send.not_run(),
        Ok(response) if response.reply.status >= FAILURE_STATUS => send.failed(),
        Ok(_) => match streamed.try_recv() {
            Ok(end) => end_streamed(send, end),
            // The body was read whole.
            Err(TryRecvError::Closed) => send.answered(),
            Err(TryRecvError::Empty) => return Some((send, streamed)),
        },
        Err(failed) => match (failed.verdict, failed.reason) {
            (Verdict::MayHaveRun, Reason::ConnectionLost) => send.connection_lost(),
            (Verdict::MayHaveRun, _) => drop(send),
            _ => send.not_run(),
        },
    }
    None
}

/// Records how a send ended whose response body was streamed.
pub(super) fn end_streamed(send: Send, end: Result<(), Reason>) {
    match end {
        Ok(()) => send.answered(),
        Err(Reason::ConnectionLost) => send.connection_lost(),
        Err(_) => drop(send),
    }
}

/// Returns how an attempt ended, for load balancing.
pub(super) fn outcome_of(result: &Result<Response, Failed>) -> Outcome {
    match result {
        Ok(response) => match response.reply.reason {
            Some(Reason::Fenced) => Outcome::Misdirected,
            Some(_) => Outcome::Shed,
            None if response.reply.status >= FAILURE_STATUS => Outcome::Failed,
            None => Outcome::Answered,
        },
        Err(failed) => match failed.reason {
            Reason::DeadlinePassed | Reason::ConnectionSilent => Outcome::TimedOut,
            Reason::DeadlineHopeless | Reason::NoUpstream => Outcome::Cancelled,
            Reason::ConnectionLost => Outcome::ConnectionLost,
            _ => Outcome::ConnectionFailed,
        },
    }
}
