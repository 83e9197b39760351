//! The orders that each server needs next.

use std::collections::BTreeMap;

use super::{
    Group, Phase,
    message::{Action, Order},
    place::{Free, Goal, Place},
    server::Pending,
};
use crate::placement::{Bin, Item, fill};
use copperwell_keyspace::{ShardIndex, UpstreamName};
use tokio::time::Instant;

/// The most shards in one order.
const ORDER_SHARDS_MAX: usize = 4096;

impl Group {
    /// Gives every server without an order the next one that it needs.
    pub(super) fn order(&mut self, now: Instant) {
        let gives = self.gives(now);
        let confirm = self.confirm_since();
        let names: Vec<UpstreamName> = self.servers.keys().cloned().collect();
        for name in names {
            let order = self.next_order(&name, gives.get(&name), confirm, now);
            if let Some(order) = order {
                self.send(&name, order, now);
            }
        }
    }

    fn next_order(
        &mut self,
        name: &UpstreamName,
        gives: Option<&Vec<ShardIndex>>,
        confirm: Option<Instant>,
        now: Instant,
    ) -> Option<Order> {
        let is_isolated = self.is_isolated(now);
        let is_settled = self.settled;
        let server = self.servers.get(name)?;
        if server.pending.is_some() {
            return None;
        }
        let is_due = server.due <= now;
        let Some(run) = &server.run else {
            return is_due.then_some(Order::Fence);
        };
        let wants_word = server.misses == 0 && confirm.is_some_and(|since| run.confirmed < since);
        let is_due = is_due || wants_word;
        if !run.established || !is_settled || run.doubtful || server.misses > 0 || is_isolated {
            return (is_due || run.doubtful).then_some(Order::Fence);
        }
        if is_due {
            return self.renewal(name, now);
        }
        let mut release: Vec<ShardIndex> = server.unwanted.iter().copied().collect();
        release.extend(self.releases(name));
        release.truncate(ORDER_SHARDS_MAX);
        if !release.is_empty() {
            self.sequence += 1;
            return Some(Order::Release {
                sequence: self.sequence,
                shards: release,
            });
        }
        let mut shards: Vec<ShardIndex> = gives.cloned().unwrap_or_default();
        if shards.is_empty() {
            return None;
        }
        shards.truncate(ORDER_SHARDS_MAX);
        let until_ms = run.server_ms(now + self.config.lease);
        let incarnation = run.incarnation;
        self.sequence += 1;
        Some(Order::Give {
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

    /// Shards that a server is to let go of now.
    fn releases(&self, name: &UpstreamName) -> Vec<ShardIndex> {
        let Some(server) = self.servers.get(name) else {
            return Vec::new();
        };
        let leaving = server.owned.iter().copied().filter(|shard| {
            let Some(Place::Leaving(leaving)) = self.shards.get(shard) else {
                return false;
            };
            leaving.idle && leaving.goal != Goal::Stay
        });
        let doubtful = server.giving.iter().copied();
        let doubtful = doubtful.filter(|_| server.is_leaving());
        leaving.chain(doubtful).collect()
    }

    /// The shards that each server is to get now.
    fn gives(&self, now: Instant) -> BTreeMap<UpstreamName, Vec<ShardIndex>> {
        let mut gives: BTreeMap<UpstreamName, Vec<ShardIndex>> = BTreeMap::new();
        if self.phase != Phase::Leading || !self.settled || self.is_isolated(now) {
            return gives;
        }
        let open = self.servers.iter().filter(|(_, server)| server.is_open());
        for (name, server) in open.clone() {
            if !server.giving.is_empty() {
                gives.insert(name.clone(), server.giving.iter().copied().collect());
            }
        }
        let staying = self
            .free
            .iter()
            .filter(|shard| !self.departing.contains_key(shard));
        let items: Vec<Item> = staying.filter_map(|shard| self.item(*shard, now)).collect();
        if items.is_empty() {
            return gives;
        }
        let bins = open.map(|(name, server)| {
            let held = server.owned.union(&server.giving);
            Bin {
                upstream: name.clone(),
                slots: server.upstream.slots,
                load: held.map(|shard| self.load_of(*shard, now)).sum(),
            }
        });
        for target in fill(bins.collect(), items) {
            gives.entry(target.upstream).or_default().push(target.shard);
        }
        gives
    }

    /// A free shard that may be given now.
    fn item(&self, shard: ShardIndex, now: Instant) -> Option<Item> {
        let Some(Place::Free(free)) = self.shards.get(&shard) else {
            return None;
        };
        if !self.is_ready(free, now) || self.is_awaited(free, now) {
            return None;
        }
        Some(Item {
            shard,
            load: self.load_of(shard, now),
            next: free.next.clone(),
        })
    }

    fn send(&mut self, name: &UpstreamName, order: Order, now: Instant) {
        if let Order::Give { shards, .. } = &order {
            for shard in shards {
                self.mark_giving(*shard, name);
            }
        }
        let timeout = self.heartbeat();
        let end = now + self.config.lease;
        self.ticket += 1;
        let ticket = self.ticket;
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        let lapse = server.lapse;
        let prolongs = match order {
            Order::Give { .. } => true,
            Order::Renew { .. } => server.holds() || !server.unwanted.is_empty(),
            Order::Fence | Order::Release { .. } => false,
        };
        if prolongs && let Some(run) = &server.run {
            let end = run.latest(end);
            server.may_hold(end);
        }
        server.pending = Some(Pending {
            ticket,
            sent: now,
            order: order.clone(),
            lapse,
        });
        self.actions.push(Action::Order {
            upstream: server.upstream.clone(),
            ticket,
            order,
            timeout,
        });
    }

    fn mark_giving(&mut self, shard: ShardIndex, to: &UpstreamName) {
        if let Some(Place::Free(Free { last, .. })) = self.shards.get(&shard) {
            let place = Place::Giving {
                to: to.clone(),
                last: last.clone(),
            };
            self.put(shard, place);
        }
    }
}
