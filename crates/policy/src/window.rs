//! At-most-once execution: the outcomes of requests that are not repeatable.
//!
//! A request is identified by its idempotency key, a UUIDv7, whose timestamp decides whether an
//! unknown key can be new. An entry is created before the request is sent and is kept until the key
//! is older than the window. A leader that took over without its predecessor's entries can't tell
//! whether a key created before the takeover has run, and answers that it may have.
//!
//! Wall time is an input and never goes back here, so that a clock that jumps ahead and back lets
//! no key run a second time.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, SystemTime},
};

pub use export::{EXPORT_ANSWERS_BYTES_MAX, Export, ExportEntry, ExportShard};
pub use outcome::{ANSWER_BYTES_MAX, KeptAnswer, Outcome};

use copperwell_keyspace::{Epoch, HashMap, ShardIndex};
use copperwell_message::{Reason, Verdict};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

mod export;
mod outcome;

/// Maximum difference between the wall clocks of two daemons, or of a daemon and a caller.
pub const CLOCK_SKEW_MAX: Duration = Duration::from_millis(500);

/// Maximum size of the answers in one window, in bytes; beyond it, the oldest are dropped first.
pub const ANSWERS_BYTES_MAX: usize = 4 << 20;

/// Maximum number of keys in one window.
pub const KEYS_MAX: usize = 1 << 17;

/// Identifies an uninterrupted period in which one daemon leads a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Term {
    /// How many times this daemon has acquired the shard.
    #[serde(rename = "turn")]
    pub acquisition: u64,
    /// The first epoch of this uninterrupted leadership; `None` while the shard has no owner.
    pub epoch: Option<Epoch>,
}

/// The term in which a shard is led, and how long it has lasted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tenure {
    /// The term.
    pub term: Term,
    /// Time since the previous leader had certainly stopped.
    pub length: Duration,
}

/// The claim of a non-repeatable request to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// The idempotency key.
    pub id: Uuid,
    /// The shard.
    pub shard: ShardIndex,
    /// The tenure in which this daemon leads the shard.
    pub tenure: Tenure,
    /// The fingerprint of the request, equal for requests that count as the same.
    pub fingerprint: u64,
}

/// The decision on a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The request is new and has an entry: it may run, and [`Window::finish`] must follow.
    Run(Ticket),
    /// The same request is in flight; its outcome is the answer.
    Join,
    /// The decision must wait until the shard has an owner under this leader: until then, the
    /// previous leader may still run new keys.
    Wait,
    /// The same request has run, or may have run.
    Kept(Outcome),
    /// The claim is refused.
    Refused(Refusal),
}

/// Identifies one entry of a key; a later entry of the same key has another ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket {
    id: Uuid,
    number: u64,
}

/// Why a claim is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// The reason.
    pub reason: Reason,
}

/// The idempotency keys of one service.
#[derive(Debug)]
pub struct Window {
    length: Duration,
    keys_max: usize,
    /// The latest wall time seen.
    wall: SystemTime,
    shards: HashMap<ShardIndex, Leadership>,
    /// The highest epoch under which each shard was led here; kept after the entry in `shards` is
    /// removed.
    epochs: HashMap<ShardIndex, Epoch>,
    /// Ordered by age, since a UUIDv7 begins with its timestamp.
    entries: BTreeMap<Uuid, Entry>,
    /// Number of the entry that was created last.
    last_number: u64,
    /// Keys whose answers are kept, oldest answer first; may contain keys that were removed.
    answers: VecDeque<Uuid>,
    answers_bytes: usize,
}

/// The leadership of a shard, and which keys are known under it.
#[derive(Debug)]
struct Leadership {
    acquisition: u64,
    epoch: Epoch,
    /// Any key created up to then that has no entry may have run.
    unknown_before: SystemTime,
    /// Whether the shard has had an owner under this epoch; otherwise only an import mentions it.
    confirmed: bool,
}

#[derive(Debug)]
struct Entry {
    number: u64,
    shard: ShardIndex,
    fingerprint: u64,
    state: State,
}

#[derive(Debug)]
enum State {
    /// The request was not sent, or was sent but did not run.
    Unsent,
    /// The request was sent.
    Sent,
    Finished(Outcome),
}

impl Term {
    /// Returns whether no other daemon can have led the shard between the two terms.
    #[must_use]
    pub fn is_same(self, other: Self) -> bool {
        let epochs_agree = match (self.epoch, other.epoch) {
            (Some(epoch), Some(other)) => epoch == other,
            _ => true,
        };
        self.acquisition == other.acquisition && epochs_agree
    }
}

