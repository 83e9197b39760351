//! At most once: what became of the requests that are not repeatable.
//!
//! A request is known by its idempotency key, a UUIDv7, whose time of making decides whether an
//! unknown key can be new. An entry is made before the request leaves and is kept until the key is
//! older than the window. A leader that took over without its predecessor's entries cannot tell
//! whether a key made before it took over has run, and says so.
//!
//! Wall time is an input, and never goes back here: a clock that jumps ahead and back again lets no
//! key run a second time.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, SystemTime},
};

pub use export::{ANSWERS_EXPORT_MAX, Export, ExportEntry, ExportShard};
pub use outcome::{ANSWER_MAX, Outcome, Whole};

use copperwell_keyspace::{Epoch, HashMap, ShardIndex};
use copperwell_message::{Reason, Verdict};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

mod export;
mod outcome;

/// The most that the wall clocks of two daemons, or of a daemon and a caller, may differ.
pub const CLOCK_DIFFERENCE: Duration = Duration::from_millis(500);

/// The most bytes of answers that one window keeps; beyond it, the oldest answers go first.
pub const ANSWERS_MAX: usize = 4 << 20;

/// The most keys that one window keeps.
pub const KEYS_MAX: usize = 1 << 17;

/// Tells one stretch of leading a shard from another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Term {
    /// How often the shard has come to this daemon.
    pub turn: u64,
    /// The first epoch of the leader's unbroken leadership; `None` while the shard has no owner.
    pub epoch: Option<Epoch>,
}

/// How long a shard has been led.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tenure {
    /// The stretch of leading.
    pub term: Term,
    /// How long ago the leader before had surely stopped.
    pub length: Duration,
}

/// What a request that is not repeatable asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// The idempotency key.
    pub id: Uuid,
    /// The shard.
    pub shard: ShardIndex,
    /// The stretch in which this daemon leads the shard.
    pub tenure: Tenure,
    /// What makes two requests the same.
    pub fingerprint: u64,
}

/// What a claim is answered with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The request is new and entered: it may run, and [`Window::finish`] is to follow.
    Run(Ticket),
    /// The same request runs now; its outcome is the answer.
    Join,
    /// Whether the key is new can be judged only once the shard has an owner under this leader:
    /// until then, the leader before may still let keys run.
    Wait,
    /// The same request has run, or may have.
    Kept(Outcome),
    /// The claim is refused.
    Refused(Refusal),
}

/// Names one entry of a key; a later entry of the same key has another.
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

/// The keys of one service.
#[derive(Debug)]
pub struct Window {
    length: Duration,
    keys_max: usize,
    /// The latest wall time seen.
    wall: SystemTime,
    shards: HashMap<ShardIndex, Lead>,
    /// The highest epoch under which each shard was led here; it outlives the entry in `shards`.
    epochs: HashMap<ShardIndex, Epoch>,
    /// A UUIDv7 begins with its time, so keys are in order of age.
    entries: BTreeMap<Uuid, Entry>,
    /// Entries made so far.
    numbers: u64,
    /// Keys whose answers are kept, oldest answer first, and some that are gone.
    answers: VecDeque<Uuid>,
    answers_bytes: usize,
}

/// Since when a shard is led.
#[derive(Debug)]
struct Lead {
    turn: u64,
    epoch: Epoch,
    unknown_before: SystemTime,
    /// Whether the shard has had an owner under this epoch; if not, only an import speaks of it.
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
    /// It has not left, or what left did not run.
    Waiting,
    /// It has left.
    Sent,
    Finished(Outcome),
}

impl Term {
    /// Whether nobody else can have led the shard between the two.
    #[must_use]
    pub fn is_same(self, other: Self) -> bool {
        let epochs_agree = match (self.epoch, other.epoch) {
            (Some(one), Some(another)) => one == another,
            _ => true,
        };
        self.turn == other.turn && epochs_agree
    }
}

