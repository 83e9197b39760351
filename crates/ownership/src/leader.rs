//! The task that leads one group.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use crate::{counter::Counters, event::Event, load::Loads, order::Errand, status::Status};
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

/// How often the requests of shards are read.
const LOAD_PERIOD: Duration = Duration::from_secs(1);

/// Tells the task what to do.
#[derive(Debug)]
pub(crate) enum Command {
    /// An input of the machine.
    Input(Input),
    /// Lead anew under a higher epoch.
    Start {
        /// What to lead.
        start: Box<Start>,
        /// The first epoch of the unbroken leadership.
        tenure: Epoch,
    },
}

/// What the tasks of all groups share.
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
    /// The first epoch of the unbroken leadership.
    tenure: Epoch,
    commands: mpsc::Receiver<Command>,
    status: Arc<Mutex<Status>>,
    leases: HashMap<UpstreamName, Held>,
    running: JoinSet<Input>,
    load_at: Instant,
    unserved: Unserved,
}

/// Shards that nobody holds, as the gauges have them.
#[derive(Default)]
struct Unserved {
    unreported: i64,
    free: i64,
}

/// The lease of one run of a server.
struct Held {
    incarnation: Incarnation,
    lease: Arc<Lease>,
}

/// Why the task ends.
enum End {
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
            tenure: group.epoch(),
            group,
            commands,
            status,
            leases: HashMap::default(),
            running: JoinSet::new(),
            load_at: Instant::now() + LOAD_PERIOD,
            unserved: Unserved::default(),
        }
    }

    /// Leads until another daemon does.
    pub(crate) async fn run(mut self) {
        let mut input = Input::Tick;
        loop {
            let stops = matches!(input, Input::Stop);
            let actions = self.group.handle(input, Instant::now());
            let end = self.act(actions);
            self.publish();
            if stops {
                self.shared.counters.stop("replaced");
                self.tell_stepped_down(None);
                return;
            }
            match end {
                Some(End::SteppedDown(by)) => {
                    self.shared.counters.stop("fenced");
                    self.tell_stepped_down(Some(by));
                    return;
                }
                Some(End::HandedOver) => {
                    self.shared.counters.stop("handed-over");
                    self.tell_stepped_down(None);
                    return;
                }
                None => {}
            }
            input = self.next().await;
        }
    }

    async fn next(&mut self) -> Input {
        let now = Instant::now();
        let wake = self.group.wake_at(now);
        let wake = wake.map_or(self.load_at, |wake| wake.min(self.load_at));
        tokio::select! {
            command = self.commands.recv() => match command {
                Some(Command::Input(input)) => input,
                Some(Command::Start { start, tenure }) => {
                    self.restart(*start, tenure);
                    Input::Tick
                }
                None => Input::Stop,
            },
            Some(done) = self.running.join_next() => done.unwrap_or(Input::Tick),
            () = sleep_until(wake) => self.take_load(),
        }
    }

    fn take_load(&mut self) -> Input {
        let now = Instant::now();
        if now < self.load_at {
            return Input::Tick;
        }
        self.load_at = now + LOAD_PERIOD;
        let service = &self.group.id().service;
        Input::Load(self.shared.loads.take(service, self.group.shards()))
    }

    /// Begins anew; the routes stay held until the servers have answered.
    fn restart(&mut self, start: Start, tenure: Epoch) {
        self.tenure = tenure;
        self.running = JoinSet::new();
        self.leases.clear();
        self.group = Group::new(start, Instant::now());
    }

    fn act(&mut self, actions: Vec<Action>) -> Option<End> {
        let mut end = None;
        for action in actions {
            match action {
                Action::Order {
                    upstream,
                    ticket,
                    order,
                    timeout,
                } => {
                    let errand = Errand {
                        shared: self.shared.clone(),
                        group: self.group.id().clone(),
                        epoch: self.group.epoch(),
                    };
                    self.running.spawn(async move {
                        let result = errand.give(upstream.address, order, timeout).await;
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
                } => self.prolong(upstream, incarnation, until),
                Action::AwaitIdle { shard, ticket } => {
                    let table = self.shared.table.clone();
                    let service = self.group.id().service.clone();
                    self.running.spawn(async move {
                        table.idle(&service, shard).await;
                        Input::Idle { shard, ticket }
                    });
                }
                Action::StepDown { by } => end = Some(End::SteppedDown(by)),
                Action::HandedOver => end = Some(End::HandedOver),
                Action::LetGo { shards, to } => self.tell_move(shards, to),
                Action::Retire(upstreams) => self.tell_retired(upstreams),
                Action::Moved { from, .. } => {
                    if from.is_some() {
                        self.shared.counters.moves.inc();
                    }
                }
            }
        }
        end
    }

    fn route(&mut self, route: message::Route) -> Route {
        match route {
            message::Route::Elsewhere => Route::Elsewhere,
            message::Route::Unowned => Route::Unowned,
            message::Route::Held => Route::Held,
            message::Route::Owned {
                upstream,
                incarnation,
            } => Route::Owned(Owner {
                lease: self.lease(&upstream, incarnation),
                epoch: self.group.epoch(),
                tenure: self.tenure,
                upstream,
                incarnation,
            }),
        }
    }

    fn prolong(&mut self, upstream: UpstreamName, incarnation: Incarnation, until: Instant) {
        self.lease(&upstream, incarnation).prolong(until);
    }

    /// The lease of this run; that of an earlier run has ended.
    fn lease(&mut self, upstream: &UpstreamName, incarnation: Incarnation) -> Arc<Lease> {
        let now = Instant::now();
        let fresh = || Held {
            incarnation,
            lease: Arc::new(Lease::new(now)),
        };
        let held = self.leases.entry(upstream.clone()).or_insert_with(fresh);
        if held.incarnation != incarnation {
            held.lease.end(now);
            *held = fresh();
        }
        held.lease.clone()
    }

    fn tell_move(&self, shards: Vec<ShardIndex>, to: GroupId) {
        let from = self.group.id().clone();
        self.shared.tell(Event::Move(Move {
            service: from.service.clone(),
            shards,
            from,
            epoch: self.group.epoch(),
            to,
        }));
    }

    fn tell_retired(&self, upstreams: Vec<UpstreamName>) {
        self.shared.tell(Event::Retire(Retire {
            group: self.group.id().clone(),
            epoch: self.group.epoch(),
            upstreams,
        }));
    }

    fn publish(&mut self) {
        let status = Status::of(&self.group);
        self.gauge(&Unserved {
            unreported: i64::try_from(status.unreported).unwrap_or(i64::MAX),
            free: i64::try_from(status.free).unwrap_or(i64::MAX),
        });
        *self.status.lock().unwrap_or_else(PoisonError::into_inner) = status;
    }

    fn gauge(&mut self, now: &Unserved) {
        let counters = &self.shared.counters;
        counters.unserved("unreported", now.unreported - self.unserved.unreported);
        counters.unserved("free", now.free - self.unserved.free);
        self.unserved.unreported = now.unreported;
        self.unserved.free = now.free;
    }

    fn tell_stepped_down(&self, by: Option<Epoch>) {
        let group = self.group.id().clone();
        let epoch = self.group.epoch();
        self.shared.counters.led.dec();
        self.shared.tell(Event::SteppedDown { group, epoch, by });
    }
}

impl<C> Drop for Leader<C> {
    fn drop(&mut self) {
        let counters = &self.shared.counters;
        counters.unserved("unreported", -self.unserved.unreported);
        counters.unserved("free", -self.unserved.free);
        // Whoever still holds a route of this leader stops sending on it.
        let now = Instant::now();
        for held in self.leases.values() {
            held.lease.end(now);
        }
    }
}

impl<C> Shared<C> {
    pub(crate) fn tell(&self, event: Event) {
        if self.events.try_send(event).is_err() {
            self.counters.dropped.inc();
        }
    }
}
