//! How old the list of upstreams may be by which a daemon routes, and what it does before it is too old.
//!
//! An upstream that leaves serves for a time after the store has taken its word. A request that is sent by a list of age
//! `a` reaches only upstreams that had given no word `a` ago, so all that counts is the age at the sending, from the start
//! of the read: whatever the list went through since is part of it.

use std::time::Duration;

use tokio::time::Instant;

/// How long an upstream that leaves is taken to serve, unless the settings say so.
pub const DRAIN_DEFAULT: Duration = Duration::from_secs(2);

/// The largest age at which other daemons are asked. It is longer than the reader's interval and an exchange without
/// news.
const ASK_AGE_MAX: Duration = Duration::from_millis(1_200);

/// The largest age at which the daemons that others ask read the store.
const READ_AGE_MAX: Duration = Duration::from_millis(1_400);

/// The largest age at which every daemon reads the store.
const READ_ALL_AGE_MAX: Duration = Duration::from_millis(1_700);

/// These ages as shares of the time for which an upstream that leaves serves.
const ASK_RATIO: f64 = 0.6;
const READ_RATIO: f64 = 0.65;
const READ_ALL_RATIO: f64 = 0.75;

/// The share of that time after which requests are no longer sent by a list; the rest is for their way.
const SEND_RATIO: f64 = 0.9;

/// How long a read may take before the store counts as late, as a share of that time.
const PATIENCE_RATIO: f64 = 0.35;

/// How a daemon came by its list of upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// It has read the store.
    Store,
    /// From the leader.
    Leader,
    /// From a daemon that should lead next.
    Successor,
    /// An upstream has said something of itself.
    Upstream,
}

impl Origin {
    /// Returns the name for logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Leader => "leader",
            Self::Successor => "successor",
            Self::Upstream => "upstream",
        }
    }
}

/// The ages of the list at which a daemon acts, from the start of the read that it comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ages {
    /// It asks the daemons that should lead next.
    pub ask: Duration,
    /// These daemons read the store, and so does each that knows none of them.
    pub read: Duration,
    /// The other daemons read the store too.
    pub read_all: Duration,
    /// Requests are no longer sent by it, unless the store is late.
    pub send: Duration,
    /// How long a read may take before the store counts as late; not an age.
    pub patience: Duration,
}

impl Ages {
    /// Returns the ages that add up to no more than `drain`, for which an upstream that leaves serves.
    #[must_use]
    pub fn within(drain: Duration) -> Self {
        let share = |ratio, max: Duration| drain.mul_f64(ratio).min(max);
        Self {
            ask: share(ASK_RATIO, ASK_AGE_MAX),
            read: share(READ_RATIO, READ_AGE_MAX),
            read_all: share(READ_ALL_RATIO, READ_ALL_AGE_MAX),
            send: drain.mul_f64(SEND_RATIO),
            patience: drain.mul_f64(PATIENCE_RATIO),
        }
    }
}

/// Whether requests are sent by the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Use {
    /// It is young enough.
    Fresh,
    /// It is too old, and a later one is due: requests wait for that.
    Awaited,
    /// It is too old, and the store gives no later one in time: requests are sent by what is known.
    Outdated,
}

/// How old the list of upstreams is, and whether a later one can be had.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Freshness {
    ages: Ages,
    /// When the read of the store started from which the list comes; `None` before the first list.
    read_at: Option<Instant>,
    /// When a read last failed or took too long here.
    late_at: Option<Instant>,
    /// Since when this daemon waits for a read.
    reading_since: Option<Instant>,
}

impl Default for Freshness {
    fn default() -> Self {
        Self {
            ages: Ages::within(DRAIN_DEFAULT),
            read_at: None,
            late_at: None,
            reading_since: None,
        }
    }
}

impl Freshness {
    /// Sets for how long an upstream that leaves serves.
    pub fn set_drain(&mut self, drain: Duration) {
        self.ages = Ages::within(drain);
    }

    /// Returns the ages at which this daemon acts.
    #[must_use]
    pub fn ages(&self) -> Ages {
        self.ages
    }

    /// Records that the list holds all that a read of the store returned that started at `read_at`.
    pub fn record_list(&mut self, read_at: Instant) {
        self.read_at = self.read_at.max(Some(read_at));
    }

    /// Records that a read failed at `now`, or is given up on.
    pub fn record_late(&mut self, now: Instant) {
        self.late_at = Some(now);
    }

    /// Records since when this daemon waits for a read; `None` if it does not read the store now.
    pub fn record_reading(&mut self, since: Option<Instant>) {
        self.reading_since = since;
    }

    /// Returns when the read started from which the list comes; `None` before the first list.
    #[must_use]
    pub fn read_at(&self) -> Option<Instant> {
        self.read_at
    }

    /// Returns the age of the list at `now`: what the store took earlier than that before `now` is in it.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        Some(now.saturating_duration_since(self.read_at?))
    }

    /// Returns until when requests are sent by the list; `None` before the first list.
    #[must_use]
    pub fn fresh_until(&self) -> Option<Instant> {
        Some(self.read_at? + self.ages.send)
    }

    /// Returns whether requests are sent by the list at `now`.
    #[must_use]
    pub fn judge(&self, now: Instant) -> Use {
        if self.fresh_until().is_none_or(|until| now <= until) {
            return Use::Fresh;
        }
        // Lists that came since then were read from a store that answers again.
        let has_failed = self.late_at.is_some_and(|at| Some(at) > self.read_at);
        let is_slow = self
            .reading_since
            .is_some_and(|since| now >= since + self.ages.patience);
        match has_failed || is_slow {
            true => Use::Outdated,
            false => Use::Awaited,
        }
    }
}
