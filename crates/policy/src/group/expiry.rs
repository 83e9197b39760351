//! Expiry of grants, of unknown ownership and of the contact with the log.

use std::mem;

use super::{
    Group,
    message::Predecessor,
    ownership::{Free, Ownership},
    server::latest_expiry_of,
};
use copperwell_keyspace::UpstreamName;
use tokio::time::Instant;

impl Group {
    /// Marks the shards of servers whose grants have certainly expired as lost.
    pub(super) fn expire_grants(&mut self, now: Instant) {
        let names: Vec<UpstreamName> = self.servers.keys().cloned().collect();
        for name in names {
            let Some(server) = self.servers.get_mut(&name) else {
                continue;
            };
            if server.expires_at.is_none_or(|at| at > now) {
                continue;
            }
            server.expires_at = None;
            if let Some(run) = &mut server.run {
                run.lease_until = None;
            }
            self.mark_all_lost(&name, None, now);
        }
    }

    /// Frees the shards that no server has reported, once no server can hold them.
    ///
    /// That is once all servers are established or the predecessor's grants have expired.
    pub(super) fn free_unknown(&mut self, now: Instant) {
        if self.unknown.is_empty() || !self.has_taken_over {
            return;
        }
        let all_established = self
            .servers
            .values()
            .all(|server| server.established().is_some());
        let has_expired = self.predecessor_leases_end().is_some_and(|at| at <= now);
        if !all_established && !has_expired {
            return;
        }
        let is_new = self.predecessor == Predecessor::None;
        let lost_at = (!all_established && !is_new).then_some(now);
        for shard in mem::take(&mut self.unknown) {
            let last_holder = match self.shards.get(&shard) {
                Some(Ownership::Unknown { last_holder }) => last_holder.clone(),
                _ => None,
            };
            let preferred = last_holder.clone();
            let free = Free {
                lost_at,
                late_grant_until: None,
                last_holder,
                preferred,
                wait_until: None,
            };
            self.set_ownership(shard, Ownership::Free(free));
        }
    }

    /// Returns when all grants of the predecessor have certainly expired, if it has stopped.
    pub(super) fn predecessor_leases_end(&self) -> Option<Instant> {
        self.predecessor_stopped_at
            .map(|stopped_at| latest_expiry_of(self.config.lease_max, stopped_at))
    }

    /// Records that the predecessor has stopped once [`Group::predecessor_isolated_at`] has passed.
    pub(super) fn presume_predecessor_stopped(&mut self, now: Instant) {
        if self.predecessor_isolated_at().is_some_and(|at| at <= now) {
            self.predecessor_stopped_at = Some(now);
        }
    }

    /// Returns when the predecessor has either read this leader's appointment in the log or stopped
    /// because it is isolated from the log; `None` unless the service limits isolation.
    pub(super) fn predecessor_isolated_at(&self) -> Option<Instant> {
        let is_waiting = self.is_recorded && self.predecessor_stopped_at.is_none();
        let isolation = self.config.isolation.filter(|_| is_waiting)?;
        Some(latest_expiry_of(isolation, self.started_at))
    }

    /// Returns when this leader stops renewing because it is isolated from the log.
    pub(super) fn isolated_at(&self) -> Option<Instant> {
        self.config
            .isolation
            .map(|isolation| self.last_contact + isolation)
    }

    /// Returns whether this leader has stopped renewing because it is isolated from the log.
    pub(super) fn is_isolated(&self, now: Instant) -> bool {
        self.isolated_at().is_some_and(|at| at <= now)
    }
}
