//! Keys that go along from one leader to the next.

use std::time::SystemTime;

use super::{Entry, Lead, Outcome, State, Tenure, Window, made_at};
use copperwell_keyspace::{Epoch, HashSet, ServiceName, ShardIndex};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// The most bytes of answers that one export takes along; beyond it, the oldest keys go without.
pub const ANSWERS_EXPORT_MAX: usize = 1 << 20;

/// The entries of some shards, for the leader that takes them over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Export {
    /// The service.
    pub service: ServiceName,
    /// The epoch of the leader that it is for; under any other one it says nothing.
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
    /// Every unknown key made up to then may have run.
    pub unknown_before: SystemTime,
}

/// An entry of an [`Export`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportEntry {
    /// The idempotency key.
    pub id: Uuid,
    /// The shard.
    pub shard: ShardIndex,
    /// What makes two requests the same.
    pub fingerprint: u64,
    /// What became of it.
    pub outcome: Outcome,
}

impl Window {
    /// Takes shards out for their next leader; from here on their keys are unknown here.
    ///
    /// `tenure` tells in which stretch each shard was led last: what is known of an earlier one says
    /// nothing about keys that others took since. `next` is the epoch of the next leader. Requests
    /// that have left go out as ones that may have run, and those that have not may not leave any
    /// more.
    pub fn export(
        &mut self,
        service: &ServiceName,
        next: Epoch,
        shards: &[ShardIndex],
        tenure: impl Fn(ShardIndex) -> Tenure,
        wall: SystemTime,
    ) -> Export {
        self.advance(wall);
        let mut led = Vec::new();
        for shard in shards {
            let is_known = self.follow(*shard, tenure(*shard));
            // What is known of an earlier stretch goes, and says nothing of the last one.
            let lead = self.shards.remove(shard);
            if let Some(lead) = lead.filter(|_| is_known) {
                led.push(ExportShard {
                    shard: *shard,
                    unknown_before: lead.unknown_before.max(self.horizon()),
                });
            }
        }
        Export {
            service: service.clone(),
            next,
            shards: led,
            entries: self.take_all(shards),
        }
    }

    /// Takes over what the leader before exported.
    ///
    /// `turn` tells in which stretch of leading each shard the entries count. An export that comes
    /// after the shard was led here under its epoch or a later one is out of date: others may have
    /// taken keys since, so it is left.
    pub fn import(&mut self, export: Export, turn: impl Fn(ShardIndex) -> u64, wall: SystemTime) {
        self.advance(wall);
        let mut forgotten = SystemTime::UNIX_EPOCH;
        for entry in &export.entries {
            if !self.adopt(entry) {
                forgotten = forgotten.max(made_at(entry.id).unwrap_or(forgotten));
            }
        }
        for led in export.shards {
            if self.epochs.get(&led.shard) >= Some(&export.next) {
                continue;
            }
            let lead = Lead {
                turn: turn(led.shard),
                epoch: export.next,
                unknown_before: led.unknown_before.max(forgotten),
                confirmed: false,
            };
            self.lead(led.shard, lead);
        }
    }

    /// Takes an entry over; `false` if there is no room for it.
    fn adopt(&mut self, entry: &ExportEntry) -> bool {
        match self.entries.get(&entry.id) {
            // What waits here has left elsewhere, so it may not leave from here.
            Some(Entry {
                state: State::Waiting,
                ..
            }) => {}
            Some(_) => return true,
            None if self.entries.len() >= self.keys_max => return false,
            None => {}
        }
        self.numbers += 1;
        let waiting = Entry {
            number: self.numbers,
            shard: entry.shard,
            fingerprint: entry.fingerprint,
            state: State::Waiting,
        };
        self.entries.insert(entry.id, waiting);
        self.settle(entry.id, entry.outcome.clone());
        true
    }

    /// Takes the entries of shards out, with the answers of the newest keys.
    fn take_all(&mut self, shards: &[ShardIndex]) -> Vec<ExportEntry> {
        let shards: HashSet<ShardIndex> = shards.iter().copied().collect();
        let newest_first = self.entries.iter().rev();
        let gone: Vec<Uuid> = newest_first
            .filter(|(_, entry)| shards.contains(&entry.shard))
            .map(|(id, _)| *id)
            .collect();
        let mut bytes = 0;
        let entries = gone.into_iter().filter_map(|id| {
            let mut entry = self.take(id)?;
            bytes += entry.outcome.bytes();
            if bytes > ANSWERS_EXPORT_MAX {
                entry.outcome = entry.outcome.without_answer();
            }
            Some(entry)
        });
        entries.collect()
    }
}
