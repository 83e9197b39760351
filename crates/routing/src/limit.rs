//! Limits that upstreams name: the requests a second that an upstream takes from all daemons together.
//!
//! One daemon, the leader, schedules the requests of all: it reserves a time for each. A daemon that cannot ask
//! it schedules its own requests at an equal share of the limit.

use std::time::Duration;

use crate::{Incarnation, UpstreamId};
use copperwell_message::HashMap;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Requests a second.
pub type Rate = f64;

/// How many requests may follow each other at once, as the time in which they would be due. The rule allows
/// for more; the rest is a margin for requests that are sent late.
const BURST_TIME: Duration = Duration::from_millis(500);

/// The longest interval between two requests, also for an upstream that takes none: only an answer shows that
/// its limit has ended.
const INTERVAL_MAX: Duration = Duration::from_secs(100);

/// How long the end of a limit is remembered, so that all daemons hear of it.
const END_TIME: Duration = Duration::from_secs(30);

/// The part of a limit that daemons use that schedule their requests each by itself: by chance, the times of many
/// may fall together.
const OWN_RATIO: f64 = 0.6;

/// The number of daemons that are assumed to share a limit while their number is unknown.
const ASSUMED_DAEMONS: u32 = 16;

/// What an answer says of an upstream's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Observation {
    /// The incarnation of the upstream.
    pub born: Incarnation,
    /// The limit; `None` if the answer names none.
    pub rate: Option<Rate>,
    /// When the request was sent.
    pub sent_at: Instant,
}

/// What a daemon knows of an upstream's limit, for other daemons.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its incarnation.
    pub born: Incarnation,
    /// The limit; `None` if it has ended.
    pub rate: Option<Rate>,
    /// How long ago the answer that says so arrived.
    pub age: Duration,
}

/// The limits of all upstreams, as far as a daemon knows.
#[derive(Debug, Default)]
pub struct Limits {
    limits: HashMap<UpstreamId, Limit>,
    /// Changes with each change of what other daemons have to know.
    version: u64,
}

/// The limit of an upstream.
#[derive(Debug)]
struct Limit {
    born: Incarnation,
    rate: Option<Rate>,
    /// When the last answer that names the limit arrived, or the one that showed its end.
    known_at: Instant,
    /// Whether this daemon has something to report to the leader.
    is_unreported: bool,
    /// The schedule of all daemons' requests, kept by the leader.
    shared: Schedule,
    /// The schedule of this daemon's own requests; `None` until it has to schedule them itself.
    own: Option<Schedule>,
    /// When this daemon's own requests start, as a part of their interval, so that daemons that share a limit
    /// do not start together.
    phase: f64,
    /// When the next request is due, as the leader said.
    full_until: Option<Instant>,
}

/// The times at which requests are due, one after the other.
#[derive(Debug, Clone, Copy)]
struct Schedule {
    /// When the next request is due.
    next_at: Instant,
}

/// Whose requests are scheduled, and among how many daemons the limit is shared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// All daemons' requests.
    Shared,
    /// The requests of one of this number of daemons; 0 if it is unknown.
    Own(u32),
}

impl Limits {
    /// Returns the limit of an upstream for other daemons; `None` if that run of it has none.
    #[must_use]
    pub fn entry(&self, upstream: &UpstreamId, born: Incarnation, now: Instant) -> Option<Entry> {
        self.rate(upstream, born)?;
        Some(self.limits.get(upstream)?.entry(upstream, now))
    }

    /// Returns the number of upstreams that have a limit.
    #[must_use]
    pub fn len(&self) -> usize {
        let limits = self.limits.values();
        limits.filter(|limit| limit.rate.is_some()).count()
    }

    /// Returns whether no upstream has a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns a number that changes with what other daemons have to know.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limit of a run of an upstream; `None` if it names none.
    #[must_use]
    pub fn rate(&self, upstream: &str, born: Incarnation) -> Option<Rate> {
        let limit = self.limits.get(upstream)?;
        limit.rate.filter(|_| limit.born == born)
    }

