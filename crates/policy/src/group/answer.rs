//! What a leader learns from the answers to its orders.

use std::collections::BTreeSet;

use super::{
    Group,
    message::{Action, Answer, Failure, Order, Ticket},
    place::{Free, Goal, Leaving, Place, Stamp},
    server::{Pending, lapse_of},
};
use copperwell_keyspace::{Incarnation, Sequence, ShardIndex, UpstreamName, grant::Grant};
use tokio::time::Instant;

impl Group {
    /// Takes the result of an order.
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
                server.due = now.max(pending.sent + heartbeat);
                self.on_answer(upstream, &pending, answer, now);
            }
            Err(Failure::Refused { epoch, .. }) if epoch > self.epoch => self.step_down(epoch),
            Err(Failure::Refused { incarnation, .. }) => {
                server.lapse = pending.lapse;
                server.due = now;
                if self.on_run(upstream, incarnation, now)
                    && let Some(run) = self.run_mut(upstream)
                {
                    run.doubtful = true;
                }
            }
            Err(Failure::Unreachable) => {
                server.lapse = pending.lapse;
                server.misses += 1;
                server.due = now + heartbeat / 4;
                self.changed.extend(&server.owned);
            }
            Err(Failure::Silent) => {
                let is_give = matches!(pending.order, Order::Give { .. });
                if is_give && !server.is_checked() {
                    server.unsure = server.lapse;
                }
                server.misses += 1;
                server.due = now;
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
        | Answer::Held {
            incarnation,
            draining,
            clock_ms,
            ..
        }) = answer;
        let is_fence = matches!(answer, Answer::Fenced { .. });
        let is_known = self.on_run(upstream, incarnation, now);
        let Some(server) = self.servers.get_mut(upstream) else {
            return;
        };
        let is_first = is_fence && server.run.is_none();
        if !is_known && !is_first {
            server.due = now;
            return;
        }
        server.heard(incarnation, clock_ms, pending.sent, now);
        server.draining = draining;
        self.changed.extend(&server.owned);
        match answer {
            Answer::Fenced { grants, .. } => self.on_fenced(upstream, &grants, now),
            Answer::Held { shards, digest, .. } => {
                self.on_held(upstream, pending, now);
                self.compare(upstream, shards, digest);
            }
        }
    }

    /// Notes which run of a server speaks; a later one than before holds nothing.
    ///
    /// False if it is not the run that this leader has fenced.
    fn on_run(&mut self, upstream: &UpstreamName, incarnation: Incarnation, now: Instant) -> bool {
        let patience = self.heartbeat();
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
        self.drop_all(upstream, Some(now + patience), now);
        let Some(server) = self.servers.get_mut(upstream) else {
            return false;
        };
        server.run = None;
        server.lapse = None;
        server.unwanted.clear();
        false
    }

    /// Sets what a server holds to what it reports.
    fn on_fenced(&mut self, upstream: &UpstreamName, grants: &[Grant], now: Instant) {
        let is_isolated = self.is_isolated(now);
        let mut live = BTreeSet::new();
        for grant in grants {
            if grant.service != self.id.service {
                continue;
            }
            self.leader_acted |= grant.epoch + 1 == self.epoch;
            if grant.remaining.is_zero() {
                self.remember(upstream, grant.shard);
                continue;
            }
            live.insert(grant.shard);
            if let Some(server) = self.servers.get_mut(upstream) {
                server.may_hold(lapse_of(grant.remaining, now));
            }
            self.on_grant(upstream, grant);
        }
        let Some(server) = self.servers.get_mut(upstream) else {
            return;
        };
        server.unwanted.retain(|shard| live.contains(shard));
        if let Some(run) = &mut server.run {
            run.doubtful = false;
        }
        let lapsed: Vec<ShardIndex> = server.owned.difference(&live).copied().collect();
        // Grants that were not renewed while this was asked are renewed next.
        if server.established().is_some() && !live.is_empty() && !is_isolated {
            server.due = now;
        }
        for shard in lapsed {
            self.drop_shard(shard, upstream, None, now);
        }
    }

    /// Takes over what a server reports, unless a later grant of the shard is known.
    fn on_grant(&mut self, upstream: &UpstreamName, grant: &Grant) {
        let stamp = Stamp {
            epoch: grant.epoch,
            sequence: grant.sequence,
        };
        let kept = match self.shards.get(&grant.shard) {
            Some(Place::Unknown { .. } | Place::Free(_)) => true,
            Some(Place::Giving { to, .. }) => to == upstream,
            Some(
                Place::Owned { by, stamp: held }
                | Place::Leaving(Leaving {
                    by, stamp: held, ..
                }),
            ) => {
                if by == upstream {
                    return;
                }
                let other = by.clone();
                let is_later = stamp > *held;
                if is_later && let Some(run) = self.run_mut(&other) {
                    run.doubtful = true;
                }
                is_later
            }
            Some(Place::Away { .. }) | None => false,
        };
        if kept {
            let place = Place::Owned {
                by: upstream.clone(),
                stamp,
            };
            self.put(grant.shard, place);
        } else if let Some(server) = self.servers.get_mut(upstream) {
            server.unwanted.insert(grant.shard);
        }
    }

    /// Remembers who had a shard last that nobody holds.
    fn remember(&mut self, upstream: &UpstreamName, shard: ShardIndex) {
        match self.shards.get_mut(&shard) {
            Some(Place::Unknown { last }) => {
                last.get_or_insert_with(|| upstream.clone());
            }
            Some(Place::Free(free)) => {
                free.next.get_or_insert_with(|| upstream.clone());
            }
            _ => {}
        }
    }

    /// Notes that a server has taken a grant, a renewal or a release.
    fn on_held(&mut self, upstream: &UpstreamName, pending: &Pending, now: Instant) {
        if let Some(run) = self.run_mut(upstream) {
            run.doubtful = false;
        }
        match &pending.order {
            Order::Fence => {}
            Order::Give {
                sequence, shards, ..
            } => self.on_given(upstream, *sequence, shards, pending.sent, now),
            Order::Renew { .. } => self.prolong(upstream, pending.sent, now),
            Order::Release { shards, .. } => self.on_released(upstream, shards),
        }
    }

    fn on_given(
        &mut self,
        upstream: &UpstreamName,
        sequence: Sequence,
        shards: &[ShardIndex],
        sent: Instant,
        now: Instant,
    ) {
        let stamp = Stamp {
            epoch: self.epoch,
            sequence,
        };
        for shard in shards {
            let Some(Place::Giving { to, last }) = self.shards.get(shard) else {
                continue;
            };
            if to != upstream {
                continue;
            }
            if last.as_ref() != Some(upstream) {
                let moved = Action::Moved {
                    shard: *shard,
                    from: last.clone(),
                    to: upstream.clone(),
                };
                self.actions.push(moved);
            }
            let place = Place::Owned {
                by: upstream.clone(),
                stamp,
            };
            self.put(*shard, place);
        }
        // A grant prolongs nothing but its own shards; they count as renewed with the rest.
        let is_first = self
            .run_mut(upstream)
            .is_some_and(|run| run.lease.is_none());
        if is_first {
            self.prolong(upstream, sent, now);
        }
    }

    fn on_released(&mut self, upstream: &UpstreamName, shards: &[ShardIndex]) {
        for shard in shards {
            if let Some(server) = self.servers.get_mut(upstream) {
                server.unwanted.remove(shard);
            }
            let goal = match self.shards.get(shard) {
                Some(Place::Leaving(leaving)) if leaving.by == *upstream => leaving.goal.clone(),
                Some(Place::Giving { to, .. }) if to == upstream => Goal::Anywhere,
                _ => continue,
            };
            let next = match goal {
                Goal::Anywhere | Goal::Stay => None,
                Goal::Upstream(next) => Some(next),
            };
            let free = Free {
                since: None,
                unsure: self.servers.get(upstream).and_then(|server| server.unsure),
                last: Some(upstream.clone()),
                next,
                patience: None,
            };
            self.put(*shard, Place::Free(free));
        }
    }

    fn prolong(&mut self, upstream: &UpstreamName, sent: Instant, now: Instant) {
        let end = sent + self.config.lease;
        let Some(run) = self.run_mut(upstream) else {
            return;
        };
        let until = run.surely(now, end);
        run.lease = Some(until);
        let incarnation = run.incarnation;
        self.actions.push(Action::Lease {
            upstream: upstream.clone(),
            incarnation,
            until,
        });
    }

    /// Compares what a server says it holds with what this leader thinks.
    fn compare(&mut self, upstream: &UpstreamName, shards: u32, digest: u64) {
        let Some(server) = self.servers.get_mut(upstream) else {
            return;
        };
        let agrees = shards as usize == server.owned.len() && digest == server.digest;
        let is_exact = server.giving.is_empty() && server.unwanted.is_empty();
        if !agrees
            && is_exact
            && let Some(run) = &mut server.run
        {
            run.doubtful = true;
        }
    }
}
