//! The requests that upstreams get while they warm up.
//!
//! Each daemon knows which upstreams warm up ([`Warmups`]). One daemon, the leader, schedules the requests of all
//! daemons to these ([`Schedules`]); the others send none without its reservation.

use std::{collections::VecDeque, time::Duration};

use crate::{Incarnation, UpstreamId, registry::Upstream};
use copperwell_message::HashMap;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// How long after it is due a reservation may be used.
pub const RESERVATION_TTL: Duration = Duration::from_millis(200);

/// The window in which the requests to an upstream are bounded.
const WINDOW: Duration = Duration::from_secs(1);

/// How many requests may follow each other at once, as the time in which they would be due.
const BURST_TIME: Duration = Duration::from_millis(500);

/// The wait that is named for an upstream that gets no requests until it is warm.
const WAIT_MAX: Duration = Duration::from_secs(100);

/// The most reservations of one upstream that are remembered.
const RESERVATIONS_MAX: usize = 4_096;

/// How long after its last reservation a schedule is kept.
const SCHEDULE_TTL: Duration = Duration::from_secs(10);

/// The part by which the remaining time that an upstream names is extended, as clocks and reports differ.
const MARGIN_RATIO: f64 = 0.05;

/// The time by which it is extended in addition.
const MARGIN: Duration = Duration::from_millis(100);

/// The longest remaining time that is believed.
const LEFT_MAX: Duration = Duration::from_secs(300);

/// How long after an answer of an upstream new connections to it lead to the same process.
const CONFIRMED_TIME: Duration = Duration::from_secs(1);

/// The most health checks that are sent to an upstream because of one return from an evacuation. A list of a leader that
/// has not asked yet, or of an earlier release, makes a check be repeated.
const CHECKS_MAX: u32 = 3;

/// The least time between two of them.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// How far all daemons together may exceed the rate that a service names for upstreams that warm up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// The factor on the rate.
    pub overshoot: f64,
    /// The requests in any second beyond that.
    pub slack: f64,
}

/// The limit of an upstream of a service while it warms up.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// The requests a second that it takes.
    pub rate: f64,
    /// The most requests in any one second, from all daemons together.
    pub per_second: f64,
}

impl Limit {
    /// Returns the limit of upstreams that take `rate` requests a second.
    #[must_use]
    pub fn new(rate: f64, allowance: Allowance) -> Self {
        Self {
            rate,
            per_second: rate * allowance.overshoot + allowance.slack,
        }
    }

    /// Returns the most requests in any one second that one leader admits: half of the limit, as the leader before it
    /// may have admitted as many.
    #[must_use]
    pub fn share(&self) -> usize {
        // A conversion saturates, and turns what is no number into 0.
        ((self.per_second / 2.0).floor() as usize).min(RESERVATIONS_MAX)
    }

    /// Returns the interval between two requests; `None` if one leader can admit none.
    #[must_use]
    pub fn interval(&self) -> Option<Duration> {
        // A window of a second has the requests of 1.5 s and one more, because of the burst.
        let window_s = (WINDOW + BURST_TIME).as_secs_f64();
        let rate = self.rate.min((self.per_second / 2.0 - 1.0) / window_s);
        if self.share() == 0 || rate <= 0.0 {
            return None;
        }
        Duration::try_from_secs_f64(1.0 / rate).ok()
    }
}

/// What a daemon knows of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It has answered lately, and does not warm up.
    Warm,
    /// It warms up until this time.
    WarmingUp(Instant),
    /// Its process may have been started again since it was last heard.
    Unconfirmed,
}

/// What a daemon knows of all upstreams.
#[derive(Debug, Default)]
pub struct Warmups {
    upstreams: HashMap<UpstreamId, Known>,
}

/// What a health response says of an upstream that has returned from an evacuation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Confirmation {
    /// It is warm, and counts as that from now on. The evacuation has ended at this time.
    Warm(Instant),
    /// It says that it warms up.
    WarmingUp,
    /// Nothing: the health check was sent before this daemon knew what it is to refute, or to another run.
    Late,
    /// Nothing that matters: the upstream does not count as warming up because of a return.
    Unneeded,
}

#[derive(Debug, Default)]
struct Known {
    born: Incarnation,
    /// The remaining time in its last registration.
    registered_left: Duration,
    /// Until when it warms up by its registration.
    registered: Option<Claim>,
    /// Until when it warms up by its health responses.
    health_until: Option<Instant>,
    /// Its latest return from an evacuation.
    returned: Option<Return>,
    /// Whether it was seen to warm up since it was last reported as warm.
    was_cold: bool,
    /// When an answer of it last arrived.
    heard_at: Option<Instant>,
    /// When the latest request was sent that it has answered.
    answered_from: Option<Instant>,
    /// When a connection to it was last refused, lost or closed, or stopped responding.
    failed_at: Option<Instant>,
}

