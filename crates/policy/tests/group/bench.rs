//! A group over fake servers that answer at once, with time that the test counts.

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

/// Time passes in steps of this length at most.
const STEP: Duration = Duration::from_millis(10);

/// What a server does with orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mood {
    Answers,
    /// Refuses connections.
    Down,
    /// Takes orders and is not heard.
    Mute,
    /// Takes orders and is heard, but for grants.
    MuteOnGive,
    /// Grants do not arrive for now; all else does, and is heard.
    LateOnGive,
    /// Takes nothing and is not heard.
    Cut,
}

pub(crate) struct Bench {
    base: Instant,
    pub(crate) now: Duration,
    pub(crate) group: Group,
    pub(crate) config: Config,
    voters: Vec<SocketAddr>,
    epoch: Epoch,
    start: Start,
    pub(crate) servers: Vec<Server>,
    pub(crate) moods: Vec<Mood>,
    pub(crate) routes: BTreeMap<ShardIndex, Route>,
    /// Shards with a request in flight.
    pub(crate) busy: BTreeSet<ShardIndex>,
    waiting: Vec<Input>,
    /// All actions that are neither orders nor routes.
    pub(crate) actions: Vec<Action>,
    /// All orders and who got them.
    pub(crate) orders: Vec<Sent>,
}

pub(crate) struct Sent {
    pub(crate) server: usize,
    pub(crate) order: Order,
}

pub(crate) fn digest(shard: ShardIndex) -> u64 {
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

/// The servers that check epochs.
pub(crate) fn voters(config: &Config) -> Vec<SocketAddr> {
    let checked = config
        .upstreams
        .iter()
        .filter(|upstream| upstream.fencing == Fencing::Checked);
    checked.map(|upstream| upstream.address).collect()
}

impl Bench {
    /// The first leader of a group with fresh servers.
    pub(crate) fn new(servers: usize, shards: u32) -> Self {
        let fresh = (0..servers).map(|_| Server::new(Duration::from_secs(9)));
        Self::with(fresh.collect(), config(servers, shards), Predecessor::None)
    }

    /// A leader of a group with these servers.
    pub(crate) fn with(servers: Vec<Server>, config: Config, predecessor: Predecessor) -> Self {
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
            recorded: true,
            digest,
        };
        Self {
            base,
            now: Duration::ZERO,
            group: Group::new(start.clone(), base),
            start,
            voters: voters(&config),
            config,
            epoch,
            moods: vec![Mood::Answers; servers.len()],
            servers,
            routes: BTreeMap::new(),
            busy: BTreeSet::new(),
            waiting: Vec::new(),
            actions: Vec::new(),
            orders: Vec::new(),
        }
    }

    /// A successor that the log appointed, in the same world and at the same time.
    pub(crate) fn succeed(self, predecessor: Predecessor) -> Self {
        let start = Start {
            epoch: self.epoch + 2,
            predecessor,
            voters: Voters {
                own: voters(&self.config),
                former: self.voters.clone(),
            },
            ..self.start.clone()
        };
        self.follow(start)
    }

    /// The standby, which takes over without the log.
    pub(crate) fn take_over(self, former: Vec<SocketAddr>) -> Self {
        let start = Start {
            epoch: self.epoch + 1,
            predecessor: Predecessor::Acting,
            voters: Voters {
                own: self.voters.clone(),
                former,
            },
            recorded: false,
            ..self.start.clone()
        };
        self.follow(start)
    }

    fn follow(self, start: Start) -> Self {
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
            waiting: Vec::new(),
            actions: Vec::new(),
            orders: Vec::new(),
            ..self
        }
    }

    pub(crate) fn at(&self) -> Instant {
        self.base + self.now
    }

    /// Gives an input and does what follows from it at once.
    pub(crate) fn tell(&mut self, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for action in self.group.handle(input, self.at()) {
                inputs.extend(self.act(action));
            }
        }
    }

    /// Lets time pass.
    pub(crate) fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            let wake = self.group.wake_at(self.at());
            let wake = wake.map_or(end, |wake| wake - self.base);
            self.now = wake.min(self.now + STEP).min(end);
            let (ready, waiting) = std::mem::take(&mut self.waiting)
                .into_iter()
                .partition(|input| self.is_ready(input));
            self.waiting = waiting;
            for input in ready {
                self.tell(input);
            }
            self.tell(Input::Tick);
        }
    }

    /// Changes what the manifest says.
    pub(crate) fn configure(&mut self, change: impl FnOnce(&mut Config)) {
        change(&mut self.config);
        self.tell(Input::Config(self.config.clone()));
    }

    /// The servers to which the shards' requests go, as far as they go anywhere.
    pub(crate) fn owners(&self) -> BTreeMap<ShardIndex, usize> {
        let owned = self.routes.iter().filter_map(|(shard, route)| {
            let Route::Owned { upstream, .. } = route else {
                return None;
            };
            Some((*shard, index(upstream)?))
        });
        owned.collect()
    }

    /// How many shards go to a server.
    pub(crate) fn count(&self, server: usize) -> usize {
        let owners = self.owners();
        owners.values().filter(|owner| **owner == server).count()
    }

    /// How many orders of a kind were given.
    pub(crate) fn sent(&self, server: usize, kind: impl Fn(&Order) -> bool) -> usize {
        let here = self.orders.iter().filter(|sent| sent.server == server);
        here.filter(|sent| kind(&sent.order)).count()
    }

    fn is_ready(&self, input: &Input) -> bool {
        match input {
            Input::Idle { shard, .. } => !self.busy.contains(shard),
            _ => true,
        }
    }

    fn act(&mut self, action: Action) -> Option<Input> {
        match action {
            Action::Order {
                upstream,
                ticket,
                order,
                ..
            } => {
                let server = index(&upstream.name)?;
                let answer = self.order(server, &order);
                self.orders.push(Sent { server, order });
                let input = Input::Answered {
                    upstream: upstream.name,
                    ticket,
                    result: answer.clone(),
                };
                if answer.is_ok() {
                    return Some(input);
                }
                // Failures are known a step later.
                self.waiting.push(input);
                None
            }
            Action::Route { shard, route } => {
                self.routes.insert(shard, route);
                None
            }
            Action::AwaitIdle { shard, ticket } => {
                self.waiting.push(Input::Idle { shard, ticket });
                None
            }
            other => {
                self.actions.push(other);
                None
            }
        }
    }

    fn order(&mut self, server: usize, order: &Order) -> Result<Answer, Failure> {
        let mood = self.moods.get(server).copied().unwrap_or(Mood::Down);
        match mood {
            Mood::Down => Err(Failure::Unreachable),
            Mood::LateOnGive if !matches!(order, Order::Give { .. }) => {
                self.servers[server].take(self.epoch, order, digest, self.now)
            }
            Mood::Cut | Mood::LateOnGive => Err(Failure::Silent),
            Mood::MuteOnGive if !matches!(order, Order::Give { .. }) => {
                self.servers[server].take(self.epoch, order, digest, self.now)
            }
            Mood::Mute | Mood::MuteOnGive => {
                let _ = self.servers[server].take(self.epoch, order, digest, self.now);
                Err(Failure::Silent)
            }
            Mood::Answers => self.servers[server].take(self.epoch, order, digest, self.now),
        }
    }
}
