//! The store entries through which daemons agree on the leader and its plans.

use std::fmt;

use copperwell_message::HashMap;

/// A position in the log of all changes.
///
/// The log may lose its end, and offsets are given out again; each time its generation rises. A position holds
/// the generation above the offset, so that later positions are higher whatever was lost. Terms and fencing
/// tokens, which are derived from positions, then rise too.
pub type Position = u64;

/// The number of bits of an offset in a position. Generations up to 8,191 leave positions exact as JSON numbers.
const OFFSET_BITS: u32 = 40;

/// Returns the position of an offset in a generation of the log.
#[must_use]
pub fn position(generation: u64, offset: u64) -> Position {
    generation << OFFSET_BITS | offset
}

/// Returns the generation of the log and the offset at a position.
#[must_use]
pub fn generation_and_offset(position: Position) -> (u64, u64) {
    let offset = position & ((1 << OFFSET_BITS) - 1);
    (position >> OFFSET_BITS, offset)
}

/// Returns the generation of the log at a position, or in a term that began there.
#[must_use]
pub fn generation(position: Position) -> u64 {
    generation_and_offset(position).0
}

/// The state of all entries at one position.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The newest value of each entry.
    pub entries: HashMap<String, Vec<u8>>,
    /// The position after the newest change.
    pub end: Position,
}

/// Entries that are changed by compare-and-swap on the position of the newest change.
pub trait Register: Send + Sync + 'static {
    /// Reads all entries.
    ///
    /// # Errors
    ///
    /// [`Failure::NotDone`] if the store does not answer.
    fn read(&self) -> impl Future<Output = Result<Snapshot, Failure>> + Send;

    /// Writes all of the entries, or none if anything was written at or after position `at`.
    ///
    /// Returns the position after the change.
    ///
    /// # Errors
    ///
    /// [`Failure`], which says whether the change may have been made.
    fn compare_and_swap(
        &self,
        at: Position,
        entries: &[(String, Vec<u8>)],
    ) -> impl Future<Output = Result<Position, Failure>> + Send;
}

/// Why a call failed, and whether it may have had an effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// Another change was written first.
    Conflict,
    /// The call was not carried out.
    NotDone,
    /// The change may have been made, or may be made later.
    Unknown,
}

impl Failure {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Conflict => "conflict",
            Self::NotDone => "not-done",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Conflict => "another daemon wrote first; read the entries again",
            Self::NotDone => "the store did not carry out the call; retry it",
            Self::Unknown => "the store did not answer and may still make the change; read the entries to find out",
        })
    }
}

impl std::error::Error for Failure {}
