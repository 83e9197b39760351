//! Follows the log through gaps and losses.
//!
//! A reader never goes back. Where the log lost what the reader holds, the reader keeps it and a
//! snapshot of a higher life puts it back; where the log no longer keeps what the reader misses,
//! a snapshot stands in for it. Two readers that hold different states, for whatever reason, find
//! that out at the next snapshot and join them.

use std::sync::Arc;

use crate::{
    batch::{Batch, Entry},
    id::LogOffset,
    recent::Recent,
    record::{Body, Record, Snapshot},
    replay::{LIFE_MAX, State},
};
use xxhash_rust::xxh3::xxh3_64;

/// How often in a row a log must be found shorter than before, until it counts as restarted.
pub const SHORT_READS_MAX: u32 = 5;

/// How a reader stands to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Nothing was read yet.
    Starting,
    /// The state includes all that was read.
    Following,
    /// The log ends before what was read; perhaps only this answer was old.
    Short,
    /// Retention took records that this reader has not seen; a snapshot is awaited.
    Gap,
    /// The log lost records that this reader has seen; what it held is kept, and a snapshot of a
    /// higher life is awaited.
    Restarted,
}

/// Counts of what was met in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Entries that are no records.
    pub unreadable: u64,
    /// Gaps that retention made.
    pub gaps: u64,
    /// Restarts of the log.
    pub restarts: u64,
    /// States that were joined.
    pub joins: u64,
}

/// Follows the log.
#[derive(Debug, Clone)]
pub struct Reader {
    state: Arc<State>,
    /// The first offset that the state does not include.
    next: LogOffset,
    phase: Phase,
    /// What was looked at; its end differs from `next` in a gap or after a restart.
    recent: Recent,
    /// A digest of the entry before `next`.
    last: Option<u64>,
    /// Whether the entry before `next` is to be read again, to see that the log is the same.
    verifies: bool,
    short_reads: u32,
    /// The state holds what the log lacks.
    diverged: bool,
    snapshot_at: LogOffset,
    snapshots: u64,
    counts: Counts,
}

impl Default for Reader {
    fn default() -> Self {
        Self::new()
    }
}

impl Reader {
    /// A reader that has read nothing.
    #[must_use]
    pub fn new() -> Self {
        Self {
            state: Arc::default(),
            next: 0,
            phase: Phase::Starting,
            recent: Recent::default(),
            last: None,
            verifies: false,
            short_reads: 0,
            diverged: false,
            snapshot_at: 0,
            snapshots: 0,
            counts: Counts::default(),
        }
    }

    /// The state.
    #[must_use]
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// The first offset that the state does not include.
    #[must_use]
    pub fn next(&self) -> LogOffset {
        self.next
    }

    /// How the reader stands to the log.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Counts of what was met in the log.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Snapshots that were read.
    #[must_use]
    pub fn snapshots(&self) -> u64 {
        self.snapshots
    }

    /// Records read since the last snapshot.
    #[must_use]
    pub fn since_snapshot(&self) -> u64 {
        self.recent.end().saturating_sub(self.snapshot_at)
    }

    /// Whether the log lacks something that the state holds.
    #[must_use]
    pub fn is_ahead(&self) -> bool {
        self.diverged || self.phase == Phase::Restarted
    }

    /// Whether records are missed that perhaps nobody has read; what is held then goes on alone.
    #[must_use]
    pub fn is_stranded(&self) -> bool {
        self.phase == Phase::Gap && self.state.manifest.is_some()
    }

    /// Whether a state from a peer would help.
    #[must_use]
    pub fn wants_snapshot(&self) -> bool {
        matches!(self.phase, Phase::Starting | Phase::Gap)
    }

    /// The offset to read from.
    #[must_use]
    pub fn position(&self) -> LogOffset {
        let verifies = self.verifies || self.phase == Phase::Short;
        if verifies && self.phase != Phase::Gap && self.phase != Phase::Restarted {
            return self.next.saturating_sub(1);
        }
        self.recent.end()
    }

    /// The offset to read from at a peer, which tells nothing about the log itself.
    #[must_use]
    pub fn position_at_peer(&self) -> LogOffset {
        self.recent.end()
    }

    /// Tells that a read failed: the log may be another one when it comes back.
    pub fn lose_contact(&mut self) {
        self.verifies = self.last.is_some();
    }

