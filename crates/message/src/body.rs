//! Streamed bodies with backpressure.

use std::{
    fmt,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use tokio::sync::mpsc;

/// The largest number of chunks that are queued between a sender and its reader.
const MAX_QUEUED_CHUNKS: usize = 4;

/// A body was not transferred completely: its sender or its reader is gone, or it exceeds a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Incomplete;

impl fmt::Display for Incomplete {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the body is incomplete")
    }
}

impl std::error::Error for Incomplete {}

/// A body that is read in chunks.
#[derive(Debug)]
pub struct Body {
    first: Option<Bytes>,
    rest: Option<mpsc::Receiver<Result<Bytes, Incomplete>>>,
    ended: bool,
}

impl Body {
    /// Creates a body without bytes.
    #[must_use]
    pub fn empty() -> Self {
        Self::full(Bytes::new())
    }

    /// Creates a body whose bytes are all present.
    #[must_use]
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self {
            first: (!bytes.is_empty()).then_some(bytes),
            rest: None,
            ended: true,
        }
    }

    /// Creates a body and the [`Sender`] that writes it.
    ///
    /// If the sender is dropped before [`Sender::end`], the reader gets [`Incomplete`].
    #[must_use]
    pub fn channel() -> (Sender, Self) {
        let (chunks, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
        let body = Self {
            first: None,
            rest: Some(receiver),
            ended: false,
        };
        (Sender { chunks }, body)
    }

    /// Prepends `bytes` to the unread rest of the body.
    #[must_use]
    pub fn with_prefix(mut self, bytes: impl Into<Bytes>) -> Self {
        let prefix = bytes.into();
        self.first = match self.first.take() {
            Some(first) => Some([prefix, first].concat().into()),
            None => (!prefix.is_empty()).then_some(prefix),
        };
        self
    }

    /// Returns whether nothing is left to read.
    #[must_use]
    pub fn is_end(&self) -> bool {
        self.first.is_none() && self.ended
    }

    /// Returns the unread bytes, if all of them are present.
    #[must_use]
    pub fn as_full(&self) -> Option<Bytes> {
        self.ended.then(|| self.first.clone().unwrap_or_default())
    }

    /// Reads the next chunk; returns `None` at the end.
    ///
    /// # Errors
    ///
    /// Returns [`Incomplete`] if the sender was dropped before the end.
    pub async fn chunk(&mut self) -> Option<Result<Bytes, Incomplete>> {
        std::future::poll_fn(|cx| self.poll_chunk(cx)).await
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Returns [`Incomplete`] if the sender was dropped before the end, or if the body is longer than
    /// `limit` bytes.
    pub async fn collect(mut self, limit: usize) -> Result<Bytes, Incomplete> {
        let mut whole = bytes::BytesMut::new();
        while let Some(chunk) = self.chunk().await {
            let chunk = chunk?;
            if whole.len() + chunk.len() > limit {
                return Err(Incomplete);
            }
            whole.extend_from_slice(&chunk);
        }
        Ok(whole.freeze())
    }

    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Incomplete>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(first)));
        }
        if self.ended {
            return Poll::Ready(None);
        }
        let Some(rest) = &mut self.rest else {
            return Poll::Ready(None);
        };
        match rest.poll_recv(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(chunk))) if chunk.is_empty() => {
                self.ended = true;
                Poll::Ready(None)
            }
            Poll::Ready(Some(Ok(chunk))) => Poll::Ready(Some(Ok(chunk))),
            Poll::Ready(Some(Err(Incomplete)) | None) => {
                self.ended = true;
                Poll::Ready(Some(Err(Incomplete)))
            }
        }
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Incomplete;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Incomplete>>> {
        self.poll_chunk(cx)
            .map(|chunk| chunk.map(|read| read.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.is_end()
    }

    fn size_hint(&self) -> SizeHint {
        match self.as_full() {
            Some(bytes) => SizeHint::with_exact(bytes.len() as u64),
            None => SizeHint::default(),
        }
    }
}

/// Writes the chunks of a body from [`Body::channel`].
#[derive(Debug)]
pub struct Sender {
    chunks: mpsc::Sender<Result<Bytes, Incomplete>>,
}

impl Sender {
    /// Sends a chunk, and waits while the queue is full; an empty chunk is skipped.
    ///
    /// # Errors
    ///
    /// Returns [`Incomplete`] if the reader was dropped.
    pub async fn send(&self, chunk: impl Into<Bytes>) -> Result<(), Incomplete> {
        let chunk = chunk.into();
        if chunk.is_empty() {
            return Ok(());
        }
        self.chunks.send(Ok(chunk)).await.map_err(|_| Incomplete)
    }

    /// Marks the body as complete.
    pub async fn end(self) {
        // An empty chunk marks the end; a dropped reader does not need it.
        let _ = self.chunks.send(Ok(Bytes::new())).await;
    }

    /// Waits until the reader is dropped.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }
}
