//! What upstreams report of their own load, and how much of it a daemon believes.

use std::time::Duration;

use tokio::time::Instant;

/// The time in which the weight of a report halves. Requests take a few hundred milliseconds, so the requests that were
/// reported have mostly ended after two or three of these.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(100);

/// The time in which the weight of a reported pace halves. Upstreams share machines, and their pace changes as fast.
const PACE_HALF_LIFE: Duration = Duration::from_millis(400);

/// The most by which a report multiplies or divides the cost of an upstream. A false report then neither attracts nor
/// diverts all requests.
const FACTOR_MAX: f64 = 4.0;

/// The power of the reported pace by which costs are multiplied. In full, a pace that is told a second late lengthened
/// requests by 19 % in simulations (500 a second), and by 10 % so, while a true one shortens them alike.
const PACE_EXPONENT: f64 = 0.5;

/// The cost factor of an upstream that reports to be idle.
const IDLE_FACTOR: f64 = 0.6;

/// The cost factor of an upstream that reports to be full. With one that has a free slot it outweighs the usual difference
/// in speed of upstreams; higher ones gain little, and cost more where reports are late.
const FULL_FACTOR: f64 = 2.0;

/// The running requests for each slot above which a report is implausible.
const RUNNING_PER_SLOT_MAX: u32 = 4;

/// The number of slots or waiting requests above which a report is implausible.
const COUNT_MAX: u32 = 10_000;

/// The pace above which a report is implausible, and below whose inverse it is.
const PACE_MAX: f64 = 100.0;

/// What an upstream reports of its load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Report {
    /// The requests of all daemons that run.
    pub running: u32,
    /// The requests of all daemons that wait for a slot.
    pub waiting: u32,
    /// The requests that it runs concurrently.
    pub slots: u32,
    /// How long work takes now, as a multiple of the usual time; `None` if the upstream does not say.
    pub pace: Option<f64>,
}

/// An upstream's answer has a report that cannot be true.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidReport;

impl Report {
    /// Checks that a report can be true.
    ///
    /// # Errors
    ///
    /// [`InvalidReport`] if it has no slots, far more requests than slots, or an impossible pace.
    pub fn check(self) -> Result<Self, InvalidReport> {
        let is_count = self.slots.max(self.waiting) <= COUNT_MAX;
        let running_max = self.slots.saturating_mul(RUNNING_PER_SLOT_MAX);
        let paces = 1.0 / PACE_MAX..=PACE_MAX;
        let is_pace = self.pace.is_none_or(|pace| paces.contains(&pace));
        let is_plausible = self.slots > 0 && is_count && self.running <= running_max && is_pace;
        is_plausible.then_some(self).ok_or(InvalidReport)
    }

    /// Returns the requests that run or wait.
    pub(crate) fn requests(&self) -> u32 {
        self.running + self.waiting
    }
}

/// The last report of an upstream, without this daemon's own requests, which it knows better.
#[derive(Debug, Clone, Copy)]
pub(super) struct Known {
    /// The requests of other daemons that ran or waited.
    others: f64,
    slots: f64,
    pace: f64,
    at: Instant,
}

impl Known {
    /// Creates the record of a report that counts `own` requests of this daemon.
    pub(super) fn new(report: Report, own: u32, now: Instant) -> Self {
        Self {
            others: f64::from(report.requests().saturating_sub(own)),
            slots: f64::from(report.slots),
            pace: report.pace.unwrap_or(1.0),
            at: now,
        }
    }

    /// Returns how long ago the report arrived.
    pub(super) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.at)
    }

    /// Returns the factor that a report sets for the cost of an upstream with `in_flight` requests of this daemon, closer
    /// to 1 the older the report is.
    pub(super) fn factor(&self, in_flight: u32, now: Instant) -> f64 {
        let age_s = self.age(now).as_secs_f64();
        let weight = |half_life: Duration| 0.5_f64.powf(age_s / half_life.as_secs_f64());
        let occupied = (self.others + f64::from(in_flight)) / self.slots;
        let load = if occupied < 1.0 {
            IDLE_FACTOR + (1.0 - IDLE_FACTOR) * occupied
        } else {
            (FULL_FACTOR + occupied - 1.0).min(FACTOR_MAX)
        };
        let load = load.powf(weight(LOAD_HALF_LIFE));
        let pace = self.pace.powf(PACE_EXPONENT * weight(PACE_HALF_LIFE));
        (load * pace).clamp(1.0 / FACTOR_MAX, FACTOR_MAX)
    }
}
