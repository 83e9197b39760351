//! Measures the cost of membership for a daemon.
//!
//! `membership DAEMONS SECONDS` prints one line of JSON. All daemons run in this process, on the
//! loopback interface, in three data centres; they run nothing but membership.

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

/// The time for daemons to discover each other.
const SETTLE_TIME: Duration = Duration::from_secs(60);

struct Daemon {
    members: Arc<Members>,
    registry: Registry,
}

struct ControlHandler {
    members: Arc<Members>,
}

impl Handler for ControlHandler {
    async fn probe(&self, probe: Probe) -> Pong {
        self.members.handle_probe(probe)
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
    let mut next_number = || arguments.next().and_then(|text| text.parse().ok());
    let (Some(size), Some(seconds)) = (next_number(), next_number()) else {
        eprintln!("usage: membership DAEMONS SECONDS");
        std::process::exit(2);
    };
    let daemons = start(size).await;
    sleep(SETTLE_TIME).await;
    let known = daemons.iter().map(|daemon| count_live(&daemon.members));
    let known = known.min().unwrap_or(0);
    let bytes_before = bytes_exchanged(&daemons);
    let time_before = processor_time_used();
    sleep(Duration::from_secs(seconds as u64)).await;
    let per_daemon_second = 1.0 / (size * seconds) as f64;
    let bytes = (bytes_exchanged(&daemons) - bytes_before) as f64 * per_daemon_second;
    let core = (processor_time_used() - time_before).as_secs_f64() * per_daemon_second * 100.0;
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
        let member = Member {
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
        let members = Members::new(member, seeds.clone(), client);
        if seeds.len() < 3 {
            seeds.push(control);
        }
        let handler = ControlHandler {
            members: members.clone(),
        };
        tokio::spawn(serve(
            listener,
            handler,
            Refusals::new(),
            CancellationToken::new(),
        ));
        let prober = members.clone();
        tokio::spawn(async move { prober.run(CancellationToken::new()).await });
        daemons.push(Daemon { members, registry });
    }
    daemons
}

fn count_live(members: &Members) -> usize {
    members.roster().borrow().live().len()
}

/// Returns the number of bytes that passed between all daemons so far.
fn bytes_exchanged(daemons: &[Daemon]) -> u64 {
    let texts = daemons.iter().map(|daemon| {
        let mut text = String::new();
        encode(&mut text, &daemon.registry).expect("writing to a string does not fail");
        text
    });
    let counts = texts.filter_map(|text| {
        let lines = text.lines();
        let mut lines = lines.filter(|line| line.starts_with("control_client_bytes_total"));
        lines.next()?.split(' ').nth(1)?.parse::<u64>().ok()
    });
    counts.sum()
}

/// Returns the processor time that this process has used.
fn processor_time_used() -> Duration {
    let time = Usage::of_self().processor_time();
    time.expect("this process runs")
}
