//! A gate that suspends I/O on a server's sockets without closing them.

use std::{
    future::poll_fn,
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, Waker, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A gate that is open or closed; clones share its state.
#[derive(Debug, Clone, Default)]
pub(super) struct Gate {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    is_closed: bool,
    wakers: Vec<Waker>,
}

impl Gate {
    pub(super) fn close(&self) {
        self.state().is_closed = true;
    }

    pub(super) fn open(&self) {
        let mut state = self.state();
        state.is_closed = false;
        let wakers = std::mem::take(&mut state.wakers);
        drop(state);
        wakers.into_iter().for_each(Waker::wake);
    }

    /// Waits until the gate is open.
    pub(super) async fn wait_open(&self) {
        poll_fn(|cx| self.poll_open(cx)).await;
    }

    fn poll_open(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut state = self.state();
        if !state.is_closed {
            return Poll::Ready(());
        }
        // Each task is registered once, so the list is never longer than the number of tasks.
        if !state.wakers.iter().any(|waker| waker.will_wake(cx.waker())) {
            state.wakers.push(cx.waker().clone());
        }
        Poll::Pending
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A socket whose reads and writes wait while its gate is closed.
#[derive(Debug)]
pub(super) struct Gated<T> {
    inner: T,
    gate: Gate,
}

impl<T> Gated<T> {
    pub(super) fn new(inner: T, gate: Gate) -> Self {
        Self { inner, gate }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Gated<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.gate.poll_open(cx));
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Gated<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.gate.poll_open(cx));
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.gate.poll_open(cx));
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.gate.poll_open(cx));
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
