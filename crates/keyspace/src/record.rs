//! Records of the log, and their encoding.

use crate::{
    difference::Difference,
    id::{
        DaemonName, Epoch, GroupId, Incarnation, LogOffset, ServiceName, ShardIndex, UpstreamName,
    },
    manifest::Manifest,
    member::Member,
    replay::State,
};
use bincode::{DefaultOptions, Options};
use error_stack::{Report, ResultExt};
use miniz_oxide::{deflate::compress_to_vec, inflate::decompress_to_vec_with_limit};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// The log stream that carries manifests and ownership.
pub const STREAM: &str = "copperwell";

/// The format of short records: bincode.
const FORMAT_PLAIN: u8 = 2;
/// The format of long records: bincode, compressed with DEFLATE.
const FORMAT_COMPRESSED: u8 = 3;

/// The size from which a record is compressed, in bytes.
const COMPRESSION_SIZE_MIN: usize = 2048;
/// The DEFLATE compression level, from 0 to 10.
const COMPRESSION_LEVEL: u8 = 6;

/// The largest encoded record, in bytes; the platform rejects larger ones.
pub const SIZE_MAX: usize = 1 << 20;
/// The largest record before compression, in bytes.
pub const PLAIN_SIZE_MAX: usize = 8 << 20;

/// Identifies a record, so that one appended twice is applied once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Id {
    /// The daemon or operator that wrote it.
    pub writer: DaemonName,
    /// The writer's run.
    pub incarnation: Incarnation,
    /// The record's number within that run; a writer appends one at a time.
    pub sequence: u64,
}

/// A record of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its identity.
    pub id: Id,
    /// Its content.
    pub body: Body,
}

/// The content of a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A whole manifest, including the version that it replaces.
    Manifest(Manifest),
    /// Appoints leader and standby of a group.
    Appoint(Appoint),
    /// Moves shards between groups, after their old owner has released them.
    Move(Move),
    /// The whole state up to an offset, for readers that lack older records.
    Snapshot(Box<Snapshot>),
    /// Records that removed upstreams hold no grants any more.
    Retire(Retire),
    /// A manifest, as the difference from the one that it replaces.
    Difference(Box<Difference>),
}

/// Appoints leader and standby of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appoint {
    /// The group.
    pub group: GroupId,
    /// The leader's epoch in the appointment that this one replaces; zero if there is none.
    pub replaces: Epoch,
    /// The new leader.
    pub leader: Member,
    /// The daemon that takes over, without the log, if the leader fails.
    pub standby: Option<Member>,
}

/// Moves shards of a service from one group to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// The service.
    pub service: ServiceName,
    /// The shards.
    pub shards: Vec<ShardIndex>,
    /// The group that has released them; the record is void if it does not own them all.
    pub from: GroupId,
    /// The epoch of the leader that released them; the record is void if a later one leads.
    pub epoch: Epoch,
    /// The group that owns them from here on.
    pub to: GroupId,
}

/// Records that upstreams removed by a manifest hold no grants of their group any more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retire {
    /// The group.
    pub group: GroupId,
    /// The epoch of the leader that observed it; the record is void if a later one leads.
    pub epoch: Epoch,
    /// The upstreams.
    pub upstreams: Vec<UpstreamName>,
}

/// The whole state up to an offset.
///
/// A snapshot with a higher generation ([`State::generation`]) than the reader's starts that
/// generation: after the log lost records, after two readers were found to have different states, or
/// after a reader gave up waiting for records that it lacked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The first offset that the state does not include.
    pub next: LogOffset,
    /// The state.
    pub state: State,
}

/// The error for a record or state that cannot be encoded or decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Error;

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("not a valid record in a format that this version supports")
    }
}

impl std::error::Error for Error {}

impl Record {
    /// Encodes the record, compressed if it is large.
    ///
    /// # Errors
    ///
    /// [`Error`] if the record is larger than [`SIZE_MAX`], or than [`PLAIN_SIZE_MAX`] before
    /// compression.
    pub fn encode(&self) -> Result<Vec<u8>, Report<Error>> {
        let mut bytes = vec![FORMAT_PLAIN];
        DefaultOptions::new()
            .serialize_into(&mut bytes, self)
            .change_context(Error)?;
        check_size(bytes.len(), PLAIN_SIZE_MAX)?;
        if bytes.len() >= COMPRESSION_SIZE_MIN {
            let compressed = compress_to_vec(&bytes[1..], COMPRESSION_LEVEL);
            bytes.truncate(0);
            bytes.push(FORMAT_COMPRESSED);
            bytes.extend(compressed);
        }
        check_size(bytes.len(), SIZE_MAX)?;
        Ok(bytes)
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// [`Error`] if the bytes are not a valid record, or exceed the size limits.
    pub fn decode(bytes: &[u8]) -> Result<Self, Report<Error>> {
        match bytes.split_first() {
            Some((&FORMAT_PLAIN, plain)) => decode_plain(plain, SIZE_MAX),
            Some((&FORMAT_COMPRESSED, compressed)) => {
                check_size(bytes.len(), SIZE_MAX)?;
                let plain = decompress_to_vec_with_limit(compressed, PLAIN_SIZE_MAX);
                decode_plain(&plain.map_err(|_| Error)?, PLAIN_SIZE_MAX)
            }
            _ => Err(Report::new(Error)),
        }
    }
}

impl State {
    /// Encodes the state for peers, without compression.
    ///
    /// # Errors
    ///
    /// [`Error`] if the state is larger than [`PLAIN_SIZE_MAX`].
    pub fn encode(&self) -> Result<Vec<u8>, Report<Error>> {
        let bytes = DefaultOptions::new().serialize(self);
        let bytes = bytes.change_context(Error)?;
        check_size(bytes.len(), PLAIN_SIZE_MAX)?;
        Ok(bytes)
    }

    /// Decodes a state.
    ///
    /// # Errors
    ///
    /// [`Error`] if the bytes are not a valid state.
    pub fn decode(bytes: &[u8]) -> Result<Self, Report<Error>> {
        decode_plain(bytes, PLAIN_SIZE_MAX)
    }
}

fn decode_plain<T: DeserializeOwned>(bytes: &[u8], limit: usize) -> Result<T, Report<Error>> {
    DefaultOptions::new()
        .with_limit(limit as u64)
        .deserialize(bytes)
        .change_context(Error)
}

fn check_size(size: usize, limit: usize) -> Result<(), Report<Error>> {
    if size <= limit {
        return Ok(());
    }
    let text = format!("{size} bytes, but at most {limit} are allowed; declare fewer upstreams");
    Err(Report::new(Error).attach(text))
}
