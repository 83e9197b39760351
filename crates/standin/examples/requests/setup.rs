//! Sets up the servers and daemons to measure.

use std::{io, path::Path, time::Duration};

use copperwell_keyspace::manifest::{
    DataCentre, Fencing, Limits, Manifest, OnIsolation, Service, Upstream,
};
use copperwell_message::Class;
use copperwell_rig::{
    cluster::Cluster,
    node::{Launch, Node},
};

/// The name of the measured service and of its data centre.
pub(crate) const SERVICE: &str = "bench";

/// The number of shards of the service.
pub(crate) const SHARDS: u32 = 64;

/// The number of servers of a cluster, and their capacity.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Size {
    pub(crate) upstreams: usize,
    pub(crate) slots: u32,
    pub(crate) service_ms: u64,
}

/// Starts daemons and servers, and waits until they are ready.
pub(crate) async fn start(
    daemon: Option<&Path>,
    daemons: usize,
    size: Size,
    workers: usize,
) -> io::Result<Cluster> {
    let service_time = Duration::from_millis(size.service_ms);
    let service_times = [(SERVICE.to_owned(), service_time)].into_iter().collect();
    let mut cluster = Cluster::start_servers(manifest(size), &service_times).await?;
    if let Some(daemon) = daemon {
        cluster.launch = Launch::Program(daemon.to_owned());
    }
    cluster.workers = workers;
    cluster.publish().await?;
    for _ in 0..daemons.max(2) {
        cluster.add_node(SERVICE).await?;
    }
    cluster.wait_ready().await?;
    Ok(cluster)
}

fn manifest(size: Size) -> Manifest {
    let upstreams = (0..size.upstreams).map(|index| Upstream {
        name: format!("server-{index}").into(),
        data_centre: SERVICE.into(),
        address: ([127, 0, 0, 1], 0).into(),
        slots: size.slots,
        connections: 256,
        fencing: Fencing::Checked,
        drain: false,
        part: 0,
    });
    Manifest {
        replaces: 0,
        data_centres: vec![DataCentre {
            name: SERVICE.into(),
            region: SERVICE.into(),
        }],
        services: vec![Service {
            name: SERVICE.into(),
            class: Class::Interactive,
            shards: SHARDS,
            on_isolation: OnIsolation::Keep,
            lease: Duration::from_millis(1500),
            limits: Limits::default(),
            upstreams: upstreams.collect(),
        }],
    }
}

/// Returns the daemon that leads the only group, and another one.
pub(crate) async fn leader_and_other(cluster: &Cluster) -> io::Result<(&Node, &Node)> {
    let leader = cluster.leader_of(&format!("{SERVICE}/{SERVICE}/0")).await;
    let leader =
        leader.ok_or_else(|| io::Error::other("the group of the servers has no leader"))?;
    let other = cluster.nodes.iter().find(|node| *node.name != *leader);
    let other = other.ok_or_else(|| io::Error::other("there is only one daemon"))?;
    Ok((cluster.node(&leader)?, other))
}

impl Size {
    /// Returns the number of requests per second that all slots together can run.
    pub(crate) fn capacity(self) -> f64 {
        self.upstreams as f64 * f64::from(self.slots) * 1000.0 / self.service_ms as f64
    }
}
