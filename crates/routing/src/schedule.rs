//! The order in which queued requests get the permits that become free.
//!
//! A queue has one entry for each request. Permits go to the most urgent priority, but a priority that is served far less
//! often than all requests goes first. Within a priority, entries that can still be answered in time go first, by
//! earliest deadline, then by shortest work. The time is an input.

use std::time::Duration;

use tokio::time::Instant;

/// The number of queued entries, at most, by default. A permit that becomes free takes one pass over all entries.
pub const LEN_MAX: usize = 256;

/// The served share of a priority, in relation to that of all requests, below which its entries go first. No class may
/// be served less than a quarter as often as all; the margin covers what the averages do not show yet.
const SERVED_RATIO_MIN: f64 = 0.35;

/// The half-life of the counts of requests and of the rate at which permits become free.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// The requests by which a priority counts as served like all at first, so that a few refusals do not reverse the order.
const PRIOR: f64 = 2.0;

/// The priorities that are told apart in the counts. Lower ones count as the last of these.
const PRIORITIES_MAX: u32 = 16;

/// Deadlines that differ by less count as equal, so that the work decides.
const DEADLINE_GRANULARITY: Duration = Duration::from_millis(25);

/// How much more an answer is worth than one of the next lower priority, when an entry of a full queue is dropped.
const PRIORITY_VALUE: f64 = 4.0;

/// The value of an answer that is not in time, as a share of that of one in time.
const LATE_VALUE: f64 = 0.3;

/// The ended requests from which the rate at which permits become free is known.
const RELEASES_MIN: u32 = 3;

/// How long the rate at which permits become free is known after the last request was queued.
const PACE_TTL: Duration = Duration::from_millis(400);

/// The shortest time in which requests are taken to have ended, in seconds.
const TIME_MIN_S: f64 = 0.001;

/// The longest wait that is told.
const WAIT_MAX: Duration = Duration::from_secs(60);

/// The shortest work that is told apart.
const WORK_MIN: Duration = Duration::from_millis(1);

/// A request that waits for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// The priority; the lowest number goes first.
    pub priority: u32,
    /// When the request arrived.
    pub arrived: Instant,
    /// Until when an answer has its full value.
    pub objective: Instant,
    /// Until when an answer has any value.
    pub deadline: Instant,
    /// Until when the request waits for a permit.
    pub wait_until: Instant,
    /// The work that the request requires: how long it usually takes at an upstream.
    pub work: Duration,
}

/// The number of an entry in its queue.
pub type Ticket = u64;

/// Why a request is not queued, or not any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// It would have to wait for longer than it can.
    ExpectedWait,
    /// The queue is full, and the request has the least value for its work.
    FullQueue,
    /// It cannot be answered before its deadline any more.
    Hopeless,
}

/// A request that is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// Why.
    pub cause: Cause,
    /// How long it would have to wait.
    pub wait: Duration,
}

/// A request that was queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Queued {
    /// The number of the entry.
    pub ticket: Ticket,
    /// The entry that was dropped for it.
    pub dropped: Option<Ticket>,
}

/// A queue of requests for permits.
#[derive(Debug)]
pub struct Schedule {
    len_max: usize,
    entries: Vec<(Ticket, Entry)>,
    next_ticket: Ticket,
    counts: Vec<Counts>,
    pace: Pace,
}

/// How many requests of one priority there were, and how many of them got a permit; both decay.
#[derive(Debug, Clone, Copy)]
struct Counts {
    priority: u32,
    requests: f64,
    served: f64,
    updated_at: Instant,
}

/// The work that ends in the time in which entries are queued; all decay.
#[derive(Debug, Default)]
struct Pace {
    work_s: f64,
    releases: f64,
    time_s: f64,
    /// When the last request ended, or the queue began; `None` while nothing is queued.
    since: Option<Instant>,
    /// The requests that have ended, not decayed.
    seen: u32,
    /// When the last request ended while others were queued.
    known_at: Option<Instant>,
}

impl Entry {
    /// Returns the last moment at which a request that gets a permit can be expected to be answered before its
    /// deadline.
    fn latest_start(&self) -> Instant {
        self.deadline.checked_sub(self.work).unwrap_or(self.arrived)
    }

    fn is_hopeless(&self, now: Instant) -> bool {
        now > self.latest_start()
    }

    fn is_in_time(&self, now: Instant) -> bool {
        now + self.work <= self.objective
    }

    /// Returns the order within a priority; the lowest goes first.
    fn order(&self, now: Instant) -> (bool, u128, Duration, Instant) {
        let left = self.deadline.saturating_duration_since(now);
        let left = left.as_millis() / DEADLINE_GRANULARITY.as_millis();
        (!self.is_in_time(now), left, self.work, self.arrived)
    }