/// Something by which an upstream counts as warming up, that is not its own word at this moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Claim {
    /// When this daemon learned of it.
    since: Instant,
    until: Instant,
}

/// The return of an upstream from an evacuation.
#[derive(Debug, Clone, Copy)]
struct Return {
    born: Incarnation,
    /// When the evacuation ended, as this daemon knows.
    ended_at: Instant,
    claim: Claim,
    /// Whether a health response has shown that it was warm.
    is_confirmed: bool,
    /// When the next health check is due; `None` if no request needs it.
    check_due_at: Option<Instant>,
    /// The next health check is sent at this time at the earliest.
    check_from: Instant,
    is_check_in_flight: bool,
    /// The health checks that were sent.
    checks: u32,
}

impl Warmups {
    /// Records what the registration of an upstream says; returns whether the upstream has begun to warm up.
    ///
    /// A registration that has not been written since it was last seen says nothing new.
    pub fn record_registration(&mut self, upstream: &Upstream, now: Instant) -> bool {
        if upstream.warmup.is_zero() && !self.upstreams.contains_key(&upstream.id) {
            return false;
        }
        let known = self.entry(&upstream.id);
        let is_new_run = known.born != upstream.born;
        if is_new_run {
            known.born = upstream.born;
            known.heard_at = None;
            known.answered_from = None;
        }
        let is_unchanged = !is_new_run && known.registered_left == upstream.warmup;
        known.registered_left = upstream.warmup;
        if is_unchanged || upstream.warmup.is_zero() {
            return false;
        }
        let until = end_of(upstream.warmup, now);
        known.begin(now, |known| {
            let before = known.registered.map(|claim| claim.until);
            let until = before.map_or(until, |before| before.max(until));
            known.registered = Some(Claim { since: now, until });
        })
    }

    /// Records a health response to a request that was sent at `sent_at`; returns whether the upstream has begun to
    /// warm up.
    pub fn record_health(
        &mut self,
        id: &UpstreamId,
        left: Duration,
        sent_at: Instant,
        now: Instant,
    ) -> bool {
        let known = self.entry(id);
        known.record_heard(sent_at, now);
        if left.is_zero() {
            return false;
        }
        known.begin(now, |known| {
            known.health_until = known.health_until.max(Some(end_of(left, now)));
        })
    }

    /// Records that a run of an upstream gets requests again after an evacuation that has ended at `ended_at`, so that
    /// it may be cold for `left`; returns whether it has begun to warm up.
    ///
    /// A return that is known already says nothing new.
    pub fn record_return(
        &mut self,
        id: &UpstreamId,
        born: Incarnation,
        ended_at: Instant,
        left: Duration,
        now: Instant,
    ) -> bool {
        let known = self.entry(id);
        let is_known = |one: &Return| one.born == born && one.ended_at == ended_at;
        if left.is_zero() || known.returned.as_ref().is_some_and(is_known) {
            return false;
        }
        let claim = Claim {
            since: now,
            until: end_of(left, now),
        };
        known.begin(now, |known| {
            known.returned = Some(Return {
                born,
                ended_at,
                claim,
                is_confirmed: false,
                check_due_at: None,
                check_from: now,
                is_check_in_flight: false,
                checks: 0,
            });
        })
    }

    /// Records that a health check, sent at `sent_at` to the run `born` of an upstream, says that it warms up for `left`.
    ///
    /// A run that has returned from an evacuation and is warm does not count as warming up any more because of that, or
    /// by its registration: a daemon that leads lists the return as a registration. The check must have been sent after
    /// this daemon has learned of both, as the upstream may have become cold before.
    pub fn confirm_return(
        &mut self,
        id: &UpstreamId,
        born: Incarnation,
        left: Duration,
        sent_at: Instant,
        now: Instant,
    ) -> Confirmation {
        let known = self.upstreams.get_mut(id);
        let Some(known) = known.filter(|known| known.is_return_open(now)) else {
            return Confirmation::Unneeded;
        };
        let registered_since = known.registered.map(|claim| claim.since);
        let Some(returned) = known.returned.as_mut() else {
            return Confirmation::Unneeded;
        };
        let since = registered_since.max(Some(returned.claim.since));
        if born != returned.born || Some(sent_at) <= since {
            return Confirmation::Late;
        }
        if !left.is_zero() {
            // It is asked no more.
            returned.checks = CHECKS_MAX;
            return Confirmation::WarmingUp;
        }
        returned.is_confirmed = true;
        known.registered = None;
        Confirmation::Warm(returned.ended_at)
    }

