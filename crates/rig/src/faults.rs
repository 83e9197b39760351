//! Injects the faults of a scenario into a cluster.

use std::{io, time::Duration};

use crate::{
    cluster::{Cluster, Shared},
    scenario::{Fault, What},
};
use tokio::{
    task::{JoinSet, spawn_blocking},
    time::{Instant, sleep, sleep_until},
};

/// Injects every fault at its time, counted from `start`, and ends it after its duration.
///
/// # Errors
///
/// Returns an error if the target of a fault does not exist, or if a server or daemon does not
/// start or stop as the fault requires.
pub async fn strike(cluster: Shared, faults: Vec<Fault>, start: Instant) -> io::Result<()> {
    let mut running = JoinSet::new();
    for fault in faults {
        let cluster = cluster.clone();
        running.spawn(async move {
            sleep_until(start + fault.at).await;
            inject(&cluster, &fault).await
        });
    }
    while let Some(ended) = running.join_next().await {
        ended.map_err(io::Error::other)??;
    }
    Ok(())
}

async fn inject(cluster: &Shared, fault: &Fault) -> io::Result<()> {
    match &fault.what {
        What::KillUpstream(name) => {
            cluster.lock().await.server(name)?.kill();
            if wait_for_end(fault).await {
                let cluster = cluster.lock().await;
                cluster.server(name)?.restart().await?;
            }
        }
        What::FreezeUpstream(name) => {
            cluster.lock().await.server(name)?.freeze();
            if wait_for_end(fault).await {
                cluster.lock().await.server(name)?.wake();
            }
        }
        What::DrainUpstream(name) => {
            cluster.lock().await.server(name)?.drain(true);
            if wait_for_end(fault).await {
                cluster.lock().await.server(name)?.drain(false);
            }
        }
        What::ShedUpstream(name) => {
            cluster.lock().await.server(name)?.shed(true);
            if wait_for_end(fault).await {
                cluster.lock().await.server(name)?.shed(false);
            }
        }
        What::KillLeader(group) => kill_leader(cluster, group, fault).await?,
        What::PauseLeader(group) => pause_leader(cluster, group, fault).await?,
        What::ReplaceDaemons => replace_daemons(cluster).await?,
        What::LogDown => {
            cluster.lock().await.platform.set_down(true);
            if wait_for_end(fault).await {
                cluster.lock().await.platform.set_down(false);
            }
        }
        What::LogLosesAnswers(count) => {
            let count = u64::from(*count);
            cluster.lock().await.platform.lose_answers(count);
        }
        What::CutDataCentre(name) => {
            cluster.lock().await.cut(name, true);
            if wait_for_end(fault).await {
                cluster.lock().await.cut(name, false);
            }
        }
    }
    Ok(())
}

/// Waits until a fault ends; returns false at once if it lasts until the end of the run.
async fn wait_for_end(fault: &Fault) -> bool {
    match fault.lasts {
        Some(duration) => {
            sleep(duration).await;
            true
        }
        None => false,
    }
}

async fn kill_leader(cluster: &Shared, group: &str, fault: &Fault) -> io::Result<()> {
    let data_centre = {
        let mut cluster = cluster.lock().await;
        let leader = leader(&cluster, group).await?;
        let mut node = cluster.take_node(&leader);
        spawn_blocking(move || {
            node.kill();
            node
        })
        .await
        .map_err(io::Error::other)?
        .data_centre
        .clone()
    };
    // The platform detects the loss of a VM with a delay.
    sleep(Duration::from_secs(5)).await;
    cluster.lock().await.list();
    if wait_for_end(fault).await {
        let mut cluster = cluster.lock().await;
        cluster.add_node(&data_centre).await?;
    }
    Ok(())
}

async fn pause_leader(cluster: &Shared, group: &str, fault: &Fault) -> io::Result<()> {
    let leader = {
        let cluster = cluster.lock().await;
        let leader = leader(&cluster, group).await?;
        cluster.node(&leader)?.pause();
        leader
    };
    if wait_for_end(fault).await {
        cluster.lock().await.node(&leader)?.resume();
    }
    Ok(())
}

async fn replace_daemons(cluster: &Shared) -> io::Result<()> {
    let old: Vec<(String, String)> = {
        let cluster = cluster.lock().await;
        let nodes = cluster.nodes.iter();
        nodes
            .map(|node| (node.name.to_string(), node.data_centre.to_string()))
            .collect()
    };
    for (name, data_centre) in old {
        let mut node = {
            let mut cluster = cluster.lock().await;
            cluster.add_node(&data_centre).await?;
            cluster.take_node(&name)
        };
        // Lets the new daemon join the others before the old one stops.
        sleep(Duration::from_secs(2)).await;
        let ended = spawn_blocking(move || {
            node.terminate();
            node.wait()
        });
        if !ended.await.map_err(io::Error::other)? {
            return Err(io::Error::other(format!(
                "daemon `{name}` did not shut down gracefully"
            )));
        }
        cluster.lock().await.list();
    }
    Ok(())
}

async fn leader(cluster: &Cluster, group: &str) -> io::Result<String> {
    let leader = cluster.leader_of(group).await;
    leader.ok_or_else(|| {
        io::Error::other(format!(
            "no daemon is the leader of group `{group}`; check the scenario"
        ))
    })
}
