//! Measures the costs and benefits of copperwell per request, compared to direct connections and a
//! plain FIFO, and prints the figures as one line of JSON.
//!
//! The plain FIFO is a queue for the slots of each server, without a bound, deadlines or classes.
//! It runs in this process, so its requests have one hop less than those through a daemon.

mod load;
mod setup;
mod target;

use std::{
    error::Error, io, net::Ipv4Addr, path::PathBuf, process::ExitCode, str::FromStr, time::Duration,
};

use bpaf::Bpaf;
use copperwell_rig::cluster::Cluster;
use futures::future::join_all;
use load::{
    Completion, Figure, LONG_DEADLINE, Load, Outcomes, RoleFigure, closed_loop, open_loop,
    open_loop_with_warm_up, schedule, send_all,
};
use serde::Serialize;
use setup::{Size, leader_and_other, start};
use target::Target;

/// The deadline of requests when goodput or fairness is measured.
const DEADLINE: Duration = Duration::from_millis(500);

/// The requests per second to each target when latency is measured.
const LATENCY_RATE: f64 = 100.0;

/// The servers when overload is measured.
const OVERLOAD_SIZE: Size = Size {
    upstreams: 3,
    slots: 2,
    service_ms: 20,
};

/// The address of a caller with a light load.
const LIGHT_CALLER: Ipv4Addr = Ipv4Addr::LOCALHOST;

/// The address of a caller that overloads the servers.
const HEAVY_CALLER: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);

/// The number of keys of a batch request.
const BATCH_KEYS: usize = 8;

/// The measurement to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum What {
    AddedLatency,
    Throughput,
    Goodput,
    Classes,
    Fairness,
    Retries,
}

impl FromStr for What {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "added-latency" => Ok(Self::AddedLatency),
            "throughput" => Ok(Self::Throughput),
            "goodput" => Ok(Self::Goodput),
            "classes" => Ok(Self::Classes),
            "fairness" => Ok(Self::Fairness),
            "retries" => Ok(Self::Retries),
            _ => Err(format!(
                "`{text}` is unknown; use `added-latency`, `throughput`, `goodput`, `classes`, \
                 `fairness` or `retries`"
            )),
        }
    }
}

/// Measures requests through copperwell, compared to other targets.
///
/// The last line of standard output is one JSON object. Exit code 1: the run failed.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Args {
    /// `added-latency`, `throughput`, `goodput`, `classes`, `fairness` or `retries`.
    #[bpaf(long, argument("WHAT"))]
    what: What,
    /// Seconds of load for each figure, after one second to warm up.
    #[bpaf(long, argument("S"), fallback(10))]
    seconds: u64,
    /// Seed of the offered load.
    #[bpaf(long, argument("N"), fallback(1))]
    seed: u64,
    /// Program of the daemon, to run daemons as processes of their own.
    #[bpaf(long, argument("FILE"))]
    daemon: Option<PathBuf>,
    /// Daemons, two at least; with classes, batch requests go to all of them in equal parts.
    #[bpaf(long, argument("N"), fallback(2))]
    daemons: usize,
}

/// The figures of a run, printed as its last line.
#[derive(Debug, Serialize)]
struct Line<T> {
    what: What,
    seconds: u64,
    seed: u64,
    has_processes: bool,
    figures: Vec<T>,
}

/// The load that reaches servers which shed all requests, compared to the callers' requests.
#[derive(Debug, Serialize)]
struct Amplification {
    callers: usize,
    upstreams: u64,
    ratio: f64,
}

