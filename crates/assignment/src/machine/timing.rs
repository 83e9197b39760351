//! Durations of grants and timeouts of orders.

use std::time::Duration;

use super::key_range::max_grant_duration;

use crate::order::{Action, Timeouts};

/// Durations of grants and timeouts of orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// The duration of a grant.
    pub grant_duration: Duration,
    /// The duration of a grant that is sent while the store is unreachable.
    pub grant_duration_max: Duration,
    /// How often a grant is renewed.
    pub renew_interval: Duration,
    /// The timeout of a grant.
    pub grant_timeout: Duration,
    /// The timeout of a grant on a new connection, from which a busy upstream does not read at
    /// once.
    pub new_connection_grant_timeout: Duration,
    /// How long after an order was sent on a new connection a busy upstream may still read it.
    pub read_delay_max: Duration,
    /// The timeout of a release.
    pub release_timeout: Duration,
    /// How long after a change of leader the previous leader may still send orders.
    pub predecessor_limit: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            grant_duration: Duration::from_secs(5),
            grant_duration_max: Duration::from_secs(10),
            renew_interval: Duration::from_millis(1_500),
            grant_timeout: Duration::from_millis(500),
            new_connection_grant_timeout: Duration::from_secs(2),
            read_delay_max: Duration::from_millis(4_500),
            release_timeout: Duration::from_secs(4),
            predecessor_limit: Duration::from_millis(1_300),
        }
    }
}

impl Timing {
    /// Returns how long after the timeout of an order on a new connection the upstream may still
    /// read it.
    pub(super) fn remaining_read_delay(&self) -> Duration {
        self.read_delay_max
            .saturating_sub(self.new_connection_grant_timeout)
    }

    /// Returns the timeouts of an order.
    #[must_use]
    pub fn timeouts(&self, action: &Action) -> Timeouts {
        match action {
            Action::Grant { .. } => Timeouts {
                answered: self.grant_timeout,
                new: self.new_connection_grant_timeout,
            },
            Action::Release => Timeouts {
                answered: self.release_timeout,
                new: self.release_timeout,
            },
        }
    }
}

/// Returns when all grants have expired that leaders sent before `now`, and that they may still send before
/// they find out that they lead no more.
#[must_use]
pub fn latest_grant_end(timing: &Timing, now: Duration) -> Duration {
    now + timing.predecessor_limit
        + timing.read_delay_max
        + max_grant_duration(timing.grant_duration_max)
}
