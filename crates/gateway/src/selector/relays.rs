//! Daemons that reach upstreams that this one does not.

use std::{net::SocketAddr, sync::Arc};

use super::{Requirements, Selector};
use copperwell_routing::{UpstreamId, registry::Upstream};

impl Selector {
    /// Returns a daemon that reaches upstreams of a service of which this one reaches none.
    pub(super) fn relay_for(
        &self,
        requirements: &Requirements,
        tried: &[SocketAddr],
    ) -> Option<SocketAddr> {
        if !self.view.paths.has_lost() {
            return None;
        }
        let registry = self.view.registry();
        let upstreams = registry.of_service(&requirements.service).iter();
        let is_usable = |one: &&Arc<Upstream>| {
            !one.is_draining && self.view.is_in_regions(&one.zone, &requirements.regions)
        };
        let usable: Vec<_> = upstreams.filter(is_usable).collect();
        let reach = self.view.paths.reach();
        let is_any_usable = usable.iter().any(|one| !reach.is_unusable(&one.id));
        drop(reach);
        if is_any_usable {
            return None;
        }
        let may_relay = |zone: &str| self.view.may_relay_in(zone, &requirements.regions);
        self.relay
            .choose(usable.iter().map(|one| &one.id), tried, may_relay)
    }

    /// Returns whether a request can be sent through another daemon than those of `tried`.
    pub(crate) fn can_relay(&self, requirements: &Requirements, tried: &[SocketAddr]) -> bool {
        let service = &requirements.service;
        let Some(key) = requirements.key else {
            return self.relay_for(requirements, tried).is_some();
        };
        let served = self.view.keys.routing_tables.served(service, key);
        served.is_some_and(|served| {
            self.relay_to(&served.upstream, requirements, tried)
                .is_some()
        })
    }

    /// Returns a daemon that reaches a holder that this one does not.
    pub(super) fn relay_to(
        &self,
        holder: &UpstreamId,
        requirements: &Requirements,
        tried: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let may_relay = |zone: &str| self.view.may_relay_in(zone, &requirements.regions);
        let is_unusable = self.view.paths.has_lost() && self.view.paths.reach().is_unusable(holder);
        is_unusable
            .then(|| self.relay.choose([holder], tried, may_relay))
            .flatten()
    }
}
