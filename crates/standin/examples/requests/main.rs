//! Measures what copperwell costs and gains per request, beside direct connections and a plain
//! FIFO, and prints the figures as one line of JSON.
//!
//! The plain FIFO is a queue without bound, deadline or class before the slots of each server. It
//! runs in this process, so its requests have one hop less than those through a daemon.

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
    Answer, Core, Figure, LONG, Load, Offer, asks, closed_loop, open_loop, send_all, whole_loop,
};
use serde::Serialize;
use setup::{Size, roles, start};
use target::Way;

/// The deadline of requests that count as good.
const DEADLINE: Duration = Duration::from_millis(500);

/// Requests per second of each way when latency is measured.
const LOW_RATE: f64 = 100.0;

/// Servers, their slots and their service time, when overload is measured.
const SMALL: Size = Size {
    upstreams: 3,
    slots: 2,
    service_ms: 20,
};

/// The address of a caller that asks for little.
const CALM: Ipv4Addr = Ipv4Addr::LOCALHOST;

/// The address of a caller that asks for too much.
const BUSY: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);

/// Keys of a request that is batch.
const BATCH_KEYS: usize = 8;

/// What is measured.
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

/// Measures requests through copperwell beside those on other ways.
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

/// The last line of a run.
#[derive(Debug, Serialize)]
struct Line<T> {
    what: What,
    seconds: u64,
    seed: u64,
    has_processes: bool,
    figures: Vec<T>,
}

/// Figures of shedding servers.
#[derive(Debug, Serialize)]
struct Offered {
    callers: usize,
    upstreams: u64,
    ratio: f64,
}

