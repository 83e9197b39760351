//! Bodies of callers' requests and of the responses to them.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use crate::{admission::Permit, refusal::Refusal};
use bytes::{Bytes, BytesMut};
use copperwell_memory::{Budget, CHUNK_BYTES, Flow};
use copperwell_message::{Body, Incomplete, Reason, Sender};
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout, timeout_at};

/// Bytes of a body that ingress buffers before it forwards the request. A body that ends within
/// them can be sent again on a retry.
const PREFIX_BYTES: usize = 64 << 10;

/// The longest pause of a caller within a body.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The body of a response, which holds the request's permit until it is read or dropped.
#[derive(Debug)]
pub struct ResponseBody {
    body: Body,
    #[expect(dead_code, reason = "held until the response is read")]
    permit: Option<Permit>,
}

/// The body of a request, of which the start has been read.
#[derive(Debug)]
pub struct RequestBody {
    /// The whole body if it is short, else its start, of a length that does not depend on how it arrives.
    pub prefix: Bytes,
    /// The whole body, to be forwarded.
    pub body: Body,
}

impl ResponseBody {
    /// Creates a response body that holds the permit of its request.
    pub(crate) fn with_permit(body: Body, permit: Option<Permit>) -> Self {
        Self {
            permit,
            ..Self::new(body)
        }
    }

    /// Creates a response body that holds no permit.
    #[must_use]
    pub fn new(body: Body) -> Self {
        Self { body, permit: None }
    }

    /// Reads the body if it ends within `limit` bytes, so that nothing is left to fail; a longer one, or one for which
    /// `budget` has no room, is streamed on.
    ///
    /// # Errors
    ///
    /// Returns [`Incomplete`] if the body ends too early.
    pub(crate) async fn read_within(
        mut self,
        limit: usize,
        budget: &Budget,
    ) -> Result<Self, Incomplete> {
        if self.body.as_full().is_some() {
            return Ok(self);
        }
        let Some(room) = budget.try_response(limit) else {
            return Ok(self);
        };
        let mut read = BytesMut::new();
        while read.len() <= limit {
            let Some(chunk) = self.body.chunk().await else {
                let body = Body::full(room.bind(read.freeze()));
                return Ok(Self { body, ..self });
            };
            read.extend_from_slice(&chunk?);
        }
        let body = self.body.with_prefix(room.bind(read.freeze()));
        Ok(Self { body, ..self })
    }
}

impl http_body::Body for ResponseBody {
    type Data = Bytes;
    type Error = Incomplete;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Incomplete>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Reads the start of a body, if there is one, and streams the rest.
///
/// # Errors
///
/// Returns a [`Refusal`] if the body is too long, malformed, or sent too slowly, or if `budget` has no room for it.
pub async fn read_request(
    incoming: Option<Incoming>,
    limit: u64,
    deadline: Instant,
    budget: &Budget,
) -> Result<RequestBody, Refusal> {
    let Some(mut incoming) = incoming else {
        return Ok(RequestBody {
            prefix: Bytes::new(),
            body: Body::empty(),
        });
    };
    let size = http_body::Body::size_hint(&incoming);
    if size.lower() > limit {
        return Err(too_large(limit));
    }
    let expected = size.upper().and_then(|bytes| usize::try_from(bytes).ok());
    let expected = expected.map_or(PREFIX_BYTES, |bytes| bytes.min(PREFIX_BYTES));
    let Some(room) = budget.try_request(expected) else {
        return Err(Reason::ServiceLimit.into());
    };
    let mut prefix = BytesMut::new();
    while prefix.len() < PREFIX_BYTES {
        let expires_at = deadline.min(Instant::now() + IDLE_TIMEOUT);
        let frame = timeout_at(expires_at, incoming.frame()).await;
        let frame = frame.map_err(|_| Refusal::from(Reason::SlowCaller))?;
        let Some(frame) = frame else {
            let prefix = room.bind(prefix.freeze());
            return Ok(RequestBody {
                body: Body::full(prefix.clone()),
                prefix,
            });
        };
        let frame = frame.map_err(|error| {
            Refusal::new(
                Reason::BadRequest,
                format!("The body is malformed: {error}."),
            )
        })?;
        prefix.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new()));
        if prefix.len() as u64 > limit {
            return Err(too_large(limit));
        }
    }
    let prefix = room.bind(prefix.freeze());
    let (sender, body) = Body::channel();
    let remaining = limit - prefix.len() as u64;
    tokio::spawn(forward_rest(incoming, sender, remaining, budget.flow()));
    Ok(RequestBody {
        body: body.with_prefix(prefix.clone()),
        prefix: prefix.slice(..PREFIX_BYTES),
    })
}

/// Forwards the rest of a body; its reader gets [`Incomplete`] if the caller stops or sends more than
/// the limit.
async fn forward_rest(mut incoming: Incoming, sender: Sender, mut remaining: u64, flow: Flow) {
    loop {
        let room = tokio::select! {
            biased;
            () = sender.closed() => return,
            room = flow.reserve(CHUNK_BYTES) => room,
        };
        let frame = tokio::select! {
            biased;
            () = sender.closed() => return,
            frame = timeout(IDLE_TIMEOUT, incoming.frame()) => frame,
        };
        let chunk = match frame {
            Ok(Some(Ok(frame))) => frame.into_data(),
            Ok(None) => return sender.end().await,
            Ok(Some(Err(_))) | Err(_) => return,
        };
        let Ok(chunk) = chunk else { continue };
        let Some(after) = remaining.checked_sub(chunk.len() as u64) else {
            return;
        };
        remaining = after;
        if sender.send(room.bind(chunk)).await.is_err() {
            return;
        }
    }
}

fn too_large(limit: u64) -> Refusal {
    let detail = format!("The body is longer than {limit} bytes.");
    Refusal::new(Reason::TooLarge, detail)
}
