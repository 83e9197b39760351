//! How configurations are passed on from daemon to daemon: encoded differences, in chunks.

use std::{collections::VecDeque, sync::Arc};

use copperwell_message::HashMap;
use copperwell_routing::configuration::{
    Configuration, Version,
    difference::{Difference, Extension},
};
use miniz_oxide::{deflate::compress_to_vec, inflate::decompress_to_vec_with_limit};
use serde::{Deserialize, Serialize};

/// The largest encoded difference that is sent without being asked for, in bytes.
const INLINE_BYTES_MAX: usize = 8 << 10;

/// The largest chunk, in bytes, which a link of 1 Mbit/s carries within the timeout of a call.
const CHUNK_BYTES: usize = 32 << 10;

/// The largest encoded difference that is accepted, in bytes.
pub(crate) const ENCODED_BYTES_MAX: usize = 8 << 20;

/// The largest difference that is accepted, in bytes before its compression.
const DECODED_BYTES_MAX: usize = 64 << 20;

/// The DEFLATE compression level, from 0 to 10: fast, as routes are alike.
const COMPRESSION_LEVEL: u8 = 3;

/// The number of configurations of which differences are known.
const CONFIGURATIONS_MAX: usize = 8;

/// The maximum number of encoded differences that are kept.
const ENCODED_MAX: usize = 16;

/// A difference between configurations, encoded.
pub type Encoded = Arc<[u8]>;

/// A part of an encoded difference.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The length of the whole, in bytes.
    pub length: usize,
    /// The bytes of this part.
    pub bytes: Vec<u8>,
}

/// The latest configurations, and the differences between them that were asked for.
#[derive(Debug, Default)]
pub(crate) struct History {
    /// The latest configurations, the newest last.
    configurations: VecDeque<Arc<Configuration>>,
    /// By the versions that they lead from and to.
    encoded: HashMap<(Option<Version>, Version), Encoded>,
}

impl History {
    /// Adds a configuration that is newer than the others.
    pub(crate) fn add(&mut self, configuration: Arc<Configuration>) {
        if self.configurations.len() >= CONFIGURATIONS_MAX {
            self.configurations.pop_front();
        }
        self.configurations.push_back(configuration);
        let configurations = &self.configurations;
        self.encoded
            .retain(|(_, to), _| configurations.iter().any(|kept| kept.version == *to));
    }

    /// Returns the version of the newest configuration; 0 without any.
    pub(crate) fn version(&self) -> Version {
        let newest = self.configurations.back();
        newest.map_or(0, |newest| newest.version)
    }

    /// Returns the difference to the newest configuration from version `known`, unless it is too large to be
    /// sent unasked.
    pub(crate) fn inline(&mut self, known: Version) -> Option<Encoded> {
        let encoded = self.encode(known, self.version())?;
        (encoded.len() <= INLINE_BYTES_MAX).then_some(encoded)
    }

    /// Returns a part of the difference from version `known` to `version`, from the byte `start` on.
    pub(crate) fn chunk(
        &mut self,
        known: Version,
        version: Version,
        start: usize,
    ) -> Option<Chunk> {
        let encoded = self.encode(known, version)?;
        let end = encoded.len().min(start.saturating_add(CHUNK_BYTES));
        Some(Chunk {
            length: encoded.len(),
            bytes: encoded.get(start..end)?.to_vec(),
        })
    }

    /// Returns the difference from `known` to `version`, or the whole of `version` if `known` is not kept.
    fn encode(&mut self, known: Version, version: Version) -> Option<Encoded> {
        let later = self.find(version)?.clone();
        let earlier = self.find(known).filter(|_| known < version).cloned();
        let versions = (earlier.as_ref().map(|earlier| earlier.version), version);
        if let Some(encoded) = self.encoded.get(&versions) {
            return Some(encoded.clone());
        }
        let difference = later.difference_from(earlier.as_deref());
        let mut bytes = bincode::serialize(&difference).ok()?;
        bincode::serialize_into(&mut bytes, difference.extension()).ok()?;
        let encoded: Encoded = compress_to_vec(&bytes, COMPRESSION_LEVEL).into();
        if self.encoded.len() >= ENCODED_MAX {
            self.encoded.clear();
        }
        self.encoded.insert(versions, encoded.clone());
        Some(encoded)
    }

    fn find(&self, version: Version) -> Option<&Arc<Configuration>> {
        let mut kept = self.configurations.iter();
        kept.find(|kept| kept.version == version)
    }
}

/// Decodes a difference; `None` if the bytes are none, or too many.
#[must_use]
pub fn decode(encoded: &[u8]) -> Option<Difference> {
    let bytes = decompress_to_vec_with_limit(encoded, DECODED_BYTES_MAX).ok()?;
    let mut unread = bytes.as_slice();
    let difference: Difference = bincode::deserialize_from(&mut unread).ok()?;
    let extension: Extension = match unread.is_empty() {
        true => Extension::default(),
        false => bincode::deserialize_from(&mut unread).ok()?,
    };
    Some(difference.with_extension(extension))
}
