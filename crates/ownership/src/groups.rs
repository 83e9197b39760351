//! All groups that a daemon leads or stands by for.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::{
    counter::Counters,
    event::{Event, Evidence, Observation},
    leader::{Command, Leader, Shared},
    load::Loads,
    rival::Rivals,
    status::Status,
};
use copperwell_backend::{Control, order::digest_of};
use copperwell_dispatch::table::Table;
use copperwell_keyspace::{
    DaemonName, Epoch, GroupId, HashMap, Member, ServiceName, ShardIndex,
    balance::{Shift, plan},
    manifest::{OnIsolation, Upstream},
    replay::{Appointment, State},
};
use copperwell_policy::group::{
    Group,
    message::{Config, Input, Predecessor, Start, Voters},
};
use prometheus_client::registry::Registry;
use tokio::sync::{mpsc, watch};

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
    state: Arc<State>,
    led: HashMap<GroupId, Led>,
    /// The last epoch under which this daemon led each group; none is used twice.
    used: HashMap<GroupId, Epoch>,
    /// Tasks that have been told to end, and may not have yet.
    ending: HashMap<GroupId, Vec<End>>,
    /// Other daemons that may act for a group.
    rivals: Rivals,
}

/// A group that this daemon leads.
#[derive(Debug)]
struct Led {
    epoch: Epoch,
    /// The first epoch of the unbroken leadership.
    tenure: Epoch,
    commands: mpsc::Sender<Command>,
    status: Arc<Mutex<Status>>,
    end: End,
}

