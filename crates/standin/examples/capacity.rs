//! What control costs a daemon, at several sizes, with the line that fits the figures.
//!
//! Daemons are processes of their own without callers; whatever they spend, they spend on control.

use std::{error::Error, io, path::PathBuf, process::ExitCode, str::FromStr, time::Duration};

use bpaf::Bpaf;
use copperwell_keyspace::{
    HashMap,
    manifest::{DataCentre, Fencing, Limits, Manifest, Service, Upstream},
};
use copperwell_message::Class;
use copperwell_rig::{
    cluster::{Cluster, Plan, metrics, status},
    node::Launch,
    usage::Usage,
};
use serde::Serialize;
use tokio::time::{Instant, sleep};

/// Bytes of a megabyte.
const MB: f64 = 1024.0 * 1024.0;

/// Time after the start in which daemons come to rest.
const REST: Duration = Duration::from_secs(4);

/// Sizes of the sweep over daemons.
const DAEMONS: &[usize] = &[3, 12, 48, 96];
/// Sizes of the sweep over the upstreams that one daemon leads.
const UPSTREAMS: &[usize] = &[8, 24, 72, 192];
/// Sizes of the sweep over the shards that one daemon leads.
const SHARDS: &[usize] = &[256, 4096, 16384, 65536];
/// Sizes of the sweep over changes of the manifest in ten seconds.
const CHANGES: &[usize] = &[0, 5, 20, 50];
/// Sizes of the sweep over the upstreams of data centres without daemons, with [`FLEET_SHARDS`] each.
const FLEET: &[usize] = &[0, 1920, 5760, 26_400];
/// Sizes of the sweep over the daemons of one data centre.
const READERS: &[usize] = &[4, 12, 46, 92];
/// Changes of the manifest in the sweep over the daemons of one data centre.
const READERS_CHANGES: usize = 5;

/// Shards for each upstream of a data centre without daemons.
const FLEET_SHARDS: usize = 16;
/// Upstreams of one service of a data centre without daemons.
const FLEET_SERVICE: usize = 240;
/// The address of servers that do not exist; nobody leads their groups, so nobody calls them.
const FLEET_ADDRESS: [u8; 4] = [127, 9, 9, 9];
/// Data centres without daemons.
const FLEET_PLACES: usize = 11;

/// What grows.
#[derive(Debug, Clone, Copy)]
enum What {
    Daemons,
    Upstreams,
    Shards,
    Changes,
    Fleet,
    Readers,
}

impl FromStr for What {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "daemons" => Ok(Self::Daemons),
            "upstreams" => Ok(Self::Upstreams),
            "shards" => Ok(Self::Shards),
            "changes" => Ok(Self::Changes),
            "fleet" => Ok(Self::Fleet),
            "readers" => Ok(Self::Readers),
            _ => Err(format!(
                "`{text}` does not grow; use daemons, upstreams, shards, changes, fleet or readers"
            )),
        }
    }
}

/// Measures what control costs a daemon at several sizes.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Args {
    /// `daemons`, `upstreams`, `shards`, `changes`, `fleet` or `readers`.
    #[bpaf(long, argument("WHAT"))]
    what: What,
    /// Program of the daemon.
    #[bpaf(long, argument("FILE"))]
    daemon: PathBuf,
    /// Seconds of each measurement.
    #[bpaf(long, argument("S"), fallback(10))]
    seconds: u64,
}

/// What one size showed, for each daemon.
#[derive(Debug, Clone, Serialize)]
struct Point {
    size: usize,
    daemons: usize,
    core_percent: f64,
    resident_mb: f64,
    control_bytes_per_s: f64,
    in_force_ms_max: f64,
}

