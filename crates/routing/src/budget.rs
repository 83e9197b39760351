//! The retry budget of a service.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

/// The number of buckets into which a window is divided.
const BUCKETS: u32 = 20;

/// The share of the allowance that may be spent. The rest is a margin, since daemons count requests at
/// different times and together must not exceed the allowance.
const SPENDABLE_RATIO: f64 = 0.85;

/// The part of the requests in a window that pays for no retries, in standard deviations: each daemon can spend most
/// after a burst of its own, which other daemons have in other windows.
const BURST_DEVIATIONS: f64 = 0.5;

/// The share of [`Allowance::ratio`] that a daemon may spend while it has been running for less than a
/// window. Its previous incarnation may have spent the whole budget of its requests a moment ago.
const SPENDABLE_RATIO_AFTER_START: f64 = 0.1;

/// The minimum number of daemons that are assumed to share the slack while a daemon has been running for less than a
/// window, since it may not know all others yet.
const DAEMONS_MIN_AFTER_START: usize = 16;

/// The number of windows for which a daemon that is no longer seen keeps its share at least, since it may only be
/// partitioned from this one, or not have called a new leader yet.
const DAEMONS_KEPT_WINDOWS: u32 = 4;

/// The retries that all daemons together may spend on one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Retries per request.
    pub ratio: f64,
    /// Retries in addition to the ratio, for all daemons together.
    pub slack: f64,
    /// The window in which both are counted.
    pub window: Duration,
}

/// The retry budget of one daemon for one service.
///
/// A daemon gets an equal share of the slack, and the ratio of its own requests, less a part for bursts. While it does
/// not know how many daemons there are, it gets no slack: a fleet of any size may have started at once, so that no assumed
/// number is safe. What its previous incarnation may have spent must not be spent again. A new incarnation therefore gets
/// its share of the slack gradually, and only a part of the ratio, in its first window.
#[derive(Debug)]
pub struct Budget {
    allowance: Allowance,
    started_at: Instant,
    buckets: VecDeque<Bucket>,
    /// The highest number of daemons since `daemons_since`; 0 if it is unknown.
    daemons: usize,
    /// The highest number in the [`DAEMONS_KEPT_WINDOWS`] before.
    daemons_before: usize,
    /// When the present [`DAEMONS_KEPT_WINDOWS`] began.
    daemons_since: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    started_at: Instant,
    requests: u32,
    retries: u32,
}

impl Budget {
    /// Creates the budget of a daemon that was started at `started_at`.
    #[must_use]
    pub fn new(allowance: Allowance, started_at: Instant) -> Self {
        Self {
            allowance,
            started_at,
            buckets: VecDeque::new(),
            daemons: 0,
            daemons_before: 0,
            daemons_since: started_at,
        }
    }

    /// Replaces the allowance.
    pub fn set_allowance(&mut self, allowance: Allowance) {
        self.allowance = allowance;
    }

    /// Counts a caller's request.
    pub fn record_request(&mut self, now: Instant) {
        self.bucket_at(now).requests += 1;
    }

    /// Spends one retry; returns `false` if the budget is exhausted.
    ///
    /// `daemons` is the number of daemons that share the budget, or 0 if it is unknown.
    pub fn try_spend(&mut self, now: Instant, daemons: usize) -> bool {
        let has_budget = self.remaining(now, daemons) >= 1.0;
        if has_budget {
            self.bucket_at(now).retries += 1;
        }
        has_budget
    }

    /// Returns the number of retries left, which is negative if more daemons share the budget than when
    /// the retries were spent.
    pub fn remaining(&mut self, now: Instant, daemons: usize) -> f64 {
        self.bucket_at(now);
        let daemons = self.update_daemons(daemons, now);
        let requests = self.steady_requests();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let window = self.allowance.window.as_secs_f64();
        let age = now.saturating_duration_since(self.started_at).as_secs_f64();
        let earned_ratio = (age / window).min(1.0);
        let (daemons_min, spendable_ratio) = match earned_ratio < 1.0 {
            true => (DAEMONS_MIN_AFTER_START, SPENDABLE_RATIO_AFTER_START),
            false => (1, SPENDABLE_RATIO),
        };
        let slack_share = match daemons {
            Some(daemons) => earned_ratio * self.allowance.slack / daemons.max(daemons_min) as f64,
            None => 0.0,
        };
        let allowed =
            spendable_ratio * self.allowance.ratio * requests + SPENDABLE_RATIO * slack_share;
        allowed - f64::from(retries)
    }

    /// Returns the requests in the window that pay for retries. How much they vary is estimated from the buckets.
    fn steady_requests(&self) -> f64 {
        let counts = || self.buckets.iter().map(|one| f64::from(one.requests));
        let requests: f64 = counts().sum();
        let squares: f64 = counts().map(|count| count * count).sum();
        let variance = squares - requests * requests / f64::from(BUCKETS + 1);
        (requests - BURST_DEVIATIONS * variance.max(0.0).sqrt()).max(0.0)
    }

    /// Records the number of daemons, 0 if it is unknown, and returns the highest recent one; `None` if none is known.
    fn update_daemons(&mut self, daemons: usize, now: Instant) -> Option<usize> {
        let ends_at = self.daemons_since + self.allowance.window * DAEMONS_KEPT_WINDOWS;
        if now >= ends_at {
            self.daemons_before = self.daemons;
            self.daemons = 0;
            self.daemons_since = now;
        }
        self.daemons = self.daemons.max(daemons);
        let daemons = self.daemons.max(self.daemons_before);
        (daemons > 0).then_some(daemons)
    }

    /// Removes buckets that have left the window, and returns the one for `now`.
    fn bucket_at(&mut self, now: Instant) -> &mut Bucket {
        let bucket_length = self.allowance.window / BUCKETS;
        // A bucket counts until its end has left the window.
        while let Some(bucket) = self.buckets.front()
            && now.saturating_duration_since(bucket.started_at)
                >= self.allowance.window + bucket_length
        {
            self.buckets.pop_front();
        }
        let is_current = self
            .buckets
            .back()
            .is_some_and(|bucket| now.saturating_duration_since(bucket.started_at) < bucket_length);
        if !is_current {
            self.buckets.push_back(Bucket {
                started_at: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
