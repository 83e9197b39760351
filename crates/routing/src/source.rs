//! Where configurations and registrations come from.

use std::{fmt, time::Duration};

use crate::{configuration::Configuration, registry::Upstream};

/// Reads what operators and upstreams publish.
pub trait Source: Send + Sync + 'static {
    /// The newest configuration, once its version is above `above` or `wait` has passed.
    ///
    /// `None` if there is none above.
    ///
    /// # Errors
    ///
    /// [`Unread`] if the store does not answer or its answer makes no sense.
    fn configuration(
        &self,
        above: Option<u64>,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Configuration>, Unread>> + Send;

    /// All upstreams that are registered now.
    ///
    /// # Errors
    ///
    /// [`Unread`] if the store does not answer or its answer makes no sense.
    fn upstreams(&self) -> impl Future<Output = Result<Listing, Unread>> + Send;
}

/// The upstreams that are registered, and registrations that name none.
#[derive(Debug, Default)]
pub struct Listing {
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
    /// The names of registrations that could not be understood.
    pub unreadable: Vec<String>,
}

/// Why nothing could be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unread {
    /// What went wrong, for people.
    pub why: String,
}

impl Unread {
    /// Nothing could be read, for this reason.
    #[must_use]
    pub fn new(why: impl Into<String>) -> Self {
        Self { why: why.into() }
    }
}

impl fmt::Display for Unread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the store could not be read: {}", self.why)
    }
}

impl std::error::Error for Unread {}
