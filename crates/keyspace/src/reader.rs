//! Follows the log across gaps and lost records.
//!
//! A reader never reverts to an older state. If the log loses records that the reader has read, the
//! reader keeps its state and a snapshot of a higher generation restores it to the log; if
//! retention has removed records that the reader lacks, a snapshot replaces them. Two readers whose
//! states differ, for whatever reason, detect it at the next snapshot and join the states.

use std::sync::Arc;

use crate::{
    batch::{Batch, Entry},
    id::LogOffset,
    recent::Recent,
    record::{Body, Record, Snapshot},
    replay::{GENERATION_MAX, State},
};
use xxhash_rust::xxh3::xxh3_64;

mod gap;

/// The number of consecutive reads that must find the log shorter than before until it counts as
/// restarted.
pub const SHORT_READS_MAX: u32 = 5;

/// The position of a reader relative to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Nothing has been read yet.
    Starting,
    /// The state includes every record that was read.
    Following,
    /// The log ends before the last record read; perhaps only the answer was stale.
    Short,
    /// Retention removed records that this reader has not read; it waits for a snapshot.
    Gap,
    /// The log lost records that this reader has read; it keeps its state and waits for a snapshot
    /// of a higher generation.
    Restarted,
}

/// Counts of irregularities found in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Entries that could not be decoded.
    pub unreadable: u64,
    /// Gaps left by retention.
    pub gaps: u64,
    /// Restarts of the log.
    pub restarts: u64,
    /// Joins of a received state with the reader's own.
    pub joins: u64,
}

/// Replays the log, batch by batch.
#[derive(Debug, Clone)]
pub struct Reader {
    state: Arc<State>,
    /// The first offset that the state does not include.
    next: LogOffset,
    phase: Phase,
    /// The entries read last; their end differs from `next` in a gap or after a restart.
    recent: Recent,
    /// The digest of the entry before `next`.
    last: Option<u64>,
    /// Whether the entry before `next` must be read again, to verify that the log is the same.
    must_verify: bool,
    short_reads: u32,
    /// Whether the state includes something that the log lacks.
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
    /// Creates a reader that has read nothing.
    #[must_use]
    pub fn new() -> Self {
        Self {
            state: Arc::default(),
            next: 0,
            phase: Phase::Starting,
            recent: Recent::default(),
            last: None,
            must_verify: false,
            short_reads: 0,
            diverged: false,
            snapshot_at: 0,
            snapshots: 0,
            counts: Counts::default(),
        }
    }

    /// Returns the replayed state.
    #[must_use]
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Returns the first offset that the state does not include.
    #[must_use]
    pub fn next(&self) -> LogOffset {
        self.next
    }

    /// Returns the position of the reader relative to the log.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the counts of irregularities found in the log.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the number of snapshots read.
    #[must_use]
    pub fn snapshots(&self) -> u64 {
        self.snapshots
    }

    /// Returns the number of records read since the last snapshot.
    #[must_use]
    pub fn since_snapshot(&self) -> u64 {
        self.recent.end().saturating_sub(self.snapshot_at)
    }

    /// Whether the log lacks something that the state includes.
    #[must_use]
    pub fn is_ahead(&self) -> bool {
        self.diverged || self.phase == Phase::Restarted
    }

    /// Whether the reader lacks records that perhaps no reader has; without a snapshot, it must
    /// continue from its own state.
    #[must_use]
    pub fn has_open_gap(&self) -> bool {
        self.phase == Phase::Gap && self.state.manifest.is_some()
    }

    /// Whether the reader needs a state from a peer.
    #[must_use]
    pub fn needs_snapshot(&self) -> bool {
        matches!(self.phase, Phase::Starting | Phase::Gap)
    }

    /// Returns the offset to read from.
    #[must_use]
    pub fn position(&self) -> LogOffset {
        let must_verify = self.must_verify || self.phase == Phase::Short;
        if must_verify && self.phase != Phase::Gap && self.phase != Phase::Restarted {
            return self.next.saturating_sub(1);
        }
        self.recent.end()
    }

    /// Returns the offset to read from at a peer; a peer's answer does not verify the log itself.
    #[must_use]
    pub fn position_at_peer(&self) -> LogOffset {
        self.recent.end()
    }

    /// Records that a read failed: the next read verifies that the log has not been replaced.
    pub fn record_failed_read(&mut self) {
        self.must_verify = self.last.is_some();
    }

