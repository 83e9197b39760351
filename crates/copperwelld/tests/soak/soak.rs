//! Plays the events of a seed, and checks what callers and servers have seen.

use std::{
    collections::{HashMap, HashSet},
    fs::{File, remove_file},
    path::{Path, PathBuf},
    process::Stdio,
    sync::Arc,
    time::Duration,
};

use crate::{
    callers::{Callers, Outcome},
    events::{Event, events},
    harness::{CONDITION_TIMEOUT, Harness, configure, spawn},
    holders::{Servers, Watch},
    standin::{
        cut::How,
        server::{self, Server},
        store,
    },
};
use http::StatusCode;
use rustix::process::Signal;
use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until};

/// The seeds that are played if no others are asked for.
const SEEDS: &str = "1..3";

const DAEMONS: &str = "4";

/// How long each request runs at a server.
const WORK: Duration = Duration::from_millis(8);

/// How long grants last at most, as the settings say: one that was held up may count for as long.
const HOLD_MAX: Duration = Duration::from_secs(10);

/// How long before the end of a request something may have happened that lost it.
const EXCUSED: Duration = Duration::from_secs(5);

/// The least share of the requests that are served, whatever happens.
const SERVED_MIN: f64 = 0.4;

struct Soak {
    seed: u64,
    harness: Harness,
    /// The servers that have begun to leave, and those that have ended.
    leaving: Vec<Server>,
    ended: Vec<Server>,
    running: Servers,
    /// The servers that were started so far.
    server_count: usize,
    version: u64,
    /// The daemons that are to be started again once they have exited.
    stopping: Vec<usize>,
    paused: HashSet<usize>,
    cut: (Vec<usize>, How),
    /// When something happened to a daemon that may end its callers' connections.
    disturbed: HashMap<usize, Vec<Instant>>,
    /// When something happened for which servers may lose requests, or hold keys for longer.
    servers_disturbed: Vec<Instant>,
    orders_disturbed: Vec<Instant>,
}

/// The file with the log of a daemon, which is kept for seeds that fail.
fn log_path(seed: u64, daemon: usize) -> PathBuf {
    let name = format!("soak-{seed}-{daemon}.log");
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(name)
}

fn log(seed: u64, daemon: usize) -> Stdio {
    let path = log_path(seed, daemon);
    let file = File::options().append(true).create(true).open(path);
    file.unwrap().into()
}

