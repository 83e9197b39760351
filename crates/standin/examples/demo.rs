//! Runs stand-ins and three daemons in two data centres in one process under load, and kills a
//! server and a leader.
//!
//! Prints a summary as one line of JSON, and fails if an answer was wrong, a shard had two owners
//! or a request ran twice.

use std::{error::Error, process::ExitCode, sync::Arc, time::Duration};

use copperwell_keyspace::manifest::Manifest;
use copperwell_rig::{
    cluster::{Cluster, Plan, Shared},
    faults,
    load::{self, Caller},
    measure::{self, Summary},
    node::Launch,
    scenario::{Fault, Load, Scenario, User, What},
    schedule,
};
use serde::Serialize;
use tokio::{
    sync::Mutex,
    time::{Instant, sleep},
};

/// The duration of the load.
const LOAD_TIME: Duration = Duration::from_secs(10);

/// The seed of the load.
const SEED: u64 = 1;

/// The deadline of each request.
const DEADLINE: Duration = Duration::from_secs(5);

/// The upstream whose server is killed.
const UPSTREAM: &str = "cal-a1";

/// The group whose leader is killed.
const GROUP: &str = "reservations/ro-nord-a/0";

/// The summary that is printed as the last line.
#[derive(Debug, Serialize)]
struct Line {
    requests: u64,
    done: u64,
    not_run: u64,
    may_have_run: u64,
    wrong_answers: u64,
    double_owned: u64,
    twice_run: u64,
    moves: u64,
    unavailable_ms_max: u64,
    p50_ms: f64,
    p99_ms: f64,
}

#[tokio::main]
async fn main() -> ExitCode {
    copperwelld::log::silence();
    match demo().await {
        Ok(summary) => report(&summary),
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn demo() -> Result<Summary, Box<dyn Error>> {
    let manifest = with_two_data_centres(User::Abraziv.manifest()?);
    let upstreams: usize = manifest
        .services
        .iter()
        .map(|service| service.upstreams.len())
        .sum();
    println!("starting a platform, {upstreams} servers and 3 daemons in 2 data centres");
    let scenario = scenario();
    let times = scenario
        .load
        .iter()
        .map(|load| (load.service.clone(), load.service_time));
    let plan = Plan {
        manifest,
        daemons: 1,
        launch: Launch::InProcess,
        is_proxied: false,
        proxies_servers: false,
        service_times: times.collect(),
    };
    let mut cluster = Cluster::start(plan).await?;
    cluster.add_node("ro-nord-a").await?;
    println!("manifest 1 is in force; each shard has an owner");
    cluster.wait_ready().await?;
    run(cluster, &scenario).await
}

async fn run(cluster: Cluster, scenario: &Scenario) -> Result<Summary, Box<dyn Error>> {
    let record = cluster.record.clone();
    let manifest = cluster.manifest.clone();
    let entries = cluster.entries.clone();
    let cluster: Shared = Arc::new(Mutex::new(cluster));
    let caller = Caller {
        deadline: DEADLINE,
        resends: 2,
    };
    let offers = schedule::offers(scenario, SEED);
    println!(
        "offering {} requests in {} s",
        offers.len(),
        LOAD_TIME.as_secs()
    );
    let start = Instant::now();
    let fault_injection = tokio::spawn(faults::strike(
        cluster.clone(),
        scenario.faults.clone(),
        start,
    ));
    let progress = tokio::spawn(progress(scenario.faults.clone()));
    let results = load::run(offers, entries, caller).await;
    progress.abort();
    fault_injection.await??;
    Ok(measure::summary(&results, &record, &manifest, start))
}

/// Prints each second that has passed, and the faults injected in it.
async fn progress(faults: Vec<Fault>) {
    for second in 1..=LOAD_TIME.as_secs() {
        sleep(Duration::from_secs(1)).await;
        println!("{second} s");
        for fault in faults.iter().filter(|fault| fault.at.as_secs() == second) {
            match &fault.what {
                What::KillUpstream(name) => println!("  killed the server of {name}"),
                What::KillLeader(group) => println!("  killed the leader of {group}"),
                other => println!("  {other:?}"),
            }
        }
    }
}

fn report(summary: &Summary) -> ExitCode {
    let line = Line {
        requests: summary.requests,
        done: summary.done,
        not_run: summary.not_run,
        may_have_run: summary.may_have_run,
        wrong_answers: summary.wrong_answers,
        double_owned: summary.double_owned,
        twice_run: summary.twice_run,
        moves: summary.moves,
        unavailable_ms_max: summary.unavailable_ms_max,
        p50_ms: summary.p50_ms,
        p99_ms: summary.p99_ms,
    };
    match serde_json::to_string(&line) {
        Ok(line) => println!("{line}"),
        Err(error) => eprintln!("demo: {error}"),
    }
    let violations = summary.wrong_answers + summary.double_owned + summary.twice_run;
    if violations == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Reduces a manifest to two data centres; servers of other ones move to the second.
fn with_two_data_centres(mut manifest: Manifest) -> Manifest {
    manifest.data_centres.truncate(2);
    let last = manifest.data_centres[1].name.clone();
    for service in &mut manifest.services {
        for upstream in &mut service.upstreams {
            let is_known = manifest
                .data_centres
                .iter()
                .any(|data_centre| data_centre.name == upstream.data_centre);
            if !is_known {
                upstream.data_centre = last.clone();
            }
        }
    }
    manifest
}

fn scenario() -> Scenario {
    let load = |service: &str, rate, once, service_time| Load {
        service: service.to_owned(),
        rate,
        keys: 2000,
        skew: 0.7,
        hot_keys_change: None,
        once,
        service_time: Duration::from_millis(service_time),
        burst: None,
    };
    let fault = |second, what| Fault {
        at: Duration::from_secs(second),
        lasts: None,
        what,
    };
    Scenario {
        name: "demo".to_owned(),
        user: User::Abraziv,
        duration: LOAD_TIME,
        daemons: 1,
        load: vec![
            load("calendar", 400.0, 0.0, 10),
            load("reservations", 150.0, 0.7, 10),
            load("planning-reports", 60.0, 0.0, 50),
        ],
        faults: vec![
            fault(2, What::KillUpstream(UPSTREAM.to_owned())),
            fault(5, What::KillLeader(GROUP.to_owned())),
        ],
    }
}
