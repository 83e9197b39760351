//! Permits for requests at upstreams, and the requests queued for them.
//!
//! A permit counts as a request in flight from the time at which it is acquired, so that the same capacity is not given
//! to two requests. When it is dropped, on any path, [`Schedule`] selects a queued request, which gets a [`Turn`]: only
//! it may try to acquire a permit, and new requests queue behind it. The turn ends when it is dropped. The next request
//! then gets one, as long as there is capacity.

use std::{
    mem,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use crate::{metrics::QueueMetrics, rejection::Rejection, view::View};
use copperwell_message::{HashMap, Reason};
use copperwell_routing::{
    ServiceName, UpstreamId,
    schedule::{Cause, Entry, Schedule, Ticket},
};
use prometheus_client::metrics::gauge::Gauge;
use rand::RngExt;
use tokio::{
    sync::mpsc::{self, UnboundedReceiver, UnboundedSender},
    time::{Instant, timeout_at},
};

use capacity::{may_have_permit, permits_in_use};
pub(crate) use permit::{InFlight, Permit};

mod capacity;
mod permit;

/// How often queues check for capacity that no dropped permit announces: of new upstreams, or of upstreams that accept
/// requests again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// How long an unused queue is kept with its counts.
const UNUSED_TTL: Duration = Duration::from_secs(60);

/// The minimum time after which a refused request may be retried.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);

/// The queues for permits, and their metrics.
#[derive(Debug, Default)]
pub(crate) struct Queues {
    queues: Mutex<HashMap<QueueId, Queue>>,
    metrics: QueueMetrics,
}

/// Identifies a queue by the permits for which its requests wait.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum QueueId {
    /// Permits at any upstream of a service without keys.
    Service(ServiceName),
    /// Permits at an upstream that holds keys.
    Holder(UpstreamId),
}

/// One queue of requests.
#[derive(Debug)]
struct Queue {
    schedule: Schedule,
    waiters: HashMap<Ticket, UnboundedSender<Message>>,
    /// The request that has the turn.
    turn: Option<Ticket>,
    /// The requests that have had a turn in this round and found no permit that they can use.
    tried: Vec<Ticket>,
    /// Whether capacity became available during the turn, so that `tried` is out of date.
    is_stale: bool,
    /// When the last round began.
    round_at: Instant,
    used_at: Instant,
}

/// A notification to a queued request.
#[derive(Debug)]
enum Message {
    /// It may try to acquire a permit now.
    Turn(Turn),
    /// It is refused.
    Refused(Cause),
}

/// The exclusive right of a queued request to try to acquire a permit, which passes to the next request on drop.
#[derive(Debug)]
struct Turn {
    queues: Arc<Queues>,
    view: Arc<View>,
    queue: QueueId,
    ticket: Ticket,
    /// Whether the request has acquired a permit.
    is_used: bool,
}

/// The entry of a request in a queue, which is removed on drop.
#[derive(Debug)]
struct Waiting<'a> {
    queues: &'a Queues,
    queue: &'a QueueId,
    ticket: Ticket,
    length: Gauge,
    messages: UnboundedReceiver<Message>,
}

/// Counts a request as queued until the guard is dropped.
#[derive(Debug)]
pub(crate) struct QueuedGuard<'a>(&'a Gauge);

impl Queues {
    /// Creates empty queues.
    pub(crate) fn new(metrics: QueueMetrics) -> Self {
        Self {
            queues: Mutex::default(),
            metrics,
        }
    }

