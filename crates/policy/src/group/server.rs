//! A leader's view of one server of its group.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use super::message::{Order, Ticket};
use copperwell_keyspace::{
    Incarnation, ShardIndex,
    manifest::{Fencing, Upstream},
};
use tokio::time::Instant;

/// The clocks of two machines drift apart by less than one part in this number.
const CLOCK_DRIFT_DIVISOR: u32 = 64;

/// Margin for rounding to milliseconds.
const ROUNDING_MARGIN: Duration = Duration::from_millis(2);

/// Consecutive orders without a valid answer after which a server counts as unreachable.
const MISSES_MAX: u32 = 2;

/// A server as the leader sees it.
#[derive(Debug)]
pub(super) struct Server {
    /// The server's upstream.
    pub(super) upstream: Upstream,
    /// The current run, once the server has answered an [`Order::Fence`].
    pub(super) run: Option<Run>,
    /// The order in flight; at most one.
    pub(super) pending: Option<Pending>,
    /// When every grant that this leader sent, or that the server reported, has expired.
    pub(super) expires_at: Option<Instant>,
    /// Until when an unanswered grant may still arrive and be accepted after later orders; only set
    /// for a server that does not check epochs and sequences.
    pub(super) late_grant_until: Option<Instant>,
    /// When the next heartbeat is due.
    pub(super) due_at: Instant,
    /// Consecutive orders without a valid answer.
    pub(super) misses: u32,
    /// Whether the manifest no longer has the upstream.
    pub(super) is_removed: bool,
    /// Since when the server is removed and holds no shards.
    pub(super) empty_since: Option<Instant>,
    /// Whether the server itself reports that it wants no new work.
    pub(super) reports_draining: bool,
    /// Since when [`Server::is_draining`] holds.
    pub(super) draining_since: Option<Instant>,
    /// Reported shards that the server must release.
    pub(super) to_release: BTreeSet<ShardIndex>,
    /// Shards that the server holds, as far as this leader knows.
    pub(super) owned: BTreeSet<ShardIndex>,
    /// Shards that the server may hold because their grant is unanswered.
    pub(super) granting: BTreeSet<ShardIndex>,
    /// The digest of [`Server::owned`].
    pub(super) digest: u64,
    /// Number of runs that this leader has seen.
    pub(super) runs_seen: u32,
}

/// One run of a server process.
#[derive(Debug, Clone)]
pub(super) struct Run {
    /// The incarnation that identifies the run.
    pub(super) incarnation: Incarnation,
    /// When the first answer to an [`Order::Fence`] arrived.
    pub(super) fenced_at: Instant,
    /// When the latest order that the server accepted was sent.
    pub(super) confirmed_at: Instant,
    /// Whether this leader may grant shards to the run and count it towards a quorum.
    pub(super) is_established: bool,
    /// Whether the server's grants may differ from this leader's state.
    pub(super) is_out_of_sync: bool,
    /// Until when the server's grants are valid by a lower bound.
    pub(super) lease_until: Option<Instant>,
    clock: Clock,
}

/// An order in flight.
#[derive(Debug)]
pub(super) struct Pending {
    pub(super) ticket: Ticket,
    /// When the order was sent.
    pub(super) sent: Instant,
    pub(super) order: Order,
    /// [`Server::expires_at`] before the order was sent.
    pub(super) expiry_before: Option<Instant>,
}

/// A reading of a server's clock.
#[derive(Debug, Clone, Copy)]
struct Clock {
    /// The server's time.
    at_ms: u64,
    /// When the reading arrived.
    received: Instant,
    /// The error bound at that time: the round-trip time of the order.
    error: Duration,
}

impl Server {
    pub(super) fn new(upstream: Upstream, now: Instant) -> Self {
        Self {
            upstream,
            run: None,
            pending: None,
            expires_at: None,
            late_grant_until: None,
            due_at: now,
            misses: 0,
            is_removed: false,
            empty_since: None,
            reports_draining: false,
            draining_since: None,
            to_release: BTreeSet::new(),
            owned: BTreeSet::new(),
            granting: BTreeSet::new(),
            digest: 0,
            runs_seen: 0,
        }
    }

    /// Returns whether the server refuses orders of a lower epoch than it has seen.
    pub(super) fn is_checked(&self) -> bool {
        self.upstream.fencing == Fencing::Checked
    }

