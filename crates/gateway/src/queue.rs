//! Permits for requests at upstreams, and the requests queued for them.
//!
//! A permit counts as a request in flight from the time at which it is taken, so that nobody else is given the same
//! place. When it is dropped, in whatever way, the place goes to the request that [`Schedule`] names: that request gets
//! the turn to take a permit, while new ones queue behind it. A turn that is dropped goes to the next request.

use std::{
    mem,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use crate::{metrics::QueueMetrics, rejection::Rejection, view::View};
use copperwell_message::{HashMap, Reason};
use copperwell_routing::{
    ServiceName, UpstreamId,
    load::Outcome,
    schedule::{Cause, Entry, Schedule, Ticket},
};
use prometheus_client::metrics::gauge::Gauge;
use rand::RngExt;
use tokio::{
    sync::mpsc::{self, UnboundedReceiver, UnboundedSender},
    time::{Instant, timeout_at},
};

use places::{has_place, permits_in_use, takes_one};

mod places;

/// How often queues look for places that no ended request has freed: of new upstreams, or of those that take requests
/// again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// How long an unused queue keeps what it has counted.
const UNUSED_MAX: Duration = Duration::from_secs(60);

/// The shortest time after which a refused request is retried.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);

/// The queues for permits, and the number of queued requests.
#[derive(Debug, Default)]
pub(crate) struct Queues {
    queues: Mutex<HashMap<QueueId, Queue>>,
    metrics: QueueMetrics,
}

/// What requests queue for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum QueueId {
    /// A permit at any upstream of a service without keys.
    Service(ServiceName),
    /// A permit at the holder of their keys.
    Holder(UpstreamId),
}

/// The requests queued for permits of one kind.
#[derive(Debug)]
struct Queue {
    schedule: Schedule,
    waiters: HashMap<Ticket, UnboundedSender<Message>>,
    /// The request that has the turn to take a permit.
    turn: Option<Ticket>,
    /// The requests that have had their turn in this round and found no permit that they can use.
    tried: Vec<Ticket>,
    /// Whether a permit became free during the turn, so that all are tried again.
    is_stale: bool,
    round_at: Instant,
    used_at: Instant,
}

/// What a queued request is told.
#[derive(Debug)]
enum Message {
    /// It may take a permit now.
    Turn(Turn),
    /// It is refused.
    Refused(Cause),
}

/// The turn of a queued request to take a permit; the next one has it once it is dropped.
#[derive(Debug)]
struct Turn {
    queues: Arc<Queues>,
    view: Arc<View>,
    queue: QueueId,
    ticket: Ticket,
    is_used: bool,
}

/// A request's entry in a queue, which leaves when this is dropped.
#[derive(Debug)]
struct Waiting<'a> {
    queues: &'a Queues,
    queue: &'a QueueId,
    ticket: Ticket,
    length: Gauge,
    messages: UnboundedReceiver<Message>,
}

/// Counts a request as queued until it is dropped.
#[derive(Debug)]
pub(crate) struct QueuedGuard<'a>(&'a Gauge);

/// A place for one request at an upstream, which is free for others once this is dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    view: Arc<View>,
    queues: Arc<Queues>,
    queue: QueueId,
    id: UpstreamId,
    work: Duration,
    started_at: Instant,
    is_sent: bool,
    outcome: Outcome,
}

/// A request in flight, which counts as cancelled if it is dropped before [`InFlight::end`].
#[derive(Debug)]
pub(crate) struct InFlight(Permit);

impl Queues {
    /// Creates empty queues.
    pub(crate) fn new(metrics: QueueMetrics) -> Self {
        Self {
            queues: Mutex::default(),
            metrics,
        }
    }

