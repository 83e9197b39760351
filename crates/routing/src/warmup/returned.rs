//! Health checks of upstreams that have returned from an evacuation, which may show that they are warm.

use std::time::Duration;

use super::{
    Warmups,
    known::{Claim, Known},
};
use crate::{Incarnation, UpstreamId};
use tokio::time::Instant;

/// The most health checks that are sent to an upstream because of one return from an evacuation. A list of a leader that
/// has not asked yet, or of an earlier release, makes a check be repeated.
const CHECKS_MAX: u32 = 3;

/// The least time between two of them.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

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

/// The return of an upstream from an evacuation.
#[derive(Debug, Clone, Copy)]
pub(super) struct Return {
    pub(super) born: Incarnation,
    /// When the evacuation ended, as this daemon knows.
    pub(super) ended_at: Instant,
    pub(super) claim: Claim,
    /// Whether a health response has shown that it was warm.
    pub(super) is_confirmed: bool,
    /// When the next health check is due; `None` if no request needs it.
    check_due_at: Option<Instant>,
    /// The next health check is sent at this time at the earliest.
    check_from: Instant,
    is_check_in_flight: bool,
    /// The health checks that were sent.
    checks: u32,
}

impl Warmups {
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
}

impl Return {
    /// Creates the record of a return for which no health check was sent yet.
    pub(super) fn new(born: Incarnation, ended_at: Instant, claim: Claim) -> Self {
        Self {
            born,
            ended_at,
            claim,
            is_confirmed: false,
            check_due_at: None,
            check_from: claim.since,
            is_check_in_flight: false,
            checks: 0,
        }
    }
}

impl Known {
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
}
