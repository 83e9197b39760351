//! Records of the log.

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

/// The one stream that carries manifests and ownership.
pub const STREAM: &str = "copperwell";

/// The format of short records: bincode.
const FORMAT_PLAIN: u8 = 2;
/// The format of long records: bincode, compressed with DEFLATE.
const FORMAT_COMPRESSED: u8 = 3;

/// The length from which a record is compressed, in bytes.
const COMPRESSED_FROM: usize = 2048;
/// How hard the compressor tries, from 0 to 10.
const LEVEL: u8 = 6;

/// The largest encoded record, in bytes; the platform refuses longer ones.
pub const SIZE_MAX: usize = 1 << 20;
/// The largest record before it is compressed, in bytes.
pub const PLAIN_SIZE_MAX: usize = 8 << 20;

/// Identifies a record, so that one appended twice counts once.
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
    /// What it says.
    pub body: Body,
}

/// What a record says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A whole manifest, which names the version that it replaces.
    Manifest(Manifest),
    /// Appoints leader and standby of a group.
    Appoint(Appoint),
    /// Moves shards between groups, after their old owner has let go.
    Move(Move),
    /// The whole state up to an offset, for readers that miss older records.
    Snapshot(Box<Snapshot>),
    /// Tells that removed upstreams have let go.
    Retire(Retire),
    /// A manifest, told as what it changes of the one that it replaces.
    Difference(Box<Difference>),
}

/// Appoints leader and standby of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appoint {
    /// The group.
    pub group: GroupId,
    /// The leader's epoch of the appointment that this one replaces; zero if there is none.
    pub replaces: Epoch,
    /// The new leader.
    pub leader: Member,
    /// The daemon that takes over without the log if the leader is lost.
    pub standby: Option<Member>,
}

/// Moves shards of a service from one group to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// The service.
    pub service: ServiceName,
    /// The shards.
    pub shards: Vec<ShardIndex>,
    /// The group that has let go of them; the record is void if it does not own them all.
    pub from: GroupId,
    /// The epoch of the leader that let go; the record is void if a later one leads.
    pub epoch: Epoch,
    /// The group that owns them from here on.
    pub to: GroupId,
}

/// Tells that upstreams that a manifest removed hold no grant of their group any more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retire {
    /// The group.
    pub group: GroupId,
    /// The epoch of the leader that saw them let go; the record is void if a later one leads.
    pub epoch: Epoch,
    /// The upstreams.
    pub upstreams: Vec<UpstreamName>,
}

/// The whole state up to an offset.
///
/// One whose state has a higher life than the reader's begins that life: after the log lost
/// records, or after two readers were found to hold different states.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The first offset that the state does not include.
    pub next: LogOffset,
    /// The state.
    pub state: State,
}

/// A record that cannot be read or written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Error;

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("not a record of a format that this version knows")
    }
}

impl std::error::Error for Error {}

impl Record {
    /// Writes the record as bytes, compressed if it is long.
    ///
    /// # Errors
    ///
    /// [`Error`] if the record is longer than [`SIZE_MAX`], or than [`PLAIN_SIZE_MAX`] before it
    /// is compressed.
    pub fn encode(&self) -> Result<Vec<u8>, Report<Error>> {
        let mut bytes = vec![FORMAT_PLAIN];
        DefaultOptions::new()
            .serialize_into(&mut bytes, self)
            .change_context(Error)?;
        check_size(bytes.len(), PLAIN_SIZE_MAX)?;
        if bytes.len() >= COMPRESSED_FROM {
            let compressed = compress_to_vec(&bytes[1..], LEVEL);
            bytes.truncate(0);
            bytes.push(FORMAT_COMPRESSED);
            bytes.extend(compressed);
        }
        check_size(bytes.len(), SIZE_MAX)?;
        Ok(bytes)
    }

    /// Reads a record.
    ///
    /// # Errors
    ///
    /// [`Error`] if the bytes are not a record.
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
    /// Writes the state as bytes for peers, not compressed.
    ///
    /// # Errors
    ///
    /// [`Error`] if the state is longer than [`PLAIN_SIZE_MAX`].
    pub fn encode(&self) -> Result<Vec<u8>, Report<Error>> {
        let bytes = DefaultOptions::new().serialize(self);
        let bytes = bytes.change_context(Error)?;
        check_size(bytes.len(), PLAIN_SIZE_MAX)?;
        Ok(bytes)
    }

    /// Reads a state.
    ///
    /// # Errors
    ///
    /// [`Error`] if the bytes are not a state.
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
    let text = format!("{size} bytes, at most {limit} fit; declare fewer upstreams");
    Err(Report::new(Error).attach(text))
}
