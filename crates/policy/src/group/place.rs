//! Where each shard is, and the indexes that follow from it.

use super::{Group, message::Ticket, server::Server};
use copperwell_keyspace::{Epoch, GroupId, Sequence, ShardIndex, UpstreamName};
use tokio::time::Instant;

/// Where a shard is.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Place {
    /// No server that has answered holds it.
    Unknown {
        /// The upstream whose grant of it has lapsed.
        last: Option<UpstreamName>,
    },
    /// No server holds it.
    Free(Free),
    /// A grant is under way or was not answered.
    Giving {
        /// The upstream.
        to: UpstreamName,
        /// The upstream that had it last.
        last: Option<UpstreamName>,
    },
    /// A server holds it.
    Owned {
        /// Its upstream.
        by: UpstreamName,
        /// Which grant.
        stamp: Stamp,
    },
    /// A server holds it and is to let go of it.
    Leaving(Leaving),
    /// No server of the group holds it, and another group is to own it.
    Away {
        /// The other group.
        to: GroupId,
    },
}

/// A shard that no server holds.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Free {
    /// When it was lost: a quorum has to confirm after this time that no later leader has kept it
    /// where it was, or granted it.
    pub(super) since: Option<Instant>,
    /// Until when a delayed order may still bring it back to a server that does not check orders.
    pub(super) unsure: Option<Instant>,
    /// The upstream that had it last.
    pub(super) last: Option<UpstreamName>,
    /// The upstream that is to have it.
    pub(super) next: Option<UpstreamName>,
    /// Until when that one is waited for while a new run of it comes up.
    pub(super) patience: Option<Instant>,
}

/// A shard that a server is to let go of.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Leaving {
    /// The upstream.
    pub(super) by: UpstreamName,
    /// Which grant.
    pub(super) stamp: Stamp,
    /// The wait for its last request.
    pub(super) ticket: Ticket,
    /// Whether no request is in flight.
    pub(super) idle: bool,
    /// Where it goes.
    pub(super) goal: Goal,
}

/// Where a shard goes.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Goal {
    /// Whichever upstream has the least load.
    Anywhere,
    /// This upstream.
    Upstream(UpstreamName),
    /// It stays where it is, and another daemon leads.
    Stay,
}

/// Orders the grants of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Stamp {
    /// The leader's epoch.
    pub(super) epoch: Epoch,
    /// The order's place within the epoch.
    pub(super) sequence: Sequence,
}

impl Place {
    /// The upstream whose server holds the shard.
    pub(super) fn holder(&self) -> Option<&UpstreamName> {
        match self {
            Self::Owned { by, .. } | Self::Leaving(Leaving { by, .. }) => Some(by),
            _ => None,
        }
    }
}

impl Group {
    /// Notes that an upstream's server holds none of its shards any more.
    pub(super) fn drop_all(
        &mut self,
        upstream: &UpstreamName,
        patience: Option<Instant>,
        now: Instant,
    ) {
        let server = self.servers.get(upstream);
        for shard in server.map_or_else(Vec::new, Server::held_shards) {
            self.drop_shard(shard, upstream, patience, now);
        }
    }

    /// Notes that an upstream's server holds a shard no more, though it was not told to let go.
    ///
    /// If the run did not count yet, an earlier leader may have granted the shard elsewhere since,
    /// to a server that has not answered: then it is as if nobody had reported it.
    pub(super) fn drop_shard(
        &mut self,
        shard: ShardIndex,
        upstream: &UpstreamName,
        patience: Option<Instant>,
        now: Instant,
    ) {
        let server = self.servers.get(upstream);
        let counts = server.is_some_and(|server| server.established().is_some());
        let last = Some(upstream.clone());
        let place = if counts {
            Place::Free(Free {
                since: Some(now),
                unsure: None,
                next: last.clone(),
                last,
                patience,
            })
        } else {
            Place::Unknown { last }
        };
        self.put(shard, place);
    }

    /// Puts a shard in its place.
    pub(super) fn put(&mut self, shard: ShardIndex, place: Place) {
        if let Some(old) = self.shards.get(&shard).cloned() {
            self.unlink(shard, &old);
        }
        self.link(shard, &place);
        self.shards.insert(shard, place);
        self.changed.insert(shard);
    }

    /// Drops a shard that another group owns from here on.
    pub(super) fn forget(&mut self, shard: ShardIndex) {
        let Some(place) = self.shards.remove(&shard) else {
            return;
        };
        self.unlink(shard, &place);
        self.loads.remove(&shard);
        self.departing.remove(&shard);
        self.changed.insert(shard);
        let giving = match &place {
            Place::Giving { to, .. } => Some(to),
            _ => None,
        };
        if let Some(by) = place.holder().or(giving)
            && let Some(server) = self.servers.get_mut(by)
        {
            server.unwanted.insert(shard);
        }
    }

    fn link(&mut self, shard: ShardIndex, place: &Place) {
        match place {
            Place::Unknown { .. } => {
                self.unknown.insert(shard);
            }
            Place::Free(_) => {
                self.free.insert(shard);
            }
            Place::Giving { to, .. } => {
                if let Some(server) = self.servers.get_mut(to) {
                    server.giving.insert(shard);
                }
            }
            Place::Owned { .. } => {}
            Place::Leaving(_) => {
                self.leaving.insert(shard);
            }
            Place::Away { .. } => {
                self.away.insert(shard);
            }
        }
        let digest = (self.digest)(shard);
        if let Some(by) = place.holder()
            && let Some(server) = self.servers.get_mut(by)
            && server.owned.insert(shard)
        {
            server.digest ^= digest;
        }
    }

    fn unlink(&mut self, shard: ShardIndex, place: &Place) {
        self.free.remove(&shard);
        self.unknown.remove(&shard);
        self.leaving.remove(&shard);
        self.away.remove(&shard);
        if let Place::Giving { to, .. } = place
            && let Some(server) = self.servers.get_mut(to)
        {
            server.giving.remove(&shard);
        }
        let digest = (self.digest)(shard);
        if let Some(by) = place.holder()
            && let Some(server) = self.servers.get_mut(by)
            && server.owned.remove(&shard)
        {
            server.digest ^= digest;
        }
    }
}
