//! The plan of which upstream may hold which keys, as it is written to the store.

use crate::{Fence, Holder};
use copperwell_routing::Key;
use serde::{Deserialize, Serialize};

/// The assignment of the keys of one service to holders.
///
/// A plan is written to the store before any of its grants is sent, so a key can be held only by
/// the holder that the plan names.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The highest fencing token in use so far; new tokens are higher.
    pub fence: Fence,
    /// Key ranges in order, which together cover all keys.
    pub ranges: Vec<Range>,
}

/// A range of keys that has one holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Range {
    /// The first key.
    pub first: Key,
    /// The last key, inclusive.
    pub last: Key,
    /// The upstream that may hold the range; `None` if it is unassigned.
    pub holder: Option<Holder>,
    /// The fencing token of the holder's grant.
    pub fence: Fence,
}

impl Plan {
    /// Creates a plan of at most `ranges` unassigned ranges of equal size.
    #[must_use]
    pub fn unassigned(ranges: usize) -> Self {
        let keys = usize::from(Key::MAX) + 1;
        let ranges = ranges.clamp(1, keys);
        let first_of = |index: usize| index * keys / ranges;
        let range = |index| Range {
            first: key(first_of(index)),
            last: key(first_of(index + 1) - 1),
            holder: None,
            fence: 0,
        };
        Self {
            fence: 0,
            ranges: (0..ranges).map(range).collect(),
        }
    }

    /// Returns the plan without its holders.
    #[must_use]
    pub fn without_holders(mut self) -> Self {
        for range in &mut self.ranges {
            range.holder = None;
        }
        self
    }

    /// Returns whether the ranges are in order, cover all keys and have valid fencing tokens.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        let mut next = Some(0);
        for range in &self.ranges {
            if next != Some(range.first) || range.last < range.first || range.fence > self.fence {
                return false;
            }
            next = range.last.checked_add(1);
        }
        next.is_none() && !self.ranges.is_empty()
    }
}

/// Converts the number of a key; a number that is too high becomes the last key.
fn key(number: usize) -> Key {
    Key::try_from(number).unwrap_or(Key::MAX)
}
