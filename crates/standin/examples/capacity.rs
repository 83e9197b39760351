//! Measures the cost of control for a daemon at several sizes, and fits a line to the figures.
//!
//! Each daemon is a process of its own without callers, so all that it uses is used for control.

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

/// The number of bytes in a megabyte.
const MEGABYTE_BYTES: f64 = 1024.0 * 1024.0;

/// The time after the start for daemons to settle.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// The sizes of the sweep over daemons.
const DAEMONS: &[usize] = &[3, 12, 48, 96];
/// The sizes of the sweep over the upstreams that one daemon leads.
const UPSTREAMS: &[usize] = &[8, 24, 72, 192];
/// The sizes of the sweep over the shards that one daemon leads.
const SHARDS: &[usize] = &[256, 4096, 16384, 65536];
/// The sizes of the sweep over the manifest changes in one measurement, by default ten seconds.
const CHANGES: &[usize] = &[0, 5, 20, 50];
/// The sizes of the sweep over the upstreams of data centres without daemons, each of which has
/// [`FLEET_SHARDS`] shards.
const FLEET: &[usize] = &[0, 1920, 5760, 26_400];
/// The sizes of the sweep over the daemons of one data centre.
const READERS: &[usize] = &[4, 12, 46, 92];
/// The number of manifest changes in the sweep over the daemons of one data centre.
const READERS_CHANGES: usize = 5;

/// The number of shards for each upstream of a data centre without daemons.
const FLEET_SHARDS: usize = 16;
/// The highest number of upstreams of a service in data centres without daemons.
const FLEET_SERVICE_UPSTREAMS_MAX: usize = 240;
/// The address of servers that don't exist; their groups have no leader, so none is ever called.
const FLEET_ADDRESS: [u8; 4] = [127, 9, 9, 9];
/// The number of data centres without daemons.
const FLEET_DATA_CENTRES: usize = 11;

/// The quantity that grows in a sweep.
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
                "`{text}` is unknown; use daemons, upstreams, shards, changes, fleet or readers"
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

/// The measurements at one size, per daemon.
#[derive(Debug, Clone, Serialize)]
struct Point {
    size: usize,
    daemons: usize,
    core_percent: f64,
    resident_mb: f64,
    control_bytes_per_s: f64,
    in_force_ms_max: f64,
}

/// A straight line fitted to the points, and the largest deviation from it.
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
        fit_line("core_percent", &points, |point| point.core_percent),
        fit_line("resident_mb", &points, |point| point.resident_mb),
        fit_line("control_bytes_per_s", &points, |point| {
            point.control_bytes_per_s
        }),
        fit_line("in_force_ms_max", &points, |point| point.in_force_ms_max),
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
        add_fleet(&mut cluster.manifest, size);
        publish_changes(&mut cluster, 1, Duration::ZERO).await?;
    }
    sleep(SETTLE_TIME).await;
    let span = Duration::from_secs(args.seconds);
    let before = metrics(&cluster.nodes).await;
    let time_before = processor_time(&cluster)?;
    let start = Instant::now();
    let changes = match args.what {
        What::Changes => size,
        What::Readers => READERS_CHANGES,
        _ => 0,
    };
    let in_force = publish_changes(&mut cluster, changes, span).await?;
    sleep(span.saturating_sub(start.elapsed())).await;
    let seconds = start.elapsed().as_secs_f64();
    let used = self::processor_time(&cluster)? - time_before;
    let after = metrics(&cluster.nodes).await;
    let count = cluster.nodes.len();
    let increase = |name: &str| {
        let sum =
            |all: &std::collections::BTreeMap<String, f64>| all.get(name).copied().unwrap_or(0.0);
        sum(&after) - sum(&before)
    };
    // Bytes that a daemon's client sends or receives also pass through another daemon's server.
    let bytes = 2.0 * increase("copperwell_control_client_bytes_total")
        + increase("copperwell_backend_order_bytes_total")
        + increase("copperwell_platform_bytes_total");
    Ok(Point {
        size,
        daemons: count,
        core_percent: 100.0 * used.as_secs_f64() / seconds / count as f64,
        resident_mb: resident(&cluster)?,
        control_bytes_per_s: bytes / seconds / count as f64,
        in_force_ms_max: in_force.as_secs_f64() * 1000.0,
    })
}

