//! Quarantine of requests that crash upstreams.
//!
//! If a connection to an upstream is lost and the upstream is then found to have ended, it crashed while
//! requests were in flight there. One of them may be the cause, and callers may send it again. A request that
//! was in flight when several incarnations crashed, and was never answered in between, is refused for a time.
//! Daemons share their observations through the leader, since such a request may reach any of them.

use std::time::Duration;

use crate::{Incarnation, UpstreamId};
use copperwell_message::HashMap;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// A hash that is the same for equal requests.
pub type Fingerprint = u64;

/// The number of crashed incarnations after which a request is refused.
const CRASH_THRESHOLD: usize = 3;

/// How long a crash is remembered, and how long a request is refused after the last crash.
const QUARANTINE_TIME: Duration = Duration::from_secs(60);

/// The most requests that are tracked. Beyond that, suspected requests are evicted before refused ones, and
/// those that expire first before others.
const REQUESTS_MAX: usize = 1_024;

/// A crash of an upstream while a request was in flight there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The request.
    pub request: Fingerprint,
    /// The upstream.
    pub upstream: UpstreamId,
    /// The incarnation that crashed.
    pub born: Incarnation,
}

/// A refused request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// The request.
    pub request: Fingerprint,
    /// How much longer it is refused.
    pub left: Duration,
}

/// The observations of a daemon since its last report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observations {
    /// The crashes.
    pub crashes: Vec<Crash>,
    /// Requests that were suspected and then answered.
    pub cleared: Vec<Fingerprint>,
}

/// The suspected and refused requests.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: HashMap<Fingerprint, Record>,
    /// Observations that are not reported to the leader yet.
    unreported: Observations,
}

#[derive(Debug)]
struct Record {
    incarnations: Vec<(UpstreamId, Incarnation)>,
    is_refused: bool,
    expires_at: Instant,
}

impl Quarantine {
    /// Returns whether no request is suspected or refused, so that no fingerprint needs to be computed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns how much longer a request is refused; `None` if it is not.
    #[must_use]
    pub fn refused_for(&self, request: Fingerprint, now: Instant) -> Option<Duration> {
        let record = self.records.get(&request)?;
        let left = record.expires_at.saturating_duration_since(now);
        (record.is_refused && !left.is_zero()).then_some(left)
    }

    /// Records a crash that this daemon observed; returns whether the request is refused from now on.
    pub fn record_crash(&mut self, crash: Crash, now: Instant) -> bool {
        if self.unreported.crashes.len() < REQUESTS_MAX {
            self.unreported.crashes.push(crash.clone());
        }
        self.add_crash(crash, now)
    }

    /// Clears a suspected request that was answered and therefore does not crash upstreams.
    pub fn clear(&mut self, request: Fingerprint) {
        if self.remove_suspect(request) && self.unreported.cleared.len() < REQUESTS_MAX {
            self.unreported.cleared.push(request);
        }
    }

    /// Takes the observations since the last call, to report them to the leader.
    pub fn take_unreported(&mut self) -> Observations {
        std::mem::take(&mut self.unreported)
    }

    /// Puts back observations that could not be reported, for the next report.
    pub fn put_back(&mut self, observations: Observations) {
        let Observations { crashes, cleared } =
            std::mem::replace(&mut self.unreported, observations);
        self.unreported.crashes.extend(crashes);
        self.unreported.cleared.extend(cleared);
    }

    /// Merges the observations of another daemon; returns the requests that are refused from now on.
    pub fn merge(&mut self, observations: Observations, now: Instant) -> Vec<Fingerprint> {
        for request in observations.cleared {
            self.remove_suspect(request);
        }
        let mut refused = Vec::new();
        for crash in observations.crashes {
            let request = crash.request;
            if self.add_crash(crash, now) {
                refused.push(request);
            }
        }
        refused
    }

    /// Returns the refused requests, for other daemons.
    #[must_use]
    pub fn refused(&self, now: Instant) -> Vec<Refused> {
        let requests = self.records.keys();
        let refused = requests.filter_map(|request| {
            let left = self.refused_for(*request, now)?;
            Some(Refused {
                request: *request,
                left,
            })
        });
        refused.collect()
    }

    /// Refuses the requests that another daemon refuses.
    pub fn import(&mut self, refused: &[Refused], now: Instant) {
        for entry in refused {
            let record = self.record_of(entry.request, now);
            record.is_refused = true;
            record.expires_at = record.expires_at.max(now + entry.left.min(QUARANTINE_TIME));
        }
    }

    /// Removes expired requests.
    pub fn remove_expired(&mut self, now: Instant) {
        self.records.retain(|_, record| now < record.expires_at);
    }

    fn add_crash(&mut self, crash: Crash, now: Instant) -> bool {
        let record = self.record_of(crash.request, now);
        record.expires_at = now + QUARANTINE_TIME;
        let incarnation = (crash.upstream, crash.born);
        if !record.incarnations.contains(&incarnation) {
            record.incarnations.push(incarnation);
        }
        let is_new = !record.is_refused && record.incarnations.len() >= CRASH_THRESHOLD;
        record.is_refused |= is_new;
        is_new
    }

    /// Removes a request if it is suspected and not refused; returns whether it was.
    fn remove_suspect(&mut self, request: Fingerprint) -> bool {
        let is_suspect = self
            .records
            .get(&request)
            .is_some_and(|record| !record.is_refused);
        if is_suspect {
            self.records.remove(&request);
        }
        is_suspect
    }

    fn record_of(&mut self, request: Fingerprint, now: Instant) -> &mut Record {
        if self.records.len() >= REQUESTS_MAX && !self.records.contains_key(&request) {
            self.evict(now);
        }
        self.records.entry(request).or_insert_with(|| Record {
            incarnations: Vec::new(),
            is_refused: false,
            expires_at: now + QUARANTINE_TIME,
        })
    }

    fn evict(&mut self, now: Instant) {
        self.remove_expired(now);
        let records = self.records.iter();
        let first = records.min_by_key(|(_, record)| (record.is_refused, record.expires_at));
        if let Some(first) = first.map(|(request, _)| *request)
            && self.records.len() >= REQUESTS_MAX
        {
            self.records.remove(&first);
        }
    }
}