    /// Counts a request as queued until the guard is dropped.
    pub(crate) fn enter(&self) -> QueuedGuard<'_> {
        self.metrics.all.inc();
        QueuedGuard(&self.metrics.all)
    }

    /// Returns the permit of a request whose expected service time is `work`.
    ///
    /// The request must be counted in flight at the upstream already, which the permit undoes on drop.
    pub(crate) fn permit(
        self: &Arc<Self>,
        view: &Arc<View>,
        queue: QueueId,
        id: UpstreamId,
        work: Duration,
    ) -> Permit {
        Permit::new(self, view, queue, id, work)
    }

    /// Acquires a permit with `take` once it is the request's turn.
    ///
    /// If no request is queued, `take` is called immediately. If it returns [`Reason::QueueFull`], the request can use
    /// no permit that is free, and keeps waiting; permits and other rejections are returned. The request leaves the
    /// queue if the future is dropped.
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
        self.start_round_if_possible(view, &queue);
        loop {
            let recheck_at = Instant::now() + RECHECK_INTERVAL;
            let until = entry.wait_until.min(recheck_at);
            let message = timeout_at(until, waiting.messages.recv()).await;
            // The process or its VM may have been paused, so that the turn comes too late.
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

    /// Removes the queues that have not been used for [`UNUSED_TTL`].
    pub(crate) fn remove_unused(&self) {
        let now = Instant::now();
        self.lock().retain(|_, queue| {
            let is_recent = now.saturating_duration_since(queue.used_at) < UNUSED_TTL;
            is_recent || !queue.is_idle()
        });
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<QueueId, Queue>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether no request is queued or has a turn.
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
        // Jitter, so that callers that are refused together do not retry together.
        let jitter = rand::rng().random_range(1.0..1.5);
        let retry_after = wait.max(RETRY_AFTER_MIN).mul_f64(jitter);
        Rejection::new(reason).with_retry_after(retry_after)
    }

    /// Starts a round of turns, if there may be a permit for a queued request.
    fn start_round_if_possible(self: &Arc<Self>, view: &Arc<View>, queue: &QueueId) {
        if may_have_permit(view, queue) {
            self.start_round(view, queue);
        }
    }

    /// Checks for capacity that no dropped permit announces; see [`RECHECK_INTERVAL`].
    fn recheck(self: &Arc<Self>, view: &Arc<View>, queue: &QueueId) {
        let now = Instant::now();
        let round_at = self.lock().get(queue).map(|known| known.round_at);
        if round_at.is_some_and(|at| now.saturating_duration_since(at) >= RECHECK_INTERVAL) {
            self.start_round_if_possible(view, queue);
        }
    }

    /// Gives each queued request a turn, in the order of the schedule, until no capacity is left.
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

    /// Sends the turn to a request.
    ///
    /// This must not be called with the lock held: if the request has left, its turn is dropped here, which takes the
    /// lock.
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

    /// Ends a turn and gives the next one.
    fn end_turn(self: &Arc<Self>, turn: &Turn) {
        let may_have_permit = may_have_permit(&turn.view, &turn.queue);
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
            } else if !may_have_permit {
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

    /// Gives the turn to the next request and returns it. Refuses requests that can no longer meet their deadline.
    fn next_turn(&mut self, now: Instant) -> Option<(Ticket, UnboundedSender<Message>)> {
        for ticket in self.schedule.take_infeasible(now) {
            self.refuse(ticket, Cause::Infeasible);
        }
        let Some(ticket) = self.schedule.next(&self.tried, now) else {
            self.tried.clear();
            return None;
        };
        let sender = self.waiters.get(&ticket)?.clone();
        self.turn = Some(ticket);
        Some((ticket, sender))
    }

    /// Notifies a request that it is refused.
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

/// Returns a queue, which is created if it does not exist.
fn queue_in<'a>(
    queues: &'a mut HashMap<QueueId, Queue>,
    id: &QueueId,
    now: Instant,
) -> &'a mut Queue {
    let queue = queues.entry(id.clone()).or_insert_with(|| Queue::new(now));
    queue.used_at = now;
    queue
}

/// Returns the label of a cause in the metrics.
fn cause_name(cause: Cause) -> &'static str {
    match cause {
        Cause::ExpectedWait => "expected-wait",
        Cause::FullQueue => "full",
        Cause::Infeasible => "hopeless",
    }
}

fn reason_of(cause: Cause) -> Reason {
    match cause {
        Cause::ExpectedWait | Cause::FullQueue => Reason::QueueFull,
        Cause::Infeasible => Reason::DeadlineHopeless,
    }
}
