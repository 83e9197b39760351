//! Requests that an upstream left unanswered, until there is proof that it has ended.
//!
//! A lost connection or a timeout alone proves nothing: connections are cut, and servers are slow. Proof may
//! come from anywhere, before or after the loss, and need not wait for another request to the upstream.

use std::time::Duration;

use copperwell_keyspace::Incarnation;
use tokio::time::Instant;

/// Maximum time between an unanswered request and the proof that its upstream has ended.
///
/// A registration expires after a few missed heartbeats, and later if its store is away meanwhile.
pub const PROOF_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of unanswered requests of one upstream that wait for proof.
const REQUESTS_MAX: usize = 256;

/// The unanswered requests of one upstream.
#[derive(Debug)]
pub struct Unanswered<T> {
    requests: Vec<Request<T>>,
    /// The last incarnation that has ended, and when that was proved.
    ended: Option<(Incarnation, Instant)>,
    unproved: usize,
}

#[derive(Debug)]
struct Request<T> {
    request: T,
    incarnation: Incarnation,
    at: Instant,
}

impl<T> Unanswered<T> {
    /// Creates an instance without requests.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a request that was sent at `sent_at` to `incarnation`; returns it if that incarnation has ended.
    ///
    /// One that was sent after the proof reached a later incarnation, of which nothing is known yet.
    pub fn record(
        &mut self,
        now: Instant,
        incarnation: Incarnation,
        sent_at: Instant,
        request: T,
    ) -> Option<T> {
        self.expire(now);
        let is_proved = |(ended, proved_at)| {
            incarnation <= ended && (incarnation < ended || sent_at <= proved_at)
        };
        if self.ended.is_some_and(is_proved) {
            return Some(request);
        }
        if self.requests.len() < REQUESTS_MAX {
            self.requests.push(Request {
                request,
                incarnation,
                at: now,
            });
        }
        None
    }

    /// Records proof that `incarnation` and all earlier ones have ended; returns their requests.
    pub fn record_end(&mut self, now: Instant, incarnation: Incarnation) -> Vec<T> {
        self.expire(now);
        let last = self
            .ended
            .map_or(incarnation, |(ended, _)| ended.max(incarnation));
        self.ended = Some((last, now));
        self.requests
            .extract_if(.., |request| request.incarnation <= last)
            .map(|request| request.request)
            .collect()
    }

    /// Records a sign of life of `incarnation`, which refutes a proof that it was the last to end.
    pub fn record_life(&mut self, incarnation: Incarnation) {
        self.ended = self.ended.filter(|(ended, _)| *ended != incarnation);
    }

    /// Returns whether nothing is known that matters from now on.
    pub fn is_empty(&mut self, now: Instant) -> bool {
        self.expire(now);
        self.requests.is_empty() && self.ended.is_none()
    }

    /// Returns whether any request waits for proof.
    #[must_use]
    pub fn has_requests(&self) -> bool {
        !self.requests.is_empty()
    }

    /// Returns how many requests were forgotten without proof since the last call.
    pub fn take_unproved(&mut self, now: Instant) -> usize {
        self.expire(now);
        std::mem::take(&mut self.unproved)
    }

    fn expire(&mut self, now: Instant) {
        let before = self.requests.len();
        self.requests
            .retain(|request| now < request.at + PROOF_TIMEOUT);
        self.unproved += before - self.requests.len();
        self.ended = self.ended.filter(|(_, at)| now < *at + PROOF_TIMEOUT);
    }
}

impl<T> Default for Unanswered<T> {
    fn default() -> Self {
        Self {
            requests: Vec::new(),
            ended: None,
            unproved: 0,
        }
    }
}