    /// The state as a snapshot for peers.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            next: self.next,
            state: State::clone(&self.state),
        }
    }

    /// The snapshot to append now: of a higher life if the log lacks something.
    #[must_use]
    pub fn checkpoint(&self) -> Snapshot {
        let mut snapshot = self.snapshot();
        if self.is_ahead() {
            snapshot.state.life = LIFE_MAX.min(snapshot.state.life + 1);
            snapshot.next = self.recent.end();
        } else if self.is_stranded() {
            snapshot.state.life = LIFE_MAX.min(snapshot.state.life + 1);
            snapshot.next = self.recent.first();
        }
        snapshot
    }

    /// Recent entries from an offset on, for peers; `None` if they are not kept.
    #[must_use]
    pub fn recent(&self, from: LogOffset) -> Option<Batch> {
        if self.phase != Phase::Following {
            return None;
        }
        Some(Batch {
            first: self.recent.first(),
            next: self.next,
            records: self.recent.from(from)?.cloned().collect(),
            relayed: None,
        })
    }

    /// Whether a peer that answered so has gone on to a life that this reader does not know.
    #[must_use]
    pub fn is_outlived_by(&self, batch: &Batch) -> bool {
        batch
            .relayed
            .is_some_and(|relayed| relayed.life > self.state.life)
    }

    /// Takes in the answer to a read from [`Reader::position`].
    pub fn take(&mut self, batch: &Batch) {
        if let Some(relayed) = batch.relayed {
            // A peer's answer says nothing about what the log itself keeps.
            let is_behind = batch.next < self.next || batch.first > self.recent.end();
            if relayed.life != self.state.life || is_behind {
                return;
            }
        }
        match self.phase {
            Phase::Starting | Phase::Following | Phase::Short => self.follow(batch),
            Phase::Gap => self.bridge(batch),
            Phase::Restarted => self.search(batch),
        }
    }

    /// Takes in a peer's state if it is ahead of this one; tells whether it was.
    pub fn adopt(&mut self, snapshot: &Snapshot) -> bool {
        let told = &snapshot.state;
        if told.life > LIFE_MAX {
            return false;
        }
        let same_life = told.life == self.state.life;
        let is_later = same_life && snapshot.next > self.next && self.phase != Phase::Restarted;
        if told.life <= self.state.life && !is_later {
            return false;
        }
        if !same_life {
            // What is kept may be of the log that was lost, whose offsets mean other records now.
            self.recent.restart_at(snapshot.next);
        }
        self.catch_up(told);
        let state = State::clone(&self.state);
        self.jump(snapshot.next, state);
        true
    }

    /// Takes over a state that should include this one; joins them where it does not.
    fn catch_up(&mut self, told: &State) {
        let joined = self.state.join(told);
        let includes = joined.manifest == told.manifest
            && joined.groups == told.groups
            && joined.owners == told.owners;
        let same_life = told.life == self.state.life;
        if same_life && includes {
            // What differs are upstreams that were seen to let go meanwhile.
            self.state = Arc::new(told.clone());
            self.diverged = false;
            return;
        }
        self.counts.joins += 1;
        self.diverged = !joined.agrees_with(told);
        self.state = Arc::new(joined);
    }

    /// Goes on from a state that was not replayed here.
    fn jump(&mut self, next: LogOffset, state: State) {
        self.state = Arc::new(state);
        self.next = next;
        self.phase = Phase::Following;
        self.verifies = false;
        self.last = None;
        self.snapshot_at = next;
        let later: Vec<Entry> = match self.recent.from(next) {
            Some(entries) => entries.cloned().collect(),
            None => Vec::new(),
        };
        self.recent.restart_at(next);
        for entry in later {
            self.apply(&entry);
        }
    }

    fn follow(&mut self, batch: &Batch) {
        if batch.next < self.next {
            self.short_reads += 1;
            self.phase = Phase::Short;
            if self.short_reads >= SHORT_READS_MAX {
                self.restart();
            }
            return;
        }
        self.short_reads = 0;
        if !self.is_same_log(batch) {
            self.restart();
            return;
        }
        self.verifies &= batch.relayed.is_some();
        if batch.first > self.next {
            self.counts.gaps += 1;
            self.phase = Phase::Gap;
            self.bridge(batch);
            return;
        }
        self.phase = Phase::Following;
        self.apply_from(batch);
    }

    /// Whether the entry before `next`, if the batch has it, is the one that was read.
    fn is_same_log(&self, batch: &Batch) -> bool {
        let Some(last) = self.last else { return true };
        let before = self.next.saturating_sub(1);
        batch
            .records
            .iter()
            .find(|entry| entry.offset == before)
            .is_none_or(|entry| xxh3_64(&entry.bytes) == last)
    }

    fn restart(&mut self) {
        self.counts.restarts += 1;
        self.short_reads = 0;
        self.recent.restart_at(0);
        self.phase = Phase::Restarted;
        // Without a manifest no record had an effect, and there is nothing to keep.
        if self.state.manifest.is_none() {
            *self = Self {
                counts: self.counts,
                snapshots: self.snapshots,
                ..Self::new()
            };
        }
    }

    /// Applies the entries from `next` on.
    fn apply_from(&mut self, batch: &Batch) {
        for entry in &batch.records {
            if entry.offset == self.next {
                self.apply(entry);
            }
        }
    }

    fn apply(&mut self, entry: &Entry) {
        let record = self.decode(entry);
        if let Some(record) = &record {
            match &record.body {
                Body::Snapshot(snapshot) => self.compare(entry.offset, snapshot),
                _ => {
                    Arc::make_mut(&mut self.state).apply(entry.offset, record);
                }
            }
        }
        self.recent.push(entry);
        self.next = self.recent.end();
        self.last = Some(xxh3_64(&entry.bytes));
    }

    /// Compares the state with a snapshot found at `offset`, and joins what differs.
    fn compare(&mut self, offset: LogOffset, snapshot: &Snapshot) {
        if snapshot.state.life < self.state.life {
            return;
        }
        self.snapshots += 1;
        self.snapshot_at = offset + 1;
        let Some(told) = self.replay_from(offset, snapshot) else {
            // What lies between is not kept here; only a higher life has to be taken over.
            if snapshot.state.life > self.state.life {
                self.join(&snapshot.state);
            }
            return;
        };
        if told.life > self.state.life || !told.agrees_with(&self.state) {
            self.join(&told);
        }
        self.diverged = !self.state.agrees_with(&told);
    }

    fn join(&mut self, told: &State) {
        self.counts.joins += 1;
        self.state = Arc::new(self.state.join(told));
    }

    /// The state that a snapshot at `offset` tells, with the records between its own end and
    /// `offset`; `None` if these are not kept.
    fn replay_from(&self, offset: LogOffset, snapshot: &Snapshot) -> Option<State> {
        if snapshot.next > offset {
            return None;
        }
        let between = self.recent.from(snapshot.next)?;
        let mut state = snapshot.state.clone();
        for entry in between.take_while(|entry| entry.offset < offset) {
            if let Ok(record) = Record::decode(&entry.bytes) {
                state.apply(entry.offset, &record);
            }
        }
        Some(state)
    }

    /// Keeps what the log still has until a snapshot tells what came before.
    fn bridge(&mut self, batch: &Batch) {
        if batch.next < self.recent.end() {
            self.restart();
            return;
        }
        if batch.first > self.recent.end() {
            self.recent.restart_at(batch.first);
        }
        for entry in &batch.records {
            if self.phase == Phase::Following {
                self.apply_from(&single(entry));
            } else if entry.offset == self.recent.end() {
                self.bridge_entry(entry);
            }
        }
    }

    fn bridge_entry(&mut self, entry: &Entry) {
        if let Some(Record {
            body: Body::Snapshot(snapshot),
            ..
        }) = self.decode(entry)
        {
            self.settle(entry, &snapshot);
        }
        self.recent.push(entry);
        if self.phase == Phase::Following {
            self.next = self.recent.end();
            self.last = Some(xxh3_64(&entry.bytes));
        }
    }

    /// Looks for a snapshot of a higher life in a log that restarted.
    fn search(&mut self, batch: &Batch) {
        if batch.next < self.recent.end() {
            self.recent.restart_at(0);
            return;
        }
        if batch.first > self.recent.end() {
            self.recent.restart_at(batch.first);
        }
        for entry in &batch.records {
            if self.phase == Phase::Following {
                self.apply_from(&single(entry));
            } else if entry.offset == self.recent.end() {
                self.search_entry(entry);
            }
        }
    }

    fn search_entry(&mut self, entry: &Entry) {
        let is_last = entry.offset + 1 == self.next && self.last == Some(xxh3_64(&entry.bytes));
        if is_last {
            // It was the same log all the time; an old answer had shown less of it.
            self.phase = Phase::Following;
        } else if let Some(Record {
            body: Body::Snapshot(snapshot),
            ..
        }) = self.decode(entry)
            && snapshot.state.life > self.state.life
        {
            self.settle(entry, &snapshot);
        }
        self.recent.push(entry);
        if self.phase == Phase::Following {
            self.next = self.recent.end();
            self.last = Some(xxh3_64(&entry.bytes));
        }
    }

    /// Goes on from the snapshot at `entry`, if it and the kept records are whole.
    fn settle(&mut self, entry: &Entry, snapshot: &Snapshot) {
        let Some(told) = self.replay_from(entry.offset, snapshot) else {
            return;
        };
        if told.life < self.state.life {
            return;
        }
        self.catch_up(&told);
        self.snapshots += 1;
        self.snapshot_at = entry.offset + 1;
        self.phase = Phase::Following;
    }

    fn decode(&mut self, entry: &Entry) -> Option<Record> {
        let record = Record::decode(&entry.bytes).ok().filter(is_sound);
        if record.is_none() {
            self.counts.unreadable += 1;
        }
        record
    }
}

/// Whether a snapshot's life is one that a state can have.
fn is_sound(record: &Record) -> bool {
    match &record.body {
        Body::Snapshot(snapshot) => snapshot.state.life <= LIFE_MAX,
        _ => true,
    }
}

fn single(entry: &Entry) -> Batch {
    Batch {
        first: entry.offset,
        next: entry.offset + 1,
        records: vec![entry.clone()],
        relayed: None,
    }
}
