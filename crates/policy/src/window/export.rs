//! The transfer of keys from one leader to its successor.

use std::time::SystemTime;

use super::{Entry, Leadership, Outcome, State, Tenure, Window, created_at};
use copperwell_keyspace::{Epoch, HashSet, ServiceName, ShardIndex};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Maximum size of the answers in one export, in bytes; beyond it, the oldest keys are exported
/// without their answers.
pub const EXPORT_ANSWERS_BYTES_MAX: usize = 1 << 20;

/// The entries of some shards, for the successor of their leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Export {
    /// The service.
    pub service: ServiceName,
    /// The epoch of the successor; the export is not valid under any other epoch.
    pub next: Epoch,
    /// The shards.
    pub shards: Vec<ExportShard>,
    /// The entries.
    pub entries: Vec<ExportEntry>,
}

/// A shard of an [`Export`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportShard {
    /// The shard.
    pub shard: ShardIndex,
    /// Any key created up to then that has no entry may have run.
    pub unknown_before: SystemTime,
}

/// An entry of an [`Export`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportEntry {
    /// The idempotency key.
    pub id: Uuid,
    /// The shard.
    pub shard: ShardIndex,
    /// The fingerprint of the request, equal for requests that count as the same.
    pub fingerprint: u64,
    /// The outcome of the request.
    pub outcome: Outcome,
}

impl Window {
    /// Removes the entries of shards and returns them for the successor of this leader.
    ///
    /// `tenure` returns the last tenure of each shard: entries of an earlier one say nothing about
    /// keys that other leaders admitted since. `next` is the epoch of the successor. In-flight
    /// requests are exported as ones that may have run, and unsent ones may no longer be sent.
    pub fn export(
        &mut self,
        service: &ServiceName,
        next: Epoch,
        shards: &[ShardIndex],
        tenure: impl Fn(ShardIndex) -> Tenure,
        wall: SystemTime,
    ) -> Export {
        self.advance(wall);
        let mut exported = Vec::new();
        for shard in shards {
            let is_known = self.update_leadership(*shard, tenure(*shard));
            // Leadership of an earlier tenure is dropped: it says nothing about the last one.
            let leadership = self.shards.remove(shard);
            if let Some(leadership) = leadership.filter(|_| is_known) {
                exported.push(ExportShard {
                    shard: *shard,
                    unknown_before: leadership.unknown_before.max(self.expiry_cutoff()),
                });
            }
        }
        Export {
            service: service.clone(),
            next,
            shards: exported,
            entries: self.take_entries(shards),
        }
    }

    /// Adopts the export of the previous leader.
    ///
    /// `acquisition` returns the [`Term::acquisition`](super::Term::acquisition) of each shard for
    /// which the entries are valid. An export is stale for a shard that was already led here under
    /// its epoch or a later one: other leaders may have admitted keys since. Its entries are still
    /// adopted, but it does not make the shard's other keys known.
    pub fn import(
        &mut self,
        export: Export,
        acquisition: impl Fn(ShardIndex) -> u64,
        wall: SystemTime,
    ) {
        self.advance(wall);
        let mut newest_dropped = SystemTime::UNIX_EPOCH;
        for entry in &export.entries {
            if !self.import_entry(entry) {
                newest_dropped = newest_dropped.max(created_at(entry.id).unwrap_or(newest_dropped));
            }
        }
        for exported in export.shards {
            if self.epochs.get(&exported.shard) >= Some(&export.next) {
                continue;
            }
            let leadership = Leadership {
                acquisition: acquisition(exported.shard),
                epoch: export.next,
                unknown_before: exported.unknown_before.max(newest_dropped),
                confirmed: false,
            };
            self.set_leadership(exported.shard, leadership);
        }
    }

    /// Adopts an entry; returns `false` if the window is full.
    fn import_entry(&mut self, entry: &ExportEntry) -> bool {
        match self.entries.get(&entry.id) {
            // The request was sent by the previous leader, so it must not be sent from here too.
            Some(Entry {
                state: State::Unsent,
                ..
            }) => {}
            Some(_) => return true,
            None if self.entries.len() >= self.keys_max => return false,
            None => {}
        }
        self.last_number += 1;
        let unsent = Entry {
            number: self.last_number,
            shard: entry.shard,
            fingerprint: entry.fingerprint,
            state: State::Unsent,
        };
        self.entries.insert(entry.id, unsent);
        self.record_outcome(entry.id, entry.outcome.clone());
        true
    }

    /// Removes and returns the entries of shards; only the newest keys keep their answers.
    fn take_entries(&mut self, shards: &[ShardIndex]) -> Vec<ExportEntry> {
        let shards: HashSet<ShardIndex> = shards.iter().copied().collect();
        let newest_first = self.entries.iter().rev();
        let ids: Vec<Uuid> = newest_first
            .filter(|(_, entry)| shards.contains(&entry.shard))
            .map(|(id, _)| *id)
            .collect();
        let mut bytes = 0;
        let entries = ids.into_iter().filter_map(|id| {
            let mut entry = self.take_entry(id)?;
            bytes += entry.outcome.bytes();
            if bytes > EXPORT_ANSWERS_BYTES_MAX {
                entry.outcome = entry.outcome.without_answer();
            }
            Some(entry)
        });
        entries.collect()
    }
}
