//! One daemon's part in one group: a state machine that fences, grants, renews and releases.
//!
//! `docs/design/ownership.md` argues step by step why no shard has two owners.

use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
    time::Duration,
};

use balance::Decayed;
use copperwell_keyspace::{Epoch, GroupId, Sequence, ShardIndex, UpstreamName};
use message::{Action, Config, Input, Predecessor, Route, Start, Ticket, Voters};
use motion::DRAIN_PATIENCE;
use place::Place;
use server::{Run, Server};
use tokio::time::Instant;

mod answer;
mod balance;
mod config;
pub mod message;
mod motion;
mod order;
mod place;
mod quorum;
mod route;
mod server;
pub mod summary;
mod wait;

/// Heartbeats within one lease.
const HEARTBEATS: u32 = 3;

/// How often is told what the log still does not have.
const REPEAT: Duration = Duration::from_secs(3);

/// The state of one group at the daemon that leads it.
#[derive(Debug)]
pub struct Group {
    id: GroupId,
    epoch: Epoch,
    config: Config,
    predecessor: Predecessor,
    voters: Voters,
    recorded: bool,
    digest: fn(ShardIndex) -> u64,
    phase: Phase,
    started: Instant,
    /// Since when the predecessor surely gives no more orders.
    stopped: Option<Instant>,
    /// When nobody of a higher epoch led, as the log and the standby say.
    confirmed: Option<Instant>,
    /// When the log, or a peer that sees it, was asked last and has answered.
    contact: Instant,
    /// Whether a server has reported a grant that the leader gave or kept for which this daemon
    /// stood by.
    leader_acted: bool,
    /// Whether no earlier leader can act behind this one's back.
    settled: bool,
    servers: BTreeMap<UpstreamName, Server>,
    shards: BTreeMap<ShardIndex, Place>,
    free: BTreeSet<ShardIndex>,
    unknown: BTreeSet<ShardIndex>,
    leaving: BTreeSet<ShardIndex>,
    away: BTreeSet<ShardIndex>,
    /// Shards that another group is to own.
    departing: BTreeMap<ShardIndex, GroupId>,
    loads: BTreeMap<ShardIndex, Decayed>,
    balance_at: Instant,
    /// When the shards that are away are told again.
    away_at: Instant,
    /// When removed servers that hold nothing are told again.
    retire_at: Instant,
    /// Whether a server can take shards, as of the last routes.
    any_open: bool,
    changed: BTreeSet<ShardIndex>,
    routes: BTreeMap<ShardIndex, Route>,
    ticket: Ticket,
    sequence: Sequence,
    actions: Vec<Action>,
}

/// What the machine is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Leading,
    HandingOver,
    Stopped,
}

impl Group {
    /// Starts to lead; the first actions come with the first [`Input::Tick`].
    #[must_use]
    pub fn new(start: Start, now: Instant) -> Self {
        let config = &start.config;
        let upstreams = config.upstreams.iter().chain(&config.former);
        let servers = upstreams.map(|upstream| {
            let mut server = Server::new(upstream.clone(), now);
            server.removed = !config.has(&upstream.name);
            (upstream.name.clone(), server)
        });
        let shards = start.config.shards.iter().copied();
        Self {
            servers: servers.collect(),
            shards: shards
                .clone()
                .map(|shard| (shard, Place::Unknown { last: None }))
                .collect(),
            unknown: shards.clone().collect(),
            changed: shards.collect(),
            id: start.id,
            epoch: start.epoch,
            config: start.config,
            recorded: start.recorded,
            digest: start.digest,
            phase: Phase::Leading,
            started: now,
            stopped: (start.predecessor != Predecessor::Acting).then_some(now),
            confirmed: None,
            leader_acted: false,
            contact: now,
            settled: start.predecessor != Predecessor::Acting,
            predecessor: start.predecessor,
            voters: start.voters,
            free: BTreeSet::new(),
            leaving: BTreeSet::new(),
            away: BTreeSet::new(),
            departing: BTreeMap::new(),
            loads: BTreeMap::new(),
            balance_at: now + balance::PERIOD,
            away_at: now,
            retire_at: now,
            any_open: false,
            routes: BTreeMap::new(),
            ticket: 0,
            sequence: 0,
            actions: Vec::new(),
        }
    }

