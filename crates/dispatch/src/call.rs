//! One request on its way through the engine.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use crate::ids::Entered;
use bytes::{Bytes, BytesMut};
use copperwell_keyspace::UpstreamName;
use copperwell_message::{Body, Head, Reason, Repeat, Request, Response, Verdict};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{Instant, timeout_at},
};
use tokio_util::sync::CancellationToken;

/// The largest body that is read before the request queues, in bytes; a longer one is streamed
/// and can be sent only once.
const BODY_MAX: usize = 64 << 10;

/// Bytes of bodies that all requests together keep at most; beyond it, bodies are streamed.
const BODIES_MAX: usize = 16 << 20;

/// When a caller may come back after a failure that names no better time.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// One request on its way through the engine.
#[derive(Debug)]
pub(crate) struct Call {
    /// The head.
    pub(crate) head: Head,
    /// The deadline.
    pub(crate) deadline: Instant,
    /// The entry of a request that is not repeatable.
    pub(crate) entered: Option<Entered>,
    /// Tries that have ended.
    pub(crate) tries: u32,
    /// Tries that left this daemon.
    pub(crate) sends: u32,
    /// The only upstream that a further try may go to.
    pub(crate) pinned: Option<UpstreamName>,
    /// Whether an earlier try may have run.
    pub(crate) may_have_run: bool,
    /// The last failure of a try that left this daemon.
    last_sent: Option<Failure>,
    /// Whether the current try has left this daemon.
    pub(crate) sent: Arc<AtomicBool>,
    /// Tells that the caller went away.
    pub(crate) gone: CancellationToken,
    payload: Payload,
    /// The part of the bodies' memory that this request takes.
    _room: Option<OwnedSemaphorePermit>,
}

/// The memory for the bodies of requests that are under way.
#[derive(Debug)]
pub(crate) struct Room {
    bytes: Arc<Semaphore>,
}

/// Why a try has no answer from the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Failure {
    /// Whether the try may have run.
    pub(crate) verdict: Verdict,
    /// The reason.
    pub(crate) reason: Reason,
    /// When to come back, if that is known.
    pub(crate) retry_after: Option<Duration>,
    /// Whether another try is out of the question.
    pub(crate) is_final: bool,
}

#[derive(Debug)]
enum Payload {
    Whole(Bytes),
    Stream(Body),
    Spent,
}

impl Call {
    /// Reads a request until its body is whole or too long to be kept.
    pub(crate) async fn read(
        request: Request,
        deadline: Instant,
        room: &Room,
    ) -> Result<Self, Failure> {
        let Request { head, body } = request;
        let mut taken = None;
        let reading = Payload::read(body, room, &mut taken);
        let payload = match timeout_at(deadline, reading).await {
            Ok(Some(payload)) => payload,
            Ok(None) => return Err(Failure::not_run(Reason::Cancelled)),
            Err(_) => return Err(Failure::not_run(Reason::SlowCaller)),
        };
        Ok(Self {
            head,
            deadline,
            entered: None,
            tries: 0,
            sends: 0,
            pinned: None,
            may_have_run: false,
            last_sent: None,
            sent: Arc::default(),
            gone: CancellationToken::new(),
            payload,
            _room: taken,
        })
    }

    /// The request for the next try; `None` if its body is spent.
    pub(crate) fn request(&mut self) -> Option<Request> {
        let body = self.payload.take()?;
        Some(Request {
            head: self.head.clone(),
            body,
        })
    }

    /// Whether the request can be sent again.
    pub(crate) fn is_resendable(&self) -> bool {
        !matches!(self.payload, Payload::Spent)
    }

    /// Notes that a try leaves this daemon.
    pub(crate) fn leave(&mut self) {
        self.sends += 1;
        self.sent.store(true, Ordering::Release);
    }

