//! Error responses that this daemon generates itself.

use std::time::Duration;

use crate::{dialect::Dialect, rejection::Rejection};
use copperwell_caller::{body::ResponseBody, refusal};
use copperwell_message::{Reason, Response, Verdict};
use http::{HeaderValue, StatusCode};

/// The `Retry-After` of responses for which no better value is known.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_millis(400);

/// The end of a request that is answered without an upstream's response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Refusal {
    rejection: Rejection,
    verdict: Verdict,
}

impl Refusal {
    /// Creates the end of a request. Only its attempts know whether it may have run.
    pub(super) fn new(rejection: Rejection, verdict: Verdict) -> Self {
        Self { rejection, verdict }
    }

    /// Returns whether the request may have run.
    pub(crate) fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// Returns why there is no upstream's response.
    pub(crate) fn reason(&self) -> Reason {
        self.rejection.reason
    }

    /// Returns when the caller may retry, if that is known.
    pub(crate) fn retry_after(&self) -> Option<Duration> {
        self.rejection.retry_after
    }

    /// Returns a status that does not contradict the verdict.
    ///
    /// Callers retry on some statuses because these state that the request has not run.
    pub(crate) fn status(&self) -> StatusCode {
        let status = self.reason().status();
        let status = match (self.verdict, status) {
            // These statuses state that the request has not run.
            (Verdict::MayHaveRun, 408 | 421 | 429 | 503) => 502,
            // These statuses leave it open whether the request ran, so the caller could not retry.
            (Verdict::NotRun, 499 | 502 | 504) => 503,
            _ => status,
        };
        StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY)
    }

    /// Returns the response for the caller.
    pub(crate) fn to_response(
        &self,
        dialect: &impl Dialect,
        id: Option<&HeaderValue>,
    ) -> http::Response<ResponseBody> {
        let reply = Response::refusal(self.verdict, self.reason()).reply;
        let body = refusal::body(&reply, None);
        let mut response = http::Response::new(ResponseBody::new(body));
        let status = self.status();
        *response.status_mut() = status;
        let is_unavailable = status == StatusCode::SERVICE_UNAVAILABLE;
        let retry_after = is_unavailable.then(|| self.retry_after().unwrap_or(RETRY_AFTER_DEFAULT));
        if let Some(id) = id {
            dialect.set_response_headers(response.headers_mut(), id, retry_after);
        }
        response
    }
}
