//! The store entries through which daemons agree on the leader and its plans.

use std::fmt;

use copperwell_message::HashMap;

/// A position in the log of all changes.
pub type Position = u64;

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
