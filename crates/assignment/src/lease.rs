//! The leader's lease, and the rules by which another daemon takes over.

use std::{net::SocketAddr, time::Duration};

use crate::DaemonName;
use serde::{Deserialize, Serialize};

/// Intervals and timeouts of the leader's lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// How often the leader renews its lease.
    pub renew_interval: Duration,
    /// How long a renewed lease allows the leader to send orders.
    pub duration: Duration,
    /// How long the leader's entry must stay unchanged before another daemon takes over.
    pub takeover_timeout: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            renew_interval: Duration::from_millis(700),
            duration: Duration::from_secs(3),
            takeover_timeout: Duration::from_secs(2),
        }
    }
}

/// The store entry that names the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderEntry {
    /// The name of the leader.
    pub name: DaemonName,
    /// The number of the leader's run, different for each start of the daemon.
    pub run: u64,
    /// The address at which the leader accepts reports.
    pub address: SocketAddr,
    /// The term of leadership; later terms have higher numbers.
    pub term: u64,
    /// Increases with each renewal.
    pub beat: u64,
    /// The number of the leader's newest routing tables within the term.
    pub number: u64,
    /// Whether the leader has stopped sending orders, so that another daemon can lead at once.
    pub is_over: bool,
    /// The time from when the leader stopped until all of its grants have expired.
    pub grants_end: Duration,
    /// The generation of the log in which the entry was written. If the log has a later one, later entries may
    /// be lost.
    pub generation: u64,
    /// The time from when the entry was written until all grants have expired that no plan names, since a plan was
    /// lost.
    pub unknown_for: Duration,
}

/// Announcement by a leader that its lease has lapsed.
///
/// From then on it sends no orders, unless a write that it starts later renews the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lapse {
    /// The term of the leader.
    pub term: u64,
    /// The highest [`LeaderEntry::beat`] among the writes that the leader had started before.
    pub beat: u64,
    /// The time from the announcement until all grants of this leader have expired.
    pub grants_end: Duration,
}

/// The leader's own lease, which allows it to send orders.
#[derive(Debug, Clone, Copy, Default)]
pub struct Lease {
    valid_until: Duration,
}

/// What a daemon that does not lead has observed of the leader's entry.
#[derive(Debug, Default)]
pub struct Observer {
    /// The term and the beat of the entry; `None` if there is no entry.
    observed: Option<(u64, u64)>,
    unchanged_since: Duration,
    /// The generation of the log, and since when it is known.
    generation: Option<(u64, Duration)>,
    /// The last lapse that a leader announced, and when it was received.
    lapse: Option<(Lapse, Duration)>,
}

impl Lease {
    /// Extends the lease after the store acknowledged a renewal that was sent at `sent`.
    pub fn renew(&mut self, sent: Duration, timing: &Timing) {
        self.valid_until = self.valid_until.max(sent + timing.duration);
    }

    /// Returns whether no other daemon can have taken over since the last renewal.
    #[must_use]
    pub fn is_exclusive(&self, now: Duration, timing: &Timing) -> bool {
        self.remaining(now) > timing.duration.saturating_sub(timing.takeover_timeout)
    }

    /// Returns whether an order may be sent now.
    #[must_use]
    pub fn is_valid(&self, now: Duration) -> bool {
        now < self.valid_until
    }

    /// Returns how much longer orders may be sent.
    #[must_use]
    pub fn remaining(&self, now: Duration) -> Duration {
        self.valid_until.saturating_sub(now)
    }

    /// Ends the lease at once.
    pub fn expire(&mut self) {
        self.valid_until = Duration::ZERO;
    }
}

impl Observer {
    /// Records the leader's entry, read at `now`.
    pub fn observe(&mut self, leader: Option<&LeaderEntry>, now: Duration) {
        let observed = leader.map(|leader| (leader.term, leader.beat));
        if self.observed != observed {
            self.observed = observed;
            self.unchanged_since = now;
        }
    }

    /// Records the generation of the log, read at `now`.
    pub fn observe_generation(&mut self, generation: u64, now: Duration) {
        if self.generation.is_none_or(|(known, _)| known != generation) {
            self.generation = Some((generation, now));
        }
    }

    /// Returns whether a daemon may take over though the entries of later leaders may be lost.
    ///
    /// The last one, if it lives, gets the chance to write its own again.
    #[must_use]
    pub fn may_take_over_after_loss(&self, now: Duration, timing: &Timing) -> bool {
        let known_for = self.generation.map(|(_, since)| now.saturating_sub(since));
        known_for.is_some_and(|known_for| known_for >= timing.takeover_timeout)
    }

    /// Records the announcement, received at `now`, that a leader's lease has lapsed.
    pub fn record_lapse(&mut self, lapse: Lapse, now: Duration) {
        self.lapse = Some((lapse, now));
    }

    /// Returns when the grants of `leader` have all expired, if it has stopped or has announced
    /// that its lease lapsed.
    #[must_use]
    pub fn grants_end(&self, leader: &LeaderEntry) -> Option<Duration> {
        if leader.is_over {
            return Some(self.unchanged_since + leader.grants_end);
        }
        // An entry written after the announcement means that the leader has renewed its lease.
        let announced = self
            .lapse
            .filter(|(lapse, _)| lapse.term == leader.term && leader.beat <= lapse.beat);
        announced.map(|(lapse, at)| at + lapse.grants_end)
    }

    /// Returns for how long the daemon `name` at `address` has been free to take over from `leader`; `None` if it
    /// may not take over yet.
    ///
    /// A daemon may take over from its own earlier run at once, since that run has ended.
    #[must_use]
    pub fn vacant_for(
        &self,
        leader: Option<&LeaderEntry>,
        name: &str,
        address: SocketAddr,
        now: Duration,
        timing: &Timing,
    ) -> Option<Duration> {
        let Some(leader) = leader else {
            return Some(Duration::MAX);
        };
        if &*leader.name == name && leader.address == address {
            return Some(Duration::MAX);
        }
        let unchanged_for = now.saturating_sub(self.unchanged_since);
        if self.grants_end(leader).is_some() {
            // A lapse may have been announced later; the time until then only shortens the wait.
            return Some(unchanged_for);
        }
        unchanged_for.checked_sub(timing.takeover_timeout)
    }
}
