//! Quarantine of requests that crash the servers that run them.
//!
//! When a server crashes, each request in flight on it becomes a suspect, identified by its
//! fingerprint. The next attempt of a suspect runs without other requests beside it: if it is
//! answered, the suspect is cleared, and if the server crashes again, it is convicted and refused
//! for a limited time. So a request that merely ran beside a crashing one is never convicted.

use std::time::Duration;

use copperwell_keyspace::{HashMap, Incarnation};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Maximum number of fingerprints; beyond it, suspects are evicted before convictions, and among
/// them the one that expires first.
pub const FINGERPRINTS_MAX: usize = 1024;

/// Maximum number of convictions in one exchange between leaders.
pub const CONVICTIONS_MAX: usize = 256;

/// Maximum time between a lost connection and the evidence that the server crashed.
const EVIDENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of lost requests of one upstream that wait for evidence of a crash.
const LOST_MAX: usize = 256;

/// How a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Like any other request.
    Free,
    /// Only while no other request runs on its upstream.
    Exclusive,
    /// Not at all, for a limited time.
    Refused {
        /// Time until the refusal expires.
        remaining: Duration,
    },
}

/// A request that was in flight on a server when its connection was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suspect {
    /// The fingerprint, equal for requests that count as the same; zero if unknown.
    pub fingerprint: u64,
    /// Whether it ran without other requests beside it.
    pub is_exclusive: bool,
    /// The incarnation of the server that it was sent to.
    pub incarnation: Incarnation,
}

/// A conviction in the form in which the leaders of a service exchange it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conviction {
    /// The fingerprint of the request.
    pub fingerprint: u64,
    /// Time until the conviction expires.
    pub remaining: Duration,
}

/// The fingerprints of suspects and of convicted requests.
#[derive(Debug, Default)]
pub struct Quarantine {
    entries: HashMap<u64, Entry>,
}

/// The requests of one upstream whose connections were lost, until there is evidence of a crash or
/// the time for it is over.
#[derive(Debug, Default)]
pub struct LostRequests {
    lost: Vec<LostRequest>,
    last_crash: Option<Crash>,
    /// Lost requests that were forgotten without evidence since the last call of
    /// [`LostRequests::take_unproved`].
    unproved: usize,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    convicted: bool,
    expires: Instant,
}

#[derive(Debug, Clone, Copy)]
struct LostRequest {
    suspect: Suspect,
    at: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Crash {
    incarnation: Incarnation,
    at: Instant,
}

impl Quarantine {
    /// Creates a quarantine without suspects.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how a request may run now.
    #[must_use]
    pub fn admit(&self, now: Instant, fingerprint: u64) -> Admission {
        match self.entries.get(&fingerprint) {
            Some(entry) if now >= entry.expires => Admission::Free,
            Some(entry) if entry.convicted => Admission::Refused {
                remaining: entry.expires - now,
            },
            Some(_) => Admission::Exclusive,
            None => Admission::Free,
        }
    }

    /// Records a crash for a suspect, for `length`; returns whether it is convicted now.
    pub fn crash(&mut self, now: Instant, suspect: Suspect, length: Duration) -> bool {
        if suspect.fingerprint == 0 {
            return false;
        }
        let is_known = self.admit(now, suspect.fingerprint) != Admission::Free;
        let convicted = is_known && suspect.is_exclusive;
        let entry = Entry {
            convicted,
            expires: now + length,
        };
        self.insert(now, suspect.fingerprint, entry);
        convicted
    }

    /// Clears a suspect that ran without other requests beside it and was answered.
    pub fn clear(&mut self, now: Instant, fingerprint: u64) {
        if self.admit(now, fingerprint) == Admission::Exclusive {
            self.entries.remove(&fingerprint);
        }
    }

