//! Batches of consecutive records read from a log stream.

use std::time::Duration;

use crate::id::LogOffset;
use serde::{Deserialize, Serialize};

/// The highest offset accepted as the end of a log.
const OFFSET_MAX: LogOffset = 1 << 62;

/// Consecutive records of a stream, as the answer to a read.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Batch {
    /// The first offset that the log still retains.
    pub first: LogOffset,
    /// The offset that the next record will get.
    pub next: LogOffset,
    /// Records in order of offset; they may end before `next`.
    pub records: Vec<Entry>,
    /// Set if a daemon relayed the records.
    #[serde(default)]
    pub relayed: Option<Relayed>,
}

impl Batch {
    /// Whether the batch is a consistent answer to a read from offset `from`.
    #[must_use]
    pub fn is_answer_to(&self, from: LogOffset) -> bool {
        if self.next > OFFSET_MAX {
            return false;
        }
        let start = from.max(self.first);
        if start > self.next {
            return self.records.is_empty() && self.first <= self.next;
        }
        let mut offsets = self.records.iter().zip(start..);
        let consecutive = offsets.all(|(entry, offset)| entry.offset == offset);
        let end = self
            .records
            .last()
            .map_or(0, |entry| entry.offset.saturating_add(1));
        consecutive && self.first <= self.next && end <= self.next
    }
}

/// Metadata that a daemon adds to records that it relays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relayed {
    /// The generation of its state: [`crate::replay::State::generation`].
    #[serde(rename = "life")]
    pub generation: u64,
    /// The time since it last read the log itself.
    pub age: Duration,
}

/// A record as the log stores it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its position in the stream.
    pub offset: LogOffset,
    /// Its content; base64 in human-readable formats.
    #[serde(with = "base64_bytes")]
    pub bytes: Vec<u8>,
}

/// Serializes bytes as a base64 string in human-readable formats, and as raw bytes in others.
pub mod base64_bytes {
    use base64::{Engine, engine::general_purpose::STANDARD};
    use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

    /// Serializes bytes.
    ///
    /// # Errors
    ///
    /// Any error of the serializer.
    pub fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.serialize_str(&STANDARD.encode(bytes))
        } else {
            bytes.serialize(serializer)
        }
    }

    /// Deserializes bytes.
    ///
    /// # Errors
    ///
    /// If the input is not a byte sequence or, in human-readable formats, not a base64 string.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
        if !deserializer.is_human_readable() {
            return Vec::deserialize(deserializer);
        }
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map_err(D::Error::custom)
    }
}
