//! Changes of the manifest and the log.

use std::collections::BTreeSet;

use super::{
    Group, REPEAT_INTERVAL,
    message::{Action, Config},
    ownership::{Free, Ownership},
    server::Server,
};
use copperwell_keyspace::{ShardIndex, UpstreamName, manifest::Upstream};
use tokio::time::Instant;

impl Group {
    /// Applies a new configuration.
    pub(super) fn on_config(&mut self, config: Config, now: Instant) {
        for upstream in config.upstreams.iter().chain(&config.former) {
            self.on_upstream(upstream, now);
        }
        for (name, server) in &mut self.servers {
            server.is_removed = !config.has_upstream(name);
            self.changed.extend(&server.owned);
        }
        let wanted: BTreeSet<ShardIndex> = config.shards.iter().copied().collect();
        let known: Vec<ShardIndex> = self.shards.keys().copied().collect();
        for shard in known.iter().filter(|shard| !wanted.contains(shard)) {
            self.remove_shard(*shard);
        }
        for shard in &config.shards {
            if !self.shards.contains_key(shard) {
                self.set_ownership(*shard, Ownership::Free(Free::default()));
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
            self.retain_old_address(&upstream.name);
        }
        let server = Server::new(upstream.clone(), now);
        self.servers.insert(upstream.name.clone(), server);
    }

    /// Keeps the server at an upstream's old address under another name until it holds no shards.
    fn retain_old_address(&mut self, name: &UpstreamName) {
        let Some(mut server) = self.servers.remove(name) else {
            return;
        };
        let alias: UpstreamName = format!("{name} at {}", server.upstream.address).into();
        server.upstream.name = alias.clone();
        server.is_removed = true;
        if server.pending.take().is_some() {
            server.misses += 1;
        }
        for shard in server.held_shards() {
            self.changed.insert(shard);
            match self.shards.get_mut(&shard) {
                Some(Ownership::Owned { holder, .. } | Ownership::Granting { to: holder, .. }) => {
                    *holder = alias.clone()
                }
                Some(Ownership::Draining(draining)) => draining.holder = alias.clone(),
                _ => {}
            }
        }
        self.servers.insert(alias, server);
    }

    /// Reports removed servers that hold no shards, and drops those that the log no longer has.
    pub(super) fn prune(&mut self, now: Instant) {
        let has_expired = self.predecessor_leases_end().is_some_and(|at| at <= now);
        for server in self.servers.values_mut() {
            let is_resolved = server.established().is_some() || has_expired;
            let is_empty = is_resolved && self.unknown.is_empty() && server.is_empty(now);
            server.empty_since = is_empty.then(|| server.empty_since.unwrap_or(now));
        }
        let former = &self.config.former;
        let is_former = |name: &UpstreamName| former.iter().any(|upstream| upstream.name == *name);
        self.servers
            .retain(|name, server| server.empty_since.is_none() || is_former(name));
        let empty = self.servers.iter().filter(|(_, server)| {
            let since = server.empty_since;
            since.is_some_and(|since| self.is_confirmed(since))
        });
        let empty: Vec<UpstreamName> = empty.map(|(name, _)| name.clone()).collect();
        if !empty.is_empty() && now >= self.retire_at {
            self.retire_at = now + REPEAT_INTERVAL;
            self.actions.push(Action::Retire(empty));
        }
    }
}
