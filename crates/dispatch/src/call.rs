//! The state of one request in the engine.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use crate::idempotency::WindowEntry;
use bytes::{Bytes, BytesMut};
use copperwell_keyspace::UpstreamName;
use copperwell_message::{Body, Head, Reason, Repeat, Request, Response, Verdict};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{Instant, timeout_at},
};
use tokio_util::sync::CancellationToken;

/// The largest body that is buffered before the request queues; a longer one is streamed and can be
/// sent only once.
const BODY_BUFFER_MAX_BYTES: usize = 64 << 10;

/// The limit on the buffered bodies of all requests together; beyond it, bodies are streamed.
const BODY_MEMORY_MAX_BYTES: usize = 16 << 20;

/// The retry delay that a caller is given after a failure that names none.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_secs(1);

/// The state of one request in the engine.
#[derive(Debug)]
pub(crate) struct Call {
    /// The head of the request.
    pub(crate) head: Head,
    /// The time by which the answer is due.
    pub(crate) deadline: Instant,
    /// The entry in the idempotency window, for a request that is not repeatable.
    pub(crate) window_entry: Option<WindowEntry>,
    /// Attempts that have failed.
    pub(crate) attempts: u32,
    /// Attempts that were sent.
    pub(crate) sends: u32,
    /// The only upstream that a retry may be sent to, if that is restricted.
    pub(crate) pinned: Option<UpstreamName>,
    /// Whether a failed attempt may have run.
    pub(crate) may_have_run: bool,
    /// Why the last attempt failed that had time left.
    last_reason: Option<Reason>,
    /// Whether an attempt was sent that is running or may have run.
    pub(crate) sent: Arc<AtomicBool>,
    /// Cancelled when the caller disconnects.
    pub(crate) cancellation: CancellationToken,
    payload: Payload,
    /// The body memory that this request has reserved.
    _body_memory: Option<OwnedSemaphorePermit>,
}

/// The memory for the buffered bodies of all requests.
#[derive(Debug)]
pub(crate) struct BodyMemory {
    bytes: Arc<Semaphore>,
}

/// Why an attempt got no answer from the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Failure {
    /// Whether the attempt may have run.
    pub(crate) verdict: Verdict,
    /// The reason.
    pub(crate) reason: Reason,
    /// How long the caller should wait before a retry, if that is known.
    pub(crate) retry_after: Option<Duration>,
    /// Whether retries are ruled out.
    pub(crate) is_final: bool,
}

#[derive(Debug)]
enum Payload {
    Buffered(Bytes),
    Stream(Body),
    Consumed,
}

impl Call {
    /// Reads a request until its body is complete or too long to be buffered.
    pub(crate) async fn read(
        request: Request,
        deadline: Instant,
        body_memory: &BodyMemory,
    ) -> Result<Self, Failure> {
        let Request { head, body } = request;
        let mut reserved = None;
        let reading = Payload::read(body, body_memory, &mut reserved);
        let payload = match timeout_at(deadline, reading).await {
            Ok(Some(payload)) => payload,
            Ok(None) => return Err(Failure::not_run(Reason::Cancelled)),
            Err(_) => return Err(Failure::not_run(Reason::SlowCaller)),
        };
        Ok(Self {
            head,
            deadline,
            window_entry: None,
            attempts: 0,
            sends: 0,
            pinned: None,
            may_have_run: false,
            last_reason: None,
            sent: Arc::default(),
            cancellation: CancellationToken::new(),
            payload,
            _body_memory: reserved,
        })
    }

    /// Returns the request for the next attempt, or `None` if its body is consumed.
    pub(crate) fn request(&mut self) -> Option<Request> {
        let body = self.payload.take()?;
        Some(Request {
            head: self.head.clone(),
            body,
        })
    }

    /// Returns whether the request can be sent again.
    pub(crate) fn is_resendable(&self) -> bool {
        !matches!(self.payload, Payload::Consumed)
    }

    /// Records that an attempt is about to be sent.
    pub(crate) fn record_send(&mut self) {
        self.sends += 1;
        self.sent.store(true, Ordering::Release);
    }

