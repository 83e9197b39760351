//! The slots of one upstream and the queue before them.
//!
//! Lock order: a gate's state, then nothing else. No lock is held across an await.

use std::{
    net::IpAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use copperwell_keyspace::{HashMap, Incarnation};
use copperwell_message::{Class, Reason};
use copperwell_policy::{
    backoff::Backoff,
    quarantine::{Losses, Suspect},
    queue::{self, Queue, Ticket, Wait},
    slots::{End, Run, Slots},
};
use tokio::{
    sync::oneshot,
    time::{Instant, sleep_until},
};

/// Times the mean service time that must be left of a deadline when a request starts.
const SERVICE_MARGIN: u32 = 2;

/// The pauses between connection tries to a server that refuses them.
const REFUSED_FIRST: Duration = Duration::from_millis(50);
const REFUSED_MOST: Duration = Duration::from_secs(1);

/// How long a server that sheds and names no time is left alone by retries.
const SHED_BACK_OFF: Duration = Duration::from_millis(500);

/// The earliest time at which a refused caller is asked back.
const RETRY_AFTER_LEAST: Duration = Duration::from_millis(100);

/// The slots of one upstream and the queue before them.
#[derive(Debug)]
pub(crate) struct Gate {
    state: Mutex<State>,
}

/// What a request asks of a gate.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Want {
    /// Its class.
    pub(crate) class: Class,
    /// Its caller.
    pub(crate) caller: IpAddr,
    /// Its deadline.
    pub(crate) deadline: Instant,
    /// Whether it may run only while nothing else does.
    pub(crate) alone: bool,
}

/// Why a gate lets a request not through.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Refusal {
    /// The reason.
    pub(crate) reason: Reason,
    /// When to come back.
    pub(crate) retry_after: Duration,
}

/// What a gate looks like from outside.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct View {
    /// Slots in use at most now.
    pub(crate) limit: u32,
    /// Slots in use.
    pub(crate) in_flight: u32,
    /// Interactive requests that wait.
    pub(crate) interactive: usize,
    /// Batch requests that wait.
    pub(crate) batch: usize,
    /// Whether nothing is sent for now, since the server takes no connection.
    pub(crate) paused: bool,
}

/// A slot in use, free again when dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    gate: Arc<Gate>,
    run: Run,
    end: End,
}

#[derive(Debug)]
struct State {
    queue: Queue,
    slots: Slots,
    waiting: HashMap<Ticket, Waiter>,
    losses: Losses,
    incarnation: Incarnation,
    /// Connections refused since the last answer.
    refused: u32,
}

type Waiter = oneshot::Sender<Result<Slot, Refusal>>;

/// A place in the queue, given up when dropped.
struct Place {
    gate: Arc<Gate>,
    ticket: Ticket,
    granted: oneshot::Receiver<Result<Slot, Refusal>>,
    latest: Instant,
    retry_after: Duration,
}

enum Entry {
    Slot(Slot),
    Place(Place),
}

