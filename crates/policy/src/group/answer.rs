//! Handling of the results of orders.

use std::collections::BTreeSet;

use super::{
    Group,
    message::{Action, Answer, Failure, Order, Ticket},
    ownership::{Destination, Draining, FencingToken, Free, Ownership},
    server::{Pending, latest_expiry_of},
};
use copperwell_keyspace::{Incarnation, Sequence, ShardIndex, UpstreamName, grant::Grant};
use tokio::time::Instant;

impl Group {
    /// Handles the result of an order; one that is not in flight is ignored.
    pub(super) fn on_answered(
        &mut self,
        upstream: &UpstreamName,
        ticket: Ticket,
        result: Result<Answer, Failure>,
        now: Instant,
    ) {
        let heartbeat = self.heartbeat();
        let Some(server) = self.servers.get_mut(upstream) else {
            return;
        };
        if server.pending.as_ref().map(|pending| pending.ticket) != Some(ticket) {
            return;
        }
        let Some(pending) = server.pending.take() else {
            return;
        };
        match result {
            Ok(answer) => {
                server.due_at = now.max(pending.sent + heartbeat);
                self.on_answer(upstream, &pending, answer, now);
            }
            Err(Failure::Refused { epoch, .. }) if epoch > self.epoch => self.step_down(epoch),
            Err(Failure::Refused { incarnation, .. }) => {
                server.expires_at = pending.expiry_before;
                server.due_at = now;
                if self.observe_run(upstream, incarnation, now)
                    && let Some(run) = self.run_mut(upstream)
                {
                    run.is_out_of_sync = true;
                }
            }
            Err(Failure::Unreachable) => {
                server.expires_at = pending.expiry_before;
                server.misses += 1;
                server.due_at = now + heartbeat / 4;
                self.changed.extend(&server.owned);
            }
            Err(Failure::Timeout) => {
                let is_grant = matches!(pending.order, Order::Grant { .. });
                if is_grant && !server.is_checked() {
                    server.late_grant_until = server.expires_at;
                }
                server.misses += 1;
                server.due_at = now;
                self.changed.extend(&server.owned);
            }
        }
    }

    fn on_answer(
        &mut self,
        upstream: &UpstreamName,
        pending: &Pending,
        answer: Answer,
        now: Instant,
    ) {
        let (Answer::Fenced {
            incarnation,
            draining,
            clock_ms,
            ..
        }
        | Answer::Accepted {
            incarnation,
            draining,
            clock_ms,
            ..
        }) = answer;
        let is_fence = matches!(answer, Answer::Fenced { .. });
        let is_known = self.observe_run(upstream, incarnation, now);
        let Some(server) = self.servers.get_mut(upstream) else {
            return;
        };
        let is_first = is_fence && server.run.is_none();
        if !is_known && !is_first {
            server.due_at = now;
            return;
        }
        server.record_answer(incarnation, clock_ms, pending.sent, now);
        server.reports_draining = draining;
        self.changed.extend(&server.owned);
        match answer {
            Answer::Fenced { grants, .. } => self.on_fenced(upstream, &grants, now),
            Answer::Accepted { shards, digest, .. } => {
                self.on_held(upstream, pending, now);
                self.check_digest(upstream, shards, digest);
            }
        }
    }

    /// Checks the incarnation of an answer. If it is a later run than the known one, the shards of
    /// the known one are lost.
    ///
    /// Returns whether it is the run that this leader has fenced.
    fn observe_run(
        &mut self,
        upstream: &UpstreamName,
        incarnation: Incarnation,
        now: Instant,
    ) -> bool {
        let restart_time = self.heartbeat();
        let Some(server) = self.servers.get_mut(upstream) else {
            return false;
        };
        let Some(run) = &server.run else {
            return false;
        };
        if incarnation == run.incarnation {
            return true;
        }
        if incarnation < run.incarnation {
            server.misses += 1;
            return false;
        }
        self.mark_all_lost(upstream, Some(now + restart_time), now);
        let Some(server) = self.servers.get_mut(upstream) else {
            return false;
        };
        server.run = None;
        server.expires_at = None;
        server.to_release.clear();
        false
    }

    /// Replaces the known grants of a server by those that it reports.
    fn on_fenced(&mut self, upstream: &UpstreamName, grants: &[Grant], now: Instant) {
        let is_isolated = self.is_isolated(now);
        let mut live = BTreeSet::new();
        for grant in grants {
            if grant.service != self.id.service {
                continue;
            }
            self.predecessor_acted |= grant.epoch + 1 == self.epoch;
            if grant.remaining.is_zero() {
                self.record_last_holder(upstream, grant.shard);
                continue;
            }
            live.insert(grant.shard);
            if let Some(server) = self.servers.get_mut(upstream) {
                server.extend_expiry(latest_expiry_of(grant.remaining, now));
            }
            self.adopt_grant(upstream, grant);
        }
        let Some(server) = self.servers.get_mut(upstream) else {
            return;
        };
        server.to_release.retain(|shard| live.contains(shard));
        if let Some(run) = &mut server.run {
            run.is_out_of_sync = false;
        }
        let expired: Vec<ShardIndex> = server.owned.difference(&live).copied().collect();
        // The fence took the place of a renewal, so the grants are renewed at once.
        if server.established().is_some() && !live.is_empty() && !is_isolated {
            server.due_at = now;
        }
        for shard in expired {
            self.mark_lost(shard, upstream, None, now);
        }
    }