impl Window {
    /// An empty window of `length`.
    #[must_use]
    pub fn new(length: Duration) -> Self {
        Self {
            length,
            keys_max: KEYS_MAX,
            wall: SystemTime::UNIX_EPOCH,
            shards: HashMap::default(),
            epochs: HashMap::default(),
            entries: BTreeMap::new(),
            numbers: 0,
            answers: VecDeque::new(),
            answers_bytes: 0,
        }
    }

    /// Keeps at most `keys` keys.
    #[must_use]
    pub fn with_keys(mut self, keys: usize) -> Self {
        self.keys_max = keys;
        self
    }

    /// Changes the length; a longer one brings back no key that is gone.
    ///
    /// What was forgotten under the shorter length counts as unknown, for every shard led now.
    pub fn set_length(&mut self, length: Duration) {
        if length > self.length {
            let forgotten = self.horizon();
            for lead in self.shards.values_mut() {
                lead.unknown_before = lead.unknown_before.max(forgotten);
            }
        }
        self.length = length;
    }

    /// Judges a request that is not repeatable, and enters it if it may run.
    pub fn claim(&mut self, claim: Claim, wall: SystemTime) -> Answer {
        self.advance(wall);
        let Some(made) = made_at(claim.id) else {
            return refused(Verdict::NotRun, Reason::IdempotencyKeyInvalid);
        };
        if let Some(entry) = self.entries.get(&claim.id) {
            return entry.answer(claim.fingerprint);
        }
        if !self.follow(claim.shard, claim.tenure) {
            return Answer::Wait;
        }
        if made < self.horizon() {
            return refused(Verdict::MayHaveRun, Reason::IdempotencyKeyExpired);
        }
        if self.is_unknown(claim.shard, made) {
            return refused(Verdict::MayHaveRun, Reason::IdempotencyKeyUnknown);
        }
        // Only now is it sure that no leader before, whose clock was ahead, let the key run.
        if made > self.wall + CLOCK_DIFFERENCE {
            return refused(Verdict::NotRun, Reason::IdempotencyKeyInvalid);
        }
        if self.entries.len() >= self.keys_max {
            return refused(Verdict::NotRun, Reason::ServiceLimit);
        }
        Answer::Run(self.enter(claim))
    }

    /// Notes that a request is about to leave.
    ///
    /// `false` if it must not, since its entry has gone to the next leader.
    #[must_use]
    pub fn leave(&mut self, ticket: Ticket) -> bool {
        let entry = self.open_entry(ticket);
        entry.is_some_and(|entry| {
            entry.state = State::Sent;
            true
        })
    }

    /// Notes that what has left did not run.
    pub fn stay(&mut self, ticket: Ticket) {
        if let Some(entry) = self.open_entry(ticket) {
            entry.state = State::Waiting;
        }
    }

    /// Keeps what became of a request that [`Window::claim`] let run.
    pub fn finish(&mut self, ticket: Ticket, outcome: Outcome) {
        if self.open_entry(ticket).is_none() {
            return;
        }
        if outcome == Outcome::NotRun {
            self.entries.remove(&ticket.id);
        } else {
            self.settle(ticket.id, outcome);
        }
    }

    /// The stretch of leading a shard for which its keys are known.
    #[must_use]
    pub fn term(&self, shard: ShardIndex) -> Option<Term> {
        let lead = self.shards.get(&shard)?;
        Some(Term {
            turn: lead.turn,
            epoch: Some(lead.epoch),
        })
    }

