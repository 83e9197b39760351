//! Copies bodies between h2 streams and [`Body`], with backpressure.

use std::future::poll_fn;

use crate::wire::{self, Decoder};
use bytes::Bytes;
use copperwell_message::{Body, Sender};
use h2::{Reason, RecvStream, SendStream};
use http::HeaderMap;
use serde::{Serialize, de::DeserializeOwned};

/// Bodies up to this many bytes go with the message before them.
const INLINE_MAX: usize = 16 * 1024;

/// Why no message came.
pub(super) enum Error {
    /// The stream or its link broke.
    Link(h2::Error),
    /// The bytes are no message.
    Message,
}

/// The first bytes of a stream.
pub(super) struct First {
    bytes: Bytes,
    inline: bool,
}

/// What is still to be sent of a body.
pub(super) struct Rest {
    to: SendStream<Bytes>,
    body: Body,
}

/// What is still to be received of a body.
pub(super) struct Incoming {
    from: RecvStream,
    first: Bytes,
    length: Option<u64>,
}

/// The length of a body that is all there.
pub(super) fn length_of(body: &Body) -> Option<u64> {
    body.as_full().map(|bytes| bytes.len() as u64)
}

/// Encodes a message, with a small body that is all there.
pub(super) fn first(message: &impl Serialize, body: &Body) -> Result<First, wire::Error> {
    let inline = body.as_full().filter(|bytes| bytes.len() <= INLINE_MAX);
    let bytes = wire::encode(message, inline.as_deref().unwrap_or_default())?;
    Ok(First {
        bytes,
        inline: inline.is_some(),
    })
}

/// Reads the message at the start of a stream.
pub(super) async fn open<T: DeserializeOwned>(
    mut from: RecvStream,
) -> Result<(T, Incoming), Error> {
    let mut decoder = Decoder::default();
    loop {
        let chunk = from.data().await.ok_or(Error::Message)?;
        let chunk = chunk.map_err(Error::Link)?;
        // It fails only for more than was received.
        let _ = from.flow_control().release_capacity(chunk.len());
        if let Some(message) = decoder.push(&chunk).map_err(|_| Error::Message)? {
            let incoming = Incoming {
                from,
                first: decoder.rest(),
                length: None,
            };
            return Ok((message, incoming));
        }
    }
}

impl First {
    /// Sends the first bytes; gives what is left to send.
    pub(super) fn send(self, mut to: SendStream<Bytes>, body: Body) -> Option<Rest> {
        // It fails if the stream is closed, which the reading side learns too.
        let _ = to.send_data(self.bytes, self.inline);
        (!self.inline).then_some(Rest { to, body })
    }
}

impl Rest {
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
                    // It fails if the stream is closed, which the reading side learns too.
                    let _ = self.to.send_trailers(HeaderMap::new());
                    return;
                }
            }
        }
    }

    async fn send_chunk(&mut self, mut chunk: Bytes) -> Result<(), ()> {
        while !chunk.is_empty() {
            self.to.reserve_capacity(chunk.len());
            let room = poll_fn(|cx| self.to.poll_capacity(cx)).await;
            let room = room.ok_or(())?.map_err(|_| ())?;
            let part = chunk.split_to(room.min(chunk.len()));
            self.to.send_data(part, false).map_err(|_| ())?;
        }
        Ok(())
    }
}

impl Incoming {
    pub(super) fn with_length(mut self, length: Option<u64>) -> Self {
        self.length = length;
        self
    }

    /// The body; `kept` is dropped once it is read or given up.
    pub(super) fn into_body(self, kept: impl Send + 'static) -> Body {
        if self.length == Some(self.first.len() as u64) {
            return Body::full(self.first);
        }
        let (to, body) = Body::channel();
        tokio::spawn(async move {
            self.copy(to).await;
            drop(kept);
        });
        body
    }

    /// Copies until the body ends or its reader goes away; returning early severs it.
    async fn copy(mut self, to: Sender) {
        let first = std::mem::take(&mut self.first);
        if !self.deliver(first, &to).await {
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
                    if !self.deliver(chunk, &to).await {
                        return;
                    }
                    // It fails only for more than was received.
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

    /// Passes bytes on; false if the body is longer than announced or its reader went away.
    async fn deliver(&mut self, chunk: Bytes, to: &Sender) -> bool {
        if let Some(left) = &mut self.length {
            let Some(after) = left.checked_sub(chunk.len() as u64) else {
                return false;
            };
            *left = after;
        }
        to.send(chunk).await.is_ok()
    }
}
