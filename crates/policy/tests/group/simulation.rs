//! A discrete-event simulation of leaders, servers and the network between them.

mod faults;
mod leaders;
mod network;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::SocketAddr,
    time::Duration,
};

use crate::{
    harness::name,
    server::{Moment, Server, Span},
};
use copperwell_keyspace::{Epoch, ShardIndex, UpstreamName, manifest::Fencing};
use copperwell_policy::group::{
    Group,
    message::{Answer, Failure, Input, Order, Route, Ticket},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::time::Instant;

/// Every shard must be served within this time after the last fault.
const RECOVERY: Duration = Duration::from_secs(4);

/// An upper bound on the time for which the requests of a moving shard are held.
const MOVE_TIME_MAX: Duration = Duration::from_millis(50);

/// The parameters of a simulation.
pub(crate) struct Plan {
    pub(crate) servers: usize,
    pub(crate) leaders: usize,
    pub(crate) fencing: Fencing,
    /// Whether the last server is removed and added.
    pub(crate) has_membership_changes: bool,
    pub(crate) shards: u32,
    pub(crate) faults: Duration,
}

pub(crate) struct Simulation {
    seed: u64,
    fencing: Fencing,
    has_membership_changes: bool,
    membership: Membership,
    rng: StdRng,
    base: Instant,
    now: Moment,
    events: BinaryHeap<Reverse<(Moment, u64)>>,
    pending: BTreeMap<u64, Event>,
    event_count: u64,
    shards: Vec<ShardIndex>,
    servers: Vec<Node>,
    leaders: Vec<Leader>,
    faults_end: Moment,
    end: Moment,
}

struct Node {
    server: Server,
    frozen_until: Moment,
    down_until: Moment,
    is_draining: bool,
}

struct Leader {
    epoch: Epoch,
    group: Option<Group>,
    starts_at: Moment,
    frozen_until: Moment,
    /// Until when the leader cannot reach each server.
    partitioned_until: Vec<Moment>,
    /// The voters of its appointment, empty before.
    voters: Vec<SocketAddr>,
    /// When it is woken next.
    wakes_at: Option<Moment>,
    /// Whether its VM is gone.
    is_dead: bool,
    routes: BTreeMap<ShardIndex, RouteChange>,
    /// Until when each server's grants are valid at least, as far as the leader knows.
    leases: BTreeMap<UpstreamName, Moment>,
}

/// The membership of the last server, from the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Membership {
    Present,
    Former,
    Absent,
}

/// A route and the time when it was set.
#[derive(Debug)]
struct RouteChange {
    route: Route,
    at: Moment,
}

#[derive(Debug, Clone)]
enum Event {
    Start(usize),
    Wake(usize),
    Arrive {
        leader: usize,
        server: usize,
        ticket: Ticket,
        order: Order,
    },
    Answer {
        leader: usize,
        server: usize,
        ticket: Ticket,
        result: Result<Answer, Failure>,
    },
    Idle {
        leader: usize,
        shard: ShardIndex,
        ticket: Ticket,
    },
    /// A leader reads the log.
    ReadLog(usize),
    /// The platform reports which leaders are gone.
    Evidence,
    Load(usize),
    Fault,
    End,
}

