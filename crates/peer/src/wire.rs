//! What precedes a body on a request stream: a length and a bincode message.

use std::net::SocketAddr;

use bincode::Options;
use bytes::{BufMut, Bytes, BytesMut};
use copperwell_message::{Head, Reply};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// The largest encoded message, in bytes.
pub(crate) const SIZE_MAX: usize = 64 * 1024;

/// Bytes of the length that precedes a message.
const PREFIX: usize = size_of::<u32>();

/// Opens a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Opening {
    /// The daemon that is to serve the request, if the receiver is only a relay.
    pub(crate) target: Option<SocketAddr>,
    /// Bytes of the body, if they are known; otherwise trailers mark its end.
    pub(crate) length: Option<u64>,
    /// The head.
    pub(crate) head: Head,
}

/// Opens a response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Answer {
    /// Bytes of the body, if they are known; otherwise trailers mark its end.
    pub(crate) length: Option<u64>,
    /// The head.
    pub(crate) reply: Reply,
}

/// A message that is too long, or bytes that are none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Error;

/// Collects the bytes of a message until it is whole.
#[derive(Debug, Default)]
pub(crate) struct Decoder {
    read: BytesMut,
}

/// Writes a message, with `body` after it in the same buffer.
pub(crate) fn encode(message: &impl Serialize, body: &[u8]) -> Result<Bytes, Error> {
    let size = options().serialized_size(message).map_err(|_| Error)?;
    let size = usize::try_from(size).map_err(|_| Error)?;
    let prefix = u32::try_from(size).map_err(|_| Error)?;
    let mut bytes = BytesMut::with_capacity(PREFIX + size + body.len());
    bytes.put_u32(prefix);
    let mut writer = bytes.writer();
    options()
        .serialize_into(&mut writer, message)
        .map_err(|_| Error)?;
    let mut bytes = writer.into_inner();
    bytes.put_slice(body);
    Ok(bytes.freeze())
}

impl Decoder {
    /// Takes in bytes; gives the message once it is whole.
    pub(crate) fn push<T: DeserializeOwned>(&mut self, bytes: &[u8]) -> Result<Option<T>, Error> {
        self.read.extend_from_slice(bytes);
        let Some(prefix) = self.read.first_chunk::<PREFIX>() else {
            return Ok(None);
        };
        let size = u32::from_be_bytes(*prefix) as usize;
        if size > SIZE_MAX {
            return Err(Error);
        }
        let Some(message) = self.read.get(PREFIX..PREFIX + size) else {
            return Ok(None);
        };
        options().deserialize(message).map(Some).map_err(|_| Error)
    }

    /// The bytes that follow a message that was given.
    pub(crate) fn rest(self) -> Bytes {
        let bytes = self.read.freeze();
        let Some(prefix) = bytes.first_chunk::<PREFIX>() else {
            return Bytes::new();
        };
        let end = PREFIX + u32::from_be_bytes(*prefix) as usize;
        bytes.slice(end.min(bytes.len())..)
    }
}

fn options() -> impl Options {
    bincode::DefaultOptions::new().with_limit(SIZE_MAX as u64)
}

#[cfg(test)]
mod tests;
