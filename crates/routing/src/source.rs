//! The source of configurations and registrations.

use std::{fmt, time::Duration};

use crate::{configuration::Configuration, evacuation::Evacuations, registry::Upstream};

/// Reads the configurations of operators and the registrations of upstreams.
pub trait Source: Send + Sync + 'static {
    /// Waits for at most `wait` until there is a configuration with a version higher than `above`, and returns
    /// the newest one.
    ///
    /// Returns `None` if there is no higher version.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError`] if the store does not answer or its answer is invalid.
    fn configuration(
        &self,
        above: Option<u64>,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Configuration>, ReadError>> + Send;

    /// Returns the evacuated data centres, as the last read of the configuration has found them; `None` before the
    /// first one.
    fn evacuations(&self) -> Option<Evacuations> {
        None
    }

    /// Returns all registered upstreams.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError`] if the store does not answer or its answer is invalid.
    fn upstreams(&self) -> impl Future<Output = Result<Listing, ReadError>> + Send;
}

/// The registered upstreams, and the registrations that are invalid.
#[derive(Debug, Default)]
pub struct Listing {
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
    /// The names of registrations that could not be parsed.
    pub invalid: Vec<String>,
    /// How often the store has come back from a copy and lost what was written since.
    pub generation: u64,
}

/// The error of a failed read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadError {
    /// A description of the failure.
    pub message: String,
}

impl ReadError {
    /// Creates an error from a description of the failure.
    #[must_use]
    pub fn new(message: impl Into<String>) -> Self {
        Self {
            message: message.into(),
        }
    }
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cannot read the store: {}", self.message)
    }
}

impl std::error::Error for ReadError {}
