//! Choice and sending of each server's next order.

use std::collections::BTreeMap;

use super::{
    Group, Phase,
    message::{Action, Order},
    ownership::{Destination, Free, Ownership},
    server::Pending,
};
use crate::placement::{Bin, Item, fill};
use copperwell_keyspace::{ShardIndex, UpstreamName};
use tokio::time::Instant;

/// The most shards in one order.
const ORDER_SHARDS_MAX: usize = 4096;

impl Group {
    /// Sends the next order that is due to each server without an order in flight.
    pub(super) fn send_orders(&mut self, now: Instant) {
        let grants = self.due_grants(now);
        let confirm_since = self.confirmation_needed_since();
        let names: Vec<UpstreamName> = self.servers.keys().cloned().collect();
        for name in names {
            let order = self.next_order(&name, grants.get(&name), confirm_since, now);
            if let Some(order) = order {
                self.send(&name, order, now);
            }
        }
    }

    fn next_order(
        &mut self,
        name: &UpstreamName,
        grants: Option<&Vec<ShardIndex>>,
        confirm_since: Option<Instant>,
        now: Instant,
    ) -> Option<Order> {
        let is_isolated = self.is_isolated(now);
        let has_taken_over = self.has_taken_over;
        let server = self.servers.get(name)?;
        if server.pending.is_some() {
            return None;
        }
        let is_due = server.due_at <= now;
        let Some(run) = &server.run else {
            return is_due.then_some(Order::Fence);
        };
        let needs_confirmation =
            server.misses == 0 && confirm_since.is_some_and(|since| run.confirmed_at < since);
        let is_due = is_due || needs_confirmation;
        if !run.is_established
            || !has_taken_over
            || run.is_out_of_sync
            || server.misses > 0
            || is_isolated
        {
            return (is_due || run.is_out_of_sync).then_some(Order::Fence);
        }
        if is_due {
            return self.renewal(name, now);
        }
        let mut releases: Vec<ShardIndex> = server.to_release.iter().copied().collect();
        releases.extend(self.due_releases(name));
        releases.truncate(ORDER_SHARDS_MAX);
        if !releases.is_empty() {
            self.sequence += 1;
            return Some(Order::Release {
                sequence: self.sequence,
                shards: releases,
            });
        }
        let mut shards: Vec<ShardIndex> = grants.cloned().unwrap_or_default();
        if shards.is_empty() {
            return None;
        }
        shards.truncate(ORDER_SHARDS_MAX);
        let until_ms = run.server_ms(now + self.config.lease);
        let incarnation = run.incarnation;
        self.sequence += 1;
        Some(Order::Grant {
            incarnation,
            sequence: self.sequence,
            lease: self.config.lease,
            until_ms,
            shards,
        })
    }

    fn renewal(&self, name: &UpstreamName, now: Instant) -> Option<Order> {
        let run = self.servers.get(name)?.run.as_ref()?;
        Some(Order::Renew {
            incarnation: run.incarnation,
            lease: self.config.lease,
            until_ms: run.server_ms(now + self.config.lease),
        })
    }

    /// Returns the shards that a server is to release now.
    fn due_releases(&self, name: &UpstreamName) -> Vec<ShardIndex> {
        let Some(server) = self.servers.get(name) else {
            return Vec::new();
        };
        let draining = server.owned.iter().copied().filter(|shard| {
            let Some(Ownership::Draining(draining)) = self.shards.get(shard) else {
                return false;
            };
            draining.is_idle && draining.destination != Destination::Keep
        });
        let granting = server.granting.iter().copied();
        let granting = granting.filter(|_| server.is_draining());
        draining.chain(granting).collect()
    }

    /// Returns the shards to grant to each server now.
    fn due_grants(&self, now: Instant) -> BTreeMap<UpstreamName, Vec<ShardIndex>> {
        let mut grants: BTreeMap<UpstreamName, Vec<ShardIndex>> = BTreeMap::new();
        if self.phase != Phase::Leading || !self.has_taken_over || self.is_isolated(now) {
            return grants;
        }
        let accepting = self
            .servers
            .iter()
            .filter(|(_, server)| server.accepts_grants());
        for (name, server) in accepting.clone() {
            if !server.granting.is_empty() {
                grants.insert(name.clone(), server.granting.iter().copied().collect());
            }
        }
        let assignable = self
            .free
            .iter()
            .filter(|shard| !self.migrating.contains_key(shard));
        let items: Vec<Item> = assignable
            .filter_map(|shard| self.item(*shard, now))
            .collect();
        if items.is_empty() {
            return grants;
        }
        let bins = accepting.map(|(name, server)| {
            let held = server.owned.union(&server.granting);
            Bin {
                upstream: name.clone(),
                slots: server.upstream.slots,
                load: held.map(|shard| self.load_of(*shard, now)).sum(),
            }
        });
        for assignment in fill(bins.collect(), items) {
            grants
                .entry(assignment.upstream)
                .or_default()
                .push(assignment.shard);
        }
        grants
    }

    /// Returns a free shard as a placement item if it may be granted now.
    fn item(&self, shard: ShardIndex, now: Instant) -> Option<Item> {
        let Some(Ownership::Free(free)) = self.shards.get(&shard) else {
            return None;
        };
        if !self.is_grantable(free, now) || self.awaits_preferred(free, now) {
            return None;
        }
        Some(Item {
            shard,
            load: self.load_of(shard, now),
            preferred: free.preferred.clone(),
        })
    }

    fn send(&mut self, name: &UpstreamName, order: Order, now: Instant) {
        if let Order::Grant { shards, .. } = &order {
            for shard in shards {
                self.mark_granting(*shard, name);
            }
        }
        let timeout = self.heartbeat();
        let end = now + self.config.lease;
        self.ticket += 1;
        let ticket = self.ticket;
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        let expiry_before = server.expires_at;
        let extends_lease = match order {
            Order::Grant { .. } => true,
            Order::Renew { .. } => server.may_hold_shards() || !server.to_release.is_empty(),
            Order::Fence | Order::Release { .. } => false,
        };
        if extends_lease && let Some(run) = &server.run {
            let end = run.latest_expiry(end);
            server.extend_expiry(end);
        }
        server.pending = Some(Pending {
            ticket,
            sent: now,
            order: order.clone(),
            expiry_before,
        });
        self.actions.push(Action::Order {
            upstream: server.upstream.clone(),
            ticket,
            order,
            timeout,
        });
    }

    fn mark_granting(&mut self, shard: ShardIndex, to: &UpstreamName) {
        if let Some(Ownership::Free(Free { last_holder, .. })) = self.shards.get(&shard) {
            let ownership = Ownership::Granting {
                to: to.clone(),
                last_holder: last_holder.clone(),
            };
            self.set_ownership(shard, ownership);
        }
    }
}
