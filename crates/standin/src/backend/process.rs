//! One run of a stand-in, from its start to its end.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use super::{
    gate::Gate,
    grants::{Change, Grants, Refused},
    options::Options,
    record::{Hold, HoldId, Outcome, Record, Run, RunId, Shard},
    switch::{Counters, Switches},
};
use copperwell_backend::order::{Fence, Fenced, Give, Held, Load, Refusal, Release, Renew};
use copperwell_keyspace::{Epoch, GroupId, HashMap, Incarnation, ShardIndex};
use tokio::{
    sync::{Notify, Semaphore},
    time::Instant,
};
use tokio_util::sync::CancellationToken;

/// Keys whose counter is kept.
const KEYS_MAX: usize = 1_000_000;

/// One run of a stand-in.
#[derive(Debug)]
pub(super) struct Process {
    pub(super) options: Arc<Options>,
    pub(super) incarnation: Incarnation,
    pub(super) gate: Gate,
    pub(super) stop: CancellationToken,
    pub(super) slots: Semaphore,
    pub(super) switches: Arc<Switches>,
    pub(super) counters: Arc<Counters>,
    pub(super) open: AtomicU32,
    pub(super) waiting: AtomicU32,
    record: Record,
    born: Instant,
    started: AtomicU64,
    finished: Notify,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    grants: Grants,
    holds: HashMap<Shard, Current>,
    running: HashMap<Shard, Vec<Option<RunId>>>,
    ended: bool,
    counts: HashMap<String, u64>,
}

/// A hold that the record knows and that may still last.
#[derive(Debug, Clone, Copy)]
struct Current {
    id: HoldId,
    until: Instant,
}

/// A request that runs; it ends as cancelled or crashed if it is dropped.
#[derive(Debug)]
pub(super) struct Running {
    process: Arc<Process>,
    id: Option<RunId>,
    shard: Shard,
    ended: bool,
}

impl Process {
    pub(super) fn new(
        options: Arc<Options>,
        incarnation: Incarnation,
        record: Record,
        switches: Arc<Switches>,
        counters: Arc<Counters>,
    ) -> Self {
        let grants = Grants::new(incarnation, options.fencing);
        Self {
            slots: Semaphore::new(options.slots as usize),
            options,
            incarnation,
            gate: Gate::default(),
            stop: CancellationToken::new(),
            switches,
            counters,
            open: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            record,
            born: Instant::now(),
            started: AtomicU64::new(0),
            finished: Notify::new(),
            state: Mutex::new(State {
                grants,
                holds: HashMap::default(),
                running: HashMap::default(),
                ended: false,
                counts: HashMap::default(),
            }),
        }
    }

