//! One daemon's part in one group: a state machine that fences, grants, renews and releases.
//!
//! `docs/design/ownership.md` argues step by step why no shard has two owners.

use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
    time::Duration,
};

use crate::placement::{Bin, Item, fill};
use copperwell_keyspace::{
    Epoch, GroupId, Incarnation, Sequence, ShardIndex, UpstreamName, grant::Grant,
};
use message::{Action, Answer, Config, Failure, Input, Order, Predecessor, Route, Start, Ticket};
use server::{Pending, Server, lapse_of};
use tokio::time::Instant;

pub mod message;
mod quorum;
mod server;
pub mod summary;

/// Heartbeats within one lease.
const HEARTBEATS: u32 = 3;

/// The most shards in one order.
const ORDER_SHARDS_MAX: usize = 4096;

/// Shards on their way from one upstream to another at a time.
const MOVES_AT_ONCE: usize = 8;

/// From here on a draining upstream's shards are all moved at once.
const DRAIN_PATIENCE: Duration = Duration::from_secs(1);

/// The state of one group at the daemon that leads it.
#[derive(Debug)]
pub struct Group {
    id: GroupId,
    epoch: Epoch,
    config: Config,
    predecessor: Predecessor,
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

/// Where a shard is.
#[derive(Debug, Clone, PartialEq)]
enum Place {
    /// No server that has answered holds it.
    Unknown,
    /// No server holds it.
    Free {
        /// Where a server that is now silent held it: the time after which a quorum has to confirm
        /// that nobody else renews it there.
        since: Option<Instant>,
        /// The upstream that had it last.
        last: Option<UpstreamName>,
    },
    /// A grant is under way or was not answered.
    Giving {
        to: UpstreamName,
        from: Option<UpstreamName>,
    },
    /// A server holds it.
    Owned { by: UpstreamName, stamp: Stamp },
    /// A server holds it and is to let go of it.
    Leaving {
        by: UpstreamName,
        stamp: Stamp,
        ticket: Ticket,
        idle: bool,
    },
}

/// Orders the grants of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Stamp {
    epoch: Epoch,
    sequence: Sequence,
}

