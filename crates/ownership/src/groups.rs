//! All groups that a daemon leads or stands by for.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::{
    counter::Counters,
    event::{Event, Evidence, Observation},
    leader::{Command, Leader, Shared},
    status::Status,
};
use copperwell_backend::{Control, order::digest_of};
use copperwell_dispatch::table::Table;
use copperwell_keyspace::{
    DaemonName, Epoch, GroupId, HashMap, HashSet, Incarnation, Member, ServiceName, ShardIndex,
    manifest::{OnIsolation, shards_of},
    replay::{Appointment, State},
};
use copperwell_policy::group::{
    Group,
    message::{Config, Input, Predecessor, Start},
};
use prometheus_client::registry::Registry;
use spdlog::info;
use tokio::{sync::mpsc, task::JoinHandle};

/// Inputs that may wait for one group.
const COMMANDS_MAX: usize = 1024;

/// The groups of this daemon.
#[derive(Debug)]
pub struct Groups<C> {
    me: Member,
    shared: Arc<Shared<C>>,
    held: Mutex<Held>,
}

#[derive(Debug, Default)]
struct Held {
    state: State,
    led: HashMap<GroupId, Led>,
    /// The last epoch under which this daemon led each group; none is used twice.
    used: HashMap<GroupId, Epoch>,
    /// Other daemons that were named for a group, and may still act for it.
    rivals: HashMap<GroupId, HashSet<Rival>>,
    /// Runs of daemons that give no more orders; earlier runs have stopped too.
    stopped: HashMap<DaemonName, Incarnation>,
}

/// A run of a daemon that was named for a group.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Rival {
    daemon: DaemonName,
    incarnation: Incarnation,
}

/// A group that this daemon leads.
#[derive(Debug)]
struct Led {
    epoch: Epoch,
    commands: mpsc::Sender<Command>,
    status: Arc<Mutex<Status>>,
    task: JoinHandle<()>,
}

impl<C: Control> Groups<C> {
    /// No groups yet; they come with [`Groups::apply`].
    pub fn new(
        me: Member,
        control: Arc<C>,
        table: Arc<Table>,
        events: mpsc::Sender<Event>,
        registry: &mut Registry,
    ) -> Self {
        let shared = Shared {
            name: me.name.clone(),
            control,
            table,
            events,
            counters: Counters::new(registry),
        };
        Self {
            me,
            shared: Arc::new(shared),
            held: Mutex::default(),
        }
    }

    /// Follows the agreed state: starts, changes and ends what this daemon leads.
    ///
    /// Must be called on a runtime.
    pub fn apply(&self, state: &State) {
        let mut held = self.held();
        held.led.retain(|_, led| !led.task.is_finished());
        held.state = state.clone();
        if let Some(manifest) = &state.manifest {
            for service in &manifest.services {
                self.shared.table.add_service(&service.name, service.shards);
            }
        }
        for (id, appointment) in &state.groups {
            self.note_rivals(&mut held, id, appointment);
            self.follow(&mut held, id, appointment);
        }
        held.led.retain(|id, led| {
            let is_there = config_of(state, id).is_some();
            if !is_there {
                led.tell(Command::Input(Input::Stop));
            }
            is_there
        });
        let standby = state.groups.values();
        let standby = standby.filter(|appointment| self.is_standby(appointment));
        self.count_standby(standby.count());
    }

    /// Takes over every group that a lost daemon leads and this one stands by for.
    pub fn suspect(&self, daemon: &DaemonName) -> Vec<GroupId> {
        let mut held = self.held();
        let groups: Vec<GroupId> = held
            .state
            .groups
            .iter()
            .filter(|(_, appointment)| appointment.leader.name == *daemon)
            .filter(|(_, appointment)| self.is_standby(appointment))
            .map(|(id, _)| id.clone())
            .collect();
        let taken = groups.into_iter();
        taken
            .filter(|id| self.take_over_held(&mut held, id).is_some())
            .collect()
    }

    /// Takes over a group that this daemon stands by for, without the log.
    ///
    /// None if it does not stand by for it.
    pub fn take_over(&self, group: &GroupId) -> Option<Epoch> {
        self.take_over_held(&mut self.held(), group)
    }