    /// Keys that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn advance(&mut self, wall: SystemTime) {
        if wall <= self.wall {
            return;
        }
        self.wall = wall;
        self.forget();
    }

    /// Keys made before this are too old to be known.
    fn horizon(&self) -> SystemTime {
        self.wall
            .checked_sub(self.length)
            .unwrap_or(SystemTime::UNIX_EPOCH)
    }

    fn forget(&mut self) {
        let horizon = self.horizon();
        let is_old = |id: &Uuid| made_at(*id).is_none_or(|made| made < horizon);
        let old: Vec<Uuid> = self
            .entries
            .iter()
            .take_while(|(id, _)| is_old(id))
            .filter(|(_, entry)| matches!(entry.state, State::Finished(_)))
            .map(|(id, _)| *id)
            .collect();
        for id in old {
            self.take(id);
        }
        while let Some(id) = self.answers.front()
            && !self.entries.contains_key(id)
        {
            self.answers.pop_front();
        }
    }

    fn enter(&mut self, claim: Claim) -> Ticket {
        self.numbers += 1;
        let entry = Entry {
            number: self.numbers,
            shard: claim.shard,
            fingerprint: claim.fingerprint,
            state: State::Waiting,
        };
        self.entries.insert(claim.id, entry);
        Ticket {
            id: claim.id,
            number: self.numbers,
        }
    }

    /// The entry that a ticket names, unless it is gone or finished.
    fn open_entry(&mut self, ticket: Ticket) -> Option<&mut Entry> {
        let entry = self.entries.get_mut(&ticket.id)?;
        let is_open = !matches!(entry.state, State::Finished(_));
        (is_open && entry.number == ticket.number).then_some(entry)
    }

    fn settle(&mut self, id: Uuid, outcome: Outcome) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let outcome = outcome.bounded();
        let bytes = outcome.bytes();
        entry.state = State::Finished(outcome);
        if bytes > 0 {
            self.answers.push_back(id);
            self.answers_bytes += bytes;
            self.drop_answers();
        }
    }

    /// Begins anew if the shard came to this daemon again since its keys were last known whole.
    ///
    /// `false` if it cannot begin yet, since the shard has no owner.
    fn follow(&mut self, shard: ShardIndex, tenure: Tenure) -> bool {
        let term = tenure.term;
        let lead = self.shards.get_mut(&shard);
        let lead = lead.filter(|lead| lead.turn == term.turn);
        match (lead, term.epoch) {
            (Some(lead), None) => lead.confirmed,
            (Some(lead), Some(epoch)) if lead.epoch == epoch => {
                lead.confirmed = true;
                true
            }
            (_, Some(epoch)) => {
                self.begin(shard, term.turn, epoch, tenure.length);
                true
            }
            (None, None) => false,
        }
    }

    /// Starts to lead a shard without the entries of whoever led it before, who has stopped.
    fn begin(&mut self, shard: ShardIndex, turn: u64, epoch: Epoch, led_for: Duration) {
        // The predecessor took keys from up to one difference ahead of its clock, which may itself
        // have been one difference ahead of ours.
        let began = self.wall.checked_sub(led_for).unwrap_or(self.wall);
        let unknown_before = began + 2 * CLOCK_DIFFERENCE;
        let lead = Lead {
            turn,
            epoch,
            unknown_before,
            confirmed: true,
        };
        self.lead(shard, lead);
    }

    fn lead(&mut self, shard: ShardIndex, lead: Lead) {
        // The highest epoch outlives the lead, so that an import that is out of date is known.
        let highest = self.epochs.entry(shard).or_default();
        *highest = (*highest).max(lead.epoch);
        self.shards.insert(shard, lead);
    }

    fn is_unknown(&self, shard: ShardIndex, made: SystemTime) -> bool {
        self.shards
            .get(&shard)
            .is_none_or(|lead| made <= lead.unknown_before)
    }

    /// Takes an entry out, with its answer; `None` if there is nothing to tell of it.
    fn take(&mut self, id: Uuid) -> Option<ExportEntry> {
        let entry = self.entries.remove(&id)?;
        let outcome = match entry.state {
            State::Waiting => return None,
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

    fn drop_answers(&mut self) {
        while self.answers_bytes > ANSWERS_MAX {
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
            State::Waiting | State::Sent => Answer::Join,
            State::Finished(outcome) => Answer::Kept(outcome.clone()),
        }
    }
}

/// When an idempotency key was made; `None` if it is not a UUIDv7.
#[must_use]
pub fn made_at(id: Uuid) -> Option<SystemTime> {
    if id.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanoseconds) = id.get_timestamp()?.to_unix();
    SystemTime::UNIX_EPOCH.checked_add(Duration::new(seconds, nanoseconds))
}

fn refused(verdict: Verdict, reason: Reason) -> Answer {
    Answer::Refused(Refusal { verdict, reason })
}
