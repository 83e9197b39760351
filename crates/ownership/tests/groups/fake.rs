//! Fake servers that implement [`Control`].

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use copperwell_backend::{
    Control, Failure,
    order::{Fence, Fenced, Give, Held, Refusal, Release, Renew, digest_of},
};
use copperwell_keyspace::{Epoch, HashMap, ShardIndex, grant::Grant, manifest::Manifest};
use tokio::time::{Instant, sleep};

const ROUND_TRIP: Duration = Duration::from_millis(1);

/// All servers of a group; server `n` has port `n + 1`.
pub(crate) struct Fake {
    base: Instant,
    servers: Vec<Mutex<Server>>,
}

#[derive(Default)]
struct Server {
    is_down: bool,
    epoch_max: Epoch,
    held: HashMap<ShardIndex, Entry>,
}

struct Entry {
    epoch: Epoch,
    sequence: u64,
    until: Instant,
}

/// Builds a manifest with one upstream per given data centre.
pub(crate) fn manifest(replaces: u64, shards: u32, upstreams: &[&str]) -> Manifest {
    let upstreams: Vec<serde_json::Value> = upstreams
        .iter()
        .enumerate()
        .map(|(index, data_centre)| {
            serde_json::json!({
                "name": format!("u{index}"),
                "data_centre": data_centre,
                "address": format!("127.0.0.1:{}", index + 1),
                "slots": 2,
                "connections": 130,
            })
        })
        .collect();
    let manifest = serde_json::json!({
        "replaces": replaces,
        "data_centres": [
            {"name": "cluj", "region": "ro-nord"},
            {"name": "turda", "region": "ro-nord"},
        ],
        "services": [{
            "name": "calendar",
            "class": "interactive",
            "shards": shards,
            "upstreams": upstreams,
        }],
    });
    serde_json::from_value(manifest).unwrap()
}

impl Fake {
    pub(crate) fn new(servers: usize) -> Self {
        Self {
            base: Instant::now(),
            servers: (0..servers).map(|_| Mutex::default()).collect(),
        }
    }

    /// Makes a server refuse connections from now on.
    pub(crate) fn kill(&self, server: usize) {
        let mut server = self.servers[server]
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        server.is_down = true;
    }

    /// Returns the server if it is up and the epoch is not stale.
    async fn accept(
        &self,
        to: SocketAddr,
        epoch: Epoch,
    ) -> Result<MutexGuard<'_, Server>, Failure> {
        sleep(ROUND_TRIP).await;
        let server = &self.servers[usize::from(to.port()) - 1];
        let mut server = server.lock().unwrap_or_else(PoisonError::into_inner);
        if server.is_down {
            return Err(Failure::Unreachable);
        }
        if epoch < server.epoch_max {
            return Err(Failure::Fenced(Refusal {
                incarnation: 1,
                epoch: server.epoch_max,
            }));
        }
        server.epoch_max = epoch;
        Ok(server)
    }

    fn clock_ms(&self) -> u64 {
        u64::try_from(self.base.elapsed().as_millis()).unwrap()
    }

    fn held(&self, server: &Server) -> Held {
        let now = Instant::now();
        let unexpired = server.held.iter().filter(|(_, entry)| entry.until > now);
        Held {
            incarnation: 1,
            shards: u32::try_from(unexpired.clone().count()).unwrap(),
            digest: unexpired.fold(0, |sum, (shard, _)| sum ^ digest_of(*shard)),
            draining: false,
            in_flight: 0,
            clock_ms: self.clock_ms(),
        }
    }
}

impl Control for Fake {
    async fn fence(&self, to: SocketAddr, order: &Fence) -> Result<Fenced, Failure> {
        let server = self.accept(to, order.epoch).await?;
        let now = Instant::now();
        let grants = server.held.iter().map(|(shard, entry)| Grant {
            service: order.group.service.clone(),
            shard: *shard,
            epoch: entry.epoch,
            sequence: entry.sequence,
            remaining: entry.until.saturating_duration_since(now),
        });
        Ok(Fenced {
            incarnation: 1,
            grants: grants.collect(),
            draining: false,
            clock_ms: self.clock_ms(),
        })
    }

    async fn give(&self, to: SocketAddr, order: &Give) -> Result<Held, Failure> {
        let mut server = self.accept(to, order.epoch).await?;
        let until = self.base + Duration::from_millis(order.until_ms);
        for shard in &order.shards {
            let entry = Entry {
                epoch: order.epoch,
                sequence: order.sequence,
                until,
            };
            server.held.insert(*shard, entry);
        }
        Ok(self.held(&server))
    }

    async fn renew(&self, to: SocketAddr, order: &Renew) -> Result<Held, Failure> {
        let mut server = self.accept(to, order.epoch).await?;
        let now = Instant::now();
        let until = self.base + Duration::from_millis(order.until_ms);
        for entry in server.held.values_mut().filter(|entry| entry.until > now) {
            entry.until = until;
        }
        Ok(self.held(&server))
    }

    async fn release(&self, to: SocketAddr, order: &Release) -> Result<Held, Failure> {
        let mut server = self.accept(to, order.epoch).await?;
        server.held.retain(|shard, _| !order.shards.contains(shard));
        Ok(self.held(&server))
    }
}
