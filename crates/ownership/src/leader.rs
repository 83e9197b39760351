//! The task that leads one group.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use crate::{counter::Counters, event::Event, load::Loads, order::OrderSender, status::Status};
use copperwell_backend::Control;
use copperwell_dispatch::table::{Lease, Owner, Route, Table};
use copperwell_keyspace::{
    DaemonName, Epoch, GroupId, HashMap, Incarnation, ShardIndex, UpstreamName,
    record::{Move, Retire},
};
use copperwell_policy::group::{
    Group,
    message::{self, Action, Input, Start},
};
use tokio::{
    sync::mpsc,
    task::JoinSet,
    time::{Instant, sleep_until},
};

/// How often the request counts of shards are collected.
const LOAD_PERIOD: Duration = Duration::from_secs(1);

/// A command to the leader task.
#[derive(Debug)]
pub(crate) enum Command {
    /// An input of the state machine.
    Input(Input),
    /// Start over under a higher epoch.
    Start {
        /// The parameters of the new leadership.
        start: Box<Start>,
        /// The first epoch of the uninterrupted leadership.
        leadership_epoch: Epoch,
    },
}

/// State shared by the tasks of all groups.
#[derive(Debug)]
pub(crate) struct Shared<C> {
    pub(crate) name: DaemonName,
    pub(crate) control: Arc<C>,
    pub(crate) table: Arc<Table>,
    pub(crate) events: mpsc::Sender<Event>,
    pub(crate) counters: Counters,
    pub(crate) loads: Loads,
}

/// Leads one group.
pub(crate) struct Leader<C> {
    shared: Arc<Shared<C>>,
    group: Group,
    /// The first epoch of the uninterrupted leadership.
    leadership_epoch: Epoch,
    commands: mpsc::Receiver<Command>,
    status: Arc<Mutex<Status>>,
    leases: HashMap<UpstreamName, ServerLease>,
    running: JoinSet<Input>,
    load_at: Instant,
    unserved: Unserved,
}

/// This group's share in the gauges of shards that no server holds.
#[derive(Default)]
struct Unserved {
    unreported: i64,
    free: i64,
}

/// The lease of one run of a server, shared with its routes.
struct ServerLease {
    incarnation: Incarnation,
    lease: Arc<Lease>,
}

/// The reason for which the task ends.
enum Exit {
    SteppedDown(Epoch),
    HandedOver,
}

impl<C: Control> Leader<C> {
    pub(crate) fn new(
        shared: Arc<Shared<C>>,
        group: Group,
        commands: mpsc::Receiver<Command>,
        status: Arc<Mutex<Status>>,
    ) -> Self {
        Self {
            shared,
            leadership_epoch: group.epoch(),
            group,
            commands,
            status,
            leases: HashMap::default(),
            running: JoinSet::new(),
            load_at: Instant::now() + LOAD_PERIOD,
            unserved: Unserved::default(),
        }
    }

    /// Leads the group until another daemon does.
    pub(crate) async fn run(mut self) {
        let mut input = Input::Tick;
        loop {
            let is_stop = matches!(input, Input::Stop);
            let actions = self.group.handle(input, Instant::now());
            let exit = self.execute(actions);
            self.publish_status();
            if is_stop {
                self.shared.counters.stop("replaced");
                self.emit_stepped_down(None);
                return;
            }
            match exit {
                Some(Exit::SteppedDown(by)) => {
                    self.shared.counters.stop("fenced");
                    self.emit_stepped_down(Some(by));
                    return;
                }
                Some(Exit::HandedOver) => {
                    self.shared.counters.stop("handed-over");
                    self.emit_stepped_down(None);
                    return;
                }
                None => {}
            }
            input = self.next_input().await;
        }
    }

    /// Waits for a command, the answer to an order, or the next wake-up.
    async fn next_input(&mut self) -> Input {
        let now = Instant::now();
        let wake = self.group.wake_at(now);
        let wake = wake.map_or(self.load_at, |wake| wake.min(self.load_at));
        tokio::select! {
            command = self.commands.recv() => match command {
                Some(Command::Input(input)) => input,
                Some(Command::Start { start, leadership_epoch }) => {
                    self.restart(*start, leadership_epoch);
                    Input::Tick
                }
                None => Input::Stop,
            },
            Some(done) = self.running.join_next() => done.unwrap_or(Input::Tick),
            () = sleep_until(wake) => self.collect_load(),
        }
    }

    fn collect_load(&mut self) -> Input {
        let now = Instant::now();
        if now < self.load_at {
            return Input::Tick;
        }
        self.load_at = now + LOAD_PERIOD;
        let service = &self.group.id().service;
        Input::Load(self.shared.loads.take(service, self.group.shards()))
    }

    /// Starts over under a higher epoch; routes stay held until the servers have answered.
    fn restart(&mut self, start: Start, leadership_epoch: Epoch) {
        self.leadership_epoch = leadership_epoch;
        self.running = JoinSet::new();
        self.leases.clear();
        self.group = Group::new(start, Instant::now());
    }

