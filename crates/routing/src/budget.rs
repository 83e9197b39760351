//! How often requests of one service may be sent once more.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

/// The parts into which a window is divided.
const PARTS: u32 = 20;

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
/// A daemon takes an even share of the slack, and the ratio of its own requests.
#[derive(Debug)]
pub struct Budget {
    allowance: Allowance,
    parts: VecDeque<Part>,
}

#[derive(Debug, Clone, Copy)]
struct Part {
    began: Instant,
    requests: u32,
    retries: u32,
}

impl Budget {
    /// An unused budget.
    #[must_use]
    pub fn new(allowance: Allowance) -> Self {
        Self {
            allowance,
            parts: VecDeque::new(),
        }
    }

    /// Counts a request that a caller sent.
    pub fn request(&mut self, now: Instant) {
        self.part(now).requests += 1;
    }

    /// Takes one retry out of the budget, of which `daemons` have a share; `false` if none is left.
    pub fn retry(&mut self, now: Instant, daemons: usize) -> bool {
        self.part(now);
        let requests: u32 = self.parts.iter().map(|part| part.requests).sum();
        let retries: u32 = self.parts.iter().map(|part| part.retries).sum();
        let share = self.allowance.slack / daemons.max(1) as f64;
        let most = self.allowance.ratio * f64::from(requests) + share;
        let is_paid = f64::from(retries) + 1.0 <= most;
        if is_paid {
            self.part(now).retries += 1;
        }
        is_paid
    }

    fn part(&mut self, now: Instant) -> &mut Part {
        while let Some(part) = self.parts.front()
            && now.saturating_duration_since(part.began) >= self.allowance.window
        {
            self.parts.pop_front();
        }
        let length = self.allowance.window / PARTS;
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