/// Closes when a task has ended.
type End = watch::Receiver<()>;

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
            loads: Loads::default(),
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
    pub fn apply(&self, state: &Arc<State>) {
        let mut held = self.held();
        held.led.retain(|_, led| !led.is_ended());
        for ending in held.ending.values_mut() {
            ending.retain(|end| !is_closed(end));
        }
        held.ending.retain(|_, ending| !ending.is_empty());
        held.state = state.clone();
        if let Some(manifest) = &state.manifest {
            for service in &manifest.services {
                self.shared.table.add_service(&service.name, service.shards);
            }
        }
        for (id, appointment) in &state.groups {
            held.rivals
                .note(id, appointment, |member| self.is_me(member));
            self.follow(&mut held, id, appointment);
        }
        let is_gone = |id: &&GroupId| config_of(state, id).is_none();
        let gone: Vec<GroupId> = held.led.keys().filter(is_gone).cloned().collect();
        for id in gone {
            held.stop(&id);
        }
        for shift in plan(state) {
            let Shift {
                from, to, shards, ..
            } = shift;
            self.send(&held, &from, Input::GiveAway { shards, to });
        }
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
                held.rivals.end(daemon, incarnation);
                self.tell_alone(&held);
            }
            Evidence::Quit {
                group,
                daemon,
                incarnation,
                below,
            } => {
                held.rivals.quit(&group, &daemon, incarnation, below);
                self.tell_alone(&held);
            }
            Evidence::Alone(group) => self.send(&held, &group, Input::Stopped),
            Evidence::Confirmed { group, at } => self.send(&held, &group, Input::Confirmed(at)),
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
        self.shared.loads.add(service, shard, requests);
    }

    /// Gives shards of a group that this daemon leads to another group of the service.
    ///
    /// Each is held until no request is in flight, released, and told with [`Event::Move`]. They
    /// are served again when the log has the record, so this is for times when it can be reached.
    pub fn give_away(&self, from: &GroupId, shards: Vec<ShardIndex>, to: &GroupId) {
        let to = to.clone();
        self.send(&self.held(), from, Input::GiveAway { shards, to });
    }

    /// Stops leading a group after what is in flight has ended.
    ///
    /// Gives the epoch under which this daemon led it, once it sends nothing more; none if it did
    /// not lead it. The caller bounds the wait; dropping the future does not undo the hand-over.
    pub async fn hand_over(&self, group: &GroupId) -> Option<Epoch> {
        let (epoch, commands, end) = {
            let mut held = self.held();
            let led = held.led.remove(group)?;
            held.ending
                .entry(group.clone())
                .or_default()
                .push(led.end.clone());
            (led.epoch, led.commands, led.end)
        };
        // The sender lives on until the task has ended by itself.
        let _ = commands.send(Command::Input(Input::HandOver)).await;
        ended(end).await;
        Some(epoch)
    }

    /// Promises not to act for a group below an epoch, and stops at once if this daemon does.
    ///
    /// True once it has surely stopped; false if it acts, or has acted, under this epoch or a later
    /// one.
    pub async fn relinquish(&self, group: &GroupId, epoch: Epoch) -> bool {
        let ending = {
            let mut held = self.held();
            if !held.is_unused(group, epoch) {
                return false;
            }
            let last = epoch.saturating_sub(1);
            let used = held.used.entry(group.clone()).or_default();
            *used = last.max(*used);
            held.stop(group);
            held.ending.get(group).cloned().unwrap_or_default()
        };
        for end in ending {
            ended(end).await;
        }
        true
    }

    /// The identities of the groups that this daemon leads.
    #[must_use]
    pub fn led(&self) -> Vec<GroupId> {
        let held = self.held();
        let led = held.led.iter().filter(|(_, led)| !led.is_ended());
        led.map(|(id, _)| id.clone()).collect()
    }

    /// The other daemons that were named for a group, as far as this one has heard since it
    /// started, and have not surely stopped. See [`Groups::knows_rivals`].
    #[must_use]
    pub fn rivals(&self, group: &GroupId) -> Vec<DaemonName> {
        self.held().rivals.names(group)
    }

    /// Whether [`Groups::rivals`] has everybody that was ever named for the group.
    ///
    /// If not, some daemon of its data centre may act that this one has never heard of as its
    /// leader.
    #[must_use]
    pub fn knows_rivals(&self, group: &GroupId) -> bool {
        self.held().rivals.is_whole(group)
    }

    /// The groups that this daemon leads.
    #[must_use]
    pub fn status(&self) -> Vec<Status> {
        let held = self.held();
        let led = held.led.values().filter(|led| !led.is_ended());
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
        let is_led = held.led.contains_key(id);
        let is_later = held.is_unused(id, appointment.epoch);
        let is_mine = self.is_me(&appointment.leader);
        if is_later && is_led && !is_mine {
            held.stop(id);
            return;
        }
        let starts = is_later && is_mine;
        if !is_led && !starts {
            return;
        }
        let Some(config) = config_of(&held.state, id) else {
            return;
        };
        if starts {
            let predecessor = match appointment.replaces {
                0 => Predecessor::None,
                _ => held.predecessor(id, appointment.epoch),
            };
            self.start(held, id, appointment.epoch, config, predecessor, true);
        } else {
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
        let predecessor = held.predecessor(id, epoch);
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
        let appointment = held.state.groups.get(id);
        let voters = appointment.map_or_else(Voters::default, |appointment| Voters {
            own: appointment.voters.clone(),
            former: appointment.former_voters.clone(),
        });
        let start = Start {
            id: id.clone(),
            epoch,
            config,
            predecessor,
            voters,
            recorded,
            digest: digest_of,
        };
        held.used.insert(id.clone(), epoch);
        let reason = if recorded { "appointed" } else { "took-over" };
        self.shared.counters.start(reason);
        self.shared.tell(Event::Led {
            group: id.clone(),
            epoch,
            recorded,
        });
        let tenure = held.tenure(id, epoch, recorded);
        if let Some(led) = held.led.get_mut(id)
            && !led.is_ended()
            && led.tell(Command::Start {
                start: Box::new(start.clone()),
                tenure,
            })
        {
            led.epoch = epoch;
            led.tenure = tenure;
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
        let (ends, end) = watch::channel(());
        tokio::spawn(async move {
            leader.run().await;
            drop(ends);
        });
        Led {
            epoch,
            tenure: epoch,
            commands,
            status,
            end,
        }
    }

    /// Tells the groups whose earlier leaders have all stopped.
    fn tell_alone(&self, held: &Held) {
        for (id, led) in &held.led {
            if held.rivals.is_alone(id, led.epoch) {
                self.send(held, id, Input::Stopped);
            }
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
        member.is_same_run(&self.me)
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
    /// The first epoch of the leadership that goes on, or begins, under `epoch`.
    ///
    /// A standby that took over and is then appointed has led without a break: the appointment that
    /// it replaces named no epoch above the standby's, so nobody can have come between.
    fn tenure(&self, id: &GroupId, epoch: Epoch, recorded: bool) -> Epoch {
        let replaces = self.state.groups.get(id).map_or(0, |held| held.replaces);
        let led = self.led.get(id).filter(|led| !led.is_ended());
        let unbroken = led.filter(|led| recorded && led.epoch == replaces + 1);
        unbroken.map_or(epoch, |led| led.tenure)
    }

    /// Whether this daemon has not led the group under this epoch or a later one.
    fn is_unused(&self, id: &GroupId, epoch: Epoch) -> bool {
        self.used.get(id).is_none_or(|used| *used < epoch)
    }

    /// Ends what this daemon leads, at once.
    fn stop(&mut self, id: &GroupId) {
        let Some(led) = self.led.remove(id) else {
            return;
        };
        // Without room for the command, the task stops when it finds nobody left to command it.
        led.tell(Command::Input(Input::Stop));
        self.ending.entry(id.clone()).or_default().push(led.end);
    }

    fn predecessor(&self, id: &GroupId, epoch: Epoch) -> Predecessor {
        if self.rivals.is_alone(id, epoch) {
            Predecessor::Stopped
        } else {
            Predecessor::Acting
        }
    }
}

impl Led {
    fn is_ended(&self) -> bool {
        is_closed(&self.end)
    }

    /// False if the task cannot take it.
    fn tell(&self, command: Command) -> bool {
        self.commands.try_send(command).is_ok()
    }
}

fn is_closed(end: &End) -> bool {
    end.has_changed().is_err()
}

/// Waits until a task has ended.
async fn ended(mut end: End) {
    while end.changed().await.is_ok() {}
}

/// What manifest and log say of a group; none if it needs no leader.
fn config_of(state: &State, id: &GroupId) -> Option<Config> {
    let former = state.former.get(id).cloned().unwrap_or_default();
    let service = state.manifest.as_ref()?.service(&id.service);
    let lease_max = state.leases.get(&id.service).copied();
    let Some(service) = service else {
        // Of a service that is gone, only the grants are left to be taken back.
        let lease = lease_max.filter(|_| !former.is_empty())?;
        return Some(Config {
            upstreams: Vec::new(),
            former,
            shards: Vec::new(),
            lease,
            lease_max: lease,
            isolation: None,
        });
    };
    let upstreams = service.upstreams.iter();
    let upstreams = upstreams.filter(|upstream| upstream.group(&id.service) == *id);
    let upstreams: Vec<Upstream> = upstreams.cloned().collect();
    let owners = state.owners.get(&id.service);
    let shards = owners.map_or_else(Vec::new, |owners| owners.positions_of(id));
    if upstreams.is_empty() && former.is_empty() && shards.is_empty() {
        return None;
    }
    Some(Config {
        upstreams,
        former,
        shards,
        lease: service.lease,
        lease_max: lease_max.unwrap_or_default().max(service.lease),
        isolation: match service.on_isolation {
            OnIsolation::Keep => None,
            OnIsolation::Release => Some(service.limits.isolation),
        },
    })
}