    fn execute(&mut self, actions: Vec<Action>) -> Option<Exit> {
        let mut exit = None;
        for action in actions {
            match action {
                Action::Order {
                    upstream,
                    ticket,
                    order,
                    timeout,
                } => {
                    let sender = OrderSender {
                        shared: self.shared.clone(),
                        group: self.group.id().clone(),
                        epoch: self.group.epoch(),
                    };
                    self.running.spawn(async move {
                        let result = sender.send(upstream.address, order, timeout).await;
                        Input::Answered {
                            upstream: upstream.name,
                            ticket,
                            result,
                        }
                    });
                }
                Action::Route { shard, route } => {
                    let route = self.route(route);
                    let service = &self.group.id().service;
                    self.shared.table.set(service, shard, route);
                }
                Action::Lease {
                    upstream,
                    incarnation,
                    until,
                } => self.extend_lease(upstream, incarnation, until),
                Action::AwaitIdle { shard, ticket } => {
                    let table = self.shared.table.clone();
                    let service = self.group.id().service.clone();
                    self.running.spawn(async move {
                        table.wait_until_idle(&service, shard).await;
                        Input::Idle { shard, ticket }
                    });
                }
                Action::StepDown { by } => exit = Some(Exit::SteppedDown(by)),
                Action::HandedOver => exit = Some(Exit::HandedOver),
                Action::Detached { shards, to } => self.emit_move(shards, to),
                Action::Retire(upstreams) => self.emit_retired(upstreams),
                Action::Moved { from, .. } => {
                    if from.is_some() {
                        self.shared.counters.moves.inc();
                    }
                }
            }
        }
        exit
    }

    fn route(&mut self, route: message::Route) -> Route {
        match route {
            message::Route::Elsewhere => Route::Elsewhere,
            message::Route::Unowned => Route::Unowned,
            message::Route::Held => Route::Pending,
            message::Route::Owned {
                upstream,
                incarnation,
            } => Route::Owned(Owner {
                lease: self.lease(&upstream, incarnation),
                epoch: self.group.epoch(),
                leadership_epoch: self.leadership_epoch,
                upstream,
                incarnation,
            }),
        }
    }

    fn extend_lease(&mut self, upstream: UpstreamName, incarnation: Incarnation, until: Instant) {
        self.lease(&upstream, incarnation).renew(until);
    }

    /// Returns the lease of this run of a server, and ends that of any other run.
    fn lease(&mut self, upstream: &UpstreamName, incarnation: Incarnation) -> Arc<Lease> {
        let now = Instant::now();
        let new_lease = || ServerLease {
            incarnation,
            lease: Arc::new(Lease::new(now)),
        };
        let server_lease = self
            .leases
            .entry(upstream.clone())
            .or_insert_with(new_lease);
        if server_lease.incarnation != incarnation {
            server_lease.lease.revoke(now);
            *server_lease = new_lease();
        }
        server_lease.lease.clone()
    }

    fn emit_move(&self, shards: Vec<ShardIndex>, to: GroupId) {
        let from = self.group.id().clone();
        self.shared.emit(Event::Move(Move {
            service: from.service.clone(),
            shards,
            from,
            epoch: self.group.epoch(),
            to,
        }));
    }

    fn emit_retired(&self, upstreams: Vec<UpstreamName>) {
        self.shared.emit(Event::Retire(Retire {
            group: self.group.id().clone(),
            epoch: self.group.epoch(),
            upstreams,
        }));
    }

    /// Updates the status and the gauges.
    fn publish_status(&mut self) {
        let status = Status::of(&self.group);
        self.update_gauges(&Unserved {
            unreported: i64::try_from(status.unreported).unwrap_or(i64::MAX),
            free: i64::try_from(status.free).unwrap_or(i64::MAX),
        });
        *self.status.lock().unwrap_or_else(PoisonError::into_inner) = status;
    }

    fn update_gauges(&mut self, now: &Unserved) {
        let counters = &self.shared.counters;
        counters.unserved("unreported", now.unreported - self.unserved.unreported);
        counters.unserved("free", now.free - self.unserved.free);
        self.unserved.unreported = now.unreported;
        self.unserved.free = now.free;
    }

    fn emit_stepped_down(&self, by: Option<Epoch>) {
        let group = self.group.id().clone();
        let epoch = self.group.epoch();
        self.shared.counters.led.dec();
        self.shared.emit(Event::SteppedDown { group, epoch, by });
    }
}

impl<C> Drop for Leader<C> {
    fn drop(&mut self) {
        let counters = &self.shared.counters;
        counters.unserved("unreported", -self.unserved.unreported);
        counters.unserved("free", -self.unserved.free);
        // No request may be sent any longer on a route that this leader set.
        let now = Instant::now();
        for server_lease in self.leases.values() {
            server_lease.lease.revoke(now);
        }
    }
}

impl<C> Shared<C> {
    /// Sends an event to the daemon; drops and counts it if the queue is full.
    pub(crate) fn emit(&self, event: Event) {
        if self.events.try_send(event).is_err() {
            self.counters.dropped.inc();
        }
    }
}
