//! Waits that only time or evidence ends.

use std::mem;

use super::{
    Group,
    message::Predecessor,
    place::{Free, Place},
    server::lapse_of,
};
use copperwell_keyspace::UpstreamName;
use tokio::time::Instant;

impl Group {
    /// Frees the shards of servers whose grants have surely lapsed.
    pub(super) fn lapse(&mut self, now: Instant) {
        let names: Vec<UpstreamName> = self.servers.keys().cloned().collect();
        for name in names {
            let Some(server) = self.servers.get_mut(&name) else {
                continue;
            };
            if server.lapse.is_none_or(|lapse| lapse > now) {
                continue;
            }
            server.lapse = None;
            if let Some(run) = &mut server.run {
                run.lease = None;
            }
            self.drop_all(&name, None, now);
        }
    }

    /// Frees the shards that nobody has reported, as soon as nobody can hold them.
    pub(super) fn resolve(&mut self, now: Instant) {
        if self.unknown.is_empty() || !self.settled {
            return;
        }
        let all_known = self
            .servers
            .values()
            .all(|server| server.established().is_some());
        let waited_out = self.waited_out().is_some_and(|at| at <= now);
        if !all_known && !waited_out {
            return;
        }
        let is_new = self.predecessor == Predecessor::None;
        let since = (!all_known && !is_new).then_some(now);
        for shard in mem::take(&mut self.unknown) {
            let last = match self.shards.get(&shard) {
                Some(Place::Unknown { last }) => last.clone(),
                _ => None,
            };
            let next = last.clone();
            let free = Free {
                since,
                unsure: None,
                last,
                next,
                patience: None,
            };
            self.put(shard, Place::Free(free));
        }
    }

    /// When whatever the predecessor granted has surely lapsed.
    pub(super) fn waited_out(&self) -> Option<Instant> {
        self.stopped
            .map(|stopped| lapse_of(self.config.lease_max, stopped))
    }

    /// When a predecessor without the log has stopped, where the service wants that.
    pub(super) fn note_release(&mut self, now: Instant) {
        if self.released_at().is_some_and(|at| at <= now) {
            self.stopped = Some(now);
        }
    }

    /// When that is.
    pub(super) fn released_at(&self) -> Option<Instant> {
        let waits = self.recorded && self.stopped.is_none();
        let isolation = self.config.isolation.filter(|_| waits)?;
        Some(lapse_of(isolation, self.started))
    }

    /// When this leader itself stops to renew for want of the log.
    pub(super) fn isolated_at(&self) -> Option<Instant> {
        self.config
            .isolation
            .map(|isolation| self.contact + isolation)
    }

    /// Whether this leader has stopped to renew for want of the log.
    pub(super) fn is_isolated(&self, now: Instant) -> bool {
        self.isolated_at().is_some_and(|at| at <= now)
    }
}
