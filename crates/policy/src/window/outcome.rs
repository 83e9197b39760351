//! The outcomes of requests.

use copperwell_message::{Reason, Reply};
use serde::{Deserialize, Serialize};

/// Maximum size of an answer that is kept, in bytes of head and body.
pub const ANSWER_BYTES_MAX: usize = 8 << 10;

/// The outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It ran, and this is its complete answer.
    Answered(Box<KeptAnswer>),
    /// It ran and its answer was complete, but that answer is not kept.
    Done {
        /// The status of the answer.
        status: u16,
    },
    /// It may have run, and must not run again.
    MayHaveRun {
        /// Why its outcome is not known.
        reason: Reason,
    },
    /// It did not run, so a retry may run it.
    NotRun,
}

/// A complete answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// The head.
    pub reply: Reply,
    /// The body.
    pub body: Vec<u8>,
}

impl Outcome {
    /// Returns the memory size of the kept answer in bytes; zero if there is none.
    pub(super) fn bytes(&self) -> usize {
        match self {
            Self::Answered(answer) => answer.bytes(),
            _ => 0,
        }
    }

    /// Drops the answer if it exceeds [`ANSWER_BYTES_MAX`].
    pub(super) fn bounded(self) -> Self {
        if self.bytes() > ANSWER_BYTES_MAX {
            self.without_answer()
        } else {
            self
        }
    }

    pub(super) fn without_answer(&self) -> Self {
        match self {
            Self::Answered(answer) => Self::Done {
                status: answer.reply.status,
            },
            other => other.clone(),
        }
    }
}

impl KeptAnswer {
    fn bytes(&self) -> usize {
        let headers = self.reply.headers.iter();
        let head: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        size_of::<Self>() + head + self.body.len()
    }
}