    /// The group.
    #[must_use]
    pub fn id(&self) -> &GroupId {
        &self.id
    }

    /// The epoch.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The shards that the group owns.
    pub fn shards(&self) -> impl Iterator<Item = ShardIndex> {
        self.shards.keys().copied()
    }

    /// Takes an input and says what to do.
    pub fn handle(&mut self, input: Input, now: Instant) -> Vec<Action> {
        if self.phase != Phase::Stopped {
            self.take(input, now);
        }
        if self.phase != Phase::Stopped {
            self.advance(now);
        }
        mem::take(&mut self.actions)
    }

    /// When the next [`Input::Tick`] is due.
    #[must_use]
    pub fn wake_at(&self, now: Instant) -> Option<Instant> {
        if self.phase == Phase::Stopped {
            return None;
        }
        let orders = self.servers.values().map(|server| {
            let due = server.pending.is_none().then_some(server.due);
            let lapse = server.holds().then_some(server.lapse).flatten();
            let patience = server.drained.map(|since| since + DRAIN_PATIENCE);
            [due, lapse, patience, server.unsure]
        });
        let unknown = !self.unknown.is_empty();
        let others = [
            unknown.then(|| self.waited_out()).flatten(),
            self.isolated_at(),
            self.released_at(),
            Some(self.balance_at),
            (!self.away.is_empty()).then_some(self.away_at),
        ];
        orders
            .flatten()
            .chain(others)
            .flatten()
            .filter(|at| *at > now)
            .min()
    }

    fn take(&mut self, input: Input, now: Instant) {
        match input {
            Input::Tick => {}
            Input::Answered {
                upstream,
                ticket,
                result,
            } => self.on_answered(&upstream, ticket, result, now),
            Input::Config(config) => self.on_config(config, now),
            Input::Suspect(upstream) => self.on_suspect(&upstream, now),
            Input::Idle { shard, ticket } => self.on_idle(shard, ticket),
            Input::Stopped => {
                self.stopped.get_or_insert(now);
            }
            Input::Confirmed(at) => self.confirmed = self.confirmed.max(Some(at)),
            Input::Contact(at) => self.contact = self.contact.max(at),
            Input::Load(loads) => self.on_load(&loads, now),
            Input::GiveAway { shards, to } => self.on_give_away(&shards, &to),
            Input::HandOver => self.on_hand_over(),
            Input::Stop => self.stop(),
        }
    }

    /// Does everything that has become due or possible.
    fn advance(&mut self, now: Instant) {
        self.note_release(now);
        self.lapse(now);
        self.establish(now);
        self.resolve(now);
        if self.phase == Phase::Leading {
            self.drain(now);
            self.depart(now);
            self.balance(now);
        }
        self.prune(now);
        self.order(now);
        self.route(now);
        self.tell_away(now);
        self.finish();
    }

    fn on_suspect(&mut self, upstream: &UpstreamName, now: Instant) {
        let pause = self.heartbeat() / 4;
        if let Some(server) = self.servers.get_mut(upstream) {
            let last = server.run.as_ref().map_or(now, |run| run.confirmed + pause);
            server.due = server.due.min(last.max(now));
        }
    }

    fn step_down(&mut self, by: Epoch) {
        self.stop();
        self.actions.push(Action::StepDown { by });
    }

    fn stop(&mut self) {
        self.phase = Phase::Stopped;
        let shards: Vec<ShardIndex> = self.routes.keys().copied().collect();
        for shard in shards {
            self.set_route(shard, Route::Elsewhere);
        }
    }

    fn run_mut(&mut self, upstream: &UpstreamName) -> Option<&mut Run> {
        self.servers.get_mut(upstream)?.run.as_mut()
    }

    fn heartbeat(&self) -> Duration {
        self.config.lease / HEARTBEATS
    }
}
