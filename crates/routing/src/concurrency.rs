//! How many requests a daemon has in flight at an upstream, learnt from those that found it full.
//!
//! The places of an upstream are shared by all daemons, which do not know of each other's requests. So each of them
//! lowers its own limit when an upstream has no place, and raises it while requests are answered.

use std::time::Duration;

use crate::load::Report;
use tokio::time::Instant;

/// The factor by which a limit is lowered.
const DECREASE: f64 = 0.5;

/// By how much as many answers as the limit raise it. While callers ask for more than the upstream can do, each rise ends
/// with a request that finds it full.
const INCREASE: f64 = 0.25;

/// How long a limit stays after it was lowered. Requests that were sent before find the upstream full as well.
const DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// The lowest limit, with which a daemon finds out whether an upstream has places again.
const LIMIT_MIN: f64 = 1.0;

/// The maximum factor by which a report raises a limit, or lowers it below the maximum, so that a false report can
/// neither block nor flood an upstream.
const REPORT_FACTOR_MAX: f64 = 4.0;

/// The most requests that a daemon has in flight at an upstream.
#[derive(Debug, Clone, Copy, Default)]
pub struct Limit {
    /// The limit; `None` until a request found the upstream full.
    learnt: Option<f64>,
    decreased_at: Option<Instant>,
}

impl Limit {
    /// Returns whether one more request may be sent beside `in_flight`; never more than `max` are.
    #[must_use]
    pub fn allows(&self, in_flight: u32, max: u32) -> bool {
        let limit = self.learnt.unwrap_or(f64::INFINITY);
        in_flight < max && f64::from(in_flight) < limit.floor()
    }

    /// Records that a request found the upstream full, beside `in_flight` others of this daemon.
    pub fn record_full(&mut self, in_flight: u32, now: Instant) {
        let since = self
            .decreased_at
            .map(|at| now.saturating_duration_since(at));
        if since.is_some_and(|since| since < DECREASE_INTERVAL) {
            return;
        }
        let sent = f64::from(in_flight + 1);
        let limit = self.learnt.map_or(sent, |limit| limit.min(sent));
        self.learnt = Some((limit * DECREASE).max(LIMIT_MIN));
        self.decreased_at = Some(now);
    }

    /// Records that a request was answered, which raises the limit a little.
    pub fn record_answer(&mut self) {
        self.learnt = self.learnt.map(|limit| limit + INCREASE / limit);
    }

    /// Records a load report of an upstream. `own` of the reported requests are this daemon's, which never has more than
    /// `max` in flight there.
    ///
    /// Free slots raise a limit that was learnt before, up to the number of slots. A queue as long as the slots lowers it,
    /// since further requests would wait there longer than they run.
    pub fn record_report(&mut self, report: &Report, own: u32, max: u32, now: Instant) {
        let free = report.slots.saturating_sub(report.requests());
        if free > 0 {
            let slots = f64::from(report.slots);
            let room = f64::from(own + free).min(slots);
            let raise = |limit: f64| limit.max(room.min(limit * REPORT_FACTOR_MAX));
            self.learnt = self.learnt.map(raise);
        } else if report.waiting >= report.slots && own > 0 {
            let least = f64::from(max) / REPORT_FACTOR_MAX;
            let before = self.learnt.unwrap_or(f64::INFINITY);
            self.record_full(own - 1, now);
            self.learnt = self.learnt.map(|limit| limit.max(least.min(before)));
        }
    }
}
