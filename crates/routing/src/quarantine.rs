//! Quarantine of requests that crash upstreams.
//!
//! If an upstream ends while requests are in flight there, one of them may be the cause, and its caller may
//! send it again. A request is refused for a time if it ran, one time after another, when three incarnations
//! ended, was not answered in between, and no other request ran at all of these crashes. What merely ran
//! beside it is answered once it runs elsewhere, or is explained by the one that is refused. If several
//! requests ran at all of the crashes, one more crash decides: the one that ended its upstreams soonest after
//! its send is refused. If none did, as upstreams fell silent, another crash is waited for.
//!
//! Daemons share what they observe through the leader, since such a request may reach any of them. All of it
//! can be merged in any order and more than once. A daemon that follows a leader leaves the decision to it,
//! as it has seen only a part of what ran at a crash.

mod record;

use std::time::Duration;

use self::record::Record;
use crate::{Incarnation, UpstreamId};
use copperwell_message::HashMap;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// A hash that is the same for equal requests.
pub type Fingerprint = u64;

/// The number of successive crashes after which a request is refused.
const CRASH_THRESHOLD: usize = 3;

/// The number of successive crashes after which a request on probation is refused again.
const CRASH_THRESHOLD_ON_PROBATION: usize = 1;

/// How many more crashes it takes if another request ran at all of them.
const CRASHES_TO_TELL_APART: usize = 1;

/// How many more crashes it takes if nothing tells the two apart.
const CRASHES_TO_DECIDE: usize = 2;

/// The number of crashes from which a request is kept apart from others like it.
const CRASHES_TO_KEEP_APART: usize = 2;

/// How long a crash is known before it counts, so that all daemons can report what else ran at it.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// How far the times of two daemons may differ, from the transit of their reports.
const TIME_TOLERANCE: Duration = Duration::from_millis(20);

/// How long a request is refused for the first time.
const QUARANTINE_TIME: Duration = Duration::from_secs(60);

/// The longest time for which a request is refused at once.
const QUARANTINE_TIME_MAX: Duration = Duration::from_mins(10);

/// How long crashes and refusals are remembered.
const PROBATION: Duration = Duration::from_mins(10);

/// How long a daemon leaves decisions to a leader that it does not hear of.
const FOLLOW_TIME: Duration = Duration::from_millis(1_500);

/// The most requests that are tracked.
const REQUESTS_MAX: usize = 1_024;

/// The most requests in one report to the leader.
const REPORTED_MAX: usize = 128;

/// The most requests in one message to all daemons.
const SHARED_MAX: usize = 32;

/// A run of a request that ended with its upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashedRun {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The incarnation that ended.
    pub born: Incarnation,
    /// When the request was sent.
    pub sent_at: Instant,
    /// When its connection was lost; `None` if nothing shows when the upstream ended.
    pub lost_at: Option<Instant>,
}

/// A [`CrashedRun`] in the form in which daemons exchange it, with ages for times.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The incarnation that ended.
    pub born: Incarnation,
    /// How long ago the request was sent.
    pub sent: Duration,
    /// How long ago its connection was lost; `None` if nothing shows when the upstream ended.
    pub lost: Option<Duration>,
}

/// What a daemon knows of a request, for other daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The request.
    pub request: Fingerprint,
    /// Its crashed runs since it was last answered or refused.
    pub crashes: Vec<Crash>,
    /// The crashes that it caused before it was refused.
    pub explains: Vec<Crash>,
    /// How long ago it was last answered, if that matters.
    pub answered: Option<Duration>,
    /// How often it has been refused for a time.
    pub refusals: u32,
    /// How much longer it is refused; `None` if it is not.
    pub left: Option<Duration>,
}

/// How a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Like any other request.
    Free,
    /// Not beside another request that is to be kept apart.
    Apart,
    /// Not at all for this time.
    Refused(Duration),
}

/// The suspected and refused requests.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: HashMap<Fingerprint, Record>,
    /// Changes with each change of what other daemons have to know.
    version: u64,
    /// Until when the decisions of a leader are waited for.
    following_until: Option<Instant>,
}

