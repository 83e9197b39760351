//! What a leader knows of one server of its group.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use super::message::{Order, Ticket};
use copperwell_keyspace::{
    Incarnation, ShardIndex,
    manifest::{Fencing, Upstream},
};
use tokio::time::Instant;

/// Clocks of two machines run apart by less than one part in this many.
const RATE: u32 = 64;

/// What is taken off for rounding to milliseconds.
const ROUNDING: Duration = Duration::from_millis(2);

/// Orders in a row without answer after which a server counts as lost.
const MISSES_MAX: u32 = 2;

/// One server.
#[derive(Debug)]
pub(super) struct Server {
    /// Its upstream.
    pub(super) upstream: Upstream,
    /// Its run, once it has answered a fence.
    pub(super) run: Option<Run>,
    /// The order that is under way; there is one at a time.
    pub(super) pending: Option<Pending>,
    /// From here on nothing that this leader gave or heard of can still be held.
    pub(super) lapse: Option<Instant>,
    /// Until when a grant that was not answered may still arrive, and be taken whatever came later;
    /// only for a server that does not check orders.
    pub(super) unsure: Option<Instant>,
    /// When the next order is due at the latest.
    pub(super) due: Instant,
    /// Orders in a row without answer.
    pub(super) misses: u32,
    /// The manifest has it no more.
    pub(super) removed: bool,
    /// Since when it is removed and holds nothing.
    pub(super) emptied: Option<Instant>,
    /// It wants no new work, by its own word.
    pub(super) draining: bool,
    /// Since when it is to get no new work.
    pub(super) drained: Option<Instant>,
    /// Shards that it reported and is to let go of.
    pub(super) unwanted: BTreeSet<ShardIndex>,
    /// Shards that it holds, as far as this leader knows.
    pub(super) owned: BTreeSet<ShardIndex>,
    /// Shards that it may hold, since a grant has not been answered.
    pub(super) giving: BTreeSet<ShardIndex>,
    /// The digest of [`Server::owned`].
    pub(super) digest: u64,
    /// How many runs this leader has seen.
    pub(super) runs: u32,
}

/// One run of a server.
#[derive(Debug, Clone)]
pub(super) struct Run {
    /// Which one.
    pub(super) incarnation: Incarnation,
    /// When the first answer to a fence came.
    pub(super) fenced: Instant,
    /// When the last order was sent that it took.
    pub(super) confirmed: Instant,
    /// Whether this leader may grant to it and count its word.
    pub(super) established: bool,
    /// Whether its grants are not what this leader thinks.
    pub(super) doubtful: bool,
    /// Until when its grants surely last.
    pub(super) lease: Option<Instant>,
    /// Its clock.
    clock: Clock,
}

/// An order under way.
#[derive(Debug)]
pub(super) struct Pending {
    /// Its ticket.
    pub(super) ticket: Ticket,
    /// When it was sent.
    pub(super) sent: Instant,
    /// The order.
    pub(super) order: Order,
    /// What [`Server::lapse`] was before.
    pub(super) lapse: Option<Instant>,
}

/// A reading of a server's clock.
#[derive(Debug, Clone, Copy)]
struct Clock {
    at_ms: u64,
    received: Instant,
    error: Duration,
}

impl Server {
    pub(super) fn new(upstream: Upstream, now: Instant) -> Self {
        Self {
            upstream,
            run: None,
            pending: None,
            lapse: None,
            unsure: None,
            due: now,
            misses: 0,
            removed: false,
            emptied: None,
            draining: false,
            drained: None,
            unwanted: BTreeSet::new(),
            owned: BTreeSet::new(),
            giving: BTreeSet::new(),
            digest: 0,
            runs: 0,
        }
    }

    /// Whether it refuses orders of a lower epoch than it has seen.
    pub(super) fn is_checked(&self) -> bool {
        self.upstream.fencing == Fencing::Checked
    }

    /// Whether it is one of the voters.
    pub(super) fn is_among(&self, voters: &[SocketAddr]) -> bool {
        voters.contains(&self.upstream.address)
    }

    /// The run, if this leader may count on it.
    pub(super) fn established(&self) -> Option<&Run> {
        self.run.as_ref().filter(|run| run.established)
    }

    /// Whether it has not answered for some time.
    pub(super) fn is_lost(&self) -> bool {
        self.misses >= MISSES_MAX || self.run.is_none()
    }

    /// Whether it is to get no new work.
    pub(super) fn is_leaving(&self) -> bool {
        self.removed || self.draining || self.upstream.drain
    }

    /// Whether requests may be sent to it.
    pub(super) fn serves(&self) -> bool {
        !self.is_lost() && !self.removed
    }

    /// Whether it was removed and holds nothing, as far as this leader gave or heard.
    pub(super) fn is_empty(&self, now: Instant) -> bool {
        let lapsed = self.lapse.is_none_or(|lapse| lapse <= now);
        self.removed && lapsed && !self.holds() && self.unwanted.is_empty()
    }

    /// Whether it can take shards now.
    pub(super) fn is_open(&self) -> bool {
        let known = self.established().is_some_and(|run| !run.doubtful);
        known && !self.is_lost() && !self.is_leaving()
    }

    /// Notes a run's answer to an order sent at `sent`.
    pub(super) fn heard(
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
        self.runs += u32::from(self.run.is_none());
        let run = self.run.get_or_insert(Run {
            incarnation,
            fenced: now,
            confirmed: sent,
            established: false,
            doubtful: false,
            lease: None,
            clock,
        });
        run.confirmed = run.confirmed.max(sent);
        if clock.error <= run.clock.error_at(now) {
            run.clock = clock;
        }
    }

    /// Whether it may hold a shard.
    pub(super) fn holds(&self) -> bool {
        !self.owned.is_empty() || !self.giving.is_empty()
    }

    /// The shards that it may hold.
    pub(super) fn held_shards(&self) -> Vec<ShardIndex> {
        self.owned.union(&self.giving).copied().collect()
    }

    /// Notes that what the server holds may last until `end`, by the clocks of both.
    pub(super) fn may_hold(&mut self, end: Instant) {
        self.lapse = Some(self.lapse.map_or(end, |lapse| lapse.max(end)));
    }
}

impl Run {
    /// The server's time at `end`, or before.
    pub(super) fn server_ms(&self, end: Instant) -> u64 {
        let ahead = end.saturating_duration_since(self.clock.received);
        let ahead_ms = u64::try_from(ahead.as_millis()).unwrap_or(u64::MAX);
        self.clock.at_ms.saturating_add(ahead_ms)
    }

    /// When a grant has surely lapsed that ends at [`Run::server_ms`] of `end`.
    pub(super) fn latest(&self, end: Instant) -> Instant {
        end + end.saturating_duration_since(self.clock.received) / RATE + ROUNDING
    }

    /// Until when a grant surely lasts that ends at [`Run::server_ms`] of `end`.
    pub(super) fn surely(&self, now: Instant, end: Instant) -> Instant {
        let doubt = self.clock.error_at(now) + (end - now) / RATE + ROUNDING;
        end.checked_sub(doubt).unwrap_or(now).max(now)
    }
}

/// When something has surely lapsed that lasts for `remaining` by another machine's clock.
pub(super) fn lapse_of(remaining: Duration, now: Instant) -> Instant {
    now + remaining + remaining / RATE + ROUNDING
}

impl Clock {
    /// How far the reading may be off at `now`.
    fn error_at(&self, now: Instant) -> Duration {
        self.error + (now - self.received) / RATE
    }
}
