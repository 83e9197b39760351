//! The entries of the store by which daemons agree.

use std::fmt;

use copperwell_message::HashMap;

/// A position in the order of all changes.
pub type Position = u64;

/// All entries, at one position.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The newest value of each entry.
    pub entries: HashMap<String, Vec<u8>>,
    /// The position after the newest change.
    pub end: Position,
}

/// Entries that can be changed only by those who know the newest change.
pub trait Register: Send + Sync + 'static {
    /// Reads all entries.
    ///
    /// # Errors
    ///
    /// [`Failure::NotDone`] if the store does not answer.
    fn read(&self) -> impl Future<Output = Result<Snapshot, Failure>> + Send;

    /// Writes entries, all or none, if nothing was written at or after position `at`.
    ///
    /// Gives the position after the change.
    ///
    /// # Errors
    ///
    /// [`Failure`], which tells whether the change may have been made.
    fn swap(
        &self,
        at: Position,
        entries: &[(String, Vec<u8>)],
    ) -> impl Future<Output = Result<Position, Failure>> + Send;
}

/// Why a call had no effect, or none that is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// Something else was written first.
    Conflict,
    /// Nothing was done.
    NotDone,
    /// The change may have been made, or may be made later.
    Unknown,
}

impl Failure {
    /// The word for logs and metrics.
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
            Self::NotDone => "the store did not take the call",
            Self::Unknown => "the store gave no answer; the change may be made later",
        })
    }
}

impl std::error::Error for Failure {}
