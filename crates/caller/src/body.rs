//! Bodies from and to callers.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use crate::{admission::Place, explain::Refusal};
use bytes::{Bytes, BytesMut};
use copperwell_message::{Body, Reason, Sender, Severed};
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout, timeout_at};

/// Bytes of a body that ingress reads before it sends the request on; a body that ends within them
/// can be sent again.
const READ_AHEAD: usize = 64 << 10;

/// How long a caller may pause within a body.
const SILENCE: Duration = Duration::from_secs(10);

/// The body of an answer, which keeps the request's place until it is read or given up.
#[derive(Debug)]
pub struct Answer {
    body: Body,
    #[expect(dead_code, reason = "held until the answer is read")]
    place: Option<Place>,
}

/// The first part of a request's body, and all of it as it is to be sent on.
#[derive(Debug)]
pub struct Read {
    /// The first part.
    pub seen: Bytes,
    /// The whole body.
    pub body: Body,
}

impl Answer {
    pub(crate) fn placed(body: Body, place: Option<Place>) -> Self {
        Self {
            place,
            ..Self::new(body)
        }
    }

    /// An answer's body that nothing else depends on.
    #[must_use]
    pub fn new(body: Body) -> Self {
        Self { body, place: None }
    }
}

impl http_body::Body for Answer {
    type Data = Bytes;
    type Error = Severed;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Severed>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Reads the first part of a body, if there is one, and streams the rest.
///
/// # Errors
///
/// A [`Refusal`] if the body is too long, malformed, or comes too slowly.
pub async fn read(
    incoming: Option<Incoming>,
    limit: u64,
    deadline: Instant,
) -> Result<Read, Refusal> {
    let Some(mut incoming) = incoming else {
        return Ok(Read {
            seen: Bytes::new(),
            body: Body::empty(),
        });
    };
    let announced = http_body::Body::size_hint(&incoming).lower();
    if announced > limit {
        return Err(too_large(limit));
    }
    let mut seen = BytesMut::new();
    while seen.len() < READ_AHEAD {
        let until = deadline.min(Instant::now() + SILENCE);
        let frame = timeout_at(until, incoming.frame()).await;
        let frame = frame.map_err(|_| Refusal::from(Reason::SlowCaller))?;
        let Some(frame) = frame else {
            let seen = seen.freeze();
            return Ok(Read {
                body: Body::full(seen.clone()),
                seen,
            });
        };
        let frame = frame.map_err(|error| {
            Refusal::new(
                Reason::BadRequest,
                format!("The body is malformed: {error}."),
            )
        })?;
        seen.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new()));
        if seen.len() as u64 > limit {
            return Err(too_large(limit));
        }
    }
    let seen = seen.freeze();
    let (to, body) = Body::channel();
    let left = limit - seen.len() as u64;
    tokio::spawn(pump(incoming, to, left));
    Ok(Read {
        body: body.with_prefix(seen.clone()),
        seen,
    })
}

/// Passes the rest of a body on; leaves it severed if the caller stops or sends too much.
async fn pump(mut incoming: Incoming, to: Sender, mut left: u64) {
    loop {
        let frame = tokio::select! {
            biased;
            () = to.closed() => return,
            frame = timeout(SILENCE, incoming.frame()) => frame,
        };
        let chunk = match frame {
            Ok(Some(Ok(frame))) => frame.into_data(),
            Ok(None) => return to.end().await,
            Ok(Some(Err(_))) | Err(_) => return,
        };
        let Ok(chunk) = chunk else { continue };
        let Some(rest) = left.checked_sub(chunk.len() as u64) else {
            return;
        };
        left = rest;
        if to.send(chunk).await.is_err() {
            return;
        }
    }
}

fn too_large(limit: u64) -> Refusal {
    let detail = format!("The body is longer than {limit} bytes.");
    Refusal::new(Reason::TooLarge, detail)
}
