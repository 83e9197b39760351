//! A harness that runs one group's state machine with fake servers and simulated time.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use crate::server::Server;
use copperwell_keyspace::{
    Epoch, GroupId, ShardIndex, UpstreamName,
    manifest::{Fencing, Upstream},
};
use copperwell_policy::group::{
    Group,
    message::{Action, Answer, Config, Failure, Input, Order, Predecessor, Route, Start, Voters},
};
use tokio::time::Instant;

pub(crate) const LEASE: Duration = Duration::from_millis(1500);

/// The longest step of simulated time.
const STEP: Duration = Duration::from_millis(10);

/// How a server, or the network before it, handles orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mode {
    Healthy,
    /// Refuses connections.
    Down,
    /// Handles orders, but its answers are lost.
    NoAnswers,
    /// Handles orders, but its answers to grants are lost.
    NoAnswersToGrants,
    /// Grants do not arrive; other orders are answered. A test may deliver a grant late.
    DelayedGrants,
    /// Orders do not arrive and time out.
    Partitioned,
}

pub(crate) struct Harness {
    base: Instant,
    pub(crate) now: Duration,
    pub(crate) group: Group,
    pub(crate) config: Config,
    voters: Vec<SocketAddr>,
    epoch: Epoch,
    start: Start,
    pub(crate) servers: Vec<Server>,
    pub(crate) modes: Vec<Mode>,
    pub(crate) routes: BTreeMap<ShardIndex, Route>,
    /// Shards with a request in flight.
    pub(crate) busy: BTreeSet<ShardIndex>,
    delayed: Vec<Input>,
    /// All actions that are neither orders, routes nor waits.
    pub(crate) actions: Vec<Action>,
    /// All orders and their recipients.
    pub(crate) orders: Vec<SentOrder>,
}

pub(crate) struct SentOrder {
    pub(crate) server: usize,
    pub(crate) order: Order,
}

pub(crate) fn shard_digest(shard: ShardIndex) -> u64 {
    u64::from(shard + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

pub(crate) fn name(server: usize) -> UpstreamName {
    format!("u{server}").into()
}

fn index(name: &str) -> Option<usize> {
    name[1..].parse().ok()
}

pub(crate) fn group_id(part: u16) -> GroupId {
    GroupId {
        service: "calendar".into(),
        data_centre: "cluj".into(),
        part,
    }
}

pub(crate) fn upstream(server: usize) -> Upstream {
    Upstream {
        name: name(server),
        data_centre: "cluj".into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1 + server as u16)),
        slots: 2,
        connections: 130,
        fencing: Fencing::Checked,
        part: 0,
        drain: false,
    }
}

pub(crate) fn config(servers: usize, shards: u32) -> Config {
    Config {
        upstreams: (0..servers).map(upstream).collect(),
        former: Vec::new(),
        shards: (0..shards).collect(),
        lease: LEASE,
        lease_max: LEASE,
        isolation: None,
    }
}

/// Returns the addresses of the servers that check epochs.
pub(crate) fn voters(config: &Config) -> Vec<SocketAddr> {
    let checked = config
        .upstreams
        .iter()
        .filter(|upstream| upstream.fencing == Fencing::Checked);
    checked.map(|upstream| upstream.address).collect()
}

impl Harness {
    /// Creates the first leader of a group with new servers.
    pub(crate) fn new(servers: usize, shards: u32) -> Self {
        let fresh = (0..servers).map(|_| Server::new(Duration::from_secs(9)));
        Self::with_servers(fresh.collect(), config(servers, shards), Predecessor::None)
    }

    /// Creates a leader of a group with these servers.
    pub(crate) fn with_servers(
        servers: Vec<Server>,
        config: Config,
        predecessor: Predecessor,
    ) -> Self {
        let base = Instant::now();
        let epoch = 4;
        let start = Start {
            id: group_id(0),
            epoch,
            config: config.clone(),
            predecessor,
            voters: Voters {
                own: voters(&config),
                former: Vec::new(),
            },
            is_recorded: true,
            shard_digest,
        };
        Self {
            base,
            now: Duration::ZERO,
            group: Group::new(start.clone(), base),
            start,
            voters: voters(&config),
            config,
            epoch,
            modes: vec![Mode::Healthy; servers.len()],
            servers,
            routes: BTreeMap::new(),
            busy: BTreeSet::new(),
            delayed: Vec::new(),
            actions: Vec::new(),
            orders: Vec::new(),
        }
    }

    /// Replaces the leader by a successor that the log has appointed.
    pub(crate) fn into_successor(self, predecessor: Predecessor) -> Self {
        let start = Start {
            epoch: self.epoch + 2,
            predecessor,
            voters: Voters {
                own: voters(&self.config),
                former: self.voters.clone(),
            },
            ..self.start.clone()
        };
        self.with_leader(start)
    }

