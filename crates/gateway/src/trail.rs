//! What is known of a request: where it was sent, and whether it may have run.

use std::{mem, net::SocketAddr, time::Duration};

use crate::rejection::Rejection;
use copperwell_message::{Response, Verdict};
use copperwell_routing::UpstreamId;

pub(crate) use refusal::Refusal;

mod refusal;

/// The attempts of a request, at upstreams and through other daemons.
///
/// Whether the request may have run is known here alone: every [`Refusal`] takes it from here, whichever way the request
/// ends.
#[derive(Debug, Default)]
pub(crate) struct Trail {
    attempted: Vec<UpstreamId>,
    helpers: Vec<SocketAddr>,
    last_send: Sending,
    /// Whether the request was sent in an attempt whose end is not known.
    is_in_flight: bool,
    /// Whether the request may have run in an attempt that has ended.
    may_have_run: bool,
    kept: Option<Kept>,
}

/// How old a daemon's knowledge was when it sent a request to an upstream.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Sending {
    /// The age of the list of upstreams when the upstream was chosen; `None` if there was no list.
    pub(crate) age_at_choice: Option<Duration>,
    /// Its age when the request was sent; `None` if it was not sent.
    pub(crate) age: Option<Duration>,
    /// The time from the choice to the sending; `None` if it was not sent.
    pub(crate) waited: Option<Duration>,
}

/// How an attempt ended, which is the request's end unless a later attempt succeeds.
#[derive(Debug)]
struct Kept {
    result: Result<Response, Rejection>,
    verdict: Verdict,
}

/// An attempt that has begun.
///
/// Once the request is sent, it may have run; only [`Flight::end`] can say that it has not. An attempt that is dropped
/// says nothing.
#[derive(Debug)]
pub(crate) struct Flight<'a> {
    trail: &'a mut Trail,
}

impl Trail {
    /// Creates the attempts of a request that an upstream has begun to answer.
    pub(crate) fn with_answer() -> Self {
        Self {
            may_have_run: true,
            ..Self::default()
        }
    }

    /// Begins an attempt at an upstream.
    pub(crate) fn begin_at(&mut self, upstream: UpstreamId) -> Flight<'_> {
        self.attempted.push(upstream);
        self.last_send = Sending::default();
        self.begin()
    }

    /// Begins an attempt through the daemon at `helper`.
    pub(crate) fn begin_through(&mut self, helper: SocketAddr) -> Flight<'_> {
        self.helpers.push(helper);
        self.begin()
    }

    fn begin(&mut self) -> Flight<'_> {
        // What became of an attempt that was dropped is not known.
        self.may_have_run |= mem::take(&mut self.is_in_flight);
        Flight { trail: self }
    }

    /// Takes back the attempt at the last upstream, to which the request was not sent.
    pub(crate) fn withdraw(&mut self) {
        self.attempted.pop();
    }

    /// Returns the upstreams of the attempts, in order.
    pub(crate) fn attempted(&self) -> &[UpstreamId] {
        &self.attempted
    }

    /// Returns the daemons through which the request was tried, in order.
    pub(crate) fn helpers(&self) -> &[SocketAddr] {
        &self.helpers
    }

    /// Returns what was known when the request was last sent.
    pub(crate) fn last_send(&self) -> Sending {
        self.last_send
    }

    /// Returns whether the request may have run.
    pub(crate) fn verdict(&self) -> Verdict {
        match self.may_have_run || self.is_in_flight {
            true => Verdict::MayHaveRun,
            false => Verdict::NotRun,
        }
    }

    /// Keeps the result of an attempt as that of the request, unless only an earlier attempt may have run.
    pub(crate) fn keep(&mut self, result: Result<Response, Rejection>, verdict: Verdict) {
        let is_worse = |kept: &Kept| kept.verdict != Verdict::NotRun && verdict == Verdict::NotRun;
        if !self.kept.as_ref().is_some_and(is_worse) {
            self.kept = Some(Kept { result, verdict });
        }
    }

    /// Ends a request that is not sent again: by the result that was kept, else by `rejection`.
    pub(crate) fn finish(&mut self, rejection: Rejection) -> Result<Response, Refusal> {
        let result = match self.kept.take() {
            // The attempt that was broken off is newer than what was kept.
            Some(kept) if !self.is_in_flight => kept.result,
            _ => Err(rejection),
        };
        result.map_err(|rejection| self.refuse(rejection))
    }

    /// Refuses the request, whatever was kept.
    pub(crate) fn refuse(&self, rejection: Rejection) -> Refusal {
        Refusal::new(rejection, self.verdict())
    }
}

impl Flight<'_> {
    /// Records the age of the list by which the upstream was chosen.
    pub(crate) fn record_choice(&mut self, age: Option<Duration>) {
        self.trail.last_send.age_at_choice = age;
    }

    /// Records that the request is sent from now on.
    pub(crate) fn record_sending(&mut self) {
        self.trail.is_in_flight = true;
    }

    /// Records that the request is sent to an upstream from now on, `waited` after its choice, by a list of this `age`.
    pub(crate) fn record_sending_at(&mut self, age: Option<Duration>, waited: Duration) {
        self.trail.last_send.age = age;
        self.trail.last_send.waited = Some(waited);
        self.record_sending();
    }

    /// Returns what was known when the request was sent.
    pub(crate) fn sending(&self) -> Sending {
        self.trail.last_send
    }

    /// Ends the attempt; `verdict` says whether the request may have run in it.
    pub(crate) fn end(self, verdict: Verdict) {
        self.trail.is_in_flight = false;
        self.trail.may_have_run |= verdict != Verdict::NotRun;
    }
}

#[cfg(test)]
mod tests;
