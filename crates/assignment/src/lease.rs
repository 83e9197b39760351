//! Who leads, and for how long.

use std::{net::SocketAddr, time::Duration};

use crate::DaemonName;
use serde::{Deserialize, Serialize};

/// Time limits of leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// How often the leader renews its lease.
    pub beat: Duration,
    /// How long a leader may give orders after it last renewed its lease.
    pub right: Duration,
    /// How long others let a leader go without a renewal before one of them takes over.
    pub patience: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            beat: Duration::from_millis(700),
            right: Duration::from_secs(3),
            patience: Duration::from_secs(2),
        }
    }
}

/// The store's entry that says who leads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lead {
    /// The daemon.
    pub name: DaemonName,
    /// Its run, which differs from those before.
    pub run: u64,
    /// Where it takes reports.
    pub address: SocketAddr,
    /// The leadership; later ones are higher.
    pub term: u64,
    /// Rises with each renewal.
    pub beat: u64,
    /// The number of the leader's newest table.
    pub number: u64,
    /// Whether the leader has stopped giving orders, so that another may begin at once.
    pub is_over: bool,
}

/// The leader's own right to give orders.
#[derive(Debug, Clone, Copy, Default)]
pub struct Lease {
    until: Duration,
}

/// What a daemon that does not lead has seen of the leader's entry.
#[derive(Debug, Default)]
pub struct Watch {
    seen: Option<(u64, u64)>,
    since: Duration,
}

impl Lease {
    /// Extends the right by a renewal that the store acknowledged and that was sent at `sent`.
    pub fn renew(&mut self, sent: Duration, timing: &Timing) {
        self.until = self.until.max(sent + timing.right);
    }

    /// Whether an order may be sent now.
    #[must_use]
    pub fn may_act(&self, now: Duration) -> bool {
        now < self.until
    }

    /// Ends the right.
    pub fn end(&mut self) {
        self.until = Duration::ZERO;
    }
}

impl Watch {
    /// Notes the entry as it was read at `now`.
    pub fn see(&mut self, lead: Option<&Lead>, now: Duration) {
        let seen = lead.map(|lead| (lead.term, lead.beat));
        if self.seen != seen {
            self.seen = seen;
            self.since = now;
        }
    }

    /// Whether the daemon `name` at `address` may take over from `lead` now.
    ///
    /// A daemon may follow its own earlier run at once, since that one has ended.
    #[must_use]
    pub fn may_take_over(
        &self,
        lead: Option<&Lead>,
        name: &str,
        address: SocketAddr,
        now: Duration,
        timing: &Timing,
    ) -> bool {
        let Some(lead) = lead else { return true };
        let is_own = &*lead.name == name && lead.address == address;
        lead.is_over || is_own || now.saturating_sub(self.since) >= timing.patience
    }
}
