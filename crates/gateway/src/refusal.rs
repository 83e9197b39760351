//! Answers that this daemon gives itself.

use std::time::Duration;

use crate::dialect::Dialect;
use copperwell_caller::{body::Answer, explain};
use copperwell_message::{Reason, Response, Verdict};
use http::{HeaderValue, StatusCode};

/// When a caller is to come back if nobody knows better.
const COME_BACK: Duration = Duration::from_millis(400);

/// A request that gets no upstream's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Refusal {
    /// Whether it may have run.
    pub(crate) verdict: Verdict,
    /// Why it gets none.
    pub(crate) reason: Reason,
    /// When there may be room, if that is known.
    pub(crate) retry_after: Option<Duration>,
}

impl Refusal {
    /// The request did not run and never will.
    pub(crate) fn not_run(reason: Reason) -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason,
            retry_after: None,
        }
    }

    /// The request may have run.
    pub(crate) fn may_have_run(reason: Reason) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            reason,
            retry_after: None,
        }
    }

    /// The status that promises no more than is true.
    pub(crate) fn status(&self) -> StatusCode {
        let status = self.reason.status();
        let status = match (self.verdict, status) {
            // These promise that the request has not run.
            (Verdict::MayHaveRun, 408 | 421 | 429 | 503) => 502,
            // These promise nothing, so the caller could not send it again.
            (Verdict::NotRun, 499 | 502 | 504) => 503,
            _ => status,
        };
        StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY)
    }

    /// The answer to the caller.
    pub(crate) fn answer(
        &self,
        dialect: &impl Dialect,
        id: Option<&HeaderValue>,
    ) -> http::Response<Answer> {
        let reply = Response::refusal(self.verdict, self.reason).reply;
        let body = explain::body(&reply, None);
        let mut answer = http::Response::new(Answer::new(body));
        let status = self.status();
        *answer.status_mut() = status;
        let comes_back = status == StatusCode::SERVICE_UNAVAILABLE;
        let retry_after = comes_back.then(|| self.retry_after.unwrap_or(COME_BACK));
        if let Some(id) = id {
            dialect.mark(answer.headers_mut(), id, retry_after);
        }
        answer
    }
}
