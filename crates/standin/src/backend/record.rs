//! What the stand-ins held and ran, by their own word.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use copperwell_keyspace::{
    Epoch, HashMap, Incarnation, ServiceName, ShardIndex, UpstreamName, manifest::Fencing,
};
use tokio::time::Instant;

/// Holds and runs that are kept; later ones are only counted.
const ENTRIES_MAX: usize = 8_000_000;

/// What all stand-ins of a test held and ran; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Record {
    entries: Arc<Mutex<Entries>>,
}

#[derive(Debug, Default)]
struct Entries {
    holds: Vec<Hold>,
    runs: Vec<Run>,
    frozen: Vec<Frozen>,
    lost: u64,
}

/// A shard of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Shard {
    /// The service.
    pub service: ServiceName,
    /// The shard's position.
    pub index: ShardIndex,
}

/// A time in which a server would have accepted requests for a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hold {
    /// The server.
    pub server: UpstreamName,
    /// The server's run.
    pub incarnation: Incarnation,
    /// Whether the server checks fencing.
    pub fencing: Fencing,
    /// The shard.
    pub shard: Shard,
    /// From when on.
    pub from: Instant,
    /// Until when, by the last grant or renewal, or by what ended it earlier.
    pub until: Instant,
}

/// A request that a server ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// The server.
    pub server: UpstreamName,
    /// The server's run.
    pub incarnation: Incarnation,
    /// The shard.
    pub shard: Shard,
    /// The key.
    pub key: String,
    /// The request's identity.
    pub request: String,
    /// The idempotency key of a request that is not repeatable.
    pub idempotency: Option<String>,
    /// The epoch under which it was sent.
    pub epoch: Epoch,
    /// A digest of its body.
    pub digest: u64,
    /// When it started.
    pub start: Instant,
    /// When it ended; `None` while it runs.
    pub end: Option<Instant>,
    /// How it ended.
    pub outcome: Outcome,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It has not.
    Running,
    /// It took effect.
    Done,
    /// The server's right lapsed before it took effect, so it was undone.
    Undone,
    /// Its caller went away, so it stopped half-way.
    Cancelled,
    /// The server stopped while it ran.
    Crashed,
}

/// A time in which a server answered nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frozen {
    /// The server.
    pub server: UpstreamName,
    /// From when on.
    pub from: Instant,
    /// Until when; `None` if it is frozen still.
    pub until: Option<Instant>,
}

/// Two servers that owned one shard at the same instant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Overlap {
    /// The shard.
    pub shard: Shard,
    /// The server that owned it first.
    pub first: UpstreamName,
    /// The server that owned it too.
    pub second: UpstreamName,
    /// From when on.
    pub from: Instant,
    /// Until when.
    pub until: Instant,
}

/// A time in which a shard had no owner that could answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Gap {
    /// The shard.
    pub shard: Shard,
    /// From when on.
    pub from: Instant,
    /// Until when.
    pub until: Instant,
}

/// A change of a shard's owner from one server to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// The shard.
    pub shard: Shard,
    /// The old owner.
    pub from: UpstreamName,
    /// The new owner.
    pub to: UpstreamName,
    /// When the new owner began.
    pub at: Instant,
}

/// The place of a hold in the record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct HoldId(usize);

/// The place of a run in the record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RunId(usize);

impl Record {
    /// An empty record.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Every hold, in the order in which they began.
    #[must_use]
    pub fn holds(&self) -> Vec<Hold> {
        self.entries().holds.clone()
    }

