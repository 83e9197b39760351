//! Durations of grants and timeouts of orders.

use std::time::Duration;

use crate::order::{Action, Limits};

/// Durations of grants and timeouts of orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// The duration of a grant.
    pub hold: Duration,
    /// The duration of a grant that is sent while the store is unreachable.
    pub hold_max: Duration,
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
            hold: Duration::from_secs(5),
            hold_max: Duration::from_secs(10),
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
    pub fn limits(&self, action: &Action) -> Limits {
        match action {
            Action::Grant { .. } => Limits {
                answered: self.grant_timeout,
                new: self.new_connection_grant_timeout,
            },
            Action::Release => Limits {
                answered: self.release_timeout,
                new: self.release_timeout,
            },
        }
    }
}