    /// Counts a request as queued.
    pub(crate) fn enter(&self) -> QueuedGuard<'_> {
        self.metrics.all.inc();
        QueuedGuard(&self.metrics.all)
    }

    /// Returns the permit of a request that requires `work` and is counted as started at an upstream.
    pub(crate) fn permit(
        self: &Arc<Self>,
        view: &Arc<View>,
        queue: QueueId,
        id: UpstreamId,
        work: Duration,
    ) -> Permit {
        Permit {
            view: view.clone(),
            queues: self.clone(),
            queue,
            id,
            work,
            started_at: Instant::now(),
            is_sent: false,
            outcome: Outcome::Cancelled,
        }
    }

    /// Takes a permit with `take` once it is the request's turn.
    ///
    /// `take` is tried at once if nobody is queued. A [`Reason::QueueFull`] from it means that no permit is free that the
    /// request can use; other rejections and permits are returned. The request leaves the queue if the future is dropped.
    pub(crate) async fn acquire<T>(
        self: &Arc<Self>,
        view: &Arc<View>,
        queue: QueueId,
        entry: Entry,
        mut take: impl FnMut() -> Result<T, Rejection>,
    ) -> Result<T, Rejection> {
        if self.is_idle(&queue) {
            match take() {
                Err(rejection) if rejection.reason == Reason::QueueFull => {}
                Err(rejection) => return Err(rejection),
                Ok(taken) => {
                    let mut queues = self.lock();
                    let now = Instant::now();
                    let known = queue_in(&mut queues, &queue, now);
                    known.schedule.record_served(entry.priority, now);
                    return Ok(taken);
                }
            }
        }
        let queued_at = Instant::now();
        let mut waiting = self.enqueue(view, &queue, entry)?;
        let _counted = matches!(queue, QueueId::Service(_)).then(|| self.enter());
        // A permit may have become free before the request was queued.
        self.find_place(view, &queue);
        loop {
            let recheck_at = Instant::now() + RECHECK_INTERVAL;
            let until = entry.wait_until.min(recheck_at);
            let message = timeout_at(until, waiting.messages.recv()).await;
            // The daemon may have been paused, so that the turn comes too late.
            let is_late = Instant::now() > entry.wait_until;
            match message {
                Ok(Some(Message::Turn(mut turn))) if !is_late => match take() {
                    Err(rejection) if rejection.reason == Reason::QueueFull => {}
                    Err(rejection) => return Err(rejection),
                    Ok(taken) => {
                        turn.is_used = true;
                        let waited = queued_at.elapsed();
                        self.metrics.observe_wait(entry.priority, waited);
                        return Ok(taken);
                    }
                },
                Ok(Some(Message::Refused(cause))) => {
                    let wait = self.expected_wait(view, &queue, &entry);
                    return Err(self.refuse(cause_name(cause), reason_of(cause), wait));
                }
                Err(_) if Instant::now() < entry.wait_until => self.recheck(view, &queue),
                Ok(_) | Err(_) => {
                    let wait = self.expected_wait(view, &queue, &entry);
                    return Err(self.refuse("waited", Reason::QueueFull, wait));
                }
            }
        }
    }

    /// Removes the queues that are no longer used.
    pub(crate) fn remove_unused(&self) {
        let now = Instant::now();
        self.lock().retain(|_, queue| {
            let is_recent = now.saturating_duration_since(queue.used_at) < UNUSED_MAX;
            is_recent || !queue.is_idle()
        });
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<QueueId, Queue>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether no request is queued.
    pub(crate) fn is_idle(&self, queue: &QueueId) -> bool {
        self.lock().get(queue).is_none_or(Queue::is_idle)
    }

    fn enqueue<'a>(
        &'a self,
        view: &View,
        queue: &'a QueueId,
        entry: Entry,
    ) -> Result<Waiting<'a>, Rejection> {
        let permits = permits_in_use(view, queue);
        let (sender, messages) = mpsc::unbounded_channel();
        let now = Instant::now();
        let mut queues = self.lock();
        let known = queue_in(&mut queues, queue, now);
        let queued = match known.schedule.enqueue(entry, permits, now) {
            Ok(queued) => queued,
            Err(refused) => {
                drop(queues);
                let cause = refused.cause;
                return Err(self.refuse(cause_name(cause), reason_of(cause), refused.wait));
            }
        };
        known.waiters.insert(queued.ticket, sender);
        if let Some(dropped) = queued.dropped {
            known.refuse(dropped, Cause::FullQueue);
        }
        drop(queues);
        let length = self.metrics.length(entry.priority);
        length.inc();
        Ok(Waiting {
            queues: self,
            queue,
            ticket: queued.ticket,
            length,
            messages,
        })
    }

    fn expected_wait(&self, view: &View, queue: &QueueId, entry: &Entry) -> Duration {
        let permits = permits_in_use(view, queue);
        let queues = self.lock();
        let known = queues.get(queue);
        known.map_or(entry.work, |known| {
            known.schedule.expected_wait(entry, permits, Instant::now())
        })
    }

    fn refuse(&self, cause: &'static str, reason: Reason, wait: Duration) -> Rejection {
        self.metrics.record_refusal(cause);
        // Spreads the callers that are told the same time.
        let spread = rand::rng().random_range(1.0..1.5);
        let retry_after = wait.max(RETRY_AFTER_MIN).mul_f64(spread);
        Rejection::new(reason).with_retry_after(retry_after)
    }

    /// Gives queued requests their turns, if there may be a permit for one.
    fn find_place(self: &Arc<Self>, view: &Arc<View>, queue: &QueueId) {
        if has_place(view, queue) {
            self.start_round(view, queue);
        }
    }

    /// Looks for places that no ended request has freed.
    fn recheck(self: &Arc<Self>, view: &Arc<View>, queue: &QueueId) {
        let now = Instant::now();
        let round_at = self.lock().get(queue).map(|known| known.round_at);
        if round_at.is_some_and(|at| now.saturating_duration_since(at) >= RECHECK_INTERVAL) {
            self.find_place(view, queue);
        }
    }

    fn start_round(self: &Arc<Self>, view: &Arc<View>, queue: &QueueId) {
        let now = Instant::now();
        let mut queues = self.lock();
        let next = queues.get_mut(queue).and_then(|known| {
            known.round_at = now;
            if known.turn.is_some() {
                known.is_stale = true;
                return None;
            }
            known.tried.clear();
            known.next_turn(now)
        });
        drop(queues);
        self.give_turn(view, queue, next);
    }

    /// Gives the turn to a request. This must not be called with the lock held, as the request may have left, which ends
    /// its turn.
    fn give_turn(
        self: &Arc<Self>,
        view: &Arc<View>,
        queue: &QueueId,
        next: Option<(Ticket, UnboundedSender<Message>)>,
    ) {
        if let Some((ticket, sender)) = next {
            let turn = Turn {
                queues: self.clone(),
                view: view.clone(),
                queue: queue.clone(),
                ticket,
                is_used: false,
            };
            let _ = sender.send(Message::Turn(turn));
        }
    }

    fn end_turn(self: &Arc<Self>, turn: &Turn) {
        let has_place = has_place(&turn.view, &turn.queue);
        let now = Instant::now();
        let mut queues = self.lock();
        let next = queues.get_mut(&turn.queue).and_then(|known| {
            if turn.is_used {
                known.schedule.serve(turn.ticket, now);
                known.waiters.remove(&turn.ticket);
            } else if known.waiters.contains_key(&turn.ticket) {
                known.tried.push(turn.ticket);
            }
            known.turn = None;
            if mem::take(&mut known.is_stale) {
                known.tried.clear();
            } else if !has_place {
                known.tried.clear();
                return None;
            }
            known.next_turn(now)
        });
        drop(queues);
        self.give_turn(&turn.view, &turn.queue, next);
    }

    fn record_release(&self, queue: &QueueId, work: Duration) {
        let now = Instant::now();
        if let Some(known) = self.lock().get_mut(queue) {
            known.schedule.record_release(work, now);
        }
    }
}

