//! One run of a stand-in server, from its start to its stop or crash.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use super::{
    gate::Gate,
    grants::{Change, Grants, Rejection},
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

/// The highest number of keys with a counter; requests for further keys are not counted.
const COUNTED_KEYS_MAX: usize = 1_000_000;

/// One run of a stand-in server.
#[derive(Debug)]
pub(super) struct Process {
    pub(super) options: Arc<Options>,
    pub(super) incarnation: Incarnation,
    pub(super) gate: Gate,
    pub(super) stop: CancellationToken,
    pub(super) slots: Semaphore,
    pub(super) switches: Arc<Switches>,
    pub(super) counters: Arc<Counters>,
    pub(super) open_connections: AtomicU32,
    pub(super) waiting: AtomicU32,
    record: Record,
    started_at: Instant,
    started_requests: AtomicU64,
    request_finished: Notify,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    grants: Grants,
    holds: HashMap<Shard, OpenHold>,
    running: HashMap<Shard, Vec<Option<RunId>>>,
    has_ended: bool,
    counts_by_key: HashMap<String, u64>,
}

/// A hold in the record that may not have expired yet.
#[derive(Debug, Clone, Copy)]
struct OpenHold {
    id: HoldId,
    until: Instant,
}

/// A running request; dropping it ends it as cancelled or crashed.
#[derive(Debug)]
pub(super) struct RunningRequest {
    process: Arc<Process>,
    id: Option<RunId>,
    shard: Shard,
    has_ended: bool,
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
            open_connections: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            record,
            started_at: Instant::now(),
            started_requests: AtomicU64::new(0),
            request_finished: Notify::new(),
            state: Mutex::new(State {
                grants,
                holds: HashMap::default(),
                running: HashMap::default(),
                has_ended: false,
                counts_by_key: HashMap::default(),
            }),
        }
    }

    /// Returns the server's monotonic clock, in milliseconds since this run started.
    fn clock_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the instant at which this run started.
    pub(super) fn started_at(&self) -> Instant {
        self.started_at
    }

    pub(super) fn fence(&self, order: &Fence) -> Result<Fenced, Refusal> {
        let mut fenced = self.state().grants.fence(order, Instant::now())?;
        fenced.draining = self.is_draining();
        fenced.clock_ms = self.clock_ms();
        Ok(fenced)
    }

    pub(super) fn grant(&self, order: &Give, until: Instant) -> Result<Held, Refusal> {
        let now = Instant::now();
        let mut state = self.state();
        let changes = state.grants.grant(order, now, until)?;
        self.record_changes(&mut state, changes, now);
        Ok(self.held(&state, &order.group, now))
    }

    pub(super) fn renew(&self, order: &Renew, until: Instant) -> Result<Held, Refusal> {
        let now = Instant::now();
        let mut state = self.state();
        let changes = state.grants.renew(order, now, until)?;
        self.record_changes(&mut state, changes, now);
        Ok(self.held(&state, &order.group, now))
    }

    /// Stops accepting requests for shards, and returns when none is running any more.
    pub(super) async fn release(self: &Arc<Self>, order: Release) -> Result<Held, Refusal> {
        self.state().grants.release(&order)?;
        let process = self.clone();
        // The release completes even if the sender of the order doesn't wait for the answer.
        let release_task =
            tokio::spawn(async move { process.complete_release_when_idle(&order).await });
        match release_task.await {
            Ok(held) => Ok(held),
            // The runtime is shutting down, and this task with it.
            Err(_) => std::future::pending().await,
        }
    }

    async fn complete_release_when_idle(&self, order: &Release) -> Held {
        loop {
            let request_finished = self.request_finished.notified();
            tokio::pin!(request_finished);
            request_finished.as_mut().enable();
            if let Some(held) = self.try_complete_release(order) {
                return held;
            }
            request_finished.await;
        }
    }

    fn try_complete_release(&self, order: &Release) -> Option<Held> {
        let now = Instant::now();
        let mut state = self.state();
        let has_running = order.shards.iter().any(|index| {
            let shard = Shard {
                service: order.group.service.clone(),
                index: *index,
            };
            state.running.contains_key(&shard)
        });
        if has_running {
            return None;
        }
        let changes = state.grants.complete_release(order, now);
        self.record_changes(&mut state, changes, now);
        Some(self.held(&state, &order.group, now))
    }

    /// Checks whether a request may start.
    pub(super) fn check(&self, shard: &Shard, epoch: Epoch) -> Result<(), Rejection> {
        let state = self.state();
        state
            .grants
            .check(&shard.service, shard.index, epoch, Instant::now())
    }

    /// Starts a request, or rejects it if the server no longer holds its shard.
    pub(super) fn start(self: &Arc<Self>, run: Run) -> Result<RunningRequest, Rejection> {
        let shard = run.shard.clone();
        let mut state = self.state();
        let now = Instant::now();
        state
            .grants
            .check(&shard.service, shard.index, run.epoch, now)?;
        if state.has_ended {
            return Err(Rejection::Unowned);
        }
        let id = self.record.begin_run(run);
        state.running.entry(shard.clone()).or_default().push(id);
        drop(state);
        let running = self.counters.running.fetch_add(1, Ordering::AcqRel) + 1;
        self.counters
            .running_max
            .fetch_max(running, Ordering::AcqRel);
        Ok(RunningRequest {
            process: self.clone(),
            id,
            shard,
            has_ended: false,
        })
    }

    /// Returns the service time of the next request.
    pub(super) fn next_service_time(&self) -> Duration {
        let before = self.started_requests.fetch_add(1, Ordering::AcqRel);
        let cold = self.options.cold_start;
        if before < cold.requests {
            self.options.service_time + cold.extra
        } else {
            self.options.service_time
        }
    }

    /// Returns the load that the server reports: the override if one is set, or else the real one.
    pub(super) fn reported_load(&self) -> Load {
        self.switches.load_override().unwrap_or_else(|| Load {
            in_flight: self.counters.running.load(Ordering::Acquire),
            waiting: self.waiting.load(Ordering::Acquire),
            slots: self.options.slots,
            draining: self.is_draining(),
        })
    }

    pub(super) fn is_draining(&self) -> bool {
        self.switches.drain.load(Ordering::Acquire)
    }

    /// Ends this run: it holds nothing from here on.
    pub(super) fn end(&self) {
        let now = Instant::now();
        let mut state = self.state();
        state.has_ended = true;
        for hold in state.holds.drain().map(|(_, hold)| hold) {
            self.record.end_hold(hold.id, now);
        }
        for run in state.running.values().flatten().flatten() {
            self.record.end_run(*run, Outcome::Crashed, now);
        }
        drop(state);
        self.stop.cancel();
    }

    /// Returns the shards that the server holds.
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
        let load = self.reported_load();
        held.draining = load.draining;
        held.in_flight = load.in_flight;
        held
    }

    /// Writes changes of the held shards to the record.
    fn record_changes(&self, state: &mut State, changes: Vec<Change>, now: Instant) {
        for change in changes {
            match change {
                Change::HeldUntil(service, index, until) => {
                    self.record_hold(state, Shard { service, index }, now, until);
                }
                Change::Released(service, index) => {
                    if let Some(hold) = state.holds.remove(&Shard { service, index }) {
                        self.record.end_hold(hold.id, now);
                    }
                }
            }
        }
    }

    fn record_hold(&self, state: &mut State, shard: Shard, now: Instant, until: Instant) {
        // A run that has ended holds nothing; orders may still reach it.
        if state.has_ended {
            return;
        }
        if let Some(hold) = state.holds.get_mut(&shard)
            && now < hold.until
        {
            hold.until = hold.until.max(until);
            self.record.extend_hold(hold.id, hold.until);
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
            state.holds.insert(shard, OpenHold { id, until });
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RunningRequest {
    /// Lets the request take effect, unless the lease of its shard has ended.
    ///
    /// Returns the number of counted requests for `key` that took effect in this run of the server.
    pub(super) fn finish(mut self, key: &str, is_counted: bool) -> Result<u64, Rejection> {
        let process = self.process.clone();
        let mut state = process.state();
        let now = Instant::now();
        let shard = &self.shard;
        if !state.grants.may_finish(&shard.service, shard.index, now) {
            drop(state);
            self.end(Outcome::Undone);
            return Err(Rejection::Unowned);
        }
        let count = state.count_effect(key, is_counted);
        // Lock order: the process's state, then the record.
        if let Some(id) = self.id {
            process.record.end_run(id, Outcome::Done, now);
        }
        drop(state);
        self.end(Outcome::Done);
        Ok(count)
    }

    fn end(&mut self, outcome: Outcome) {
        if std::mem::replace(&mut self.has_ended, true) {
            return;
        }
        let process = &self.process;
        let mut state = process.state();
        if let Some(id) = self.id {
            process.record.end_run(id, outcome, Instant::now());
        }
        state.remove_run(&self.shard, self.id);
        drop(state);
        process.counters.running.fetch_sub(1, Ordering::AcqRel);
        process.request_finished.notify_waiters();
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        if self.has_ended {
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
    fn remove_run(&mut self, shard: &Shard, id: Option<RunId>) {
        let Some(running) = self.running.get_mut(shard) else {
            return;
        };
        if let Some(position) = running.iter().position(|other| *other == id) {
            running.swap_remove(position);
        }
        if running.is_empty() {
            self.running.remove(shard);
        }
    }

    fn count_effect(&mut self, key: &str, is_counted: bool) -> u64 {
        if is_counted
            && (self.counts_by_key.len() < COUNTED_KEYS_MAX || self.counts_by_key.contains_key(key))
        {
            let count = self.counts_by_key.entry(key.to_owned()).or_default();
            *count += 1;
        }
        self.counts_by_key.get(key).copied().unwrap_or(0)
    }
}

/// Creates a shard from a service's name and an index.
pub(super) fn shard_of(service: &str, index: ShardIndex) -> Shard {
    Shard {
        service: service.into(),
        index,
    }
}
