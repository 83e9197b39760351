//! A bounded buffer of the entries that a reader read last.

use std::collections::VecDeque;

use crate::{batch::Entry, id::LogOffset};

/// The most bytes of records kept, for peers and to replay records that a snapshot lacks.
pub(crate) const RECENT_BYTES_MAX: usize = 4 << 20;
/// The most records kept.
pub(crate) const RECENT_MAX: usize = 2048;

/// Consecutive entries up to the reader's position.
#[derive(Debug, Clone, Default)]
pub(crate) struct Recent {
    entries: VecDeque<Entry>,
    bytes: usize,
    end: LogOffset,
}

impl Recent {
    /// Returns the offset of the first kept entry, or the end if none is kept.
    pub(crate) fn first(&self) -> LogOffset {
        self.end - self.entries.len() as u64
    }

    /// Returns the first offset that has not been read.
    pub(crate) fn end(&self) -> LogOffset {
        self.end
    }

    /// Returns the entries from an offset on; `None` if some of them are no longer kept.
    pub(crate) fn from(&self, offset: LogOffset) -> Option<impl Iterator<Item = &Entry>> {
        let skipped = offset.checked_sub(self.first())?;
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        Some(self.entries.iter().skip(skipped))
    }

    /// Appends an entry, and drops the oldest ones beyond the limits.
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

    /// Drops all entries and continues at an offset.
    pub(crate) fn restart_at(&mut self, end: LogOffset) {
        *self = Self {
            end,
            ..Self::default()
        };
    }
}