    /// Notes how a try failed, and whether it had left this daemon.
    pub(crate) fn fail(&mut self, failure: &Failure, had_left: bool) {
        self.tries += 1;
        if had_left {
            self.last_sent = Some(*failure);
        }
        if failure.verdict == Verdict::NotRun {
            self.sent.store(self.may_have_run, Ordering::Release);
        } else {
            self.may_have_run = true;
        }
    }

    /// The last failure as the whole request's answer: one try that may have run is enough.
    ///
    /// Where the deadline leaves no room for another try, the reason is why one was needed.
    pub(crate) fn settle(&self, failure: Failure) -> Response {
        let verdict = if self.may_have_run {
            Verdict::MayHaveRun
        } else {
            failure.verdict
        };
        let reason = match (failure.reason, self.last_sent) {
            (Reason::DeadlineHopeless, Some(sent)) => sent.reason,
            (reason, _) => reason,
        };
        Failure {
            verdict,
            reason,
            ..failure
        }
        .into_response()
    }
}

impl Failure {
    /// A failure before anything was sent.
    pub(crate) fn not_run(reason: Reason) -> Self {
        Self::new(Verdict::NotRun, reason)
    }

    /// A failure after something was sent.
    pub(crate) fn may_have_run(reason: Reason) -> Self {
        Self::new(Verdict::MayHaveRun, reason)
    }

    /// A failure of this verdict and reason.
    pub(crate) fn new(verdict: Verdict, reason: Reason) -> Self {
        Self {
            verdict,
            reason,
            retry_after: None,
            is_final: false,
        }
    }

    /// Tells when to come back.
    pub(crate) fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Rules out another try.
    pub(crate) fn with_final(mut self) -> Self {
        self.is_final = true;
        self
    }

    /// The failure of a request that the window has not judged: what is not repeatable may have
    /// run when it was sent before.
    pub(crate) fn before_claim(self, repeat: Repeat) -> Self {
        match repeat {
            Repeat::Repeatable => self,
            Repeat::Once(_) => Self {
                verdict: Verdict::MayHaveRun,
                ..self
            },
        }
    }

    /// The failure as a response.
    pub(crate) fn into_response(self) -> Response {
        let after = self.retry_after.unwrap_or(RETRY_AFTER);
        Response::refusal(self.verdict, self.reason).with_retry_after(after)
    }
}

impl Room {
    /// Room for the bodies of all requests.
    pub(crate) fn new() -> Self {
        Self {
            bytes: Arc::new(Semaphore::new(BODIES_MAX)),
        }
    }

    /// Adds `bytes` to what a request has taken; `false` if there is no room.
    fn take(&self, bytes: usize, taken: &mut Option<OwnedSemaphorePermit>) -> bool {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        let Ok(more) = Arc::clone(&self.bytes).try_acquire_many_owned(bytes) else {
            return false;
        };
        match taken {
            Some(held) => held.merge(more),
            None => *taken = Some(more),
        }
        true
    }
}

impl Payload {
    /// Reads a body as far as it may be kept; `None` if it is severed.
    async fn read(
        mut body: Body,
        room: &Room,
        taken: &mut Option<OwnedSemaphorePermit>,
    ) -> Option<Self> {
        if let Some(bytes) = body.as_full() {
            return Some(Self::Whole(bytes));
        }
        let mut read = BytesMut::new();
        while read.len() <= BODY_MAX {
            let Some(chunk) = body.chunk().await else {
                return Some(Self::Whole(read.freeze()));
            };
            let chunk = chunk.ok()?;
            read.extend_from_slice(&chunk);
            if !room.take(chunk.len(), taken) {
                break;
            }
        }
        Some(Self::Stream(body.with_prefix(read.freeze())))
    }

    fn take(&mut self) -> Option<Body> {
        match self {
            Self::Whole(bytes) => Some(Body::full(bytes.clone())),
            Self::Spent => None,
            Self::Stream(_) => match std::mem::replace(self, Self::Spent) {
                Self::Stream(body) => Some(body),
                Self::Whole(_) | Self::Spent => None,
            },
        }
    }
}