impl Queue {
    fn new(now: Instant) -> Self {
        Self {
            schedule: Schedule::default(),
            waiters: HashMap::default(),
            turn: None,
            tried: Vec::new(),
            is_stale: false,
            round_at: now,
            used_at: now,
        }
    }

    fn is_idle(&self) -> bool {
        self.turn.is_none() && self.schedule.is_empty()
    }

    /// Returns the request that has the turn now, and refuses those that are hopeless.
    fn next_turn(&mut self, now: Instant) -> Option<(Ticket, UnboundedSender<Message>)> {
        for ticket in self.schedule.take_hopeless(now) {
            self.refuse(ticket, Cause::Hopeless);
        }
        let Some(ticket) = self.schedule.next(&self.tried, now) else {
            self.tried.clear();
            return None;
        };
        let sender = self.waiters.get(&ticket)?.clone();
        self.turn = Some(ticket);
        Some((ticket, sender))
    }

    fn refuse(&mut self, ticket: Ticket, cause: Cause) {
        if let Some(sender) = self.waiters.remove(&ticket) {
            let _ = sender.send(Message::Refused(cause));
        }
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        let queues = self.queues.clone();
        queues.end_turn(self);
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.length.dec();
        let mut queues = self.queues.lock();
        if let Some(known) = queues.get_mut(self.queue) {
            known.schedule.remove(self.ticket);
            known.waiters.remove(&self.ticket);
        }
    }
}

impl Drop for QueuedGuard<'_> {
    fn drop(&mut self) {
        self.0.dec();
    }
}

impl Permit {
    /// Starts the request that has the permit.
    pub(crate) fn start(mut self) -> InFlight {
        self.started_at = Instant::now();
        self.is_sent = true;
        InFlight(self)
    }
}

impl InFlight {
    /// Records the end of the request and returns how long it took.
    pub(crate) fn end(mut self, outcome: Outcome) -> Duration {
        self.0.outcome = outcome;
        self.0.started_at.elapsed()
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = Instant::now();
        let elapsed = now.saturating_duration_since(self.started_at);
        let mut loads = self.view.loads();
        loads.record_end(&self.id, self.outcome, elapsed, now);
        drop(loads);
        if self.is_sent {
            self.queues.record_release(&self.queue, self.work);
        }
        let has_place = {
            let registry = self.view.registry();
            let upstream = registry.get(&self.id);
            upstream.is_some_and(|upstream| takes_one(&self.view.loads(), upstream, now))
        };
        if has_place {
            self.queues.start_round(&self.view, &self.queue);
        }
    }
}

fn queue_in<'a>(
    queues: &'a mut HashMap<QueueId, Queue>,
    id: &QueueId,
    now: Instant,
) -> &'a mut Queue {
    let queue = queues.entry(id.clone()).or_insert_with(|| Queue::new(now));
    queue.used_at = now;
    queue
}

fn cause_name(cause: Cause) -> &'static str {
    match cause {
        Cause::ExpectedWait => "expected-wait",
        Cause::FullQueue => "full",
        Cause::Hopeless => "hopeless",
    }
}

fn reason_of(cause: Cause) -> Reason {
    match cause {
        Cause::ExpectedWait | Cause::FullQueue => Reason::QueueFull,
        Cause::Hopeless => Reason::DeadlineHopeless,
    }
}
