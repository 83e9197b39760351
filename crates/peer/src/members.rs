//! Who is alive, as this daemon sees it.
//!
//! [`Suspicion`] decides; this module probes, answers probes and publishes what follows.

use std::{
    collections::hash_map::RandomState,
    hash::BuildHasher,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use crate::control::{Client, Pong, Position, Probe, Rumour};
use copperwell_keyspace::{DaemonName, HashMap, HashSet, Member};
use copperwell_policy::suspicion::{MEMBERS_MAX, Subject, Suspicion, Target};
use futures::{StreamExt, future::join_all, stream::FuturesUnordered};
use tokio::{
    sync::{broadcast, watch},
    time::{Instant, MissedTickBehavior, interval},
};
use tokio_util::sync::CancellationToken;

pub use copperwell_policy::suspicion::{Change as Event, Liveness, Vm};
pub use guard::Guard;
pub use roster::{Roster, Seen};

mod guard;
mod roster;

/// Time between two rounds of probes.
pub const ROUND: Duration = Duration::from_millis(250);

/// Time that a direct probe may take.
const DIRECT: Duration = Duration::from_millis(200);

/// Time that a second try and helpers' probes may take.
const INDIRECT: Duration = Duration::from_millis(300);

/// Delay of this process beyond which an unanswered probe says nothing about others.
const SLACK: Duration = Duration::from_millis(250);

/// Probes under way at a time.
const PROBES_MAX: usize = 64;

/// Time without a change after which different members are compared in full.
const SETTLED: Duration = Duration::from_secs(5);

/// Time between two full comparisons.
const COMPARE: Duration = Duration::from_secs(30);

/// Events kept for a slow reader.
const EVENTS_MAX: usize = 1024;

/// Finds out who is alive.
#[derive(Debug)]
pub struct Members {
    client: Client,
    state: Mutex<State>,
    roster: watch::Sender<Arc<Roster>>,
    events: broadcast::Sender<Event>,
}

#[derive(Debug)]
struct State {
    suspicion: Suspicion,
    position: Position,
    positions: HashMap<DaemonName, Position>,
    log_seen: Option<Instant>,
    probing: HashSet<Target>,
    compared: Option<Instant>,
    /// The revision that was published, and when it was first seen.
    published: u64,
    changed: Instant,
    /// Whether positions changed since the roster was published.
    moved: bool,
}

impl Members {
    /// Starts out with this daemon and the control addresses of some others.
    #[must_use]
    pub fn new(me: Member, seeds: Vec<SocketAddr>, client: Client) -> Arc<Self> {
        let random_seed = RandomState::new().hash_one(&me.name);
        let state = State {
            suspicion: Suspicion::new(me, seeds, random_seed),
            position: Position::default(),
            positions: HashMap::default(),
            log_seen: None,
            probing: HashSet::default(),
            compared: None,
            published: 0,
            changed: Instant::now(),
            moved: false,
        };
        let roster = Arc::new(state.roster());
        Arc::new(Self {
            client,
            state: Mutex::new(state),
            roster: watch::Sender::new(roster),
            events: broadcast::Sender::new(EVENTS_MAX),
        })
    }

    /// Probes until `shutdown`.
    pub async fn run(&self, shutdown: CancellationToken) {
        let rounds = async {
            let mut probes = FuturesUnordered::new();
            let mut ticks = interval(ROUND);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                tokio::select! {
                    _ = ticks.tick() => {
                        let targets = self.begin_round();
                        probes.extend(targets.into_iter().map(|target| self.probe(target)));
                    }
                    Some(()) = probes.next() => {}
                }
            }
        };
        shutdown.run_until_cancelled(rounds).await;
    }

    /// The members, and changes of them.
    #[must_use]
    pub fn roster(&self) -> watch::Receiver<Arc<Roster>> {
        self.roster.subscribe()
    }

    /// Changes in who is alive, from here on.
    #[must_use]
    pub fn events(&self) -> broadcast::Receiver<Event> {
        self.events.subscribe()
    }

    /// Probes these members in each round.
    pub fn watch_closely(&self, names: HashSet<DaemonName>) {
        self.state().suspicion.set_partners(names);
    }

    /// Takes in the platform's list.
    pub fn update_vms(&self, vms: Vec<Vm>) {
        let mut state = self.state();
        let events = state.suspicion.list(Instant::now(), vms);
        self.publish(&mut state, events);
    }

    /// Says from here on that this daemon wants to leave.
    pub fn leave(&self) {
        let mut state = self.state();
        state.suspicion.leave();
        self.publish(&mut state, Vec::new());
    }

    /// Says how far this daemon has read the log.
    ///
    /// [`Position::sees_log`] counts until it is taken back.
    pub fn set_position(&self, position: Position) {
        let mut state = self.state();
        if position.sees_log || state.position.sees_log {
            state.log_seen = Some(Instant::now());
        }
        state.moved |= state.position != position;
        state.position = position;
    }

    /// When this daemon, or anybody from whom it heard since, last saw the log.
    #[must_use]
    pub fn log_seen(&self) -> Option<Instant> {
        self.state().log_seen(Instant::now())
    }

    /// Answers another daemon's probe.
    #[must_use]
    pub fn answer(&self, probe: Probe) -> Pong {
        let now = Instant::now();
        let mut state = self.state();
        let from = probe.own.member.name.clone();
        let spoke = state.suspicion.spoke(now, probe.own);
        let events = state.take(now, spoke, from.clone(), probe.position, probe.gossip);
        self.publish(&mut state, events);
        let gossip = if probe.all {
            state.suspicion.all()
        } else {
            state.suspicion.rumours(Some(&from))
        };
        Pong {
            own: state.suspicion.me(),
            position: state.position,
            log_age: state.log_seen(now).map(|seen| now - seen),
            digest: state.suspicion.digest(),
            gossip,
        }
    }

    /// Probes a daemon for another one; `None` if it does not answer.
    pub async fn probe_through(&self, target: SocketAddr) -> Option<Pong> {
        self.exchange(target, None, DIRECT).await
    }

    /// Lets time pass, and says whom to probe.
    fn begin_round(&self) -> Vec<Target> {
        let now = Instant::now();
        let mut state = self.state();
        let events = state.suspicion.tick(now);
        let targets = state.suspicion.plan(now);
        let room = PROBES_MAX.saturating_sub(state.probing.len());
        let targets = targets.into_iter();
        let targets = targets.filter(|target| state.probing.insert(target.clone()));
        let targets = targets.take(room).collect();
        self.publish(&mut state, events);
        if state.moved {
            self.publish_roster(&mut state);
        }
        targets
    }

    async fn probe(&self, target: Target) {
        let begun = Instant::now();
        let name = target.subject.as_ref().map(|subject| &subject.name);
        let mut answer = self.exchange(target.control, name, DIRECT).await;
        if let (None, Some(subject)) = (&answer, &target.subject) {
            answer = self.insist(target.control, subject).await;
        }
        let late = begun.elapsed() > DIRECT + INDIRECT + SLACK;
        let mut state = self.state();
        state.probing.remove(&target);
        let answered = answer.map(|pong| pong.own.member.name);
        if let Some(subject) = target.subject
            && answered.as_ref() != Some(&subject.name)
            && !late
        {
            let events = state.suspicion.failed(Instant::now(), begun, &subject);
            self.publish(&mut state, events);
        }
    }

    /// Probes a silent member over a fresh connection and through helpers.
    async fn insist(&self, control: SocketAddr, subject: &Subject) -> Option<Pong> {
        let helpers = self.state().suspicion.helpers(subject);
        let through = helpers.into_iter().map(|helper| async move {
            let answer = self.client.probe_through(helper, control, INDIRECT).await;
            answer.ok().flatten()
        });
        let begun = Instant::now();
        let direct = self.exchange(control, Some(&subject.name), INDIRECT);
        let (direct, through) = tokio::join!(direct, join_all(through));
        let through = through.into_iter().flatten().next();
        if let (None, Some(pong)) = (&direct, &through) {
            self.take(begun, pong.clone());
        }
        direct.or(through)
    }

    /// Probes once and takes the answer in.
    async fn exchange(
        &self,
        control: SocketAddr,
        name: Option<&DaemonName>,
        timeout: Duration,
    ) -> Option<Pong> {
        let begun = Instant::now();
        let probe = self.state().probe(name, false);
        let pong = self.client.probe(control, probe, timeout).await.ok()?;
        self.take(begun, pong.clone());
        if self.state().starts_comparing(Instant::now(), pong.digest) {
            let begun = Instant::now();
            let probe = self.state().probe(name, true);
            match self.client.probe(control, probe, INDIRECT).await {
                Ok(all) => self.take(begun, all),
                Err(_) => self.state().compared = None,
            }
        }
        Some(pong)
    }

    fn take(&self, begun: Instant, pong: Pong) {
        let mut state = self.state();
        if let Some(age) = pong.log_age
            && let Some(seen) = begun.checked_sub(age)
        {
            state.log_seen = state.log_seen.max(Some(seen));
        }
        let now = Instant::now();
        let name = pong.own.member.name.clone();
        let heard = state.suspicion.heard(now, pong.own);
        let events = state.take(now, heard, name, pong.position, pong.gossip);
        self.publish(&mut state, events);
    }

    /// Publishes what changed. Positions alone wait for the next round.
    fn publish(&self, state: &mut State, events: Vec<Event>) {
        let revision = state.suspicion.revision();
        if revision != state.published {
            state.published = revision;
            state.changed = Instant::now();
            self.publish_roster(state);
        }
        for event in events {
            // Nobody needs to listen.
            let _ = self.events.send(event);
        }
    }

    fn publish_roster(&self, state: &mut State) {
        state.moved = false;
        let roster = state.roster();
        state
            .positions
            .retain(|name, _| roster.members.contains_key(name));
        self.roster.send_replace(Arc::new(roster));
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn probe(&mut self, to: Option<&DaemonName>, all: bool) -> Probe {
        Probe {
            own: self.suspicion.me(),
            position: self.position,
            gossip: self.suspicion.rumours(to),
            all,
        }
    }

    /// Takes in what a daemon says of others, after `events` came of what it says of itself.
    fn take(
        &mut self,
        now: Instant,
        mut events: Vec<Event>,
        name: DaemonName,
        position: Position,
        gossip: Vec<Rumour>,
    ) -> Vec<Event> {
        for rumour in gossip.into_iter().take(MEMBERS_MAX) {
            events.extend(self.suspicion.hear(now, rumour));
        }
        if self.positions.len() < MEMBERS_MAX || self.positions.contains_key(&name) {
            let before = self.positions.insert(name, position);
            self.moved |= before != Some(position);
        }
        events
    }

    fn log_seen(&self, now: Instant) -> Option<Instant> {
        if self.position.sees_log {
            return Some(now);
        }
        self.log_seen
    }

    /// Whether to ask for all members now: at first, and later if a difference stays.
    fn starts_comparing(&mut self, now: Instant, digest: u64) -> bool {
        let due = match self.compared {
            None => true,
            Some(compared) => {
                now >= compared + COMPARE
                    && now >= self.changed + SETTLED
                    && digest != self.suspicion.digest()
            }
        };
        if due {
            self.compared = Some(now);
        }
        due
    }

    fn roster(&self) -> Roster {
        let me = self.suspicion.me().member.name;
        let seen = self.suspicion.reports().map(|report| {
            let name = report.member.name.clone();
            let position = if name == me {
                self.position
            } else {
                self.positions.get(&name).copied().unwrap_or_default()
            };
            let seen = Seen {
                member: report.member,
                liveness: report.liveness,
                leaving: report.leaving,
                position,
            };
            (name, seen)
        });
        Roster {
            members: seen.collect(),
        }
    }
}
