//! A simulated fleet of daemons that probe each other.

use std::{collections::HashSet, net::SocketAddr, time::Duration};

use crate::member;
use copperwell_policy::suspicion::{Change, FailureDetector, Liveness, Subject, Target};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::time::Instant;

/// Interval between two rounds.
pub(crate) const ROUND: Duration = Duration::from_millis(250);

/// Time from the start of a probe until it has failed, including the probes of helpers.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Daemons that probe each other over a network that loses a share of the messages.
pub(crate) struct Fleet {
    pub(crate) now: Instant,
    pub(crate) nodes: Vec<Node>,
    loss: f64,
    random: StdRng,
    /// Pairs that can't reach each other.
    pub(crate) partitioned: HashSet<(usize, usize)>,
    failures: Vec<Failure>,
    pub(crate) probes: usize,
    pub(crate) rumours: usize,
    changes: Vec<Observed>,
}

pub(crate) struct Node {
    pub(crate) detector: FailureDetector,
    pub(crate) dead: bool,
}

/// A probe that fails when it is due.
struct Failure {
    due: Instant,
    started: Instant,
    node: usize,
    subject: Subject,
}

/// A change that a node detected.
pub(crate) struct Observed {
    pub(crate) at: Instant,
    pub(crate) node: usize,
    pub(crate) change: Change,
}

impl Fleet {
    /// Starts `size` daemons in three data centres; the first one is the seed of all.
    pub(crate) fn new(size: usize, loss: f64, random_seed: u64) -> Self {
        let nodes = (0..size).map(|index| {
            let seeds = vec![member(0, 1).control];
            Node {
                detector: FailureDetector::new(member(index, 1), seeds, random_seed + index as u64),
                dead: false,
            }
        });
        Self {
            now: Instant::now(),
            nodes: nodes.collect(),
            loss,
            random: StdRng::seed_from_u64(random_seed),
            partitioned: HashSet::new(),
            failures: Vec::new(),
            probes: 0,
            rumours: 0,
            changes: Vec::new(),
        }
    }

    /// Starts daemons that already know each other.
    pub(crate) fn acquainted(size: usize, loss: f64, random_seed: u64) -> Self {
        let mut fleet = Self::new(size, loss, random_seed);
        for node in 0..size {
            for other in 0..size {
                let own = fleet.nodes[other].detector.me();
                fleet.nodes[node].detector.record_answer(fleet.now, own);
            }
        }
        fleet.run(Duration::from_secs(5));
        fleet.changes.clear();
        fleet
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += ROUND;
            self.round();
        }
    }

    pub(crate) fn round(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.failures)
            .into_iter()
            .partition(|failure| failure.due <= now);
        self.failures = later;
        for failure in due {
            let detector = &mut self.nodes[failure.node].detector;
            let changes = detector.record_failed_probe(now, failure.started, &failure.subject);
            self.record(failure.node, changes);
        }
        for node in 0..self.nodes.len() {
            if self.nodes[node].dead {
                continue;
            }
            let changes = self.nodes[node].detector.tick(now);
            self.record(node, changes);
            for target in self.nodes[node].detector.plan(now) {
                self.probe(node, target);
            }
        }
    }

    fn probe(&mut self, node: usize, target: Target) {
        self.probes += 1;
        let to = index_of(target.control);
        if self.exchange(node, to) {
            return;
        }
        let Some(subject) = target.subject else {
            return;
        };
        if self.exchange(node, to) {
            return;
        }
        for helper in self.nodes[node].detector.helpers(&subject) {
            let helper = index_of(helper);
            if self.exchange(node, helper) && self.exchange(helper, to) {
                let own = self.nodes[to].detector.me();
                let changes = self.nodes[node].detector.record_answer(self.now, own);
                self.record(node, changes);
                return;
            }
        }
        self.failures.push(Failure {
            due: self.now + PROBE_TIMEOUT,
            started: self.now,
            node,
            subject,
        });
    }

    /// Simulates one probe and its answer; returns `false` if one of them was lost.
    fn exchange(&mut self, from: usize, to: usize) -> bool {
        let pair = (from.min(to), from.max(to));
        if self.nodes[to].dead || self.partitioned.contains(&pair) || !self.is_delivered() {
            return false;
        }
        self.deliver(from, to);
        if !self.is_delivered() {
            return false;
        }
        self.deliver(to, from);
        true
    }

    fn is_delivered(&mut self) -> bool {
        !self.random.random_bool(self.loss)
    }

    fn deliver(&mut self, from: usize, to: usize) {
        let name = self.nodes[to].detector.me().member.name;
        let sender = &mut self.nodes[from].detector;
        let own = sender.me();
        let rumours = sender.rumours(Some(&name));
        self.rumours = self.rumours.max(rumours.len());
        let mut changes = self.nodes[to].detector.record_answer(self.now, own);
        for rumour in rumours {
            changes.extend(self.nodes[to].detector.apply_rumour(self.now, rumour));
        }
        self.record(to, changes);
    }

    fn record(&mut self, node: usize, changes: Vec<Change>) {
        let at = self.now;
        let changes = changes.into_iter();
        self.changes
            .extend(changes.map(|change| Observed { at, node, change }));
    }

    pub(crate) fn liveness(&self, node: usize, of: usize) -> Option<Liveness> {
        let name = member(of, 1).name;
        let mut reports = self.nodes[node].detector.reports();
        let report = reports.find(|report| report.member.name == name)?;
        Some(report.liveness)
    }

    pub(crate) fn losses(&self) -> impl Iterator<Item = &Observed> {
        let changes = self.changes.iter();
        changes.filter(|observed| matches!(observed.change, Change::Lost(_)))
    }
}

/// Returns the index of the daemon at an address.
fn index_of(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1
}
