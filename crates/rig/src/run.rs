//! Runs a router under the load and the faults of a scenario.

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

/// The deadline of each request.
pub(crate) const DEADLINE: Duration = Duration::from_secs(5);

/// The largest number of times that a caller resends a request without an answer.
pub(crate) const MAX_RESENDS: u32 = 2;

/// The pause after the last answer in which requests that still run at servers end.
pub(crate) const SETTLE_TIME: Duration = Duration::from_millis(500);

impl User {
    /// Returns the directory of the user's example files.
    #[must_use]
    pub fn directory(self) -> &'static Path {
        Path::new(match self {
            Self::Abraziv => concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/abraziv"),
            Self::Tazza => concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/tazza"),
        })
    }

    /// Returns the one-way network delay between two of the user's data centres.
    #[must_use]
    pub fn one_way_delay(self) -> Duration {
        match self {
            Self::Abraziv => Duration::from_micros(500),
            Self::Tazza => Duration::from_micros(1500),
        }
    }

    /// Reads the user's example manifest.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or parsed.
    pub fn manifest(self) -> io::Result<Manifest> {
        let text = std::fs::read_to_string(self.directory().join("manifest.yaml"))?;
        serde_norway::from_str(&text).map_err(io::Error::other)
    }
}

/// Returns the configuration of the cluster for a scenario.
///
/// # Errors
///
/// Returns an error if the user's manifest cannot be read.
pub fn plan(scenario: &Scenario, launch: Launch) -> io::Result<Plan> {
    let service_times = scenario
        .load
        .iter()
        .map(|load| (load.service.clone(), load.service_time));
    Ok(Plan {
        manifest: scenario.user.manifest()?,
        daemons: scenario.daemons,
        launch,
        is_proxied: true,
        proxies_servers: false,
        service_times: service_times.collect(),
    })
}

/// The outcome of a run.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The measures of the run.
    pub summary: Summary,
    /// The result of each request.
    pub results: Vec<load::Result>,
}

/// Runs copperwell under a scenario.
///
/// # Errors
///
/// Returns an error if the cluster does not start or a fault cannot be injected.
pub async fn copperwell(scenario: &Scenario, seed: u64, launch: Launch) -> io::Result<Outcome> {
    let mut cluster = Cluster::start(plan(scenario, launch)?).await?;
    cluster.set_one_way_delay(scenario.user.one_way_delay());
    cluster.wait_ready().await?;
    let entries = cluster.entries.clone();
    let record = cluster.record.clone();
    let manifest = cluster.manifest.clone();
    let appends_before = cluster.platform.appends();
    let before = metrics(&cluster.nodes).await;
    let cluster = Arc::new(Mutex::new(cluster));
    let offers = schedule::offers(scenario, seed);
    let caller = Caller {
        deadline: DEADLINE,
        resends: MAX_RESENDS,
    };
    let start = Instant::now();
    let injection = tokio::spawn(faults::strike(
        cluster.clone(),
        scenario.faults.clone(),
        start,
    ));
    let results = load::run(offers, entries, caller).await;
    let elapsed = start.elapsed();
    injection.await.map_err(io::Error::other)??;
    sleep(SETTLE_TIME).await;
    let mut summary = measure::summary(&results, &record, &manifest, start);
    let cluster = cluster.lock().await;
    let after = metrics(&cluster.nodes).await;
    summary.scenario.clone_from(&scenario.name);
    summary.router = "copperwell".to_owned();
    summary.seed = seed;
    summary.appends = cluster.platform.appends() - appends_before;
    add_counters(&mut summary, &before, &after, elapsed, cluster.nodes.len());
    Ok(Outcome { summary, results })
}

/// Sets the measures that come from the daemons' metrics.
fn add_counters(
    summary: &mut Summary,
    before: &BTreeMap<String, f64>,
    after: &BTreeMap<String, f64>,
    elapsed: Duration,
    daemons: usize,
) {
    let increase = |names: &[&str]| -> f64 {
        let sum = |all: &BTreeMap<String, f64>| -> f64 {
            names.iter().filter_map(|name| all.get(*name)).sum()
        };
        (sum(after) - sum(before)).max(0.0)
    };
    summary.retries = increase(&[
        "copperwell_ingress_retried_total",
        "copperwell_dispatch_retries_total",
    ]) as u64;
    // Counted twice: what one daemon's client sends and receives, another daemon's server receives
    // and sends.
    let control = 2.0 * increase(&["copperwell_control_client_bytes_total"])
        + increase(&[
            "copperwell_backend_order_bytes_total",
            "copperwell_platform_bytes_total",
        ]);
    summary.control_bytes_per_s = control / elapsed.as_secs_f64() / daemons.max(1) as f64;
}
