//! What membership costs a daemon: `membership DAEMONS SECONDS` prints one line of JSON.
//!
//! All daemons run in this process, on loopback, in three data centres; nothing else runs in them.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use copperwell_keyspace::{LogOffset, Member, batch::Batch};
use copperwell_peer::{
    control::{Client, HandOver, Handler, Pong, Probe, Refusals, Relinquish, Snapshot, serve},
    members::Members,
};
use copperwell_policy::quarantine::Conviction;
use copperwell_rig::usage::Usage;
use prometheus_client::{encoding::text::encode, registry::Registry};
use tokio::{net::TcpListener, time::sleep};
use tokio_util::sync::CancellationToken;

/// Time that daemons get to find each other.
const SETTLE: Duration = Duration::from_secs(60);

struct Daemon {
    members: Arc<Members>,
    registry: Registry,
}

struct Answers {
    members: Arc<Members>,
}

impl Handler for Answers {
    async fn probe(&self, probe: Probe) -> Pong {
        self.members.answer(probe)
    }

    async fn probe_through(&self, target: SocketAddr) -> Option<Pong> {
        self.members.probe_through(target).await
    }

    async fn records(&self, _: LogOffset, _: Duration) -> Option<Batch> {
        None
    }

    async fn snapshot(&self) -> Option<Snapshot> {
        None
    }

    async fn hand_over(&self, _: HandOver) -> bool {
        false
    }

    async fn relinquish(&self, _: Relinquish) -> bool {
        false
    }

    async fn quarantine(&self, _: Vec<Conviction>) {}
}

#[tokio::main]
async fn main() {
    let mut arguments = std::env::args().skip(1);
    let mut number = || arguments.next().and_then(|text| text.parse().ok());
    let (Some(size), Some(seconds)) = (number(), number()) else {
        eprintln!("usage: membership DAEMONS SECONDS");
        std::process::exit(2);
    };
    let daemons = start(size).await;
    sleep(SETTLE).await;
    let known = daemons.iter().map(|daemon| live(&daemon.members));
    let known = known.min().unwrap_or(0);
    let bytes_before = bytes(&daemons);
    let before = spent();
    sleep(Duration::from_secs(seconds as u64)).await;
    let share = 1.0 / (size * seconds) as f64;
    let bytes = (bytes(&daemons) - bytes_before) as f64 * share;
    let core = (spent() - before).as_secs_f64() * share * 100.0;
    println!(
        "{{\"daemons\": {size}, \"known_min\": {known}, \"sent_bytes_per_s\": {bytes:.0}, \
         \"core_percent\": {core:.3}}}"
    );
}

async fn start(size: usize) -> Vec<Daemon> {
    let mut daemons = Vec::with_capacity(size);
    let mut seeds = Vec::new();
    for index in 0..size {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("loopback has a free port");
        let control = listener.local_addr().expect("the socket is bound");
        let me = Member {
            name: format!("daemon-{index}").into(),
            incarnation: 1,
            data_centre: format!("dc-{}", index % 3).into(),
            control,
            requests: control,
            admin: control,
        };
        let client = Client::new();
        let mut registry = Registry::default();
        client.register(&mut registry);
        let members = Members::new(me, seeds.clone(), client);
        if seeds.len() < 3 {
            seeds.push(control);
        }
        let answers = Answers {
            members: members.clone(),
        };
        tokio::spawn(serve(
            listener,
            answers,
            Refusals::new(),
            CancellationToken::new(),
        ));
        let probing = members.clone();
        tokio::spawn(async move { probing.run(CancellationToken::new()).await });
        daemons.push(Daemon { members, registry });
    }
    daemons
}

fn live(members: &Members) -> usize {
    members.roster().borrow().live().len()
}

/// Bytes that passed between all daemons.
fn bytes(daemons: &[Daemon]) -> u64 {
    let texts = daemons.iter().map(|daemon| {
        let mut text = String::new();
        encode(&mut text, &daemon.registry).expect("a string takes all text");
        text
    });
    let counts = texts.filter_map(|text| {
        let lines = text.lines();
        let mut lines = lines.filter(|line| line.starts_with("control_client_bytes_total"));
        lines.next()?.split(' ').nth(1)?.parse::<u64>().ok()
    });
    counts.sum()
}

/// Processor time of this process.
fn spent() -> Duration {
    let spent = Usage::of_self().processor_time();
    spent.expect("this process runs")
}
