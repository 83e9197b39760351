//! Why a request is not sent on, or got no upstream's response.

use std::time::Duration;

use copperwell_message::Reason;

/// Why a request is not sent on, or got no upstream's response.
///
/// It says nothing of whether the request may have run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Rejection {
    /// Why there is no upstream's response.
    pub(crate) reason: Reason,
    /// When the caller may retry, if that is known.
    pub(crate) retry_after: Option<Duration>,
}

impl Rejection {
    /// Creates a rejection without a time after which the caller may retry.
    pub(crate) fn new(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }

    /// Creates the rejection of a request that another daemon can take at once, as this one stops.
    pub(crate) fn stopping() -> Self {
        Self::new(Reason::Stopping).with_retry_after(Duration::ZERO)
    }

    /// Sets the time after which the caller may retry.
    pub(crate) fn with_retry_after(self, after: Duration) -> Self {
        Self {
            retry_after: Some(after),
            ..self
        }
    }
}
