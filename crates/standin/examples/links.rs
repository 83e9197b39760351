//! Measures the cost of request links as the same load is spread over more peers.
//!
//! `links REQUESTS_PER_SECOND SECONDS` prints one line of JSON for each number of peers. Both ends
//! of all links are in this process, so the figures are the sum of an ingress and a leader.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use copperwell_message::{Body, Class, Head, Repeat, Reply, Request, Response, Serve, Verdict};
use copperwell_peer::link::{Links, serve};
use copperwell_rig::usage::Usage;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::Serialize;
use tokio::{
    net::TcpListener,
    time::{Instant, MissedTickBehavior, interval, sleep},
};
use tokio_util::sync::CancellationToken;

/// The numbers of peers to measure.
const PEERS: [usize; 4] = [1, 16, 128, 1024];

/// The interval at which requests are started.
const TICK: Duration = Duration::from_millis(1);

/// The size of the body of each request and each answer, in bytes.
const BODY_BYTES: usize = 100;

/// The time for links to open before a measurement, and for requests to end after it.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// The seed of the order in which peers are picked.
const SEED: u64 = 1;

/// The cost with one number of peers.
#[derive(Serialize)]
struct Cost {
    peers: usize,
    requests: u64,
    failed: u64,
    open_files: usize,
    resident_kb: u64,
    cpu_us_per_request: f64,
    latency_us_mean: f64,
}

/// Answers each request with the request's body.
struct Echo;

impl Serve for Echo {
    async fn serve(&self, request: Request) -> Response {
        let reply = Reply {
            status: 200,
            headers: Vec::new(),
            verdict: Verdict::Done,
            reason: None,
            retry_after: None,
        };
        Response {
            reply,
            body: request.body,
        }
    }
}

/// The outcomes of the requests.
#[derive(Default)]
struct Counts {
    done: AtomicU64,
    failed: AtomicU64,
    latency_us: AtomicU64,
}

#[tokio::main]
async fn main() {
    let mut arguments = std::env::args().skip(1);
    let mut next_number = || arguments.next().and_then(|text| text.parse().ok());
    let (Some(rate), Some(seconds)) = (next_number(), next_number()) else {
        eprintln!("usage: links REQUESTS_PER_SECOND SECONDS");
        std::process::exit(2);
    };
    for peers in PEERS {
        let cost = measure(peers, rate, Duration::from_secs(seconds)).await;
        println!(
            "{}",
            serde_json::to_string(&cost).expect("numbers can be serialized")
        );
    }
}

async fn measure(peers: usize, rate: u64, duration: Duration) -> Cost {
    let stop = CancellationToken::new();
    let mut addresses = Vec::with_capacity(peers);
    for _ in 0..peers {
        addresses.push(start(stop.clone()).await);
    }
    let links = Links::new();
    for address in &addresses {
        links.send(*address, request()).await;
    }
    offer_load(&links, &addresses, rate, SETTLE_TIME).await;
    let usage = Usage::of_self();
    let time_before = usage.processor_time().expect("this process runs");
    let counts = offer_load(&links, &addresses, rate, duration).await;
    let time_after = usage.processor_time().expect("this process runs");
    let time_used = (time_after - time_before).as_secs_f64();
    let done = counts.done.load(Ordering::Relaxed);
    let cost = Cost {
        peers,
        requests: done,
        failed: counts.failed.load(Ordering::Relaxed),
        open_files: usage.open_files().unwrap_or(0),
        resident_kb: usage.resident().unwrap_or(0) / 1024,
        cpu_us_per_request: 1e6 * time_used / done.max(1) as f64,
        latency_us_mean: counts.latency_us.load(Ordering::Relaxed) as f64 / done.max(1) as f64,
    };
    stop.cancel();
    drop(links);
    sleep(SETTLE_TIME).await;
    cost
}

/// Starts a peer and returns its address.
async fn start(stop: CancellationToken) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("loopback has a free port");
    let address = listener.local_addr().expect("the socket is bound");
    tokio::spawn(serve(listener, Echo, stop));
    address
}

/// Sends requests at a fixed rate to random peers, and waits for all answers.
async fn offer_load(
    links: &Links,
    peers: &[SocketAddr],
    rate: u64,
    duration: Duration,
) -> Arc<Counts> {
    let counts = Arc::new(Counts::default());
    let mut random = StdRng::seed_from_u64(SEED);
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let start = Instant::now();
    let mut started = 0;
    while start.elapsed() < duration {
        ticks.tick().await;
        let due = (start.elapsed().as_secs_f64() * rate as f64) as u64;
        for _ in started..due {
            let peer = peers[random.random_range(0..peers.len())];
            tokio::spawn(send_request(links.clone(), peer, counts.clone()));
        }
        started = due;
    }
    let finished = || counts.done.load(Ordering::Relaxed) + counts.failed.load(Ordering::Relaxed);
    while finished() < started {
        sleep(TICK).await;
    }
    counts
}

async fn send_request(links: Links, peer: SocketAddr, counts: Arc<Counts>) {
    let start = Instant::now();
    let response = links.send(peer, request()).await;
    let is_done = response.reply.verdict == Verdict::Done;
    let is_whole = response.body.collect(BODY_BYTES).await.is_ok();
    if !is_done || !is_whole {
        counts.failed.fetch_add(1, Ordering::Relaxed);
        return;
    }
    let latency = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
    counts.latency_us.fetch_add(latency, Ordering::Relaxed);
    counts.done.fetch_add(1, Ordering::Relaxed);
}

fn request() -> Request {
    let head = Head {
        id: uuid::Uuid::nil(),
        service: "calendar".to_owned(),
        key: "cabin-17".to_owned(),
        shard: 3,
        class: Class::Interactive,
        repeat: Repeat::Repeatable,
        deadline: Duration::from_secs(5),
        caller: IpAddr::V4(Ipv4Addr::LOCALHOST),
        fingerprint: 0,
        method: "GET".to_owned(),
        path: "/".to_owned(),
        headers: Vec::new(),
        hops: 0,
    };
    Request {
        head,
        body: Body::full(Bytes::from_static(&[7; BODY_BYTES])),
    }
}
