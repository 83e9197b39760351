//! Byte counts and inactivity detection of a connection.

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

/// Counts the bytes of a socket and tracks when bytes last passed in either direction.
#[derive(Debug)]
pub(crate) struct Traffic {
    created_at: Instant,
    written: AtomicU64,
    last_activity_us: AtomicU64,
    bytes: Counter,
}

impl Traffic {
    /// Creates counters for a new connection; `bytes` counts both directions.
    pub(crate) fn new(bytes: Counter) -> Self {
        Self {
            created_at: Instant::now(),
            written: AtomicU64::new(0),
            last_activity_us: AtomicU64::new(0),
            bytes,
        }
    }

    /// Returns the number of bytes written so far.
    pub(crate) fn written(&self) -> u64 {
        self.written.load(Ordering::Acquire)
    }

    /// Returns when bytes last passed or the inactivity timer was last restarted.
    pub(crate) fn last_activity(&self) -> Instant {
        self.created_at + Duration::from_micros(self.last_activity_us.load(Ordering::Acquire))
    }

    /// Restarts the inactivity timer.
    pub(crate) fn restart_timer(&self) {
        let elapsed_us = self.created_at.elapsed().as_micros();
        let elapsed_us = u64::try_from(elapsed_us).unwrap_or(u64::MAX);
        self.last_activity_us
            .fetch_max(elapsed_us, Ordering::AcqRel);
    }

    /// Resolves when no bytes have passed for `limit`.
    pub(crate) async fn wait_until_inactive(&self, limit: Duration) {
        self.wait_until_inactive_unless(limit, || false).await;
    }

    /// Resolves when no bytes have passed for `limit` and this side is not the cause.
    ///
    /// Restarts the timer while `is_excused` returns `true`, that is, while this side is the cause.
    pub(crate) async fn wait_until_inactive_unless(
        &self,
        limit: Duration,
        is_excused: impl Fn() -> bool,
    ) {
        loop {
            if is_excused() {
                self.restart_timer();
            }
            let expires_at = self.last_activity() + limit;
            if expires_at <= Instant::now() {
                return;
            }
            sleep_until(expires_at).await;
        }
    }
}

/// A socket that records its [`Traffic`].
#[derive(Debug)]
pub(crate) struct Metered<T> {
    inner: T,
    traffic: Arc<Traffic>,
}

impl<T> Metered<T> {
    pub(crate) fn new(inner: T, traffic: Arc<Traffic>) -> Self {
        Self { inner, traffic }
    }

    fn record_write(&self, result: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = result {
            let bytes = u64::try_from(*bytes).unwrap_or(u64::MAX);
            self.traffic.written.fetch_add(bytes, Ordering::AcqRel);
            self.traffic.bytes.inc_by(bytes);
            self.traffic.restart_timer();
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
            self.traffic.restart_timer();
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
        self.record_write(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.record_write(&result);
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
