//! One request on its way to a server, and its answer on the way back.

use std::{sync::Arc, time::Duration};

use crate::{
    connection::{Connection, READY_LIMIT, Unanswered},
    framing::{Framing, Read, Unsendable},
    head,
    lane::Lane,
};
use bytes::Bytes;
use copperwell_message::{Body, Reason, Response, Sender, Verdict};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body as _, Frame, Incoming};
use tokio::time::{Instant, sleep_until, timeout_at};

/// Answers up to this size are read whole before they are passed on, in bytes.
const SMALL_BYTES_MAX: usize = 64 * 1024;

/// One request on its way, and its time limits.
#[derive(Debug, Clone)]
pub struct Exchange {
    lane: Arc<Lane>,
    silence: Duration,
    deadline: Instant,
}

/// A request that failed before its response head arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failed {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// What went wrong.
    pub reason: Reason,
}

impl Exchange {
    /// An exchange over the connections of `lane`, which ends when no byte passes for `silence`.
    #[must_use]
    pub fn new(lane: Arc<Lane>, silence: Duration, deadline: Instant) -> Self {
        Self {
            lane,
            silence,
            deadline,
        }
    }

    /// Sends a request and reads the head of its answer.
    ///
    /// Dropping the future closes the connection, which cancels the request.
    ///
    /// # Errors
    ///
    /// [`Failed`] if the request was not sent, or its answer did not arrive.
    pub async fn run<F: Framing>(
        self,
        framing: &F,
        asked: &F::Head,
        body: Body,
    ) -> Result<Response, Failed> {
        let lane = &self.lane;
        let head = framing
            .head(lane.address(), asked)
            .map_err(|Unsendable| Failed::not_run(Reason::BadRequest))?;
        let mut request = head::request_of(head, body);
        loop {
            let idle = lane.take_idle().await;
            let reused = idle.is_some();
            let mut connection = match idle {
                Some(connection) => connection,
                None => self.open().await?,
            };
            let left = self.left();
            if left.is_zero() {
                lane.put_back(connection);
                return Err(Failed::not_run(Reason::DeadlineHopeless));
            }
            framing.set_deadline(request.headers_mut(), left);
            let sent = connection.send(request, self.silence, self.deadline);
            match sent.await {
                Ok(response) => {
                    let read = framing.read(asked, response.headers(), response.status());
                    return self.receive(connection, response, read).await;
                }
                Err(Unanswered::Unused(unused)) if reused => {
                    lane.metrics().resent.inc();
                    request = *unused;
                }
                Err(unanswered) => return Err(self.judge(connection, unanswered).await),
            }
        }
    }

    fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    async fn open(&self) -> Result<Connection, Failed> {
        let opened = self.lane.open(self.left()).await;
        opened.ok_or(Failed::not_run(Reason::ConnectionRefused))
    }

    /// Closes a connection that gave no answer, and tells whether its request may have run.
    async fn judge(&self, connection: Connection, unanswered: Unanswered) -> Failed {
        let reason = match &unanswered {
            Unanswered::Unused(_) => Reason::ConnectionRefused,
            Unanswered::Lost(error) if error.is_user() => Reason::Cancelled,
            Unanswered::Lost(error) if error.is_parse() => Reason::Protocol,
            Unanswered::Lost(_) => Reason::ConnectionLost,
            Unanswered::Silent => Reason::ConnectionSilent,
            Unanswered::Late => Reason::DeadlinePassed,
        };
        if reason == Reason::ConnectionSilent {
            self.lane.drop_unproven(connection.sent_at());
        }
        self.lane.count_closed(reason.as_str());
        if connection.close().await {
            return Failed::may_have_run(reason);
        }
        // Nothing left this machine.
        Failed::not_run(match reason {
            Reason::ConnectionLost | Reason::ConnectionSilent => Reason::ConnectionRefused,
            Reason::DeadlinePassed => Reason::DeadlineHopeless,
            other => other,
        })
    }

    /// Passes on an answer: a small one once it is whole, another one as a stream.
    async fn receive(
        self,
        mut connection: Connection,
        response: http::Response<Incoming>,
        read: Read,
    ) -> Result<Response, Failed> {
        let (head, incoming) = response.into_parts();
        connection.limit_reuse(head::keep_alive_in(&head.headers));
        let size = incoming.size_hint().upper();
        let small = size.is_some_and(|bytes| bytes <= SMALL_BYTES_MAX as u64);
        let reply = match read {
            Read::Answer(reply) => reply,
            Read::Refused(reply) => {
                if small {
                    self.finish_refusal(connection, incoming).await;
                }
                let body = Body::empty();
                return Ok(Response { reply, body });
            }
            Read::Foreign => {
                // Whatever else this connection brings cannot be told apart either.
                self.lane.count_closed("foreign");
                return Err(Failed::may_have_run(Reason::Protocol));
            }
        };
        let body = if small {
            self.read_whole(connection, incoming).await?
        } else {
            let (to, body) = Body::channel();
            tokio::spawn(self.pass_on(connection, incoming, to));
            body
        };
        Ok(Response { reply, body })
    }

    /// Reads the body of a refusal, so that the connection can be used again.
    async fn finish_refusal(&self, connection: Connection, incoming: Incoming) {
        let limit = self.deadline.min(Instant::now() + READY_LIMIT);
        if let Ok(Ok(_)) = timeout_at(limit, incoming.collect()).await {
            self.lane.put_back(connection);
        }
    }

    async fn read_whole(&self, connection: Connection, incoming: Incoming) -> Result<Body, Failed> {
        let whole = Limited::new(incoming, SMALL_BYTES_MAX).collect();
        let reason = tokio::select! {
            biased;
            whole = whole => match whole {
                Ok(whole) => {
                    self.lane.put_back(connection);
                    return Ok(Body::full(whole.to_bytes()));
                }
                Err(_) => Reason::ConnectionLost,
            },
            () = sleep_until(self.deadline) => Reason::DeadlinePassed,
            () = connection.traffic().silent(self.silence) => Reason::ConnectionSilent,
        };
        self.lane.count_closed(reason.as_str());
        Err(Failed::may_have_run(reason))
    }

    /// Streams a body to its reader; whatever ends it early severs the body.
    async fn pass_on(self, connection: Connection, mut incoming: Incoming, to: Sender) {
        loop {
            connection.traffic().mark();
            let reason = tokio::select! {
                biased;
                frame = incoming.frame() => match frame {
                    None => {
                        self.lane.put_back(connection);
                        to.end().await;
                        return;
                    }
                    Some(Ok(frame)) => match self.pass_frame(frame, &to).await {
                        Ok(()) => continue,
                        Err(reason) => reason,
                    },
                    Some(Err(_)) => Reason::ConnectionLost,
                },
                () = to.closed() => Reason::Cancelled,
                () = sleep_until(self.deadline) => Reason::DeadlinePassed,
                () = connection.traffic().silent(self.silence) => Reason::ConnectionSilent,
            };
            self.lane.count_closed(reason.as_str());
            return;
        }
    }

    /// Gives a frame to the reader, as long as that takes.
    async fn pass_frame(&self, frame: Frame<Bytes>, to: &Sender) -> Result<(), Reason> {
        let Ok(bytes) = frame.into_data() else {
            // Trailers are not passed on.
            return Ok(());
        };
        match timeout_at(self.deadline, to.send(bytes)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(Reason::Cancelled),
            Err(_) => Err(Reason::DeadlinePassed),
        }
    }
}

impl Failed {
    fn not_run(reason: Reason) -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason,
        }
    }

    fn may_have_run(reason: Reason) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            reason,
        }
    }
}
