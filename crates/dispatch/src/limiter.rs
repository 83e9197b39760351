//! The concurrency limiter of one upstream, with its queue.
//!
//! Lock order: the limiter's state is locked last. No lock is held across an await.

use std::{
    net::IpAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use copperwell_keyspace::{HashMap, Incarnation};
use copperwell_message::{Class, Reason};
use copperwell_policy::{
    backoff::Backoff,
    quarantine::Suspect,
    queue::{self, Queue, Request, Ticket},
    slots::{End, Run, Slots},
    unanswered::Unanswered,
};
use tokio::{
    sync::oneshot,
    time::{Instant, sleep_until},
};

/// A request starts only if this many mean service times are left before its deadline.
const SERVICE_TIME_MARGIN: u32 = 2;

/// The pauses between connection attempts to a server that refuses them.
const RECONNECT_BACKOFF_INITIAL: Duration = Duration::from_millis(50);
const RECONNECT_BACKOFF_MAX: Duration = Duration::from_secs(1);

/// How long retries avoid a server that sheds load without naming a backoff.
const SHED_BACKOFF_DEFAULT: Duration = Duration::from_millis(500);

/// The shortest retry delay that a refused caller is given.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);

/// Limits the concurrency of one upstream to its slots and queues the other requests.
#[derive(Debug)]
pub(crate) struct Limiter {
    state: Mutex<State>,
}

/// A request for a slot.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlotRequest {
    /// The class of the request.
    pub(crate) class: Class,
    /// The address of the caller.
    pub(crate) caller: IpAddr,
    /// The deadline of the request.
    pub(crate) deadline: Instant,
    /// Whether the request may run only while no other runs on the upstream.
    pub(crate) is_exclusive: bool,
}

/// Why a request gets no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Refusal {
    /// The reason.
    pub(crate) reason: Reason,
    /// How long the caller should wait before a retry.
    pub(crate) retry_after: Duration,
}

/// The load of a limiter at an instant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Stats {
    /// The current concurrency limit.
    pub(crate) limit: u32,
    /// Slots in use.
    pub(crate) in_flight: u32,
    /// Interactive requests in the queue.
    pub(crate) interactive: usize,
    /// Batch requests in the queue.
    pub(crate) batch: usize,
    /// Whether sending is paused because the server refuses connections.
    pub(crate) paused: bool,
}

/// A slot in use, which is freed on drop.
#[derive(Debug)]
pub(crate) struct Slot {
    limiter: Arc<Limiter>,
    run: Run,
    end: End,
}

#[derive(Debug)]
struct State {
    queue: Queue,
    slots: Slots,
    waiting: HashMap<Ticket, Waiter>,
    unanswered: Unanswered<Suspect>,
    incarnation: Incarnation,
    /// The number of connections refused since the last answer.
    refused_connections: u32,
}

type Waiter = oneshot::Sender<Result<Slot, Refusal>>;

/// A request in the queue, which is removed on drop.
struct QueuedRequest {
    limiter: Arc<Limiter>,
    ticket: Ticket,
    granted: oneshot::Receiver<Result<Slot, Refusal>>,
    start_by: Instant,
    retry_after: Duration,
}

enum Entry {
    Slot(Slot),
    Queued(QueuedRequest),
}

