//! One range of keys, and the orders about it.

use std::time::Duration;

use super::{Observation, Timing, holder::State};
use crate::{
    Fence, Holder,
    expiry::Expiry,
    order::{Action, Order, Outcome},
    plan::Range,
};
use copperwell_message::HashMap;
use copperwell_routing::{Incarnation, Key, UpstreamId};

/// How much longer a grant may last by the holder's clock, as a share of its duration.
const CLOCK_DRIFT_MAX: f64 = 0.02;

/// An addition to the end of a grant, for scheduling delays on both sides.
const SCHEDULING_MARGIN: Duration = Duration::from_millis(150);

/// The delay between publishing that no upstream serves a range and sending the release, so that
/// daemons already hold requests back.
const RELEASE_NOTICE: Duration = Duration::from_millis(8);

/// How long after a failed order the next one follows.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// A range of keys and its state.
#[derive(Debug, Clone)]
pub(super) struct KeyRange {
    pub(super) first: Key,
    pub(super) last: Key,
    pub(super) holder: Option<Holder>,
    pub(super) fence: Fence,
    pub(super) stage: Stage,
    /// Whether the range is to be taken from its holder.
    pub(super) is_migrating: bool,
    /// The next holder, if it is already chosen.
    pub(super) target: Option<Holder>,
    /// Whether an order about the range is in flight.
    pub(super) has_order_in_flight: bool,
    /// When the next order is due.
    pub(super) due: Duration,
    /// When the holder's grant has expired, even by the slowest clock.
    pub(super) grant_end: Duration,
    /// When the grant in flight expires, if it arrives as late as possible.
    pub(super) in_flight_until: Duration,
    /// Until when an order may arrive that is unknown to this leader or whose outcome is unknown.
    pub(super) uncertain_until: Duration,
    /// The highest fencing token of such an order.
    pub(super) uncertain_fence: Fence,
    /// A text that the last holder left for the next one, which is passed on as it is.
    pub(super) handover: Option<String>,
}

/// The stage of the assignment of a range.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// The range has no holder.
    Free,
    /// The holder or the fencing token is new and not stored yet.
    Unstored {
        /// The edition of the plan that must be stored.
        edition: u64,
        /// Whether the holder serves the range under a lower fencing token meanwhile.
        is_served: bool,
    },
    /// Grants are sent to the holder.
    Granted {
        /// Whether the holder has confirmed a grant, or is named by the plan of an earlier leader.
        is_served: bool,
    },
    /// The holder is asked to release the range.
    Releasing,
}

impl KeyRange {
    pub(super) fn from_plan(range: Range, uncertain_until: Duration, now: Duration) -> Self {
        let is_held = range.holder.is_some();
        Self {
            first: range.first,
            last: range.last,
            holder: range.holder,
            fence: range.fence,
            stage: if is_held {
                Stage::Granted { is_served: true }
            } else {
                Stage::Free
            },
            is_migrating: false,
            target: None,
            has_order_in_flight: false,
            due: now,
            grant_end: uncertain_until,
            in_flight_until: Duration::ZERO,
            uncertain_until: if is_held {
                uncertain_until
            } else {
                Duration::ZERO
            },
            uncertain_fence: range.fence,
            handover: None,
        }
    }

    /// Returns the range as part of a plan.
    pub(super) fn to_plan(&self) -> Range {
        Range {
            first: self.first,
            last: self.last,
            holder: self.holder.clone(),
            fence: self.fence,
        }
    }

    /// Limits the time until which grants of earlier leaders may be in force.
    pub(super) fn limit_uncertainty(&mut self, until: Duration) {
        self.grant_end = self.grant_end.min(until);
        self.uncertain_until = self.uncertain_until.min(until);
    }

    /// Returns the expiry of the holder's grants if the range is being released, after which it is granted only with a
    /// higher fencing token; `None` otherwise.
    pub(super) fn expiry(&self, now: Duration) -> Option<Expiry> {
        let is_releasing = self.stage == Stage::Releasing && self.holder.is_some();
        is_releasing.then(|| Expiry {
            first: self.first,
            last: self.last,
            fence: self.fence,
            left: self.latest_grant_end().saturating_sub(now),
        })
    }

    /// Returns whether `order` is the one that is in flight.
    pub(super) fn is_awaiting(&self, order: &Order) -> bool {
        self.has_order_in_flight
            && self.first == order.first
            && self.last == order.last
            && self.fence == order.fence
            && self.holder.as_ref() == Some(&order.holder)
    }

    /// Returns when all that was granted to the holder has expired, whatever the outcome of an
    /// order in flight.
    pub(super) fn latest_grant_end(&self) -> Duration {
        self.grant_end
            .max(self.uncertain_until)
            .max(self.in_flight_until)
    }

    /// Returns whether requests for the range are routed to its holder.
    pub(super) fn is_served(&self) -> bool {
        match self.stage {
            Stage::Granted { is_served } | Stage::Unstored { is_served, .. } => is_served,
            Stage::Free | Stage::Releasing => false,
        }
    }

    /// Sets a new fencing token, which must be stored before it is used.
    pub(super) fn set_fence(&mut self, fence: Fence, edition: u64) {
        let is_served = self.is_served();
        self.fence = fence;
        self.stage = Stage::Unstored { edition, is_served };
    }

