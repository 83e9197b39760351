//! A record of what the stand-in servers held and ran, as reported by the servers themselves.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use copperwell_keyspace::{
    Epoch, HashMap, Incarnation, ServiceName, ShardIndex, UpstreamName, manifest::Fencing,
};
use tokio::time::Instant;

/// The highest number of holds and of runs that are kept; further ones are only counted.
const ENTRIES_MAX: usize = 8_000_000;

/// A record of what all stand-ins of a test held and ran; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Record {
    entries: Arc<Mutex<Entries>>,
}

#[derive(Debug, Default)]
struct Entries {
    holds: Vec<Hold>,
    runs: Vec<Run>,
    freezes: Vec<Freeze>,
    dropped: u64,
}

/// A shard of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Shard {
    /// The service.
    pub service: ServiceName,
    /// The shard's index.
    pub index: ShardIndex,
}

/// A period in which a server held a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hold {
    /// The server.
    pub server: UpstreamName,
    /// The incarnation of the server's run.
    pub incarnation: Incarnation,
    /// Whether the server checks fencing.
    pub fencing: Fencing,
    /// The shard.
    pub shard: Shard,
    /// The start of the period.
    pub from: Instant,
    /// The end of the period: the expiry of the last grant or renewal, or an earlier release or
    /// stop.
    pub until: Instant,
}

/// A request that a server ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// The server.
    pub server: UpstreamName,
    /// The incarnation of the server's run.
    pub incarnation: Incarnation,
    /// The shard.
    pub shard: Shard,
    /// The key.
    pub key: String,
    /// The request's ID.
    pub request: String,
    /// The idempotency key, if the request is not repeatable.
    pub idempotency: Option<String>,
    /// The epoch under which the request was sent.
    pub epoch: Epoch,
    /// A hash of the request's body.
    pub digest: u64,
    /// When the run started.
    pub start: Instant,
    /// When the run ended; `None` while it is running.
    pub end: Option<Instant>,
    /// How the run ended.
    pub outcome: Outcome,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It has not ended.
    Running,
    /// It took effect.
    Done,
    /// The lease of its shard ended before it took effect, so it was undone.
    Undone,
    /// Its caller disconnected, so it stopped before the end.
    Cancelled,
    /// The server stopped or crashed while it was running.
    Crashed,
}

/// A period in which a server was frozen and answered nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Freeze {
    /// The server.
    pub server: UpstreamName,
    /// The start of the period.
    pub from: Instant,
    /// The end of the period; `None` while the server is frozen.
    pub until: Option<Instant>,
}

/// A period in which two servers owned the same shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Overlap {
    /// The shard.
    pub shard: Shard,
    /// The server that owned the shard first.
    pub first: UpstreamName,
    /// The server that owned it as well.
    pub second: UpstreamName,
    /// The start of the period.
    pub from: Instant,
    /// The end of the period.
    pub until: Instant,
}

/// A period in which a shard had no owner that could answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Gap {
    /// The shard.
    pub shard: Shard,
    /// The start of the period.
    pub from: Instant,
    /// The end of the period.
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
    /// When the new owner's hold began.
    pub at: Instant,
}

/// The index of a hold in the record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct HoldId(usize);

/// The index of a run in the record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RunId(usize);

impl Record {
    /// Creates an empty record.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns all holds in the order in which they began.
    #[must_use]
    pub fn holds(&self) -> Vec<Hold> {
        self.entries().holds.clone()
    }

