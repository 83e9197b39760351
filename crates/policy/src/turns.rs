//! The order in which requests over several keys begin their parts.
//!
//! A request that began beside others would only take slots from those before it, and all would miss
//! their deadlines half done. So a part begins only when no earlier request has one to begin, and a
//! request that cannot be whole in time is refused before its first part.

use std::{collections::BTreeSet, time::Duration};

use copperwell_message::HashMap;
use tokio::time::Instant;

/// The weight of a part's time in its decayed mean: one in this many.
const MEAN_PART: u32 = 16;

/// Times the mean time of a part that each round of a request's own parts may take, as a request is
/// as late as the last part of a round.
const ROUND_MARGIN: u32 = 2;

/// Of this many parts of the time to its deadline, a request that comes may be planned to take all but
/// one: those before it may take longer than parts did so far.
const PLANNED_PARTS: u32 = 4;

/// The earliest time at which a refused caller is asked back.
const RETRY_AFTER_LEAST: Duration = Duration::from_secs(1);

/// Names a request; later ones are higher.
pub type Ticket = u64;

/// A part of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Part {
    /// The request.
    pub ticket: Ticket,
    /// The part's place in it.
    pub index: usize,
}

/// A request that wants its turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Want {
    /// Its parts.
    pub parts: usize,
    /// How many of them it runs at a time.
    pub at_once: usize,
    /// Its deadline.
    pub deadline: Instant,
}

/// A request that was let in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entered {
    /// Its ticket.
    pub ticket: Ticket,
    /// When it is to be refused if its first part has not begun.
    pub latest: Instant,
    /// When its caller is to come back if it is refused.
    pub retry_after: Duration,
}

/// A request that cannot be whole in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hopeless {
    /// When to come back.
    pub retry_after: Duration,
}

/// The requests over several keys of one service.
#[derive(Debug, Default)]
pub struct Turns {
    /// Parts that may run at a time.
    most: usize,
    running: usize,
    /// Parts of all requests that have not ended.
    unfinished: usize,
    /// Parts of each request that have not begun.
    left: HashMap<Ticket, usize>,
    wanted: BTreeSet<Part>,
    next_ticket: Ticket,
    /// The decayed mean of the time that a part takes.
    mean: Option<Duration>,
}

impl Turns {
    /// No requests yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Changes how many parts may run at a time.
    pub fn set_most(&mut self, most: usize) {
        self.most = most.max(1);
    }

    /// Parts that run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running
    }

    /// Parts that have not ended, begun or not.
    #[must_use]
    pub fn unfinished(&self) -> usize {
        self.unfinished
    }

    /// Lets a request in, unless it cannot be whole by its deadline behind those before it.
    ///
    /// While there is room for a part, nothing is refused, so that a mean that is too long does not
    /// last. Each success is to be followed by one [`Turns::leave`].
    ///
    /// # Errors
    ///
    /// [`Hopeless`] if the deadline cannot be met.
    pub fn enter(&mut self, now: Instant, want: Want) -> Result<Entered, Hopeless> {
        let wait = self.time(self.unfinished);
        let own = self.own(want);
        let retry_after = wait.max(RETRY_AFTER_LEAST);
        let left = want.deadline.saturating_duration_since(now);
        let planned = left - left / PLANNED_PARTS;
        if self.unfinished >= self.most && wait + own >= planned {
            return Err(Hopeless { retry_after });
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.unfinished += want.parts;
        self.left.insert(ticket, want.parts);
        let latest = want.deadline.checked_sub(own).unwrap_or(now).max(now);
        Ok(Entered {
            ticket,
            latest,
            retry_after,
        })
    }

    /// Notes that a request ended; its parts that have not begun never will.
    pub fn leave(&mut self, ticket: Ticket) {
        self.unfinished -= self.left.remove(&ticket).unwrap_or(0);
    }

    /// Notes that a part of a request that was let in may begin; each part may once.
    pub fn want(&mut self, part: Part) {
        self.wanted.insert(part);
    }

    /// Notes that a part wants to begin no more.
    pub fn forget(&mut self, part: Part) {
        self.wanted.remove(&part);
    }

    /// Begins the next part, if there is room; each is to be followed by one [`Turns::finish`].
    pub fn begin(&mut self) -> Option<Part> {
        if self.running >= self.most {
            return None;
        }
        let part = self.wanted.pop_first()?;
        let left = self.left.get_mut(&part.ticket)?;
        *left -= 1;
        self.running += 1;
        Some(part)
    }

    /// Ends a part; `took` is how long it ran, if it was answered.
    pub fn finish(&mut self, took: Option<Duration>) {
        self.running -= 1;
        self.unfinished -= 1;
        let Some(took) = took else { return };
        self.mean = Some(match self.mean {
            Some(held) => (held * (MEAN_PART - 1) + took) / MEAN_PART,
            None => took,
        });
    }

    /// How long `parts` take that run as many at a time as may.
    fn time(&self, parts: usize) -> Duration {
        let most = u32::try_from(self.most).unwrap_or(u32::MAX).max(1);
        self.mean() * clamped(parts) / most
    }

    /// How long a request's own parts take once its turn has come.
    fn own(&self, want: Want) -> Duration {
        let at_once = want.at_once.min(self.most).max(1);
        let rounds = want.parts.div_ceil(at_once);
        self.mean() * ROUND_MARGIN * clamped(rounds)
    }

    fn mean(&self) -> Duration {
        self.mean.unwrap_or_default()
    }
}

fn clamped(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
