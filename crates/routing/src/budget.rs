//! How often requests of one service may be sent once more.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

/// The parts into which a window is divided.
const PARTS: u32 = 20;

/// The share of the allowance that is used, so that arrivals that daemons count at different times
/// do not add up to more than is allowed.
const USED: f64 = 0.85;

/// The share of the ratio that a daemon uses while its run is younger than a window. The run before may
/// have spent all that its requests had earned, a moment ago.
const USED_FIRST: f64 = 0.1;

/// Daemons that share the slack, at least, while a daemon's run is younger than a window and may not
/// have heard of all; and while it has heard of none.
const FIRST_DAEMONS: usize = 16;

/// How many windows a daemon that is not seen any more keeps its share: it may just be cut off.
const REMEMBERED: u32 = 4;

/// What all daemons together may spend on one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries on top of the ratio, for all daemons together.
    pub slack: f64,
    /// The window in which both are counted.
    pub window: Duration,
}

/// The retries of one daemon for one service.
///
/// A daemon takes an even share of the slack, and the ratio of its own requests. What an earlier run
/// of it may have spent is not spent again, so in its first window a new run gets its share of the slack
/// little by little, and only a part of the ratio.
#[derive(Debug)]
pub struct Budget {
    allowance: Allowance,
    began: Instant,
    parts: VecDeque<Part>,
    /// The most daemons that were seen lately, and when.
    daemons: usize,
    seen: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Part {
    began: Instant,
    requests: u32,
    retries: u32,
}

impl Budget {
    /// The budget of a daemon's run that began at `began`.
    #[must_use]
    pub fn new(allowance: Allowance, began: Instant) -> Self {
        Self {
            allowance,
            began,
            parts: VecDeque::new(),
            daemons: 0,
            seen: began,
        }
    }

    /// Allows another part of requests from here on.
    pub fn set_allowance(&mut self, allowance: Allowance) {
        self.allowance = allowance;
    }

    /// Counts a request that a caller sent.
    pub fn request(&mut self, now: Instant) {
        self.part(now).requests += 1;
    }

    /// Takes one retry out of the budget; `false` if none is left.
    ///
    /// `daemons` have a share of it, 0 if nobody knows how many there are.
    pub fn retry(&mut self, now: Instant, daemons: usize) -> bool {
        let is_paid = self.left(now, daemons) >= 1.0;
        if is_paid {
            self.part(now).retries += 1;
        }
        is_paid
    }

    /// How many retries the budget pays for now; below 0 if more daemons share it than when they were taken.
    pub fn left(&mut self, now: Instant, daemons: usize) -> f64 {
        self.part(now);
        let daemons = self.note_daemons(daemons, now);
        let requests: u32 = self.parts.iter().map(|part| part.requests).sum();
        let retries: u32 = self.parts.iter().map(|part| part.retries).sum();
        let window = self.allowance.window.as_secs_f64();
        let age = now.saturating_duration_since(self.began).as_secs_f64();
        let earned = (age / window).min(1.0);
        let (daemons, used) = match earned < 1.0 {
            true => (daemons.max(FIRST_DAEMONS), USED_FIRST),
            false => (daemons, USED),
        };
        let share = earned * self.allowance.slack / daemons as f64;
        let most = used * self.allowance.ratio * f64::from(requests) + USED * share;
        most - f64::from(retries)
    }

    /// The most daemons that were seen within the last windows.
    fn note_daemons(&mut self, daemons: usize, now: Instant) -> usize {
        let daemons = match daemons {
            0 => FIRST_DAEMONS,
            known => known,
        };
        let forgets_at = self.seen + self.allowance.window * REMEMBERED;
        if daemons >= self.daemons || now >= forgets_at {
            self.daemons = daemons;
            self.seen = now;
        }
        self.daemons
    }

    fn part(&mut self, now: Instant) -> &mut Part {
        let length = self.allowance.window / PARTS;
        // A part counts until its end has left the window.
        while let Some(part) = self.parts.front()
            && now.saturating_duration_since(part.began) >= self.allowance.window + length
        {
            self.parts.pop_front();
        }
        let is_current = self
            .parts
            .back()
            .is_some_and(|part| now.saturating_duration_since(part.began) < length);
        if !is_current {
            self.parts.push_back(Part {
                began: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}
