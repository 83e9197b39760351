//! The plan: who may hold which keys, as the store has it.

use crate::{Fence, Holder};
use copperwell_routing::Key;
use serde::{Deserialize, Serialize};

/// Who may hold which keys of one service.
///
/// A plan is written to the store before any of its grants is given, so only the holder that the
/// plan names can hold a key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The highest fencing token that was ever used; later ones are higher.
    pub fence: Fence,
    /// Ranges of keys, in order; together they are all keys.
    pub ranges: Vec<Range>,
}

/// A range of keys that has one holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Range {
    /// Its first key.
    pub first: Key,
    /// Its last key.
    pub last: Key,
    /// Who may hold it; `None` if nobody does.
    pub holder: Option<Holder>,
    /// The fencing token of its grant.
    pub fence: Fence,
}

impl Plan {
    /// A plan in which nobody holds anything, cut into at most `ranges` equal ranges.
    #[must_use]
    pub fn vacant(ranges: usize) -> Self {
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

    /// Whether the ranges are in order and together are all keys.
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

fn key(number: usize) -> Key {
    Key::try_from(number).unwrap_or(Key::MAX)
}
