//! An owner's answer on its way back.

use std::{sync::Arc, time::Duration};

use crate::{gate::Slot, guard::Guard, ids::Running, table::Pass};
use bytes::{Bytes, BytesMut};
use copperwell_message::{Body, Reason, Reply, Response, Sender, Severed};
use copperwell_policy::{
    quarantine::Suspect,
    slots::End,
    window::{ANSWER_MAX, Outcome, Whole},
};
use futures::FutureExt;
use tokio::{
    sync::oneshot,
    time::{Instant, timeout_at},
};

/// Bytes of an answer that are taken at once if they are there already.
const READY_MAX: usize = 64 << 10;

/// An owner's answer, with what its request holds until the body is read.
#[derive(Debug)]
pub(crate) struct Answer {
    /// The response.
    pub(crate) response: Response,
    /// What the request holds.
    pub(crate) held: Held,
    /// When the rest of the body is given up.
    pub(crate) deadline: Instant,
}

/// What a request holds while its answer is on the way: its slot and its count on the shard.
///
/// Dropped without a word, it frees both and draws no conclusion about the server.
#[derive(Debug)]
pub(crate) struct Held {
    /// The slot.
    pub(crate) slot: Slot,
    /// The count on the shard.
    pub(crate) _pass: Pass,
    /// The request, should the server crash.
    pub(crate) suspect: Suspect,
    /// How long a suspect is remembered.
    pub(crate) quarantine: Duration,
    /// Where suspects go.
    pub(crate) guard: Arc<Guard>,
}

/// How reading a body went on.
enum Read {
    /// It ended whole.
    End,
    /// There is more to come.
    More,
    /// It was cut short.
    Severed,
}

impl Answer {
    /// Passes the answer on; slot and count are held until its body is read or dropped.
    pub(crate) fn relay(mut self) -> Response {
        let mut ready = BytesMut::new();
        match take_ready(&mut self.response.body, &mut ready) {
            Read::End => {
                self.held.answered();
                whole(self.response.reply, ready.freeze())
            }
            Read::Severed => {
                self.held.severed();
                cut(self.response.reply, ready.freeze())
            }
            Read::More => self.stream(ready.freeze()),
        }
    }

    /// Passes the answer on and keeps it as the outcome of a request that is not repeatable.
    ///
    /// The body is read to its end also when the caller goes away, so that a resend learns what
    /// became of the request.
    pub(crate) async fn keep(mut self, running: Running<'_>, to: oneshot::Sender<Response>) {
        let mut read = BytesMut::new();
        let reading = take_up_to(&mut self.response.body, &mut read, ANSWER_MAX);
        let reading = timeout_at(self.deadline, reading).await;
        let body = read.freeze();
        match reading.unwrap_or(Read::Severed) {
            Read::End => {
                let kept = Whole {
                    reply: self.response.reply.clone(),
                    body: body.to_vec(),
                };
                running.finish(Outcome::Answered(Box::new(kept)));
                self.held.answered();
                // The caller may have gone away; the outcome is kept for its resend.
                let _ = to.send(whole(self.response.reply, body));
            }
            Read::Severed => {
                running.finish(cut_short());
                self.held.severed();
                let _ = to.send(cut(self.response.reply, body));
            }
            Read::More => self.keep_long(running, body, to).await,
        }
    }

    /// Streams an answer that is too long to be kept, and keeps only how it ended.
    async fn keep_long(mut self, running: Running<'_>, read: Bytes, to: oneshot::Sender<Response>) {
        let status = self.response.reply.status;
        let (sender, body) = Body::channel();
        let response = Response {
            reply: self.response.reply,
            body: body.with_prefix(read),
        };
        let _ = to.send(response);
        let passing = pass_all(&mut self.response.body, &sender);
        match timeout_at(self.deadline, passing).await {
            Ok(Ok(())) => {
                running.finish(Outcome::Done { status });
                self.held.answered();
                sender.end().await;
            }
            Ok(Err(Severed)) => {
                running.finish(cut_short());
                self.held.severed();
            }
            Err(_) => running.finish(cut_short()),
        }
    }

    fn stream(self, ready: Bytes) -> Response {
        let Response { reply, mut body } = self.response;
        let (sender, relayed) = Body::channel();
        let held = self.held;
        let deadline = self.deadline;
        tokio::spawn(async move {
            let passing = async {
                tokio::select! {
                    passed = pass(&mut body, &sender) => passed,
                    () = sender.closed() => None,
                }
            };
            match timeout_at(deadline, passing).await {
                Ok(Some(Ok(()))) => {
                    held.answered();
                    sender.end().await;
                }
                Ok(Some(Err(Severed))) => held.severed(),
                Ok(None) | Err(_) => {}
            }
        });
        Response {
            reply,
            body: relayed.with_prefix(ready),
        }
    }
}

impl Held {
    /// The server's answer is whole.
    fn answered(mut self) {
        self.slot.set_end(End::Answered);
        if self.slot.is_alone() {
            self.guard.clear(self.suspect.fingerprint);
        }
    }

    /// The server's connection was lost in the middle of the answer.
    fn severed(self) {
        let suspects = self.slot.gate().lose(self.suspect);
        self.guard.crash(&suspects, self.quarantine);
    }
}

/// Takes what is there already of a body.
fn take_ready(body: &mut Body, into: &mut BytesMut) -> Read {
    while into.len() < READY_MAX {
        match body.chunk().now_or_never() {
            None => return Read::More,
            Some(None) => return Read::End,
            Some(Some(Err(Severed))) => return Read::Severed,
            Some(Some(Ok(chunk))) => into.extend_from_slice(&chunk),
        }
    }
    Read::More
}

/// Reads a body to its end, or until `most` bytes are there.
async fn take_up_to(body: &mut Body, into: &mut BytesMut, most: usize) -> Read {
    while into.len() <= most {
        match body.chunk().await {
            None => return Read::End,
            Some(Err(Severed)) => return Read::Severed,
            Some(Ok(chunk)) => into.extend_from_slice(&chunk),
        }
    }
    Read::More
}

/// Passes a body on; `None` if the reader went away.
async fn pass(body: &mut Body, to: &Sender) -> Option<Result<(), Severed>> {
    while let Some(chunk) = body.chunk().await {
        let Ok(chunk) = chunk else {
            return Some(Err(Severed));
        };
        to.send(chunk).await.ok()?;
    }
    Some(Ok(()))
}

/// Passes a body on and reads it to its end even if the reader went away.
async fn pass_all(body: &mut Body, to: &Sender) -> Result<(), Severed> {
    while let Some(chunk) = body.chunk().await {
        // A reader that went away does not end the request; its outcome is still wanted.
        let _ = to.send(chunk?).await;
    }
    Ok(())
}

fn whole(reply: Reply, body: Bytes) -> Response {
    Response {
        reply,
        body: Body::full(body),
    }
}

/// A response whose body is cut short after `body`.
fn cut(reply: Reply, body: Bytes) -> Response {
    let (_, severed) = Body::channel();
    Response {
        reply,
        body: severed.with_prefix(body),
    }
}

fn cut_short() -> Outcome {
    Outcome::MayHaveRun {
        reason: Reason::ConnectionLost,
    }
}