#[tokio::main]
async fn main() -> ExitCode {
    copperwelld::log::silence();
    let args = args().run();
    let line = match args.what {
        What::AddedLatency => added_latency(&args)
            .await
            .and_then(|all| json_line(&args, all)),
        What::Throughput => throughput(&args)
            .await
            .and_then(|all| json_line(&args, all)),
        What::Goodput => goodput(&args).await.and_then(|all| json_line(&args, all)),
        What::Classes => classes(&args).await.and_then(|all| json_line(&args, all)),
        What::Fairness => fairness(&args).await.and_then(|all| json_line(&args, all)),
        What::Retries => retries(&args).await.and_then(|all| json_line(&args, all)),
    };
    match line {
        Ok(line) => {
            println!("{line}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("requests: {error}");
            ExitCode::FAILURE
        }
    }
}

fn json_line<T: Serialize>(args: &Args, figures: Vec<T>) -> Result<String, Box<dyn Error>> {
    let line = Line {
        what: args.what,
        seconds: args.seconds,
        seed: args.seed,
        has_processes: args.daemon.is_some(),
        figures,
    };
    Ok(serde_json::to_string(&line)?)
}

/// Measures all targets at the same time, so that other load on the machine affects all alike.
async fn added_latency(args: &Args) -> Result<Vec<Figure>, Box<dyn Error>> {
    let size = Size {
        upstreams: 2,
        slots: 16,
        service_ms: 0,
    };
    let cluster = start(args.daemon.as_deref(), args.daemons, size, 2).await?;
    let (leader, other) = leader_and_other(&cluster).await?;
    let targets = [
        ("direct", Target::plain(&cluster, size)?),
        ("one-hop", Target::daemon(leader)),
        ("two-hops", Target::daemon(other)),
    ];
    let mut figures = Vec::new();
    for service_ms in [0, 5] {
        let load = Load {
            rate: LATENCY_RATE,
            keys: 1,
            service_ms,
            deadline: LONG_DEADLINE,
            from: LIGHT_CALLER,
        };
        let running = targets.iter().zip(0..).map(|((_, target), index)| {
            let seed = args.seed.wrapping_mul(31).wrapping_add(index);
            open_loop(target, load, args.seconds, seed)
        });
        let all = join_all(running).await;
        for ((name, _), completions) in targets.iter().zip(all) {
            let name = format!("{name}, service time {service_ms} ms");
            figures.push(Figure::new(name, &completions, load, args.seconds));
        }
    }
    Ok(figures)
}

async fn throughput(args: &Args) -> Result<Vec<RoleFigure>, Box<dyn Error>> {
    if args.daemon.is_none() {
        return Err("throughput needs daemons with processes of their own; add `--daemon`".into());
    }
    let size = Size {
        upstreams: 2,
        slots: 64,
        service_ms: 0,
    };
    let cluster = start(args.daemon.as_deref(), args.daemons, size, 1).await?;
    let (leader, other) = leader_and_other(&cluster).await?;
    let mut figures = closed_loop(
        args.seconds,
        args.seed,
        leader,
        &[("ingress and leader", leader)],
    )
    .await?;
    let separate_roles = [("ingress only", other), ("leader only", leader)];
    figures.extend(closed_loop(args.seconds, args.seed, other, &separate_roles).await?);
    Ok(figures)
}

async fn goodput(args: &Args) -> Result<Vec<Figure>, Box<dyn Error>> {
    let cluster = start(args.daemon.as_deref(), args.daemons, OVERLOAD_SIZE, 2).await?;
    let mut figures = Vec::new();
    for factor in [0.5, 1.0, 2.0, 4.0] {
        let load = Load {
            rate: OVERLOAD_SIZE.capacity() * factor,
            keys: 1,
            service_ms: OVERLOAD_SIZE.service_ms,
            deadline: DEADLINE,
            from: LIGHT_CALLER,
        };
        for (name, target) in compared_targets(&cluster).await? {
            let before = run_count(&cluster);
            let completions = open_loop(&target, load, args.seconds, args.seed).await;
            let name = format!("{name}, {factor} times capacity");
            let figure = Figure::new(name, &completions, load, args.seconds);
            figures.push(figure.with_runs(run_count(&cluster) - before));
        }
    }
    Ok(figures)
}

async fn classes(args: &Args) -> Result<Vec<Figure>, Box<dyn Error>> {
    let cluster = start(args.daemon.as_deref(), args.daemons, OVERLOAD_SIZE, 2).await?;
    let interactive = Load {
        rate: OVERLOAD_SIZE.capacity() * 0.3,
        keys: 1,
        service_ms: OVERLOAD_SIZE.service_ms,
        deadline: LONG_DEADLINE,
        from: LIGHT_CALLER,
    };
    let batch = Load {
        rate: OVERLOAD_SIZE.capacity() * 2.0 / BATCH_KEYS as f64,
        keys: BATCH_KEYS,
        ..interactive
    };
    let mut figures = Vec::new();
    for (name, target) in compared_targets(&cluster).await? {
        let alone = open_loop(&target, interactive, args.seconds, args.seed).await;
        let before = run_count(&cluster);
        let entry_targets = match target {
            Target::Daemon(_) => cluster.nodes.iter().map(Target::daemon).collect(),
            Target::Plain(_) => vec![target.clone()],
        };
        let part = Load {
            rate: batch.rate / entry_targets.len() as f64,
            ..batch
        };
        let parts = entry_targets.iter().zip(args.seed + 1..);
        let parts =
            parts.map(|(target, seed)| open_loop_with_warm_up(target, part, args.seconds, seed));
        let (first, parts) = tokio::join!(
            open_loop_with_warm_up(&target, interactive, args.seconds, args.seed),
            join_all(parts),
        );
        let runs = run_count(&cluster) - before;
        let second = parts.into_iter().fold(Outcomes::default(), Outcomes::join);
        let needed = first.done() + second.done() * BATCH_KEYS;
        let figure = |what: &str, completions: &[Completion], load| {
            Figure::new(format!("{name}, {what}"), completions, load, args.seconds)
        };
        figures.push(figure("interactive alone", &alone, interactive));
        figures.push(figure(
            "interactive beside batch",
            &first.measured,
            interactive,
        ));
        let batch = figure("batch", &second.measured, batch);
        figures.push(batch.with_runs(runs).with_needed(needed));
    }
    Ok(figures)
}

/// Measures a light caller alone, and beside one that offers four times the capacity.
async fn fairness(args: &Args) -> Result<Vec<Figure>, Box<dyn Error>> {
    let cluster = start(args.daemon.as_deref(), args.daemons, OVERLOAD_SIZE, 2).await?;
    let light = Load {
        rate: OVERLOAD_SIZE.capacity() * 0.2,
        keys: 1,
        service_ms: OVERLOAD_SIZE.service_ms,
        deadline: DEADLINE,
        from: LIGHT_CALLER,
    };
    let heavy = Load {
        rate: OVERLOAD_SIZE.capacity() * 4.0,
        from: HEAVY_CALLER,
        ..light
    };
    let mut figures = Vec::new();
    for (name, target) in compared_targets(&cluster).await? {
        let alone = open_loop(&target, light, args.seconds, args.seed).await;
        let (beside, burst) = tokio::join!(
            open_loop(&target, light, args.seconds, args.seed),
            open_loop(&target, heavy, args.seconds, args.seed.wrapping_add(1)),
        );
        let figure = |what: &str, completions: &[Completion], load| {
            Figure::new(format!("{name}, {what}"), completions, load, args.seconds)
        };
        figures.push(figure("calm caller alone", &alone, light));
        figures.push(figure("calm caller beside a busy one", &beside, light));
        figures.push(figure("busy caller", &burst, heavy));
    }
    Ok(figures)
}

async fn retries(args: &Args) -> Result<Vec<Amplification>, Box<dyn Error>> {
    let cluster = start(args.daemon.as_deref(), args.daemons, OVERLOAD_SIZE, 2).await?;
    let (_, other) = leader_and_other(&cluster).await?;
    let offered = || {
        let refused = cluster
            .servers
            .values()
            .map(|server| server.counts().refused);
        refused.sum::<u64>() + run_count(&cluster)
    };
    let load = Load {
        rate: OVERLOAD_SIZE.capacity(),
        keys: 1,
        service_ms: OVERLOAD_SIZE.service_ms,
        deadline: LONG_DEADLINE,
        from: LIGHT_CALLER,
    };
    cluster
        .servers
        .values()
        .for_each(|server| server.shed(true));
    let before = offered();
    let requests = schedule(load, args.seconds, args.seed);
    let callers = requests.len();
    send_all(&Target::daemon(other), load, requests).await;
    let upstreams = offered() - before;
    Ok(vec![Amplification {
        callers,
        upstreams,
        ratio: upstreams as f64 / callers as f64,
    }])
}

/// Returns the number of requests that servers have started so far.
fn run_count(cluster: &Cluster) -> u64 {
    cluster.record.runs().len() as u64 + cluster.record.lost()
}

/// Returns the targets to compare: copperwell with two hops, and the plain FIFO.
async fn compared_targets(cluster: &Cluster) -> io::Result<[(&'static str, Target); 2]> {
    let (_, other) = leader_and_other(cluster).await?;
    Ok([
        ("copperwell", Target::daemon(other)),
        ("plain FIFO", Target::plain(cluster, OVERLOAD_SIZE)?),
    ])
}