    /// Returns the state as a snapshot for peers.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            next: self.next,
            state: State::clone(&self.state),
        }
    }

    /// Returns the snapshot to append now, of a higher generation if the log lacks something or if
    /// the reader continues without records that it lacks.
    #[must_use]
    pub fn snapshot_to_append(&self) -> Snapshot {
        let mut snapshot = self.snapshot();
        if self.is_ahead() {
            snapshot.state.generation = GENERATION_MAX.min(snapshot.state.generation + 1);
            snapshot.next = self.recent.end();
        } else if self.has_open_gap() {
            snapshot.state.generation = GENERATION_MAX.min(snapshot.state.generation + 1);
            snapshot.next = self.recent.first();
        }
        snapshot
    }

    /// Returns recent entries from an offset on, for peers; `None` if they are not kept or if the
    /// state does not include all entries that were read.
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

    /// Whether the batch comes from a peer whose state has a higher generation.
    #[must_use]
    pub fn is_superseded_by(&self, batch: &Batch) -> bool {
        batch
            .relayed
            .is_some_and(|relayed| relayed.generation > self.state.generation)
    }

    /// Processes the answer to a read from [`Reader::position`].
    pub fn apply_batch(&mut self, batch: &Batch) {
        if let Some(relayed) = batch.relayed {
            // A peer's answer does not show which records the log itself has.
            let is_behind = batch.next < self.next || batch.first > self.recent.end();
            if relayed.generation != self.state.generation || is_behind {
                return;
            }
        }
        match self.phase {
            Phase::Starting | Phase::Following | Phase::Short => self.follow(batch),
            Phase::Gap => self.read_after_gap(batch),
            Phase::Restarted => self.read_after_restart(batch),
        }
    }

    /// Adopts a peer's state if it is ahead of this one; returns whether it was.
    pub fn adopt(&mut self, snapshot: &Snapshot) -> bool {
        let received = &snapshot.state;
        if received.generation > GENERATION_MAX {
            return false;
        }
        let same_generation = received.generation == self.state.generation;
        let is_later =
            same_generation && snapshot.next > self.next && self.phase != Phase::Restarted;
        if received.generation <= self.state.generation && !is_later {
            return false;
        }
        if !same_generation {
            // The kept entries may be from the lost log, whose offsets have other records now.
            self.recent.restart_at(snapshot.next);
        }
        self.adopt_state(received);
        let state = State::clone(&self.state);
        self.replace_state(snapshot.next, state);
        true
    }

    /// Adopts a state that should include this one; joins the two if it does not.
    fn adopt_state(&mut self, received: &State) {
        let joined = self.state.join(received);
        let includes = joined.manifest == received.manifest
            && joined.groups == received.groups
            && joined.owners == received.owners;
        let same_generation = received.generation == self.state.generation;
        if same_generation && includes {
            // The states differ only in upstreams that were retired in the meantime.
            self.state = Arc::new(received.clone());
            self.diverged = false;
            return;
        }
        self.counts.joins += 1;
        self.diverged = !joined.agrees_with(received);
        self.state = Arc::new(joined);
    }

    /// Continues from a state that was not replayed here, and applies the kept entries after it.
    fn replace_state(&mut self, next: LogOffset, state: State) {
        self.state = Arc::new(state);
        self.next = next;
        self.phase = Phase::Following;
        self.must_verify = false;
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

    /// Applies the new records of a batch, unless the log has a gap or has restarted.
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
        self.must_verify &= batch.relayed.is_some();
        if batch.first > self.next {
            self.counts.gaps += 1;
            self.phase = Phase::Gap;
            self.read_after_gap(batch);
            return;
        }
        self.phase = Phase::Following;
        self.apply_from(batch);
    }

    /// Whether the entry before `next`, if the batch has it, is the one that was read before.
    fn is_same_log(&self, batch: &Batch) -> bool {
        let Some(last) = self.last else { return true };
        let before = self.next.saturating_sub(1);
        batch
            .records
            .iter()
            .find(|entry| entry.offset == before)
            .is_none_or(|entry| xxh3_64(&entry.bytes) == last)
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

    /// Compares the state with a snapshot found at `offset`, and joins them if they differ.
    fn compare(&mut self, offset: LogOffset, snapshot: &Snapshot) {
        if snapshot.state.generation < self.state.generation {
            return;
        }
        self.snapshots += 1;
        self.snapshot_at = offset + 1;
        let Some(received) = self.replay_from(offset, snapshot) else {
            // The records in between are not kept here; only a higher generation must be adopted.
            if snapshot.state.generation > self.state.generation {
                self.join(&snapshot.state);
            }
            return;
        };
        if received.generation > self.state.generation || !received.agrees_with(&self.state) {
            self.join(&received);
        }
        self.diverged = !self.state.agrees_with(&received);
    }

    fn join(&mut self, received: &State) {
        self.counts.joins += 1;
        self.state = Arc::new(self.state.join(received));
    }

    /// Returns the state of a snapshot at `offset`, with the records between the snapshot's end and
    /// `offset` applied; `None` if these are not kept.
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

    fn decode(&mut self, entry: &Entry) -> Option<Record> {
        let record = Record::decode(&entry.bytes)
            .ok()
            .filter(has_valid_generation);
        if record.is_none() {
            self.counts.unreadable += 1;
        }
        record
    }
}

/// Whether the generation of a snapshot is within the allowed range.
fn has_valid_generation(record: &Record) -> bool {
    match &record.body {
        Body::Snapshot(snapshot) => snapshot.state.generation <= GENERATION_MAX,
        _ => true,
    }
}