    /// Assigns the range to the next run of its holder.
    pub(super) fn reassign_to_run(&mut self, born: Incarnation, fence: Fence, edition: u64) {
        if let Some(holder) = &mut self.holder {
            holder.born = born;
        }
        if self.has_order_in_flight {
            // The new run may apply a grant that was sent to the earlier run, until it has seen the higher token.
            self.uncertain_until = self.uncertain_until.max(self.in_flight_until);
            self.uncertain_fence = self.fence;
        }
        self.stage = Stage::Free;
        self.has_order_in_flight = false;
        self.handover = None;
        self.set_fence(fence, edition);
    }

    /// Takes the range from its holder; `handover` is for the next one.
    pub(super) fn free(&mut self, handover: Option<String>) {
        self.holder = None;
        self.stage = Stage::Free;
        self.is_migrating = false;
        self.has_order_in_flight = false;
        self.handover = handover;
        self.uncertain_until = Duration::ZERO;
        self.grant_end = Duration::ZERO;
    }

    /// Advances the migration of a range by one step; returns whether the plan changed.
    ///
    /// `is_responsive` says whether the holder answers orders.
    pub(super) fn advance_migration(
        &mut self,
        now: Duration,
        is_responsive: bool,
        fence: &mut Fence,
        edition: u64,
    ) -> bool {
        let is_blocked = self.has_order_in_flight && self.stage != Stage::Releasing;
        if !self.is_migrating || is_blocked {
            return false;
        }
        if now >= self.grant_end.max(self.uncertain_until) {
            let handover = self.handover.take();
            self.free(handover);
            return true;
        }
        if !matches!(self.stage, Stage::Granted { .. }) {
            return false;
        }
        if now < self.uncertain_until && is_responsive {
            if self.fence > self.uncertain_fence {
                // The grant with a higher token is due, and its outcome decides.
                return false;
            }
            // Once it has seen a higher token, the holder refuses late orders.
            *fence += 1;
            self.set_fence(*fence, edition);
            return true;
        }
        self.stage = Stage::Releasing;
        self.due = now + RELEASE_NOTICE;
        false
    }

    /// Returns the order that is due now, if there is one.
    pub(super) fn next_order(
        &mut self,
        now: Duration,
        observation: &Observation<'_>,
        states: &HashMap<UpstreamId, State>,
        timing: &Timing,
        has_long_grants: bool,
    ) -> Option<Order> {
        let holder = self.holder.as_ref()?;
        if self.has_order_in_flight || now < self.due {
            return None;
        }
        let state = states.get(&holder.id)?;
        let action = match self.stage {
            Stage::Granted { .. } => {
                if state
                    .broken_at
                    .is_some_and(|broken_at| observation.list_read_at <= broken_at)
                {
                    return None;
                }
                let hold = match has_long_grants {
                    true => timing.grant_duration_max,
                    false => timing.grant_duration,
                };
                self.in_flight_until = now + timing.read_delay_max + max_grant_duration(hold);
                Action::Grant {
                    hold,
                    handover: self.handover.clone(),
                }
            }
            Stage::Releasing => Action::Release,
            Stage::Free | Stage::Unstored { .. } => return None,
        };
        self.has_order_in_flight = true;
        Some(Order {
            holder: holder.clone(),
            address: state.address,
            first: self.first,
            last: self.last,
            fence: self.fence,
            action,
        })
    }

    /// Applies the outcome of a grant; `false` if the holder has seen a higher fencing token.
    pub(super) fn apply_grant(
        &mut self,
        hold: Duration,
        outcome: &Outcome,
        now: Duration,
        timing: &Timing,
    ) -> bool {
        let grant_end = now + max_grant_duration(hold);
        self.in_flight_until = Duration::ZERO;
        match outcome {
            Outcome::Done { .. } => {
                self.grant_end = self.grant_end.max(grant_end);
                self.handover = None;
                self.due = now + timing.renew_interval;
                if self.fence > self.uncertain_fence {
                    // The holder refuses orders that are still in flight.
                    self.uncertain_until = Duration::ZERO;
                }
                if let Stage::Granted { is_served } = &mut self.stage {
                    *is_served = true;
                }
            }
            Outcome::Unknown | Outcome::Foreign | Outcome::Broken => {
                self.mark_uncertain(grant_end, now);
            }
            Outcome::UnreadOnNewConnection => {
                self.mark_uncertain(grant_end + timing.remaining_read_delay(), now)
            }
            Outcome::Refused | Outcome::Unsent => self.due = now + RETRY_DELAY,
            Outcome::Fenced | Outcome::Misdirected => return false,
        }
        true
    }

    /// Records that a grant may be in force until `grant_end`.
    fn mark_uncertain(&mut self, grant_end: Duration, now: Duration) {
        self.grant_end = self.grant_end.max(grant_end);
        self.uncertain_until = self.uncertain_until.max(grant_end);
        self.uncertain_fence = self.fence;
        self.due = now + RETRY_DELAY;
    }

    /// Applies the outcome of a release.
    pub(super) fn apply_release(&mut self, outcome: Outcome, now: Duration) {
        match outcome {
            Outcome::Done { handover } if now >= self.uncertain_until => self.free(handover),
            Outcome::Done { handover } => {
                // A late grant could give the range back to the holder until then.
                self.handover = handover;
                self.grant_end = self.uncertain_until;
                self.due = self.uncertain_until;
            }
            _ => self.due = now + RETRY_DELAY,
        }
    }
}

/// Returns how long a grant may last by the slowest clock, with [`SCHEDULING_MARGIN`].
pub(super) fn max_grant_duration(hold: Duration) -> Duration {
    hold.mul_f64(1.0 + CLOCK_DRIFT_MAX) + SCHEDULING_MARGIN
}
