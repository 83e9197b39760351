//! How old the list of upstreams is by which a daemon routes.

use std::time::Duration;

use tokio::time::Instant;

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

/// How old the list of upstreams is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Freshness {
    /// When the read of the store started from which the list comes; `None` before the first list.
    read_at: Option<Instant>,
}

impl Freshness {
    /// Records that the list holds all that a read of the store returned that started at `read_at`.
    pub fn record_list(&mut self, read_at: Instant) {
        self.read_at = Some(read_at);
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
}
