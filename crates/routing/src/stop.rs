//! Which requests a daemon that stops still sends to upstreams.

use std::time::Duration;

use tokio::time::Instant;

/// How long a request may take, as a multiple of the usual time. Some take much longer than most.
const TIME_RATIO: u32 = 2;

/// The same for a request that runs at most once: its caller cannot send it again if it is broken off.
const ONCE_TIME_RATIO: u32 = 4;

/// How long a request may take of which nothing is known, as a multiple of its objective.
const UNKNOWN_TIME_RATIO: u32 = 4;

/// A request that is to be sent to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pending {
    /// How long requests of its route usually take at an upstream; `None` if that is unknown.
    pub usual: Option<Duration>,
    /// The objective of its route.
    pub objective: Duration,
    /// The time left until its deadline.
    pub time_left: Duration,
    /// Whether it may run more than once.
    pub is_repeatable: bool,
    /// Whether its body has arrived.
    pub is_whole: bool,
}

impl Pending {
    /// Returns whether the request would be broken off by a daemon that ends all requests at `ends_at`.
    ///
    /// It is better off at another daemon then, which it reaches at once while nobody has run it.
    #[must_use]
    pub fn would_be_cut(&self, now: Instant, ends_at: Instant) -> bool {
        now + self.time_max() > ends_at
    }

    /// Returns how long it may take, as far as is known.
    fn time_max(&self) -> Duration {
        if !self.is_whole {
            return self.time_left;
        }
        let ratio = match self.is_repeatable {
            true => TIME_RATIO,
            false => ONCE_TIME_RATIO,
        };
        let expected = match self.usual {
            Some(usual) => (usual * ratio).max(self.objective),
            None => self.objective * UNKNOWN_TIME_RATIO,
        };
        expected.min(self.time_left)
    }
}
