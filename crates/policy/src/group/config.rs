//! Changes of what manifest and log say.

use std::collections::BTreeSet;

use super::{
    Group, REPEAT,
    message::{Action, Config},
    place::{Free, Place},
    server::Server,
};
use copperwell_keyspace::{ShardIndex, UpstreamName, manifest::Upstream};
use tokio::time::Instant;

impl Group {
    /// Follows manifest and log.
    pub(super) fn on_config(&mut self, config: Config, now: Instant) {
        for upstream in config.upstreams.iter().chain(&config.former) {
            self.on_upstream(upstream, now);
        }
        for (name, server) in &mut self.servers {
            server.removed = !config.has(name);
            self.changed.extend(&server.owned);
        }
        let wanted: BTreeSet<ShardIndex> = config.shards.iter().copied().collect();
        let held: Vec<ShardIndex> = self.shards.keys().copied().collect();
        for shard in held.iter().filter(|shard| !wanted.contains(shard)) {
            self.forget(*shard);
        }
        for shard in &config.shards {
            if !self.shards.contains_key(shard) {
                self.put(*shard, Place::Free(Free::default()));
            }
        }
        self.config = config;
    }

    fn on_upstream(&mut self, upstream: &Upstream, now: Instant) {
        if let Some(server) = self.servers.get_mut(&upstream.name) {
            if server.upstream.address == upstream.address {
                server.upstream = upstream.clone();
                return;
            }
            self.set_aside(&upstream.name);
        }
        let server = Server::new(upstream.clone(), now);
        self.servers.insert(upstream.name.clone(), server);
    }

    /// Keeps the server at an upstream's old address under another name until it holds nothing.
    fn set_aside(&mut self, name: &UpstreamName) {
        let Some(mut server) = self.servers.remove(name) else {
            return;
        };
        let aside: UpstreamName = format!("{name} at {}", server.upstream.address).into();
        server.upstream.name = aside.clone();
        server.removed = true;
        if server.pending.take().is_some() {
            server.misses += 1;
        }
        for shard in server.held_shards() {
            self.changed.insert(shard);
            match self.shards.get_mut(&shard) {
                Some(Place::Owned { by, .. } | Place::Giving { to: by, .. }) => *by = aside.clone(),
                Some(Place::Leaving(leaving)) => leaving.by = aside.clone(),
                _ => {}
            }
        }
        self.servers.insert(aside, server);
    }

    /// Tells of removed servers that hold nothing, and forgets those that the log has dropped.
    pub(super) fn prune(&mut self, now: Instant) {
        let waited_out = self.waited_out().is_some_and(|at| at <= now);
        for server in self.servers.values_mut() {
            let is_known = server.established().is_some() || waited_out;
            let is_empty = is_known && self.unknown.is_empty() && server.is_empty(now);
            server.emptied = is_empty.then(|| server.emptied.unwrap_or(now));
        }
        let former = &self.config.former;
        let is_former = |name: &UpstreamName| former.iter().any(|upstream| upstream.name == *name);
        self.servers
            .retain(|name, server| server.emptied.is_none() || is_former(name));
        let empty = self.servers.iter().filter(|(_, server)| {
            let since = server.emptied;
            since.is_some_and(|since| self.is_confirmed(since))
        });
        let empty: Vec<UpstreamName> = empty.map(|(name, _)| name.clone()).collect();
        if !empty.is_empty() && now >= self.retire_at {
            self.retire_at = now + REPEAT;
            self.actions.push(Action::Retire(empty));
        }
    }
}