impl Group {
    /// Starts to lead; the first actions come with the first [`Input::Tick`].
    #[must_use]
    pub fn new(start: Start, now: Instant) -> Self {
        let servers = start.config.upstreams.iter().map(|upstream| {
            let server = Server::new(upstream.clone(), now);
            (upstream.name.clone(), server)
        });
        let shards = start.config.shards.iter().copied();
        Self {
            servers: servers.collect(),
            shards: shards
                .clone()
                .map(|shard| (shard, Place::Unknown))
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
            free: BTreeSet::new(),
            leaving: BTreeSet::new(),
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
        let orders = self
            .servers
            .values()
            .filter(|server| !server.gone)
            .map(|server| {
                let due = server.pending.is_none().then_some(server.due);
                let lapse = server.holds().then_some(server.lapse).flatten();
                let patience = server.drained.map(|since| since + DRAIN_PATIENCE);
                [due, lapse, patience]
            });
        let unknown = !self.unknown.is_empty();
        let others = [
            unknown.then(|| self.waited_out()).flatten(),
            self.isolated_at(),
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
            Input::Gone(upstream) => {
                if let Some(server) = self.servers.get_mut(&upstream) {
                    server.gone = true;
                }
            }
            Input::Contact(at) => self.contact = self.contact.max(at),
            Input::Load { .. } => {}
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
        }
        self.order(now);
        self.route();
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
        if let Some(Place::Leaving {
            ticket: wanted,
            idle,
            ..
        }) = self.shards.get_mut(&shard)
            && *wanted == ticket
        {
            *idle = true;
        }
    }

    fn on_hand_over(&mut self) {
        self.phase = Phase::HandingOver;
        for (shard, place) in self.shards.clone() {
            let (Place::Owned { by, stamp } | Place::Leaving { by, stamp, .. }) = place else {
                continue;
            };
            self.begin_move(shard, by, stamp);
        }
        self.changed.extend(self.shards.keys());
    }

    fn on_config(&mut self, config: Config, now: Instant) {
        for upstream in &config.upstreams {
            let server = self.servers.get_mut(&upstream.name);
            match server {
                Some(server) => {
                    server.upstream = upstream.clone();
                    server.removed = false;
                }
                None => {
                    let server = Server::new(upstream.clone(), now);
                    self.servers.insert(upstream.name.clone(), server);
                }
            }
        }
        for (name, server) in &mut self.servers {
            server.removed = !config
                .upstreams
                .iter()
                .any(|upstream| upstream.name == *name);
        }
        let wanted: BTreeSet<ShardIndex> = config.shards.iter().copied().collect();
        let held: Vec<ShardIndex> = self.shards.keys().copied().collect();
        for shard in held.iter().filter(|shard| !wanted.contains(shard)) {
            self.forget(*shard);
        }
        for shard in &config.shards {
            if !self.shards.contains_key(shard) {
                let place = Place::Free {
                    since: None,
                    last: None,
                };
                self.put(*shard, place);
            }
        }
        self.config = config;
    }

    fn on_answered(
        &mut self,
        upstream: &UpstreamName,
        ticket: Ticket,
        result: Result<Answer, Failure>,
        now: Instant,
    ) {
        let heartbeat = self.heartbeat();
        let Some(server) = self.servers.get_mut(upstream) else {
            return;
        };
        if server.pending.as_ref().map(|pending| pending.ticket) != Some(ticket) {
            return;
        }
        let Some(pending) = server.pending.take() else {
            return;
        };
        match result {
            Ok(answer) => {
                server.due = now.max(pending.sent + heartbeat);
                self.on_answer(upstream, &pending, answer, now);
            }
            Err(Failure::Refused { epoch, .. }) if epoch > self.epoch => self.step_down(epoch),
            Err(Failure::Refused { incarnation, .. }) => {
                server.lapse = pending.lapse;
                server.due = now;
                if self.on_run(upstream, incarnation)
                    && let Some(run) = self.run_mut(upstream)
                {
                    run.doubtful = true;
                }
            }
            Err(Failure::Unreachable) => {
                server.lapse = pending.lapse;
                server.misses += 1;
                server.due = now + heartbeat / 4;
                self.changed.extend(&server.owned);
            }
            Err(Failure::Silent) => {
                server.misses += 1;
                server.due = now;
                self.changed.extend(&server.owned);
            }
        }
    }

    fn on_answer(
        &mut self,
        upstream: &UpstreamName,
        pending: &Pending,
        answer: Answer,
        now: Instant,
    ) {
        let (Answer::Fenced {
            incarnation,
            draining,
            clock_ms,
            ..
        }
        | Answer::Held {
            incarnation,
            draining,
            clock_ms,
            ..
        }) = answer;
        let is_fence = matches!(answer, Answer::Fenced { .. });
        let is_known = self.on_run(upstream, incarnation);
        let Some(server) = self.servers.get_mut(upstream) else {
            return;
        };
        let is_first = is_fence && server.run.is_none();
        if !is_known && !is_first {
            server.due = now;
            return;
        }
        server.heard(incarnation, clock_ms, pending.sent, now);
        server.draining = draining;
        self.changed.extend(&server.owned);
        match answer {
            Answer::Fenced { grants, .. } => self.on_fenced(upstream, &grants, now),
            Answer::Held { shards, digest, .. } => {
                self.on_held(upstream, pending, now);
                self.compare(upstream, shards, digest);
            }
        }
    }

    /// Notes which run of a server speaks; a later one than before holds nothing.
    ///
    /// False if it is not the run that this leader has fenced.
    fn on_run(&mut self, upstream: &UpstreamName, incarnation: Incarnation) -> bool {
        let Some(server) = self.servers.get_mut(upstream) else {
            return false;
        };
        let Some(run) = &server.run else {
            return false;
        };
        if incarnation == run.incarnation {
            return true;
        }
        if incarnation < run.incarnation {
            server.misses += 1;
            return false;
        }
        server.run = None;
        server.lapse = None;
        server.unwanted.clear();
        let held = server.held_shards();
        for shard in held {
            let place = Place::Free {
                since: None,
                last: Some(upstream.clone()),
            };
            self.put(shard, place);
        }
        false
    }

    /// Sets what a server holds to what it reports.
    fn on_fenced(&mut self, upstream: &UpstreamName, grants: &[Grant], now: Instant) {
        let mut live = BTreeSet::new();
        for grant in grants {
            if grant.service != self.id.service {
                continue;
            }
            if grant.remaining.is_zero() {
                self.remember(upstream, grant.shard);
                continue;
            }
            live.insert(grant.shard);
            if let Some(server) = self.servers.get_mut(upstream) {
                server.may_hold(lapse_of(grant.remaining, now));
            }
            self.on_grant(upstream, grant);
        }
        let Some(server) = self.servers.get_mut(upstream) else {
            return;
        };
        server.unwanted.retain(|shard| live.contains(shard));
        if let Some(run) = &mut server.run {
            run.doubtful = false;
        }
        // Grants that were not renewed while this was asked are renewed next.
        server.due = now.max(server.due);
        let lapsed: Vec<ShardIndex> = server.owned.difference(&live).copied().collect();
        if server.established().is_some() && !live.is_empty() {
            server.due = now;
        }
        for shard in lapsed {
            let place = Place::Free {
                since: None,
                last: Some(upstream.clone()),
            };
            self.put(shard, place);
        }
    }

    /// Takes over what a server reports, unless a later grant of the shard is known.
    fn on_grant(&mut self, upstream: &UpstreamName, grant: &Grant) {
        let stamp = Stamp {
            epoch: grant.epoch,
            sequence: grant.sequence,
        };
        let kept = match self.shards.get(&grant.shard) {
            Some(Place::Unknown | Place::Free { .. }) => true,
            Some(Place::Giving { to, .. }) => to == upstream,
            Some(Place::Owned { by, .. } | Place::Leaving { by, .. }) if by == upstream => return,
            Some(
                Place::Owned { by, stamp: held }
                | Place::Leaving {
                    by, stamp: held, ..
                },
            ) => {
                let other = by.clone();
                let is_later = stamp > *held;
                if is_later && let Some(run) = self.run_mut(&other) {
                    run.doubtful = true;
                }
                is_later
            }
            None => false,
        };
        if kept {
            let place = Place::Owned {
                by: upstream.clone(),
                stamp,
            };
            self.put(grant.shard, place);
        } else if let Some(server) = self.servers.get_mut(upstream) {
            server.unwanted.insert(grant.shard);
        }
    }

    /// Remembers who had a shard last that nobody holds.
    fn remember(&mut self, upstream: &UpstreamName, shard: ShardIndex) {
        if let Some(Place::Free { last, .. }) = self.shards.get_mut(&shard) {
            last.get_or_insert_with(|| upstream.clone());
        }
    }

    /// Notes that a server has taken a grant, a renewal or a release.
    fn on_held(&mut self, upstream: &UpstreamName, pending: &Pending, now: Instant) {
        if let Some(run) = self.run_mut(upstream) {
            run.doubtful = false;
        }
        match &pending.order {
            Order::Fence => {}
            Order::Give {
                sequence, shards, ..
            } => self.on_given(upstream, *sequence, shards, pending.sent, now),
            Order::Renew { .. } => self.prolong(upstream, pending.sent, now),
            Order::Release { shards, .. } => self.on_released(upstream, shards),
        }
    }

    fn on_given(
        &mut self,
        upstream: &UpstreamName,
        sequence: Sequence,
        shards: &[ShardIndex],
        sent: Instant,
        now: Instant,
    ) {
        let stamp = Stamp {
            epoch: self.epoch,
            sequence,
        };
        for shard in shards {
            let Some(Place::Giving { to, from }) = self.shards.get(shard) else {
                continue;
            };
            if to != upstream {
                continue;
            }
            if from.as_ref() != Some(upstream) {
                let moved = Action::Moved {
                    shard: *shard,
                    from: from.clone(),
                    to: upstream.clone(),
                };
                self.actions.push(moved);
            }
            let place = Place::Owned {
                by: upstream.clone(),
                stamp,
            };
            self.put(*shard, place);
        }
        // A grant prolongs nothing but its own shards; they count as renewed with the rest.
        let is_first = self
            .run_mut(upstream)
            .is_some_and(|run| run.lease.is_none());
        if is_first {
            self.prolong(upstream, sent, now);
        }
    }

    fn on_released(&mut self, upstream: &UpstreamName, shards: &[ShardIndex]) {
        for shard in shards {
            if let Some(server) = self.servers.get_mut(upstream) {
                server.unwanted.remove(shard);
            }
            let held = match self.shards.get(shard) {
                Some(Place::Leaving { by, .. }) => by == upstream,
                Some(Place::Giving { to, .. }) => to == upstream,
                _ => false,
            };
            if held {
                let place = Place::Free {
                    since: None,
                    last: Some(upstream.clone()),
                };
                self.put(*shard, place);
            }
        }
    }

    fn prolong(&mut self, upstream: &UpstreamName, sent: Instant, now: Instant) {
        let end = sent + self.config.lease;
        let Some(run) = self.run_mut(upstream) else {
            return;
        };
        let until = run.surely(now, end);
        run.lease = Some(until);
        let incarnation = run.incarnation;
        self.actions.push(Action::Lease {
            upstream: upstream.clone(),
            incarnation,
            until,
        });
    }

    /// Compares what a server says it holds with what this leader thinks.
    fn compare(&mut self, upstream: &UpstreamName, shards: u32, digest: u64) {
        let Some(server) = self.servers.get_mut(upstream) else {
            return;
        };
        let agrees = shards as usize == server.owned.len() && digest == server.digest;
        let is_exact = server.giving.is_empty() && server.unwanted.is_empty();
        if !agrees
            && is_exact
            && let Some(run) = &mut server.run
        {
            run.doubtful = true;
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
            for shard in server.held_shards() {
                let place = Place::Free {
                    since: Some(now),
                    last: Some(name.clone()),
                };
                self.put(shard, place);
            }
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
            .all(|server| server.gone || server.established().is_some());
        let waited_out = self.waited_out().is_some_and(|at| at <= now);
        if !all_known && !waited_out {
            return;
        }
        let is_new = self.predecessor == Predecessor::None;
        let since = (!all_known && !is_new).then_some(now);
        for shard in mem::take(&mut self.unknown) {
            let place = Place::Free { since, last: None };
            self.put(shard, place);
        }
    }

    /// When whatever the predecessor granted has surely lapsed.
    fn waited_out(&self) -> Option<Instant> {
        self.stopped
            .map(|stopped| lapse_of(self.config.lease, stopped))
    }

    /// When a predecessor without the log has stopped, where the service wants that.
    fn note_release(&mut self, now: Instant) {
        if let Some(isolation) = self.config.isolation
            && self.recorded
            && self.stopped.is_none()
            && now >= lapse_of(isolation, self.started)
        {
            self.stopped = Some(now);
        }
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
        for (name, server) in &mut self.servers {
            if !server.is_leaving() {
                server.drained = None;
                continue;
            }
            let since = *server.drained.get_or_insert(now);
            let all = now >= since + DRAIN_PATIENCE;
            let many = if all { usize::MAX } else { MOVES_AT_ONCE };
            let held = server.owned.iter().copied();
            wanted.extend(held.take(many).map(|shard| (shard, name.clone(), all)));
        }
        for (shard, by, all) in wanted {
            if !all && self.leaving.len() >= MOVES_AT_ONCE {
                continue;
            }
            if let Some(Place::Owned { stamp, .. }) = self.shards.get(&shard) {
                let stamp = *stamp;
                self.begin_move(shard, by, stamp);
            }
        }
    }

    fn begin_move(&mut self, shard: ShardIndex, by: UpstreamName, stamp: Stamp) {
        self.ticket += 1;
        let ticket = self.ticket;
        let place = Place::Leaving {
            by,
            stamp,
            ticket,
            idle: false,
        };
        self.put(shard, place);
        // The route is held first, so that the wait misses no request.
        self.set_route(shard, Route::Held);
        self.actions.push(Action::AwaitIdle { shard, ticket });
    }

    /// Gives every server without an order the next one that it needs.
    fn order(&mut self, now: Instant) {
        let gives = self.gives(now);
        let confirm = self.confirm_since();
        let names: Vec<UpstreamName> = self.servers.keys().cloned().collect();
        for name in names {
            let order = self.next_order(&name, gives.get(&name), confirm, now);
            if let Some(order) = order {
                self.send(&name, order, now);
            }
        }
    }

    fn next_order(
        &mut self,
        name: &UpstreamName,
        gives: Option<&Vec<ShardIndex>>,
        confirm: Option<Instant>,
        now: Instant,
    ) -> Option<Order> {
        let is_isolated = self.is_isolated(now);
        let is_settled = self.settled;
        let server = self.servers.get(name)?;
        if server.pending.is_some() || server.gone {
            return None;
        }
        let is_due = server.due <= now;
        let Some(run) = &server.run else {
            return is_due.then_some(Order::Fence);
        };
        let wants_word = server.misses == 0 && confirm.is_some_and(|since| run.confirmed < since);
        let is_due = is_due || wants_word;
        if !run.established || !is_settled || run.doubtful || server.misses > 0 || is_isolated {
            return (is_due || run.doubtful).then_some(Order::Fence);
        }
        if is_due {
            return self.renewal(name, now);
        }
        let mut release: Vec<ShardIndex> = server.unwanted.iter().copied().collect();
        release.extend(self.releases(name));
        release.truncate(ORDER_SHARDS_MAX);
        if !release.is_empty() {
            self.sequence += 1;
            return Some(Order::Release {
                sequence: self.sequence,
                shards: release,
            });
        }
        let mut shards: Vec<ShardIndex> = gives.cloned().unwrap_or_default();
        if shards.is_empty() {
            return None;
        }
        shards.truncate(ORDER_SHARDS_MAX);
        let until_ms = run.server_ms(now + self.config.lease);
        let incarnation = run.incarnation;
        self.sequence += 1;
        Some(Order::Give {
            incarnation,
            sequence: self.sequence,
            lease: self.config.lease,
            until_ms,
            shards,
        })
    }

    fn renewal(&self, name: &UpstreamName, now: Instant) -> Option<Order> {
        let run = self.servers.get(name)?.run.as_ref()?;
        Some(Order::Renew {
            incarnation: run.incarnation,
            lease: self.config.lease,
            until_ms: run.server_ms(now + self.config.lease),
        })
    }

    /// Shards that a server is to let go of now.
    fn releases(&self, name: &UpstreamName) -> Vec<ShardIndex> {
        let Some(server) = self.servers.get(name) else {
            return Vec::new();
        };
        let leaving = server.owned.iter().copied().filter(|shard| {
            let place = self.shards.get(shard);
            self.phase == Phase::Leading && matches!(place, Some(Place::Leaving { idle: true, .. }))
        });
        let doubtful = server.giving.iter().copied();
        let doubtful = doubtful.filter(|_| server.is_leaving());
        leaving.chain(doubtful).collect()
    }

    /// The shards that each server is to get now.
    fn gives(&self, now: Instant) -> BTreeMap<UpstreamName, Vec<ShardIndex>> {
        let mut gives: BTreeMap<UpstreamName, Vec<ShardIndex>> = BTreeMap::new();
        if self.phase != Phase::Leading || !self.settled || self.is_isolated(now) {
            return gives;
        }
        let open = self.servers.iter().filter(|(_, server)| server.is_open());
        for (name, server) in open.clone() {
            if !server.giving.is_empty() {
                gives.insert(name.clone(), server.giving.iter().copied().collect());
            }
        }
        let items: Vec<Item> = self
            .free
            .iter()
            .filter_map(|shard| self.item(*shard))
            .collect();
        if items.is_empty() {
            return gives;
        }
        let bins = open.map(|(name, server)| Bin {
            upstream: name.clone(),
            slots: server.upstream.slots,
            load: (server.owned.len() + server.giving.len()) as f64,
        });
        for target in fill(bins.collect(), items) {
            gives.entry(target.upstream).or_default().push(target.shard);
        }
        gives
    }

    /// A free shard that may be given now.
    fn item(&self, shard: ShardIndex) -> Option<Item> {
        let Some(Place::Free { since, last }) = self.shards.get(&shard) else {
            return None;
        };
        if since.is_some_and(|since| !self.is_confirmed(since)) {
            return None;
        }
        Some(Item {
            shard,
            load: 1.0,
            last: last.clone(),
        })
    }

    fn send(&mut self, name: &UpstreamName, order: Order, now: Instant) {
        if let Order::Give { shards, .. } = &order {
            for shard in shards {
                self.mark_giving(*shard, name);
            }
        }
        let timeout = self.heartbeat();
        let end = now + self.config.lease;
        self.ticket += 1;
        let ticket = self.ticket;
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        let lapse = server.lapse;
        let prolongs = matches!(order, Order::Give { .. } | Order::Renew { .. });
        if prolongs && let Some(run) = &server.run {
            let end = run.latest(end);
            server.may_hold(end);
        }
        server.pending = Some(Pending {
            ticket,
            sent: now,
            order: order.clone(),
            lapse,
        });
        self.actions.push(Action::Order {
            upstream: server.upstream.clone(),
            ticket,
            order,
            timeout,
        });
    }

    fn mark_giving(&mut self, shard: ShardIndex, to: &UpstreamName) {
        if let Some(Place::Free { last, .. }) = self.shards.get(&shard) {
            let place = Place::Giving {
                to: to.clone(),
                from: last.clone(),
            };
            self.put(shard, place);
        }
    }

    /// Sets the routes that have changed.
    fn route(&mut self) {
        let any_open = self.servers.values().any(Server::is_open);
        for shard in mem::take(&mut self.changed) {
            let route = self.route_of(shard, any_open);
            self.set_route(shard, route);
        }
    }

    fn route_of(&self, shard: ShardIndex, any_open: bool) -> Route {
        match self.shards.get(&shard) {
            None => Route::Elsewhere,
            Some(_) if self.phase == Phase::HandingOver => Route::Held,
            Some(Place::Unknown) if self.settled => Route::Unowned,
            Some(Place::Free { .. }) if !any_open => Route::Unowned,
            Some(Place::Owned { by, .. }) => self.owner_route(by),
            Some(_) => Route::Held,
        }
    }

    fn owner_route(&self, by: &UpstreamName) -> Route {
        let server = self.servers.get(by).filter(|server| !server.is_lost());
        let run = server.and_then(Server::established);
        match run.filter(|run| run.lease.is_some()) {
            Some(run) => Route::Owned {
                upstream: by.clone(),
                incarnation: run.incarnation,
            },
            None => Route::Held,
        }
    }

    fn set_route(&mut self, shard: ShardIndex, route: Route) {
        if self.routes.get(&shard) != Some(&route) {
            self.actions.push(Action::Route {
                shard,
                route: route.clone(),
            });
            self.routes.insert(shard, route);
        }
    }

    /// Ends a hand-over when nothing is in flight.
    fn finish(&mut self) {
        if self.phase != Phase::HandingOver {
            return;
        }
        let is_idle = |shard: &ShardIndex| {
            let place = self.shards.get(shard);
            matches!(place, Some(Place::Leaving { idle: true, .. }))
        };
        if self.leaving.iter().all(is_idle) {
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

    /// Drops a shard that another group owns from here on.
    fn forget(&mut self, shard: ShardIndex) {
        let Some(place) = self.shards.get(&shard).cloned() else {
            return;
        };
        self.unlink(shard, &place);
        self.shards.remove(&shard);
        self.changed.insert(shard);
        if let Place::Owned { by, .. } | Place::Leaving { by, .. } | Place::Giving { to: by, .. } =
            place
            && let Some(server) = self.servers.get_mut(&by)
        {
            server.unwanted.insert(shard);
        }
    }

    fn put(&mut self, shard: ShardIndex, place: Place) {
        if let Some(old) = self.shards.get(&shard).cloned() {
            self.unlink(shard, &old);
        }
        match &place {
            Place::Unknown => {
                self.unknown.insert(shard);
            }
            Place::Free { .. } => {
                self.free.insert(shard);
            }
            Place::Giving { to, .. } => {
                if let Some(server) = self.servers.get_mut(to) {
                    server.giving.insert(shard);
                }
            }
            Place::Owned { by, .. } | Place::Leaving { by, .. } => {
                let digest = (self.digest)(shard);
                if let Some(server) = self.servers.get_mut(by)
                    && server.owned.insert(shard)
                {
                    server.digest ^= digest;
                }
            }
        }
        if matches!(place, Place::Leaving { .. }) {
            self.leaving.insert(shard);
        }
        self.shards.insert(shard, place);
        self.changed.insert(shard);
    }

    fn unlink(&mut self, shard: ShardIndex, place: &Place) {
        self.free.remove(&shard);
        self.unknown.remove(&shard);
        self.leaving.remove(&shard);
        match place {
            Place::Unknown | Place::Free { .. } => {}
            Place::Giving { to, .. } => {
                if let Some(server) = self.servers.get_mut(to) {
                    server.giving.remove(&shard);
                }
            }
            Place::Owned { by, .. } | Place::Leaving { by, .. } => {
                let digest = (self.digest)(shard);
                if let Some(server) = self.servers.get_mut(by)
                    && server.owned.remove(&shard)
                {
                    server.digest ^= digest;
                }
            }
        }
    }

    fn run_mut(&mut self, upstream: &UpstreamName) -> Option<&mut server::Run> {
        self.servers.get_mut(upstream)?.run.as_mut()
    }

    fn heartbeat(&self) -> Duration {
        self.config.lease / HEARTBEATS
    }
}