/// A straight line through points, and how far the farthest point lies off it.
#[derive(Debug, Clone, Serialize)]
struct Line {
    of: &'static str,
    per_unit: f64,
    at_zero: f64,
    error_max: f64,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = args().run();
    match sweep(&args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("capacity: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn sweep(args: &Args) -> Result<(), Box<dyn Error>> {
    let sizes = match args.what {
        What::Daemons => DAEMONS,
        What::Upstreams => UPSTREAMS,
        What::Shards => SHARDS,
        What::Changes => CHANGES,
        What::Fleet => FLEET,
        What::Readers => READERS,
    };
    let mut points = Vec::new();
    for size in sizes {
        let point = measure(args, *size).await?;
        println!("{}", serde_json::to_string(&point)?);
        points.push(point);
    }
    let lines = [
        line("core_percent", &points, |point| point.core_percent),
        line("resident_mb", &points, |point| point.resident_mb),
        line("control_bytes_per_s", &points, |point| {
            point.control_bytes_per_s
        }),
        line("in_force_ms_max", &points, |point| point.in_force_ms_max),
    ];
    for line in lines {
        println!("{}", serde_json::to_string(&line)?);
    }
    Ok(())
}

async fn measure(args: &Args, size: usize) -> Result<Point, Box<dyn Error>> {
    let (manifest, daemons) = match args.what {
        What::Daemons => (manifest(3, 3, 256), size.div_ceil(3)),
        What::Upstreams => (manifest(1, size, 1024), 1),
        What::Shards => (manifest(1, 4, size), 1),
        What::Changes => (manifest(3, 6, 256), 2),
        What::Fleet => (manifest(1, 4, 256), 2),
        What::Readers => (manifest(1, 4, 256), size),
    };
    let plan = Plan {
        manifest,
        daemons,
        launch: Launch::Program(args.daemon.clone()),
        is_proxied: false,
        proxies_servers: false,
        service_times: HashMap::default(),
    };
    let mut cluster = Cluster::start(plan).await?;
    if matches!(args.what, What::Fleet) {
        declare_fleet(&mut cluster.manifest, size);
        change(&mut cluster, 1, Duration::ZERO).await?;
    }
    sleep(REST).await;
    let span = Duration::from_secs(args.seconds);
    let before = metrics(&cluster.nodes).await;
    let spent = spent(&cluster)?;
    let start = Instant::now();
    let changes = match args.what {
        What::Changes => size,
        What::Readers => READERS_CHANGES,
        _ => 0,
    };
    let in_force = change(&mut cluster, changes, span).await?;
    sleep(span.saturating_sub(start.elapsed())).await;
    let took = start.elapsed().as_secs_f64();
    let used = self::spent(&cluster)? - spent;
    let after = metrics(&cluster.nodes).await;
    let count = cluster.nodes.len();
    let grown = |name: &str| {
        let sum =
            |all: &std::collections::BTreeMap<String, f64>| all.get(name).copied().unwrap_or(0.0);
        sum(&after) - sum(&before)
    };
    // What one daemon's client sends and receives, another one's server receives and sends.
    let bytes = 2.0 * grown("copperwell_control_client_bytes_total")
        + grown("copperwell_backend_order_bytes_total")
        + grown("copperwell_platform_bytes_total");
    Ok(Point {
        size,
        daemons: count,
        core_percent: 100.0 * used.as_secs_f64() / took / count as f64,
        resident_mb: resident(&cluster)?,
        control_bytes_per_s: bytes / took / count as f64,
        in_force_ms_max: in_force.as_secs_f64() * 1000.0,
    })
}

/// Publishes changes, evenly over `span`; gives the longest time until one was in force everywhere.
async fn change(
    cluster: &mut Cluster,
    count: usize,
    span: Duration,
) -> Result<Duration, Box<dyn Error>> {
    let mut longest = Duration::ZERO;
    for _ in 0..count {
        let start = Instant::now();
        let version = cluster.manifest.version();
        cluster.manifest.replaces = version;
        let queue = &mut cluster.manifest.services[0].limits.queue;
        *queue = if *queue == 64 { 65 } else { 64 };
        cluster.publish().await?;
        for node in &cluster.nodes {
            while status(node.addresses.admin)
                .await
                .is_none_or(|seen| seen.manifest <= version)
            {
                sleep(Duration::from_millis(5)).await;
            }
        }
        longest = longest.max(start.elapsed());
        sleep((span / u32::try_from(count)?).saturating_sub(start.elapsed())).await;
    }
    Ok(longest)
}

/// One service of `upstreams` upstreams, spread over data centres, in groups of at most 24.
fn manifest(data_centres: usize, upstreams: usize, shards: usize) -> Manifest {
    let names: Vec<String> = (0..data_centres)
        .map(|index| format!("dc-{index}"))
        .collect();
    let places = names.iter().map(|name| DataCentre {
        name: name.as_str().into(),
        region: "region".into(),
    });
    let all = (0..upstreams).map(|index| Upstream {
        name: format!("up-{index}").into(),
        data_centre: names[index % data_centres].as_str().into(),
        address: ([127, 0, 0, 1], u16::try_from(index).unwrap_or(0) + 1).into(),
        slots: 2,
        connections: 130,
        fencing: Fencing::Checked,
        part: u16::try_from(index / data_centres / 24).unwrap_or(0),
        drain: false,
    });
    Manifest {
        replaces: 0,
        data_centres: places.collect(),
        services: vec![Service {
            name: "calendar".into(),
            class: Class::Interactive,
            shards: u32::try_from(shards).unwrap_or(u32::MAX),
            on_isolation: copperwell_keyspace::manifest::OnIsolation::Keep,
            lease: Duration::from_millis(1500),
            limits: Limits::default(),
            upstreams: all.collect(),
        }],
    }
}

/// Adds services in data centres without daemons, whose groups nobody leads.
fn declare_fleet(manifest: &mut Manifest, upstreams: usize) {
    let model = manifest.services[0].clone();
    let place = |index: usize| format!("far-{}", index % FLEET_PLACES);
    let places = (0..FLEET_PLACES).map(|index| DataCentre {
        name: place(index).into(),
        region: "far".into(),
    });
    manifest.data_centres.extend(places);
    for first in (0..upstreams).step_by(FLEET_SERVICE) {
        let count = FLEET_SERVICE.min(upstreams - first);
        let mut service = model.clone();
        service.name = format!("far-{first}").into();
        service.shards = u32::try_from(count * FLEET_SHARDS).unwrap_or(u32::MAX);
        service.upstreams = (first..first + count)
            .map(|index| Upstream {
                name: format!("far-up-{index}").into(),
                data_centre: place(index).as_str().into(),
                address: (FLEET_ADDRESS, u16::try_from(index + 1).unwrap_or(u16::MAX)).into(),
                part: 0,
                ..model.upstreams[0].clone()
            })
            .collect();
        manifest.services.push(service);
    }
}

/// Processor time that all daemons have spent.
fn spent(cluster: &Cluster) -> io::Result<Duration> {
    let times = cluster.nodes.iter();
    times.map(|node| Usage::of(node)?.processor_time()).sum()
}

/// The largest resident set of a daemon, in megabytes.
fn resident(cluster: &Cluster) -> io::Result<f64> {
    let mut most = 0;
    for node in &cluster.nodes {
        most = most.max(Usage::of(node)?.resident()?);
    }
    Ok(most as f64 / MB)
}

/// The least-squares line through the points.
fn line(of: &'static str, points: &[Point], value: impl Fn(&Point) -> f64) -> Line {
    let count = points.len() as f64;
    let mean = |value: &dyn Fn(&Point) -> f64| points.iter().map(value).sum::<f64>() / count;
    let size = |point: &Point| point.size as f64;
    let (x, y) = (mean(&size), mean(&value));
    let covariance = mean(&|point| (size(point) - x) * (value(point) - y));
    let variance = mean(&|point| (size(point) - x).powi(2));
    let per_unit = covariance / variance;
    let at_zero = y - per_unit * x;
    let off = points
        .iter()
        .map(|point| (value(point) - at_zero - per_unit * size(point)).abs());
    Line {
        of,
        per_unit,
        at_zero,
        error_max: off.fold(0.0, f64::max),
    }
}
