//! A discrete-event simulation of leaders, servers and the network between them.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::SocketAddr,
    time::Duration,
};

use crate::{
    harness::{self, group_id, name, shard_digest},
    server::{Moment, Server, Span},
};
use copperwell_keyspace::{Epoch, ShardIndex, UpstreamName, manifest::Fencing};
use copperwell_policy::group::{
    Group,
    message::{
        Action, Answer, Config, Failure, Input, Load, Order, Predecessor, Route, Start, Ticket,
        Voters,
    },
};
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};
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

    /// Returns the configuration that the log has now.
    fn config(&self) -> Config {
        let mut config = harness::config(self.servers.len(), self.shards.len() as u32);
        for (upstream, node) in config.upstreams.iter_mut().zip(&self.servers) {
            upstream.drain = node.is_draining;
            upstream.fencing = self.fencing;
        }
        let last = config.upstreams.split_off(self.servers.len() - 1);
        match self.membership {
            Membership::Present => config.upstreams.extend(last),
            Membership::Former => config.former.extend(last),
            Membership::Absent => {}
        }
        config
    }

    /// Returns the voters of an appointment that is made now.
    fn voters(&self) -> Vec<SocketAddr> {
        let mut config = self.config();
        config.upstreams.append(&mut config.former);
        harness::voters(&config)
    }

    /// Adds or removes the last server.
    fn toggle_last_server(&mut self) {
        self.membership = match self.membership {
            Membership::Present if self.servers.len() > 1 => Membership::Former,
            _ => Membership::Present,
        };
        self.publish();
    }

    /// Has each leader read the log, some of them late.
    fn publish(&mut self) {
        for leader in 0..self.leaders.len() {
            let delay_ms = if self.has_faults() && self.rng.random_bool(0.3) {
                self.rng.random_range(0..6000)
            } else {
                0
            };
            let at = self.now + Duration::from_millis(delay_ms);
            self.push(
                at.min(self.faults_end.max(self.now)),
                Event::ReadLog(leader),
            );
        }
    }

    /// Drops a retired server from the log, unless a later appointment voids the leader's record.
    fn retire(&mut self, leader: usize, upstreams: &[UpstreamName]) {
        let is_last = upstreams.contains(&name(self.servers.len() - 1));
        let later = self.leaders[leader + 1..].iter();
        let is_latest = later.clone().all(|later| later.voters.is_empty());
        if is_last && is_latest && self.membership == Membership::Former {
            self.membership = Membership::Absent;
            self.publish();
        }
    }

    fn start(&mut self, leader: usize) {
        if self.leaders[leader].is_dead {
            return;
        }
        let start = Start {
            id: group_id(0),
            epoch: self.leaders[leader].epoch,
            config: self.config(),
            predecessor: if leader == 0 {
                Predecessor::None
            } else {
                Predecessor::Active
            },
            voters: Voters {
                own: self.voters(),
                former: self.former_voters(leader),
            },
            is_recorded: true,
            shard_digest,
        };
        self.leaders[leader].voters = self.voters();
        let now = self.base + self.now;
        self.leaders[leader].group = Some(Group::new(start, now));
        self.handle(leader, Input::Tick);
    }

    /// Returns the voters of the appointment before.
    fn former_voters(&self, leader: usize) -> Vec<SocketAddr> {
        let before = self.leaders[..leader].iter().rev();
        let mut before = before.map(|before| before.voters.clone());
        before.find(|voters| !voters.is_empty()).unwrap_or_default()
    }

    /// Reports to each leader whose predecessors are all gone that they have stopped.
    fn send_evidence(&mut self) {
        for leader in 1..self.leaders.len() {
            let mut earlier = self.leaders[..leader].iter();
            if earlier.all(|earlier| earlier.is_dead) {
                self.handle(leader, Input::PredecessorStopped);
            }
        }
        if self.has_membership_changes && !self.has_faults() {
            // No leader follows the last one, which the log and its standby confirm.
            let confirmed = Input::Confirmed(self.base + self.now);
            self.handle(self.leaders.len() - 1, confirmed);
            self.push(self.now + Duration::from_millis(500), Event::Evidence);
        }
    }

    /// Reports load on a hot shard, which is another one every eight seconds.
    fn send_load(&mut self, leader: usize) {
        let hot = self.now.as_secs() / 8 % self.shards.len() as u64;
        let load = Load {
            shard: self.shards[hot as usize],
            requests: 200,
        };
        self.handle(leader, Input::Load(vec![load]));
        self.push(self.now + Duration::from_secs(1), Event::Load(leader));
    }

    /// Passes an input to a leader, or delays it until a frozen leader resumes.
    fn handle(&mut self, leader: usize, input: Input) {
        let frozen = self.leaders[leader].frozen_until;
        if frozen > self.now {
            let event = match input {
                Input::Answered {
                    upstream,
                    ticket,
                    result,
                } => Event::Answer {
                    leader,
                    server: upstream[1..].parse().unwrap(),
                    ticket,
                    result,
                },
                Input::Idle { shard, ticket } => Event::Idle {
                    leader,
                    shard,
                    ticket,
                },
                Input::Config(_) => Event::ReadLog(leader),
                _ => {
                    self.leaders[leader].wakes_at = Some(frozen);
                    Event::Wake(leader)
                }
            };
            self.push(frozen, event);
            return;
        }
        let now = self.base + self.now;
        let Some(group) = &mut self.leaders[leader].group else {
            return;
        };
        let actions = group.handle(input, now);
        let wake = group.wake_at(now).map(|at| at - self.base);
        let planned = self.leaders[leader].wakes_at;
        if let Some(wake) = wake
            && planned.is_none_or(|planned| wake < planned)
        {
            self.leaders[leader].wakes_at = Some(wake);
            self.push(wake, Event::Wake(leader));
        }
        for action in actions {
            self.perform(leader, action);
        }
    }

    fn perform(&mut self, leader: usize, action: Action) {
        match action {
            Action::Order {
                upstream,
                ticket,
                order,
                timeout,
            } => {
                let server: usize = upstream.name[1..].parse().unwrap();
                self.send(leader, server, ticket, order, timeout);
            }
            Action::AwaitIdle { shard, ticket } => {
                let at = self.now + self.delay();
                self.push(
                    at,
                    Event::Idle {
                        leader,
                        shard,
                        ticket,
                    },
                );
            }
            Action::Route { shard, route } => {
                let change = RouteChange {
                    route,
                    at: self.now,
                };
                self.leaders[leader].routes.insert(shard, change);
            }
            Action::Retire(upstreams) => self.retire(leader, &upstreams),
            Action::Lease {
                upstream, until, ..
            } => {
                self.leaders[leader]
                    .leases
                    .insert(upstream, until - self.base);
            }
            _ => {}
        }
    }

    fn send(
        &mut self,
        leader: usize,
        server: usize,
        ticket: Ticket,
        order: Order,
        timeout: Duration,
    ) {
        let answer = |result| Event::Answer {
            leader,
            server,
            ticket,
            result,
        };
        self.push(self.now + timeout, answer(Err(Failure::Timeout)));
        let is_partitioned = self.leaders[leader].partitioned_until[server] > self.now;
        let is_down = self.servers[server].down_until > self.now;
        let is_lost = self.has_faults() && self.rng.random_bool(0.02);
        if is_down && !is_partitioned {
            let at = self.now + self.delay();
            self.push(at, answer(Err(Failure::Unreachable)));
        } else if !is_partitioned && !is_lost {
            let at = self.now + self.delay();
            self.push(
                at,
                Event::Arrive {
                    leader,
                    server,
                    ticket,
                    order,
                },
            );
        }
    }

    fn arrive(&mut self, leader: usize, server: usize, ticket: Ticket, order: Order) {
        let node = &mut self.servers[server];
        if node.down_until > self.now {
            return;
        }
        if node.frozen_until > self.now {
            let at = node.frozen_until + Duration::from_micros(self.rng.random_range(0..500));
            let event = Event::Arrive {
                leader,
                server,
                ticket,
                order,
            };
            self.push(at, event);
            return;
        }
        let epoch = self.leaders[leader].epoch;
        let result = node.server.handle(epoch, &order, shard_digest, self.now);
        let is_lost = self.has_faults() && self.rng.random_bool(0.02);
        if self.leaders[leader].partitioned_until[server] <= self.now && !is_lost {
            let at = self.now + self.delay();
            self.push(
                at,
                Event::Answer {
                    leader,
                    server,
                    ticket,
                    result,
                },
            );
        }
    }

    /// Returns a random network delay, sometimes a very long one while faults are injected.
    fn delay(&mut self) -> Duration {
        if self.has_faults() && self.rng.random_bool(0.03) {
            return Duration::from_millis(self.rng.random_range(1..4000));
        }
        Duration::from_micros(self.rng.random_range(100..3000))
    }

    fn has_faults(&self) -> bool {
        self.now < self.faults_end
    }

    /// Ends all leaders but the last and reports that to it. Otherwise it may lack a majority when
    /// a server was removed, and cannot establish servers that do not check epochs.
    fn end_earlier_leaders(&mut self) {
        let last = self.leaders.len() - 1;
        for leader in &mut self.leaders[..last] {
            leader.is_dead = true;
            leader.group = None;
        }
        self.send_evidence();
    }

    /// Starts or ends the draining of a server; at most one drains at a time.
    fn toggle_drain(&mut self, server: usize) {
        let is_draining = !self.servers[server].is_draining;
        for node in &mut self.servers {
            node.is_draining = false;
        }
        self.servers[server].is_draining = is_draining && self.servers.len() > 1;
        self.publish();
    }

    /// Injects a random fault, which ends by the end of the fault period; after that, clears what
    /// would prevent recovery.
    fn inject_fault(&mut self) {
        if !self.has_faults() {
            if self.has_membership_changes {
                // The only remaining server must not drain.
                for node in &mut self.servers {
                    node.is_draining = false;
                }
                self.publish();
            }
            if self.fencing == Fencing::Unchecked || self.has_membership_changes {
                self.end_earlier_leaders();
            }
            return;
        }
        let duration = Duration::from_millis(self.rng.random_range(10..6000));
        let until = (self.now + duration).min(self.faults_end);
        let server = self.rng.random_range(0..self.servers.len());
        let leader = self.rng.random_range(0..self.leaders.len());
        match self.rng.random_range(0..10) {
            // Unchecked servers do not restart: a late order for one run may reach the next, a
            // fault that the state machine does not cover.
            0 if self.fencing == Fencing::Checked => {
                let node = &mut self.servers[server];
                node.server.restart(self.now);
                node.frozen_until = self.now;
                node.down_until = *[self.now, until].choose(&mut self.rng).unwrap();
            }
            1 => self.servers[server].frozen_until = until,
            2 => self.leaders[leader].frozen_until = until,
            3 | 4 => self.leaders[leader].partitioned_until[server] = until,
            5 => self.toggle_drain(server),
            7 if self.has_membership_changes => self.toggle_last_server(),
            6 if leader + 1 < self.leaders.len() && self.rng.random_bool(0.3) => {
                self.leaders[leader].is_dead = true;
                self.leaders[leader].group = None;
                let later = self.now + Duration::from_millis(self.rng.random_range(0..3000));
                self.push(later, Event::Evidence);
            }
            _ => {
                for server in 0..self.servers.len() {
                    if self.rng.random_bool(0.5) {
                        self.leaders[leader].partitioned_until[server] = until;
                    }
                }
            }
        }
        let next = self.now + Duration::from_millis(self.rng.random_range(50..3000));
        self.push(next.min(self.faults_end), Event::Fault);
    }
}