    /// Returns whether health checks may show that upstreams which have returned from an evacuation are warm.
    #[must_use]
    pub fn has_returned(&self, now: Instant) -> bool {
        let mut upstreams = self.upstreams.values();
        upstreams.any(|known| {
            let returned = known.returned.as_ref();
            returned.is_some_and(|one| now < one.claim.until)
        })
    }

    /// Returns whether an upstream counts as warming up because it has returned from an evacuation, and a health check
    /// that nobody has asked for may show that it is warm.
    #[must_use]
    pub fn can_check(&self, id: &str, now: Instant) -> bool {
        let known = self.upstreams.get(id);
        known.is_some_and(|known| known.can_check(now))
    }

    /// Returns the upstreams that [can be checked](Self::can_check).
    #[must_use]
    pub fn unchecked(&self, now: Instant) -> Vec<UpstreamId> {
        let unchecked = self
            .upstreams
            .iter()
            .filter(|(_, known)| known.can_check(now));
        unchecked.map(|(id, _)| id.clone()).collect()
    }

    /// Has a health check be sent to an upstream `delay` from now, if it [can be checked](Self::can_check).
    pub fn request_check(&mut self, id: &str, delay: Duration, now: Instant) {
        let known = self.upstreams.get_mut(id);
        let known = known.filter(|known| known.can_check(now));
        if let Some(returned) = known.and_then(|known| known.returned.as_mut()) {
            returned.check_due_at = Some(returned.check_from.max(now + delay));
        }
    }

    /// Returns the upstreams to which a health check is sent now, of which at most `max` are in flight; each must be
    /// followed by [`Self::record_check_end`].
    pub fn take_due_checks(&mut self, max: usize, now: Instant) -> Vec<UpstreamId> {
        let returned = self.upstreams.values();
        let returned = returned.filter_map(|known| known.returned.as_ref());
        let in_flight = returned.filter(|one| one.is_check_in_flight).count();
        let mut due: Vec<_> = self
            .upstreams
            .iter_mut()
            .filter_map(|(id, known)| {
                let is_open = known.is_return_open(now);
                let returned = known.returned.as_mut()?;
                let due_at = returned.check_due_at.filter(|at| *at <= now)?;
                if !is_open {
                    returned.check_due_at = None;
                }
                is_open.then_some((due_at, id, returned))
            })
            .collect();
        due.sort_unstable_by(|one, other| (one.0, one.1).cmp(&(other.0, other.1)));
        let room = max.saturating_sub(in_flight);
        let due = due.into_iter().take(room).map(|(_, id, returned)| {
            returned.check_due_at = None;
            returned.is_check_in_flight = true;
            returned.checks += 1;
            returned.check_from = now + CHECK_INTERVAL;
            id.clone()
        });
        due.collect()
    }

    /// Records that a health check from [`Self::take_due_checks`] has ended, whatever came of it.
    pub fn record_check_end(&mut self, id: &str) {
        let known = self.upstreams.get_mut(id);
        if let Some(returned) = known.and_then(|known| known.returned.as_mut()) {
            returned.is_check_in_flight = false;
        }
    }

    /// Returns whether a health check to an upstream is due, or is in flight.
    #[must_use]
    pub fn awaits_check(&self, id: &str, now: Instant) -> bool {
        let known = self.upstreams.get(id);
        let known = known.filter(|known| known.is_return_open(now));
        let returned = known.and_then(|known| known.returned);
        returned.is_some_and(|one| one.is_check_in_flight || one.check_due_at.is_some())
    }

    /// Records an answer to a request that was sent at `sent_at`.
    pub fn record_answer(&mut self, id: &UpstreamId, sent_at: Instant, now: Instant) {
        self.entry(id).record_heard(sent_at, now);
    }

    /// Records that a connection to an upstream was refused, lost or closed, or stopped responding, at `at`.
    pub fn record_failure(&mut self, id: &UpstreamId, at: Instant) {
        let known = self.entry(id);
        known.failed_at = known.failed_at.max(Some(at));
    }

    /// Returns what is known of an upstream.
    #[must_use]
    pub fn state(&self, id: &str, now: Instant) -> State {
        let Some(known) = self.upstreams.get(id) else {
            return State::Unconfirmed;
        };
        if let Some(warm_at) = known.warm_at(now) {
            return State::WarmingUp(warm_at);
        }
        match known.is_confirmed(now) {
            true => State::Warm,
            false => State::Unconfirmed,
        }
    }