    /// Returns the value of its answer for each second of work, at `now`.
    fn value(&self, now: Instant) -> f64 {
        let value = if self.is_in_time(now) {
            1.0
        } else {
            LATE_VALUE
        };
        let weight = PRIORITY_VALUE.powf(-f64::from(clamp(self.priority)));
        value * weight / self.work.max(WORK_MIN).as_secs_f64()
    }
}

impl Default for Schedule {
    fn default() -> Self {
        Self::new(LEN_MAX)
    }
}

impl Schedule {
    /// Creates an empty queue for at most `len_max` entries.
    #[must_use]
    pub fn new(len_max: usize) -> Self {
        Self {
            len_max,
            entries: Vec::new(),
            next_ticket: 0,
            counts: Vec::new(),
            pace: Pace::default(),
        }
    }

    /// Returns whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Queues a request; `permits` are in use where it may be served.
    ///
    /// # Errors
    ///
    /// Refuses it if it cannot be expected to get a permit soon enough, or if it has the least value of a full queue.
    pub fn enqueue(&mut self, entry: Entry, permits: u32, now: Instant) -> Result<Queued, Refused> {
        self.count(entry.priority, now).requests += 1.0;
        let wait = self.expected_wait(&entry, permits, now);
        let refused = |cause| Refused { cause, wait };
        if entry.is_hopeless(now) {
            return Err(refused(Cause::Hopeless));
        }
        if now + wait > entry.wait_until.min(entry.latest_start()) {
            return Err(refused(Cause::ExpectedWait));
        }
        let mut dropped = None;
        if self.entries.len() >= self.len_max {
            match self.least(&entry, now) {
                Some(index) => dropped = Some(self.entries.swap_remove(index).0),
                None => return Err(refused(Cause::FullQueue)),
            }
        }
        if self.entries.is_empty() {
            self.pace.begin(now);
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.entries.push((ticket, entry));
        Ok(Queued { ticket, dropped })
    }

    /// Removes and returns the entries that cannot be answered before their deadline any more.
    pub fn take_hopeless(&mut self, now: Instant) -> Vec<Ticket> {
        let mut hopeless = Vec::new();
        self.entries.retain(|(ticket, entry)| {
            let is_hopeless = entry.is_hopeless(now);
            if is_hopeless {
                hopeless.push(*ticket);
            }
            !is_hopeless
        });
        self.pause_if_empty();
        hopeless
    }

    /// Returns the entry that gets the next permit, but for those in `skipped`, which cannot use it.
    #[must_use]
    pub fn next(&self, skipped: &[Ticket], now: Instant) -> Option<Ticket> {
        let underserved = self.underserved(now);
        let entries = self.entries.iter();
        let usable = entries.filter(|(ticket, _)| !skipped.contains(ticket));
        let next = usable.min_by_key(|(ticket, entry)| {
            let is_underserved = underserved.contains(&clamp(entry.priority));
            // Of several underserved priorities, the more urgent one goes first.
            (!is_underserved, entry.priority, entry.order(now), *ticket)
        });
        next.map(|(ticket, _)| *ticket)
    }

    /// Removes an entry that has got a permit.
    pub fn serve(&mut self, ticket: Ticket, now: Instant) {
        if let Some(entry) = self.remove(ticket) {
            self.count(entry.priority, now).served += 1.0;
        }
    }

    /// Records a request that got a permit without being queued.
    pub fn record_served(&mut self, priority: u32, now: Instant) {
        let count = self.count(priority, now);
        count.requests += 1.0;
        count.served += 1.0;
    }

    /// Removes an entry, if it is still there.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Entry> {
        let index = self
            .entries
            .iter()
            .position(|(known, _)| *known == ticket)?;
        let (_, entry) = self.entries.swap_remove(index);
        self.pause_if_empty();
        Some(entry)
    }

    /// Records that a request of this work has ended, so that its permit is free.
    pub fn record_release(&mut self, work: Duration, now: Instant) {
        self.pace.record(work, now);
    }

    /// Returns how long a request has to wait for a permit, `permits` of which are in use.
    #[must_use]
    pub fn expected_wait(&self, entry: &Entry, permits: u32, now: Instant) -> Duration {
        let is_underserved = self.underserved(now).contains(&clamp(entry.priority));
        let order = entry.order(now);
        let ahead = self.entries.iter().filter(|(_, other)| {
            if is_underserved || entry.priority == other.priority {
                other.priority == entry.priority && other.order(now) <= order
            } else {
                other.priority < entry.priority
            }
        });
        let ahead_s: f64 = ahead.map(|(_, other)| other.work.as_secs_f64()).sum();
        let (rate, mean_s) = match self.pace.rate(now) {
            Some(known) => known,
            // Each permit does a second of work in a second.
            None => (f64::from(permits.max(1)), entry.work.as_secs_f64()),
        };
        let wait = Duration::try_from_secs_f64((ahead_s + mean_s) / rate);
        wait.unwrap_or(Duration::MAX).min(WAIT_MAX)
    }

