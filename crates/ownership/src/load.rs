//! Request counts of each shard since they were last collected.

use std::sync::{Mutex, MutexGuard, PoisonError};

use copperwell_keyspace::{HashMap, ServiceName, ShardIndex};
use copperwell_policy::group::message::Load;

/// Request counts of the shards that had any requests.
#[derive(Debug, Default)]
pub(crate) struct Loads {
    services: Mutex<HashMap<ServiceName, Counts>>,
}

type Counts = HashMap<ShardIndex, u32>;

impl Loads {
    pub(crate) fn add(&self, service: &ServiceName, shard: ShardIndex, requests: u32) {
        let mut services = self.services();
        let counts = services.entry(service.clone()).or_default();
        let count = counts.entry(shard).or_default();
        *count = count.saturating_add(requests);
    }

    /// Returns the request counts of these shards since the last call, and resets them.
    pub(crate) fn take(
        &self,
        service: &str,
        shards: impl Iterator<Item = ShardIndex>,
    ) -> Vec<Load> {
        let mut services = self.services();
        let Some(counts) = services.get_mut(service) else {
            return Vec::new();
        };
        let taken = shards.filter_map(|shard| {
            let requests = counts.remove(&shard)?;
            Some(Load { shard, requests })
        });
        taken.collect()
    }

    fn services(&self) -> MutexGuard<'_, HashMap<ServiceName, Counts>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