impl Window {
    /// Creates an empty window of `length`.
    #[must_use]
    pub fn new(length: Duration) -> Self {
        Self {
            length,
            keys_max: KEYS_MAX,
            wall: SystemTime::UNIX_EPOCH,
            shards: HashMap::default(),
            epochs: HashMap::default(),
            entries: BTreeMap::new(),
            last_number: 0,
            answers: VecDeque::new(),
            answers_bytes: 0,
        }
    }

    /// Sets the maximum number of keys.
    #[must_use]
    pub fn with_keys_max(mut self, keys_max: usize) -> Self {
        self.keys_max = keys_max;
        self
    }

    /// Changes the length of the window.
    ///
    /// A longer one restores no expired keys: those that expired under the shorter length count as
    /// unknown, for every shard that is led now.
    pub fn set_length(&mut self, length: Duration) {
        if length > self.length {
            let expired_before = self.expiry_cutoff();
            for leadership in self.shards.values_mut() {
                leadership.unknown_before = leadership.unknown_before.max(expired_before);
            }
        }
        self.length = length;
    }

    /// Decides whether a request may run, and creates an entry for it if so.
    pub fn claim(&mut self, claim: Claim, wall: SystemTime) -> Answer {
        self.advance(wall);
        let Some(created) = created_at(claim.id) else {
            return refused(Verdict::NotRun, Reason::IdempotencyKeyInvalid);
        };
        if let Some(entry) = self.entries.get(&claim.id) {
            return entry.answer(claim.fingerprint);
        }
        if !self.update_leadership(claim.shard, claim.tenure) {
            return Answer::Wait;
        }
        if created < self.expiry_cutoff() {
            return refused(Verdict::MayHaveRun, Reason::IdempotencyKeyExpired);
        }
        if self.is_unknown(claim.shard, created) {
            return refused(Verdict::MayHaveRun, Reason::IdempotencyKeyUnknown);
        }
        // "Not run" is certain only after the checks above: a previous leader whose clock was ahead
        // may have run a key that seems to come from the future here.
        if created > self.wall + CLOCK_SKEW_MAX {
            return refused(Verdict::NotRun, Reason::IdempotencyKeyInvalid);
        }
        if self.entries.len() >= self.keys_max {
            return refused(Verdict::NotRun, Reason::ServiceLimit);
        }
        Answer::Run(self.insert(claim))
    }

    /// Marks a request as sent, right before it is sent.
    ///
    /// Returns `false` if it must not be sent, because its entry was exported to the next leader.
    #[must_use]
    pub fn mark_sent(&mut self, ticket: Ticket) -> bool {
        let entry = self.unfinished_entry(ticket);
        entry.is_some_and(|entry| {
            entry.state = State::Sent;
            true
        })
    }

    /// Records that a request was sent but did not run.
    pub fn mark_not_run(&mut self, ticket: Ticket) {
        if let Some(entry) = self.unfinished_entry(ticket) {
            entry.state = State::Unsent;
        }
    }

    /// Records the outcome of a request that [`Window::claim`] allowed to run.
    pub fn finish(&mut self, ticket: Ticket, outcome: Outcome) {
        if self.unfinished_entry(ticket).is_none() {
            return;
        }
        if outcome == Outcome::NotRun {
            self.entries.remove(&ticket.id);
        } else {
            self.record_outcome(ticket.id, outcome);
        }
    }

    /// Returns the term for which the keys of a shard are known.
    #[must_use]
    pub fn term(&self, shard: ShardIndex) -> Option<Term> {
        let leadership = self.shards.get(&shard)?;
        Some(Term {
            acquisition: leadership.acquisition,
            epoch: Some(leadership.epoch),
        })
    }

