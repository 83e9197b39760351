//! The state machine of a group's leader: fencing servers; granting, renewing and releasing shards.
//!
//! `docs/design/ownership.md` argues step by step why no shard has two owners.

use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
    time::Duration,
};

use balance::ShardLoad;
use copperwell_keyspace::{Epoch, GroupId, Sequence, ShardIndex, UpstreamName};
use message::{Action, Config, Input, Predecessor, Route, Start, Ticket, Voters};
use migration::GRADUAL_DRAIN_MAX;
use ownership::Ownership;
use server::{Run, Server};
use tokio::time::Instant;

mod answer;
mod balance;
mod config;
mod expiry;
pub mod message;
mod migration;
mod order;
mod ownership;
mod quorum;
mod route;
mod server;
pub mod summary;

/// Heartbeats per lease.
const HEARTBEATS_PER_LEASE: u32 = 3;

/// Time between two reports of a change that the log does not have yet.
const REPEAT_INTERVAL: Duration = Duration::from_secs(3);

/// The state of a group at the daemon that leads it.
#[derive(Debug)]
pub struct Group {
    id: GroupId,
    epoch: Epoch,
    config: Config,
    predecessor: Predecessor,
    voters: Voters,
    is_recorded: bool,
    shard_digest: fn(ShardIndex) -> u64,
    phase: Phase,
    started_at: Instant,
    /// Since when the predecessor certainly sends no more orders.
    predecessor_stopped_at: Option<Instant>,
    /// The latest time at which the log and the standby showed no leader of a higher epoch.
    confirmed_at: Option<Instant>,
    /// When the latest answered request to the log, or to a peer that sees it, was sent.
    last_contact: Instant,
    /// Whether a server has reported a grant of the epoch before this one, so that the leader for
    /// which this daemon was the standby has acted.
    predecessor_acted: bool,
    /// Whether the takeover is complete: no earlier leader can grant shards unnoticed.
    has_taken_over: bool,
    servers: BTreeMap<UpstreamName, Server>,
    shards: BTreeMap<ShardIndex, Ownership>,
    free: BTreeSet<ShardIndex>,
    unknown: BTreeSet<ShardIndex>,
    draining: BTreeSet<ShardIndex>,
    detached: BTreeSet<ShardIndex>,
    /// Shards that another group is to own, and that group.
    migrating: BTreeMap<ShardIndex, GroupId>,
    loads: BTreeMap<ShardIndex, ShardLoad>,
    rebalance_at: Instant,
    /// When the detached shards are reported next.
    announce_detached_at: Instant,
    /// When removed servers that hold no shards are reported next.
    retire_at: Instant,
    /// Whether any server accepted grants when the routes were last updated.
    has_accepting_server: bool,
    changed: BTreeSet<ShardIndex>,
    routes: BTreeMap<ShardIndex, Route>,
    ticket: Ticket,
    sequence: Sequence,
    actions: Vec<Action>,
}

/// The phase of a leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Leading,
    HandingOver,
    Stopped,
}

impl Group {
    /// Creates the state of a new leader; the first [`Input::Tick`] yields the first actions.
    #[must_use]
    pub fn new(start: Start, now: Instant) -> Self {
        let config = &start.config;
        let upstreams = config.upstreams.iter().chain(&config.former);
        let servers = upstreams.map(|upstream| {
            let mut server = Server::new(upstream.clone(), now);
            server.is_removed = !config.has_upstream(&upstream.name);
            (upstream.name.clone(), server)
        });
        let shards = start.config.shards.iter().copied();
        Self {
            servers: servers.collect(),
            shards: shards
                .clone()
                .map(|shard| (shard, Ownership::Unknown { last_holder: None }))
                .collect(),
            unknown: shards.clone().collect(),
            changed: shards.collect(),
            id: start.id,
            epoch: start.epoch,
            config: start.config,
            is_recorded: start.is_recorded,
            shard_digest: start.shard_digest,
            phase: Phase::Leading,
            started_at: now,
            predecessor_stopped_at: (start.predecessor != Predecessor::Active).then_some(now),
            confirmed_at: None,
            predecessor_acted: false,
            last_contact: now,
            has_taken_over: start.predecessor != Predecessor::Active,
            predecessor: start.predecessor,
            voters: start.voters,
            free: BTreeSet::new(),
            draining: BTreeSet::new(),
            detached: BTreeSet::new(),
            migrating: BTreeMap::new(),
            loads: BTreeMap::new(),
            rebalance_at: now + balance::REBALANCE_INTERVAL,
            announce_detached_at: now,
            retire_at: now,
            has_accepting_server: false,
            routes: BTreeMap::new(),
            ticket: 0,
            sequence: 0,
            actions: Vec::new(),
        }
    }

