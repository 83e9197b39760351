//! What is known of one request.

use std::{cmp::Ordering, time::Duration};

use super::{CrashedRun, Entry, PROBATION, QUARANTINE_TIME, QUARANTINE_TIME_MAX, TIME_TOLERANCE};
use tokio::time::Instant;

/// The most runs that are kept of one request.
const RUNS_MAX: usize = 16;

/// How long an answer is remembered: as long as an earlier run may still turn out to be a crash.
const ANSWER_TIME: Duration = Duration::from_secs(10);

/// The runs of a request that ended with their upstream, its answers and its refusals.
#[derive(Debug)]
pub(super) struct Record {
    /// The runs since the last answer and the last refusal.
    runs: Vec<Run>,
    /// The runs until the request was refused, whose crashes it caused.
    explained: Vec<CrashedRun>,
    answered_at: Option<Instant>,
    /// How often the request has been refused for a time.
    refusals: u32,
    refused_until: Option<Instant>,
    updated_at: Instant,
    /// Whether this daemon has observed any of this itself.
    is_own: bool,
    /// Whether this daemon has reported all that it observed.
    is_reported: bool,
    /// Whether other daemons know of the request.
    is_shared: bool,
}

#[derive(Debug)]
struct Run {
    run: CrashedRun,
    /// When this daemon learned of the crash.
    known_at: Instant,
}