    /// Notes evidence that may end a wait.
    pub fn evidence(&self, evidence: Evidence) {
        let mut held = self.held();
        match evidence {
            Evidence::Stopped {
                daemon,
                incarnation,
            } => {
                let last = held.stopped.entry(daemon).or_insert(incarnation);
                *last = incarnation.max(*last);
                let groups: Vec<GroupId> = held.led.keys().cloned().collect();
                for id in groups {
                    if held.is_alone(&id) {
                        self.send(&held, &id, Input::Stopped);
                    }
                }
            }
            Evidence::Alone(group) => self.send(&held, &group, Input::Stopped),
            Evidence::Confirmed { group, at } => self.send(&held, &group, Input::Confirmed(at)),
            Evidence::Gone(upstream) => {
                self.send_all(&held, |_| true, &Input::Gone(upstream));
            }
            Evidence::Contact(at) => self.send_all(&held, |_| true, &Input::Contact(at)),
        }
    }

    /// Notes what a request met at an upstream.
    pub fn observe(&self, observation: &Observation) {
        let (service, upstream) = observation.place();
        let input = Input::Suspect(upstream.clone());
        self.send_all(&self.held(), |id| id.service == *service, &input);
    }

    /// Counts requests of a shard, for balance.
    pub fn load(&self, service: &ServiceName, shard: ShardIndex, requests: u32) {
        let held = self.held();
        if let Some(id) = held.state.owner_of(service, shard) {
            self.send(&held, id, Input::Load { shard, requests });
        }
    }

    /// Stops leading a group after what is in flight has ended.
    ///
    /// Gives the epoch under which this daemon led it, once it sends nothing more; none if it did
    /// not lead it. The caller bounds the wait; dropping the future does not undo the hand-over.
    pub async fn hand_over(&self, group: &GroupId) -> Option<Epoch> {
        let led = self.held().led.remove(group)?;
        led.tell(Command::Input(Input::HandOver));
        let epoch = led.epoch;
        // The sender lives on until the task has ended by itself.
        let _commands = led.commands;
        let _ = led.task.await;
        Some(epoch)
    }

    /// Promises not to act for a group below an epoch, and stops if this daemon does.
    ///
    /// True once it has surely stopped; false if it acts under this epoch or a later one.
    pub async fn relinquish(&self, group: &GroupId, epoch: Epoch) -> bool {
        {
            let mut held = self.held();
            let acting = held.led.get(group).filter(|led| !led.task.is_finished());
            if acting.is_some_and(|led| led.epoch >= epoch) {
                return false;
            }
            let used = held.used.entry(group.clone()).or_default();
            *used = (*used).max(epoch.saturating_sub(1));
        }
        self.hand_over(group).await;
        true
    }

    /// The identities of the groups that this daemon leads.
    #[must_use]
    pub fn led(&self) -> Vec<GroupId> {
        let held = self.held();
        let led = held.led.iter().filter(|(_, led)| !led.task.is_finished());
        led.map(|(id, _)| id.clone()).collect()
    }

    /// The other daemons that were named for a group and have not surely stopped.
    #[must_use]
    pub fn rivals(&self, group: &GroupId) -> Vec<DaemonName> {
        let held = self.held();
        let rivals = held.rivals.get(group).into_iter().flatten();
        let acting = rivals.filter(|rival| {
            let stopped = held.stopped.get(&rival.daemon);
            stopped.is_none_or(|incarnation| *incarnation < rival.incarnation)
        });
        acting.map(|rival| rival.daemon.clone()).collect()
    }

    /// The groups that this daemon leads.
    #[must_use]
    pub fn status(&self) -> Vec<Status> {
        let held = self.held();
        let led = held.led.values().filter(|led| !led.task.is_finished());
        let status = led.map(|led| {
            led.status
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .clone()
        });
        status.collect()
    }

    /// Starts, changes or ends what the appointment of one group asks for.
    fn follow(&self, held: &mut Held, id: &GroupId, appointment: &Appointment) {
        let Some(config) = config_of(&held.state, id) else {
            return;
        };
        let is_led = held.led.contains_key(id);
        let is_later = held.is_unused(id, appointment.epoch);
        if is_later && self.is_me(&appointment.leader) {
            let predecessor = match appointment.replaces {
                0 => Predecessor::None,
                _ if held.is_alone(id) => Predecessor::Stopped,
                _ => Predecessor::Acting,
            };
            self.start(held, id, appointment.epoch, config, predecessor, true);
        } else if is_later && is_led {
            if let Some(led) = held.led.remove(id) {
                led.tell(Command::Input(Input::Stop));
            }
        } else if is_led {
            self.send(held, id, Input::Config(config));
        }
    }

