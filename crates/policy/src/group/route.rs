//! The routes derived from the ownership of the shards.

use std::mem;

use super::{
    Group, Phase,
    message::{Action, Route},
    ownership::Ownership,
    server::Server,
};
use copperwell_keyspace::{ShardIndex, UpstreamName};
use tokio::time::Instant;

impl Group {
    /// Updates the routes of the changed shards.
    pub(super) fn update_routes(&mut self, now: Instant) {
        let has_accepting_server =
            !self.is_isolated(now) && self.servers.values().any(Server::accepts_grants);
        if self.has_accepting_server != has_accepting_server {
            self.has_accepting_server = has_accepting_server;
            self.changed.extend(&self.free);
        }
        for shard in mem::take(&mut self.changed) {
            let route = self.route_of(shard);
            self.set_route(shard, route);
        }
    }

    fn route_of(&self, shard: ShardIndex) -> Route {
        match self.shards.get(&shard) {
            None => Route::Elsewhere,
            Some(_) if self.phase == Phase::HandingOver => Route::Held,
            Some(Ownership::Unknown { .. }) if self.has_taken_over => Route::Unowned,
            Some(Ownership::Free(_)) if !self.has_accepting_server => Route::Unowned,
            Some(Ownership::Owned { holder, .. }) => self.owner_route(holder),
            Some(_) => Route::Held,
        }
    }

    fn owner_route(&self, holder: &UpstreamName) -> Route {
        let server = self
            .servers
            .get(holder)
            .filter(|server| server.accepts_requests());
        let run = server.and_then(Server::established);
        match run.filter(|run| run.lease_until.is_some()) {
            Some(run) => Route::Owned {
                upstream: holder.clone(),
                incarnation: run.incarnation,
            },
            None => Route::Held,
        }
    }

    /// Sets the route of a shard and emits an action if it differs from the current one.
    pub(super) fn set_route(&mut self, shard: ShardIndex, route: Route) {
        if self.routes.get(&shard) != Some(&route) {
            self.actions.push(Action::Route {
                shard,
                route: route.clone(),
            });
            self.routes.insert(shard, route);
        }
    }
}
