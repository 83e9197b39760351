//! The return of an owner's answer to the caller.

use std::{sync::Arc, time::Duration};

use crate::{
    idempotency::RunningClaim, limiter::Slot, quarantine::SharedQuarantine, table::InFlight,
};
use bytes::{Bytes, BytesMut};
use copperwell_message::{Body, Incomplete, Reason, Reply, Response, Sender};
use copperwell_policy::{
    quarantine::Suspect,
    slots::End,
    window::{ANSWER_BYTES_MAX, KeptAnswer, Outcome},
};
use futures::FutureExt;
use tokio::{
    sync::oneshot,
    time::{Instant, timeout_at},
};

/// The limit on the bytes of an answer that are read at once if they have already arrived.
const READY_MAX_BYTES: usize = 64 << 10;

/// An owner's answer, with the resources that its request holds until the body is read.
#[derive(Debug)]
pub(crate) struct Answer {
    /// The response.
    pub(crate) response: Response,
    /// The resources that the request holds.
    pub(crate) permit: Permit,
    /// The time at which reading the body is given up.
    pub(crate) deadline: Instant,
}

/// The slot and the in-flight count that a request holds until its answer is read.
///
/// Dropping it frees both and draws no conclusion about the server.
#[derive(Debug)]
pub(crate) struct Permit {
    /// The slot on the upstream.
    pub(crate) slot: Slot,
    /// The in-flight count of the shard.
    pub(crate) _in_flight: InFlight,
    /// The request as a suspect, should the server crash.
    pub(crate) suspect: Suspect,
    /// How long the quarantine remembers a suspect.
    pub(crate) quarantine_duration: Duration,
    /// The quarantine that suspects are reported to.
    pub(crate) quarantine: Arc<SharedQuarantine>,
}

/// The state of a body after a read.
enum Read {
    /// The body is complete.
    Complete,
    /// More of the body is to come.
    More,
    /// The body was cut short.
    CutShort,
}

impl Answer {
    /// Returns the answer for the caller; the permit is held until its body is read or dropped.
    pub(crate) fn relay(mut self) -> Response {
        let mut ready = BytesMut::new();
        match read_ready(&mut self.response.body, &mut ready) {
            Read::Complete => {
                self.permit.finish_answered();
                complete_response(self.response.reply, ready.freeze())
            }
            Read::CutShort => {
                self.permit.finish_connection_lost();
                truncated_response(self.response.reply, ready.freeze())
            }
            Read::More => self.stream(ready.freeze()),
        }
    }

    /// Sends the answer to the caller and records it as the outcome of a request that is not
    /// repeatable.
    ///
    /// The body is read to its end even if the caller disconnects, so that a resend gets the
    /// outcome.
    pub(crate) async fn record(
        mut self,
        claim: RunningClaim<'_>,
        response_sender: oneshot::Sender<Response>,
    ) {
        let mut read = BytesMut::new();
        let reading = read_up_to(&mut self.response.body, &mut read, ANSWER_BYTES_MAX);
        let reading = timeout_at(self.deadline, reading).await;
        let body = read.freeze();
        match reading.unwrap_or(Read::CutShort) {
            Read::Complete => {
                let recorded = KeptAnswer {
                    reply: self.response.reply.clone(),
                    body: body.to_vec(),
                };
                claim.finish(Outcome::Answered(Box::new(recorded)));
                self.permit.finish_answered();
                // The caller may have disconnected; the outcome is recorded for its resend.
                let _ = response_sender.send(complete_response(self.response.reply, body));
            }
            Read::CutShort => {
                claim.finish(truncated_outcome());
                self.permit.finish_connection_lost();
                let _ = response_sender.send(truncated_response(self.response.reply, body));
            }
            Read::More => self.record_streamed(claim, body, response_sender).await,
        }
    }