    /// Every run, in the order in which they began.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.entries().runs.clone()
    }

    /// Holds and runs that found no room; a check is only as good as this is zero.
    #[must_use]
    pub fn lost(&self) -> u64 {
        self.entries().lost
    }

    /// Pairs of different servers that owned one shard at the same instant.
    ///
    /// A server that checks fencing owns what it would accept; any server owns what it runs, up to
    /// the moment when it froze if it found the caller gone after it woke.
    #[must_use]
    pub fn overlaps(&self) -> Vec<Overlap> {
        let now = Instant::now();
        let entries = self.entries();
        let mut spans: HashMap<&Shard, Vec<Span<'_>>> = HashMap::default();
        for hold in &entries.holds {
            if hold.fencing == Fencing::Checked {
                let span = Span::new(&hold.server, hold.from, hold.until.min(now));
                spans.entry(&hold.shard).or_default().push(span);
            }
        }
        for run in &entries.runs {
            if run.outcome != Outcome::Undone {
                let span = Span::new(&run.server, run.start, entries.worked_until(run, now));
                spans.entry(&run.shard).or_default().push(span);
            }
        }
        let mut overlaps: Vec<Overlap> = spans
            .into_iter()
            .flat_map(|(shard, spans)| overlaps_of(shard, spans))
            .collect();
        overlaps.sort_by_key(|overlap| overlap.from);
        overlaps
    }

    /// Idempotency keys that ran more than once, runs that were undone left aside.
    #[must_use]
    pub fn twice_run(&self) -> Vec<String> {
        let entries = self.entries();
        let mut counts: HashMap<&str, u32> = HashMap::default();
        for run in &entries.runs {
            if let Some(key) = &run.idempotency
                && run.outcome != Outcome::Undone
            {
                *counts.entry(key).or_default() += 1;
            }
        }
        let twice = counts.into_iter().filter(|(_, count)| *count > 1);
        let mut keys: Vec<String> = twice.map(|(key, _)| key.to_owned()).collect();
        keys.sort_unstable();
        keys
    }

    /// How often a request with this idempotency key or identity ran, those undone left aside.
    #[must_use]
    pub fn times_run(&self, id: &str) -> usize {
        let entries = self.entries();
        let runs = entries.runs.iter().filter(|run| {
            run.outcome != Outcome::Undone
                && (run.request == id || run.idempotency.as_deref() == Some(id))
        });
        runs.count()
    }

    /// Times between a shard's first owner and `until` in which none could answer.
    #[must_use]
    pub fn unavailable(&self, until: Instant) -> Vec<Gap> {
        let entries = self.entries();
        let mut spans: HashMap<&Shard, Vec<Span<'_>>> = HashMap::default();
        for hold in &entries.holds {
            let pieces = entries.awake_pieces(hold, until);
            spans.entry(&hold.shard).or_default().extend(pieces);
        }
        let mut gaps: Vec<Gap> = spans
            .into_iter()
            .flat_map(|(shard, spans)| gaps_of(shard, spans, until))
            .collect();
        gaps.sort_by_key(|gap| gap.from);
        gaps
    }

    /// Changes of a shard's owner from one server to another.
    #[must_use]
    pub fn moves(&self) -> Vec<Move> {
        let entries = self.entries();
        let mut owners: HashMap<&Shard, &UpstreamName> = HashMap::default();
        let mut moves = Vec::new();
        for hold in &entries.holds {
            let before = owners.insert(&hold.shard, &hold.server);
            if let Some(from) = before
                && *from != hold.server
            {
                moves.push(Move {
                    shard: hold.shard.clone(),
                    from: from.clone(),
                    to: hold.server.clone(),
                    at: hold.from,
                });
            }
        }
        moves
    }

    /// Adds a hold, such as that of a server which is no stand-in.
    pub fn add_hold(&self, hold: Hold) {
        self.begin_hold(hold);
    }

    /// Adds a run, such as that of a server which is no stand-in.
    pub fn add_run(&self, run: Run) {
        self.begin_run(run);
    }

    /// Adds a time in which a server answered nothing.
    pub fn add_frozen(&self, frozen: Frozen) {
        self.entries().frozen.push(frozen);
    }

    pub(super) fn begin_hold(&self, hold: Hold) -> Option<HoldId> {
        let mut entries = self.entries();
        if entries.holds.len() >= ENTRIES_MAX {
            entries.lost += 1;
            return None;
        }
        entries.holds.push(hold);
        Some(HoldId(entries.holds.len() - 1))
    }

    pub(super) fn prolong_hold(&self, id: HoldId, until: Instant) {
        let hold = &mut self.entries().holds[id.0];
        hold.until = hold.until.max(until);
    }

    pub(super) fn end_hold(&self, id: HoldId, at: Instant) {
        let hold = &mut self.entries().holds[id.0];
        hold.until = hold.until.min(at);
    }

    pub(super) fn begin_run(&self, run: Run) -> Option<RunId> {
        let mut entries = self.entries();
        if entries.runs.len() >= ENTRIES_MAX {
            entries.lost += 1;
            return None;
        }
        entries.runs.push(run);
        Some(RunId(entries.runs.len() - 1))
    }

    pub(super) fn end_run(&self, id: RunId, outcome: Outcome, at: Instant) {
        let run = &mut self.entries().runs[id.0];
        if run.outcome == Outcome::Running {
            run.outcome = outcome;
            run.end = Some(at);
        }
    }

    pub(super) fn freeze(&self, server: &UpstreamName, from: Instant) {
        self.add_frozen(Frozen {
            server: server.clone(),
            from,
            until: None,
        });
    }

    pub(super) fn wake(&self, server: &UpstreamName, at: Instant) {
        for frozen in &mut self.entries().frozen {
            if frozen.server == *server && frozen.until.is_none() {
                frozen.until = Some(at);
            }
        }
    }

    fn entries(&self) -> MutexGuard<'_, Entries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Entries {
    /// The parts of a hold before `until` in which its server was not frozen.
    /// Until when a run did something; a frozen server does nothing, and a run that it finds
    /// cancelled when it wakes goes no further.
    fn worked_until(&self, run: &Run, now: Instant) -> Instant {
        let end = run.end.unwrap_or(now);
        if run.outcome != Outcome::Cancelled {
            return end;
        }
        let frozen = self
            .frozen
            .iter()
            .filter(|frozen| frozen.server == run.server);
        let inside = frozen.filter(|frozen| run.start <= frozen.from && frozen.from < end);
        inside.map(|frozen| frozen.from).min().unwrap_or(end)
    }

    fn awake_pieces<'a>(&self, hold: &'a Hold, until: Instant) -> Vec<Span<'a>> {
        let mut pieces = Vec::new();
        let mut from = hold.from;
        let end = hold.until.min(until);
        let frozen = self
            .frozen
            .iter()
            .filter(|frozen| frozen.server == hold.server);
        for pause in frozen {
            if pause.from > from && pause.from < end {
                pieces.push(Span::new(&hold.server, from, pause.from));
            }
            if pause.from < end {
                from = from.max(pause.until.unwrap_or(end));
            }
        }
        pieces.push(Span::new(&hold.server, from, end));
        pieces.retain(|span| span.from < span.until);
        pieces
    }
}