    /// Replaces the leader by its standby, which takes over without the log.
    pub(crate) fn into_standby(self, former: Vec<SocketAddr>) -> Self {
        let start = Start {
            epoch: self.epoch + 1,
            predecessor: Predecessor::Active,
            voters: Voters {
                own: self.voters.clone(),
                former,
            },
            is_recorded: false,
            ..self.start.clone()
        };
        self.with_leader(start)
    }

    fn with_leader(self, start: Start) -> Self {
        let start = Start {
            config: self.config.clone(),
            ..start
        };
        Self {
            epoch: start.epoch,
            voters: start.voters.own.clone(),
            group: Group::new(start.clone(), self.base + self.now),
            start,
            routes: BTreeMap::new(),
            delayed: Vec::new(),
            actions: Vec::new(),
            orders: Vec::new(),
            ..self
        }
    }

    pub(crate) fn instant(&self) -> Instant {
        self.base + self.now
    }

    /// Passes an input to the leader and performs the resulting actions at once.
    pub(crate) fn handle(&mut self, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for action in self.group.handle(input, self.instant()) {
                inputs.extend(self.perform(action));
            }
        }
    }

    /// Advances time by `time`, with a tick in each step.
    pub(crate) fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            let wake = self.group.wake_at(self.instant());
            let wake = wake.map_or(end, |wake| wake - self.base);
            self.now = wake.min(self.now + STEP).min(end);
            let (ready, delayed) = std::mem::take(&mut self.delayed)
                .into_iter()
                .partition(|input| self.is_ready(input));
            self.delayed = delayed;
            for input in ready {
                self.handle(input);
            }
            self.handle(Input::Tick);
        }
    }

    /// Changes the configuration.
    pub(crate) fn configure(&mut self, change: impl FnOnce(&mut Config)) {
        change(&mut self.config);
        self.handle(Input::Config(self.config.clone()));
    }

    /// Returns the server to which each routed shard's requests go.
    pub(crate) fn owners(&self) -> BTreeMap<ShardIndex, usize> {
        let owned = self.routes.iter().filter_map(|(shard, route)| {
            let Route::Owned { upstream, .. } = route else {
                return None;
            };
            Some((*shard, index(upstream)?))
        });
        owned.collect()
    }

    /// Returns how many shards are routed to a server.
    pub(crate) fn count_shards(&self, server: usize) -> usize {
        let owners = self.owners();
        owners.values().filter(|owner| **owner == server).count()
    }

    /// Returns how many orders of a kind were sent to a server.
    pub(crate) fn count_orders(&self, server: usize, kind: impl Fn(&Order) -> bool) -> usize {
        let here = self.orders.iter().filter(|sent| sent.server == server);
        here.filter(|sent| kind(&sent.order)).count()
    }

    fn is_ready(&self, input: &Input) -> bool {
        match input {
            Input::Idle { shard, .. } => !self.busy.contains(shard),
            _ => true,
        }
    }

    fn perform(&mut self, action: Action) -> Option<Input> {
        match action {
            Action::Order {
                upstream,
                ticket,
                order,
                ..
            } => {
                let server = index(&upstream.name)?;
                let answer = self.deliver(server, &order);
                self.orders.push(SentOrder { server, order });
                let input = Input::Answered {
                    upstream: upstream.name,
                    ticket,
                    result: answer.clone(),
                };
                if answer.is_ok() {
                    return Some(input);
                }
                // A failure is known one step later.
                self.delayed.push(input);
                None
            }
            Action::Route { shard, route } => {
                self.routes.insert(shard, route);
                None
            }
            Action::AwaitIdle { shard, ticket } => {
                self.delayed.push(Input::Idle { shard, ticket });
                None
            }
            other => {
                self.actions.push(other);
                None
            }
        }
    }

    fn deliver(&mut self, server: usize, order: &Order) -> Result<Answer, Failure> {
        let mode = self.modes.get(server).copied().unwrap_or(Mode::Down);
        match mode {
            Mode::Down => Err(Failure::Unreachable),
            Mode::DelayedGrants if !matches!(order, Order::Grant { .. }) => {
                self.servers[server].handle(self.epoch, order, shard_digest, self.now)
            }
            Mode::Partitioned | Mode::DelayedGrants => Err(Failure::Timeout),
            Mode::NoAnswersToGrants if !matches!(order, Order::Grant { .. }) => {
                self.servers[server].handle(self.epoch, order, shard_digest, self.now)
            }
            Mode::NoAnswers | Mode::NoAnswersToGrants => {
                let _ = self.servers[server].handle(self.epoch, order, shard_digest, self.now);
                Err(Failure::Timeout)
            }
            Mode::Healthy => self.servers[server].handle(self.epoch, order, shard_digest, self.now),
        }
    }
}
