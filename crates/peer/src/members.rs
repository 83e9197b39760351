//! Who is alive, as this daemon sees it.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use crate::control::{Client, GOSSIP_MAX, Liveness, Pong, Position, Probe, Rumour};
use copperwell_keyspace::{DaemonName, DataCentreName, HashMap, HashSet, Member};
use futures::future::join_all;
use tokio::{
    sync::{broadcast, watch},
    time::{Instant, MissedTickBehavior, interval},
};
use tokio_util::sync::CancellationToken;

/// Time between two rounds of probes.
const ROUND: Duration = Duration::from_millis(250);

/// Time that a probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Probes without an answer after which a member is suspect.
const SUSPECT: u32 = 1;

/// Probes without an answer after which a member is lost.
const LOST: u32 = 4;

/// Members known at a time.
pub const MEMBERS_MAX: usize = 4096;

/// Events kept for a slow reader.
const EVENTS_MAX: usize = 1024;

/// A VM, as the platform's list has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vm {
    /// The daemon that runs on it.
    pub name: DaemonName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Where the daemon takes control calls.
    pub control: SocketAddr,
    /// Whether the list says that it is leaving.
    pub leaving: bool,
}

/// A member and whether it is thought alive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seen {
    /// The member.
    pub member: Member,
    /// Whether it is thought alive.
    pub liveness: Liveness,
    /// Whether the platform's list says that its VM is leaving.
    pub leaving: bool,
    /// What it last said of the log.
    pub position: Position,
}

/// The members that this daemon knows, itself included.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Roster {
    /// By name.
    pub members: HashMap<DaemonName, Seen>,
}

/// A change in who is alive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A member is taken for lost.
    Lost(Member),
    /// A new run of a member took the place of an old one.
    Replaced {
        /// The old run.
        old: Member,
        /// The new run.
        new: Member,
    },
    /// A member that was taken for lost answers again, or a new one appeared.
    Back(Member),
    /// The platform no longer has the member's VM.
    Gone(Member),
}

/// Finds out who is alive.
#[derive(Debug)]
pub struct Members {
    me: Member,
    seeds: Vec<SocketAddr>,
    client: Client,
    state: Mutex<State>,
    roster: watch::Sender<Arc<Roster>>,
    events: broadcast::Sender<Event>,
}

#[derive(Debug)]
struct State {
    position: Position,
    log_seen: Option<Instant>,
    seen: HashMap<DaemonName, Seen>,
    failures: HashMap<DaemonName, u32>,
    close: HashSet<DaemonName>,
    vms: HashMap<DaemonName, Vm>,
}

impl Members {
    /// Starts out with this daemon and the control addresses of some others.
    #[must_use]
    pub fn new(me: Member, seeds: Vec<SocketAddr>, client: Client) -> Arc<Self> {
        let seen = Seen {
            member: me.clone(),
            liveness: Liveness::Live,
            leaving: false,
            position: Position::default(),
        };
        let seen = HashMap::from_iter([(me.name.clone(), seen)]);
        let roster = Arc::new(Roster {
            members: seen.clone(),
        });
        let state = State {
            position: Position::default(),
            log_seen: None,
            seen,
            failures: HashMap::default(),
            close: HashSet::default(),
            vms: HashMap::default(),
        };
        Arc::new(Self {
            me,
            seeds,
            client,
            state: Mutex::new(state),
            roster: watch::Sender::new(roster),
            events: broadcast::Sender::new(EVENTS_MAX),
        })
    }

