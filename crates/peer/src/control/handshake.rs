//! The first bytes of a control connection: a magic number and the protocol version.
//!
//! This format never changes, so that daemons of any two versions detect the difference.

use std::{fmt, io, time::Duration};

use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    time::timeout,
};

/// Version of the control protocol; every change to its messages increments it.
pub const VERSION: u32 = 2;

/// Identifies a control connection. Read as the length of a frame, it exceeds the limit, so daemons
/// that expect no handshake close the connection.
const MAGIC: u32 = u32::from_be_bytes(*b"cpwc");

/// Maximum time for receiving the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// The reason for refusing a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The client uses another version of the protocol.
    Version(u32),
    /// The connection does not start with a valid handshake.
    Protocol,
    /// The handshake did not arrive in time.
    TimedOut,
}

impl Refusal {
    /// Returns the value for the `reason` label of the metric.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Version(_) => "version",
            Self::Protocol => "protocol",
            Self::TimedOut => "slow",
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Version(remote) => write!(f, "protocol version is {remote}, expected {VERSION}"),
            Self::Protocol => f.write_str("invalid handshake"),
            Self::TimedOut => f.write_str("handshake timed out"),
        }
    }
}

/// Sends the handshake with this daemon's version.
pub(super) async fn write(mut to: impl AsyncWrite + Unpin) -> io::Result<()> {
    to.write_u32(MAGIC).await?;
    to.write_u32(VERSION).await
}

/// Reads the handshake and checks that the client's version is the same.
pub(super) async fn read(from: impl AsyncRead + Unpin) -> Result<(), Refusal> {
    timeout(HANDSHAKE_TIMEOUT, read_unbounded(from))
        .await
        .unwrap_or(Err(Refusal::TimedOut))
}

async fn read_unbounded(mut from: impl AsyncRead + Unpin) -> Result<(), Refusal> {
    let magic = from.read_u32().await;
    if magic.ok() != Some(MAGIC) {
        return Err(Refusal::Protocol);
    }
    match from.read_u32().await {
        Ok(VERSION) => Ok(()),
        Ok(remote) => Err(Refusal::Version(remote)),
        Err(_) => Err(Refusal::Protocol),
    }
}
