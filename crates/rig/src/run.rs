//! One run: a router under the load and the faults of a scenario.

use std::{collections::BTreeMap, io, path::Path, sync::Arc, time::Duration};

use crate::{
    cluster::{Cluster, Plan, metrics},
    faults,
    load::{self, Caller},
    measure::{self, Summary},
    node::Launch,
    scenario::{Scenario, User},
    schedule,
};
use copperwell_keyspace::manifest::Manifest;
use tokio::{
    sync::Mutex,
    time::{Instant, sleep},
};

/// The deadline that callers name.
pub(crate) const DEADLINE: Duration = Duration::from_secs(5);

/// How often a caller sends a request again that has no answer.
pub(crate) const RESENDS: u32 = 2;

/// Time after the last answer in which what is still running ends.
pub(crate) const SETTLE: Duration = Duration::from_millis(500);

impl User {
    /// The folder of the user's example files.
    #[must_use]
    pub fn folder(self) -> &'static Path {
        Path::new(match self {
            Self::Abraziv => concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/abraziv"),
            Self::Tazza => concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/tazza"),
        })
    }

    /// The time that bytes take between two of the user's data centres, one way.
    #[must_use]
    pub fn distance(self) -> Duration {
        match self {
            Self::Abraziv => Duration::from_micros(500),
            Self::Tazza => Duration::from_micros(1500),
        }
    }

    /// The user's example manifest.
    ///
    /// # Errors
    ///
    /// An error if it cannot be read.
    pub fn manifest(self) -> io::Result<Manifest> {
        let text = std::fs::read_to_string(self.folder().join("manifest.yaml"))?;
        serde_norway::from_str(&text).map_err(io::Error::other)
    }
}

/// What a run is made of.
pub fn plan(scenario: &Scenario, launch: Launch) -> io::Result<Plan> {
    let times = scenario
        .load
        .iter()
        .map(|load| (load.service.clone(), load.service_time));
    Ok(Plan {
        manifest: scenario.user.manifest()?,
        daemons: scenario.daemons,
        launch,
        is_proxied: true,
        proxies_servers: false,
        service_times: times.collect(),
    })
}

/// What a run gave.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Its measures.
    pub summary: Summary,
    /// What became of each request.
    pub results: Vec<load::Result>,
}

/// Runs copperwell under a scenario.
///
/// # Errors
///
/// An error if the cluster does not start or a fault cannot strike.
pub async fn copperwell(scenario: &Scenario, seed: u64, launch: Launch) -> io::Result<Outcome> {
    let mut cluster = Cluster::start(plan(scenario, launch)?).await?;
    cluster.set_distance(scenario.user.distance());
    cluster.wait_ready().await?;
    let entries = cluster.entries.clone();
    let record = cluster.record.clone();
    let manifest = cluster.manifest.clone();
    let appends = cluster.platform.appends();
    let before = metrics(&cluster.nodes).await;
    let cluster = Arc::new(Mutex::new(cluster));
    let offers = schedule::offers(scenario, seed);
    let caller = Caller {
        deadline: DEADLINE,
        resends: RESENDS,
    };
    let start = Instant::now();
    let striking = tokio::spawn(faults::strike(
        cluster.clone(),
        scenario.faults.clone(),
        start,
    ));
    let results = load::run(offers, entries, caller).await;
    let took = start.elapsed();
    striking.await.map_err(io::Error::other)??;
    sleep(SETTLE).await;
    let mut summary = measure::summary(&results, &record, &manifest, start);
    let cluster = cluster.lock().await;
    let after = metrics(&cluster.nodes).await;
    summary.scenario.clone_from(&scenario.name);
    summary.router = "copperwell".to_owned();
    summary.seed = seed;
    summary.appends = cluster.platform.appends() - appends;
    add_counters(&mut summary, &before, &after, took, cluster.nodes.len());
    Ok(Outcome { summary, results })
}

/// Counters that only the daemons know.
fn add_counters(
    summary: &mut Summary,
    before: &BTreeMap<String, f64>,
    after: &BTreeMap<String, f64>,
    took: Duration,
    daemons: usize,
) {
    let grown = |names: &[&str]| -> f64 {
        let sum = |all: &BTreeMap<String, f64>| -> f64 {
            names.iter().filter_map(|name| all.get(*name)).sum()
        };
        (sum(after) - sum(before)).max(0.0)
    };
    summary.retries = grown(&[
        "copperwell_ingress_retried_total",
        "copperwell_dispatch_retries_total",
    ]) as u64;
    // What one daemon's client sends and receives, another one's server receives and sends.
    let control = 2.0 * grown(&["copperwell_control_client_bytes_total"])
        + grown(&[
            "copperwell_backend_order_bytes_total",
            "copperwell_platform_bytes_total",
        ]);
    summary.control_bytes_per_s = control / took.as_secs_f64() / daemons.max(1) as f64;
}