    /// Returns the convictions that have not expired.
    #[must_use]
    pub fn export(&self, now: Instant) -> Vec<Conviction> {
        let convictions = self.entries.iter().filter_map(|(fingerprint, entry)| {
            let in_force = entry.convicted && now < entry.expires;
            in_force.then(|| Conviction {
                fingerprint: *fingerprint,
                remaining: entry.expires - now,
            })
        });
        convictions.take(CONVICTIONS_MAX).collect()
    }

    /// Adopts the convictions of another leader, each for at most `length`.
    pub fn import(&mut self, now: Instant, convictions: &[Conviction], length: Duration) {
        for conviction in convictions.iter().take(CONVICTIONS_MAX) {
            let entry = Entry {
                convicted: true,
                expires: now + conviction.remaining.min(length),
            };
            self.insert(now, conviction.fingerprint, entry);
        }
    }

    fn insert(&mut self, now: Instant, fingerprint: u64, entry: Entry) {
        if let Some(known) = self.entries.get_mut(&fingerprint)
            && now < known.expires
        {
            known.convicted |= entry.convicted;
            known.expires = known.expires.max(entry.expires);
            return;
        }
        if self.entries.len() >= FINGERPRINTS_MAX {
            self.evict(now);
        }
        self.entries.insert(fingerprint, entry);
    }

    fn evict(&mut self, now: Instant) {
        self.entries.retain(|_, entry| now < entry.expires);
        if self.entries.len() < FINGERPRINTS_MAX {
            return;
        }
        let evicted = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| (entry.convicted, entry.expires))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(evicted) = evicted {
            self.entries.remove(&evicted);
        }
    }
}

impl LostRequests {
    /// Creates an instance without lost requests.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the connection of a request was lost; returns the suspects of a proved crash.
    pub fn record_lost_connection(&mut self, now: Instant, suspect: Suspect) -> Vec<Suspect> {
        self.expire(now);
        let is_proved = self.last_crash.is_some_and(|crash| {
            crash.incarnation == suspect.incarnation && now < crash.at + EVIDENCE_TIMEOUT
        });
        if is_proved {
            return vec![suspect];
        }
        if self.lost.len() < LOST_MAX {
            self.lost.push(LostRequest { suspect, at: now });
        }
        Vec::new()
    }

    /// Records a refused connection, which proves that the last known incarnation has ended;
    /// returns the suspects of the crash.
    pub fn record_refused_connection(
        &mut self,
        now: Instant,
        incarnation: Incarnation,
    ) -> Vec<Suspect> {
        self.prove_crash(now, |suspect| suspect.incarnation == incarnation)
    }

    /// Records that the server runs as `incarnation`, which proves that earlier ones have ended;
    /// returns the suspects of the crash.
    pub fn record_incarnation(&mut self, now: Instant, incarnation: Incarnation) -> Vec<Suspect> {
        if self.lost.is_empty() {
            return Vec::new();
        }
        self.prove_crash(now, |suspect| suspect.incarnation < incarnation)
    }

    fn prove_crash(
        &mut self,
        now: Instant,
        has_crashed: impl Fn(&Suspect) -> bool,
    ) -> Vec<Suspect> {
        self.expire(now);
        let suspects: Vec<Suspect> = self
            .lost
            .extract_if(.., |lost_request| has_crashed(&lost_request.suspect))
            .map(|lost_request| lost_request.suspect)
            .collect();
        if let Some(suspect) = suspects.first() {
            self.last_crash = Some(Crash {
                incarnation: suspect.incarnation,
                at: now,
            });
        }
        suspects
    }

    /// Returns how many lost requests were forgotten without evidence of a crash since the last call.
    pub fn take_unproved(&mut self, now: Instant) -> usize {
        self.expire(now);
        std::mem::take(&mut self.unproved)
    }

    fn expire(&mut self, now: Instant) {
        let before = self.lost.len();
        self.lost
            .retain(|lost_request| now < lost_request.at + EVIDENCE_TIMEOUT);
        self.unproved += before - self.lost.len();
    }
}
