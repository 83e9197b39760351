//! How many requests an upstream may run now.
//!
//! The declared slots are the most. A server that is new, restarted or sheds gets fewer, and gains
//! one more each time that it has answered as many as it may run. What the leader sees itself
//! decides; health and load as the server tells them have no part in it.

use std::time::Duration;

use crate::queue::Ahead;
use copperwell_message::Class;
use tokio::time::Instant;

/// How long after an interactive request one slot is kept free of batch.
const RESERVE: Duration = Duration::from_secs(1);

/// The longest pause that a server can ask for.
const PAUSE_MAX: Duration = Duration::from_secs(30);

/// The weight of a new service time in its decayed mean: one in this many.
const MEAN_PART: u32 = 8;

/// A request that runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Run {
    /// Its class.
    pub class: Class,
    /// Whether nothing else may run beside it.
    pub alone: bool,
    /// When it started.
    pub started: Instant,
}

/// How a request that ran ended, as far as its server's slots are concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The server answered.
    Answered,
    /// The server shed the request.
    Shed,
    /// Nothing follows for the slots.
    Other,
}

/// The slots of one upstream.
#[derive(Debug)]
pub struct Slots {
    declared: u32,
    limit: u32,
    answered: u32,
    running: u32,
    batch: u32,
    alone: bool,
    interactive_at: Option<Instant>,
    paused_until: Option<Instant>,
    shed_until: Option<Instant>,
    interactive_mean: Option<Duration>,
    batch_mean: Option<Duration>,
}

impl Slots {
    /// The slots of a server that has yet to answer: one of `declared`.
    #[must_use]
    pub fn new(declared: u32) -> Self {
        Self {
            declared,
            limit: 1,
            answered: 0,
            running: 0,
            batch: 0,
            alone: false,
            interactive_at: None,
            paused_until: None,
            shed_until: None,
            interactive_mean: None,
            batch_mean: None,
        }
    }

    /// Changes the declared slots.
    pub fn set_declared(&mut self, declared: u32) {
        self.declared = declared;
        self.limit = self.limit.min(declared).max(1);
    }

    /// Starts over with one slot, for a server that has restarted.
    pub fn restart(&mut self) {
        self.limit = 1;
        self.answered = 0;
    }

    /// Starts nothing until `until`, for a server that takes no connection.
    pub fn pause(&mut self, now: Instant, until: Instant) {
        self.paused_until = Some(until.min(now + PAUSE_MAX));
        self.restart();
    }

    /// Remembers how long a server that sheds wants to be left alone.
    pub fn shed(&mut self, now: Instant, back_off: Duration) {
        let until = now + back_off.min(PAUSE_MAX);
        self.shed_until = Some(self.shed_until.map_or(until, |held| held.max(until)));
    }

    /// When a server that sheds may be tried again, if that is yet to come.
    #[must_use]
    pub fn shed_until(&self, now: Instant) -> Option<Instant> {
        self.shed_until.filter(|until| now < *until)
    }

    /// When a pause ends, if there is one.
    #[must_use]
    pub fn paused_until(&self, now: Instant) -> Option<Instant> {
        self.paused_until.filter(|until| now < *until)
    }

    /// Whether anything may start now.
    #[must_use]
    pub fn is_free(&self, now: Instant) -> bool {
        !self.alone && self.running < self.limit && self.paused_until(now).is_none()
    }

    /// Whether batch may start now: it leaves a slot to interactive requests that come and go.
    #[must_use]
    pub fn is_free_for_batch(&self, now: Instant) -> bool {
        self.is_free(now) && self.batch < self.limit_for_batch(now)
    }

    fn limit_for_batch(&self, now: Instant) -> u32 {
        let reserved = self
            .interactive_at
            .is_some_and(|seen| now < seen + RESERVE && self.limit > 1);
        self.limit - u32::from(reserved)
    }

    /// Whether nothing runs.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running == 0
    }

    /// Requests that run.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Requests that may run.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Notes that a request of `class` came, whether or not it starts.
    pub fn arrive(&mut self, now: Instant, class: Class) {
        if class == Class::Interactive {
            self.interactive_at = Some(now);
        }
    }

    /// Takes a slot; each start is to be followed by one [`Slots::finish`].
    pub fn start(&mut self, now: Instant, class: Class, alone: bool) -> Run {
        self.running += 1;
        self.batch += u32::from(class == Class::Batch);
        self.alone |= alone;
        Run {
            class,
            alone,
            started: now,
        }
    }

    /// Gives a slot back.
    pub fn finish(&mut self, now: Instant, run: Run, end: End) {
        self.running -= 1;
        self.batch -= u32::from(run.class == Class::Batch);
        if run.alone {
            self.alone = false;
        }
        match end {
            End::Answered => {
                self.learn(run.class, now - run.started);
                self.grow();
            }
            End::Shed => self.shrink(),
            End::Other => {}
        }
    }

    /// The decayed mean of the time that requests of a class take; zero before the first.
    #[must_use]
    pub fn mean(&self, class: Class) -> Duration {
        match class {
            Class::Interactive => self.interactive_mean,
            Class::Batch => self.batch_mean,
        }
        .unwrap_or_default()
    }

    /// How long a request of `class` has to wait that finds `ahead` before it.
    #[must_use]
    pub fn wait(&self, now: Instant, class: Class, ahead: Ahead) -> Duration {
        let limit = match class {
            Class::Interactive => self.limit,
            Class::Batch => self.limit_for_batch(now),
        };
        let interactive = self
            .mean(Class::Interactive)
            .saturating_mul(clamped(ahead.interactive));
        let batch = self.mean(Class::Batch).saturating_mul(clamped(ahead.batch));
        let pause = self
            .paused_until(now)
            .map_or(Duration::ZERO, |until| until - now);
        pause + interactive.saturating_add(batch) / limit
    }

    fn learn(&mut self, class: Class, took: Duration) {
        let mean = match class {
            Class::Interactive => &mut self.interactive_mean,
            Class::Batch => &mut self.batch_mean,
        };
        *mean = Some(match *mean {
            Some(held) => (held * (MEAN_PART - 1) + took) / MEAN_PART,
            None => took,
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

fn clamped(requests: usize) -> u32 {
    u32::try_from(requests).unwrap_or(u32::MAX)
}