impl Limiter {
    /// Creates a limiter of `slots` slots and a queue of `queue` requests.
    pub(crate) fn new(slots: u32, queue: u32) -> Self {
        let state = State {
            queue: Queue::new(queue as usize),
            slots: Slots::new(slots),
            waiting: HashMap::default(),
            unanswered: Unanswered::new(),
            incarnation: 0,
            refused_connections: 0,
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Changes the declared slots and the capacity of the queue.
    pub(crate) fn resize(self: &Arc<Self>, slots: u32, queue: u32) {
        let mut state = self.state();
        state.slots.set_declared(slots);
        state.queue.set_capacity(queue as usize);
        drop(state);
        self.grant_slots();
    }

    /// Waits for a slot, and returns an error as soon as the deadline cannot be met any more.
    pub(crate) async fn acquire(self: &Arc<Self>, request: SlotRequest) -> Result<Slot, Refusal> {
        let mut queued = match self.start_or_queue(request)? {
            Entry::Slot(slot) => return Ok(slot),
            Entry::Queued(queued) => queued,
        };
        // The new request may be next although others wait, for instance an interactive one while
        // batch has to leave a slot free.
        self.grant_slots();
        tokio::select! {
            biased;
            granted = &mut queued.granted => granted.unwrap_or(Err(Refusal {
                reason: Reason::Stopping,
                retry_after: RETRY_AFTER_MIN,
            })),
            () = sleep_until(queued.start_by) => Err(Refusal {
                reason: Reason::DeadlineHopeless,
                retry_after: queued.retry_after,
            }),
        }
    }

    /// Records a refused connection and returns the suspects of a crash that it proves.
    pub(crate) fn record_refused_connection(
        self: &Arc<Self>,
        incarnation: Incarnation,
    ) -> Vec<Suspect> {
        let now = Instant::now();
        let mut state = self.state();
        state.refused_connections = state.refused_connections.saturating_add(1);
        let backoff = Backoff::new(RECONNECT_BACKOFF_INITIAL, RECONNECT_BACKOFF_MAX);
        let until = now + backoff.delay(state.refused_connections, &mut rand::rng());
        state.slots.pause(now, until);
        let suspects = state.unanswered.record_end(now, incarnation);
        drop(state);
        self.grant_slots_at(until);
        suspects
    }

    /// Records that the server shed a request.
    pub(crate) fn record_shed(&self, backoff: Option<Duration>) {
        let backoff = backoff.unwrap_or(SHED_BACKOFF_DEFAULT);
        self.state().slots.record_shed(Instant::now(), backoff);
    }

    /// Returns when the backoff of a server that sheds load ends, if it has not ended yet.
    pub(crate) fn shed_until(&self, now: Instant) -> Option<Instant> {
        self.state().slots.shed_until(now)
    }

    /// Records a request that the server left unanswered, and returns it if the server is known to have
    /// ended.
    pub(crate) fn record_unanswered(&self, suspect: Suspect) -> Option<Suspect> {
        let now = Instant::now();
        // The leader knows the incarnation that it sends to, so the time of the send does not matter.
        self.state()
            .unanswered
            .record(now, suspect.incarnation, now, suspect)
    }

    /// Returns whether any request without an answer waits for proof that the server has ended.
    pub(crate) fn has_unanswered(&self) -> bool {
        self.state().unanswered.has_requests()
    }

    /// Records an answer of `incarnation`, which therefore has not ended.
    pub(crate) fn record_answer(&self, incarnation: Incarnation) {
        self.state().unanswered.record_life(incarnation);
    }

    /// Records the server's incarnation and returns the suspects of a crash that it proves.
    ///
    /// The concurrency limit of a new incarnation starts low.
    pub(crate) fn observe_incarnation(&self, incarnation: Incarnation) -> Vec<Suspect> {
        let mut state = self.state();
        if incarnation > state.incarnation {
            if state.incarnation != 0 {
                state.slots.restart();
            }
            state.incarnation = incarnation;
        }
        match incarnation.checked_sub(1) {
            Some(ended) if state.unanswered.has_requests() => {
                state.unanswered.record_end(Instant::now(), ended)
            }
            _ => Vec::new(),
        }
    }

    /// Returns the current load.
    pub(crate) fn stats(&self) -> Stats {
        let state = self.state();
        Stats {
            limit: state.slots.limit(),
            in_flight: state.slots.in_flight(),
            interactive: state.queue.len(Class::Interactive),
            batch: state.queue.len(Class::Batch),
            paused: state.slots.paused_until(Instant::now()).is_some(),
        }
    }

    fn start_or_queue(self: &Arc<Self>, request: SlotRequest) -> Result<Entry, Refusal> {
        let now = Instant::now();
        let mut state = self.state();
        state.slots.record_arrival(now, request.class);
        if state.can_start(now, request) {
            let run = state.slots.start(now, request.class, request.is_exclusive);
            return Ok(Entry::Slot(self.slot(run)));
        }
        let backlog = state.queue.backlog(request.class, request.caller);
        let retry_after = state
            .slots
            .estimated_wait(now, request.class, backlog)
            .max(RETRY_AFTER_MIN);
        let refuse = |reason| Refusal {
            reason,
            retry_after,
        };
        let margin = state.slots.mean_service_time(request.class) * SERVICE_TIME_MARGIN;
        if now + state.slots.estimated_wait(now, request.class, backlog) + margin
            >= request.deadline
        {
            return Err(refuse(Reason::DeadlineHopeless));
        }
        let new_request = Request {
            class: request.class,
            caller: request.caller,
            is_exclusive: request.is_exclusive,
        };
        let place = state
            .queue
            .push(new_request)
            .map_err(|refusal| refuse(reason_of(refusal)))?;
        let (sender, granted) = oneshot::channel();
        state.waiting.insert(place.ticket, sender);
        let displaced = place
            .displaced
            .and_then(|ticket| state.waiting.remove(&ticket));
        drop(state);
        if let Some(displaced) = displaced {
            // A waiter that was just dropped needs no answer.
            let _ = displaced.send(Err(refuse(Reason::CallerShare)));
        }
        Ok(Entry::Queued(QueuedRequest {
            limiter: Arc::clone(self),
            ticket: place.ticket,
            granted,
            start_by: request.deadline - margin,
            retry_after,
        }))
    }

    /// Grants free slots to the next requests in the queue.
    fn grant_slots(self: &Arc<Self>) {
        while let Some((waiter, slot)) = self.next_grant() {
            // If the waiter was just dropped, the slot is dropped too and so freed.
            let _ = waiter.send(Ok(slot));
        }
    }

    fn grant_slots_at(self: &Arc<Self>, at: Instant) {
        let limiter = Arc::clone(self);
        tokio::spawn(async move {
            sleep_until(at).await;
            limiter.grant_slots();
        });
    }

    fn next_grant(self: &Arc<Self>) -> Option<(Waiter, Slot)> {
        let now = Instant::now();
        let mut state = self.state();
        if !state.slots.is_free(now) {
            return None;
        }
        let may_start_batch = state.slots.is_free_for_batch(now);
        let is_idle = state.slots.is_idle();
        let next = state.queue.pop(may_start_batch, is_idle)?;
        let waiter = state.waiting.remove(&next.ticket)?;
        let run = state
            .slots
            .start(now, next.request.class, next.request.is_exclusive);
        Some((waiter, self.slot(run)))
    }

    fn slot(self: &Arc<Self>, run: Run) -> Slot {
        Slot {
            limiter: Arc::clone(self),
            run,
            end: End::Other,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Returns whether a request may start at once.
    fn can_start(&self, now: Instant, request: SlotRequest) -> bool {
        let is_free = match request.class {
            Class::Interactive => self.slots.is_free(now),
            Class::Batch => self.slots.is_free_for_batch(now),
        };
        is_free && self.queue.is_empty() && (!request.is_exclusive || self.slots.is_idle())
    }
}

impl Slot {
    /// Sets how the request in the slot ended; without it, the end is [`End::Other`].
    pub(crate) fn set_end(&mut self, end: End) {
        self.end = end;
    }

    /// Returns whether the request must be the only one on the upstream.
    pub(crate) fn is_exclusive(&self) -> bool {
        self.run.is_exclusive
    }

    /// Returns the limiter of the slot.
    pub(crate) fn limiter(&self) -> &Arc<Limiter> {
        &self.limiter
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.limiter.state();
        if self.end == End::Answered {
            state.refused_connections = 0;
        }
        state.slots.finish(Instant::now(), self.run, self.end);
        drop(state);
        self.limiter.grant_slots();
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        let mut state = self.limiter.state();
        let was_queued = state.queue.remove(self.ticket);
        state.waiting.remove(&self.ticket);
        drop(state);
        if was_queued {
            // An exclusive request may have blocked the others in the queue.
            self.limiter.grant_slots();
        }
    }
}

fn reason_of(refusal: queue::Refusal) -> Reason {
    match refusal {
        queue::Refusal::Full => Reason::QueueFull,
        queue::Refusal::Share => Reason::CallerShare,
    }
}
