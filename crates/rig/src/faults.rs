//! Strikes a cluster with the faults of a scenario.

use std::{io, time::Duration};

use crate::{
    cluster::{Cluster, Shared},
    scenario::{Fault, What},
};
use tokio::{
    task::{JoinSet, spawn_blocking},
    time::{Instant, sleep, sleep_until},
};

/// Lets every fault strike at its time, counted from `start`, and mends it at its end.
///
/// # Errors
///
/// An error if a fault names something that is not there, or something does not start again.
pub async fn strike(cluster: Shared, faults: Vec<Fault>, start: Instant) -> io::Result<()> {
    let mut running = JoinSet::new();
    for fault in faults {
        let cluster = cluster.clone();
        running.spawn(async move {
            sleep_until(start + fault.at).await;
            strike_one(&cluster, &fault).await
        });
    }
    while let Some(ended) = running.join_next().await {
        ended.map_err(io::Error::other)??;
    }
    Ok(())
}

async fn strike_one(cluster: &Shared, fault: &Fault) -> io::Result<()> {
    match &fault.what {
        What::KillUpstream(name) => {
            cluster.lock().await.server(name)?.kill();
            if pause(fault).await {
                let cluster = cluster.lock().await;
                cluster.server(name)?.restart().await?;
            }
        }
        What::FreezeUpstream(name) => {
            cluster.lock().await.server(name)?.freeze();
            if pause(fault).await {
                cluster.lock().await.server(name)?.wake();
            }
        }
        What::DrainUpstream(name) => {
            cluster.lock().await.server(name)?.drain(true);
            if pause(fault).await {
                cluster.lock().await.server(name)?.drain(false);
            }
        }
        What::ShedUpstream(name) => {
            cluster.lock().await.server(name)?.shed(true);
            if pause(fault).await {
                cluster.lock().await.server(name)?.shed(false);
            }
        }
        What::KillLeader(group) => kill_leader(cluster, group, fault).await?,
        What::PauseLeader(group) => pause_leader(cluster, group, fault).await?,
        What::ReplaceDaemons => replace_daemons(cluster).await?,
        What::LogDown => {
            cluster.lock().await.platform.set_down(true);
            if pause(fault).await {
                cluster.lock().await.platform.set_down(false);
            }
        }
        What::LogLosesAnswers(count) => {
            let count = u64::from(*count);
            cluster.lock().await.platform.lose_answers(count);
        }
        What::CutDataCentre(name) => {
            cluster.lock().await.cut(name, true);
            if pause(fault).await {
                cluster.lock().await.cut(name, false);
            }
        }
    }
    Ok(())
}

/// Waits for the end of a fault; false if it lasts until the end of the load.
async fn pause(fault: &Fault) -> bool {
    match fault.lasts {
        Some(lasts) => {
            sleep(lasts).await;
            true
        }
        None => false,
    }
}

async fn kill_leader(cluster: &Shared, group: &str, fault: &Fault) -> io::Result<()> {
    let place = {
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
    // The platform notices the loss of a VM after a while.
    sleep(Duration::from_secs(5)).await;
    cluster.lock().await.list();
    if pause(fault).await {
        let mut cluster = cluster.lock().await;
        cluster.add_node(&place).await?;
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
    if pause(fault).await {
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
    for (name, place) in old {
        let mut node = {
            let mut cluster = cluster.lock().await;
            cluster.add_node(&place).await?;
            cluster.take_node(&name)
        };
        // The new VM gets to know the others before the old one goes.
        sleep(Duration::from_secs(2)).await;
        let ended = spawn_blocking(move || {
            node.terminate();
            node.wait()
        });
        if !ended.await.map_err(io::Error::other)? {
            return Err(io::Error::other(format!("{name} did not stop in order")));
        }
        cluster.lock().await.list();
    }
    Ok(())
}

async fn leader(cluster: &Cluster, group: &str) -> io::Result<String> {
    let leader = cluster.leader_of(group).await;
    leader.ok_or_else(|| io::Error::other(format!("no daemon leads {group}; check the scenario")))
}
