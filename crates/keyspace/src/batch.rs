//! Parts of a log stream.

use std::time::Duration;

use crate::id::LogOffset;
use serde::{Deserialize, Serialize};

/// The highest offset that a log may reach.
const OFFSET_MAX: LogOffset = 1 << 62;

/// A part of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Batch {
    /// The first offset that the log still keeps.
    pub first: LogOffset,
    /// The offset that the next record will get.
    pub next: LogOffset,
    /// Records in order of offset; they may end before `next`.
    pub records: Vec<Entry>,
    /// Set if a daemon handed the records on.
    #[serde(default)]
    pub relayed: Option<Relayed>,
}

impl Batch {
    /// Whether the batch can be an answer to a read from `from`.
    #[must_use]
    pub fn answers(&self, from: LogOffset) -> bool {
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

/// What a daemon tells with records that it hands on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relayed {
    /// The life of its state: [`crate::replay::State::life`].
    pub life: u64,
    /// How long ago the log itself was last read.
    pub age: Duration,
}

/// A record as the log keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its position.
    pub offset: LogOffset,
    /// Its content; base64 in formats for people.
    #[serde(with = "base64_bytes")]
    pub bytes: Vec<u8>,
}

/// Bytes as a base64 string in formats for people, and as they are in others.
pub mod base64_bytes {
    use base64::{Engine, engine::general_purpose::STANDARD};
    use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

    /// Writes bytes.
    ///
    /// # Errors
    ///
    /// The serializer's own.
    pub fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.serialize_str(&STANDARD.encode(bytes))
        } else {
            bytes.serialize(serializer)
        }
    }

    /// Reads bytes.
    ///
    /// # Errors
    ///
    /// If the string is not base64.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
        if !deserializer.is_human_readable() {
            return Vec::deserialize(deserializer);
        }
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map_err(D::Error::custom)
    }
}