    /// Returns the entry that is dropped for a new one from a full queue; `None` if that is the new one.
    fn least(&self, entry: &Entry, now: Instant) -> Option<usize> {
        let underserved = self.underserved(now);
        let rank = |entry: &Entry| {
            let is_protected = underserved.contains(&clamp(entry.priority));
            (is_protected, entry.value(now))
        };
        let mut least = (None, rank(entry));
        for (index, (_, other)) in self.entries.iter().enumerate() {
            let rank = rank(other);
            if rank < least.1 {
                least = (Some(index), rank);
            }
        }
        least.0
    }

    /// Returns the priorities that are served so much less often than all requests that their entries go first.
    fn underserved(&self, now: Instant) -> Vec<u32> {
        if self.counts.len() < 2 {
            return Vec::new();
        }
        let counts: Vec<_> = self.counts.iter().map(|counts| counts.at(now)).collect();
        let requests: f64 = counts.iter().map(|one| one.requests).sum();
        let served: f64 = counts.iter().map(|one| one.served).sum();
        // As long as nothing is served, no priority is served less often than others.
        let mean = served / requests.max(f64::MIN_POSITIVE);
        let least = SERVED_RATIO_MIN * mean;
        let ratio = |one: &Counts| (one.served + PRIOR * mean) / (one.requests + PRIOR);
        let underserved = counts.iter().filter(|one| ratio(one) < least);
        underserved.map(|one| one.priority).collect()
    }

    fn count(&mut self, priority: u32, now: Instant) -> &mut Counts {
        let priority = clamp(priority);
        let index = self.counts.iter().position(|one| one.priority == priority);
        let index = index.unwrap_or_else(|| {
            self.counts.push(Counts {
                priority,
                requests: 0.0,
                served: 0.0,
                updated_at: now,
            });
            self.counts.len() - 1
        });
        let counts = &mut self.counts[index];
        *counts = counts.at(now);
        counts
    }

    fn pause_if_empty(&mut self) {
        if self.entries.is_empty() {
            self.pace.since = None;
        }
    }
}

impl Counts {
    /// Returns the counts, decayed until `now`.
    fn at(self, now: Instant) -> Self {
        let decay = decay(now.saturating_duration_since(self.updated_at));
        Self {
            requests: self.requests * decay,
            served: self.served * decay,
            updated_at: self.updated_at.max(now),
            ..self
        }
    }
}

impl Pace {
    fn begin(&mut self, now: Instant) {
        if self.is_old(now) {
            *self = Self::default();
        }
        self.since = Some(now);
    }

    /// Returns whether nothing has been queued for so long that upstreams may have another pace now. Otherwise, a slow
    /// pace would go on refusing requests on arrival, so that nothing is queued by which a faster one would be seen.
    fn is_old(&self, now: Instant) -> bool {
        let age = self.known_at.map(|at| now.saturating_duration_since(at));
        self.since.is_none() && age.is_some_and(|age| age >= PACE_TTL)
    }

    fn record(&mut self, work: Duration, now: Instant) {
        // While nothing is queued, permits do not become free as fast as they could.
        let Some(since) = self.since else {
            return;
        };
        let elapsed = now.saturating_duration_since(since);
        let decay = decay(elapsed);
        self.time_s = self.time_s * decay + elapsed.as_secs_f64();
        self.work_s = self.work_s * decay + work.as_secs_f64();
        self.releases = self.releases * decay + 1.0;
        self.since = Some(since.max(now));
        self.seen = self.seen.saturating_add(1);
        self.known_at = self.since;
    }

    /// Returns the work that ends in a second, in seconds, and the mean work of a request; `None` if too few requests
    /// have ended.
    fn rate(&self, now: Instant) -> Option<(f64, f64)> {
        if self.seen < RELEASES_MIN || self.is_old(now) {
            return None;
        }
        // An upstream that answers no more slows the pace before its requests end.
        let unanswered = self.since.map(|since| now.saturating_duration_since(since));
        let mean_s = self.work_s / self.releases;
        let interval_s = self.time_s / self.releases;
        let late_s = unanswered.unwrap_or_default().as_secs_f64() - interval_s;
        let time_s = (self.time_s + late_s.max(0.0)).max(TIME_MIN_S);
        Some((self.work_s / time_s, mean_s)).filter(|(rate, _)| *rate > 0.0)
    }
}

/// Returns the weight after `elapsed` of what is counted now.
fn decay(elapsed: Duration) -> f64 {
    0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64())
}

fn clamp(priority: u32) -> u32 {
    priority.min(PRIORITIES_MAX - 1)
}