    /// Returns the group's id.
    #[must_use]
    pub fn id(&self) -> &GroupId {
        &self.id
    }

    /// Returns the epoch under which this daemon leads.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the shards that the group owns.
    pub fn shards(&self) -> impl Iterator<Item = ShardIndex> {
        self.shards.keys().copied()
    }

    /// Handles an input and returns the actions to take.
    pub fn handle(&mut self, input: Input, now: Instant) -> Vec<Action> {
        if self.phase != Phase::Stopped {
            self.apply(input, now);
        }
        if self.phase != Phase::Stopped {
            self.advance(now);
        }
        mem::take(&mut self.actions)
    }

    /// Returns when the next [`Input::Tick`] is due.
    #[must_use]
    pub fn wake_at(&self, now: Instant) -> Option<Instant> {
        if self.phase == Phase::Stopped {
            return None;
        }
        let server_times = self.servers.values().map(|server| {
            let due_at = server.pending.is_none().then_some(server.due_at);
            let expires_at = server
                .may_hold_shards()
                .then_some(server.expires_at)
                .flatten();
            let gradual_drain_end = server.draining_since.map(|since| since + GRADUAL_DRAIN_MAX);
            [
                due_at,
                expires_at,
                gradual_drain_end,
                server.late_grant_until,
            ]
        });
        let has_unknown = !self.unknown.is_empty();
        let group_times = [
            has_unknown.then(|| self.predecessor_leases_end()).flatten(),
            self.isolated_at(),
            self.predecessor_isolated_at(),
            Some(self.rebalance_at),
            (!self.detached.is_empty()).then_some(self.announce_detached_at),
        ];
        server_times
            .flatten()
            .chain(group_times)
            .flatten()
            .filter(|at| *at > now)
            .min()
    }

    fn apply(&mut self, input: Input, now: Instant) {
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
            Input::PredecessorStopped => {
                self.predecessor_stopped_at.get_or_insert(now);
            }
            Input::Confirmed(at) => self.confirmed_at = self.confirmed_at.max(Some(at)),
            Input::Contact(at) => self.last_contact = self.last_contact.max(at),
            Input::Load(loads) => self.on_load(&loads, now),
            Input::Migrate { shards, to } => self.on_migrate(&shards, &to),
            Input::HandOver => self.on_hand_over(),
            Input::Stop => self.stop(),
        }
    }

    /// Does everything that has become due or possible by `now`.
    fn advance(&mut self, now: Instant) {
        self.presume_predecessor_stopped(now);
        self.expire_grants(now);
        self.establish(now);
        self.free_unknown(now);
        if self.phase == Phase::Leading {
            self.drain_servers(now);
            self.detach_migrating(now);
            self.rebalance(now);
        }
        self.prune(now);
        self.send_orders(now);
        self.update_routes(now);
        self.announce_detached(now);
        self.finish_handover();
    }

    fn on_suspect(&mut self, upstream: &UpstreamName, now: Instant) {
        let min_interval = self.heartbeat() / 4;
        if let Some(server) = self.servers.get_mut(upstream) {
            let earliest = server
                .run
                .as_ref()
                .map_or(now, |run| run.confirmed_at + min_interval);
            server.due_at = server.due_at.min(earliest.max(now));
        }
    }

    /// Stops because a server has seen the higher epoch `by`.
    fn step_down(&mut self, by: Epoch) {
        self.stop();
        self.actions.push(Action::StepDown { by });
    }

    /// Stops leading and routes all shards elsewhere.
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

    /// Returns the interval between two heartbeats.
    fn heartbeat(&self) -> Duration {
        self.config.lease / HEARTBEATS_PER_LEASE
    }
}
