//! Time limits of grants and orders.

use std::time::Duration;

use crate::order::{Action, Limits};

/// Time limits of grants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// How long a grant lasts.
    pub hold: Duration,
    /// How long a grant lasts that is given while the store does not answer.
    pub hold_max: Duration,
    /// How often a grant is renewed.
    pub renew: Duration,
    /// How long a grant's answer may take.
    pub order_limit: Duration,
    /// How long it may take on a new connection, which a busy upstream does not read at once.
    pub new_order_limit: Duration,
    /// How long after it was sent on a new connection a busy upstream may read an order.
    pub read: Duration,
    /// How long a release's answer may take.
    pub release_limit: Duration,
    /// How long after a change of leader the earlier one may still give orders.
    pub predecessor: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            hold: Duration::from_secs(5),
            hold_max: Duration::from_secs(10),
            renew: Duration::from_millis(1_500),
            order_limit: Duration::from_millis(500),
            new_order_limit: Duration::from_secs(2),
            read: Duration::from_millis(4_500),
            release_limit: Duration::from_secs(4),
            predecessor: Duration::from_millis(1_300),
        }
    }
}

impl Timing {
    /// How long after an order was given up on a new connection the upstream may still read it.
    pub(super) fn unread(&self) -> Duration {
        self.read.saturating_sub(self.new_order_limit)
    }

    /// How long an order may take.
    #[must_use]
    pub fn limits(&self, action: &Action) -> Limits {
        match action {
            Action::Grant { .. } => Limits {
                answered: self.order_limit,
                new: self.new_order_limit,
            },
            Action::Release => Limits {
                answered: self.release_limit,
                new: self.release_limit,
            },
        }
    }
}
