//! Requests that crash the upstreams that run them.
//!
//! An upstream that breaks a connection and is then found to have ended crashed with all requests that
//! were in flight there. One of them may be the cause, and it comes again. A request that was in flight
//! at the crash of several runs, and was never answered in between, is refused for a time. Daemons tell
//! each other through the leader, since such a request may come to any of them.

use std::time::Duration;

use crate::{Birth, UpstreamId};
use copperwell_message::HashMap;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// What makes two requests the same.
pub type Fingerprint = u64;

/// Runs of upstreams that crash with a request before it is refused.
const CRASHES: usize = 3;

/// How long a crash is remembered, and a request refused after the last one.
const LENGTH: Duration = Duration::from_secs(60);

/// Requests that are remembered, at most; beyond that, the one that ends first goes.
const REQUESTS_MAX: usize = 1_024;

/// A crash of an upstream's run with a request in flight.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The request.
    pub request: Fingerprint,
    /// The upstream.
    pub upstream: UpstreamId,
    /// The run that ended.
    pub born: Birth,
}

/// A request that is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// The request.
    pub request: Fingerprint,
    /// For how long still.
    pub left: Duration,
}

/// What a daemon has seen since it last told.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sightings {
    /// Crashes.
    pub crashes: Vec<Crash>,
    /// Requests that were under suspicion and got an answer.
    pub cleared: Vec<Fingerprint>,
}

/// Requests that are under suspicion, and those that are refused.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: HashMap<Fingerprint, Record>,
    /// What the others do not know yet.
    untold: Sightings,
}

#[derive(Debug)]
struct Record {
    runs: Vec<(UpstreamId, Birth)>,
    is_refused: bool,
    until: Instant,
}

impl Quarantine {
    /// Whether no request is under suspicion, so that none needs to be looked up.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// How long a request is refused still; `None` if it is not.
    #[must_use]
    pub fn refuses(&self, request: Fingerprint, now: Instant) -> Option<Duration> {
        let record = self.records.get(&request)?;
        let left = record.until.saturating_duration_since(now);
        (record.is_refused && !left.is_zero()).then_some(left)
    }

    /// Notes a crash that this daemon saw; tells whether the request is refused from now on.
    pub fn crash(&mut self, crash: Crash, now: Instant) -> bool {
        if self.untold.crashes.len() < REQUESTS_MAX {
            self.untold.crashes.push(crash.clone());
        }
        self.note(crash, now)
    }

    /// Notes that a request got an answer, so that it does not crash those that run it.
    pub fn clear(&mut self, request: Fingerprint) {
        if self.forget(request) && self.untold.cleared.len() < REQUESTS_MAX {
            self.untold.cleared.push(request);
        }
    }

    /// Takes what this daemon has seen since the last time, to tell the leader.
    pub fn take_untold(&mut self) -> Sightings {
        std::mem::take(&mut self.untold)
    }

    /// Takes back what could not be told.
    pub fn put_back(&mut self, sightings: Sightings) {
        let Sightings { crashes, cleared } = std::mem::replace(&mut self.untold, sightings);
        self.untold.crashes.extend(crashes);
        self.untold.cleared.extend(cleared);
    }

    /// Notes what another daemon has seen; gives the requests that are refused from now on.
    pub fn merge(&mut self, sightings: Sightings, now: Instant) -> Vec<Fingerprint> {
        for request in sightings.cleared {
            self.forget(request);
        }
        let mut refused = Vec::new();
        for crash in sightings.crashes {
            let request = crash.request;
            if self.note(crash, now) {
                refused.push(request);
            }
        }
        refused
    }

    /// The requests that are refused, for other daemons.
    #[must_use]
    pub fn refused(&self, now: Instant) -> Vec<Refused> {
        let requests = self.records.keys();
        let refused = requests.filter_map(|request| {
            let left = self.refuses(*request, now)?;
            Some(Refused {
                request: *request,
                left,
            })
        });
        refused.collect()
    }

    /// Refuses what another daemon refuses.
    pub fn adopt(&mut self, refused: &[Refused], now: Instant) {
        for one in refused {
            let record = self.record(one.request, now);
            record.is_refused = true;
            record.until = record.until.max(now + one.left.min(LENGTH));
        }
    }

    /// Forgets what is over.
    pub fn tidy(&mut self, now: Instant) {
        self.records.retain(|_, record| now < record.until);
    }

    fn note(&mut self, crash: Crash, now: Instant) -> bool {
        let record = self.record(crash.request, now);
        record.until = now + LENGTH;
        let run = (crash.upstream, crash.born);
        if !record.runs.contains(&run) {
            record.runs.push(run);
        }
        let is_new = !record.is_refused && record.runs.len() >= CRASHES;
        record.is_refused |= is_new;
        is_new
    }

    /// Forgets a request that is under suspicion and not refused; `false` if it is neither.
    fn forget(&mut self, request: Fingerprint) -> bool {
        let is_suspect = self
            .records
            .get(&request)
            .is_some_and(|one| !one.is_refused);
        if is_suspect {
            self.records.remove(&request);
        }
        is_suspect
    }

    fn record(&mut self, request: Fingerprint, now: Instant) -> &mut Record {
        if self.records.len() >= REQUESTS_MAX && !self.records.contains_key(&request) {
            self.make_room(now);
        }
        self.records.entry(request).or_insert_with(|| Record {
            runs: Vec::new(),
            is_refused: false,
            until: now + LENGTH,
        })
    }

    fn make_room(&mut self, now: Instant) {
        self.tidy(now);
        let records = self.records.iter();
        let first = records.min_by_key(|(_, record)| (record.is_refused, record.until));
        if let Some(first) = first.map(|(request, _)| *request)
            && self.records.len() >= REQUESTS_MAX
        {
            self.records.remove(&first);
        }
    }
}
