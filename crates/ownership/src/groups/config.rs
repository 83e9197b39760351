//! The configuration of a group.

use copperwell_keyspace::{
    GroupId,
    manifest::{OnIsolation, Upstream},
    replay::State,
};
use copperwell_policy::group::message::Config;

/// Returns the configuration of a group from manifest and log; `None` if it needs no leader.
pub(super) fn config_of(state: &State, id: &GroupId) -> Option<Config> {
    let former = state.former.get(id).cloned().unwrap_or_default();
    let service = state.manifest.as_ref()?.service(&id.service);
    let lease_max = state.leases.get(&id.service).copied();
    let Some(service) = service else {
        // Only the grants of a removed service are left to release.
        let lease = lease_max.filter(|_| !former.is_empty())?;
        return Some(Config {
            upstreams: Vec::new(),
            former,
            shards: Vec::new(),
            lease,
            lease_max: lease,
            isolation: None,
        });
    };
    let upstreams = service.upstreams.iter();
    let upstreams = upstreams.filter(|upstream| upstream.group(&id.service) == *id);
    let upstreams: Vec<Upstream> = upstreams.cloned().collect();
    let owners = state.owners.get(&id.service);
    let shards = owners.map_or_else(Vec::new, |owners| owners.positions_of(id));
    if upstreams.is_empty() && former.is_empty() && shards.is_empty() {
        return None;
    }
    Some(Config {
        upstreams,
        former,
        shards,
        lease: service.lease,
        lease_max: lease_max.unwrap_or_default().max(service.lease),
        isolation: match service.on_isolation {
            OnIsolation::Keep => None,
            OnIsolation::Release => Some(service.limits.isolation),
        },
    })
}
