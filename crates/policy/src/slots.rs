//! The adaptive concurrency limit of an upstream.
//!
//! The declared slots are the upper bound. The limit starts at one for a server that is new, has
//! restarted or refused a connection, halves when the server sheds, and rises by one each time as
//! many requests as the limit were answered. It depends only on what the leader observes: health
//! and load that the server reports have no influence.

use std::time::Duration;

use crate::queue::Backlog;
use copperwell_message::Class;
use tokio::time::Instant;

/// Time after an interactive request for which one slot is reserved from batch requests.
const RESERVE_TIME: Duration = Duration::from_secs(1);

/// Upper bound of the pause after a refused connection, and of the backoff that a server asks for.
const PAUSE_MAX: Duration = Duration::from_secs(30);

/// A new service time has a weight of one in this many in the exponential moving average.
const EMA_DIVISOR: u32 = 8;

/// A request in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Run {
    /// Its class.
    pub class: Class,
    /// Whether it must run without any other request beside it.
    pub is_exclusive: bool,
    /// When it started.
    pub started: Instant,
}

/// How a request ended, as far as it affects the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The server answered.
    Answered,
    /// The server shed the request.
    Shed,
    /// It ended in a way that leaves the limit as it is.
    Other,
}

/// The slots of one upstream.
#[derive(Debug)]
pub struct Slots {
    declared: u32,
    limit: u32,
    answered: u32,
    in_flight: u32,
    batch: u32,
    has_exclusive: bool,
    last_interactive: Option<Instant>,
    paused_until: Option<Instant>,
    shed_until: Option<Instant>,
    interactive_mean: Option<Duration>,
    batch_mean: Option<Duration>,
}

impl Slots {
    /// Creates the slots of a server that has not answered yet: one of `declared` may be used.
    #[must_use]
    pub fn new(declared: u32) -> Self {
        Self {
            declared,
            limit: 1,
            answered: 0,
            in_flight: 0,
            batch: 0,
            has_exclusive: false,
            last_interactive: None,
            paused_until: None,
            shed_until: None,
            interactive_mean: None,
            batch_mean: None,
        }
    }

    /// Changes the upper bound of the limit.
    pub fn set_declared(&mut self, declared: u32) {
        self.declared = declared;
        self.limit = self.limit.min(declared).max(1);
    }

    /// Resets the limit to one slot, for a server that has restarted.
    pub fn restart(&mut self) {
        self.limit = 1;
        self.answered = 0;
    }

    /// Starts no requests before `until`, for a server that refuses connections.
    pub fn pause(&mut self, now: Instant, until: Instant) {
        self.paused_until = Some(until.min(now + PAUSE_MAX));
        self.restart();
    }

    /// Records the backoff that a server that sheds asks for.
    pub fn record_shed(&mut self, now: Instant, backoff: Duration) {
        let until = now + backoff.min(PAUSE_MAX);
        self.shed_until = Some(
            self.shed_until
                .map_or(until, |previous| previous.max(until)),
        );
    }

    /// Returns when the backoff of a server that sheds ends, if it is still running.
    #[must_use]
    pub fn shed_until(&self, now: Instant) -> Option<Instant> {
        self.shed_until.filter(|until| now < *until)
    }

    /// Returns when the current pause ends, if there is one.
    #[must_use]
    pub fn paused_until(&self, now: Instant) -> Option<Instant> {
        self.paused_until.filter(|until| now < *until)
    }

    /// Returns whether a request may start now.
    #[must_use]
    pub fn is_free(&self, now: Instant) -> bool {
        !self.has_exclusive && self.in_flight < self.limit && self.paused_until(now).is_none()
    }

    /// Returns whether a batch request may start now.
    ///
    /// Batch leaves one slot free while interactive requests keep arriving.
    #[must_use]
    pub fn is_free_for_batch(&self, now: Instant) -> bool {
        self.is_free(now) && self.batch < self.limit_for_batch(now)
    }

    fn limit_for_batch(&self, now: Instant) -> u32 {
        let reserved = self
            .last_interactive
            .is_some_and(|arrived| now < arrived + RESERVE_TIME && self.limit > 1);
        self.limit - u32::from(reserved)
    }

    /// Returns whether no request is in flight.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.in_flight == 0
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns how many requests may be in flight at a time.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Records the arrival of a request, whether or not it starts.
    pub fn record_arrival(&mut self, now: Instant, class: Class) {
        if class == Class::Interactive {
            self.last_interactive = Some(now);
        }
    }

    /// Occupies a slot. Each call must be followed by one [`Slots::finish`].
    pub fn start(&mut self, now: Instant, class: Class, is_exclusive: bool) -> Run {
        self.in_flight += 1;
        self.batch += u32::from(class == Class::Batch);
        self.has_exclusive |= is_exclusive;
        Run {
            class,
            is_exclusive,
            started: now,
        }
    }

    /// Releases a slot.
    pub fn finish(&mut self, now: Instant, run: Run, end: End) {
        self.in_flight -= 1;
        self.batch -= u32::from(run.class == Class::Batch);
        if run.is_exclusive {
            self.has_exclusive = false;
        }
        match end {
            End::Answered => {
                self.record_service_time(run.class, now - run.started);
                self.grow();
            }
            End::Shed => self.shrink(),
            End::Other => {}
        }
    }

    /// Returns the exponential moving average of the service time of a class; zero before the first
    /// answer.
    #[must_use]
    pub fn mean_service_time(&self, class: Class) -> Duration {
        match class {
            Class::Interactive => self.interactive_mean,
            Class::Batch => self.batch_mean,
        }
        .unwrap_or_default()
    }

    /// Estimates the queueing time of a request of `class` behind the requests in `backlog`.
    #[must_use]
    pub fn estimated_wait(&self, now: Instant, class: Class, backlog: Backlog) -> Duration {
        let limit = match class {
            Class::Interactive => self.limit,
            Class::Batch => self.limit_for_batch(now),
        };
        let interactive = self
            .mean_service_time(Class::Interactive)
            .saturating_mul(saturating_u32(backlog.interactive));
        let batch = self
            .mean_service_time(Class::Batch)
            .saturating_mul(saturating_u32(backlog.batch));
        let pause = self
            .paused_until(now)
            .map_or(Duration::ZERO, |until| until - now);
        pause + interactive.saturating_add(batch) / limit
    }

    fn record_service_time(&mut self, class: Class, service_time: Duration) {
        let mean = match class {
            Class::Interactive => &mut self.interactive_mean,
            Class::Batch => &mut self.batch_mean,
        };
        *mean = Some(match *mean {
            Some(previous) => (previous * (EMA_DIVISOR - 1) + service_time) / EMA_DIVISOR,
            None => service_time,
        });
    }

    fn grow(&mut self) {
        self.answered += 1;
        if self.answered >= self.limit {
            self.answered = 0;
            self.limit = (self.limit + 1).min(self.declared);
        }
    }

    fn shrink(&mut self) {
        self.answered = 0;
        self.limit = (self.limit / 2).max(1);
    }
}

fn saturating_u32(requests: usize) -> u32 {
    u32::try_from(requests).unwrap_or(u32::MAX)
}
