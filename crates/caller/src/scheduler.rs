//! Scheduling of the parts of multi-key requests at this daemon.
//!
//! Lock order: no other lock is taken while the state is locked. No lock is held across an await.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use copperwell_keyspace::HashMap;
use copperwell_policy::schedule::{Admitted, Demand, Part, Refusal, Schedule};
use tokio::{
    sync::oneshot,
    time::{Instant, timeout_at},
};

/// Schedules the parts of the multi-key requests of one service.
#[derive(Debug, Default)]
pub(crate) struct Scheduler {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    schedule: Schedule,
    waiting: HashMap<Part, oneshot::Sender<PartPermit>>,
}

/// The registration of one request, from before its first part until it ends.
#[derive(Debug)]
pub(crate) struct Registration {
    scheduler: Arc<Scheduler>,
    admitted: Admitted,
    /// The permit of the first part, until that part takes it.
    first_permit: Mutex<Option<PartPermit>>,
}

/// Permission to run one part; dropping it ends the part and lets the next one run.
#[derive(Debug)]
pub(crate) struct PartPermit {
    scheduler: Arc<Scheduler>,
    started_at: Instant,
    /// The time until the response; `None` while there is none.
    duration: Option<Duration>,
}

/// A queued part that waits for its permit; dropping it removes the part from the queue.
struct Waiter {
    scheduler: Arc<Scheduler>,
    part: Part,
    granted: oneshot::Receiver<PartPermit>,
}

impl Scheduler {
    /// Registers a request and waits until its first part may run; up to `parts_max` parts of all
    /// requests may run at a time.
    pub(crate) async fn schedule(
        self: &Arc<Self>,
        demand: Demand,
        parts_max: usize,
    ) -> Result<Registration, Refusal> {
        let admitted = self.register(demand, parts_max)?;
        let registration = Registration {
            scheduler: self.clone(),
            admitted,
            first_permit: Mutex::default(),
        };
        match timeout_at(admitted.latest, registration.wait(0)).await {
            Ok(permit) => *registration.first_permit() = permit,
            Err(_) => {
                let retry_after = admitted.retry_after;
                return Err(Refusal { retry_after });
            }
        }
        Ok(registration)
    }

    fn register(&self, demand: Demand, parts_max: usize) -> Result<Admitted, Refusal> {
        let mut state = self.state();
        state.schedule.set_max(parts_max);
        state.schedule.admit(Instant::now(), demand)
    }

    fn enqueue(self: &Arc<Self>, part: Part) -> Waiter {
        let (sender, granted) = oneshot::channel();
        let mut state = self.state();
        state.schedule.enqueue(part);
        state.waiting.insert(part, sender);
        Waiter {
            scheduler: self.clone(),
            part,
            granted,
        }
    }

    /// Grants permits to queued parts while the limit allows it.
    fn grant_permits(self: &Arc<Self>) {
        while let Some((sender, permit)) = self.next_permit() {
            // If the part was cancelled meanwhile, its permit is dropped here and the next part
            // runs.
            let _ = sender.send(permit);
        }
    }

    fn next_permit(self: &Arc<Self>) -> Option<(oneshot::Sender<PartPermit>, PartPermit)> {
        let mut state = self.state();
        let part = state.schedule.start_next()?;
        let sender = state.waiting.remove(&part);
        drop(state);
        let permit = PartPermit {
            scheduler: self.clone(),
            started_at: Instant::now(),
            duration: None,
        };
        Some((sender?, permit))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Registration {
    /// Waits until a part may run; returns `None` if its request is being cancelled.
    pub(crate) async fn permit(&self, index: usize) -> Option<PartPermit> {
        let first_permit = if index == 0 {
            self.first_permit().take()
        } else {
            None
        };
        match first_permit {
            Some(permit) => Some(permit),
            None => self.wait(index).await,
        }
    }

    async fn wait(&self, index: usize) -> Option<PartPermit> {
        let part = Part {
            ticket: self.admitted.ticket,
            index,
        };
        let mut waiter = self.scheduler.enqueue(part);
        self.scheduler.grant_permits();
        (&mut waiter.granted).await.ok()
    }

    fn first_permit(&self) -> MutexGuard<'_, Option<PartPermit>> {
        self.first_permit
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl PartPermit {
    /// Records that the part got its response, so that its duration is measured.
    pub(crate) fn mark_completed(&mut self) {
        self.duration = Some(self.started_at.elapsed());
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.scheduler.state().schedule.end(self.admitted.ticket);
    }
}

impl Drop for PartPermit {
    fn drop(&mut self) {
        self.scheduler.state().schedule.finish(self.duration);
        self.scheduler.grant_permits();
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let mut state = self.scheduler.state();
        state.schedule.remove(self.part);
        state.waiting.remove(&self.part);
    }
}