impl Gate {
    /// A gate of `slots` slots, before which `queue` requests may wait.
    pub(crate) fn new(slots: u32, queue: u32) -> Self {
        let state = State {
            queue: Queue::new(queue as usize),
            slots: Slots::new(slots),
            waiting: HashMap::default(),
            losses: Losses::new(),
            incarnation: 0,
            refused: 0,
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Changes the declared slots and the places in the queue.
    pub(crate) fn resize(self: &Arc<Self>, slots: u32, queue: u32) {
        let mut state = self.state();
        state.slots.set_declared(slots);
        state.queue.set_capacity(queue as usize);
        drop(state);
        self.pump();
    }

    /// Waits for a slot; gives up at once when the deadline cannot be met any more.
    pub(crate) async fn enter(self: &Arc<Self>, want: Want) -> Result<Slot, Refusal> {
        let mut place = match self.ask(want)? {
            Entry::Slot(slot) => return Ok(slot),
            Entry::Place(place) => place,
        };
        // The new place may be next, for instance before batch that has to leave a slot free.
        self.pump();
        tokio::select! {
            biased;
            granted = &mut place.granted => granted.unwrap_or(Err(Refusal {
                reason: Reason::Stopping,
                retry_after: RETRY_AFTER_LEAST,
            })),
            () = sleep_until(place.latest) => Err(Refusal {
                reason: Reason::DeadlineHopeless,
                retry_after: place.retry_after,
            }),
        }
    }

    /// Notes that the server refused a connection; gives the suspects of a crash that this proves.
    pub(crate) fn refuse(self: &Arc<Self>, incarnation: Incarnation) -> Vec<Suspect> {
        let now = Instant::now();
        let mut state = self.state();
        state.refused = state.refused.saturating_add(1);
        let backoff = Backoff::new(REFUSED_FIRST, REFUSED_MOST);
        let until = now + backoff.delay(state.refused, &mut rand::rng());
        state.slots.pause(now, until);
        let suspects = state.losses.refuse(now, incarnation);
        drop(state);
        self.pump_at(until);
        suspects
    }

    /// Notes that the server shed a request.
    pub(crate) fn shed(&self, back_off: Option<Duration>) {
        let back_off = back_off.unwrap_or(SHED_BACK_OFF);
        self.state().slots.shed(Instant::now(), back_off);
    }

    /// When a retry may go to a server that sheds, if that is yet to come.
    pub(crate) fn shed_until(&self, now: Instant) -> Option<Instant> {
        self.state().slots.shed_until(now)
    }

    /// Notes that the connection under a request was lost.
    pub(crate) fn lose(&self, suspect: Suspect) -> Vec<Suspect> {
        self.state().losses.lose(Instant::now(), suspect)
    }

    /// Notes the server's run; a new one starts slowly.
    pub(crate) fn meet(&self, incarnation: Incarnation) -> Vec<Suspect> {
        let mut state = self.state();
        if incarnation > state.incarnation {
            if state.incarnation != 0 {
                state.slots.restart();
            }
            state.incarnation = incarnation;
        }
        state.losses.meet(Instant::now(), incarnation)
    }

    /// What the gate looks like now.
    pub(crate) fn view(&self) -> View {
        let state = self.state();
        View {
            limit: state.slots.limit(),
            in_flight: state.slots.running(),
            interactive: state.queue.len(Class::Interactive),
            batch: state.queue.len(Class::Batch),
            paused: state.slots.paused_until(Instant::now()).is_some(),
        }
    }

    fn ask(self: &Arc<Self>, want: Want) -> Result<Entry, Refusal> {
        let now = Instant::now();
        let mut state = self.state();
        state.slots.arrive(now, want.class);
        if state.is_open(now, want) {
            let run = state.slots.start(now, want.class, want.alone);
            return Ok(Entry::Slot(self.slot(run)));
        }
        let ahead = state.queue.ahead(want.class, want.caller);
        let retry_after = state
            .slots
            .wait(now, want.class, ahead)
            .max(RETRY_AFTER_LEAST);
        let refused = |reason| Refusal {
            reason,
            retry_after,
        };
        let service = state.slots.mean(want.class) * SERVICE_MARGIN;
        if now + state.slots.wait(now, want.class, ahead) + service >= want.deadline {
            return Err(refused(Reason::DeadlineHopeless));
        }
        let wait = Wait {
            class: want.class,
            caller: want.caller,
            alone: want.alone,
        };
        let place = state
            .queue
            .push(wait)
            .map_err(|refusal| refused(reason_of(refusal)))?;
        let (to, granted) = oneshot::channel();
        state.waiting.insert(place.ticket, to);
        let displaced = place
            .displaced
            .and_then(|ticket| state.waiting.remove(&ticket));
        drop(state);
        if let Some(displaced) = displaced {
            // A waiter that has just gone away needs no answer.
            let _ = displaced.send(Err(refused(Reason::CallerShare)));
        }
        Ok(Entry::Place(Place {
            gate: Arc::clone(self),
            ticket: place.ticket,
            granted,
            latest: want.deadline - service,
            retry_after,
        }))
    }

    /// Gives free slots to those that are next.
    fn pump(self: &Arc<Self>) {
        while let Some((waiter, slot)) = self.next() {
            // A waiter that has just gone away drops the slot, which frees it again.
            let _ = waiter.send(Ok(slot));
        }
    }

    fn pump_at(self: &Arc<Self>, at: Instant) {
        let gate = Arc::clone(self);
        tokio::spawn(async move {
            sleep_until(at).await;
            gate.pump();
        });
    }

    fn next(self: &Arc<Self>) -> Option<(Waiter, Slot)> {
        let now = Instant::now();
        let mut state = self.state();
        if !state.slots.is_free(now) {
            return None;
        }
        let batch = state.slots.is_free_for_batch(now);
        let idle = state.slots.is_idle();
        let next = state.queue.pop(batch, idle)?;
        let waiter = state.waiting.remove(&next.ticket)?;
        let run = state.slots.start(now, next.wait.class, next.wait.alone);
        Some((waiter, self.slot(run)))
    }

    fn slot(self: &Arc<Self>, run: Run) -> Slot {
        Slot {
            gate: Arc::clone(self),
            run,
            end: End::Other,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Whether a request may start without a wait.
    fn is_open(&self, now: Instant, want: Want) -> bool {
        let free = match want.class {
            Class::Interactive => self.slots.is_free(now),
            Class::Batch => self.slots.is_free_for_batch(now),
        };
        free && self.queue.is_empty() && (!want.alone || self.slots.is_idle())
    }
}

impl Slot {
    /// Says how the request that holds the slot ended.
    pub(crate) fn set_end(&mut self, end: End) {
        self.end = end;
    }

    /// Whether the request runs alone.
    pub(crate) fn is_alone(&self) -> bool {
        self.run.alone
    }

    /// The gate.
    pub(crate) fn gate(&self) -> &Arc<Gate> {
        &self.gate
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.gate.state();
        if self.end == End::Answered {
            state.refused = 0;
        }
        state.slots.finish(Instant::now(), self.run, self.end);
        drop(state);
        self.gate.pump();
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut state = self.gate.state();
        let waited = state.queue.remove(self.ticket);
        state.waiting.remove(&self.ticket);
        drop(state);
        if waited {
            // It may have been the one that had to run alone, and so held up the others.
            self.gate.pump();
        }
    }
}

fn reason_of(refusal: queue::Refusal) -> Reason {
    match refusal {
        queue::Refusal::Full => Reason::QueueFull,
        queue::Refusal::Share => Reason::CallerShare,
    }
}
