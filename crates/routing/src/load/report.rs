//! Load reports of upstreams, and how they change the cost by which a daemon selects upstreams.

use std::time::Duration;

use tokio::time::Instant;

/// The half-life of the weight of reported requests. Requests take a few hundred milliseconds, so most of those that
/// were reported have ended after two or three half-lives.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(100);

/// The half-life of the weight of a reported pace. Upstreams share machines, and their pace changes within this time.
const PACE_HALF_LIFE: Duration = Duration::from_millis(400);

/// The maximum factor by which a report multiplies or divides the cost of an upstream, so that a false report can
/// neither attract nor divert all requests.
const FACTOR_MAX: f64 = 4.0;

/// The exponent of the reported pace in the cost. With an exponent of 1, paces that are reported late make requests longer
/// by about twice as much, and accurate ones make them no shorter.
const PACE_EXPONENT: f64 = 0.5;

/// The cost factor of an upstream that reports no requests.
const IDLE_FACTOR: f64 = 0.6;

/// The cost factor of an upstream that reports all slots occupied. It outweighs the usual difference in speed between a
/// full upstream and one with a free slot. Higher factors gain little, and cost more if reports are late.
const FULL_FACTOR: f64 = 2.0;

/// The maximum plausible number of running requests per slot.
const RUNNING_PER_SLOT_MAX: u32 = 4;

/// The maximum plausible number of slots or of waiting requests.
const COUNT_MAX: u32 = 10_000;

/// The maximum plausible pace; the minimum is its inverse.
const PACE_MAX: f64 = 100.0;

/// The load of an upstream, as the upstream reports it in its responses.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Report {
    /// The number of running requests, of all daemons.
    pub running: u32,
    /// The number of requests that wait for a slot, of all daemons.
    pub waiting: u32,
    /// The maximum number of requests that run concurrently.
    pub slots: u32,
    /// How long work currently takes, as a multiple of the usual time; `None` if the upstream does not report it.
    pub pace: Option<f64>,
}

/// A report has values that are not plausible.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidReport;

impl Report {
    /// Checks that the values of a report are plausible.
    ///
    /// # Errors
    ///
    /// [`InvalidReport`] if a value is not plausible: no slots, far more running requests than slots, or a pace out of
    /// range.
    pub fn check(self) -> Result<Self, InvalidReport> {
        let is_count = self.slots.max(self.waiting) <= COUNT_MAX;
        let running_max = self.slots.saturating_mul(RUNNING_PER_SLOT_MAX);
        let paces = 1.0 / PACE_MAX..=PACE_MAX;
        let is_pace = self.pace.is_none_or(|pace| paces.contains(&pace));
        let is_plausible = self.slots > 0 && is_count && self.running <= running_max && is_pace;
        is_plausible.then_some(self).ok_or(InvalidReport)
    }

    /// Returns the number of requests that run or wait.
    pub(crate) fn requests(&self) -> u32 {
        self.running + self.waiting
    }
}

/// The last report of an upstream, without this daemon's own requests. The daemon has their current number.
#[derive(Debug, Clone, Copy)]
pub(super) struct Known {
    /// The number of other daemons' requests that ran or waited.
    others: f64,
    slots: f64,
    pace: f64,
    at: Instant,
}

impl Known {
    /// Creates the record of a report that includes `own` requests of this daemon.
    pub(super) fn new(report: Report, own: u32, now: Instant) -> Self {
        Self {
            others: f64::from(report.requests().saturating_sub(own)),
            slots: f64::from(report.slots),
            pace: report.pace.unwrap_or(1.0),
            at: now,
        }
    }

    /// Returns the time since the report arrived.
    pub(super) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.at)
    }

    /// Returns the factor for the cost of an upstream at which this daemon has `in_flight` requests. It approaches 1 as
    /// the report ages.
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
