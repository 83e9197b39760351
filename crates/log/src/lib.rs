//! The platform's append-only log and its list of VMs.

use std::{fmt, net::SocketAddr, time::Duration};

pub use copperwell_keyspace::batch::{Batch, Entry, Relayed};
use copperwell_keyspace::{
    id::{DaemonName, DataCentreName, LogOffset},
    record::Snapshot,
};
use error_stack::Report;
use serde::{Deserialize, Serialize};

pub mod append;
pub mod follow;
pub mod http;
pub mod metrics;
mod snapshots;

/// An append-only log with streams.
pub trait Log: Send + Sync + 'static {
    /// Appends one record to a stream and returns its offset.
    ///
    /// # Errors
    ///
    /// [`Error::NotAppended`] if the record is surely not in the log, [`Error::MaybeAppended`] if
    /// it may be.
    fn append(
        &self,
        stream: &str,
        bytes: Vec<u8>,
    ) -> impl Future<Output = Result<LogOffset, Report<Error>>> + Send;

    /// Reads records from an offset on; waits up to `wait` if there are none yet.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] if there is no answer, [`Error::Invalid`] if it makes no sense.
    fn read(
        &self,
        stream: &str,
        from: LogOffset,
        wait: Duration,
    ) -> impl Future<Output = Result<Batch, Report<Error>>> + Send;
}

/// The platform's list of VMs; it lags.
pub trait VmList: Send + Sync + 'static {
    /// Reads the whole list.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] if there is no answer, [`Error::Invalid`] if it makes no sense.
    fn list(&self) -> impl Future<Output = Result<Vec<Vm>, Report<Error>>> + Send;
}

/// The log as other daemons hold it.
pub trait Relay: Send + Sync + 'static {
    /// Whether this process is among those that read the log themselves, for others to read from.
    fn is_reader(&self) -> bool {
        true
    }

    /// Reads records of [`copperwell_keyspace::record::STREAM`] that a peer has kept.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] if no peer answers.
    fn records(
        &self,
        from: LogOffset,
        wait: Duration,
    ) -> impl Future<Output = Result<Batch, Report<Error>>> + Send;

    /// Notes that the platform answered after the last peer had no fresh records.
    fn avoid(&self) {}

    /// Reads the state that a peer holds.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] if no peer answers with a state.
    fn snapshot(&self) -> impl Future<Output = Result<Snapshot, Report<Error>>> + Send;
}

/// A [`Relay`] for a process without peers.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoRelay;

impl Relay for NoRelay {
    async fn records(&self, _: LogOffset, _: Duration) -> Result<Batch, Report<Error>> {
        Err(Report::new(Error::Unavailable))
    }

    async fn snapshot(&self) -> Result<Snapshot, Report<Error>> {
        Err(Report::new(Error::Unavailable))
    }
}

/// A VM of the system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The name of the daemon on it.
    pub name: DaemonName,
    /// The data centre that it runs in.
    pub data_centre: DataCentreName,
    /// Whether it stays.
    pub state: VmState,
    /// Where its daemon takes control calls.
    pub control: SocketAddr,
}

/// Whether a VM stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// It runs.
    Live,
    /// It will be stopped soon.
    Leaving,
}

/// A call to the platform that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The record is surely not in the log.
    NotAppended,
    /// The record may be in the log; reading tells.
    MaybeAppended,
    /// No answer came.
    Unavailable,
    /// The answer is not one that the interface allows.
    Invalid,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotAppended => "the record was not appended",
            Self::MaybeAppended => "the record may have been appended",
            Self::Unavailable => "the platform does not answer",
            Self::Invalid => "the platform's answer is not one that the interface allows",
        })
    }
}

impl std::error::Error for Error {}