    /// Returns whether a new connection leads to the process that was last heard, whether or not that warms up.
    #[must_use]
    pub fn is_confirmed(&self, id: &str, now: Instant) -> bool {
        let known = self.upstreams.get(id);
        known.is_some_and(|known| known.is_confirmed(now))
    }

    /// Returns how much longer an upstream warms up; `None` if it does not.
    #[must_use]
    pub fn left(&self, id: &str, now: Instant) -> Option<Duration> {
        match self.state(id, now) {
            State::WarmingUp(until) => Some(until.saturating_duration_since(now)),
            State::Warm | State::Unconfirmed => None,
        }
    }

    /// Returns the number of upstreams that warm up.
    #[must_use]
    pub fn warming_up(&self, now: Instant) -> usize {
        let upstreams = self.upstreams.values();
        upstreams
            .filter(|known| known.warm_at(now).is_some())
            .count()
    }

    /// Returns the upstreams whose warm-up has ended since the last call.
    pub fn take_warm(&mut self, now: Instant) -> Vec<UpstreamId> {
        let upstreams = self.upstreams.iter_mut();
        let warm = upstreams.filter(|(_, known)| known.was_cold && known.warm_at(now).is_none());
        let warm = warm.map(|(id, known)| {
            known.was_cold = false;
            id.clone()
        });
        warm.collect()
    }

    /// Forgets upstreams that are no longer registered.
    pub fn retain(&mut self, is_registered: impl Fn(&str) -> bool) {
        self.upstreams.retain(|id, _| is_registered(id));
    }

    fn entry(&mut self, id: &UpstreamId) -> &mut Known {
        self.upstreams.entry(id.clone()).or_default()
    }
}

impl Known {
    fn is_confirmed(&self, now: Instant) -> bool {
        let heard_at = self.heard_at.filter(|at| now < *at + CONFIRMED_TIME);
        // An answer shows that failures before its request are over.
        heard_at.is_some() && self.failed_at < self.answered_from
    }

    fn record_heard(&mut self, sent_at: Instant, now: Instant) {
        self.heard_at = self.heard_at.max(Some(now));
        self.answered_from = self.answered_from.max(Some(sent_at));
    }

    /// Returns until when it warms up by its registration or a return, if it does.
    fn claimed_until(&self) -> Option<Instant> {
        let returned = self.returned.filter(|one| !one.is_confirmed);
        let returned = returned.map(|one| one.claim.until);
        self.registered.map(|claim| claim.until).max(returned)
    }

    /// Returns the latest end of its warm-up that anything names, if it is not over.
    fn warm_at(&self, now: Instant) -> Option<Instant> {
        let warm_at = self.claimed_until().max(self.health_until);
        warm_at.filter(|at| now < *at)
    }

    /// Returns whether it has returned lately and counts as warming up, not only by its own word.
    fn is_return_open(&self, now: Instant) -> bool {
        let returned = self.returned.as_ref();
        returned.is_some_and(|one| now < one.claim.until)
            && self.claimed_until().is_some_and(|until| now < until)
    }

    fn can_check(&self, now: Instant) -> bool {
        let returned = self.returned.as_ref();
        self.is_return_open(now)
            && returned.is_some_and(|one| {
                one.check_due_at.is_none() && !one.is_check_in_flight && one.checks < CHECKS_MAX
            })
    }

    /// Records with `change` that it warms up; returns whether it has begun with that.
    fn begin(&mut self, now: Instant, change: impl FnOnce(&mut Self)) -> bool {
        let was_warm = self.warm_at(now).is_none();
        change(self);
        self.was_cold = true;
        was_warm
    }
}

/// Returns when an upstream is warm that names `left` as the remaining time.
fn end_of(left: Duration, now: Instant) -> Instant {
    now + left.min(LEFT_MAX).mul_f64(1.0 + MARGIN_RATIO) + MARGIN
}

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
    /// Reserves the next request to an upstream, if it is due within `patience`, and returns how long it has to wait.
    ///
    /// Any window of a second has at most [`Limit::share`] requests, even if each is sent [`RESERVATION_TTL`] after it
    /// is due.
    ///
    /// # Errors
    ///
    /// Returns how long it would have to wait if that is longer than `patience`.
    pub fn reserve(
        &mut self,
        upstream: &UpstreamId,
        limit: Limit,
        patience: Duration,
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
        schedule.reserve(interval, limit.share(), patience, now)
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
        patience: Duration,
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
        if wait > patience {
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