/// Publishes changes of the manifest evenly over `span`.
///
/// Returns the longest time until a change was in force at all daemons.
async fn publish_changes(
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
                .is_none_or(|node_status| node_status.manifest <= version)
            {
                sleep(Duration::from_millis(5)).await;
            }
        }
        longest = longest.max(start.elapsed());
        sleep((span / u32::try_from(count)?).saturating_sub(start.elapsed())).await;
    }
    Ok(longest)
}

/// Creates a manifest with one service, whose upstreams are spread over the data centres in groups
/// of at most 24.
fn manifest(data_centres: usize, upstreams: usize, shards: usize) -> Manifest {
    let names: Vec<String> = (0..data_centres)
        .map(|index| format!("dc-{index}"))
        .collect();
    let declared = names.iter().map(|name| DataCentre {
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
        data_centres: declared.collect(),
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

/// Adds services in data centres without daemons, whose groups have no leader.
fn add_fleet(manifest: &mut Manifest, upstreams: usize) {
    let template = manifest.services[0].clone();
    let data_centre_name = |index: usize| format!("far-{}", index % FLEET_DATA_CENTRES);
    let declared = (0..FLEET_DATA_CENTRES).map(|index| DataCentre {
        name: data_centre_name(index).into(),
        region: "far".into(),
    });
    manifest.data_centres.extend(declared);
    for first in (0..upstreams).step_by(FLEET_SERVICE_UPSTREAMS_MAX) {
        let count = FLEET_SERVICE_UPSTREAMS_MAX.min(upstreams - first);
        let mut service = template.clone();
        service.name = format!("far-{first}").into();
        service.shards = u32::try_from(count * FLEET_SHARDS).unwrap_or(u32::MAX);
        service.upstreams = (first..first + count)
            .map(|index| Upstream {
                name: format!("far-up-{index}").into(),
                data_centre: data_centre_name(index).as_str().into(),
                address: (FLEET_ADDRESS, u16::try_from(index + 1).unwrap_or(u16::MAX)).into(),
                part: 0,
                ..template.upstreams[0].clone()
            })
            .collect();
        manifest.services.push(service);
    }
}

/// Returns the processor time that all daemons have used.
fn processor_time(cluster: &Cluster) -> io::Result<Duration> {
    let times = cluster.nodes.iter();
    times.map(|node| Usage::of(node)?.processor_time()).sum()
}

/// Returns the largest resident set of a daemon, in megabytes.
fn resident(cluster: &Cluster) -> io::Result<f64> {
    let mut largest = 0;
    for node in &cluster.nodes {
        largest = largest.max(Usage::of(node)?.resident()?);
    }
    Ok(largest as f64 / MEGABYTE_BYTES)
}

/// Fits a line to the points by least squares.
fn fit_line(of: &'static str, points: &[Point], value: impl Fn(&Point) -> f64) -> Line {
    let count = points.len() as f64;
    let mean = |value: &dyn Fn(&Point) -> f64| points.iter().map(value).sum::<f64>() / count;
    let size = |point: &Point| point.size as f64;
    let (x, y) = (mean(&size), mean(&value));
    let covariance = mean(&|point| (size(point) - x) * (value(point) - y));
    let variance = mean(&|point| (size(point) - x).powi(2));
    let per_unit = covariance / variance;
    let at_zero = y - per_unit * x;
    let deviations = points
        .iter()
        .map(|point| (value(point) - at_zero - per_unit * size(point)).abs());
    Line {
        of,
        per_unit,
        at_zero,
        error_max: deviations.fold(0.0, f64::max),
    }
}