    /// Returns whether the server is one of `voters`.
    pub(super) fn is_among(&self, voters: &[SocketAddr]) -> bool {
        voters.contains(&self.upstream.address)
    }

    /// Returns the run if it is established.
    pub(super) fn established(&self) -> Option<&Run> {
        self.run.as_ref().filter(|run| run.is_established)
    }

    /// Returns whether the server has missed too many orders or has no known run.
    pub(super) fn is_unreachable(&self) -> bool {
        self.misses >= MISSES_MAX || self.run.is_none()
    }

    /// Returns whether the server is to get no new shards and to lose those that it has.
    pub(super) fn is_draining(&self) -> bool {
        self.is_removed || self.reports_draining || self.upstream.drain
    }

    /// Returns whether requests may be sent to the server.
    pub(super) fn accepts_requests(&self) -> bool {
        !self.is_unreachable() && !self.is_removed
    }

    /// Returns whether the server was removed and holds no shard that this leader knows of.
    pub(super) fn is_empty(&self, now: Instant) -> bool {
        let has_expired = self.expires_at.is_none_or(|at| at <= now);
        self.is_removed && has_expired && !self.may_hold_shards() && self.to_release.is_empty()
    }

    /// Returns whether shards may be granted to the server now.
    pub(super) fn accepts_grants(&self) -> bool {
        let is_known = self.established().is_some_and(|run| !run.is_out_of_sync);
        is_known && !self.is_unreachable() && !self.is_draining()
    }

    /// Records a run's answer to an order sent at `sent`.
    pub(super) fn record_answer(
        &mut self,
        incarnation: Incarnation,
        clock_ms: u64,
        sent: Instant,
        now: Instant,
    ) {
        let clock = Clock {
            at_ms: clock_ms,
            received: now,
            error: now - sent,
        };
        self.misses = 0;
        self.runs_seen += u32::from(self.run.is_none());
        let run = self.run.get_or_insert(Run {
            incarnation,
            fenced_at: now,
            confirmed_at: sent,
            is_established: false,
            is_out_of_sync: false,
            lease_until: None,
            clock,
        });
        run.confirmed_at = run.confirmed_at.max(sent);
        if clock.error <= run.clock.error_at(now) {
            run.clock = clock;
        }
    }

    /// Returns whether the server may hold a shard.
    pub(super) fn may_hold_shards(&self) -> bool {
        !self.owned.is_empty() || !self.granting.is_empty()
    }

    /// Returns the shards that the server may hold.
    pub(super) fn held_shards(&self) -> Vec<ShardIndex> {
        self.owned.union(&self.granting).copied().collect()
    }

    /// Records that the server's grants may last until `end`, clock drift included.
    pub(super) fn extend_expiry(&mut self, end: Instant) {
        self.expires_at = Some(self.expires_at.map_or(end, |at| at.max(end)));
    }
}

impl Run {
    /// Returns the server's time at `end`, or an earlier time.
    pub(super) fn server_ms(&self, end: Instant) -> u64 {
        let ahead = end.saturating_duration_since(self.clock.received);
        let ahead_ms = u64::try_from(ahead.as_millis()).unwrap_or(u64::MAX);
        self.clock.at_ms.saturating_add(ahead_ms)
    }

    /// Returns the latest time at which a grant until [`Run::server_ms`] of `end` expires.
    pub(super) fn latest_expiry(&self, end: Instant) -> Instant {
        end + end.saturating_duration_since(self.clock.received) / CLOCK_DRIFT_DIVISOR
            + ROUNDING_MARGIN
    }

    /// Returns the earliest time at which a grant until [`Run::server_ms`] of `end` expires.
    pub(super) fn earliest_expiry(&self, now: Instant, end: Instant) -> Instant {
        let margin = self.clock.error_at(now) + (end - now) / CLOCK_DRIFT_DIVISOR + ROUNDING_MARGIN;
        end.checked_sub(margin).unwrap_or(now).max(now)
    }
}

/// Returns the latest time at which `remaining` has passed by another machine's clock.
pub(super) fn latest_expiry_of(remaining: Duration, now: Instant) -> Instant {
    now + remaining + remaining / CLOCK_DRIFT_DIVISOR + ROUNDING_MARGIN
}

impl Clock {
    /// Returns the error bound of the reading at `now`.
    fn error_at(&self, now: Instant) -> Duration {
        self.error + (now - self.received) / CLOCK_DRIFT_DIVISOR
    }
}
