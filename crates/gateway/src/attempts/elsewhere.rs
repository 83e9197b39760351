//! The way of a request through another daemon, to an upstream that this one does not reach.

use std::net::SocketAddr;

use super::{Attempts, Progress};
use crate::{
    dialect::Dialect,
    relay::{Outgoing, Terms},
    trail::Flight,
};
use copperwell_backend::exchange::Failed;
use copperwell_message::{Body, Reason, Response, Verdict};
use copperwell_routing::UpstreamId;
use http::request::Parts;
use tokio::time::Instant;

/// The most daemons through which one request is tried.
const RELAYS_MAX: usize = 2;

impl<D: Dialect> Attempts<'_, D> {
    /// Returns the terms for a daemon that sends this request on after `attempts` attempts.
    pub(super) fn terms_for_relay(&self, attempts: usize) -> Terms {
        let attempts = u32::try_from(attempts).unwrap_or(u32::MAX);
        let configuration = self.view.configuration();
        Terms {
            configuration: configuration.map_or(0, |known| known.version),
            attempts: self.route.attempts.saturating_sub(attempts).max(1),
        }
    }

    /// Sends the request through another daemon.
    pub(super) async fn relay(
        &self,
        helper: SocketAddr,
        mut flight: Flight<'_>,
        terms: Terms,
        parts: &Parts,
        body: Body,
    ) -> Response {
        let outgoing = Outgoing {
            parts,
            body,
            identity: &self.identity,
            terms,
            time_left: self.deadline.saturating_duration_since(Instant::now()),
        };
        // It is sent once there is a link, which this daemon does not see.
        flight.record_sending();
        let relay = &self.selector.relay;
        let response = relay.send(helper, outgoing).await;
        flight.end(response.reply.verdict);
        if let Some(reason) = response.reply.reason {
            self.request_log
                .relay_failed(self.context, helper, response.reply.verdict, reason);
        }
        response
    }

    /// Returns the daemons through which the request was tried; `None` if it must not be relayed any more.
    ///
    /// A relayed request is not relayed once more.
    pub(super) fn relays<'a>(&self, tried: &'a [SocketAddr]) -> Option<&'a [SocketAddr]> {
        (self.terms.is_none() && tried.len() < RELAYS_MAX).then_some(tried)
    }

    /// Returns whether another daemon has sent the request here for an upstream that this one has lost as well. That
    /// daemon can try a third one if it is told at once.
    pub(super) fn is_lost_for_others(&self, upstream: &UpstreamId) -> bool {
        self.terms.is_some() && self.view.paths.reach().is_unusable(upstream)
    }

    /// Returns whether a request that could not be sent can be sent through another daemon.
    pub(super) fn can_relay(&self, failed: Failed, progress: &Progress<'_>) -> bool {
        let can_relay = |tried| self.selector.can_relay(progress.requirements, tried);
        failed.verdict == Verdict::NotRun
            && failed.reason == Reason::ConnectionRefused
            && progress.relays.is_some_and(can_relay)
    }
}
