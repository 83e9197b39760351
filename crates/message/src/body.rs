//! Streamed bodies with backpressure.

use std::{
    fmt,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use tokio::sync::mpsc;

/// Chunks that may wait between a sender and its reader.
const CHUNKS: usize = 4;

/// A body cut short: what was read is not the whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Severed;

impl fmt::Display for Severed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the body ended before it was whole")
    }
}

impl std::error::Error for Severed {}

/// A body that is read chunk by chunk.
#[derive(Debug)]
pub struct Body {
    first: Option<Bytes>,
    rest: Option<mpsc::Receiver<Result<Bytes, Severed>>>,
    ended: bool,
}

impl Body {
    /// A body without bytes.
    #[must_use]
    pub fn empty() -> Self {
        Self::full(Bytes::new())
    }

    /// A body that is all there.
    #[must_use]
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self {
            first: (!bytes.is_empty()).then_some(bytes),
            rest: None,
            ended: true,
        }
    }

    /// A body that a [`Sender`] fills; a sender dropped before [`Sender::end`] severs it.
    #[must_use]
    pub fn channel() -> (Sender, Self) {
        let (to, from) = mpsc::channel(CHUNKS);
        let body = Self {
            first: None,
            rest: Some(from),
            ended: false,
        };
        (Sender { to }, body)
    }

    /// Puts `bytes` before what is still unread.
    #[must_use]
    pub fn with_prefix(mut self, bytes: impl Into<Bytes>) -> Self {
        let prefix = bytes.into();
        self.first = match self.first.take() {
            Some(first) => Some([prefix, first].concat().into()),
            None => (!prefix.is_empty()).then_some(prefix),
        };
        self
    }

    /// Whether nothing is left to read and the body is whole.
    #[must_use]
    pub fn is_end(&self) -> bool {
        self.first.is_none() && self.ended
    }

    /// The bytes, if the body is all there already.
    #[must_use]
    pub fn as_full(&self) -> Option<Bytes> {
        self.ended.then(|| self.first.clone().unwrap_or_default())
    }

    /// Reads the next chunk; `None` at the end.
    ///
    /// # Errors
    ///
    /// [`Severed`] if the sender went away before the end.
    pub async fn chunk(&mut self) -> Option<Result<Bytes, Severed>> {
        std::future::poll_fn(|cx| self.poll_chunk(cx)).await
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// [`Severed`] if the body is cut short or longer than `limit` bytes.
    pub async fn collect(mut self, limit: usize) -> Result<Bytes, Severed> {
        let mut whole = bytes::BytesMut::new();
        while let Some(chunk) = self.chunk().await {
            let chunk = chunk?;
            if whole.len() + chunk.len() > limit {
                return Err(Severed);
            }
            whole.extend_from_slice(&chunk);
        }
        Ok(whole.freeze())
    }

    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Severed>>> {
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
            Poll::Ready(Some(Err(Severed)) | None) => {
                self.ended = true;
                Poll::Ready(Some(Err(Severed)))
            }
        }
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Severed;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Severed>>> {
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

/// The writing side of [`Body::channel`].
#[derive(Debug)]
pub struct Sender {
    to: mpsc::Sender<Result<Bytes, Severed>>,
}

impl Sender {
    /// Sends a chunk, waiting for room; an empty chunk is skipped.
    ///
    /// # Errors
    ///
    /// [`Severed`] if the reader went away.
    pub async fn send(&self, chunk: impl Into<Bytes>) -> Result<(), Severed> {
        let chunk = chunk.into();
        if chunk.is_empty() {
            return Ok(());
        }
        self.to.send(Ok(chunk)).await.map_err(|_| Severed)
    }

    /// Ends the body as whole.
    pub async fn end(self) {
        // The empty chunk marks the end; a reader that went away needs none.
        let _ = self.to.send(Ok(Bytes::new())).await;
    }

    /// Resolves when the reader has gone away.
    pub async fn closed(&self) {
        self.to.closed().await;
    }
}