    /// Probes until `shutdown`.
    pub async fn run(&self, shutdown: CancellationToken) {
        let rounds = async {
            let mut ticks = interval(ROUND);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                ticks.tick().await;
                self.round().await;
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
        self.state().close = names;
    }

    /// Takes in the platform's list.
    pub fn update_vms(&self, vms: Vec<Vm>) {
        let vms = vms.into_iter().map(|vm| (vm.name.clone(), vm));
        let mut state = self.state();
        state.vms = vms.collect();
        self.publish(&state);
    }

    /// Says how far this daemon has read the log.
    pub fn set_position(&self, position: Position) {
        let mut state = self.state();
        state.position = position;
        if position.sees_log {
            state.log_seen = Some(Instant::now());
        }
    }

    /// When this daemon last saw the log, or a peer that sees it.
    #[must_use]
    pub fn log_seen(&self) -> Option<Instant> {
        self.state().log_seen
    }

    /// Answers another daemon's probe.
    #[must_use]
    pub fn answer(&self, probe: Probe) -> Pong {
        let mut state = self.state();
        self.note(&mut state, probe.from, probe.position);
        Pong {
            member: self.me.clone(),
            position: state.position,
            gossip: gossip(&state),
        }
    }

    /// Probes a daemon for another one; `None` if it does not answer.
    pub async fn probe_through(&self, target: SocketAddr) -> Option<Pong> {
        let probe = self.outgoing();
        self.client.probe(target, probe, PROBE_TIMEOUT).await.ok()
    }

    async fn round(&self) {
        let targets = self.targets();
        join_all(targets.into_iter().map(|target| self.probe(target))).await;
    }

    async fn probe(&self, (address, name): (SocketAddr, Option<DaemonName>)) {
        let probe = self.outgoing();
        let answer = self.client.probe(address, probe, PROBE_TIMEOUT).await;
        let mut state = self.state();
        match (answer, name) {
            (Ok(pong), _) => {
                for rumour in pong.gossip {
                    self.hear(&mut state, rumour);
                }
                self.note(&mut state, pong.member, pong.position);
            }
            (Err(_), Some(name)) => self.miss(&mut state, &name),
            (Err(_), None) => {}
        }
    }

    fn targets(&self) -> Vec<(SocketAddr, Option<DaemonName>)> {
        let state = self.state();
        let known: Vec<_> = state
            .seen
            .values()
            .filter(|seen| seen.member.name != self.me.name)
            .map(|seen| (seen.member.control, Some(seen.member.name.clone())))
            .collect();
        let unknown = |address: &SocketAddr| {
            *address != self.me.control && !known.iter().any(|(seen, _)| seen == address)
        };
        let listed = state.vms.values().map(|vm| vm.control);
        let fresh: HashSet<_> = self.seeds.iter().copied().chain(listed).collect();
        let fresh = fresh.into_iter().filter(unknown).map(|seed| (seed, None));
        let fresh: Vec<_> = fresh.collect();
        known.into_iter().chain(fresh).collect()
    }

    fn outgoing(&self) -> Probe {
        let state = self.state();
        Probe {
            from: self.me.clone(),
            position: state.position,
            gossip: gossip(&state),
        }
    }

    fn hear(&self, state: &mut State, rumour: Rumour) {
        let known = state.seen.contains_key(&rumour.member.name);
        if known || rumour.liveness != Liveness::Live || state.seen.len() >= MEMBERS_MAX {
            return;
        }
        self.note(state, rumour.member, Position::default());
    }

    fn note(&self, state: &mut State, member: Member, position: Position) {
        if member.name == self.me.name {
            return;
        }
        if position.sees_log {
            state.log_seen = Some(Instant::now());
        }
        state.failures.remove(&member.name);
        let old = state.seen.get(&member.name);
        if old.is_some_and(|old| old.member.incarnation > member.incarnation) {
            return;
        }
        let event = match old {
            None => Some(Event::Back(member.clone())),
            Some(old) if old.member.incarnation < member.incarnation => Some(Event::Replaced {
                old: old.member.clone(),
                new: member.clone(),
            }),
            Some(old) if old.liveness >= Liveness::Lost => Some(Event::Back(member.clone())),
            Some(_) => None,
        };
        let seen = Seen {
            member,
            liveness: Liveness::Live,
            leaving: false,
            position,
        };
        state.seen.insert(seen.member.name.clone(), seen);
        self.tell(event);
        self.publish(state);
    }

    fn miss(&self, state: &mut State, name: &DaemonName) {
        let failures = state.failures.entry(name.clone()).or_default();
        *failures += 1;
        let liveness = match *failures {
            LOST.. => Liveness::Lost,
            SUSPECT.. => Liveness::Suspect,
            0 => Liveness::Live,
        };
        let Some(seen) = state.seen.get_mut(name) else {
            return;
        };
        if seen.liveness >= liveness {
            return;
        }
        seen.liveness = liveness;
        let event = (liveness == Liveness::Lost).then(|| Event::Lost(seen.member.clone()));
        self.tell(event);
        self.publish(state);
    }

    fn tell(&self, event: Option<Event>) {
        if let Some(event) = event {
            // Nobody needs to listen.
            let _ = self.events.send(event);
        }
    }

    fn publish(&self, state: &State) {
        let mut members = state.seen.clone();
        for seen in members.values_mut() {
            seen.leaving = state
                .vms
                .get(&seen.member.name)
                .is_some_and(|vm| vm.leaving);
        }
        self.roster.send_if_modified(|roster| {
            let changed = roster.members != members;
            if changed {
                *roster = Arc::new(Roster { members });
            }
            changed
        });
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Roster {
    /// Members that are thought alive, in name order.
    #[must_use]
    pub fn live(&self) -> Vec<&Member> {
        let live = self.members.values();
        let live = live.filter(|seen| seen.liveness <= Liveness::Suspect);
        let mut live: Vec<_> = live.map(|seen| &seen.member).collect();
        live.sort_by(|one, other| one.name.cmp(&other.name));
        live
    }

    /// Members of a data centre that are thought alive, in name order.
    #[must_use]
    pub fn live_in(&self, data_centre: &str) -> Vec<&Member> {
        let mut live = self.live();
        live.retain(|member| &*member.data_centre == data_centre);
        live
    }

    /// Whether a member is thought alive.
    #[must_use]
    pub fn liveness(&self, name: &str) -> Option<Liveness> {
        self.members.get(name).map(|seen| seen.liveness)
    }
}

fn gossip(state: &State) -> Vec<Rumour> {
    let rumours = state.seen.values().take(GOSSIP_MAX).map(|seen| Rumour {
        member: seen.member.clone(),
        liveness: seen.liveness,
    });
    rumours.collect()
}
