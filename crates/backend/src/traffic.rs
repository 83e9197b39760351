//! What has passed over a connection, and when.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use prometheus_client::metrics::counter::Counter;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Instant, sleep_until},
};

/// Bytes written to a socket, and when bytes last passed in either direction.
#[derive(Debug)]
pub(crate) struct Traffic {
    base: Instant,
    written: AtomicU64,
    progress_us: AtomicU64,
    bytes: Counter,
}

impl Traffic {
    /// Traffic that `bytes` counts, both ways.
    pub(crate) fn new(bytes: Counter) -> Self {
        Self {
            base: Instant::now(),
            written: AtomicU64::new(0),
            progress_us: AtomicU64::new(0),
            bytes,
        }
    }

    /// Bytes written so far.
    pub(crate) fn written(&self) -> u64 {
        self.written.load(Ordering::Acquire)
    }

    /// When bytes last passed, or silence was last begun to be measured.
    pub(crate) fn last_progress(&self) -> Instant {
        self.base + Duration::from_micros(self.progress_us.load(Ordering::Acquire))
    }

    /// Begins to measure silence now.
    pub(crate) fn mark(&self) {
        let passed = self.base.elapsed().as_micros();
        let passed = u64::try_from(passed).unwrap_or(u64::MAX);
        self.progress_us.fetch_max(passed, Ordering::AcqRel);
    }

    /// Resolves when nothing has passed for `limit`.
    pub(crate) async fn silent(&self, limit: Duration) {
        self.silent_unless(limit, || false).await;
    }

    /// Resolves when nothing has passed for `limit` and that is not this side's doing.
    pub(crate) async fn silent_unless(&self, limit: Duration, excused: impl Fn() -> bool) {
        loop {
            if excused() {
                self.mark();
            }
            let due = self.last_progress() + limit;
            if due <= Instant::now() {
                return;
            }
            sleep_until(due).await;
        }
    }
}

/// A socket that notes its [`Traffic`].
#[derive(Debug)]
pub(crate) struct Metered<T> {
    inner: T,
    traffic: Arc<Traffic>,
}

impl<T> Metered<T> {
    pub(crate) fn new(inner: T, traffic: Arc<Traffic>) -> Self {
        Self { inner, traffic }
    }

    fn note_written(&self, result: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = result {
            let bytes = u64::try_from(*bytes).unwrap_or(u64::MAX);
            self.traffic.written.fetch_add(bytes, Ordering::AcqRel);
            self.traffic.bytes.inc_by(bytes);
            self.traffic.mark();
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Metered<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.inner).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        if read > 0 {
            self.traffic.bytes.inc_by(read as u64);
            self.traffic.mark();
        }
        result
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Metered<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.note_written(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.note_written(&result);
        result
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