    /// Returns the number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn advance(&mut self, wall: SystemTime) {
        if wall <= self.wall {
            return;
        }
        self.wall = wall;
        self.expire();
    }

    /// Returns the time before which keys have expired, by their timestamps.
    fn expiry_cutoff(&self) -> SystemTime {
        self.wall
            .checked_sub(self.length)
            .unwrap_or(SystemTime::UNIX_EPOCH)
    }

    fn expire(&mut self) {
        let expiry_cutoff = self.expiry_cutoff();
        let is_expired = |id: &Uuid| created_at(*id).is_none_or(|created| created < expiry_cutoff);
        let expired: Vec<Uuid> = self
            .entries
            .iter()
            .take_while(|(id, _)| is_expired(id))
            .filter(|(_, entry)| matches!(entry.state, State::Finished(_)))
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.take_entry(id);
        }
        while let Some(id) = self.answers.front()
            && !self.entries.contains_key(id)
        {
            self.answers.pop_front();
        }
    }

    fn insert(&mut self, claim: Claim) -> Ticket {
        self.last_number += 1;
        let entry = Entry {
            number: self.last_number,
            shard: claim.shard,
            fingerprint: claim.fingerprint,
            state: State::Unsent,
        };
        self.entries.insert(claim.id, entry);
        Ticket {
            id: claim.id,
            number: self.last_number,
        }
    }

    /// Returns the entry of a ticket, unless it was removed or is finished.
    fn unfinished_entry(&mut self, ticket: Ticket) -> Option<&mut Entry> {
        let entry = self.entries.get_mut(&ticket.id)?;
        let is_unfinished = !matches!(entry.state, State::Finished(_));
        (is_unfinished && entry.number == ticket.number).then_some(entry)
    }

    fn record_outcome(&mut self, id: Uuid, outcome: Outcome) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let outcome = outcome.bounded();
        let bytes = outcome.bytes();
        entry.state = State::Finished(outcome);
        if bytes > 0 {
            self.answers.push_back(id);
            self.answers_bytes += bytes;
            self.drop_oldest_answers();
        }
    }

    /// Starts a new leadership unless the known one belongs to the same term.
    ///
    /// Returns `false` if that must wait because the shard has no owner.
    fn update_leadership(&mut self, shard: ShardIndex, tenure: Tenure) -> bool {
        let term = tenure.term;
        let leadership = self.shards.get_mut(&shard);
        let leadership = leadership.filter(|leadership| leadership.acquisition == term.acquisition);
        match (leadership, term.epoch) {
            (Some(leadership), None) => leadership.confirmed,
            (Some(leadership), Some(epoch)) if leadership.epoch == epoch => {
                leadership.confirmed = true;
                true
            }
            (_, Some(epoch)) => {
                self.start_leadership(shard, term.acquisition, epoch, tenure.length);
                true
            }
            (None, None) => false,
        }
    }

    /// Starts to lead a shard without the entries of the previous leader, which has stopped.
    fn start_leadership(
        &mut self,
        shard: ShardIndex,
        acquisition: u64,
        epoch: Epoch,
        led_time: Duration,
    ) {
        // The previous leader accepted keys from up to the maximum clock skew ahead of its clock,
        // which may itself have been as far ahead of ours.
        let started = self.wall.checked_sub(led_time).unwrap_or(self.wall);
        let unknown_before = started + 2 * CLOCK_SKEW_MAX;
        let leadership = Leadership {
            acquisition,
            epoch,
            unknown_before,
            confirmed: true,
        };
        self.set_leadership(shard, leadership);
    }

    fn set_leadership(&mut self, shard: ShardIndex, leadership: Leadership) {
        // The highest epoch is kept longer than the leadership, so that a stale import is detected.
        let highest = self.epochs.entry(shard).or_default();
        *highest = (*highest).max(leadership.epoch);
        self.shards.insert(shard, leadership);
    }

    fn is_unknown(&self, shard: ShardIndex, created: SystemTime) -> bool {
        self.shards
            .get(&shard)
            .is_none_or(|leadership| created <= leadership.unknown_before)
    }

    /// Removes an entry and returns it with its answer; `None` if the request was never sent.
    fn take_entry(&mut self, id: Uuid) -> Option<ExportEntry> {
        let entry = self.entries.remove(&id)?;
        let outcome = match entry.state {
            State::Unsent => return None,
            State::Sent => Outcome::MayHaveRun {
                reason: Reason::NotLeader,
            },
            State::Finished(outcome) => outcome,
        };
        self.answers_bytes -= outcome.bytes();
        Some(ExportEntry {
            id,
            shard: entry.shard,
            fingerprint: entry.fingerprint,
            outcome,
        })
    }

    /// Drops the oldest answers until the rest fits.
    fn drop_oldest_answers(&mut self) {
        while self.answers_bytes > ANSWERS_BYTES_MAX {
            let Some(id) = self.answers.pop_front() else {
                return;
            };
            let Some(entry) = self.entries.get_mut(&id) else {
                continue;
            };
            if let State::Finished(outcome) = &mut entry.state {
                self.answers_bytes -= outcome.bytes();
                *outcome = outcome.without_answer();
            }
        }
    }
}

impl Entry {
    fn answer(&self, fingerprint: u64) -> Answer {
        if self.fingerprint != fingerprint {
            return refused(Verdict::NotRun, Reason::IdempotencyKeyReused);
        }
        match &self.state {
            State::Unsent | State::Sent => Answer::Join,
            State::Finished(outcome) => Answer::Kept(outcome.clone()),
        }
    }
}

/// Returns when an idempotency key was created; `None` if it is not a UUIDv7.
#[must_use]
pub fn created_at(id: Uuid) -> Option<SystemTime> {
    if id.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanoseconds) = id.get_timestamp()?.to_unix();
    SystemTime::UNIX_EPOCH.checked_add(Duration::new(seconds, nanoseconds))
}

fn refused(verdict: Verdict, reason: Reason) -> Answer {
    Answer::Refused(Refusal { verdict, reason })
}
