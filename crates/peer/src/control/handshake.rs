//! The first bytes of a control connection, which name the version of the messages.
//!
//! This form never changes, so that daemons of any two versions can tell each other apart.

use std::{fmt, io, time::Duration};

use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    time::timeout,
};

/// The version of the control messages; any change to them raises it.
pub const VERSION: u32 = 2;

/// Tells a control connection from others. As the length of a frame it would be beyond the limit,
/// so daemons that expect no greeting close the connection.
const MARK: u32 = u32::from_be_bytes(*b"cpwc");

/// Time that a greeting may take.
const TIME: Duration = Duration::from_secs(2);

/// Why a connection is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// Its daemon has another version of the messages.
    Version(u32),
    /// It does not begin as a control connection.
    Protocol,
    /// It did not begin in time.
    Slow,
}

impl Refusal {
    /// The value of the metric's label.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Version(_) => "version",
            Self::Protocol => "protocol",
            Self::Slow => "slow",
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Version(theirs) => write!(f, "version {theirs} of the messages, not {VERSION}"),
            Self::Protocol => f.write_str("no control connection"),
            Self::Slow => f.write_str("no greeting in time"),
        }
    }
}

/// Names this daemon's version.
pub(super) async fn write(mut to: impl AsyncWrite + Unpin) -> io::Result<()> {
    to.write_u32(MARK).await?;
    to.write_u32(VERSION).await
}

/// Reads the other side's version, which has to be the same.
pub(super) async fn read(from: impl AsyncRead + Unpin) -> Result<(), Refusal> {
    timeout(TIME, read_now(from))
        .await
        .unwrap_or(Err(Refusal::Slow))
}

async fn read_now(mut from: impl AsyncRead + Unpin) -> Result<(), Refusal> {
    let mark = from.read_u32().await;
    if mark.ok() != Some(MARK) {
        return Err(Refusal::Protocol);
    }
    match from.read_u32().await {
        Ok(VERSION) => Ok(()),
        Ok(theirs) => Err(Refusal::Version(theirs)),
        Err(_) => Err(Refusal::Protocol),
    }
}
