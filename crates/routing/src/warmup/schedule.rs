//! The leader's schedule of the requests to upstreams that warm up.

use std::{collections::VecDeque, time::Duration};

use super::limit::{BURST_TIME, Limit, RESERVATIONS_MAX, WINDOW};
use crate::UpstreamId;
use copperwell_message::HashMap;
use tokio::time::Instant;

/// How long after it is due a reservation may be used.
pub const RESERVATION_TTL: Duration = Duration::from_millis(200);

/// The wait that is named for an upstream that gets no requests until it is warm.
const WAIT_MAX: Duration = Duration::from_secs(100);

/// How long after its last reservation a schedule is kept.
const SCHEDULE_TTL: Duration = Duration::from_secs(10);

/// The times at which the requests of all daemons to upstreams that warm up are due.
///
/// A schedule holds for all runs of an upstream: daemons hear of a new run at different times, and those that have
/// not must not have a schedule of their own.
#[derive(Debug, Default)]
pub struct Schedules {
    schedules: HashMap<UpstreamId, Schedule>,
}

#[derive(Debug)]
struct Schedule {
    /// When the next request is due by the rate.
    next_at: Instant,
    /// When the latest requests were due, in order.
    due: VecDeque<Instant>,
}

impl Schedules {
    /// Reserves the next request to an upstream, if it is due within `wait_max`, and returns how long it has to wait.
    ///
    /// Any window of a second has at most [`Limit::share`] requests, even if each is sent [`RESERVATION_TTL`] after it
    /// is due.
    ///
    /// # Errors
    ///
    /// Returns how long it would have to wait if that is longer than `wait_max`.
    pub fn reserve(
        &mut self,
        upstream: &UpstreamId,
        limit: Limit,
        wait_max: Duration,
        now: Instant,
    ) -> Result<Duration, Duration> {
        let Some(interval) = limit.interval() else {
            return Err(WAIT_MAX);
        };
        let schedule = self.schedules.entry(upstream.clone());
        let schedule = schedule.or_insert_with(|| Schedule {
            next_at: now,
            due: VecDeque::new(),
        });
        schedule.reserve(interval, limit.share(), wait_max, now)
    }

    /// Forgets schedules that have not been used for a time.
    pub fn retain(&mut self, now: Instant) {
        self.schedules.retain(|_, schedule| {
            let last = schedule.due.back();
            last.is_some_and(|last| now < *last + SCHEDULE_TTL)
        });
    }
}

impl Schedule {
    fn reserve(
        &mut self,
        interval: Duration,
        share: usize,
        wait_max: Duration,
        now: Instant,
    ) -> Result<Duration, Duration> {
        let earliest = now.checked_sub(BURST_TIME).unwrap_or(now);
        let next_at = self.next_at.max(earliest);
        let mut due = next_at.max(now);
        // A request may be sent late while the next one is sent on time.
        let window = WINDOW + RESERVATION_TTL;
        if let Some(first) = self.due.len().checked_sub(share) {
            due = due.max(self.due[first] + window);
        }
        let wait = due.saturating_duration_since(now);
        if wait > wait_max {
            return Err(wait.min(WAIT_MAX));
        }
        self.next_at = next_at + interval;
        self.due.push_back(due);
        while self.due.len() > RESERVATIONS_MAX
            || self.due.front().is_some_and(|first| *first + window <= now)
        {
            self.due.pop_front();
        }
        Ok(wait)
    }
}
