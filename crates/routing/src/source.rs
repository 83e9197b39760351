//! The source of configurations and registrations.

use std::{fmt, time::Duration};

use crate::{configuration::Configuration, registry::Upstream};

/// Reads the configurations of operators and the registrations of upstreams.
pub trait Source: Send + Sync + 'static {
    /// Returns the newest configuration, once its version is higher than `above` or `wait` has passed.
    ///
    /// Returns `None` if there is no higher version.
    ///
    /// # Errors
    ///
    /// Returns [`Unread`] if the store does not answer or its answer is invalid.
    fn configuration(
        &self,
        above: Option<u64>,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Configuration>, Unread>> + Send;

    /// Returns all registered upstreams.
    ///
    /// # Errors
    ///
    /// Returns [`Unread`] if the store does not answer or its answer is invalid.
    fn upstreams(&self) -> impl Future<Output = Result<Listing, Unread>> + Send;
}

/// The registered upstreams, and the registrations that are invalid.
#[derive(Debug, Default)]
pub struct Listing {
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
    /// The names of registrations that could not be parsed.
    pub unreadable: Vec<String>,
}

/// The error of a failed read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unread {
    /// A description of the failure.
    pub why: String,
}

impl Unread {
    /// Creates an error from a description of the failure.
    #[must_use]
    pub fn new(why: impl Into<String>) -> Self {
        Self { why: why.into() }
    }
}

impl fmt::Display for Unread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cannot read the store: {}", self.why)
    }
}

impl std::error::Error for Unread {}
