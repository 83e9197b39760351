//! The body of a request that is being sent to a server.

use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use bytes::Bytes;
use copperwell_message::{Body, Incomplete};
use http_body::{Frame, SizeHint};

/// A request body that exposes whether it is waiting for data from its source.
#[derive(Debug)]
pub(crate) struct Outgoing {
    body: Body,
    stalled: Stalled,
}

/// Whether a body is waiting for data from its source; clones share the state.
#[derive(Debug, Clone, Default)]
pub(crate) struct Stalled {
    flag: Arc<AtomicBool>,
}

impl Stalled {
    pub(crate) fn is_stalled(&self) -> bool {
        self.flag.load(Ordering::Acquire)
    }
}

impl Outgoing {
    pub(crate) fn new(body: Body) -> Self {
        Self {
            body,
            stalled: Stalled::default(),
        }
    }

    pub(crate) fn stalled(&self) -> Stalled {
        self.stalled.clone()
    }
}

impl http_body::Body for Outgoing {
    type Data = Bytes;
    type Error = Incomplete;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Incomplete>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        self.stalled
            .flag
            .store(frame.is_pending(), Ordering::Release);
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