    /// Returns all runs in the order in which they began.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.entries().runs.clone()
    }

    /// Returns the number of holds and runs that were dropped because the record was full.
    ///
    /// Checks over the record are only complete if it is zero.
    #[must_use]
    pub fn lost(&self) -> u64 {
        self.entries().dropped
    }

    /// Returns the periods in which two different servers owned the same shard.
    ///
    /// A server that checks fencing owns the shards that it holds. Any server owns the shard of a
    /// request while it runs it. If a frozen server cancels the request when it wakes, because the
    /// caller has disconnected, the run counts only up to the freeze.
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
                let span = Span::new(&run.server, run.start, entries.active_until(run, now));
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

    /// Returns the idempotency keys that ran more than once, not counting runs that were undone.
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
        let repeated = counts.into_iter().filter(|(_, count)| *count > 1);
        let mut keys: Vec<String> = repeated.map(|(key, _)| key.to_owned()).collect();
        keys.sort_unstable();
        keys
    }

    /// Returns how often a request with this idempotency key or ID ran, not counting runs that were
    /// undone.
    #[must_use]
    pub fn times_run(&self, id: &str) -> usize {
        let entries = self.entries();
        let runs = entries.runs.iter().filter(|run| {
            run.outcome != Outcome::Undone
                && (run.request == id || run.idempotency.as_deref() == Some(id))
        });
        runs.count()
    }

    /// Returns the periods between a shard's first hold and `until` in which no owner could answer.
    #[must_use]
    pub fn unavailable(&self, until: Instant) -> Vec<Gap> {
        let entries = self.entries();
        let mut spans: HashMap<&Shard, Vec<Span<'_>>> = HashMap::default();
        for hold in &entries.holds {
            let unfrozen = entries.unfrozen_spans(hold, until);
            spans.entry(&hold.shard).or_default().extend(unfrozen);
        }
        let mut gaps: Vec<Gap> = spans
            .into_iter()
            .flat_map(|(shard, spans)| gaps_of(shard, spans, until))
            .collect();
        gaps.sort_by_key(|gap| gap.from);
        gaps
    }

    /// Returns the changes of a shard's owner from one server to another.
    #[must_use]
    pub fn moves(&self) -> Vec<Move> {
        let entries = self.entries();
        let mut owners: HashMap<&Shard, &UpstreamName> = HashMap::default();
        let mut moves = Vec::new();
        for hold in &entries.holds {
            let previous = owners.insert(&hold.shard, &hold.server);
            if let Some(from) = previous
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

    /// Adds a hold, for example of a server that is not a stand-in.
    pub fn add_hold(&self, hold: Hold) {
        self.begin_hold(hold);
    }

    /// Adds a run, for example of a server that is not a stand-in.
    pub fn add_run(&self, run: Run) {
        self.begin_run(run);
    }

    /// Adds a period in which a server was frozen.
    pub fn add_freeze(&self, freeze: Freeze) {
        self.entries().freezes.push(freeze);
    }

    pub(super) fn begin_hold(&self, hold: Hold) -> Option<HoldId> {
        let mut entries = self.entries();
        if entries.holds.len() >= ENTRIES_MAX {
            entries.dropped += 1;
            return None;
        }
        entries.holds.push(hold);
        Some(HoldId(entries.holds.len() - 1))
    }

    pub(super) fn extend_hold(&self, id: HoldId, until: Instant) {
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
            entries.dropped += 1;
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
        self.add_freeze(Freeze {
            server: server.clone(),
            from,
            until: None,
        });
    }

    pub(super) fn unfreeze(&self, server: &UpstreamName, at: Instant) {
        for freeze in &mut self.entries().freezes {
            if freeze.server == *server && freeze.until.is_none() {
                freeze.until = Some(at);
            }
        }
    }

    fn entries(&self) -> MutexGuard<'_, Entries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Entries {
    /// Returns when a run last had an effect.
    ///
    /// A frozen server does nothing, and drops a run that it finds cancelled when it wakes.
    fn active_until(&self, run: &Run, now: Instant) -> Instant {
        let end = run.end.unwrap_or(now);
        if run.outcome != Outcome::Cancelled {
            return end;
        }
        let freezes = self
            .freezes
            .iter()
            .filter(|freeze| freeze.server == run.server);
        let during_run = freezes.filter(|freeze| run.start <= freeze.from && freeze.from < end);
        during_run.map(|freeze| freeze.from).min().unwrap_or(end)
    }

    /// Returns the parts of a hold before `until` in which its server was not frozen.
    fn unfrozen_spans<'a>(&self, hold: &'a Hold, until: Instant) -> Vec<Span<'a>> {
        let mut unfrozen = Vec::new();
        let mut from = hold.from;
        let end = hold.until.min(until);
        let freezes = self
            .freezes
            .iter()
            .filter(|freeze| freeze.server == hold.server);
        for freeze in freezes {
            if freeze.from > from && freeze.from < end {
                unfrozen.push(Span::new(&hold.server, from, freeze.from));
            }
            if freeze.from < end {
                from = from.max(freeze.until.unwrap_or(end));
            }
        }
        unfrozen.push(Span::new(&hold.server, from, end));
        unfrozen.retain(|span| span.from < span.until);
        unfrozen
    }
}

/// A period in which a server owned a shard.
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
    let mut active: Vec<Span<'_>> = Vec::new();
    for span in spans {
        active.retain(|earlier| earlier.until > span.from);
        for earlier in &active {
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
        active.push(span);
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