impl Record {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            runs: Vec::new(),
            explained: Vec::new(),
            answered_at: None,
            refusals: 0,
            refused_until: None,
            updated_at: now,
            is_own: false,
            is_reported: true,
            is_shared: false,
        }
    }

    pub(super) fn refused_for(&self, now: Instant) -> Option<Duration> {
        let left = self.refused_until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns whether the request is on probation: it was refused and may run again.
    pub(super) fn is_on_probation(&self, now: Instant) -> bool {
        self.refusals > 0 && self.refused_for(now).is_none()
    }

    /// Returns the number of crashed runs.
    pub(super) fn crashes(&self) -> usize {
        self.runs.len()
    }

    /// Returns whether the request ran at the crash with which a run ended.
    fn has_run_at(&self, run: &CrashedRun) -> bool {
        self.runs.iter().any(|other| other.run.is_at_same(run))
    }

    /// Returns whether the request ran at every crash at which `other` ran.
    pub(super) fn covers(&self, other: &Self) -> bool {
        other.runs.iter().all(|run| self.has_run_at(&run.run))
    }

    /// Returns the number of crashes that followed each other and were known at `known_before`.
    ///
    /// Runs that overlap count once: one event may end several upstreams.
    pub(super) fn successive_crashes(&self, known_before: Instant) -> usize {
        let known = self.runs.iter().filter(|run| run.known_at <= known_before);
        let mut runs: Vec<&CrashedRun> = known.map(|run| &run.run).collect();
        runs.sort_by_key(|run| run.ended_at());
        let mut last_end: Option<Instant> = None;
        let mut count = 0;
        for run in runs {
            if last_end.is_none_or(|end| run.sent_at + TIME_TOLERANCE >= end) {
                count += 1;
                last_end = Some(run.ended_at());
            }
        }
        count
    }

    /// Returns whether the request is likelier to have caused its crashes than one that ran at all of them; if
    /// nothing tells them apart, `otherwise`.
    pub(super) fn is_likelier_than(&self, rival: &Self, otherwise: bool) -> bool {
        match self.crashes().cmp(&rival.crashes()) {
            Ordering::Greater => true,
            Ordering::Less => false,
            // An upstream crashes when it begins to run the culprit.
            Ordering::Equal => match self.mean_run_time().cmp(&rival.mean_run_time()) {
                Ordering::Less => true,
                Ordering::Equal => otherwise,
                Ordering::Greater => false,
            },
        }
    }

    /// Returns the mean time from a send to the crash.
    fn mean_run_time(&self) -> Duration {
        let times = self
            .runs
            .iter()
            .map(|run| run.run.ended_at() - run.run.sent_at);
        let count = u32::try_from(self.runs.len()).unwrap_or(u32::MAX);
        times.sum::<Duration>() / count.max(1)
    }

    /// Adds a crashed run, unless it is known or an answer has refuted it; returns whether it was added.
    pub(super) fn add_run(&mut self, run: CrashedRun, now: Instant) -> bool {
        let is_refuted = self.answered_at.is_some_and(|at| run.sent_at <= at);
        let is_known = self.has_run_at(&run) || self.explains(&run);
        if is_refuted || is_known || self.runs.len() >= RUNS_MAX {
            return false;
        }
        self.updated_at = now;
        self.runs.push(Run { run, known_at: now });
        self.is_shared |= self.runs.len() > 1;
        true
    }

    /// Records an answer, which clears the request unless it is refused; returns whether it did.
    pub(super) fn record_answer(&mut self, answered_at: Instant, now: Instant) -> bool {
        let is_known = self.answered_at.is_some_and(|at| answered_at <= at);
        if is_known || self.refused_for(now).is_some() {
            return false;
        }
        self.answered_at = Some(answered_at);
        let runs = self.runs.len();
        self.runs.retain(|run| run.run.sent_at > answered_at);
        let was_on_probation = std::mem::take(&mut self.refusals) > 0;
        self.updated_at = now;
        was_on_probation || self.runs.len() < runs
    }

    /// Refuses the request, each time for twice as long as the time before.
    pub(super) fn refuse(&mut self, now: Instant) {
        let factor = 1_u32.checked_shl(self.refusals).unwrap_or(u32::MAX);
        let time = QUARANTINE_TIME.saturating_mul(factor);
        self.refusals += 1;
        self.refused_until = Some(now + time.min(QUARANTINE_TIME_MAX));
        let runs = self.runs.drain(..);
        self.explained.extend(runs.map(|run| run.run));
        let excess = self.explained.len().saturating_sub(RUNS_MAX);
        self.explained.drain(..excess);
        self.updated_at = now;
        self.record_observation();
    }

    /// Records that this daemon has observed what changed.
    pub(super) fn record_observation(&mut self) {
        self.is_own = true;
        self.is_reported = false;
    }

    /// Returns whether there is something to report to the leader.
    pub(super) fn is_unreported(&self) -> bool {
        !self.is_reported
    }

    pub(super) fn set_reported(&mut self) {
        self.is_reported = true;
    }

    /// Reports again what this daemon has observed itself.
    pub(super) fn report_again(&mut self) {
        self.is_reported &= !self.is_own;
    }

    /// Returns whether the request caused the crash with which a run ended.
    pub(super) fn explains(&self, run: &CrashedRun) -> bool {
        self.explained.iter().any(|known| known.is_at_same(run))
    }

    /// Removes the runs that ended with a crash that `culprit` caused.
    pub(super) fn remove_explained(&mut self, culprit: &[CrashedRun]) {
        self.runs
            .retain(|run| !culprit.iter().any(|known| known.is_at_same(&run.run)));
    }

    pub(super) fn explained(&self) -> &[CrashedRun] {
        &self.explained
    }

    /// Takes over what another daemon knows, but its crashed runs; returns whether it is news.
    pub(super) fn merge(&mut self, entry: &Entry, now: Instant) -> bool {
        let mut is_news = false;
        if let Some(answered_at) = entry.answered.and_then(|age| now.checked_sub(age)) {
            is_news |= self.record_answer(answered_at, now);
        }
        for crash in &entry.explains {
            let run = crash.to_run(now);
            if self.explained.len() < RUNS_MAX && !self.explains(&run) {
                self.explained.push(run);
                is_news = true;
            }
        }
        if let Some(left) = entry.left {
            let until = now + left.min(QUARANTINE_TIME_MAX);
            is_news |= self.refused_for(now).is_none();
            self.refused_until = self.refused_until.max(Some(until));
            self.refusals = self.refusals.max(entry.refusals);
            self.updated_at = now;
        } else if self.answered_at.is_none() {
            self.refusals = self.refusals.max(entry.refusals);
        }
        let own = std::mem::take(&mut self.explained);
        self.remove_explained(&own);
        self.explained = own;
        is_news
    }

    /// Returns the record for other daemons.
    pub(super) fn entry(&self, request: u64, now: Instant) -> Entry {
        let age = |at: Instant| now.saturating_duration_since(at);
        let crashes = self.runs.iter().map(|run| run.run.to_crash(now));
        let explains = self.explained.iter().map(|run| run.to_crash(now));
        Entry {
            request,
            crashes: crashes.collect(),
            explains: explains.collect(),
            answered: self.answered_at.map(age),
            refusals: self.refusals,
            left: self.refused_for(now),
        }
    }

    /// Returns whether all daemons have to know of the request: it ran at several crashes at some time.
    pub(super) fn is_shared(&self) -> bool {
        self.is_shared || self.refusals > 0
    }

    pub(super) fn has_expired(&self, now: Instant) -> bool {
        let kept_for = if self.runs.is_empty() && self.refusals == 0 {
            ANSWER_TIME
        } else {
            PROBATION
        };
        let since = self.refused_until.max(Some(self.updated_at));
        since.is_none_or(|since| now >= since + kept_for)
    }

    /// The order of eviction: what is least worth knowing comes first.
    pub(super) fn worth(&self) -> (bool, usize, Instant) {
        (self.refusals > 0, self.runs.len(), self.updated_at)
    }
}