    /// Records what an answer says; returns whether the limit has changed.
    ///
    /// An answer without a limit shows its end only if its request was sent after the limit was last named.
    /// `phase`, from 0 to 1, spreads the first requests of daemons that share a new limit without a leader.
    pub fn observe(
        &mut self,
        upstream: &UpstreamId,
        observation: Observation,
        phase: f64,
        now: Instant,
    ) -> bool {
        let known = self.limits.get_mut(upstream);
        let known = known.filter(|known| known.born >= observation.born);
        let has_changed = match known {
            Some(known) if known.born > observation.born => false,
            Some(known) => known.observe(observation, now),
            None => match observation.rate {
                Some(rate) => {
                    let limit = Limit::new(observation.born, rate, phase, now);
                    self.limits.insert(upstream.clone(), limit);
                    true
                }
                None => false,
            },
        };
        self.version += u64::from(has_changed);
        has_changed
    }

    /// Reserves the next request to an upstream, if it is due within `patience`, and returns how long it has to
    /// wait.
    ///
    /// # Errors
    ///
    /// Returns how long it would have to wait if that is longer than `patience`.
    pub fn reserve(
        &mut self,
        upstream: &str,
        born: Incarnation,
        scope: Scope,
        patience: Duration,
        now: Instant,
    ) -> Result<Duration, Duration> {
        let limit = self.limits.get_mut(upstream);
        let limit = limit.filter(|limit| limit.born == born);
        let Some((limit, rate)) = limit.and_then(|limit| limit.rate.map(|rate| (limit, rate)))
        else {
            return Ok(Duration::ZERO);
        };
        match scope {
            Scope::Shared => limit
                .shared
                .reserve(interval(rate), BURST_TIME, patience, now),
            Scope::Own(daemons) => {
                let daemons = match daemons {
                    0 => ASSUMED_DAEMONS,
                    daemons => daemons,
                };
                let interval = (interval(rate) * daemons).mul_f64(1.0 / OWN_RATIO);
                let start = now + interval.mul_f64(limit.phase);
                let own = limit.own.get_or_insert(Schedule::starting(start));
                own.reserve(interval, Duration::ZERO, patience, now)
            }
        }
    }

    /// Returns how long it is known that an upstream has no room for another request; `None` if it may have.
    #[must_use]
    pub fn full_for(&self, upstream: &str, now: Instant) -> Option<Duration> {
        let full_until = self.limits.get(upstream)?.full_until?;
        let left = full_until.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Records that the next request to an upstream is due only after `wait`.
    pub fn record_full(&mut self, upstream: &str, wait: Duration, now: Instant) {
        if let Some(limit) = self.limits.get_mut(upstream) {
            limit.full_until = Some(now + wait);
        }
    }

    /// Takes what this daemon has observed since the last call, to report it to the leader.
    pub fn take_unreported(&mut self, now: Instant) -> Vec<Entry> {
        let limits = self.limits.iter_mut();
        let unreported = limits.filter(|(_, limit)| limit.is_unreported);
        let entries = unreported.map(|(upstream, limit)| {
            limit.is_unreported = false;
            limit.entry(upstream, now)
        });
        entries.collect()
    }

    /// Reports again what is known to a new leader.
    ///
    /// This daemon's own schedules go on until the leader has answered. A suspended leader accepts one connection after
    /// the other, and schedules that start anew with each of them may never have a request due.
    pub fn follow(&mut self) {
        for limit in self.limits.values_mut() {
            limit.is_unreported = true;
        }
    }

    /// Ends this daemon's own schedules and what they said of room, as the leader schedules the requests of all daemons
    /// from now on.
    pub fn end_own_schedules(&mut self) {
        for limit in self.limits.values_mut() {
            limit.own = None;
            limit.full_until = None;
        }
    }

    /// Returns all limits, and those that have ended lately.
    #[must_use]
    pub fn entries(&self, now: Instant) -> Vec<Entry> {
        let limits = self.limits.iter();
        limits
            .map(|(upstream, limit)| limit.entry(upstream, now))
            .collect()
    }

    /// Takes over what another daemon knows.
    pub fn merge(&mut self, entries: &[Entry], phase: f64, now: Instant) {
        for entry in entries {
            let known_at = now.checked_sub(entry.age).unwrap_or(now);
            let known = self.limits.get(&entry.upstream);
            let is_news = known.is_none_or(|known| {
                (known.born, known.known_at) < (entry.born, known_at) && {
                    known.born < entry.born || known.rate != entry.rate
                }
            });
            if !is_news {
                continue;
            }
            let Some(rate) = entry.rate else {
                if let Some(known) = self.limits.get_mut(&entry.upstream) {
                    known.set_rate(None, now);
                    known.known_at = known_at;
                    self.version += 1;
                }
                continue;
            };
            let limit = self.limits.entry(entry.upstream.clone());
            let limit = limit.or_insert_with(|| Limit::new(entry.born, rate, phase, now));
            if limit.born < entry.born {
                *limit = Limit::new(entry.born, rate, phase, now);
            }
            limit.set_rate(Some(rate), now);
            limit.known_at = known_at;
            limit.is_unreported = false;
            self.version += 1;
        }
    }

    /// Forgets limits of upstreams that are no longer registered, and ends of limits.
    pub fn retain(&mut self, now: Instant, is_registered: impl Fn(&str) -> bool) {
        self.limits.retain(|upstream, limit| {
            let is_over = limit.rate.is_none() && now >= limit.known_at + END_TIME;
            !is_over && is_registered(upstream)
        });
    }

    /// Starts the schedule of all daemons' requests anew, as the earlier leader may have reserved some.
    pub fn lead(&mut self, now: Instant) {
        self.end_own_schedules();
        for limit in self.limits.values_mut() {
            let interval = interval(limit.rate.unwrap_or(0.0));
            limit.shared = Schedule::starting(now + interval);
        }
    }
}

impl Limit {
    fn new(born: Incarnation, rate: Rate, phase: f64, now: Instant) -> Self {
        let interval = interval(rate);
        Self {
            born,
            rate: Some(rate),
            known_at: now,
            is_unreported: true,
            shared: Schedule::starting(now + interval),
            own: None,
            phase,
            full_until: None,
        }
    }

