//! One daemon's part in one group: a state machine that fences, grants, renews and releases.
//!
//! `docs/design/ownership.md` argues step by step why no shard has two owners.

use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
    time::Duration,
};

use balance::Decayed;
use copperwell_keyspace::{Epoch, GroupId, Sequence, ShardIndex, UpstreamName, manifest::Upstream};
use message::{Action, Config, Input, Predecessor, Route, Start, Ticket, Voters};
use place::{Free, Goal, Leaving, Place};
use server::{Run, Server, lapse_of};
use tokio::time::Instant;

mod answer;
mod balance;
pub mod message;
mod order;
mod place;
mod quorum;
mod route;
mod server;
pub mod summary;

/// Heartbeats within one lease.
const HEARTBEATS: u32 = 3;

/// Shards on their way from one upstream to another at a time.
const MOVES_AT_ONCE: usize = 8;

/// Shards that wait for the log to give them to another group at a time.
const AWAY_MAX: usize = 64;

/// Shards that are ready within this time of one another are told together.
const AWAY_PAUSE: Duration = Duration::from_millis(100);

/// How often is told what the log still does not have.
const REPEAT: Duration = Duration::from_secs(3);

/// From here on a draining upstream's shards are all moved at once.
const DRAIN_PATIENCE: Duration = Duration::from_secs(1);

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

    fn on_idle(&mut self, shard: ShardIndex, ticket: Ticket) {
        if let Some(Place::Leaving(leaving)) = self.shards.get_mut(&shard)
            && leaving.ticket == ticket
        {
            leaving.idle = true;
        }
    }

    fn on_hand_over(&mut self) {
        self.phase = Phase::HandingOver;
        let shards: Vec<ShardIndex> = self.shards.keys().copied().collect();
        for shard in shards {
            self.begin_move(shard, Goal::Stay);
        }
        self.changed.extend(self.shards.keys());
    }

    fn on_give_away(&mut self, shards: &[ShardIndex], to: &GroupId) {
        for shard in shards
            .iter()
            .filter(|shard| self.shards.contains_key(shard))
        {
            self.departing.insert(*shard, to.clone());
        }
    }

    /// Frees the shards that another group is to own, and sets them aside.
    fn depart(&mut self, now: Instant) {
        for (shard, to) in self.departing.clone() {
            let has_room = self.leaving.len() < MOVES_AT_ONCE && self.away.len() < AWAY_MAX;
            match self.shards.get(&shard) {
                Some(Place::Owned { .. }) if has_room => {
                    self.begin_move(shard, Goal::Anywhere);
                }
                Some(Place::Free(free)) if self.is_ready(free, now) => {
                    let soon = now + AWAY_PAUSE;
                    let is_first = self.away.is_empty();
                    self.away_at = if is_first {
                        soon
                    } else {
                        soon.min(self.away_at)
                    };
                    self.put(shard, Place::Away { to });
                }
                _ => {}
            }
        }
    }

    fn on_config(&mut self, config: Config, now: Instant) {
        for upstream in config.upstreams.iter().chain(&config.former) {
            self.on_upstream(upstream, now);
        }
        for (name, server) in &mut self.servers {
            server.removed = !config.has(name);
            self.changed.extend(&server.owned);
        }
        let wanted: BTreeSet<ShardIndex> = config.shards.iter().copied().collect();
        let held: Vec<ShardIndex> = self.shards.keys().copied().collect();
        for shard in held.iter().filter(|shard| !wanted.contains(shard)) {
            self.forget(*shard);
        }
        for shard in &config.shards {
            if !self.shards.contains_key(shard) {
                self.put(*shard, Place::Free(Free::default()));
            }
        }
        self.config = config;
    }

    fn on_upstream(&mut self, upstream: &Upstream, now: Instant) {
        if let Some(server) = self.servers.get_mut(&upstream.name) {
            if server.upstream.address == upstream.address {
                server.upstream = upstream.clone();
                return;
            }
            self.set_aside(&upstream.name);
        }
        let server = Server::new(upstream.clone(), now);
        self.servers.insert(upstream.name.clone(), server);
    }

    /// Keeps the server at an upstream's old address under another name until it holds nothing.
    fn set_aside(&mut self, name: &UpstreamName) {
        let Some(mut server) = self.servers.remove(name) else {
            return;
        };
        let aside: UpstreamName = format!("{name} at {}", server.upstream.address).into();
        server.upstream.name = aside.clone();
        server.removed = true;
        if server.pending.take().is_some() {
            server.misses += 1;
        }
        for shard in server.held_shards() {
            self.changed.insert(shard);
            match self.shards.get_mut(&shard) {
                Some(Place::Owned { by, .. } | Place::Giving { to: by, .. }) => *by = aside.clone(),
                Some(Place::Leaving(leaving)) => leaving.by = aside.clone(),
                _ => {}
            }
        }
        self.servers.insert(aside, server);
    }

    /// Tells of removed servers that hold nothing, and forgets those that the log has dropped.
    fn prune(&mut self, now: Instant) {
        let waited_out = self.waited_out().is_some_and(|at| at <= now);
        for server in self.servers.values_mut() {
            let is_known = server.established().is_some() || waited_out;
            let is_empty = is_known && self.unknown.is_empty() && server.is_empty(now);
            server.emptied = is_empty.then(|| server.emptied.unwrap_or(now));
        }
        let former = &self.config.former;
        let is_former = |name: &UpstreamName| former.iter().any(|upstream| upstream.name == *name);
        self.servers
            .retain(|name, server| server.emptied.is_none() || is_former(name));
        let empty = self.servers.iter().filter(|(_, server)| {
            let since = server.emptied;
            since.is_some_and(|since| self.is_confirmed(since))
        });
        let empty: Vec<UpstreamName> = empty.map(|(name, _)| name.clone()).collect();
        if !empty.is_empty() && now >= self.retire_at {
            self.retire_at = now + REPEAT;
            self.actions.push(Action::Retire(empty));
        }
    }

    /// Frees the shards of servers whose grants have surely lapsed.
    fn lapse(&mut self, now: Instant) {
        let names: Vec<UpstreamName> = self.servers.keys().cloned().collect();
        for name in names {
            let Some(server) = self.servers.get_mut(&name) else {
                continue;
            };
            if server.lapse.is_none_or(|lapse| lapse > now) {
                continue;
            }
            server.lapse = None;
            if let Some(run) = &mut server.run {
                run.lease = None;
            }
            self.drop_all(&name, None, now);
        }
    }

    /// Frees the shards that nobody has reported, as soon as nobody can hold them.
    fn resolve(&mut self, now: Instant) {
        if self.unknown.is_empty() || !self.settled {
            return;
        }
        let all_known = self
            .servers
            .values()
            .all(|server| server.established().is_some());
        let waited_out = self.waited_out().is_some_and(|at| at <= now);
        if !all_known && !waited_out {
            return;
        }
        let is_new = self.predecessor == Predecessor::None;
        let since = (!all_known && !is_new).then_some(now);
        for shard in mem::take(&mut self.unknown) {
            let last = match self.shards.get(&shard) {
                Some(Place::Unknown { last }) => last.clone(),
                _ => None,
            };
            let next = last.clone();
            let free = Free {
                since,
                unsure: None,
                last,
                next,
                patience: None,
            };
            self.put(shard, Place::Free(free));
        }
    }

    /// When whatever the predecessor granted has surely lapsed.
    fn waited_out(&self) -> Option<Instant> {
        self.stopped
            .map(|stopped| lapse_of(self.config.lease_max, stopped))
    }

    /// When a predecessor without the log has stopped, where the service wants that.
    fn note_release(&mut self, now: Instant) {
        if self.released_at().is_some_and(|at| at <= now) {
            self.stopped = Some(now);
        }
    }

    fn released_at(&self) -> Option<Instant> {
        let waits = self.recorded && self.stopped.is_none();
        let isolation = self.config.isolation.filter(|_| waits)?;
        Some(lapse_of(isolation, self.started))
    }

    /// When this leader itself stops to renew for want of the log.
    fn isolated_at(&self) -> Option<Instant> {
        self.config
            .isolation
            .map(|isolation| self.contact + isolation)
    }

    fn is_isolated(&self, now: Instant) -> bool {
        self.isolated_at().is_some_and(|at| at <= now)
    }

    /// Begins to move the shards of upstreams that leave.
    fn drain(&mut self, now: Instant) {
        let mut wanted = Vec::new();
        for server in self.servers.values_mut() {
            if !server.is_leaving() {
                server.drained = None;
                continue;
            }
            let since = *server.drained.get_or_insert(now);
            let all = now >= since + DRAIN_PATIENCE;
            let many = if all { usize::MAX } else { MOVES_AT_ONCE };
            let held = server.owned.iter().copied();
            wanted.extend(held.take(many).map(|shard| (shard, all)));
        }
        for (shard, all) in wanted {
            let is_owned = matches!(self.shards.get(&shard), Some(Place::Owned { .. }));
            if is_owned && (all || self.leaving.len() < MOVES_AT_ONCE) {
                self.begin_move(shard, Goal::Anywhere);
            }
        }
    }

    /// Holds a shard's requests until those in flight have ended.
    fn begin_move(&mut self, shard: ShardIndex, goal: Goal) {
        let Some(Place::Owned { by, stamp } | Place::Leaving(Leaving { by, stamp, .. })) =
            self.shards.get(&shard)
        else {
            return;
        };
        let (by, stamp) = (by.clone(), *stamp);
        self.ticket += 1;
        let ticket = self.ticket;
        let leaving = Leaving {
            by,
            stamp,
            ticket,
            idle: false,
            goal,
        };
        self.put(shard, Place::Leaving(leaving));
        // The route is held first, so that the wait misses no request.
        self.set_route(shard, Route::Held);
        self.actions.push(Action::AwaitIdle { shard, ticket });
    }

    /// Tells which shards are ready for another group.
    fn tell_away(&mut self, now: Instant) {
        if self.away.is_empty() || now < self.away_at {
            return;
        }
        self.away_at = now + REPEAT;
        let mut away: BTreeMap<GroupId, Vec<ShardIndex>> = BTreeMap::new();
        for shard in &self.away {
            if let Some(Place::Away { to }) = self.shards.get(shard) {
                away.entry(to.clone()).or_default().push(*shard);
            }
        }
        for (to, shards) in away {
            self.actions.push(Action::LetGo { shards, to });
        }
    }

    /// Ends a hand-over when nothing is in flight.
    fn finish(&mut self) {
        if self.phase != Phase::HandingOver {
            return;
        }
        let is_busy = |shard: &ShardIndex| {
            let place = self.shards.get(shard);
            matches!(place, Some(Place::Leaving(leaving)) if !leaving.idle)
        };
        if !self.leaving.iter().any(is_busy) {
            self.stop();
            self.actions.push(Action::HandedOver);
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