    fn take_over_held(&self, held: &mut Held, id: &GroupId) -> Option<Epoch> {
        let appointment = held.state.groups.get(id)?.clone();
        if !self.is_standby(&appointment) {
            return None;
        }
        let epoch = appointment.standby_epoch();
        if !held.is_unused(id, epoch) {
            return held.led.get(id).map(|led| led.epoch);
        }
        let config = config_of(&held.state, id)?;
        let predecessor = if held.is_alone(id) {
            Predecessor::Stopped
        } else {
            Predecessor::Acting
        };
        self.start(held, id, epoch, config, predecessor, false);
        Some(epoch)
    }

    fn start(
        &self,
        held: &mut Held,
        id: &GroupId,
        epoch: Epoch,
        config: Config,
        predecessor: Predecessor,
        recorded: bool,
    ) {
        let start = Start {
            id: id.clone(),
            epoch,
            config,
            predecessor,
            recorded,
            digest: digest_of,
        };
        held.used.insert(id.clone(), epoch);
        info!("group {id}: led under epoch {epoch}");
        let reason = if recorded { "appointed" } else { "took-over" };
        self.shared.counters.start(reason);
        self.shared.tell(Event::Led {
            group: id.clone(),
            epoch,
            recorded,
        });
        if let Some(led) = held.led.get_mut(id)
            && !led.task.is_finished()
            && led
                .commands
                .try_send(Command::Start(Box::new(start.clone())))
                .is_ok()
        {
            led.epoch = epoch;
            return;
        }
        let led = self.spawn(start);
        held.led.insert(id.clone(), led);
    }

    fn spawn(&self, start: Start) -> Led {
        let epoch = start.epoch;
        let group = Group::new(start, tokio::time::Instant::now());
        let status = Arc::new(Mutex::new(Status::of(&group)));
        let (commands, inbox) = mpsc::channel(COMMANDS_MAX);
        let leader = Leader::new(self.shared.clone(), group, inbox, status.clone());
        self.shared.counters.led.inc();
        Led {
            epoch,
            commands,
            status,
            task: tokio::spawn(leader.run()),
        }
    }

    fn note_rivals(&self, held: &mut Held, id: &GroupId, appointment: &Appointment) {
        let rivals = held.rivals.entry(id.clone()).or_default();
        let named = std::iter::once(&appointment.leader).chain(&appointment.standby);
        for member in named.filter(|member| !self.is_me(member)) {
            rivals.insert(Rival {
                daemon: member.name.clone(),
                incarnation: member.incarnation,
            });
        }
    }

    fn send(&self, held: &Held, id: &GroupId, input: Input) {
        if let Some(led) = held.led.get(id)
            && !led.tell(Command::Input(input))
        {
            self.shared.counters.dropped.inc();
        }
    }

    fn send_all(&self, held: &Held, wanted: impl Fn(&GroupId) -> bool, input: &Input) {
        for id in held.led.keys().filter(|id| wanted(id)) {
            self.send(held, id, input.clone());
        }
    }

    fn count_standby(&self, count: usize) {
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.shared.counters.standby.set(count);
    }

    fn is_me(&self, member: &Member) -> bool {
        member.name == self.me.name && member.incarnation == self.me.incarnation
    }

    fn is_standby(&self, appointment: &Appointment) -> bool {
        appointment
            .standby
            .as_ref()
            .is_some_and(|standby| self.is_me(standby))
    }

    fn held(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Held {
    /// Whether this daemon has not led the group under this epoch or a later one.
    fn is_unused(&self, id: &GroupId, epoch: Epoch) -> bool {
        self.used.get(id).is_none_or(|used| *used < epoch)
    }

    /// Whether every other daemon that was named for the group has stopped.
    fn is_alone(&self, id: &GroupId) -> bool {
        let Some(rivals) = self.rivals.get(id) else {
            return true;
        };
        rivals.iter().all(|rival| {
            let stopped = self.stopped.get(&rival.daemon);
            stopped.is_some_and(|incarnation| *incarnation >= rival.incarnation)
        })
    }
}

impl Led {
    /// False if the task cannot take it.
    fn tell(&self, command: Command) -> bool {
        self.commands.try_send(command).is_ok()
    }
}

/// What manifest and log say of a group; none if the manifest does not have it.
fn config_of(state: &State, id: &GroupId) -> Option<Config> {
    let manifest = state.manifest.as_ref()?;
    let service = manifest.service(&id.service)?;
    let groups = manifest.groups(service);
    let group = groups.into_iter().find(|group| group.id == *id)?;
    let owners = state.owners.get(&id.service)?;
    Some(Config {
        upstreams: group.upstreams,
        shards: shards_of(owners, id),
        lease: service.lease,
        isolation: match service.on_isolation {
            OnIsolation::Keep => None,
            OnIsolation::Release => Some(service.limits.isolation),
        },
    })
}
