//! Log lines about requests.
//!
//! Failures are logged up to a rate limit. Requests that got an upstream's response, whatever its status, are
//! sampled by a hash of their id, so that all daemons log the same ones.

use std::{net::SocketAddr, time::Duration};

use crate::{
    line_limit::LineLimit,
    list_log::age_ms,
    metrics::Metrics,
    trail::{Refusal, Trail},
    view::RoutingVersions,
};
use copperwell_backend::exchange::Failed;
use copperwell_message::{Reason, Verdict};
use copperwell_routing::{configuration::Route, quarantine::Fingerprint, registry::Upstream};
use http::HeaderValue;
use spdlog::info;

/// One in this many answered requests is logged.
const SAMPLE_INTERVAL: u64 = 64;

/// Writes log lines about requests.
#[derive(Debug)]
pub(crate) struct RequestLog {
    metrics: Metrics,
    failures: LineLimit,
}

/// The fields of a request that appear in each of its log lines.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestContext<'a> {
    pub(crate) id: &'a HeaderValue,
    pub(crate) route: Option<&'a Route>,
    pub(crate) key: Option<u16>,
    /// The fingerprint, by which lines about crashes name the request; 0 if it was not read whole.
    pub(crate) fingerprint: Fingerprint,
    pub(crate) versions: RoutingVersions,
}

impl RequestContext<'_> {
    fn id(&self) -> &str {
        self.id.to_str().unwrap_or("?")
    }

    fn route(&self) -> &str {
        self.route.map_or("", |route| &route.name)
    }
}

impl RequestLog {
    pub(crate) fn new(metrics: Metrics) -> Self {
        Self {
            failures: LineLimit::new(metrics.suppressed_lines.clone()),
            metrics,
        }
    }

    /// Logs a request that got an upstream's response, if it is sampled.
    pub(crate) fn answered(
        &self,
        context: RequestContext<'_>,
        status: u16,
        trail: &Trail,
        total: Duration,
    ) {
        if !is_sampled(context.id) {
            return;
        }
        info!("request answered", kv: {
            event = "request-answered",
            request = context.id(),
            route = context.route(),
            key = context.key.map_or(-1, i32::from),
            status,
            server = server_of(trail),
            helper = helper_of(trail),
            tries = trail.attempted().len(),
            whole_ms = millis(total),
            list_at_choice_ms = age_ms(trail.last_send().age_at_choice),
            list_at_sending_ms = age_ms(trail.last_send().age),
            unsent_ms = age_ms(trail.last_send().waited),
            configuration = context.versions.configuration,
            term = context.versions.term,
            table = context.versions.table
        });
    }

    /// Counts and logs a request that got no upstream's response.
    pub(crate) fn refused(
        &self,
        context: RequestContext<'_>,
        refusal: &Refusal,
        trail: &Trail,
        total: Duration,
    ) {
        self.metrics.record_refusal(refusal.reason());
        if !self.failures.allows_line() {
            return;
        }
        info!("request refused", kv: {
            event = "request-refused",
            request = context.id(),
            fingerprint = context.fingerprint,
            route = context.route(),
            key = context.key.map_or(-1, i32::from),
            server = server_of(trail),
            helper = helper_of(trail),
            tries = trail.attempted().len(),
            reason = refusal.reason().as_str(),
            verdict = refusal.verdict().as_str(),
            status = refusal.status().as_u16(),
            retry_after_ms = refusal.retry_after().map_or(0, millis),
            whole_ms = millis(total),
            configuration = context.versions.configuration,
            term = context.versions.term,
            table = context.versions.table
        });
    }

    /// Logs that the last attempt failed; `again` tells whether another one follows.
    pub(crate) fn failed(
        &self,
        context: RequestContext<'_>,
        upstream: &Upstream,
        failed: Failed,
        trail: &Trail,
        elapsed: Duration,
        again: &'static str,
    ) {
        if !self.failures.allows_line() {
            return;
        }
        info!("attempt failed", kv: {
            event = "try-failed",
            request = context.id(),
            fingerprint = context.fingerprint,
            route = context.route(),
            key = context.key.map_or(-1, i32::from),
            server = &*upstream.id,
            born = upstream.born,
            zone = &*upstream.zone,
            number = trail.attempted().len(),
            reason = failed.reason.as_str(),
            verdict = failed.verdict.as_str(),
            took_ms = millis(elapsed),
            list_at_choice_ms = age_ms(trail.last_send().age_at_choice),
            list_at_sending_ms = age_ms(trail.last_send().age),
            unsent_ms = age_ms(trail.last_send().waited),
            again,
            configuration = context.versions.configuration,
            term = context.versions.term,
            table = context.versions.table
        });
    }

    /// Logs that an upstream wants no requests for `time`.
    pub(crate) fn closed(&self, context: RequestContext<'_>, upstream: &Upstream, time: Duration) {
        if !self.failures.allows_line() {
            return;
        }
        info!("an upstream wants no requests for a time", kv: {
            event = "upstream-closed",
            request = context.id(),
            server = &*upstream.id,
            born = upstream.born,
            for_ms = millis(time)
        });
    }

    /// Logs that another daemon did not get an answer to a request.
    pub(crate) fn relay_failed(
        &self,
        context: RequestContext<'_>,
        helper: SocketAddr,
        verdict: Verdict,
        reason: Reason,
    ) {
        if !self.failures.allows_line() {
            return;
        }
        info!("another daemon got no answer to a request", kv: {
            event = "relay-failed",
            request = context.id(),
            fingerprint = context.fingerprint,
            route = context.route(),
            key = context.key.map_or(-1, i32::from),
            helper: = helper,
            reason = reason.as_str(),
            verdict = verdict.as_str(),
            configuration = context.versions.configuration,
            term = context.versions.term,
            table = context.versions.table
        });
    }

    /// Counts and logs a request whose caller disconnected before the response.
    pub(crate) fn cancelled(&self, context: RequestContext<'_>, trail: &Trail, total: Duration) {
        self.metrics.cancelled.inc();
        if !self.failures.allows_line() {
            return;
        }
        info!("request cancelled: caller disconnected", kv: {
            event = "request-cancelled",
            request = context.id(),
            fingerprint = context.fingerprint,
            route = context.route(),
            key = context.key.map_or(-1, i32::from),
            server = server_of(trail),
            helper = helper_of(trail),
            tries = trail.attempted().len(),
            verdict = trail.verdict().as_str(),
            whole_ms = millis(total),
            configuration = context.versions.configuration
        });
    }
}

/// Returns the last upstream to which this daemon itself has sent a request; empty if there is none.
fn server_of(trail: &Trail) -> &str {
    trail.attempted().last().map_or("", |id| &**id)
}

/// Returns the last daemon through which a request was tried; empty if there is none.
fn helper_of(trail: &Trail) -> String {
    let helper = trail.helpers().last();
    helper.map(ToString::to_string).unwrap_or_default()
}

/// Returns whether an answered request is logged.
fn is_sampled(id: &HeaderValue) -> bool {
    let bytes = id.as_bytes().iter();
    let sum = bytes.fold(0_u64, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(u64::from(*byte))
    });
    sum.is_multiple_of(SAMPLE_INTERVAL)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
