//! A gate that stops a server's sockets without closing them.

use std::{
    future::poll_fn,
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, Waker, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A gate that is open or shut; clones share it.
#[derive(Debug, Clone, Default)]
pub(super) struct Gate {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    shut: bool,
    waiting: Vec<Waker>,
}

impl Gate {
    pub(super) fn shut(&self) {
        self.state().shut = true;
    }

    pub(super) fn open(&self) {
        let mut state = self.state();
        state.shut = false;
        let waiting = std::mem::take(&mut state.waiting);
        drop(state);
        waiting.into_iter().for_each(Waker::wake);
    }

    /// Resolves when the gate is open.
    pub(super) async fn passed(&self) {
        poll_fn(|cx| self.poll_passed(cx)).await;
    }

    fn poll_passed(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut state = self.state();
        if !state.shut {
            return Poll::Ready(());
        }
        // Each task waits once, so the list is no longer than there are tasks.
        if !state
            .waiting
            .iter()
            .any(|waker| waker.will_wake(cx.waker()))
        {
            state.waiting.push(cx.waker().clone());
        }
        Poll::Pending
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A socket behind a gate.
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
        ready!(self.gate.poll_passed(cx));
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Gated<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.gate.poll_passed(cx));
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.gate.poll_passed(cx));
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.gate.poll_passed(cx));
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