/// A time in which a server owned something.
#[derive(Debug, Clone, Copy)]
struct Span<'a> {
    server: &'a UpstreamName,
    from: Instant,
    until: Instant,
}

impl<'a> Span<'a> {
    fn new(server: &'a UpstreamName, from: Instant, until: Instant) -> Self {
        Self {
            server,
            from,
            until,
        }
    }
}

fn overlaps_of(shard: &Shard, mut spans: Vec<Span<'_>>) -> Vec<Overlap> {
    spans.sort_by_key(|span| span.from);
    let mut overlaps = Vec::new();
    let mut open: Vec<Span<'_>> = Vec::new();
    for span in spans {
        open.retain(|earlier| earlier.until > span.from);
        for earlier in &open {
            let until = earlier.until.min(span.until);
            if earlier.server != span.server && span.from < until {
                overlaps.push(Overlap {
                    shard: shard.clone(),
                    first: earlier.server.clone(),
                    second: span.server.clone(),
                    from: span.from,
                    until,
                });
            }
        }
        open.push(span);
    }
    overlaps
}

fn gaps_of(shard: &Shard, mut spans: Vec<Span<'_>>, until: Instant) -> Vec<Gap> {
    spans.sort_by_key(|span| span.from);
    let mut gaps = Vec::new();
    let Some(mut covered) = spans.first().map(|span| span.from) else {
        return gaps;
    };
    for span in spans {
        if span.from > covered {
            gaps.push(gap(shard, covered, span.from));
        }
        covered = covered.max(span.until);
    }
    if covered < until {
        gaps.push(gap(shard, covered, until));
    }
    gaps
}

fn gap(shard: &Shard, from: Instant, until: Instant) -> Gap {
    Gap {
        shard: shard.clone(),
        from,
        until,
    }
}