    /// Records how an attempt failed.
    pub(crate) fn record_failure(&mut self, failure: &Failure) {
        self.attempts += 1;
        if failure.reason != Reason::DeadlineHopeless {
            self.last_reason = Some(failure.reason);
        }
        if failure.verdict == Verdict::NotRun {
            self.sent.store(self.may_have_run, Ordering::Release);
        } else {
            self.may_have_run = true;
        }
    }

    /// Returns the response to the caller after the last failure.
    ///
    /// The request may have run if any attempt may have. If the deadline leaves no time for a
    /// retry, the reason is that of the failure which made the retry necessary.
    pub(crate) fn final_response(&self, failure: Failure) -> Response {
        let verdict = if self.may_have_run {
            Verdict::MayHaveRun
        } else {
            failure.verdict
        };
        let reason = match failure.reason {
            Reason::DeadlineHopeless => self.last_reason.unwrap_or(failure.reason),
            reason => reason,
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
    /// Creates a failure of an attempt that did not run.
    pub(crate) fn not_run(reason: Reason) -> Self {
        Self::new(Verdict::NotRun, reason)
    }

    /// Creates a failure of an attempt that may have run.
    pub(crate) fn may_have_run(reason: Reason) -> Self {
        Self::new(Verdict::MayHaveRun, reason)
    }

    /// Creates a failure that allows retries and names no retry delay.
    pub(crate) fn new(verdict: Verdict, reason: Reason) -> Self {
        Self {
            verdict,
            reason,
            retry_after: None,
            is_final: false,
        }
    }

    /// Sets how long the caller should wait before a retry.
    pub(crate) fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Rules out retries.
    pub(crate) fn into_final(mut self) -> Self {
        self.is_final = true;
        self
    }

    /// Returns the failure of a request whose idempotency key was not claimed yet: unless it is
    /// repeatable, it may be the resend of a request that has run.
    pub(crate) fn before_claim(self, repeat: Repeat) -> Self {
        match repeat {
            Repeat::Repeatable => self,
            Repeat::Once(_) => Self {
                verdict: Verdict::MayHaveRun,
                ..self
            },
        }
    }

    /// Converts the failure into a response.
    pub(crate) fn into_response(self) -> Response {
        let after = self.retry_after.unwrap_or(RETRY_AFTER_DEFAULT);
        Response::refusal(self.verdict, self.reason).with_retry_after(after)
    }
}

impl BodyMemory {
    /// Creates the memory for the bodies of all requests.
    pub(crate) fn new() -> Self {
        Self {
            bytes: Arc::new(Semaphore::new(BODY_MEMORY_MAX_BYTES)),
        }
    }

    /// Adds `bytes` to the memory that a request has reserved; returns `false` if it is used up.
    fn reserve(&self, bytes: usize, reserved: &mut Option<OwnedSemaphorePermit>) -> bool {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        let Ok(more) = Arc::clone(&self.bytes).try_acquire_many_owned(bytes) else {
            return false;
        };
        match reserved {
            Some(held) => held.merge(more),
            None => *reserved = Some(more),
        }
        true
    }
}

impl Payload {
    /// Reads a body as far as it may be buffered; returns `None` if it is cut short.
    async fn read(
        mut body: Body,
        body_memory: &BodyMemory,
        reserved: &mut Option<OwnedSemaphorePermit>,
    ) -> Option<Self> {
        if let Some(bytes) = body.as_full() {
            return Some(Self::Buffered(bytes));
        }
        let mut read = BytesMut::new();
        while read.len() <= BODY_BUFFER_MAX_BYTES {
            let Some(chunk) = body.chunk().await else {
                return Some(Self::Buffered(read.freeze()));
            };
            let chunk = chunk.ok()?;
            read.extend_from_slice(&chunk);
            if !body_memory.reserve(chunk.len(), reserved) {
                break;
            }
        }
        Some(Self::Stream(body.with_prefix(read.freeze())))
    }

    fn take(&mut self) -> Option<Body> {
        match self {
            Self::Buffered(bytes) => Some(Body::full(bytes.clone())),
            Self::Consumed => None,
            Self::Stream(_) => match std::mem::replace(self, Self::Consumed) {
                Self::Stream(body) => Some(body),
                Self::Buffered(_) | Self::Consumed => None,
            },
        }
    }
}