impl CrashedRun {
    /// Returns whether two runs ended with the same crash.
    ///
    /// If an upstream is back before the list of upstreams shows it, several crashes have the same incarnation;
    /// what was in flight there at the same time ended with the same one.
    fn is_at_same(&self, other: &Self) -> bool {
        let was_sent_in_time = |run: &Self, lost_at: Option<Instant>| {
            lost_at.is_none_or(|lost_at| run.sent_at <= lost_at + TIME_TOLERANCE)
        };
        self.upstream == other.upstream
            && self.born == other.born
            && was_sent_in_time(self, other.lost_at)
            && was_sent_in_time(other, self.lost_at)
    }

    /// Returns when the run ended, as far as that is known.
    fn ended_at(&self) -> Instant {
        self.lost_at.unwrap_or(self.sent_at)
    }

    fn to_crash(&self, now: Instant) -> Crash {
        let age = |at: Instant| now.saturating_duration_since(at);
        Crash {
            upstream: self.upstream.clone(),
            born: self.born,
            sent: age(self.sent_at),
            lost: self.lost_at.map(age),
        }
    }
}

impl Crash {
    fn to_run(&self, now: Instant) -> CrashedRun {
        let time = |age| now.checked_sub(age).unwrap_or(now);
        CrashedRun {
            upstream: self.upstream.clone(),
            born: self.born,
            sent_at: time(self.sent),
            lost_at: self.lost.map(time),
        }
    }
}

impl Quarantine {
    /// Returns whether nothing is known of any request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns a number that changes with what other daemons have to know.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns how a request may run now.
    #[must_use]
    pub fn admit(&self, request: Fingerprint, now: Instant) -> Admission {
        let Some(record) = self.records.get(&request) else {
            return Admission::Free;
        };
        match record.refused_for(now) {
            Some(left) => Admission::Refused(left),
            None if record.crashes() >= CRASHES_TO_KEEP_APART || record.is_on_probation(now) => {
                Admission::Apart
            }
            None => Admission::Free,
        }
    }

    /// Returns whether a request ran at a crash and was not answered since.
    #[must_use]
    pub fn is_suspect(&self, request: Fingerprint) -> bool {
        let record = self.records.get(&request);
        record.is_some_and(|record| record.crashes() > 0)
    }

    /// Records a crash that this daemon observed; returns whether it is news.
    pub fn record_crash(&mut self, request: Fingerprint, run: CrashedRun, now: Instant) -> bool {
        let is_new = self.add_run(request, run, now);
        if is_new && let Some(record) = self.records.get_mut(&request) {
            record.record_observation();
        }
        is_new
    }

    /// Records a complete answer, which shows that a request does not crash upstreams; returns whether it was
    /// suspected.
    pub fn record_answer(&mut self, request: Fingerprint, now: Instant) -> bool {
        let Some(record) = self.records.get_mut(&request) else {
            return false;
        };
        let is_cleared = record.record_answer(now, now);
        if is_cleared {
            record.record_observation();
            self.version += u64::from(record.is_shared());
        }
        is_cleared
    }

    /// Decides which requests are refused from now on, and returns them.
    pub fn decide(&mut self, now: Instant) -> Vec<Fingerprint> {
        let mut refused = Vec::new();
        if self.following_until.is_some_and(|until| now < until) {
            return refused;
        }
        while let Some(request) = self.next_culprit(now) {
            self.refuse(request, now);
            refused.push(request);
        }
        refused
    }

    /// Takes what this daemon has observed since the last call, to report it to the leader.
    pub fn take_unreported(&mut self, now: Instant) -> Vec<Entry> {
        let records = self.records.iter_mut();
        let unreported = records.filter(|(_, record)| record.is_unreported());
        let entries = unreported.take(REPORTED_MAX).map(|(request, record)| {
            record.set_reported();
            record.entry(*request, now)
        });
        entries.collect()
    }

    /// Reports again what this daemon has observed, as a report was lost or the leader is a new one.
    pub fn report_again(&mut self) {
        for record in self.records.values_mut() {
            record.report_again();
        }
    }

    /// Returns the requests that all daemons have to know of.
    #[must_use]
    pub fn shared(&self, now: Instant) -> Vec<Entry> {
        let records = self.records.iter();
        let mut shared: Vec<_> = records.filter(|(_, record)| record.is_shared()).collect();
        shared.sort_by_key(|(_, record)| std::cmp::Reverse(record.worth()));
        let shared = shared.into_iter().take(SHARED_MAX);
        shared
            .map(|(request, record)| record.entry(*request, now))
            .collect()
    }

