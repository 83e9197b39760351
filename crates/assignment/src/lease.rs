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
    /// After how much time its grants have surely ended, counted from when it stopped.
    pub grants_end: Duration,
}

/// What a leader says once its lease has lapsed.
///
/// It gives no orders any more, unless it renews the lease by a write that it begins from here on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lapse {
    /// Its leadership.
    pub term: u64,
    /// The last [`Lead::beat`] of the writes that it had begun before.
    pub beat: u64,
    /// After how much time its grants have surely ended.
    pub grants_end: Duration,
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
    /// What a leader said last of its lease.
    lapse: Option<(Lapse, Duration)>,
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

    /// How long orders may still be sent.
    #[must_use]
    pub fn left(&self, now: Duration) -> Duration {
        self.until.saturating_sub(now)
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

    /// Notes that a leader says at `now` that its lease has lapsed.
    pub fn note_lapse(&mut self, lapse: Lapse, now: Duration) {
        self.lapse = Some((lapse, now));
    }

    /// When the grants of `lead` have ended, if it has stopped, or has said that its lease lapsed.
    #[must_use]
    pub fn grants_end(&self, lead: &Lead) -> Option<Duration> {
        if lead.is_over {
            return Some(self.since + lead.grants_end);
        }
        // An entry that was written since means that the leader has its right again.
        let said = self
            .lapse
            .filter(|(lapse, _)| lapse.term == lead.term && lead.beat <= lapse.beat);
        said.map(|(lapse, at)| at + lapse.grants_end)
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
        let has_yielded = self.grants_end(lead).is_some();
        has_yielded || is_own || now.saturating_sub(self.since) >= timing.patience
    }
}
