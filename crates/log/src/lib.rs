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
    /// [`Error::NotAppended`] if the record is certainly not in the log, [`Error::MaybeAppended`]
    /// if it may be.
    fn append(
        &self,
        stream: &str,
        bytes: Vec<u8>,
    ) -> impl Future<Output = Result<LogOffset, Report<Error>>> + Send;

    /// Reads records starting at an offset; waits up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] if there is no response, [`Error::Invalid`] if it is malformed.
    fn read(
        &self,
        stream: &str,
        from: LogOffset,
        wait: Duration,
    ) -> impl Future<Output = Result<Batch, Report<Error>>> + Send;
}

/// The platform's list of VMs, which lags behind the actual VMs.
pub trait VmList: Send + Sync + 'static {
    /// Reads the whole list.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] if there is no response, [`Error::Invalid`] if it is malformed.
    fn list(&self) -> impl Future<Output = Result<Vec<Vm>, Report<Error>>> + Send;
}

/// Access to the copies of the log that other daemons hold.
pub trait Relay: Send + Sync + 'static {
    /// Whether this process is one of those that read the log directly and relay it to others.
    fn is_reader(&self) -> bool {
        true
    }

    /// Reads records of [`copperwell_keyspace::record::STREAM`] that a peer keeps, starting at an
    /// offset; waits up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] if no peer responds.
    fn records(
        &self,
        from: LogOffset,
        wait: Duration,
    ) -> impl Future<Output = Result<Batch, Report<Error>>> + Send;

    /// Reports that the peer last read from was stale although the platform was available.
    fn avoid(&self) {}

    /// Reads a snapshot of a peer's state.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] if no peer responds with a state.
    fn snapshot(&self) -> impl Future<Output = Result<Snapshot, Report<Error>>> + Send;
}

/// A [`Relay`] for a process without peers; every read fails.
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

/// A VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The name of the daemon that runs on the VM.
    pub name: DaemonName,
    /// The data centre of the VM.
    pub data_centre: DataCentreName,
    /// Whether the VM keeps running.
    pub state: VmState,
    /// The address at which the daemon accepts control calls.
    pub control: SocketAddr,
}

/// The lifecycle state of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM will be stopped soon.
    Leaving,
}

/// Why a call to the platform or to a peer failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The record is certainly not in the log.
    NotAppended,
    /// The record may be in the log; only reading the log settles it.
    MaybeAppended,
    /// No response arrived.
    Unavailable,
    /// The response violates the interface.
    Invalid,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotAppended => "the record was not appended",
            Self::MaybeAppended => "the record may have been appended",
            Self::Unavailable => "the platform does not respond",
            Self::Invalid => "the platform's response violates its interface",
        })
    }
}

impl std::error::Error for Error {}