    /// Takes over what another daemon knows.
    pub fn merge(&mut self, entries: &[Entry], now: Instant) {
        for entry in entries {
            let record = self.record_of(entry.request, now);
            let is_news = record.merge(entry, now) && record.is_shared();
            self.version += u64::from(is_news);
            let explained: Vec<_> = entry.explains.iter().map(|run| run.to_run(now)).collect();
            self.remove_explained(entry.request, &explained);
            for crash in &entry.crashes {
                self.add_run(entry.request, crash.to_run(now), now);
            }
        }
    }

    /// Leaves decisions to a leader that this daemon has just heard of.
    pub fn follow(&mut self, now: Instant) {
        self.following_until = Some(now + FOLLOW_TIME);
    }

    /// Takes decisions without waiting for a leader.
    pub fn lead(&mut self) {
        self.following_until = None;
    }

    /// Forgets what has expired.
    pub fn remove_expired(&mut self, now: Instant) {
        self.records.retain(|_, record| !record.has_expired(now));
    }

    /// Returns a request that is to be refused; `None` if there is none.
    fn next_culprit(&self, now: Instant) -> Option<Fingerprint> {
        let settled_before = now.checked_sub(SETTLE_TIME)?;
        let mut suspects = self
            .records
            .iter()
            .filter(|(_, record)| record.crashes() > 0 && record.refused_for(now).is_none());
        let culprit = suspects.find(|(request, record)| {
            let threshold = if record.is_on_probation(now) {
                CRASH_THRESHOLD_ON_PROBATION
            } else {
                CRASH_THRESHOLD
            };
            let crashes = record.successive_crashes(settled_before);
            if crashes < threshold {
                return false;
            }
            let mut rivals = self.rivals(**request, record);
            if crashes < threshold + CRASHES_TO_TELL_APART {
                return rivals.next().is_none();
            }
            let must_decide = crashes >= threshold + CRASHES_TO_DECIDE;
            rivals
                .filter(|rival| rival.successive_crashes(now) >= crashes)
                .all(|rival| record.is_likelier_than(rival, must_decide))
        });
        culprit.map(|(request, _)| *request)
    }

    /// Iterates over the other requests that ran at every crash at which `record` ran.
    fn rivals<'a>(
        &'a self,
        request: Fingerprint,
        record: &'a Record,
    ) -> impl Iterator<Item = &'a Record> {
        let others = self
            .records
            .iter()
            .filter(move |(other, _)| **other != request);
        others
            .map(|(_, other)| other)
            .filter(|other| other.covers(record))
    }

    fn refuse(&mut self, request: Fingerprint, now: Instant) {
        let Some(record) = self.records.get_mut(&request) else {
            return;
        };
        record.refuse(now);
        let explained = record.explained().to_vec();
        self.remove_explained(request, &explained);
        self.version += 1;
    }

    /// Removes crashes that `culprit` caused from the other requests.
    fn remove_explained(&mut self, culprit: Fingerprint, explained: &[CrashedRun]) {
        if explained.is_empty() {
            return;
        }
        let others = self
            .records
            .iter_mut()
            .filter(|(request, _)| **request != culprit);
        for (_, record) in others {
            record.remove_explained(explained);
        }
    }

    fn add_run(&mut self, request: Fingerprint, run: CrashedRun, now: Instant) -> bool {
        if self.records.values().any(|record| record.explains(&run)) {
            return false;
        }
        let record = self.record_of(request, now);
        let is_new = record.add_run(run, now);
        let is_news = is_new && record.is_shared();
        self.version += u64::from(is_news);
        is_new
    }

    fn record_of(&mut self, request: Fingerprint, now: Instant) -> &mut Record {
        if self.records.len() >= REQUESTS_MAX && !self.records.contains_key(&request) {
            self.evict(now);
        }
        self.records
            .entry(request)
            .or_insert_with(|| Record::new(now))
    }

    fn evict(&mut self, now: Instant) {
        self.remove_expired(now);
        if self.records.len() < REQUESTS_MAX {
            return;
        }
        let records = self.records.iter();
        let least = records.min_by_key(|(_, record)| record.worth());
        if let Some(least) = least.map(|(request, _)| *request) {
            self.records.remove(&least);
        }
    }
}
