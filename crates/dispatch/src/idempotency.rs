//! The idempotency window of one service, with the resends that wait for a request in flight.
//!
//! Lock order: the window's state is locked last. No lock is held across an await.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, SystemTime},
};

use copperwell_keyspace::{Epoch, HashMap, ServiceName, ShardIndex};
use copperwell_message::Reason;
use copperwell_policy::window::{
    self, Answer, Claim, Export, Outcome, Tenure, Term, Ticket, Window,
};
use tokio::sync::{Notify, futures::OwnedNotified};
use uuid::Uuid;

/// The idempotency keys of one service and the outcomes of their requests.
#[derive(Debug)]
pub(crate) struct IdempotencyWindow {
    state: Mutex<State>,
}

/// The answer to a claim of an idempotency key.
#[derive(Debug)]
pub(crate) enum ClaimOutcome {
    /// The request may run.
    Run(WindowEntry),
    /// The same request is running; the future resolves when it has ended.
    Join(OwnedNotified),
    /// The claim cannot be decided before the shard has an owner.
    Wait,
    /// The same request has run or may have run, with this outcome.
    Finished(Outcome),
    /// The claim is refused.
    Refused(window::Refusal),
}

/// The entry of a request in the window.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WindowEntry {
    /// The ticket of the entry.
    pub(crate) ticket: Ticket,
    /// The term of leadership of the shard in which the request may be sent.
    pub(crate) term: Term,
}

/// The guard of a claim that may run; dropping it finishes the claim.
#[derive(Debug)]
pub(crate) struct RunningClaim<'a> {
    window: &'a IdempotencyWindow,
    id: Uuid,
    ticket: Ticket,
    sent: Arc<AtomicBool>,
    is_finished: bool,
}

#[derive(Debug)]
struct State {
    window: Window,
    waiting: HashMap<Uuid, Arc<Notify>>,
}

impl IdempotencyWindow {
    /// Creates an empty window that keeps keys for `length`.
    pub(crate) fn new(length: Duration) -> Self {
        let state = State {
            window: Window::new(length),
            waiting: HashMap::default(),
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Changes the length of the window.
    pub(crate) fn set_length(&self, length: Duration) {
        self.state().window.set_length(length);
    }

    /// Decides whether a request that is not repeatable may run.
    pub(crate) fn claim(&self, claim: Claim, wall_time: SystemTime) -> ClaimOutcome {
        let mut state = self.state();
        match state.window.claim(claim, wall_time) {
            Answer::Run(ticket) => {
                state.waiting.insert(claim.id, Arc::default());
                let term = state.window.term(claim.shard).unwrap_or(claim.tenure.term);
                ClaimOutcome::Run(WindowEntry { ticket, term })
            }
            Answer::Join => {
                let ended = state.waiting.entry(claim.id).or_default();
                ClaimOutcome::Join(Arc::clone(ended).notified_owned())
            }
            Answer::Wait => ClaimOutcome::Wait,
            Answer::Kept(outcome) => ClaimOutcome::Finished(outcome),
            Answer::Refused(refusal) => ClaimOutcome::Refused(refusal),
        }
    }

    /// Returns a guard that finishes a claim; `sent` says whether its request has been sent.
    pub(crate) fn running_claim(
        &self,
        id: Uuid,
        ticket: Ticket,
        sent: Arc<AtomicBool>,
    ) -> RunningClaim<'_> {
        RunningClaim {
            window: self,
            id,
            ticket,
            sent,
            is_finished: false,
        }
    }

    /// Returns the number of keys.
    pub(crate) fn len(&self) -> usize {
        self.state().window.len()
    }

    /// Removes the entries of `shards` and returns them for the next leader.
    pub(crate) fn export(
        &self,
        service: &ServiceName,
        next: Epoch,
        shards: &[ShardIndex],
        tenure: impl Fn(ShardIndex) -> Tenure,
        wall_time: SystemTime,
    ) -> Export {
        let mut state = self.state();
        state
            .window
            .export(service, next, shards, tenure, wall_time)
    }

    /// Adds the entries that the previous leader exported.
    pub(crate) fn import(
        &self,
        export: Export,
        generation: impl Fn(ShardIndex) -> u64,
        wall_time: SystemTime,
    ) {
        self.state().window.import(export, generation, wall_time);
    }

    /// Marks a request as sent, right before it is; returns `false` if it must not be sent.
    pub(crate) fn mark_sent(&self, entry: WindowEntry) -> bool {
        self.state().window.mark_sent(entry.ticket)
    }

    /// Records that the request, though sent, did not run.
    pub(crate) fn mark_not_run(&self, entry: WindowEntry) {
        self.state().window.mark_not_run(entry.ticket);
    }

    fn finish(&self, id: Uuid, ticket: Ticket, outcome: Outcome) {
        let mut state = self.state();
        state.window.finish(ticket, outcome);
        let ended = state.waiting.remove(&id);
        drop(state);
        if let Some(ended) = ended {
            ended.notify_waiters();
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RunningClaim<'_> {
    /// Records the outcome of the request and wakes the resends that wait for it.
    pub(crate) fn finish(mut self, outcome: Outcome) {
        self.finish_once(outcome);
    }

    fn finish_once(&mut self, outcome: Outcome) {
        if !self.is_finished {
            self.is_finished = true;
            self.window.finish(self.id, self.ticket, outcome);
        }
    }
}

impl Drop for RunningClaim<'_> {
    fn drop(&mut self) {
        let outcome = if self.sent.load(Ordering::Acquire) {
            Outcome::MayHaveRun {
                reason: Reason::Stopping,
            }
        } else {
            Outcome::NotRun
        };
        self.finish_once(outcome);
    }
}
