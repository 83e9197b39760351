//! Requests of each shard since they were last asked for.

use std::sync::{
    Arc, PoisonError, RwLock,
    atomic::{AtomicU32, Ordering},
};

use copperwell_keyspace::{HashMap, ServiceName, ShardIndex};
use copperwell_policy::group::message::Load;

/// Counts requests; cheap enough for each of them.
#[derive(Debug, Default)]
pub(crate) struct Loads {
    services: RwLock<HashMap<ServiceName, Arc<[AtomicU32]>>>,
}

impl Loads {
    pub(crate) fn add_service(&self, service: &ServiceName, shards: u32) {
        let mut services = self
            .services
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let known = services.get(service).map(|counts| counts.len());
        if known != Some(shards as usize) {
            let counts = (0..shards).map(|_| AtomicU32::new(0)).collect();
            services.insert(service.clone(), counts);
        }
    }

    pub(crate) fn add(&self, service: &str, shard: ShardIndex, requests: u32) {
        let counts = self.counts(service);
        let count = counts
            .as_ref()
            .and_then(|counts| counts.get(shard as usize));
        if let Some(count) = count {
            count.fetch_add(requests, Ordering::Relaxed);
        }
    }

    /// The requests of these shards since the last call.
    pub(crate) fn take(
        &self,
        service: &str,
        shards: impl Iterator<Item = ShardIndex>,
    ) -> Vec<Load> {
        let Some(counts) = self.counts(service) else {
            return Vec::new();
        };
        let taken = shards.filter_map(|shard| {
            let requests = counts.get(shard as usize)?.swap(0, Ordering::Relaxed);
            (requests > 0).then_some(Load { shard, requests })
        });
        taken.collect()
    }

    fn counts(&self, service: &str) -> Option<Arc<[AtomicU32]>> {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        services.get(service).cloned()
    }
}