    /// Adopts a reported grant, or has the server release the shard if a later grant is known.
    fn adopt_grant(&mut self, upstream: &UpstreamName, grant: &Grant) {
        let token = FencingToken {
            epoch: grant.epoch,
            sequence: grant.sequence,
        };
        let is_valid = match self.shards.get(&grant.shard) {
            Some(Ownership::Unknown { .. } | Ownership::Free(_)) => true,
            Some(Ownership::Granting { to, .. }) => to == upstream,
            Some(
                Ownership::Owned {
                    holder,
                    token: known,
                }
                | Ownership::Draining(Draining {
                    holder,
                    token: known,
                    ..
                }),
            ) => {
                if holder == upstream {
                    return;
                }
                let known_holder = holder.clone();
                let is_later = token > *known;
                if is_later && let Some(run) = self.run_mut(&known_holder) {
                    run.is_out_of_sync = true;
                }
                is_later
            }
            Some(Ownership::Detached { .. }) | None => false,
        };
        if is_valid {
            let ownership = Ownership::Owned {
                holder: upstream.clone(),
                token,
            };
            self.set_ownership(grant.shard, ownership);
        } else if let Some(server) = self.servers.get_mut(upstream) {
            server.to_release.insert(grant.shard);
        }
    }

    /// Records the last holder of a shard whose grant has expired, unless one is known.
    fn record_last_holder(&mut self, upstream: &UpstreamName, shard: ShardIndex) {
        match self.shards.get_mut(&shard) {
            Some(Ownership::Unknown { last_holder }) => {
                last_holder.get_or_insert_with(|| upstream.clone());
            }
            Some(Ownership::Free(free)) => {
                free.preferred.get_or_insert_with(|| upstream.clone());
            }
            _ => {}
        }
    }

    /// Applies a grant, renewal or release that a server has accepted.
    fn on_held(&mut self, upstream: &UpstreamName, pending: &Pending, now: Instant) {
        if let Some(run) = self.run_mut(upstream) {
            run.is_out_of_sync = false;
        }
        match &pending.order {
            Order::Fence => {}
            Order::Grant {
                sequence, shards, ..
            } => self.on_granted(upstream, *sequence, shards, pending.sent, now),
            Order::Renew { .. } => self.extend_lease(upstream, pending.sent, now),
            Order::Release { shards, .. } => self.on_released(upstream, shards),
        }
    }

    fn on_granted(
        &mut self,
        upstream: &UpstreamName,
        sequence: Sequence,
        shards: &[ShardIndex],
        sent: Instant,
        now: Instant,
    ) {
        let token = FencingToken {
            epoch: self.epoch,
            sequence,
        };
        for shard in shards {
            let Some(Ownership::Granting { to, last_holder }) = self.shards.get(shard) else {
                continue;
            };
            if to != upstream {
                continue;
            }
            if last_holder.as_ref() != Some(upstream) {
                let moved = Action::Moved {
                    shard: *shard,
                    from: last_holder.clone(),
                    to: upstream.clone(),
                };
                self.actions.push(moved);
            }
            let ownership = Ownership::Owned {
                holder: upstream.clone(),
                token,
            };
            self.set_ownership(*shard, ownership);
        }
        // A grant does not extend the lease of other shards, so the run's lease stays as it is; the
        // next renewal covers the new shards too.
        let is_first = self
            .run_mut(upstream)
            .is_some_and(|run| run.lease_until.is_none());
        if is_first {
            self.extend_lease(upstream, sent, now);
        }
    }

    fn on_released(&mut self, upstream: &UpstreamName, shards: &[ShardIndex]) {
        for shard in shards {
            if let Some(server) = self.servers.get_mut(upstream) {
                server.to_release.remove(shard);
            }
            let destination = match self.shards.get(shard) {
                Some(Ownership::Draining(draining)) if draining.holder == *upstream => {
                    draining.destination.clone()
                }
                Some(Ownership::Granting { to, .. }) if to == upstream => Destination::Any,
                _ => continue,
            };
            let preferred = match destination {
                Destination::Any | Destination::Keep => None,
                Destination::Upstream(preferred) => Some(preferred),
            };
            let free = Free {
                lost_at: None,
                late_grant_until: self
                    .servers
                    .get(upstream)
                    .and_then(|server| server.late_grant_until),
                last_holder: Some(upstream.clone()),
                preferred,
                wait_until: None,
            };
            self.set_ownership(*shard, Ownership::Free(free));
        }
    }

    /// Extends the lease of a run after a grant or renewal that was sent at `sent`.
    fn extend_lease(&mut self, upstream: &UpstreamName, sent: Instant, now: Instant) {
        let end = sent + self.config.lease;
        let Some(run) = self.run_mut(upstream) else {
            return;
        };
        let until = run.earliest_expiry(now, end);
        run.lease_until = Some(until);
        let incarnation = run.incarnation;
        self.actions.push(Action::Lease {
            upstream: upstream.clone(),
            incarnation,
            until,
        });
    }

    /// Marks a run as out of sync if its shard count or digest differs from this leader's state.
    fn check_digest(&mut self, upstream: &UpstreamName, shards: u32, digest: u64) {
        let Some(server) = self.servers.get_mut(upstream) else {
            return;
        };
        let is_equal = shards as usize == server.owned.len() && digest == server.digest;
        let is_comparable = server.granting.is_empty() && server.to_release.is_empty();
        if !is_equal
            && is_comparable
            && let Some(run) = &mut server.run
        {
            run.is_out_of_sync = true;
        }
    }
}
