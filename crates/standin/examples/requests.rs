//! Measures what copperwell costs and gains per request, beside direct connections and a plain
//! FIFO, and prints the figures as one line of JSON.
//!
//! The plain FIFO is a queue without bound, deadline or class before the slots of each server. It
//! runs in this process, so its requests have one hop less than those through a daemon.

use std::{
    error::Error,
    fs, io,
    path::PathBuf,
    process::ExitCode,
    str::FromStr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bpaf::Bpaf;
use bytes::Bytes;
use copperwell_backend::order::header;
use copperwell_keyspace::{
    Epoch, HashMap,
    manifest::{DataCentre, Fencing, Limits, Manifest, OnIsolation, Service, Upstream},
    shard,
};
use copperwell_message::Class;
use copperwell_rig::{
    cluster::Cluster,
    node::{Launch, Node},
};
use futures::future::join_all;
use hdrhistogram::Histogram;
use http::{Request, StatusCode, request::Builder};
use http_body_util::{BodyExt, Empty};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rand_distr::{Distribution, Exp1};
use serde::Serialize;
use tokio::{
    sync::Semaphore,
    task::JoinSet,
    time::{Instant, sleep, sleep_until, timeout},
};

/// The service that is asked, and its data centre.
const SERVICE: &str = "bench";

/// Shards of the service.
const SHARDS: u32 = 64;

/// Keys in use.
const KEYS: u32 = 2000;

/// Load before the figures begin, so that connections are open.
const WARM_UP: Duration = Duration::from_secs(1);

/// How long callers of overloaded servers wait beyond their deadline.
const PATIENCE: Duration = Duration::from_secs(5);

/// The deadline of requests whose time does not matter.
const LONG: Duration = Duration::from_secs(5);

/// The deadline of requests that count as good.
const DEADLINE: Duration = Duration::from_millis(500);

/// Requests per second of each way when latency is measured.
const LOW_RATE: f64 = 100.0;

/// Requests at a time when throughput is measured.
const CONCURRENCY: usize = 64;

/// Servers, their slots and their service time, when overload is measured.
const SMALL: Size = Size {
    upstreams: 3,
    slots: 2,
    service_ms: 20,
};

/// Keys of a request that is batch.
const BATCH_KEYS: usize = 8;

/// Clock ticks per second in `/proc`, as Linux shows them to programs.
const TICKS_PER_S: f64 = 100.0;

/// What is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum What {
    AddedLatency,
    Throughput,
    Goodput,
    Classes,
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
            "retries" => Ok(Self::Retries),
            _ => Err(format!(
                "`{text}` is unknown; use `added-latency`, `throughput`, `goodput`, `classes` or \
                 `retries`"
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
    /// `added-latency`, `throughput`, `goodput`, `classes` or `retries`.
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

/// Figures of an open loop.
#[derive(Debug, Serialize)]
struct Figure {
    name: String,
    offered: usize,
    /// Answers of owners, in time or not.
    done: usize,
    /// Answers of owners within the deadline, per second.
    good_per_s: f64,
    p50_ms: f64,
    p99_ms: f64,
    p999_ms: f64,
}

/// Figures of a closed loop: one daemon in one role.
#[derive(Debug, Serialize)]
struct Core {
    role: &'static str,
    done_per_s: f64,
    failed: u64,
    /// CPU seconds per second.
    cores: f64,
    /// Requests per CPU second.
    per_core: f64,
}

/// Figures of shedding servers.
#[derive(Debug, Serialize)]
struct Offered {
    callers: usize,
    upstreams: u64,
    ratio: f64,
}

/// The servers of a cluster.
#[derive(Debug, Clone, Copy)]
struct Size {
    upstreams: usize,
    slots: u32,
    service_ms: u64,
}

/// An open loop of requests.
#[derive(Debug, Clone, Copy)]
struct Load {
    rate: f64,
    /// Keys of each request.
    keys: usize,
    /// How long each runs at its server.
    service_ms: u64,
    deadline: Duration,
}

/// What became of one request.
#[derive(Debug, Clone, Copy)]
struct Answer {
    is_done: bool,
    latency: Duration,
}

type Client = legacy::Client<HttpConnector, Empty<Bytes>>;

/// A way to the owners of keys.
#[derive(Debug, Clone)]
enum Way {
    /// Through the daemon that listens here.
    Daemon(String),
    /// Straight to the owners.
    Plain(Arc<Plain>),
}

/// Queues before servers.
#[derive(Debug)]
struct Plain {
    owners: HashMap<u32, Arc<Owner>>,
    epoch: Epoch,
}

/// A server and the queue before its slots.
#[derive(Debug)]
struct Owner {
    address: String,
    slots: Semaphore,
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
    let cluster = start(args, size, 2).await?;
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
        };
        let running = ways.iter().zip(0..).map(|((_, way), index)| {
            let seed = args.seed.wrapping_mul(31).wrapping_add(index);
            open_loop(way, load, args.seconds, seed)
        });
        let all = join_all(running).await;
        for ((name, _), answers) in ways.iter().zip(all) {
            let name = format!("{name}, service time {service_ms} ms");
            figures.push(Figure::new(name, &answers, load, args));
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
    let cluster = start(args, size, 1).await?;
    let (leader, other) = roles(&cluster).await?;
    let mut figures = closed_loop(args, leader, &[("ingress and leader", leader)]).await?;
    let apart = [("ingress only", other), ("leader only", leader)];
    figures.extend(closed_loop(args, other, &apart).await?);
    Ok(figures)
}

async fn goodput(args: &Args) -> Result<Vec<Figure>, Box<dyn Error>> {
    let cluster = start(args, SMALL, 2).await?;
    let mut figures = Vec::new();
    for factor in [0.5, 1.0, 2.0, 4.0] {
        let load = Load {
            rate: SMALL.capacity() * factor,
            keys: 1,
            service_ms: SMALL.service_ms,
            deadline: DEADLINE,
        };
        for (name, way) in contenders(&cluster).await? {
            let answers = open_loop(&way, load, args.seconds, args.seed).await;
            let name = format!("{name}, {factor} times capacity");
            figures.push(Figure::new(name, &answers, load, args));
        }
    }
    Ok(figures)
}

async fn classes(args: &Args) -> Result<Vec<Figure>, Box<dyn Error>> {
    let cluster = start(args, SMALL, 2).await?;
    let interactive = Load {
        rate: SMALL.capacity() * 0.3,
        keys: 1,
        service_ms: SMALL.service_ms,
        deadline: LONG,
    };
    let batch = Load {
        rate: SMALL.capacity() * 2.0 / BATCH_KEYS as f64,
        keys: BATCH_KEYS,
        ..interactive
    };
    let mut figures = Vec::new();
    for (name, way) in contenders(&cluster).await? {
        let alone = open_loop(&way, interactive, args.seconds, args.seed).await;
        let (first, second) = tokio::join!(
            open_loop(&way, interactive, args.seconds, args.seed),
            open_loop(&way, batch, args.seconds, args.seed.wrapping_add(1)),
        );
        let figure = |what: &str, answers: &[Answer], load| {
            Figure::new(format!("{name}, {what}"), answers, load, args)
        };
        figures.push(figure("interactive alone", &alone, interactive));
        figures.push(figure("interactive beside batch", &first, interactive));
        figures.push(figure("batch", &second, batch));
    }
    Ok(figures)
}

async fn retries(args: &Args) -> Result<Vec<Offered>, Box<dyn Error>> {
    let cluster = start(args, SMALL, 2).await?;
    let (_, other) = roles(&cluster).await?;
    let offered = || {
        let refused = cluster
            .servers
            .values()
            .map(|server| server.counts().refused);
        refused.sum::<u64>() + cluster.record.runs().len() as u64 + cluster.record.lost()
    };
    let load = Load {
        rate: SMALL.capacity(),
        keys: 1,
        service_ms: SMALL.service_ms,
        deadline: DEADLINE,
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

/// Starts two daemons and servers, and waits until they serve.
async fn start(args: &Args, size: Size, workers: usize) -> io::Result<Cluster> {
    let time = Duration::from_millis(size.service_ms);
    let times = [(SERVICE.to_owned(), time)].into_iter().collect();
    let mut cluster = Cluster::start_servers(manifest(size), &times).await?;
    if let Some(daemon) = &args.daemon {
        cluster.launch = Launch::Program(daemon.clone());
    }
    cluster.workers = workers;
    cluster.publish().await?;
    for _ in 0..2 {
        cluster.add_node(SERVICE).await?;
    }
    cluster.wait_ready().await?;
    Ok(cluster)
}

fn manifest(size: Size) -> Manifest {
    let upstreams = (0..size.upstreams).map(|index| Upstream {
        name: format!("server-{index}").into(),
        data_centre: SERVICE.into(),
        address: ([127, 0, 0, 1], 0).into(),
        slots: size.slots,
        connections: 256,
        fencing: Fencing::Checked,
        drain: false,
        part: 0,
    });
    Manifest {
        replaces: 0,
        data_centres: vec![DataCentre {
            name: SERVICE.into(),
            region: SERVICE.into(),
        }],
        services: vec![Service {
            name: SERVICE.into(),
            class: Class::Interactive,
            shards: SHARDS,
            on_isolation: OnIsolation::Keep,
            lease: Duration::from_millis(1500),
            limits: Limits::default(),
            upstreams: upstreams.collect(),
        }],
    }
}

/// The daemon that leads the only group, and the other one.
async fn roles(cluster: &Cluster) -> io::Result<(&Node, &Node)> {
    let leader = cluster.leader_of(&format!("{SERVICE}/{SERVICE}/0")).await;
    let leader = leader.ok_or_else(|| io::Error::other("no daemon leads the servers"))?;
    let other = cluster.nodes.iter().find(|node| *node.name != *leader);
    let other = other.ok_or_else(|| io::Error::other("there is only one daemon"))?;
    Ok((cluster.node(&leader)?, other))
}

/// Copperwell at two hops, and the plain FIFO.
async fn contenders(cluster: &Cluster) -> io::Result<[(&'static str, Way); 2]> {
    let (_, other) = roles(cluster).await?;
    Ok([
        ("copperwell", Way::daemon(other)),
        ("plain FIFO", Way::plain(cluster, SMALL)?),
    ])
}

impl Size {
    /// Requests per second that all slots together run.
    fn capacity(self) -> f64 {
        self.upstreams as f64 * f64::from(self.slots) * 1000.0 / self.service_ms as f64
    }
}

impl Figure {
    fn new(name: String, answers: &[Answer], load: Load, args: &Args) -> Self {
        let mut histogram = Histogram::<u64>::new_with_bounds(1, 3_600_000_000, 3)
            .expect("the bounds and three digits are supported");
        let done = answers.iter().filter(|answer| answer.is_done);
        for answer in done.clone() {
            let micros = u64::try_from(answer.latency.as_micros()).unwrap_or(u64::MAX);
            histogram.saturating_record(micros);
        }
        let good = done
            .clone()
            .filter(|answer| answer.latency <= load.deadline);
        let millis = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        Self {
            name,
            offered: answers.len(),
            done: done.count(),
            good_per_s: good.count() as f64 / args.seconds as f64,
            p50_ms: millis(0.5),
            p99_ms: millis(0.99),
            p999_ms: millis(0.999),
        }
    }
}

/// A request to send: when, and for which keys.
type Ask = (Duration, Vec<String>);

/// Offers load and gives what became of it after the time to warm up.
async fn open_loop(way: &Way, load: Load, seconds: u64, seed: u64) -> Vec<Answer> {
    let asks = asks(load, seconds, seed);
    let warm = asks.iter().take_while(|(at, _)| *at < WARM_UP).count();
    send_all(way, load, asks).await.split_off(warm)
}

fn asks(load: Load, seconds: u64, seed: u64) -> Vec<Ask> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut at = Duration::ZERO;
    let mut asks = Vec::new();
    loop {
        let pause: f64 = Exp1.sample(&mut random);
        at += Duration::from_secs_f64(pause / load.rate);
        if at >= WARM_UP + Duration::from_secs(seconds) {
            return asks;
        }
        asks.push((at, (0..load.keys).map(|_| key(&mut random)).collect()));
    }
}

fn key(random: &mut StdRng) -> String {
    format!("k{}", random.random_range(0..KEYS))
}

/// Sends each request at its time, however slow the answers are; the order stays.
async fn send_all(way: &Way, load: Load, asks: Vec<Ask>) -> Vec<Answer> {
    let client = client();
    let start = Instant::now();
    let mut running = Vec::with_capacity(asks.len());
    for (at, keys) in asks {
        sleep_until(start + at).await;
        let (way, client) = (way.clone(), client.clone());
        running.push(tokio::spawn(async move {
            // The timer is as coarse as the latencies, so the clock runs from the sending.
            let sent = Instant::now();
            let answer = way.send(&client, &keys, load);
            let is_done = timeout(load.deadline + PATIENCE, answer).await;
            Answer {
                is_done: is_done.unwrap_or(false),
                latency: sent.elapsed(),
            }
        }));
    }
    let answers = join_all(running).await.into_iter();
    answers.filter_map(Result::ok).collect()
}

/// Keeps a fixed number of requests running and reads the CPU time of daemons.
async fn closed_loop(
    args: &Args,
    entry: &Node,
    daemons: &[(&'static str, &Node)],
) -> io::Result<Vec<Core>> {
    let load = Load {
        rate: 0.0,
        keys: 1,
        service_ms: 0,
        deadline: LONG,
    };
    let (done, failed) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut callers = JoinSet::new();
    let client = client();
    for index in 0..CONCURRENCY as u64 {
        let (way, client) = (Way::daemon(entry), client.clone());
        let (done, failed) = (done.clone(), failed.clone());
        let mut random = StdRng::seed_from_u64(args.seed.wrapping_mul(31).wrapping_add(index));
        callers.spawn(async move {
            loop {
                let is_done = way.send(&client, &[key(&mut random)], load).await;
                let counter = if is_done { &done } else { &failed };
                counter.fetch_add(1, Ordering::Relaxed);
            }
        });
    }
    sleep(WARM_UP).await;
    let begin = Instant::now();
    let (done_before, failed_before) =
        (done.load(Ordering::Relaxed), failed.load(Ordering::Relaxed));
    let before: io::Result<Vec<f64>> = daemons.iter().map(|(_, node)| cpu_seconds(node)).collect();
    sleep(Duration::from_secs(args.seconds)).await;
    let count = done.load(Ordering::Relaxed) - done_before;
    let failed = failed.load(Ordering::Relaxed) - failed_before;
    let took = begin.elapsed().as_secs_f64();
    let mut figures = Vec::new();
    for ((role, node), before) in daemons.iter().zip(before?) {
        let cpu = cpu_seconds(node)? - before;
        figures.push(Core {
            role,
            done_per_s: count as f64 / took,
            failed,
            cores: cpu / took,
            per_core: count as f64 / cpu,
        });
    }
    Ok(figures)
}

/// CPU time that a daemon's process has used.
fn cpu_seconds(node: &Node) -> io::Result<f64> {
    let id = node.process_id();
    let id = id.ok_or_else(|| io::Error::other("the daemon has no process of its own"))?;
    let text = fs::read_to_string(format!("/proc/{id}/stat"))?;
    // The name in parentheses may hold spaces; user and system time are the 12th and 13th after it.
    let (_, rest) = text.rsplit_once(')').unwrap_or_default();
    let ticks = rest.split_whitespace().skip(11).take(2);
    let ticks: Result<Vec<f64>, _> = ticks.map(str::parse).collect();
    Ok(ticks.map_err(io::Error::other)?.iter().sum::<f64>() / TICKS_PER_S)
}

fn client() -> Client {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    legacy::Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(Duration::from_secs(30))
        .build(connector)
}

impl Way {
    fn daemon(node: &Node) -> Self {
        Self::Daemon(node.addresses.callers.to_string())
    }

    /// Straight to whoever owns the shards now.
    fn plain(cluster: &Cluster, size: Size) -> io::Result<Self> {
        let mut owners = HashMap::default();
        for server in cluster.servers.values() {
            let owner = Arc::new(Owner {
                address: server.address().to_string(),
                slots: Semaphore::new(size.slots as usize),
            });
            let held = server.shards().into_iter();
            owners.extend(held.map(|shard| (shard.index, owner.clone())));
        }
        let runs = cluster.record.runs();
        let run = runs.last();
        let run = run.ok_or_else(|| io::Error::other("nothing ran while the cluster started"))?;
        let epoch = run.epoch;
        Ok(Self::Plain(Arc::new(Plain { owners, epoch })))
    }

    /// Whether the owners of all keys answered, and the answer is whole.
    async fn send(&self, client: &Client, keys: &[String], load: Load) -> bool {
        match self {
            Self::Daemon(entry) => {
                let uri = format!("http://{entry}/{SERVICE}/{}/load", keys.join(","));
                let millis = u64::try_from(load.deadline.as_millis()).unwrap_or(u64::MAX);
                let request = Request::get(uri).header(header::DEADLINE, millis);
                ask(client, request, load).await
            }
            Self::Plain(plain) => {
                let parts = keys.iter().map(|key| plain.send(client, key, load));
                join_all(parts).await.into_iter().all(|is_done| is_done)
            }
        }
    }
}

impl Plain {
    async fn send(&self, client: &Client, key: &str, load: Load) -> bool {
        let shard = shard::index_of(key, SHARDS);
        let Some(owner) = self.owners.get(&shard) else {
            return false;
        };
        let Ok(_slot) = owner.slots.acquire().await else {
            return false;
        };
        let request = Request::get(format!("http://{}/load", owner.address))
            .header(header::SERVICE, SERVICE)
            .header(header::KEY, key)
            .header(header::SHARD, shard)
            .header(header::EPOCH, self.epoch)
            .header(header::REQUEST, "plain");
        ask(client, request, load).await
    }
}

/// Sends one request and reads the answer.
async fn ask(client: &Client, request: Builder, load: Load) -> bool {
    let request = request.header("x-standin-ms", load.service_ms);
    let Ok(request) = request.body(Empty::new()) else {
        return false;
    };
    let Ok(response) = client.request(request).await else {
        return false;
    };
    let (parts, body) = response.into_parts();
    let verdict = parts.headers.get(header::VERDICT);
    let is_done = verdict.is_none_or(|verdict| verdict == "done");
    let whole = body.collect().await.is_ok();
    parts.status == StatusCode::OK && is_done && whole
}