    fn observe(&mut self, observation: Observation, now: Instant) -> bool {
        let is_old = observation.rate.is_none() && observation.sent_at <= self.known_at;
        if is_old {
            return false;
        }
        let has_changed = self.rate != observation.rate;
        if observation.rate.is_some() || has_changed {
            self.known_at = now;
        }
        self.set_rate(observation.rate, now);
        self.is_unreported |= has_changed;
        has_changed
    }

    fn set_rate(&mut self, rate: Option<Rate>, now: Instant) {
        if let Some(rate) = rate.filter(|rate| self.rate != Some(*rate)) {
            self.full_until = None;
            // Requests that are due at the times of a lower limit need not wait for them.
            self.shared.advance(now + interval(rate));
            self.own = None;
        }
        self.rate = rate;
    }

    fn entry(&self, upstream: &UpstreamId, now: Instant) -> Entry {
        Entry {
            upstream: upstream.clone(),
            born: self.born,
            rate: self.rate,
            age: now.saturating_duration_since(self.known_at),
        }
    }
}

impl Schedule {
    fn starting(next_at: Instant) -> Self {
        Self { next_at }
    }

    /// Makes the next request due at `latest` at the latest.
    fn advance(&mut self, latest: Instant) {
        self.next_at = self.next_at.min(latest);
    }

    /// Reserves the next request if it is due within `patience`.
    ///
    /// Times that were not used are lost, but for `burst`.
    fn reserve(
        &mut self,
        interval: Duration,
        burst: Duration,
        patience: Duration,
        now: Instant,
    ) -> Result<Duration, Duration> {
        let earliest = now.checked_sub(burst).unwrap_or(now);
        let next_at = self.next_at.max(earliest);
        let wait = next_at.saturating_duration_since(now);
        if wait > patience {
            return Err(wait);
        }
        self.next_at = next_at + interval;
        Ok(wait)
    }
}

fn interval(rate: Rate) -> Duration {
    let interval = Duration::try_from_secs_f64(1.0 / rate);
    interval.unwrap_or(INTERVAL_MAX).min(INTERVAL_MAX)
}