    /// Streams an answer that is too long to be recorded, and records only how it ended.
    async fn record_streamed(
        mut self,
        claim: RunningClaim<'_>,
        read: Bytes,
        response_sender: oneshot::Sender<Response>,
    ) {
        let status = self.response.reply.status;
        let (sender, body) = Body::channel();
        let response = Response {
            reply: self.response.reply,
            body: body.with_prefix(read),
        };
        let _ = response_sender.send(response);
        let forwarding = forward_to_end(&mut self.response.body, &sender);
        match timeout_at(self.deadline, forwarding).await {
            Ok(Ok(())) => {
                claim.finish(Outcome::Done { status });
                self.permit.finish_answered();
                sender.end().await;
            }
            Ok(Err(Incomplete)) => {
                claim.finish(truncated_outcome());
                self.permit.finish_connection_lost();
            }
            Err(_) => claim.finish(truncated_outcome()),
        }
    }

    fn stream(self, ready: Bytes) -> Response {
        let Response { reply, mut body } = self.response;
        let (sender, relayed) = Body::channel();
        let permit = self.permit;
        let deadline = self.deadline;
        tokio::spawn(async move {
            let forwarding = async {
                tokio::select! {
                    forwarded = forward(&mut body, &sender) => forwarded,
                    () = sender.closed() => None,
                }
            };
            match timeout_at(deadline, forwarding).await {
                Ok(Some(Ok(()))) => {
                    permit.finish_answered();
                    sender.end().await;
                }
                Ok(Some(Err(Incomplete))) => permit.finish_connection_lost(),
                Ok(None) | Err(_) => {}
            }
        });
        Response {
            reply,
            body: relayed.with_prefix(ready),
        }
    }
}

impl Permit {
    /// Frees the permit after a complete answer.
    fn finish_answered(mut self) {
        self.slot.set_end(End::Answered);
        self.slot.limiter().record_answer(self.suspect.incarnation);
        if self.slot.is_exclusive() {
            self.quarantine.clear(self.suspect.fingerprint);
        }
    }

    /// Frees the permit after the connection was lost in the middle of the answer.
    fn finish_connection_lost(self) {
        self.quarantine.record_unanswered(
            self.slot.limiter(),
            self.suspect,
            self.quarantine_duration,
        );
    }
}

/// Reads the part of a body that has already arrived.
fn read_ready(body: &mut Body, buffer: &mut BytesMut) -> Read {
    while buffer.len() < READY_MAX_BYTES {
        match body.chunk().now_or_never() {
            None => return Read::More,
            Some(None) => return Read::Complete,
            Some(Some(Err(Incomplete))) => return Read::CutShort,
            Some(Some(Ok(chunk))) => buffer.extend_from_slice(&chunk),
        }
    }
    Read::More
}

/// Reads a body until it ends or more than `limit` bytes are read.
async fn read_up_to(body: &mut Body, buffer: &mut BytesMut, limit: usize) -> Read {
    while buffer.len() <= limit {
        match body.chunk().await {
            None => return Read::Complete,
            Some(Err(Incomplete)) => return Read::CutShort,
            Some(Ok(chunk)) => buffer.extend_from_slice(&chunk),
        }
    }
    Read::More
}

/// Forwards a body; returns `None` if the reader is gone.
async fn forward(body: &mut Body, sender: &Sender) -> Option<Result<(), Incomplete>> {
    while let Some(chunk) = body.chunk().await {
        let Ok(chunk) = chunk else {
            return Some(Err(Incomplete));
        };
        sender.send(chunk).await.ok()?;
    }
    Some(Ok(()))
}

/// Forwards a body and reads it to its end even if the reader is gone.
async fn forward_to_end(body: &mut Body, sender: &Sender) -> Result<(), Incomplete> {
    while let Some(chunk) = body.chunk().await {
        // The outcome of the request is needed even if the reader is gone.
        let _ = sender.send(chunk?).await;
    }
    Ok(())
}

fn complete_response(reply: Reply, body: Bytes) -> Response {
    Response {
        reply,
        body: Body::full(body),
    }
}

/// Creates a response whose body is cut short after `body`.
fn truncated_response(reply: Reply, body: Bytes) -> Response {
    let (_, truncated) = Body::channel();
    Response {
        reply,
        body: truncated.with_prefix(body),
    }
}

fn truncated_outcome() -> Outcome {
    Outcome::MayHaveRun {
        reason: Reason::ConnectionLost,
    }
}
