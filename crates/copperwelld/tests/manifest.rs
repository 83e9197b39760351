//! Manifests with real daemons: one wins a race, none goes back, all get it in the end.

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

/// A cluster's daemons have fixed addresses, so there is one cluster at a time.
static TURN: Mutex<()> = Mutex::const_new(());

async fn start(is_proxied: bool) -> Cluster {
    Cluster::start(common::plan(is_proxied)).await.unwrap()
}

/// A successor of the cluster's manifest, told apart by its queue limit.
fn next(cluster: &Cluster, queue: u32) -> Manifest {
    let mut manifest = cluster.manifest.clone();
    manifest.replaces = cluster.manifest.version();
    manifest.services[0].limits.queue = queue;
    manifest
}

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(20)
}

/// Waits until every data centre has a manifest, those included that answer but lag.
async fn everywhere(cluster: &Cluster, manifest: &Manifest) -> Vec<Reach> {
    wait(&admins(cluster), manifest, soon()).await
}

fn admins(cluster: &Cluster) -> Vec<SocketAddr> {
    let nodes = cluster.nodes.iter();
    nodes.map(|node| node.addresses.admin).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_operators_one_wins_in_every_data_centre() {
    let _turn = TURN.lock().await;
    let cluster = start(false).await;
    let log = Client::new(cluster.platform.address());
    let (one, two) = (next(&cluster, 11), next(&cluster, 22));
    let (first, second) = tokio::join!(
        publish(&log, &one, 1, soon()),
        publish(&log, &two, 1, soon())
    );
    let (winner, won, lost) = match first {
        Ok(accepted) => (one, accepted, second),
        Err(report) => (two, second.unwrap(), Err(report)),
    };
    assert_eq!(won, Accepted::Now);
    let report = lost.expect_err("one of two loses");
    assert!(matches!(report.current_context(), Error::Conflict { .. }));
    let reaches = everywhere(&cluster, &winner).await;
    assert_eq!(reaches.len(), 3);
    assert!(reaches.iter().all(Reach::is_whole), "{reaches:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_data_centre_that_was_cut_off_takes_the_manifest_when_joined_again() {
    let _turn = TURN.lock().await;
    let cluster = start(true).await;
    let log = Client::new(cluster.platform.address());
    cluster.cut("ro-nord-c", true);
    let manifest = next(&cluster, 11);
    publish(&log, &manifest, 1, soon()).await.unwrap();
    // The operator still reaches the admin endpoint of the data centre that is cut off.
    let limit = Instant::now() + Duration::from_secs(5);
    let reaches = wait(&admins(&cluster), &manifest, limit).await;
    let has: Vec<bool> = reaches.iter().map(Reach::is_whole).collect();
    assert_eq!(has, [true, true, false], "{reaches:?}");
    assert_eq!((reaches[2].answering, reaches[2].in_force), (1, 0));
    cluster.cut("ro-nord-c", false);
    let reaches = everywhere(&cluster, &manifest).await;
    assert!(reaches.iter().all(Reach::is_whole), "{reaches:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_log_that_lost_everything_takes_no_daemon_back() {
    let _turn = TURN.lock().await;
    let cluster = start(false).await;
    let log = Client::new(cluster.platform.address());
    let manifest = next(&cluster, 11);
    publish(&log, &manifest, 1, soon()).await.unwrap();
    everywhere(&cluster, &manifest).await;
    cluster.platform.reset_log();
    // The first manifest, published once more by somebody who does not know better.
    let mut stale = cluster.manifest.clone();
    stale.services[0].limits.queue = 33;
    let report = publish(&log, &stale, 2, soon()).await;
    let report = report.expect_err("an older version is in force");
    let conflict = Error::Conflict {
        replaces: 0,
        in_force: 2,
    };
    assert_eq!(*report.current_context(), conflict);
    let mut third = manifest.clone();
    third.replaces = 2;
    publish(&log, &third, 2, soon()).await.unwrap();
    let reaches = everywhere(&cluster, &third).await;
    assert!(reaches.iter().all(Reach::is_whole), "{reaches:?}");
    assert_eq!(cluster.record.overlaps(), []);
}
