//! The window of one service, with those that wait for a request in flight.
//!
//! Lock order: the window's state, then nothing else. No lock is held across an await.

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

/// The idempotency keys of one service.
#[derive(Debug)]
pub(crate) struct Ids {
    state: Mutex<State>,
}

/// What a claim is answered with.
#[derive(Debug)]
pub(crate) enum Claimed {
    /// The request may run.
    Run(Entered),
    /// The same request runs; this resolves when it has ended.
    Join(OwnedNotified),
    /// The claim can be judged once the shard has an owner.
    Wait,
    /// The same request has run, or may have.
    Kept(Outcome),
    /// The claim is refused.
    Refused(window::Refusal),
}

/// A request that is entered in the window.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Entered {
    /// Its entry.
    pub(crate) ticket: Ticket,
    /// The stretch of leading its shard in which it may be sent.
    pub(crate) term: Term,
}

/// Ends a claim that may run, at the latest when dropped.
#[derive(Debug)]
pub(crate) struct Running<'a> {
    ids: &'a Ids,
    id: Uuid,
    ticket: Ticket,
    sent: Arc<AtomicBool>,
    ended: bool,
}

#[derive(Debug)]
struct State {
    window: Window,
    running: HashMap<Uuid, Arc<Notify>>,
}

impl Ids {
    /// No keys.
    pub(crate) fn new(length: Duration) -> Self {
        let state = State {
            window: Window::new(length),
            running: HashMap::default(),
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Changes the length of the window.
    pub(crate) fn set_length(&self, length: Duration) {
        self.state().window.set_length(length);
    }

    /// Judges a request that is not repeatable.
    pub(crate) fn claim(&self, claim: Claim, wall: SystemTime) -> Claimed {
        let mut state = self.state();
        match state.window.claim(claim, wall) {
            Answer::Run(ticket) => {
                state.running.insert(claim.id, Arc::default());
                let term = state.window.term(claim.shard).unwrap_or(claim.tenure.term);
                Claimed::Run(Entered { ticket, term })
            }
            Answer::Join => {
                let running = state.running.entry(claim.id).or_default();
                Claimed::Join(Arc::clone(running).notified_owned())
            }
            Answer::Wait => Claimed::Wait,
            Answer::Kept(outcome) => Claimed::Kept(outcome),
            Answer::Refused(refusal) => Claimed::Refused(refusal),
        }
    }

    /// Holds a claim that may run; `sent` tells whether it has left.
    pub(crate) fn running(&self, id: Uuid, ticket: Ticket, sent: Arc<AtomicBool>) -> Running<'_> {
        Running {
            ids: self,
            id,
            ticket,
            sent,
            ended: false,
        }
    }

    /// Keys that are kept.
    pub(crate) fn len(&self) -> usize {
        self.state().window.len()
    }

    /// Takes shards out for their next leader.
    pub(crate) fn export(
        &self,
        service: &ServiceName,
        next: Epoch,
        shards: &[ShardIndex],
        tenure: impl Fn(ShardIndex) -> Tenure,
        wall: SystemTime,
    ) -> Export {
        let mut state = self.state();
        state.window.export(service, next, shards, tenure, wall)
    }

    /// Takes over what the leader before exported.
    pub(crate) fn import(
        &self,
        export: Export,
        turn: impl Fn(ShardIndex) -> u64,
        wall: SystemTime,
    ) {
        self.state().window.import(export, turn, wall);
    }

    /// Notes that a request is about to leave; `false` if it must not.
    pub(crate) fn leave(&self, entered: Entered) -> bool {
        self.state().window.leave(entered.ticket)
    }

    /// Notes that what has left did not run.
    pub(crate) fn stay(&self, entered: Entered) {
        self.state().window.stay(entered.ticket);
    }

    fn finish(&self, id: Uuid, ticket: Ticket, outcome: Outcome) {
        let mut state = self.state();
        state.window.finish(ticket, outcome);
        let waiting = state.running.remove(&id);
        drop(state);
        if let Some(waiting) = waiting {
            waiting.notify_waiters();
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Running<'_> {
    /// Keeps what became of the request.
    pub(crate) fn finish(mut self, outcome: Outcome) {
        self.end(outcome);
    }

    fn end(&mut self, outcome: Outcome) {
        if !self.ended {
            self.ended = true;
            self.ids.finish(self.id, self.ticket, outcome);
        }
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let outcome = if self.sent.load(Ordering::Acquire) {
            Outcome::MayHaveRun {
                reason: Reason::Stopping,
            }
        } else {
            Outcome::NotRun
        };
        self.end(outcome);
    }
}
