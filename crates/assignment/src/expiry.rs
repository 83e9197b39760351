//! Expiries of the last grants of ranges that are being released, as they are written to the store.
//!
//! A new leader does not know when its predecessor last sent a grant, and would wait for as long as a grant can last
//! before it assigns such a range to another holder. With several changes of leader, each within that time, the range
//! would have no holder for all of it.

use std::time::Duration;

use crate::{Fence, plan::Range};
use copperwell_routing::Key;
use serde::{Deserialize, Serialize};

/// The expiries of the ranges of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Expiries {
    /// The term of the leader that wrote them. They are valid only for its direct successor: a leader in between may be
    /// of an earlier release, which ignores them and may have sent grants.
    pub term: u64,
    /// The ranges.
    pub ranges: Vec<Expiry>,
}

/// A range whose holder gets no more grants with this fencing token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Expiry {
    /// The first key.
    pub first: Key,
    /// The last key, inclusive.
    pub last: Key,
    /// The fencing token of the holder's grants.
    pub fence: Fence,
    /// The time from when this was written until all of these grants have expired.
    pub left: Duration,
}

impl Expiry {
    /// Returns whether this applies to all grants of a range in a plan: the range is this one or a part of it, and it
    /// was not granted to another holder or run since, which would have changed its token.
    #[must_use]
    pub fn covers(&self, range: &Range) -> bool {
        self.fence == range.fence && self.first <= range.first && range.last <= self.last
    }
}
