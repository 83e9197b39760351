//! HTTP/1.1 client connections whose peer has to get on with its answer.
//!
//! The HTTP library bounds heads, trailers and extensions of chunks, and a caller bounds bodies. Bytes that are none of
//! these have no bound there: interim answers, and zeros before the size of a chunk, are read for as long as the peer
//! sends them. [`handshake`] bounds them all alike: the bytes that arrive until the answer gets on, by its head or by a
//! part of its body.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use http_body::{Body, Frame, SizeHint};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The largest head of an answer, in bytes.
pub const HEAD_MAX_BYTES: usize = 64 << 10;

/// The most that is read at a time, in bytes.
pub const READ_MAX_BYTES: usize = 16 << 10;

/// The most bytes that may arrive from when a request is sent until the head of its answer: the head, and what is read
/// with its end.
pub const UNTIL_HEAD_MAX_BYTES: usize = HEAD_MAX_BYTES + READ_MAX_BYTES;

/// The most bytes that may arrive from one part of a body to the next: what the HTTP library reads ahead of those who
/// take the body, and what frames the next part.
pub const UNTIL_PART_MAX_BYTES: usize = 4 * READ_MAX_BYTES;

/// The side of a connection that sends requests.
pub type Sender<B> = http1::SendRequest<B>;

/// The connection itself, which has to be polled.
pub type Connection<T, B> = http1::Connection<TokioIo<Reader<T>>, B>;

/// A connection that has been opened.
#[derive(Debug)]
pub struct Opened<T, B>
where
    T: AsyncRead + AsyncWrite + Unpin,
    B: Body + 'static,
{
    /// Sends requests.
    pub sender: Sender<B>,
    /// The connection itself.
    pub connection: Connection<T, B>,
    /// What its peer may send. It is to be renewed as each request is sent, and each answer is to be read through
    /// [`Allowance::answer`].
    pub allowance: Allowance,
}

/// Opens an HTTP/1.1 client connection on `io`.
///
/// # Errors
///
/// Returns the HTTP library's error.
pub async fn handshake<T, B>(io: T) -> hyper::Result<Opened<T, B>>
where
    T: AsyncRead + AsyncWrite + Unpin,
    B: Body + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    handshake_reading(io, READ_MAX_BYTES).await
}

/// Like [`handshake`], but reads at most `read_bytes` at a time, and no more than [`READ_MAX_BYTES`].
///
/// The HTTP library keeps some four reads of a body that nobody takes.
///
/// # Errors
///
/// Returns the HTTP library's error.
pub async fn handshake_reading<T, B>(io: T, read_bytes: usize) -> hyper::Result<Opened<T, B>>
where
    T: AsyncRead + AsyncWrite + Unpin,
    B: Body + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let allowance = Allowance::default();
    let reader = Reader::new(io, allowance.clone()).with_read_bytes(read_bytes);
    let (sender, connection) = http1::Builder::new()
        .max_header_size(HEAD_MAX_BYTES)
        .max_buf_size(HEAD_MAX_BYTES)
        .handshake(TokioIo::new(reader))
        .await?;
    Ok(Opened {
        sender,
        connection,
        allowance,
    })
}

/// How many bytes may still arrive until the answer gets on; clones share the count.
#[derive(Debug, Clone)]
pub struct Allowance {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    left_bytes: AtomicUsize,
    is_used_up: AtomicBool,
}

/// A socket that fails once its peer has used up its allowance.
#[derive(Debug)]
pub struct Reader<T> {
    inner: T,
    allowance: Allowance,
    read_bytes: usize,
}

/// The body of an answer, which renews the allowance with each of its parts.
#[derive(Debug)]
pub struct Answer<B> {
    inner: B,
    allowance: Allowance,
}

impl Default for Allowance {
    fn default() -> Self {
        Self {
            shared: Arc::new(Shared {
                left_bytes: AtomicUsize::new(UNTIL_HEAD_MAX_BYTES),
                is_used_up: AtomicBool::new(false),
            }),
        }
    }
}

impl Allowance {
    /// Allows the bytes until the head of an answer, as a request is sent.
    pub fn renew(&self) {
        self.set(UNTIL_HEAD_MAX_BYTES);
    }

    /// Returns whether the peer has sent more than it may, so that the connection has failed.
    #[must_use]
    pub fn is_used_up(&self) -> bool {
        self.shared.is_used_up.load(Ordering::Acquire)
    }

    /// Returns the body of an answer whose head has arrived.
    #[must_use]
    pub fn answer<B>(&self, body: B) -> Answer<B> {
        self.set(UNTIL_PART_MAX_BYTES);
        Answer {
            inner: body,
            allowance: self.clone(),
        }
    }

    fn set(&self, bytes: usize) {
        self.shared.left_bytes.store(bytes, Ordering::Release);
    }

    fn use_up(&self, bytes: usize) -> io::Result<()> {
        let left = |left: usize| left.checked_sub(bytes);
        let left_bytes = &self.shared.left_bytes;
        let is_enough = left_bytes.fetch_update(Ordering::AcqRel, Ordering::Acquire, left);
        if is_enough.is_ok() && !self.is_used_up() {
            return Ok(());
        }
        self.shared.is_used_up.store(true, Ordering::Release);
        Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "the peer sends bytes, and its answer does not get on; its connection is closed",
        ))
    }
}

impl<T> Reader<T> {
    /// Creates a socket whose peer has this `allowance`.
    #[must_use]
    pub fn new(inner: T, allowance: Allowance) -> Self {
        Self {
            inner,
            allowance,
            read_bytes: READ_MAX_BYTES,
        }
    }

    /// Sets the most that is read at a time.
    #[must_use]
    pub fn with_read_bytes(self, read_bytes: usize) -> Self {
        Self {
            read_bytes: read_bytes.clamp(1, READ_MAX_BYTES),
            ..self
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Reader<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let size = buf.remaining().min(self.read_bytes);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(size));
        match Pin::new(&mut self.inner).poll_read(cx, &mut part) {
            Poll::Ready(Ok(())) => {
                let bytes = part.filled().len();
                buf.advance(bytes);
                Poll::Ready(self.allowance.use_up(bytes))
            }
            other => other,
        }
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Reader<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

impl<B: Body + Unpin> Body for Answer<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        if let Poll::Ready(Some(Ok(_))) = &polled {
            self.allowance.set(UNTIL_PART_MAX_BYTES);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
