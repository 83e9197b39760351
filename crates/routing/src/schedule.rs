//! The order in which queued requests get the permits that become free.
//!
//! A permit allows one request at an upstream. It goes to the entry of the most urgent priority, unless another
//! priority is starved: one that is served far less often than the average comes first. Within a priority, entries that
//! can still be answered within their objective come first, ordered by earliest deadline, then by shortest work.
//!
//! The module reads no clock: callers pass the current time.

use std::time::Duration;

use tokio::time::Instant;

/// The default capacity of a queue. It bounds the cost of a free permit, for which all entries are scanned.
pub const LEN_MAX: usize = 256;

/// A priority is underserved if its served share is less than this fraction of the served share of all requests.
///
/// The requirement is that no class is served less than a quarter as often as all. The margin covers the delay of the
/// decaying averages.
const SERVED_RATIO_MIN: f64 = 0.35;

/// The half-life of the counts of requests and of the measured throughput.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// The number of requests, added to the counts of each priority, that are assumed to be served at the average rate.
/// Without them, a few refusals at the start would reverse the order of priorities.
const PRIOR_REQUESTS: f64 = 2.0;

/// The number of priorities that are counted separately. Less urgent ones are counted together with the last of these.
const PRIORITIES_MAX: u32 = 16;

/// The resolution at which deadlines are compared. Among equal deadlines the shorter work comes first.
const DEADLINE_GRANULARITY: Duration = Duration::from_millis(25);

/// The ratio between the values of answers of two successive priorities. Values decide which entry of a full queue is
/// dropped.
const PRIORITY_VALUE_RATIO: f64 = 4.0;

/// The value of an answer after its objective, as a fraction of its full value.
const LATE_VALUE_RATIO: f64 = 0.3;

/// The minimum number of ended requests for an estimate of the throughput.
const RELEASES_MIN: u32 = 3;

/// How long the measured throughput stays valid while the queue is empty. The pace of upstreams changes within this
/// time.
const THROUGHPUT_TTL: Duration = Duration::from_millis(400);

/// The minimum time of a throughput measurement, in seconds, so that requests that end together do not give an infinite
/// throughput.
const TIME_MIN_S: f64 = 0.001;

/// The upper bound of an expected wait, which refused callers get as the time after which to retry.
const WAIT_MAX: Duration = Duration::from_secs(60);

/// The minimum work of a request in the calculation of its value. Shorter work counts as this.
const WORK_MIN: Duration = Duration::from_millis(1);

/// A request that waits for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// The priority; the lowest number goes first.
    pub priority: u32,
    /// When the request arrived.
    pub arrived: Instant,
    /// The latest time at which an answer has its full value.
    pub objective: Instant,
    /// The latest time at which an answer has any value.
    pub deadline: Instant,
    /// Until when the request waits for a permit.
    pub wait_until: Instant,
    /// The expected service time of the request at an upstream.
    pub work: Duration,
}

/// The identifier of an entry in its queue.
pub type Ticket = u64;

/// Why a request is refused on arrival, or removed from the queue without a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// Its expected wait exceeds the time that it can wait.
    ExpectedWait,
    /// The queue is full, and the request has the lowest value per unit of work.
    FullQueue,
    /// It can no longer be answered before its deadline.
    Infeasible,
}

/// A request that is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// Why it is refused.
    pub cause: Cause,
    /// Its expected wait.
    pub wait: Duration,
}

/// A request that was queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Queued {
    /// The identifier of its entry.
    pub ticket: Ticket,
    /// The entry that was removed from the full queue to make space for it.
    pub dropped: Option<Ticket>,
}

/// A queue of requests for permits.
#[derive(Debug)]
pub struct Schedule {
    len_max: usize,
    entries: Vec<(Ticket, Entry)>,
    next_ticket: Ticket,
    counts: Vec<Counts>,
    throughput: Throughput,
}

/// The decaying numbers of requests of one priority, and of those that got a permit.
#[derive(Debug, Clone, Copy)]
struct Counts {
    priority: u32,
    requests: f64,
    served: f64,
    updated_at: Instant,
}

/// The measured throughput: the work of the requests that end while others are queued, over time.
///
/// The time during which nothing is queued is left out, since permits are then not used as fast as they could be.
#[derive(Debug, Default)]
struct Throughput {
    /// The decaying sum of the work of ended requests, in seconds.
    work_s: f64,
    /// The decaying number of ended requests.
    releases: f64,
    /// The decaying measurement time, in seconds.
    time_s: f64,
    /// When the current interval began: at the last end of a request, or when the first entry was queued. `None` while
    /// nothing is queued.
    interval_start: Option<Instant>,
    /// The number of ended requests, without decay.
    releases_total: u32,
    /// When the last request ended while others were queued.
    last_release: Option<Instant>,
}

