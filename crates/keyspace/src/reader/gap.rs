//! Reads on after a gap in the log or its restart, until a snapshot replaces what is missing.

use super::{Phase, Reader};
use crate::{
    batch::{Batch, Entry},
    record::{Body, Record, Snapshot},
};
use xxhash_rust::xxh3::xxh3_64;

impl Reader {
    pub(super) fn restart(&mut self) {
        self.counts.restarts += 1;
        self.short_reads = 0;
        self.recent.restart_at(0);
        self.phase = Phase::Restarted;
        // Without a manifest, no record had an effect, so there is nothing to keep.
        if self.state.manifest.is_none() {
            *self = Self {
                counts: self.counts,
                snapshots: self.snapshots,
                ..Self::new()
            };
        }
    }

    /// Keeps the entries that follow a gap until a snapshot replaces the missing ones.
    pub(super) fn read_after_gap(&mut self, batch: &Batch) {
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
                self.read_entry_after_gap(entry);
            }
        }
    }

    fn read_entry_after_gap(&mut self, entry: &Entry) {
        if let Some(Record {
            body: Body::Snapshot(snapshot),
            ..
        }) = self.decode(entry)
        {
            self.resume_from(entry, &snapshot);
        }
        self.recent.push(entry);
        if self.phase == Phase::Following {
            self.next = self.recent.end();
            self.last = Some(xxh3_64(&entry.bytes));
        }
    }

    /// Looks for a snapshot of a higher generation in a restarted log.
    pub(super) fn read_after_restart(&mut self, batch: &Batch) {
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
                self.read_entry_after_restart(entry);
            }
        }
    }

    fn read_entry_after_restart(&mut self, entry: &Entry) {
        let is_last = entry.offset + 1 == self.next && self.last == Some(xxh3_64(&entry.bytes));
        if is_last {
            // The log is the same after all: a stale answer had shown it shorter.
            self.phase = Phase::Following;
        } else if let Some(Record {
            body: Body::Snapshot(snapshot),
            ..
        }) = self.decode(entry)
            && snapshot.state.generation > self.state.generation
        {
            self.resume_from(entry, &snapshot);
        }
        self.recent.push(entry);
        if self.phase == Phase::Following {
            self.next = self.recent.end();
            self.last = Some(xxh3_64(&entry.bytes));
        }
    }

    /// Resumes from the snapshot at `entry`, if the records between its end and `entry` are kept.
    fn resume_from(&mut self, entry: &Entry, snapshot: &Snapshot) {
        let Some(received) = self.replay_from(entry.offset, snapshot) else {
            return;
        };
        if received.generation < self.state.generation {
            return;
        }
        self.adopt_state(&received);
        self.snapshots += 1;
        self.snapshot_at = entry.offset + 1;
        self.phase = Phase::Following;
    }
}

/// Returns a batch of one entry.
fn single(entry: &Entry) -> Batch {
    Batch {
        first: entry.offset,
        next: entry.offset + 1,
        records: vec![entry.clone()],
        relayed: None,
    }
}