    /// The server's steady clock, in milliseconds since this run began.
    fn clock_ms(&self) -> u64 {
        u64::try_from(self.born.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// When this run began.
    pub(super) fn born(&self) -> Instant {
        self.born
    }

    pub(super) fn fence(&self, order: &Fence) -> Result<Fenced, Refusal> {
        let mut fenced = self.state().grants.fence(order, Instant::now())?;
        fenced.draining = self.is_draining();
        fenced.clock_ms = self.clock_ms();
        Ok(fenced)
    }

    pub(super) fn give(&self, order: &Give, until: Instant) -> Result<Held, Refusal> {
        let now = Instant::now();
        let mut state = self.state();
        let changes = state.grants.give(order, now, until)?;
        self.note(&mut state, changes, now);
        Ok(self.held(&state, &order.group, now))
    }

    pub(super) fn renew(&self, order: &Renew, until: Instant) -> Result<Held, Refusal> {
        let now = Instant::now();
        let mut state = self.state();
        let changes = state.grants.renew(order, now, until)?;
        self.note(&mut state, changes, now);
        Ok(self.held(&state, &order.group, now))
    }

    /// Stops serving shards, and answers when none of their requests runs any more.
    pub(super) async fn release(self: &Arc<Self>, order: Release) -> Result<Held, Refusal> {
        self.state().grants.release(&order)?;
        let process = self.clone();
        // The shards are let go of even if whoever gave the order does not wait for the answer.
        let let_go = tokio::spawn(async move { process.let_go(&order).await });
        match let_go.await {
            Ok(held) => Ok(held),
            // The runtime is going, and this task with it.
            Err(_) => std::future::pending().await,
        }
    }

    async fn let_go(&self, order: &Release) -> Held {
        loop {
            let finished = self.finished.notified();
            tokio::pin!(finished);
            finished.as_mut().enable();
            if let Some(held) = self.try_let_go(order) {
                return held;
            }
            finished.await;
        }
    }

    fn try_let_go(&self, order: &Release) -> Option<Held> {
        let now = Instant::now();
        let mut state = self.state();
        let busy = order.shards.iter().any(|index| {
            let shard = Shard {
                service: order.group.service.clone(),
                index: *index,
            };
            state.running.contains_key(&shard)
        });
        if busy {
            return None;
        }
        let changes = state.grants.let_go(order, now);
        self.note(&mut state, changes, now);
        Some(self.held(&state, &order.group, now))
    }

    /// Judges whether a request may start.
    pub(super) fn check(&self, shard: &Shard, epoch: Epoch) -> Result<(), Refused> {
        let state = self.state();
        state
            .grants
            .check(&shard.service, shard.index, epoch, Instant::now())
    }

    /// Starts a request if it may start at this moment.
    pub(super) fn start(self: &Arc<Self>, run: Run) -> Result<Running, Refused> {
        let shard = run.shard.clone();
        let mut state = self.state();
        let now = Instant::now();
        state
            .grants
            .check(&shard.service, shard.index, run.epoch, now)?;
        if state.ended {
            return Err(Refused::Unowned);
        }
        let id = self.record.begin_run(run);
        state.running.entry(shard.clone()).or_default().push(id);
        drop(state);
        let running = self.counters.running.fetch_add(1, Ordering::AcqRel) + 1;
        self.counters
            .running_max
            .fetch_max(running, Ordering::AcqRel);
        Ok(Running {
            process: self.clone(),
            id,
            shard,
            ended: false,
        })
    }

    /// How long the next request runs.
    pub(super) fn next_service_time(&self) -> Duration {
        let before = self.started.fetch_add(1, Ordering::AcqRel);
        let cold = self.options.cold_start;
        if before < cold.requests {
            self.options.service_time + cold.extra
        } else {
            self.options.service_time
        }
    }

    /// The load as the server tells it, which need not be true.
    pub(super) fn told_load(&self) -> Load {
        self.switches.misleading().unwrap_or_else(|| Load {
            in_flight: self.counters.running.load(Ordering::Acquire),
            waiting: self.waiting.load(Ordering::Acquire),
            slots: self.options.slots,
            draining: self.is_draining(),
        })
    }

    pub(super) fn is_draining(&self) -> bool {
        self.switches.drain.load(Ordering::Acquire)
    }

    /// Ends this run: nothing is held from here on.
    pub(super) fn end(&self) {
        let now = Instant::now();
        let mut state = self.state();
        state.ended = true;
        for hold in state.holds.drain().map(|(_, hold)| hold) {
            self.record.end_hold(hold.id, now);
        }
        for run in state.running.values().flatten().flatten() {
            self.record.end_run(*run, Outcome::Crashed, now);
        }
        drop(state);
        self.stop.cancel();
    }

    /// The shards that the server accepts requests for.
    pub(super) fn shards(&self) -> Vec<Shard> {
        let now = Instant::now();
        let state = self.state();
        let held = state.holds.iter().filter(|(_, hold)| now < hold.until);
        let mut shards: Vec<Shard> = held.map(|(shard, _)| shard.clone()).collect();
        shards.sort_unstable();
        shards
    }

    fn held(&self, state: &State, group: &GroupId, now: Instant) -> Held {
        let mut held = state.grants.held(group, now);
        held.clock_ms = self.clock_ms();
        let load = self.told_load();
        held.draining = load.draining;
        held.in_flight = load.in_flight;
        held
    }

    /// Brings the record up to date.
    fn note(&self, state: &mut State, changes: Vec<Change>, now: Instant) {
        for change in changes {
            match change {
                Change::Until(service, index, until) => {
                    self.note_hold(state, Shard { service, index }, now, until);
                }
                Change::Released(service, index) => {
                    if let Some(hold) = state.holds.remove(&Shard { service, index }) {
                        self.record.end_hold(hold.id, now);
                    }
                }
            }
        }
    }

    fn note_hold(&self, state: &mut State, shard: Shard, now: Instant, until: Instant) {
        // A run that has ended holds nothing, whatever still reaches it.
        if state.ended {
            return;
        }
        if let Some(hold) = state.holds.get_mut(&shard)
            && now < hold.until
        {
            hold.until = hold.until.max(until);
            self.record.prolong_hold(hold.id, hold.until);
            return;
        }
        let hold = Hold {
            server: self.options.name.clone(),
            incarnation: self.incarnation,
            fencing: self.options.fencing,
            shard: shard.clone(),
            from: now,
            until,
        };
        if let Some(id) = self.record.begin_hold(hold) {
            state.holds.insert(shard, Current { id, until });
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Running {
    /// Lets the request take effect, unless the right to its shard has ended.
    ///
    /// Gives how often a request for `key` has taken effect in this run of the server.
    pub(super) fn finish(mut self, key: &str, counts: bool) -> Result<u64, Refused> {
        let process = self.process.clone();
        let mut state = process.state();
        let now = Instant::now();
        let shard = &self.shard;
        if !state.grants.may_finish(&shard.service, shard.index, now) {
            drop(state);
            self.end(Outcome::Undone);
            return Err(Refused::Unowned);
        }
        let count = state.count(key, counts);
        // Lock order: the process's state, then the record.
        if let Some(id) = self.id {
            process.record.end_run(id, Outcome::Done, now);
        }
        drop(state);
        self.end(Outcome::Done);
        Ok(count)
    }

    fn end(&mut self, outcome: Outcome) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let process = &self.process;
        let mut state = process.state();
        if let Some(id) = self.id {
            process.record.end_run(id, outcome, Instant::now());
        }
        state.forget(&self.shard, self.id);
        drop(state);
        process.counters.running.fetch_sub(1, Ordering::AcqRel);
        process.finished.notify_waiters();
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        if self.process.stop.is_cancelled() {
            self.end(Outcome::Crashed);
        } else {
            self.process
                .counters
                .cancelled
                .fetch_add(1, Ordering::AcqRel);
            self.end(Outcome::Cancelled);
        }
    }
}

impl State {
    fn forget(&mut self, shard: &Shard, id: Option<RunId>) {
        let Some(running) = self.running.get_mut(shard) else {
            return;
        };
        if let Some(place) = running.iter().position(|other| *other == id) {
            running.swap_remove(place);
        }
        if running.is_empty() {
            self.running.remove(shard);
        }
    }

    fn count(&mut self, key: &str, counts: bool) -> u64 {
        if counts && (self.counts.len() < KEYS_MAX || self.counts.contains_key(key)) {
            let count = self.counts.entry(key.to_owned()).or_default();
            *count += 1;
        }
        self.counts.get(key).copied().unwrap_or(0)
    }
}

/// A shard of a service.
pub(super) fn shard_of(service: &str, index: ShardIndex) -> Shard {
    Shard {
        service: service.into(),
        index,
    }
}
