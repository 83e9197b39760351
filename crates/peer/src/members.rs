//! Membership: which daemons are live, as far as this daemon knows.
//!
//! The [`FailureDetector`] decides; this module sends and answers its probes, and publishes the
//! resulting changes.

use std::{
    collections::hash_map::RandomState,
    hash::BuildHasher,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use crate::control::{Client, Pong, Position, Probe, Rumour};
use copperwell_keyspace::{DaemonName, HashMap, HashSet, Member};
use copperwell_policy::suspicion::{FailureDetector, MEMBERS_MAX, Subject, Target};
use futures::{StreamExt, future::join_all, stream::FuturesUnordered};
use tokio::{
    sync::{broadcast, watch},
    time::{Instant, MissedTickBehavior, interval},
};
use tokio_util::sync::CancellationToken;

pub use copperwell_policy::suspicion::{Change as Event, Liveness, Vm};
pub use member_relay::MemberRelay;
pub use roster::{MemberStatus, Roster};

mod member_relay;
mod roster;

/// Interval between two rounds of probes.
pub const ROUND: Duration = Duration::from_millis(250);

/// Timeout of a direct probe.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Timeout of the second attempt and of the indirect probes through helpers.
const INDIRECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Delay of this process beyond which an unanswered probe is no evidence against the member.
const LOCAL_DELAY_MAX: Duration = Duration::from_millis(250);

/// Maximum number of probes in flight.
const PROBES_MAX: usize = 64;

/// Time without a change of membership after which differing digests cause a full synchronization.
const STABLE_TIME: Duration = Duration::from_secs(5);

/// Minimum interval between two full synchronizations.
const FULL_SYNC_INTERVAL: Duration = Duration::from_secs(30);

/// Maximum number of events buffered for a slow receiver.
const EVENTS_MAX: usize = 1024;

/// Tracks which daemons are live by probes and gossip.
#[derive(Debug)]
pub struct Members {
    client: Client,
    state: Mutex<State>,
    roster: watch::Sender<Arc<Roster>>,
    events: broadcast::Sender<Event>,
}

#[derive(Debug)]
struct State {
    detector: FailureDetector,
    position: Position,
    positions: HashMap<DaemonName, Position>,
    /// When a daemon last had access to the log, as far as this daemon knows.
    log_last_seen: Option<Instant>,
    probing: HashSet<Target>,
    last_full_sync: Option<Instant>,
    /// The published revision of the membership.
    published_revision: u64,
    /// When that revision was published.
    published_at: Instant,
    /// Whether positions have changed since the roster was published.
    has_new_positions: bool,
}

impl Members {
    /// Creates the membership of daemon `me`, which discovers others from the control addresses
    /// `seeds`.
    #[must_use]
    pub fn new(me: Member, seeds: Vec<SocketAddr>, client: Client) -> Arc<Self> {
        let random_seed = RandomState::new().hash_one(&me.name);
        let state = State {
            detector: FailureDetector::new(me, seeds, random_seed),
            position: Position::default(),
            positions: HashMap::default(),
            log_last_seen: None,
            probing: HashSet::default(),
            last_full_sync: None,
            published_revision: 0,
            published_at: Instant::now(),
            has_new_positions: false,
        };
        let roster = Arc::new(state.roster());
        Arc::new(Self {
            client,
            state: Mutex::new(state),
            roster: watch::Sender::new(roster),
            events: broadcast::Sender::new(EVENTS_MAX),
        })
    }

    /// Probes other members until `shutdown`.
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

    /// Returns a receiver of the current members.
    #[must_use]
    pub fn roster(&self) -> watch::Receiver<Arc<Roster>> {
        self.roster.subscribe()
    }

    /// Returns a receiver of future changes of liveness.
    #[must_use]
    pub fn events(&self) -> broadcast::Receiver<Event> {
        self.events.subscribe()
    }

    /// Sets the members that are probed in every round.
    pub fn set_partners(&self, names: HashSet<DaemonName>) {
        self.state().detector.set_partners(names);
    }

    /// Replaces the platform's list of VMs.
    pub fn update_vms(&self, vms: Vec<Vm>) {
        let mut state = self.state();
        let events = state.detector.update_vms(Instant::now(), vms);
        self.publish(&mut state, events);
    }

    /// Announces from now on that this daemon is leaving.
    pub fn leave(&self) {
        let mut state = self.state();
        state.detector.leave();
        self.publish(&mut state, Vec::new());
    }

    /// Sets this daemon's position in the log.
    ///
    /// While [`Position::sees_log`] is set, the log counts as seen at the present time.
    pub fn set_position(&self, position: Position) {
        let mut state = self.state();
        if position.sees_log || state.position.sees_log {
            state.log_last_seen = Some(Instant::now());
        }
        state.has_new_positions |= state.position != position;
        state.position = position;
    }

    /// Returns when this daemon, or a member that it heard from, last had access to the log.
    #[must_use]
    pub fn log_last_seen(&self) -> Option<Instant> {
        self.state().log_seen(Instant::now())
    }

    /// Responds to a probe of another daemon.
    #[must_use]
    pub fn handle_probe(&self, probe: Probe) -> Pong {
        let now = Instant::now();
        let mut state = self.state();
        let from = probe.own.member.name.clone();
        let own_events = state.detector.record_message(now, probe.own);
        let events = state.apply(now, own_events, from.clone(), probe.position, probe.gossip);
        self.publish(&mut state, events);
        let gossip = if probe.all {
            state.detector.all_rumours()
        } else {
            state.detector.rumours(Some(&from))
        };
        Pong {
            own: state.detector.me(),
            position: state.position,
            log_age: state.log_seen(now).map(|seen| now - seen),
            digest: state.detector.digest(),
            gossip,
        }
    }

    /// Probes `target` on behalf of another daemon; `None` if it does not respond.
    pub async fn probe_through(&self, target: SocketAddr) -> Option<Pong> {
        self.probe_once(target, None, DIRECT_TIMEOUT).await
    }

    /// Advances the failure detector and returns the targets of the next probes.
    fn begin_round(&self) -> Vec<Target> {
        let now = Instant::now();
        let mut state = self.state();
        let events = state.detector.tick(now);
        let targets = state.detector.plan(now);
        let available = PROBES_MAX.saturating_sub(state.probing.len());
        let targets = targets.into_iter();
        let targets = targets.filter(|target| state.probing.insert(target.clone()));
        let targets = targets.take(available).collect();
        self.publish(&mut state, events);
        if state.has_new_positions {
            self.publish_roster(&mut state);
        }
        targets
    }

    async fn probe(&self, target: Target) {
        let started_at = Instant::now();
        let name = target.subject.as_ref().map(|subject| &subject.name);
        let mut response = self.probe_once(target.control, name, DIRECT_TIMEOUT).await;
        if let (None, Some(subject)) = (&response, &target.subject) {
            response = self.retry_probe(target.control, subject).await;
        }
        let is_late = started_at.elapsed() > DIRECT_TIMEOUT + INDIRECT_TIMEOUT + LOCAL_DELAY_MAX;
        let mut state = self.state();
        state.probing.remove(&target);
        let responder = response.map(|pong| pong.own.member.name);
        if let Some(subject) = target.subject
            && responder.as_ref() != Some(&subject.name)
            && !is_late
        {
            let events = state
                .detector
                .record_failed_probe(Instant::now(), started_at, &subject);
            self.publish(&mut state, events);
        }
    }

    /// Probes an unresponsive member again, over a fresh connection and through helpers.
    async fn retry_probe(&self, control: SocketAddr, subject: &Subject) -> Option<Pong> {
        let helpers = self.state().detector.helpers(subject);
        let indirect = helpers.into_iter().map(|helper| async move {
            let pong = self
                .client
                .probe_through(helper, control, INDIRECT_TIMEOUT)
                .await;
            pong.ok().flatten()
        });
        let started_at = Instant::now();
        let direct = self.probe_once(control, Some(&subject.name), INDIRECT_TIMEOUT);
        let (direct, indirect) = tokio::join!(direct, join_all(indirect));
        let indirect = indirect.into_iter().flatten().next();
        if let (None, Some(pong)) = (&direct, &indirect) {
            self.apply_pong(started_at, pong.clone());
        }
        direct.or(indirect)
    }

    /// Sends one probe and applies its response.
    async fn probe_once(
        &self,
        control: SocketAddr,
        name: Option<&DaemonName>,
        timeout: Duration,
    ) -> Option<Pong> {
        let started_at = Instant::now();
        let probe = self.state().probe(name, false);
        let pong = self.client.probe(control, probe, timeout).await.ok()?;
        self.apply_pong(started_at, pong.clone());
        if self.state().starts_full_sync(Instant::now(), pong.digest) {
            let started_at = Instant::now();
            let probe = self.state().probe(name, true);
            match self.client.probe(control, probe, INDIRECT_TIMEOUT).await {
                Ok(full) => self.apply_pong(started_at, full),
                Err(_) => self.state().last_full_sync = None,
            }
        }
        Some(pong)
    }

    fn apply_pong(&self, started_at: Instant, pong: Pong) {
        let mut state = self.state();
        if let Some(age) = pong.log_age
            && let Some(seen_at) = started_at.checked_sub(age)
        {
            state.log_last_seen = state.log_last_seen.max(Some(seen_at));
        }
        let now = Instant::now();
        let name = pong.own.member.name.clone();
        let own_events = state.detector.record_answer(now, pong.own);
        let events = state.apply(now, own_events, name, pong.position, pong.gossip);
        self.publish(&mut state, events);
    }

    /// Publishes events, and the roster if the membership changed. Changed positions alone wait for
    /// the next round.
    fn publish(&self, state: &mut State, events: Vec<Event>) {
        let revision = state.detector.revision();
        if revision != state.published_revision {
            state.published_revision = revision;
            state.published_at = Instant::now();
            self.publish_roster(state);
        }
        for event in events {
            // This fails only if there is no receiver.
            let _ = self.events.send(event);
        }
    }

    fn publish_roster(&self, state: &mut State) {
        state.has_new_positions = false;
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
            own: self.detector.me(),
            position: self.position,
            gossip: self.detector.rumours(to),
            all,
        }
    }

    /// Applies a member's gossip and position, and appends the resulting events to `events`, which
    /// come from the member's report of itself.
    fn apply(
        &mut self,
        now: Instant,
        mut events: Vec<Event>,
        name: DaemonName,
        position: Position,
        gossip: Vec<Rumour>,
    ) -> Vec<Event> {
        for rumour in gossip.into_iter().take(MEMBERS_MAX) {
            events.extend(self.detector.apply_rumour(now, rumour));
        }
        if self.positions.len() < MEMBERS_MAX || self.positions.contains_key(&name) {
            let previous = self.positions.insert(name, position);
            self.has_new_positions |= previous != Some(position);
        }
        events
    }

    fn log_seen(&self, now: Instant) -> Option<Instant> {
        if self.position.sees_log {
            return Some(now);
        }
        self.log_last_seen
    }

    /// Whether to request all members now: initially, and later if the digests still differ after the
    /// membership became stable. Records the time if so.
    fn starts_full_sync(&mut self, now: Instant, digest: u64) -> bool {
        let due = match self.last_full_sync {
            None => true,
            Some(last_full_sync) => {
                now >= last_full_sync + FULL_SYNC_INTERVAL
                    && now >= self.published_at + STABLE_TIME
                    && digest != self.detector.digest()
            }
        };
        if due {
            self.last_full_sync = Some(now);
        }
        due
    }

    fn roster(&self) -> Roster {
        let me = self.detector.me().member.name;
        let members = self.detector.reports().map(|report| {
            let name = report.member.name.clone();
            let position = if name == me {
                self.position
            } else {
                self.positions.get(&name).copied().unwrap_or_default()
            };
            let status = MemberStatus {
                member: report.member,
                liveness: report.liveness,
                leaving: report.leaving,
                position,
            };
            (name, status)
        });
        Roster {
            members: members.collect(),
        }
    }
}
