//! Transfers messages and bodies over h2 streams, with backpressure.

use std::future::poll_fn;

use crate::wire::{self, Decoder};
use bytes::Bytes;
use copperwell_memory::{Budget, Flow};
use copperwell_message::{Body, Sender};
use h2::{Reason, RecvStream, SendStream};
use http::HeaderMap;
use serde::{Serialize, de::DeserializeOwned};

/// Maximum size of a body that is sent in the same chunk as its message.
const INLINE_BODY_MAX_BYTES: usize = 16 * 1024;

/// The reason why no message was received.
pub(super) enum Error {
    /// The stream or its link failed.
    Link(h2::Error),
    /// The bytes are not a complete, valid message.
    Malformed,
}

/// The first chunk of a stream: the message, and the body if it is small.
pub(super) struct FirstChunk {
    bytes: Bytes,
    has_body: bool,
}

/// A body that remains to be sent.
pub(super) struct Remainder {
    to: SendStream<Bytes>,
    body: Body,
}

/// A body that remains to be received.
pub(super) struct IncomingBody {
    from: RecvStream,
    buffered: Bytes,
    /// Remaining length in bytes, if known.
    length: Option<u64>,
}

/// Returns the length of a fully buffered body; `None` for a streamed one.
pub(super) fn known_length(body: &Body) -> Option<u64> {
    body.as_full().map(|bytes| bytes.len() as u64)
}

/// Encodes a message, together with the body if it is small and fully buffered.
pub(super) fn encode_first(
    message: &impl Serialize,
    body: &Body,
) -> Result<FirstChunk, wire::Error> {
    let inline = body
        .as_full()
        .filter(|bytes| bytes.len() <= INLINE_BODY_MAX_BYTES);
    let bytes = wire::encode(message, inline.as_deref().unwrap_or_default())?;
    Ok(FirstChunk {
        bytes,
        has_body: inline.is_some(),
    })
}

/// Reads the message at the start of a stream.
pub(super) async fn read_message<T: DeserializeOwned>(
    mut from: RecvStream,
) -> Result<(T, IncomingBody), Error> {
    let mut decoder = Decoder::default();
    loop {
        let chunk = from.data().await.ok_or(Error::Malformed)?;
        let chunk = chunk.map_err(Error::Link)?;
        // This fails only for more bytes than were received.
        let _ = from.flow_control().release_capacity(chunk.len());
        if let Some(message) = decoder.push(&chunk).map_err(|_| Error::Malformed)? {
            let incoming = IncomingBody {
                from,
                buffered: decoder.into_remaining(),
                length: None,
            };
            return Ok((message, incoming));
        }
    }
}

impl FirstChunk {
    /// Sends the chunk; returns what remains to be sent.
    pub(super) fn send(self, mut to: SendStream<Bytes>, body: Body) -> Option<Remainder> {
        // This fails if the stream is closed, which the receiving side detects as well.
        let _ = to.send_data(self.bytes, self.has_body);
        (!self.has_body).then_some(Remainder { to, body })
    }
}

impl Remainder {
    /// Sends until the body ends or the stream is reset.
    pub(super) async fn send(mut self) {
        loop {
            let chunk = tokio::select! {
                biased;
                _ = poll_fn(|cx| self.to.poll_reset(cx)) => return,
                chunk = self.body.chunk() => chunk,
            };
            match chunk {
                Some(Ok(chunk)) => {
                    if self.send_chunk(chunk).await.is_err() {
                        return;
                    }
                }
                Some(Err(_)) => return self.to.send_reset(Reason::INTERNAL_ERROR),
                None => {
                    // This fails if the stream is closed, which the receiving side detects as well.
                    let _ = self.to.send_trailers(HeaderMap::new());
                    return;
                }
            }
        }
    }

    async fn send_chunk(&mut self, mut chunk: Bytes) -> Result<(), ()> {
        while !chunk.is_empty() {
            self.to.reserve_capacity(chunk.len());
            let capacity = poll_fn(|cx| self.to.poll_capacity(cx)).await;
            let capacity = capacity.ok_or(())?.map_err(|_| ())?;
            let part = chunk.split_to(capacity.min(chunk.len()));
            self.to.send_data(part, false).map_err(|_| ())?;
        }
        Ok(())
    }
}

impl IncomingBody {
    /// Sets the length that the message announces; a body that ends before it is severed.
    pub(super) fn with_length(mut self, length: Option<u64>) -> Self {
        self.length = length;
        self
    }

    /// Returns the body, of which no more is buffered than `budget` has room for; `guard` is dropped once the body is
    /// received or abandoned.
    pub(super) async fn into_body(self, guard: impl Send + 'static, budget: &Budget) -> Body {
        let flow = budget.flow();
        if self.length == Some(self.buffered.len() as u64) {
            let room = flow.reserve(self.buffered.len()).await;
            return Body::full(room.bind(self.buffered));
        }
        let (to, body) = Body::channel();
        tokio::spawn(async move {
            self.copy(to, flow).await;
            drop(guard);
        });
        body
    }

    /// Copies until the body ends or its reader drops it; an early return severs the body.
    async fn copy(mut self, to: Sender, flow: Flow) {
        let buffered = std::mem::take(&mut self.buffered);
        let buffered = flow.reserve(buffered.len()).await.bind(buffered);
        if !self.deliver(buffered, &to).await {
            return;
        }
        while self.length != Some(0) {
            let chunk = tokio::select! {
                biased;
                () = to.closed() => return,
                chunk = self.from.data() => chunk,
            };
            match chunk {
                Some(Ok(chunk)) => {
                    let size = chunk.len();
                    // Its sender gets no further capacity until there is room.
                    let room = tokio::select! {
                        biased;
                        () = to.closed() => return,
                        room = flow.reserve(size) => room,
                    };
                    if !self.deliver(room.bind(chunk), &to).await {
                        return;
                    }
                    // This fails only for more bytes than were received.
                    let _ = self.from.flow_control().release_capacity(size);
                }
                Some(Err(_)) => return,
                None if self.length.is_some() => return,
                None => match self.from.trailers().await {
                    Ok(Some(_)) => break,
                    Ok(None) | Err(_) => return,
                },
            }
        }
        to.end().await;
    }

    /// Forwards a chunk; false if the body is longer than announced or its reader dropped it.
    async fn deliver(&mut self, chunk: Bytes, to: &Sender) -> bool {
        if let Some(remaining) = &mut self.length {
            let Some(after) = remaining.checked_sub(chunk.len() as u64) else {
                return false;
            };
            *remaining = after;
        }
        to.send(chunk).await.is_ok()
    }
}