#[tokio::main]
async fn main() -> ExitCode {
    copperwelld::log::silence();
    let args = args().run();
    let line = match args.what {
        What::AddedLatency => added_latency(&args).await.and_then(|all| line(&args, all)),
        What::Throughput => throughput(&args).await.and_then(|all| line(&args, all)),
        What::Goodput => goodput(&args).await.and_then(|all| line(&args, all)),
        What::Classes => classes(&args).await.and_then(|all| line(&args, all)),
        What::Fairness => fairness(&args).await.and_then(|all| line(&args, all)),
        What::Retries => retries(&args).await.and_then(|all| line(&args, all)),
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

fn line<T: Serialize>(args: &Args, figures: Vec<T>) -> Result<String, Box<dyn Error>> {
    let line = Line {
        what: args.what,
        seconds: args.seconds,
        seed: args.seed,
        has_processes: args.daemon.is_some(),
        figures,
    };
    Ok(serde_json::to_string(&line)?)
}

/// All ways at the same time, so that what else the machine does strikes all.
async fn added_latency(args: &Args) -> Result<Vec<Figure>, Box<dyn Error>> {
    let size = Size {
        upstreams: 2,
        slots: 16,
        service_ms: 0,
    };
    let cluster = start(args.daemon.as_deref(), args.daemons, size, 2).await?;
    let (leader, other) = roles(&cluster).await?;
    let ways = [
        ("direct", Way::plain(&cluster, size)?),
        ("one-hop", Way::daemon(leader)),
        ("two-hops", Way::daemon(other)),
    ];
    let mut figures = Vec::new();
    for service_ms in [0, 5] {
        let load = Load {
            rate: LOW_RATE,
            keys: 1,
            service_ms,
            deadline: LONG,
            from: CALM,
        };
        let running = ways.iter().zip(0..).map(|((_, way), index)| {
            let seed = args.seed.wrapping_mul(31).wrapping_add(index);
            open_loop(way, load, args.seconds, seed)
        });
        let all = join_all(running).await;
        for ((name, _), answers) in ways.iter().zip(all) {
            let name = format!("{name}, service time {service_ms} ms");
            figures.push(Figure::new(name, &answers, load, args.seconds));
        }
    }
    Ok(figures)
}

async fn throughput(args: &Args) -> Result<Vec<Core>, Box<dyn Error>> {
    if args.daemon.is_none() {
        return Err("throughput needs daemons with processes of their own; add `--daemon`".into());
    }
    let size = Size {
        upstreams: 2,
        slots: 64,
        service_ms: 0,
    };
    let cluster = start(args.daemon.as_deref(), args.daemons, size, 1).await?;
    let (leader, other) = roles(&cluster).await?;
    let mut figures = closed_loop(
        args.seconds,
        args.seed,
        leader,
        &[("ingress and leader", leader)],
    )
    .await?;
    let apart = [("ingress only", other), ("leader only", leader)];
    figures.extend(closed_loop(args.seconds, args.seed, other, &apart).await?);
    Ok(figures)
}

async fn goodput(args: &Args) -> Result<Vec<Figure>, Box<dyn Error>> {
    let cluster = start(args.daemon.as_deref(), args.daemons, SMALL, 2).await?;
    let mut figures = Vec::new();
    for factor in [0.5, 1.0, 2.0, 4.0] {
        let load = Load {
            rate: SMALL.capacity() * factor,
            keys: 1,
            service_ms: SMALL.service_ms,
            deadline: DEADLINE,
            from: CALM,
        };
        for (name, way) in contenders(&cluster).await? {
            let before = ran(&cluster);
            let answers = open_loop(&way, load, args.seconds, args.seed).await;
            let name = format!("{name}, {factor} times capacity");
            let figure = Figure::new(name, &answers, load, args.seconds);
            figures.push(figure.with_ran(ran(&cluster) - before));
        }
    }
    Ok(figures)
}

async fn classes(args: &Args) -> Result<Vec<Figure>, Box<dyn Error>> {
    let cluster = start(args.daemon.as_deref(), args.daemons, SMALL, 2).await?;
    let interactive = Load {
        rate: SMALL.capacity() * 0.3,
        keys: 1,
        service_ms: SMALL.service_ms,
        deadline: LONG,
        from: CALM,
    };
    let batch = Load {
        rate: SMALL.capacity() * 2.0 / BATCH_KEYS as f64,
        keys: BATCH_KEYS,
        ..interactive
    };
    let mut figures = Vec::new();
    for (name, way) in contenders(&cluster).await? {
        let alone = open_loop(&way, interactive, args.seconds, args.seed).await;
        let before = ran(&cluster);
        let entries = match way {
            Way::Daemon(_) => cluster.nodes.iter().map(Way::daemon).collect(),
            Way::Plain(_) => vec![way.clone()],
        };
        let part = Load {
            rate: batch.rate / entries.len() as f64,
            ..batch
        };
        let parts = entries.iter().zip(args.seed + 1..);
        let parts = parts.map(|(way, seed)| whole_loop(way, part, args.seconds, seed));
        let (first, parts) = tokio::join!(
            whole_loop(&way, interactive, args.seconds, args.seed),
            join_all(parts),
        );
        let ran = ran(&cluster) - before;
        let second = parts.into_iter().fold(Offer::default(), Offer::join);
        let needed = first.done() + second.done() * BATCH_KEYS;
        let figure = |what: &str, answers: &[Answer], load| {
            Figure::new(format!("{name}, {what}"), answers, load, args.seconds)
        };
        figures.push(figure("interactive alone", &alone, interactive));
        figures.push(figure(
            "interactive beside batch",
            &first.counted,
            interactive,
        ));
        let batch = figure("batch", &second.counted, batch);
        figures.push(batch.with_ran(ran).with_needed(needed));
    }
    Ok(figures)
}

/// A calm caller alone, and beside one that asks for four times the capacity.
async fn fairness(args: &Args) -> Result<Vec<Figure>, Box<dyn Error>> {
    let cluster = start(args.daemon.as_deref(), args.daemons, SMALL, 2).await?;
    let calm = Load {
        rate: SMALL.capacity() * 0.2,
        keys: 1,
        service_ms: SMALL.service_ms,
        deadline: DEADLINE,
        from: CALM,
    };
    let busy = Load {
        rate: SMALL.capacity() * 4.0,
        from: BUSY,
        ..calm
    };
    let mut figures = Vec::new();
    for (name, way) in contenders(&cluster).await? {
        let alone = open_loop(&way, calm, args.seconds, args.seed).await;
        let (beside, burst) = tokio::join!(
            open_loop(&way, calm, args.seconds, args.seed),
            open_loop(&way, busy, args.seconds, args.seed.wrapping_add(1)),
        );
        let figure = |what: &str, answers: &[Answer], load| {
            Figure::new(format!("{name}, {what}"), answers, load, args.seconds)
        };
        figures.push(figure("calm caller alone", &alone, calm));
        figures.push(figure("calm caller beside a busy one", &beside, calm));
        figures.push(figure("busy caller", &burst, busy));
    }
    Ok(figures)
}

async fn retries(args: &Args) -> Result<Vec<Offered>, Box<dyn Error>> {
    let cluster = start(args.daemon.as_deref(), args.daemons, SMALL, 2).await?;
    let (_, other) = roles(&cluster).await?;
    let offered = || {
        let refused = cluster
            .servers
            .values()
            .map(|server| server.counts().refused);
        refused.sum::<u64>() + ran(&cluster)
    };
    let load = Load {
        rate: SMALL.capacity(),
        keys: 1,
        service_ms: SMALL.service_ms,
        deadline: LONG,
        from: CALM,
    };
    cluster
        .servers
        .values()
        .for_each(|server| server.shed(true));
    let before = offered();
    let asks = asks(load, args.seconds, args.seed);
    let callers = asks.len();
    send_all(&Way::daemon(other), load, asks).await;
    let upstreams = offered() - before;
    Ok(vec![Offered {
        callers,
        upstreams,
        ratio: upstreams as f64 / callers as f64,
    }])
}

/// What servers have run so far, or begun to.
fn ran(cluster: &Cluster) -> u64 {
    cluster.record.runs().len() as u64 + cluster.record.lost()
}

/// Copperwell at two hops, and the plain FIFO.
async fn contenders(cluster: &Cluster) -> io::Result<[(&'static str, Way); 2]> {
    let (_, other) = roles(cluster).await?;
    Ok([
        ("copperwell", Way::daemon(other)),
        ("plain FIFO", Way::plain(cluster, SMALL)?),
    ])
}
