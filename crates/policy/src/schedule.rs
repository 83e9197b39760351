//! Admission and scheduling of requests over several keys, which run in parts.
//!
//! Requests that ran side by side would take slots from each other, and all would miss their
//! deadlines half done. So parts start in the order in which their requests were admitted, and a
//! request that can't complete in time is refused before its first part starts.

use std::{collections::BTreeSet, time::Duration};

use copperwell_message::HashMap;
use tokio::time::Instant;

/// A new service time of a part has a weight of one in this many in the exponential moving average.
const EMA_DIVISOR: u32 = 16;

/// A round of a request's concurrent parts is estimated at this many times the mean of a part,
/// since it takes as long as its slowest part.
const ROUND_FACTOR: u32 = 2;

/// One part in this many of the time to a request's deadline is kept as slack at admission, since
/// earlier requests may take longer than parts did so far.
const SLACK_DIVISOR: u32 = 4;

/// Minimum time after which a refused caller is asked to retry.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);

/// Identifies a request; tickets increase in the order of admission.
pub type Ticket = u64;

/// A part of a request over several keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Part {
    /// The request.
    pub ticket: Ticket,
    /// The position of the part in the request.
    pub index: usize,
}

/// What a request asks for at admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand {
    /// The number of its parts.
    pub parts: usize,
    /// How many of its parts run at a time.
    pub concurrency: usize,
    /// Its deadline.
    pub deadline: Instant,
}

/// An admitted request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Admitted {
    /// Its ticket.
    pub ticket: Ticket,
    /// When to refuse it if its first part has not started.
    pub latest: Instant,
    /// Time after which its caller should retry if it is refused.
    pub retry_after: Duration,
}

/// The refusal of a request that can't complete before its deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Time after which its caller should retry.
    pub retry_after: Duration,
}

/// Schedules the parts of all requests over several keys of one service.
#[derive(Debug, Default)]
pub struct Schedule {
    /// Maximum number of parts in flight.
    max: usize,
    running: usize,
    /// Parts of all requests that have not finished, started or not.
    unfinished: usize,
    /// Parts of each request that have not started.
    not_started: HashMap<Ticket, usize>,
    waiting: BTreeSet<Part>,
    next_ticket: Ticket,
    /// The exponential moving average of the service time of a part.
    mean: Option<Duration>,
}

impl Schedule {
    /// Creates a schedule without requests.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Changes the maximum number of parts in flight.
    pub fn set_max(&mut self, max: usize) {
        self.max = max.max(1);
    }

    /// Returns the number of parts in flight.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the number of parts that have not finished, started or not.
    #[must_use]
    pub fn unfinished(&self) -> usize {
        self.unfinished
    }

    /// Admits a request, unless it can't complete by its deadline behind the earlier ones.
    ///
    /// While there is capacity for a part, no request is refused, so that new service times can
    /// correct a mean that is too high. Each success must be followed by one [`Schedule::end`].
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`] if the deadline can't be met.
    pub fn admit(&mut self, now: Instant, demand: Demand) -> Result<Admitted, Refusal> {
        let queueing_time = self.queueing_time(self.unfinished);
        let service_time = self.service_time(demand);
        let retry_after = queueing_time.max(RETRY_AFTER_MIN);
        let remaining = demand.deadline.saturating_duration_since(now);
        let available = remaining - remaining / SLACK_DIVISOR;
        if self.unfinished >= self.max && queueing_time + service_time >= available {
            return Err(Refusal { retry_after });
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.unfinished += demand.parts;
        self.not_started.insert(ticket, demand.parts);
        let latest = demand
            .deadline
            .checked_sub(service_time)
            .unwrap_or(now)
            .max(now);
        Ok(Admitted {
            ticket,
            latest,
            retry_after,
        })
    }

    /// Ends a request; its parts that have not started never will.
    pub fn end(&mut self, ticket: Ticket) {
        self.unfinished -= self.not_started.remove(&ticket).unwrap_or(0);
    }

    /// Queues a part of an admitted request. Each part may be queued once.
    pub fn enqueue(&mut self, part: Part) {
        self.waiting.insert(part);
    }

    /// Removes a part from the queue.
    pub fn remove(&mut self, part: Part) {
        self.waiting.remove(&part);
    }

    /// Starts the next queued part, if there is capacity. Each success must be followed by one
    /// [`Schedule::finish`].
    pub fn start_next(&mut self) -> Option<Part> {
        if self.running >= self.max {
            return None;
        }
        let part = self.waiting.pop_first()?;
        let not_started = self.not_started.get_mut(&part.ticket)?;
        *not_started -= 1;
        self.running += 1;
        Some(part)
    }

    /// Finishes a part; `service_time` is how long it ran, if it was answered.
    pub fn finish(&mut self, service_time: Option<Duration>) {
        self.running -= 1;
        self.unfinished -= 1;
        let Some(service_time) = service_time else {
            return;
        };
        self.mean = Some(match self.mean {
            Some(previous) => (previous * (EMA_DIVISOR - 1) + service_time) / EMA_DIVISOR,
            None => service_time,
        });
    }

    /// Estimates how long `parts` take at the maximum concurrency.
    fn queueing_time(&self, parts: usize) -> Duration {
        let max = u32::try_from(self.max).unwrap_or(u32::MAX).max(1);
        self.mean() * saturating_u32(parts) / max
    }

    /// Estimates how long the parts of a request take once its first one starts.
    fn service_time(&self, demand: Demand) -> Duration {
        let concurrency = demand.concurrency.min(self.max).max(1);
        let rounds = demand.parts.div_ceil(concurrency);
        self.mean() * ROUND_FACTOR * saturating_u32(rounds)
    }

    fn mean(&self) -> Duration {
        self.mean.unwrap_or_default()
    }
}

fn saturating_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
