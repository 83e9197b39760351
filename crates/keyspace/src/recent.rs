//! The last entries that a reader looked at.

use std::collections::VecDeque;

use crate::{batch::Entry, id::LogOffset};

/// The most bytes of records that are kept for peers and for snapshots that lag.
pub(crate) const RECENT_BYTES_MAX: usize = 4 << 20;
/// The most records that are kept.
pub(crate) const RECENT_MAX: usize = 2048;

/// Consecutive entries before an offset.
#[derive(Debug, Clone, Default)]
pub(crate) struct Recent {
    entries: VecDeque<Entry>,
    bytes: usize,
    end: LogOffset,
}

impl Recent {
    /// The offset of the first kept entry; the end if none is kept.
    pub(crate) fn first(&self) -> LogOffset {
        self.end - self.entries.len() as u64
    }

    /// The first offset that was not looked at.
    pub(crate) fn end(&self) -> LogOffset {
        self.end
    }

    /// The kept entries from an offset on; `None` if some of them are not kept.
    pub(crate) fn from(&self, offset: LogOffset) -> Option<impl Iterator<Item = &Entry>> {
        let skipped = offset.checked_sub(self.first())?;
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        Some(self.entries.iter().skip(skipped))
    }

    /// Keeps the entry at the end, and drops the first ones where there are too many.
    pub(crate) fn push(&mut self, entry: &Entry) {
        self.end = entry.offset + 1;
        self.bytes += entry.bytes.len();
        self.entries.push_back(entry.clone());
        while self.bytes > RECENT_BYTES_MAX || self.entries.len() > RECENT_MAX {
            let Some(dropped) = self.entries.pop_front() else {
                return;
            };
            self.bytes -= dropped.bytes.len();
        }
    }

    /// Forgets all entries and goes on at an offset.
    pub(crate) fn restart_at(&mut self, end: LogOffset) {
        *self = Self {
            end,
            ..Self::default()
        };
    }
}
