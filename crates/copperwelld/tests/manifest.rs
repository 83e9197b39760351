//! Publishing manifests to daemons that run as processes: one publisher wins a race, no daemon
//! falls back to an older manifest, and every daemon eventually applies the newest one.

use std::{net::SocketAddr, time::Duration};

use copperwell_keyspace::manifest::Manifest;
use copperwell_log::http::Client;
use copperwell_operator::{
    fleet::Reach,
    publish::{Accepted, Error, publish, wait},
};
use copperwell_rig::cluster::Cluster;
use tokio::{sync::Mutex, time::Instant};

mod common;

/// Serializes the tests, because the daemons of a cluster have fixed addresses.
static CLUSTER_LOCK: Mutex<()> = Mutex::const_new(());

async fn start(is_proxied: bool) -> Cluster {
    Cluster::start(common::plan(is_proxied)).await.unwrap()
}

/// Returns a successor of the cluster's manifest, identified by its queue limit.
fn next_manifest(cluster: &Cluster, queue: u32) -> Manifest {
    let mut manifest = cluster.manifest.clone();
    manifest.replaces = cluster.manifest.version();
    manifest.services[0].limits.queue = queue;
    manifest
}

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(20)
}

/// Waits until a manifest is in force in every data centre, including those that respond but lag
/// behind.
async fn wait_everywhere(cluster: &Cluster, manifest: &Manifest) -> Vec<Reach> {
    wait(&admins(cluster), manifest, deadline()).await
}

fn admins(cluster: &Cluster) -> Vec<SocketAddr> {
    let nodes = cluster.nodes.iter();
    nodes.map(|node| node.addresses.admin).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_publishers_wins_in_every_data_centre() {
    let _lock = CLUSTER_LOCK.lock().await;
    let cluster = start(false).await;
    let log = Client::new(cluster.platform.address());
    let (one, two) = (next_manifest(&cluster, 11), next_manifest(&cluster, 22));
    let (first, second) = tokio::join!(
        publish(&log, &one, 1, deadline()),
        publish(&log, &two, 1, deadline())
    );
    let (winner, accepted_by_winner, loser) = match first {
        Ok(accepted) => (one, accepted, second),
        Err(report) => (two, second.unwrap(), Err(report)),
    };
    assert_eq!(accepted_by_winner, Accepted::Now);
    let report = loser.expect_err("both publishers won");
    assert!(matches!(report.current_context(), Error::Conflict { .. }));
    let reaches = wait_everywhere(&cluster, &winner).await;
    assert_eq!(reaches.len(), 3);
    assert!(reaches.iter().all(Reach::is_whole), "{reaches:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn partitioned_data_centre_applies_the_manifest_after_healing() {
    let _lock = CLUSTER_LOCK.lock().await;
    let cluster = start(true).await;
    let log = Client::new(cluster.platform.address());
    cluster.cut("ro-nord-c", true);
    let manifest = next_manifest(&cluster, 11);
    publish(&log, &manifest, 1, deadline()).await.unwrap();
    // The operator can still reach the admin endpoint of the partitioned data centre.
    let limit = Instant::now() + Duration::from_secs(5);
    let reaches = wait(&admins(&cluster), &manifest, limit).await;
    let is_in_force: Vec<bool> = reaches.iter().map(Reach::is_whole).collect();
    assert_eq!(is_in_force, [true, true, false], "{reaches:?}");
    assert_eq!((reaches[2].answering, reaches[2].in_force), (1, 0));
    cluster.cut("ro-nord-c", false);
    let reaches = wait_everywhere(&cluster, &manifest).await;
    assert!(reaches.iter().all(Reach::is_whole), "{reaches:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn reset_log_does_not_restore_an_older_manifest() {
    let _lock = CLUSTER_LOCK.lock().await;
    let cluster = start(false).await;
    let log = Client::new(cluster.platform.address());
    let manifest = next_manifest(&cluster, 11);
    publish(&log, &manifest, 1, deadline()).await.unwrap();
    wait_everywhere(&cluster, &manifest).await;
    cluster.platform.reset_log();
    // The first manifest, published again by an operator with stale state.
    let mut stale = cluster.manifest.clone();
    stale.services[0].limits.queue = 33;
    let report = publish(&log, &stale, 2, deadline()).await;
    let report = report.expect_err("a stale manifest was accepted");
    let conflict = Error::Conflict {
        replaces: 0,
        in_force: 2,
    };
    assert_eq!(*report.current_context(), conflict);
    let mut third = manifest.clone();
    third.replaces = 2;
    publish(&log, &third, 2, deadline()).await.unwrap();
    let reaches = wait_everywhere(&cluster, &third).await;
    assert!(reaches.iter().all(Reach::is_whole), "{reaches:?}");
    assert_eq!(cluster.record.overlaps(), []);
}
