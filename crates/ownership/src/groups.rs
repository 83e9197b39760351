//! The groups that a daemon leads or is the standby of.

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
    balance::{PlannedMove, plan},
    replay::{Appointment, State},
};
use copperwell_policy::group::{
    Group,
    message::{Config, Input, Predecessor, Start, Voters},
};
use prometheus_client::registry::Registry;
use tokio::sync::{mpsc, watch};

use config::config_of;
use led::{LedGroup, TaskEnd, has_ended, wait_for_end};

mod config;
mod led;

/// The most commands queued for one group.
const COMMANDS_MAX: usize = 1024;

/// Runs the groups that this daemon leads or is the standby of.
#[derive(Debug)]
pub struct Groups<C> {
    me: Member,
    shared: Arc<Shared<C>>,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    state: Arc<State>,
    led: HashMap<GroupId, LedGroup>,
    /// The highest epoch that this daemon has used or relinquished for each group; none is used
    /// twice.
    used: HashMap<GroupId, Epoch>,
    /// Tasks that were told to stop and may still run.
    ending: HashMap<GroupId, Vec<TaskEnd>>,
    /// Other daemons that may still act as leader of a group.
    rivals: Rivals,
}

impl<C: Control> Groups<C> {
    /// Creates a driver without groups; [`Groups::apply`] adds them.
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
            inner: Mutex::default(),
        }
    }

    /// Applies a new state of the log: starts, reconfigures and stops this daemon's leadership of
    /// groups.
    ///
    /// Must be called within a Tokio runtime, which runs the leader tasks.
    pub fn apply(&self, state: &Arc<State>) {
        let mut inner = self.inner();
        inner.led.retain(|_, led| !led.has_ended());
        for ending in inner.ending.values_mut() {
            ending.retain(|end| !has_ended(end));
        }
        inner.ending.retain(|_, ending| !ending.is_empty());
        inner.state = state.clone();
        if let Some(manifest) = &state.manifest {
            for service in &manifest.services {
                self.shared.table.add_service(&service.name, service.shards);
            }
        }
        for (id, appointment) in &state.groups {
            inner
                .rivals
                .record(id, appointment, |member| self.is_me(member));
            self.apply_appointment(&mut inner, id, appointment);
        }
        let is_gone = |id: &&GroupId| config_of(state, id).is_none();
        let gone: Vec<GroupId> = inner.led.keys().filter(is_gone).cloned().collect();
        for id in gone {
            inner.stop(&id);
        }
        for planned_move in plan(state) {
            let PlannedMove {
                from, to, shards, ..
            } = planned_move;
            self.send(&inner, &from, Input::Migrate { shards, to });
        }
        let standby = state.groups.values();
        let standby = standby.filter(|appointment| self.is_standby(appointment));
        self.count_standby(standby.count());
    }

    /// Takes over every group that an unreachable daemon leads and this one is the standby of.
    pub fn take_over_from(&self, daemon: &DaemonName) -> Vec<GroupId> {
        let mut inner = self.inner();
        let groups: Vec<GroupId> = inner
            .state
            .groups
            .iter()
            .filter(|(_, appointment)| appointment.leader.name == *daemon)
            .filter(|(_, appointment)| self.is_standby(appointment))
            .map(|(id, _)| id.clone())
            .collect();
        let candidates = groups.into_iter();
        candidates
            .filter(|id| self.take_over_locked(&mut inner, id).is_some())
            .collect()
    }

    /// Takes over a group that this daemon is the standby of, without the log.
    ///
    /// Returns the epoch under which this daemon leads the group. `None` if it is not the standby,
    /// if it stopped leading under that epoch or relinquished it, or if the group needs no leader.
    pub fn take_over(&self, group: &GroupId) -> Option<Epoch> {
        self.take_over_locked(&mut self.inner(), group)
    }

    /// Processes evidence that may end a wait for an earlier leader.
    pub fn handle_evidence(&self, evidence: Evidence) {
        let mut inner = self.inner();
        match evidence {
            Evidence::Stopped {
                daemon,
                incarnation,
            } => {
                inner.rivals.record_stopped(daemon, incarnation);
                self.send_stopped(&inner);
            }
            Evidence::Quit {
                group,
                daemon,
                incarnation,
                below,
            } => {
                inner
                    .rivals
                    .record_quit(&group, &daemon, incarnation, below);
                self.send_stopped(&inner);
            }
            Evidence::NoOtherLeader(group) => self.send(&inner, &group, Input::PredecessorStopped),
            Evidence::Confirmed { group, at } => self.send(&inner, &group, Input::Confirmed(at)),
            Evidence::Contact(at) => self.send_all(&inner, |_| true, &Input::Contact(at)),
        }
    }

    /// Processes a failure that a request met at an upstream.
    pub fn observe(&self, observation: &Observation) {
        let (service, upstream) = observation.target();
        let input = Input::Suspect(upstream.clone());
        self.send_all(&self.inner(), |id| id.service == *service, &input);
    }

    /// Counts requests of a shard, for rebalancing.
    pub fn count_requests(&self, service: &ServiceName, shard: ShardIndex, requests: u32) {
        self.shared.loads.add(service, shard, requests);
    }

    /// Moves shards of a group that this daemon leads to another group of the service.
    ///
    /// Requests to each shard are held until none is in flight; then it is released and reported
    /// with [`Event::Move`]. It is served again only when the log has the record, so call this only
    /// while the log is reachable.
    pub fn move_shards(&self, from: &GroupId, shards: Vec<ShardIndex>, to: &GroupId) {
        let to = to.clone();
        self.send(&self.inner(), from, Input::Migrate { shards, to });
    }

    /// Stops leading a group once no request is in flight.
    ///
    /// Returns the epoch under which this daemon led it, once no more orders are sent; `None` if it
    /// did not lead it. There is no timeout: the caller sets one. Dropping the future does not undo
    /// the hand-over.
    pub async fn hand_over(&self, group: &GroupId) -> Option<Epoch> {
        let (epoch, commands, end) = {
            let mut inner = self.inner();
            let led = inner.led.remove(group)?;
            inner
                .ending
                .entry(group.clone())
                .or_default()
                .push(led.end.clone());
            (led.epoch, led.commands, led.end)
        };
        // The sender is kept until the task has ended by itself: a closed channel would stop it
        // at once.
        let _ = commands.send(Command::Input(Input::HandOver)).await;
        wait_for_end(end).await;
        Some(epoch)
    }

    /// Promises not to act for a group under lower epochs than `epoch`, and stops at once if this
    /// daemon does.
    ///
    /// Returns true once its tasks have ended; false if it acts, or has acted, under this epoch or
    /// a higher one.
    pub async fn relinquish(&self, group: &GroupId, epoch: Epoch) -> bool {
        let ending = {
            let mut inner = self.inner();
            if !inner.is_unused(group, epoch) {
                return false;
            }
            let last = epoch.saturating_sub(1);
            let used = inner.used.entry(group.clone()).or_default();
            *used = last.max(*used);
            inner.stop(group);
            inner.ending.get(group).cloned().unwrap_or_default()
        };
        for end in ending {
            wait_for_end(end).await;
        }
        true
    }

    /// Returns the identities of the groups that this daemon leads.
    #[must_use]
    pub fn led(&self) -> Vec<GroupId> {
        let inner = self.inner();
        let led = inner.led.iter().filter(|(_, led)| !led.has_ended());
        led.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the other daemons that were appointed for a group since this one started and that
    /// are not known to have stopped. See [`Groups::knows_rivals`].
    #[must_use]
    pub fn rivals(&self, group: &GroupId) -> Vec<DaemonName> {
        self.inner().rivals.names(group)
    }

    /// Whether [`Groups::rivals`] covers every daemon that was ever appointed for the group.
    ///
    /// If not, a daemon of its data centre may act whose appointment this one has never read.
    #[must_use]
    pub fn knows_rivals(&self, group: &GroupId) -> bool {
        self.inner().rivals.is_complete(group)
    }

    /// Returns the status of the groups that this daemon leads.
    #[must_use]
    pub fn status(&self) -> Vec<Status> {
        let inner = self.inner();
        let led = inner.led.values().filter(|led| !led.has_ended());
        let status = led.map(|led| {
            led.status
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .clone()
        });
        status.collect()
    }

    /// Starts, reconfigures or stops the leadership of one group as its appointment says.
    fn apply_appointment(&self, inner: &mut Inner, id: &GroupId, appointment: &Appointment) {
        let is_led = inner.led.contains_key(id);
        let is_later = inner.is_unused(id, appointment.epoch);
        let is_mine = self.is_me(&appointment.leader);
        if is_later && is_led && !is_mine {
            inner.stop(id);
            return;
        }
        let starts = is_later && is_mine;
        if !is_led && !starts {
            return;
        }
        let Some(config) = config_of(&inner.state, id) else {
            return;
        };
        if starts {
            let predecessor = match appointment.replaces {
                0 => Predecessor::None,
                _ => inner.predecessor(id, appointment.epoch),
            };
            self.start(inner, id, appointment.epoch, config, predecessor, true);
        } else {
            self.send(inner, id, Input::Config(config));
        }
    }

    fn take_over_locked(&self, inner: &mut Inner, id: &GroupId) -> Option<Epoch> {
        let appointment = inner.state.groups.get(id)?.clone();
        if !self.is_standby(&appointment) {
            return None;
        }
        let epoch = appointment.standby_epoch();
        if !inner.is_unused(id, epoch) {
            return inner.led.get(id).map(|led| led.epoch);
        }
        let config = config_of(&inner.state, id)?;
        let predecessor = inner.predecessor(id, epoch);
        self.start(inner, id, epoch, config, predecessor, false);
        Some(epoch)
    }

    fn start(
        &self,
        inner: &mut Inner,
        id: &GroupId,
        epoch: Epoch,
        config: Config,
        predecessor: Predecessor,
        recorded: bool,
    ) {
        let appointment = inner.state.groups.get(id);
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
            is_recorded: recorded,
            shard_digest: digest_of,
        };
        inner.used.insert(id.clone(), epoch);
        let reason = if recorded { "appointed" } else { "took-over" };
        self.shared.counters.start(reason);
        self.shared.emit(Event::Led {
            group: id.clone(),
            epoch,
            recorded,
        });
        let leadership_epoch = inner.leadership_epoch(id, epoch, recorded);
        if let Some(led) = inner.led.get_mut(id)
            && !led.has_ended()
            && led.send(Command::Start {
                start: Box::new(start.clone()),
                leadership_epoch,
            })
        {
            led.epoch = epoch;
            led.leadership_epoch = leadership_epoch;
            return;
        }
        let led = self.spawn(start);
        inner.led.insert(id.clone(), led);
    }

    fn spawn(&self, start: Start) -> LedGroup {
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
        LedGroup {
            epoch,
            leadership_epoch: epoch,
            commands,
            status,
            end,
        }
    }

    /// Informs the groups whose earlier leaders have all stopped.
    fn send_stopped(&self, inner: &Inner) {
        for (id, led) in &inner.led {
            if inner.rivals.has_none_below(id, led.epoch) {
                self.send(inner, id, Input::PredecessorStopped);
            }
        }
    }

    fn send(&self, inner: &Inner, id: &GroupId, input: Input) {
        if let Some(led) = inner.led.get(id)
            && !led.send(Command::Input(input))
        {
            self.shared.counters.dropped.inc();
        }
    }

    fn send_all(&self, inner: &Inner, matches: impl Fn(&GroupId) -> bool, input: &Input) {
        for id in inner.led.keys().filter(|id| matches(id)) {
            self.send(inner, id, input.clone());
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

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Returns the first epoch of the uninterrupted leadership that includes `epoch`.
    ///
    /// A standby that took over and is then appointed has led without interruption: the appointment
    /// that is replaced has no higher epoch than the standby's, so no other daemon can have led in
    /// between.
    fn leadership_epoch(&self, id: &GroupId, epoch: Epoch, recorded: bool) -> Epoch {
        let replaces = self
            .state
            .groups
            .get(id)
            .map_or(0, |appointment| appointment.replaces);
        let led = self.led.get(id).filter(|led| !led.has_ended());
        let uninterrupted = led.filter(|led| recorded && led.epoch == replaces + 1);
        uninterrupted.map_or(epoch, |led| led.leadership_epoch)
    }

    /// Whether this daemon has neither used nor relinquished this epoch or a higher one.
    fn is_unused(&self, id: &GroupId, epoch: Epoch) -> bool {
        self.used.get(id).is_none_or(|used| *used < epoch)
    }

    /// Stops leading a group at once.
    fn stop(&mut self, id: &GroupId) {
        let Some(led) = self.led.remove(id) else {
            return;
        };
        // If the queue is full, the task stops when it finds the channel closed.
        led.send(Command::Input(Input::Stop));
        self.ending.entry(id.clone()).or_default().push(led.end);
    }

    fn predecessor(&self, id: &GroupId, epoch: Epoch) -> Predecessor {
        if self.rivals.has_none_below(id, epoch) {
            Predecessor::Stopped
        } else {
            Predecessor::Active
        }
    }
}
