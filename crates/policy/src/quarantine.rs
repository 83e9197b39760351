//! Requests that crash the servers that run them.
//!
//! When a server crashes, each request in flight on it is a suspect, known by its fingerprint. A
//! suspect runs alone on its next try: if it comes back it is cleared, and if the server crashes
//! again it is convicted and refused for a stated time. So a request that merely ran beside a
//! crashing one is never convicted for it.

use std::time::Duration;

use copperwell_keyspace::{HashMap, Incarnation};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// The most fingerprints that are remembered; beyond it, the one that ends first goes.
pub const MARKS_MAX: usize = 1024;

/// The most verdicts in one exchange between leaders.
pub const SHARES_MAX: usize = 256;

/// How far apart a lost connection and the evidence of a crash may be.
const EVIDENCE: Duration = Duration::from_secs(2);

/// The most lost requests of one upstream that wait for evidence.
const LOST_MAX: usize = 256;

/// How a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// As any other.
    Free,
    /// Only while nothing else runs on its upstream.
    Alone,
    /// Not at all, for a time.
    Refused {
        /// How long it is refused still.
        remaining: Duration,
    },
}

/// A request that was in flight on a server when its connection was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suspect {
    /// What makes two requests the same; zero if that is not known.
    pub fingerprint: u64,
    /// Whether it ran alone.
    pub alone: bool,
    /// The server's run that it was sent to.
    pub incarnation: Incarnation,
}

/// A conviction, for the other leaders of the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// What makes two requests the same.
    pub fingerprint: u64,
    /// How long it is refused still.
    pub remaining: Duration,
}

/// The fingerprints of suspects and of the convicted.
#[derive(Debug, Default)]
pub struct Quarantine {
    marks: HashMap<u64, Mark>,
}

/// The lost requests of one upstream, until a crash is proved or ruled out.
#[derive(Debug, Default)]
pub struct Losses {
    lost: Vec<Loss>,
    crashed: Option<Crash>,
}

#[derive(Debug, Clone, Copy)]
struct Mark {
    convicted: bool,
    until: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Loss {
    suspect: Suspect,
    at: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Crash {
    incarnation: Incarnation,
    at: Instant,
}

impl Quarantine {
    /// Nothing suspected.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// How a request may run now.
    #[must_use]
    pub fn admit(&self, now: Instant, fingerprint: u64) -> Admission {
        match self.marks.get(&fingerprint) {
            Some(mark) if now >= mark.until => Admission::Free,
            Some(mark) if mark.convicted => Admission::Refused {
                remaining: mark.until - now,
            },
            Some(_) => Admission::Alone,
            None => Admission::Free,
        }
    }

    /// Ties a crash to a suspect, for `length`; `true` if that convicts it.
    pub fn crash(&mut self, now: Instant, suspect: Suspect, length: Duration) -> bool {
        if suspect.fingerprint == 0 {
            return false;
        }
        let known = self.admit(now, suspect.fingerprint) != Admission::Free;
        let convicted = known && suspect.alone;
        let mark = Mark {
            convicted,
            until: now + length,
        };
        self.mark(now, suspect.fingerprint, mark);
        convicted
    }

    /// Clears a request that ran alone and came back.
    pub fn clear(&mut self, now: Instant, fingerprint: u64) {
        if self.admit(now, fingerprint) == Admission::Alone {
            self.marks.remove(&fingerprint);
        }
    }

    /// The convictions in force.
    #[must_use]
    pub fn export(&self, now: Instant) -> Vec<Share> {
        let shares = self.marks.iter().filter_map(|(fingerprint, mark)| {
            let in_force = mark.convicted && now < mark.until;
            in_force.then(|| Share {
                fingerprint: *fingerprint,
                remaining: mark.until - now,
            })
        });
        shares.take(SHARES_MAX).collect()
    }

    /// Takes over convictions of another leader, each for at most `length`.
    pub fn import(&mut self, now: Instant, shares: &[Share], length: Duration) {
        for share in shares.iter().take(SHARES_MAX) {
            let mark = Mark {
                convicted: true,
                until: now + share.remaining.min(length),
            };
            self.mark(now, share.fingerprint, mark);
        }
    }

    fn mark(&mut self, now: Instant, fingerprint: u64, mark: Mark) {
        if let Some(held) = self.marks.get_mut(&fingerprint)
            && now < held.until
        {
            held.convicted |= mark.convicted;
            held.until = held.until.max(mark.until);
            return;
        }
        if self.marks.len() >= MARKS_MAX {
            self.make_room(now);
        }
        self.marks.insert(fingerprint, mark);
    }

    fn make_room(&mut self, now: Instant) {
        self.marks.retain(|_, mark| now < mark.until);
        if self.marks.len() < MARKS_MAX {
            return;
        }
        let first = self
            .marks
            .iter()
            .min_by_key(|(_, mark)| (mark.convicted, mark.until))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(first) = first {
            self.marks.remove(&first);
        }
    }
}

impl Losses {
    /// No losses.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// A connection was lost under a request; gives the suspects of a crash that is proved.
    pub fn lose(&mut self, now: Instant, suspect: Suspect) -> Vec<Suspect> {
        self.expire(now);
        let proved = self.crashed.is_some_and(|crash| {
            crash.incarnation == suspect.incarnation && now < crash.at + EVIDENCE
        });
        if proved {
            return vec![suspect];
        }
        if self.lost.len() < LOST_MAX {
            self.lost.push(Loss { suspect, at: now });
        }
        Vec::new()
    }

    /// A connection was refused, so the server's run that was known last is over.
    pub fn refuse(&mut self, now: Instant, incarnation: Incarnation) -> Vec<Suspect> {
        self.prove(now, |suspect| suspect.incarnation == incarnation)
    }

    /// The server runs as `incarnation`, so all runs before are over.
    pub fn meet(&mut self, now: Instant, incarnation: Incarnation) -> Vec<Suspect> {
        if self.lost.is_empty() {
            return Vec::new();
        }
        self.prove(now, |suspect| suspect.incarnation < incarnation)
    }

    fn prove(&mut self, now: Instant, is_over: impl Fn(&Suspect) -> bool) -> Vec<Suspect> {
        self.expire(now);
        let suspects: Vec<Suspect> = self
            .lost
            .extract_if(.., |loss| is_over(&loss.suspect))
            .map(|loss| loss.suspect)
            .collect();
        if let Some(suspect) = suspects.first() {
            self.crashed = Some(Crash {
                incarnation: suspect.incarnation,
                at: now,
            });
        }
        suspects
    }

    fn expire(&mut self, now: Instant) {
        self.lost.retain(|loss| now < loss.at + EVIDENCE);
    }
}