fn variable(name: &str, default: &str) -> String {
    std::env::var(name).unwrap_or_else(|_| default.to_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_lost_or_doubled_under_overlapping_faults() {
    let seeds = variable("COPPERWELL_SOAK_SEEDS", SEEDS);
    let (first, end) = seeds.split_once("..").expect("seeds are FIRST..END");
    let daemons = variable("COPPERWELL_SOAK_DAEMONS", DAEMONS)
        .parse()
        .unwrap();
    for seed in first.parse().unwrap()..end.parse().unwrap() {
        let faults = Soak::play(seed, daemons).await;
        assert!(faults.is_empty(), "seed {seed}: {faults:#?}");
        for daemon in 0..daemons {
            remove_file(log_path(seed, daemon)).unwrap();
        }
    }
}

impl Soak {
    /// Plays a seed; returns what was wrong.
    async fn play(seed: u64, daemons: usize) -> Vec<String> {
        let zones = (0..daemons).map(|number| ["here", "there"][number % 2]);
        let zones: Vec<_> = zones.collect();
        let mut soak = Self::start(seed, &zones).await;
        let daemons = soak.harness.daemons.iter();
        let bases: Vec<_> = daemons.map(|daemon| daemon.url(0, "")).collect();
        let callers = Callers::start(seed, &bases);
        let watch = Watch::start(soak.running.clone());
        let start = Instant::now();
        for (at, event) in events(seed, bases.len()) {
            sleep_until(start + at).await;
            soak.start_exited();
            soak.apply(event).await;
        }
        soak.heal().await;
        let mut faults = soak.wait_recovered().await;
        let outcomes = callers.stop().await;
        faults.extend(soak.check(&outcomes));
        for overlap in watch.overlaps() {
            let excused = |at: &Instant| overlap.since >= *at && overlap.since < *at + HOLD_MAX;
            if !soak.orders_disturbed.iter().any(excused) {
                faults.push(format!("two servers hold key {}", overlap.key));
            }
        }
        let served = outcomes.iter().filter(|one| is_served(one)).count();
        println!("seed {seed}: {served} of {} served", outcomes.len());
        if (served as f64) < SERVED_MIN * outcomes.len() as f64 {
            faults.push(format!("{served} of {} served", outcomes.len()));
        }
        faults
    }

    async fn start(seed: u64, zones: &[&str]) -> Self {
        let harness = Harness::start_in(zones, |daemon| log(seed, daemon)).await;
        let mut soak = Self {
            seed,
            harness,
            leaving: Vec::new(),
            ended: Vec::new(),
            running: Servers::default(),
            server_count: 0,
            version: 2,
            stopping: Vec::new(),
            paused: HashSet::new(),
            cut: (Vec::new(), How::Reset),
            disturbed: HashMap::new(),
            servers_disturbed: Vec::new(),
            orders_disturbed: Vec::new(),
        };
        for server in &soak.harness.servers {
            soak.admit(server);
        }
        soak.join(false).await;
        soak.harness.wait_served().await;
        soak
    }

    /// Has a server take requests like the others.
    fn admit(&self, server: &Server) {
        server.set(server::Faults {
            work: WORK,
            ..server::Faults::default()
        });
        self.running.lock().unwrap().push(server.state.clone());
    }

    async fn join(&mut self, is_sharded: bool) {
        self.server_count += 1;
        let service = if is_sharded { "cups" } else { "pay" };
        let id = format!("{service}-{}", self.server_count);
        let server = Server::start(&id, service, is_sharded, self.harness.store.writer()).await;
        self.admit(&server);
        self.harness.servers.push(server);
        self.apply_cut();
    }

    /// Starts another server in place of the first one; returns that.
    async fn replace_first(&mut self) -> Server {
        let server = self.harness.servers.remove(0);
        self.join(server.is_sharded()).await;
        server
    }

    fn apply_cut(&self) {
        let (daemons, how) = &self.cut;
        let daemons = daemons.iter().map(|daemon| &self.harness.daemons[*daemon]);
        let ids: Vec<_> = daemons.map(|daemon| daemon.child.id()).collect();
        let servers = self.harness.servers.iter().chain(&self.leaving);
        for server in servers {
            server.cut.set(&ids, *how);
        }
    }

    fn disturb(&mut self, daemon: usize) {
        let times = self.disturbed.entry(daemon).or_default();
        times.push(Instant::now());
    }

    fn signal(&mut self, daemon: usize, signal: Signal) {
        self.disturb(daemon);
        self.harness.daemons[daemon].signal(signal);
    }

    async fn apply(&mut self, event: Event) {
        let now = Instant::now();
        match event {
            Event::Restart(daemon) if !self.stopping.contains(&daemon) => {
                self.harness.daemons[daemon].signal(Signal::TERM);
                self.stopping.push(daemon);
            }
            Event::Kill(daemon) if !self.stopping.contains(&daemon) => {
                self.signal(daemon, Signal::KILL);
                self.stopping.push(daemon);
            }
            Event::Restart(_) | Event::Kill(_) => {}
            Event::Pause(daemon) => {
                self.signal(daemon, Signal::STOP);
                self.paused.insert(daemon);
            }
            Event::Resume(daemon) => self.resume(daemon),
            Event::Cut(daemons, how) => {
                self.servers_disturbed.push(now);
                self.orders_disturbed.push(now);
                self.cut = (daemons, how);
                self.apply_cut();
            }
            Event::Configure => {
                self.version += 1;
                self.configure();
            }
            Event::Replace => {
                let server = self.replace_first().await;
                server.drain();
                self.leaving.push(server);
            }
            Event::End if !self.leaving.is_empty() => {
                let server = self.leaving.remove(0);
                self.end(server);
            }
            Event::End => {}
            Event::Crash => {
                let server = self.replace_first().await;
                self.end(server);
            }
            Event::StoreFails => self.harness.store.set(store::Faults {
                refuse: Some(503),
                ..store::Faults::default()
            }),
            Event::StoreIsBack => self.harness.store.set(store::Faults::default()),
        }
    }

    fn configure(&self) {
        let more = format!("more{}", self.version);
        configure(&self.harness.store, self.version, &["cups", "pay", &more]);
    }

    fn end(&mut self, mut server: Server) {
        self.servers_disturbed.push(Instant::now());
        let mut running = self.running.lock().unwrap();
        running.retain(|one| !Arc::ptr_eq(one, &server.state));
        drop(running);
        server.kill();
        self.ended.push(server);
    }

    fn resume(&mut self, daemon: usize) {
        if self.paused.remove(&daemon) {
            self.signal(daemon, Signal::CONT);
            self.orders_disturbed.push(Instant::now());
        }
    }

    /// Starts the daemons again that have exited.
    fn start_exited(&mut self) {
        for daemon in std::mem::take(&mut self.stopping) {
            let process = &mut self.harness.daemons[daemon];
            if process.child.try_wait().unwrap().is_none() {
                self.stopping.push(daemon);
                continue;
            }
            process.child = spawn(&process.file, process.port, log(self.seed, daemon));
            self.paused.remove(&daemon);
            self.apply_cut();
        }
    }

    /// Ends all faults.
    async fn heal(&mut self) {
        for daemon in self.paused.clone() {
            self.resume(daemon);
        }
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        while !self.stopping.is_empty() {
            assert!(Instant::now() < deadline, "{:?} do not exit", self.stopping);
            self.start_exited();
            sleep(Duration::from_millis(50)).await;
        }
        self.apply(Event::Cut(Vec::new(), How::Reset)).await;
        self.apply(Event::StoreIsBack).await;
        self.apply(Event::Configure).await;
    }

    /// Waits until every daemon has the newest configuration and serves both services; returns which do not.
    async fn wait_recovered(&self) -> Vec<String> {
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        let mut faults = Vec::new();
        for (number, daemon) in self.harness.daemons.iter().enumerate() {
            let client = &self.harness.client;
            let is_in_force =
                async || daemon.status(client, "configuration").await == Some(json!(self.version));
            let mut tries = 0;
            let is_served = async |tries| {
                let mut is_served = true;
                for path in ["/cups/end", "/pay/end"] {
                    let id = format!("end-{number}-{tries}{path}");
                    let response = self.harness.send(number, path, &id, tries).await;
                    is_served &= response.is_some_and(|(status, _)| status == StatusCode::OK);
                }
                is_served
            };
            while !(is_in_force().await && is_served(tries * 7_919).await) {
                tries = tries.wrapping_add(1) % 8;
                if Instant::now() > deadline {
                    faults.push(format!("{} has not recovered", daemon.name()));
                    break;
                }
                sleep(Duration::from_millis(50)).await;
            }
        }
        faults
    }

    /// Returns what is wrong with the responses, given what ran.
    fn check(&self, outcomes: &[Outcome]) -> Vec<String> {
        let servers = self.harness.servers.iter();
        let servers = servers.chain(&self.leaving).chain(&self.ended);
        let mut runs: HashMap<String, usize> = HashMap::new();
        for id in servers.flat_map(Server::runs) {
            *runs.entry(id).or_default() += 1;
        }
        let mut faults = Vec::new();
        for outcome in outcomes {
            let runs = runs.get(&outcome.id).copied().unwrap_or(0);
            let fault = self.fault_of(outcome, runs);
            faults.extend(fault.map(|fault| format!("{fault}, {runs} runs: {outcome:?}")));
        }
        faults
    }

    /// Returns what is wrong with a request that ran so often.
    fn fault_of(&self, outcome: &Outcome, runs: usize) -> Option<&'static str> {
        if !outcome.is_repeatable && runs > 1 {
            return Some("ran twice");
        }
        let Some((status, body)) = &outcome.response else {
            let is_lost = runs > 0 && !self.is_excused(outcome);
            return is_lost.then_some("lost");
        };
        match status.as_u16() {
            200 if runs == 0 => Some("answered and not run"),
            200 if !body.ends_with(&format!(" {}", outcome.path)) => Some("another's answer"),
            429 | 503 | 408 | 421 if runs > 0 && !outcome.is_repeatable => {
                Some("refused as not run")
            }
            400..408 | 409..421 => Some("denied"),
            _ => None,
        }
    }

    /// Returns whether a request may have been lost with its daemon or its server.
    fn is_excused(&self, outcome: &Outcome) -> bool {
        let during = |at: &Instant| *at + EXCUSED >= outcome.sent_at && *at <= outcome.ended_at;
        let disturbed = self.disturbed.get(&outcome.daemon).into_iter().flatten();
        disturbed.chain(&self.servers_disturbed).any(during)
    }
}

fn is_served(outcome: &Outcome) -> bool {
    let response = outcome.response.as_ref();
    response.is_some_and(|(status, _)| *status == StatusCode::OK)
}
