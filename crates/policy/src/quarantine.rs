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

#[derive(Debug, Clone, Copy)]
struct Entry {
    convicted: bool,
    expires: Instant,
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