impl Entry {
    /// Returns the latest time at which the request can start and still be answered before its deadline.
    fn latest_start(&self) -> Instant {
        self.deadline.checked_sub(self.work).unwrap_or(self.arrived)
    }

    fn is_infeasible(&self, now: Instant) -> bool {
        now > self.latest_start()
    }

    fn is_in_time(&self, now: Instant) -> bool {
        now + self.work <= self.objective
    }

    /// Returns the sort key within a priority; the lowest comes first.
    fn order(&self, now: Instant) -> (bool, u128, Duration, Instant) {
        let left = self.deadline.saturating_duration_since(now);
        let left = left.as_millis() / DEADLINE_GRANULARITY.as_millis();
        (!self.is_in_time(now), left, self.work, self.arrived)
    }

    /// Returns the value of the answer per second of work if the request starts at `now`.
    fn value_per_work(&self, now: Instant) -> f64 {
        let value = if self.is_in_time(now) {
            1.0
        } else {
            LATE_VALUE_RATIO
        };
        let weight = PRIORITY_VALUE_RATIO.powf(-f64::from(clamp(self.priority)));
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
            throughput: Throughput::default(),
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

    /// Queues a request; `permits` is the number of permits in use at the upstreams that may serve it.
    ///
    /// # Errors
    ///
    /// Refuses the request if its expected wait is too long, or if the queue is full and no entry has a lower value.
    pub fn enqueue(&mut self, entry: Entry, permits: u32, now: Instant) -> Result<Queued, Refused> {
        self.counts_of(entry.priority, now).requests += 1.0;
        let wait = self.expected_wait(&entry, permits, now);
        let refused = |cause| Refused { cause, wait };
        if entry.is_infeasible(now) {
            return Err(refused(Cause::Infeasible));
        }
        if now + wait > entry.wait_until.min(entry.latest_start()) {
            return Err(refused(Cause::ExpectedWait));
        }
        let mut dropped = None;
        if self.entries.len() >= self.len_max {
            match self.lowest_value(&entry, now) {
                Some(index) => dropped = Some(self.entries.swap_remove(index).0),
                None => return Err(refused(Cause::FullQueue)),
            }
        }
        if self.entries.is_empty() {
            self.throughput.resume(now);
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.entries.push((ticket, entry));
        Ok(Queued { ticket, dropped })
    }

    /// Removes and returns the entries that can no longer be answered before their deadline.
    pub fn take_infeasible(&mut self, now: Instant) -> Vec<Ticket> {
        let mut infeasible = Vec::new();
        self.entries.retain(|(ticket, entry)| {
            let is_infeasible = entry.is_infeasible(now);
            if is_infeasible {
                infeasible.push(*ticket);
            }
            !is_infeasible
        });
        self.pause_if_empty();
        infeasible
    }

    /// Returns the entry that gets the next permit, except for those in `skipped`, which cannot use it.
    #[must_use]
    pub fn next(&self, skipped: &[Ticket], now: Instant) -> Option<Ticket> {
        let underserved = self.underserved(now);
        let entries = self.entries.iter();
        let usable = entries.filter(|(ticket, _)| !skipped.contains(ticket));
        let next = usable.min_by_key(|(ticket, entry)| {
            let is_underserved = underserved.contains(&clamp(entry.priority));
            // Among several underserved priorities, the more urgent one comes first.
            (!is_underserved, entry.priority, entry.order(now), *ticket)
        });
        next.map(|(ticket, _)| *ticket)
    }

    /// Removes an entry that has acquired a permit, and counts its request as served.
    pub fn serve(&mut self, ticket: Ticket, now: Instant) {
        if let Some(entry) = self.remove(ticket) {
            self.counts_of(entry.priority, now).served += 1.0;
        }
    }

    /// Records a request that acquired a permit without being queued.
    pub fn record_served(&mut self, priority: u32, now: Instant) {
        let count = self.counts_of(priority, now);
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

    /// Records that a request with this work has ended and released its permit.
    pub fn record_release(&mut self, work: Duration, now: Instant) {
        self.throughput.record(work, now);
    }

    /// Returns the expected wait of a request for a permit: the queued work ahead of it, divided by the throughput.
    ///
    /// As long as the throughput is not known, each of the `permits` in use is assumed to do one second of work a
    /// second.
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
        let (rate, mean_s) = match self.throughput.rate(now) {
            Some(known) => known,
            None => (f64::from(permits.max(1)), entry.work.as_secs_f64()),
        };
        let wait = Duration::try_from_secs_f64((ahead_s + mean_s) / rate);
        wait.unwrap_or(Duration::MAX).min(WAIT_MAX)
    }

    /// Returns the index of the entry with the lowest value, if it is lower than that of a new entry.
    ///
    /// Entries of underserved priorities are dropped last.
    fn lowest_value(&self, entry: &Entry, now: Instant) -> Option<usize> {
        let underserved = self.underserved(now);
        let rank = |entry: &Entry| {
            let is_protected = underserved.contains(&clamp(entry.priority));
            (is_protected, entry.value_per_work(now))
        };
        let mut lowest = (None, rank(entry));
        for (index, (_, other)) in self.entries.iter().enumerate() {
            let rank = rank(other);
            if rank < lowest.1 {
                lowest = (Some(index), rank);
            }
        }
        lowest.0
    }

    /// Returns the priorities whose served share is below [`SERVED_RATIO_MIN`] of the mean.
    fn underserved(&self, now: Instant) -> Vec<u32> {
        if self.counts.len() < 2 {
            return Vec::new();
        }
        let counts: Vec<_> = self.counts.iter().map(|counts| counts.at(now)).collect();
        let requests: f64 = counts.iter().map(|one| one.requests).sum();
        let served: f64 = counts.iter().map(|one| one.served).sum();
        // While nothing is served, the mean is 0 and no priority is below it.
        let mean = served / requests.max(f64::MIN_POSITIVE);
        let share_min = SERVED_RATIO_MIN * mean;
        let share =
            |one: &Counts| (one.served + PRIOR_REQUESTS * mean) / (one.requests + PRIOR_REQUESTS);
        let underserved = counts.iter().filter(|one| share(one) < share_min);
        underserved.map(|one| one.priority).collect()
    }

    /// Returns the counts of a priority, decayed until `now`.
    fn counts_of(&mut self, priority: u32, now: Instant) -> &mut Counts {
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
            self.throughput.interval_start = None;
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

impl Throughput {
    /// Continues the measurement as the queue gets its first entry.
    fn resume(&mut self, now: Instant) {
        if self.is_expired(now) {
            *self = Self::default();
        }
        self.interval_start = Some(now);
    }

    /// Returns whether the queue has been empty for so long that the throughput may have changed.
    ///
    /// Without expiry, a low throughput would persist: all requests would be refused on arrival, so that nothing would
    /// be queued and no higher throughput would be measured.
    fn is_expired(&self, now: Instant) -> bool {
        let age = self
            .last_release
            .map(|at| now.saturating_duration_since(at));
        self.interval_start.is_none() && age.is_some_and(|age| age >= THROUGHPUT_TTL)
    }

    fn record(&mut self, work: Duration, now: Instant) {
        let Some(start) = self.interval_start else {
            return;
        };
        let elapsed = now.saturating_duration_since(start);
        let decay = decay(elapsed);
        self.time_s = self.time_s * decay + elapsed.as_secs_f64();
        self.work_s = self.work_s * decay + work.as_secs_f64();
        self.releases = self.releases * decay + 1.0;
        self.interval_start = Some(start.max(now));
        self.releases_total = self.releases_total.saturating_add(1);
        self.last_release = self.interval_start;
    }

    /// Returns the work done per second and the mean work of a request, both in seconds; `None` if too few requests
    /// have ended.
    fn rate(&self, now: Instant) -> Option<(f64, f64)> {
        if self.releases_total < RELEASES_MIN || self.is_expired(now) {
            return None;
        }
        // If no request ends for longer than the mean interval, upstreams may have stopped answering. The excess lowers
        // the throughput already, although no request has timed out yet.
        let since_release = self
            .interval_start
            .map(|start| now.saturating_duration_since(start));
        let mean_s = self.work_s / self.releases;
        let interval_s = self.time_s / self.releases;
        let excess_s = since_release.unwrap_or_default().as_secs_f64() - interval_s;
        let time_s = (self.time_s + excess_s.max(0.0)).max(TIME_MIN_S);
        Some((self.work_s / time_s, mean_s)).filter(|(rate, _)| *rate > 0.0)
    }
}

/// Returns the factor by which a count decays in `elapsed`.
fn decay(elapsed: Duration) -> f64 {
    0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64())
}

/// Returns the priority under which requests of a priority are counted.
fn clamp(priority: u32) -> u32 {
    priority.min(PRIORITIES_MAX - 1)
}
