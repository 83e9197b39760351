//! The ownership of each shard and the indexes derived from it.

use super::{Group, message::Ticket, server::Server};
use copperwell_keyspace::{Epoch, GroupId, Sequence, ShardIndex, UpstreamName};
use tokio::time::Instant;

/// The ownership of a shard.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Ownership {
    /// No server that has answered holds it; one that has not answered may.
    Unknown {
        /// The upstream whose grant has expired.
        last_holder: Option<UpstreamName>,
    },
    /// No server holds it.
    Free(Free),
    /// A grant is in flight or was not answered.
    Granting {
        /// The upstream that the grant is for.
        to: UpstreamName,
        /// The upstream that held the shard last.
        last_holder: Option<UpstreamName>,
    },
    /// A server holds it.
    Owned {
        /// The server's upstream.
        holder: UpstreamName,
        /// The token of the grant.
        token: FencingToken,
    },
    /// A server holds it, and its requests in flight are awaited before it is released or handed
    /// over.
    Draining(Draining),
    /// No server of the group holds it, and the log is to assign it to another group.
    Detached {
        /// The group that is to own it.
        to: GroupId,
    },
}

/// A shard that no server holds.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Free {
    /// When it was lost: before it is granted, a quorum must confirm after this time that no later
    /// leader has renewed or granted it.
    pub(super) lost_at: Option<Instant>,
    /// Until when a delayed grant may still be accepted by its last holder, a server that does not
    /// check epochs and sequences.
    pub(super) late_grant_until: Option<Instant>,
    /// The upstream that held it last.
    pub(super) last_holder: Option<UpstreamName>,
    /// The upstream that is to get it if possible.
    pub(super) preferred: Option<UpstreamName>,
    /// Until when a grant waits for a new run of the preferred upstream to start.
    pub(super) wait_until: Option<Instant>,
}

/// A shard whose requests in flight are awaited.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Draining {
    /// The upstream whose server holds it.
    pub(super) holder: UpstreamName,
    /// The token of the grant.
    pub(super) token: FencingToken,
    /// The ticket of the wait for its last request.
    pub(super) ticket: Ticket,
    /// Whether no request is in flight.
    pub(super) is_idle: bool,
    /// Where it goes once idle.
    pub(super) destination: Destination,
}

/// Where a draining shard goes.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Destination {
    /// The upstream with the least load.
    Any,
    /// This upstream.
    Upstream(UpstreamName),
    /// The holder keeps it, and another daemon becomes leader.
    Keep,
}

/// The fencing token of a grant, which orders the grants of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct FencingToken {
    /// The leader's epoch.
    pub(super) epoch: Epoch,
    /// The order's sequence number within the epoch.
    pub(super) sequence: Sequence,
}

impl Ownership {
    /// Returns the upstream whose server holds the shard.
    pub(super) fn holder(&self) -> Option<&UpstreamName> {
        match self {
            Self::Owned { holder, .. } | Self::Draining(Draining { holder, .. }) => Some(holder),
            _ => None,
        }
    }
}

impl Group {
    /// Records that an upstream's server no longer holds any of its shards.
    pub(super) fn mark_all_lost(
        &mut self,
        upstream: &UpstreamName,
        wait_until: Option<Instant>,
        now: Instant,
    ) {
        let server = self.servers.get(upstream);
        for shard in server.map_or_else(Vec::new, Server::held_shards) {
            self.mark_lost(shard, upstream, wait_until, now);
        }
    }

    /// Records that an upstream's server no longer holds a shard that it was not ordered to
    /// release.
    ///
    /// If the run is not established yet, an earlier leader may meanwhile have granted the shard to
    /// a server that has not answered. The shard is then unknown, as if no server had reported it.
    pub(super) fn mark_lost(
        &mut self,
        shard: ShardIndex,
        upstream: &UpstreamName,
        wait_until: Option<Instant>,
        now: Instant,
    ) {
        let server = self.servers.get(upstream);
        let is_established = server.is_some_and(|server| server.established().is_some());
        let last_holder = Some(upstream.clone());
        let ownership = if is_established {
            Ownership::Free(Free {
                lost_at: Some(now),
                late_grant_until: None,
                preferred: last_holder.clone(),
                last_holder,
                wait_until,
            })
        } else {
            Ownership::Unknown { last_holder }
        };
        self.set_ownership(shard, ownership);
    }

    /// Sets the ownership of a shard and updates the indexes.
    pub(super) fn set_ownership(&mut self, shard: ShardIndex, ownership: Ownership) {
        if let Some(old) = self.shards.get(&shard).cloned() {
            self.remove_from_indexes(shard, &old);
        }
        self.add_to_indexes(shard, &ownership);
        self.shards.insert(shard, ownership);
        self.changed.insert(shard);
    }

    /// Removes a shard that the group no longer owns; its holder, if any, is to release it.
    pub(super) fn remove_shard(&mut self, shard: ShardIndex) {
        let Some(ownership) = self.shards.remove(&shard) else {
            return;
        };
        self.remove_from_indexes(shard, &ownership);
        self.loads.remove(&shard);
        self.migrating.remove(&shard);
        self.changed.insert(shard);
        let granting = match &ownership {
            Ownership::Granting { to, .. } => Some(to),
            _ => None,
        };
        if let Some(holder) = ownership.holder().or(granting)
            && let Some(server) = self.servers.get_mut(holder)
        {
            server.to_release.insert(shard);
        }
    }

    fn add_to_indexes(&mut self, shard: ShardIndex, ownership: &Ownership) {
        match ownership {
            Ownership::Unknown { .. } => {
                self.unknown.insert(shard);
            }
            Ownership::Free(_) => {
                self.free.insert(shard);
            }
            Ownership::Granting { to, .. } => {
                if let Some(server) = self.servers.get_mut(to) {
                    server.granting.insert(shard);
                }
            }
            Ownership::Owned { .. } => {}
            Ownership::Draining(_) => {
                self.draining.insert(shard);
            }
            Ownership::Detached { .. } => {
                self.detached.insert(shard);
            }
        }
        let digest = (self.shard_digest)(shard);
        if let Some(holder) = ownership.holder()
            && let Some(server) = self.servers.get_mut(holder)
            && server.owned.insert(shard)
        {
            server.digest ^= digest;
        }
    }

    fn remove_from_indexes(&mut self, shard: ShardIndex, ownership: &Ownership) {
        self.free.remove(&shard);
        self.unknown.remove(&shard);
        self.draining.remove(&shard);
        self.detached.remove(&shard);
        if let Ownership::Granting { to, .. } = ownership
            && let Some(server) = self.servers.get_mut(to)
        {
            server.granting.remove(&shard);
        }
        let digest = (self.shard_digest)(shard);
        if let Some(holder) = ownership.holder()
            && let Some(server) = self.servers.get_mut(holder)
            && server.owned.remove(&shard)
        {
            server.digest ^= digest;
        }
    }
}
