//! The turns of requests over several keys at this daemon.
//!
//! Lock order: the state, then nothing else. No lock is held across an await.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use copperwell_keyspace::HashMap;
use copperwell_policy::turns::{Entered, Hopeless, Part, Turns, Want};
use tokio::{
    sync::oneshot,
    time::{Instant, timeout_at},
};

/// The turns of requests over several keys of one service.
#[derive(Debug, Default)]
pub(crate) struct Rota {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    turns: Turns,
    waiting: HashMap<Part, oneshot::Sender<Pass>>,
}

/// The turn of one request, from its first part to its last.
#[derive(Debug)]
pub(crate) struct Turn {
    rota: Arc<Rota>,
    entered: Entered,
    /// Lets the first part begin.
    first: Mutex<Option<Pass>>,
}

/// Lets one part run until it is dropped.
#[derive(Debug)]
pub(crate) struct Pass {
    rota: Arc<Rota>,
    began: Instant,
    took: Option<Duration>,
}

/// A part that waits for its pass, until it is dropped.
struct Waiter {
    rota: Arc<Rota>,
    part: Part,
    passed: oneshot::Receiver<Pass>,
}

impl Rota {
    /// Waits for the turn of a request; `most` parts of all requests may run at a time.
    pub(crate) async fn turn(self: &Arc<Self>, want: Want, most: usize) -> Result<Turn, Hopeless> {
        let entered = self.enter(want, most)?;
        let turn = Turn {
            rota: self.clone(),
            entered,
            first: Mutex::default(),
        };
        match timeout_at(entered.latest, turn.wait(0)).await {
            Ok(pass) => *turn.first() = pass,
            Err(_) => {
                let retry_after = entered.retry_after;
                return Err(Hopeless { retry_after });
            }
        }
        Ok(turn)
    }

    fn enter(&self, want: Want, most: usize) -> Result<Entered, Hopeless> {
        let mut state = self.state();
        state.turns.set_most(most);
        state.turns.enter(Instant::now(), want)
    }

    fn wait(self: &Arc<Self>, part: Part) -> Waiter {
        let (to, passed) = oneshot::channel();
        let mut state = self.state();
        state.turns.want(part);
        state.waiting.insert(part, to);
        Waiter {
            rota: self.clone(),
            part,
            passed,
        }
    }

    /// Gives passes to those that are next.
    fn pump(self: &Arc<Self>) {
        while let Some((to, pass)) = self.next() {
            // A part that has just gone away drops its pass, which makes room again.
            let _ = to.send(pass);
        }
    }

    fn next(self: &Arc<Self>) -> Option<(oneshot::Sender<Pass>, Pass)> {
        let mut state = self.state();
        let part = state.turns.begin()?;
        let to = state.waiting.remove(&part);
        drop(state);
        let pass = Pass {
            rota: self.clone(),
            began: Instant::now(),
            took: None,
        };
        Some((to?, pass))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Turn {
    /// Waits until a part may run; `None` if its request is being given up.
    pub(crate) async fn part(&self, index: usize) -> Option<Pass> {
        let first = if index == 0 {
            self.first().take()
        } else {
            None
        };
        match first {
            Some(pass) => Some(pass),
            None => self.wait(index).await,
        }
    }

    async fn wait(&self, index: usize) -> Option<Pass> {
        let part = Part {
            ticket: self.entered.ticket,
            index,
        };
        let mut waiter = self.rota.wait(part);
        self.rota.pump();
        (&mut waiter.passed).await.ok()
    }

    fn first(&self) -> MutexGuard<'_, Option<Pass>> {
        self.first.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Pass {
    /// Notes that the part was answered.
    pub(crate) fn answered(&mut self) {
        self.took = Some(self.began.elapsed());
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.rota.state().turns.leave(self.entered.ticket);
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        self.rota.state().turns.finish(self.took);
        self.rota.pump();
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let mut state = self.rota.state();
        state.turns.forget(self.part);
        state.waiting.remove(&self.part);
    }
}
