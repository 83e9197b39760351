//! The routes that follow from where the shards are.

use std::mem;

use super::{
    Group, Phase,
    message::{Action, Route},
    place::Place,
    server::Server,
};
use copperwell_keyspace::{ShardIndex, UpstreamName};
use tokio::time::Instant;

impl Group {
    /// Sets the routes that have changed.
    pub(super) fn route(&mut self, now: Instant) {
        let any_open = !self.is_isolated(now) && self.servers.values().any(Server::is_open);
        if self.any_open != any_open {
            self.any_open = any_open;
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
            Some(Place::Unknown { .. }) if self.settled => Route::Unowned,
            Some(Place::Free(_)) if !self.any_open => Route::Unowned,
            Some(Place::Owned { by, .. }) => self.owner_route(by),
            Some(_) => Route::Held,
        }
    }

    fn owner_route(&self, by: &UpstreamName) -> Route {
        let server = self.servers.get(by).filter(|server| server.serves());
        let run = server.and_then(Server::established);
        match run.filter(|run| run.lease.is_some()) {
            Some(run) => Route::Owned {
                upstream: by.clone(),
                incarnation: run.incarnation,
            },
            None => Route::Held,
        }
    }

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