impl Simulation {
    pub(crate) fn new(seed: u64, plan: &Plan) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let servers = (0..plan.servers).map(|_| Node {
            server: Server::new(Duration::from_millis(rng.random_range(0..100_000))),
            frozen_until: Moment::ZERO,
            down_until: Moment::ZERO,
            is_draining: false,
        });
        let mut servers: Vec<Node> = servers.collect();
        for node in &mut servers {
            node.server.is_checked = plan.fencing == Fencing::Checked;
        }
        let mut starts_at = Moment::ZERO;
        let mut leaders = Vec::new();
        for leader in 0..plan.leaders {
            leaders.push(Leader {
                epoch: 2 + leader as Epoch,
                group: None,
                starts_at,
                frozen_until: Moment::ZERO,
                partitioned_until: vec![Moment::ZERO; plan.servers],
                wakes_at: None,
                voters: Vec::new(),
                is_dead: false,
                routes: BTreeMap::new(),
                leases: BTreeMap::new(),
            });
            starts_at += Duration::from_millis(rng.random_range(1000..8000));
        }
        let mut simulation = Self {
            seed,
            fencing: plan.fencing,
            has_membership_changes: plan.has_membership_changes,
            membership: Membership::Present,
            rng,
            base: Instant::now(),
            now: Moment::ZERO,
            events: BinaryHeap::new(),
            pending: BTreeMap::new(),
            event_count: 0,
            shards: (0..plan.shards).collect(),
            servers,
            leaders,
            faults_end: plan.faults,
            end: plan.faults + RECOVERY,
        };
        for leader in 0..plan.leaders {
            simulation.push(simulation.leaders[leader].starts_at, Event::Start(leader));
        }
        for leader in 0..plan.leaders {
            simulation.push(Duration::from_secs(3), Event::Load(leader));
        }
        simulation.push(Duration::from_millis(500), Event::Fault);
        simulation.push(simulation.end, Event::End);
        simulation
    }

    pub(crate) fn run(&mut self) {
        while let Some(Reverse((at, id))) = self.events.pop() {
            let Some(event) = self.pending.remove(&id) else {
                continue;
            };
            self.now = at;
            if matches!(event, Event::End) {
                return;
            }
            self.process(event);
        }
    }

    /// Checks that no two servers accepted requests of a shard at the same time.
    ///
    /// # Panics
    ///
    /// Panics if they did.
    pub(crate) fn check_no_overlap(&self) {
        let mut spans: Vec<(usize, Span)> = Vec::new();
        for (index, node) in self.servers.iter().enumerate() {
            let node_spans = node.server.spans().into_iter();
            spans.extend(node_spans.map(|span| (index, span)));
        }
        spans.sort_by_key(|(_, span)| (span.shard, span.from));
        for pair in spans.windows(2) {
            let [(left, before), (right, after)] = pair else {
                continue;
            };
            let overlaps = before.shard == after.shard && after.from < before.until;
            assert!(
                !overlaps || left == right,
                "seed {}: servers {left} {before:?} and {right} {after:?}",
                self.seed
            );
        }
    }

    /// Checks that at the end the last leader routes every shard to a server that holds it.
    ///
    /// # Panics
    ///
    /// Panics if it routes a shard nowhere or to a server that refuses its requests.
    pub(crate) fn check_all_served(&self) {
        let Some(leader) = self.leaders.last() else {
            return;
        };
        for shard in &self.shards {
            let change = &leader.routes[shard];
            if change.route == Route::Held && change.at + MOVE_TIME_MAX > self.end {
                continue;
            }
            let Route::Owned { upstream, .. } = &change.route else {
                let group = leader.group.as_ref().map(Group::summary);
                panic!(
                    "seed {}: shard {shard} has route {change:?} in {group:?}",
                    self.seed
                );
            };
            let server: usize = upstream[1..].parse().unwrap();
            let until = leader.leases.get(upstream);
            assert!(
                until.is_some_and(|until| *until > self.end)
                    && self.servers[server].server.holds(*shard, self.end),
                "seed {}: {upstream} does not hold shard {shard}, lease {until:?}",
                self.seed
            );
        }
    }

    fn push(&mut self, at: Moment, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count)));
        self.pending.insert(self.event_count, event);
    }

    fn process(&mut self, event: Event) {
        match event {
            Event::Start(leader) => self.start(leader),
            Event::Wake(leader) => {
                self.leaders[leader].wakes_at = None;
                self.handle(leader, Input::Tick);
            }
            Event::Arrive {
                leader,
                server,
                ticket,
                order,
            } => self.arrive(leader, server, ticket, order),
            Event::Answer {
                leader,
                server,
                ticket,
                result,
            } => {
                let input = Input::Answered {
                    upstream: name(server),
                    ticket,
                    result,
                };
                self.handle(leader, input);
            }
            Event::Idle {
                leader,
                shard,
                ticket,
            } => self.handle(leader, Input::Idle { shard, ticket }),
            Event::ReadLog(leader) => {
                let config = self.config();
                self.handle(leader, Input::Config(config));
            }
            Event::Evidence => self.send_evidence(),
            Event::Load(leader) => self.send_load(leader),
            Event::Fault => self.inject_fault(),
            Event::End => {}
        }
    }
}
