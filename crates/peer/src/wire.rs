//! Framing of request streams: a length and a bincode message precede each body.

use std::net::SocketAddr;

use bincode::Options;
use bytes::{BufMut, Bytes, BytesMut};
use copperwell_message::{Head, Reply};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Maximum size of an encoded message.
pub(crate) const MESSAGE_MAX_BYTES: usize = 64 * 1024;

/// Size of the length that precedes a message.
const LENGTH_PREFIX_BYTES: usize = size_of::<u32>();

/// The message that precedes the body of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RequestHeader {
    /// The daemon that serves the request, if the receiver only relays it.
    pub(crate) target: Option<SocketAddr>,
    /// Length of the body in bytes, if known; otherwise trailers mark its end.
    pub(crate) length: Option<u64>,
    /// The head of the request.
    pub(crate) head: Head,
}

/// The message that precedes the body of a response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ResponseHeader {
    /// Length of the body in bytes, if known; otherwise trailers mark its end.
    pub(crate) length: Option<u64>,
    /// The head of the response.
    pub(crate) reply: Reply,
}

/// A message that is too long or malformed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Error;

/// Buffers the bytes of a message until it is complete.
#[derive(Debug, Default)]
pub(crate) struct Decoder {
    buffer: BytesMut,
}

/// Encodes a message, followed by `body` in the same buffer.
pub(crate) fn encode(message: &impl Serialize, body: &[u8]) -> Result<Bytes, Error> {
    let size = options().serialized_size(message).map_err(|_| Error)?;
    let size = usize::try_from(size).map_err(|_| Error)?;
    let prefix = u32::try_from(size).map_err(|_| Error)?;
    let mut bytes = BytesMut::with_capacity(LENGTH_PREFIX_BYTES + size + body.len());
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
    /// Appends bytes; returns the message once it is complete.
    pub(crate) fn push<T: DeserializeOwned>(&mut self, bytes: &[u8]) -> Result<Option<T>, Error> {
        self.buffer.extend_from_slice(bytes);
        let Some(prefix) = self.buffer.first_chunk::<LENGTH_PREFIX_BYTES>() else {
            return Ok(None);
        };
        let size = u32::from_be_bytes(*prefix) as usize;
        if size > MESSAGE_MAX_BYTES {
            return Err(Error);
        }
        let Some(message) = self
            .buffer
            .get(LENGTH_PREFIX_BYTES..LENGTH_PREFIX_BYTES + size)
        else {
            return Ok(None);
        };
        options().deserialize(message).map(Some).map_err(|_| Error)
    }

    /// Returns the bytes after the decoded message.
    pub(crate) fn into_remaining(self) -> Bytes {
        let bytes = self.buffer.freeze();
        let Some(prefix) = bytes.first_chunk::<LENGTH_PREFIX_BYTES>() else {
            return Bytes::new();
        };
        let end = LENGTH_PREFIX_BYTES + u32::from_be_bytes(*prefix) as usize;
        bytes.slice(end.min(bytes.len())..)
    }
}

fn options() -> impl Options {
    bincode::DefaultOptions::new().with_limit(MESSAGE_MAX_BYTES as u64)
}

#[cfg(test)]
mod tests;
