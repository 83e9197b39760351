//! Log lines about requests.
//!
//! Every failure is logged, up to a rate. Of requests that went well those are logged whose id falls
//! to a fixed part, so that all daemons keep the same ones.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use crate::{metrics::Metrics, refusal::Refusal};
use copperwell_backend::exchange::Failed;
use copperwell_routing::{configuration::Route, registry::Upstream};
use http::HeaderValue;
use spdlog::info;
use tokio::time::Instant;

/// One in so many requests that went well is logged.
const KEPT: u64 = 64;

/// Lines about failures that are logged in one second, at most.
const FAILURES_MAX: u32 = 200;

/// The time in which failures are counted.
const SECOND: Duration = Duration::from_secs(1);

/// Writes log lines about requests.
#[derive(Debug)]
pub(crate) struct Story {
    metrics: Metrics,
    failures: Mutex<Window>,
}

#[derive(Debug)]
struct Window {
    began: Instant,
    lines: u32,
}

/// What a daemon went by when it decided.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Basis {
    /// The version of the configuration.
    pub(crate) configuration: u64,
    /// The leadership that made the tables of keys.
    pub(crate) term: u64,
    /// The number of the tables.
    pub(crate) table: u64,
}

/// A request as log lines name it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Subject<'a> {
    pub(crate) id: &'a HeaderValue,
    pub(crate) route: Option<&'a Route>,
    pub(crate) key: Option<u16>,
    pub(crate) basis: Basis,
}

impl Subject<'_> {
    fn id(&self) -> &str {
        self.id.to_str().unwrap_or("?")
    }

    fn route(&self) -> &str {
        self.route.map_or("", |route| &route.name)
    }
}

impl Story {
    pub(crate) fn new(metrics: Metrics) -> Self {
        let window = Window {
            began: Instant::now(),
            lines: 0,
        };
        Self {
            metrics,
            failures: Mutex::new(window),
        }
    }

    /// A request got an upstream's answer.
    pub(crate) fn answered(
        &self,
        subject: Subject<'_>,
        status: u16,
        tries: usize,
        whole: Duration,
    ) {
        if !is_kept(subject.id) {
            return;
        }
        info!("a request was answered", kv: {
            event = "request-answered",
            request = subject.id(),
            route = subject.route(),
            key = subject.key.map_or(-1, i32::from),
            status,
            tries,
            whole_ms = millis(whole),
            configuration = subject.basis.configuration,
            term = subject.basis.term,
            table = subject.basis.table
        });
    }

    /// A request got no upstream's answer.
    pub(crate) fn refused(&self, subject: Subject<'_>, refusal: &Refusal, whole: Duration) {
        self.metrics.refuse(refusal.reason);
        if !self.has_room() {
            return;
        }
        info!("a request got no answer", kv: {
            event = "request-refused",
            request = subject.id(),
            route = subject.route(),
            key = subject.key.map_or(-1, i32::from),
            reason = refusal.reason.as_str(),
            verdict = refusal.verdict.as_str(),
            status = refusal.status().as_u16(),
            retry_after_ms = refusal.retry_after.map_or(0, millis),
            whole_ms = millis(whole),
            configuration = subject.basis.configuration,
            term = subject.basis.term,
            table = subject.basis.table
        });
    }

    /// A request was sent to an upstream and that failed.
    pub(crate) fn failed(
        &self,
        subject: Subject<'_>,
        upstream: &Upstream,
        failed: Failed,
        number: usize,
        took: Duration,
        again: &'static str,
    ) {
        if !self.has_room() {
            return;
        }
        info!("a try failed", kv: {
            event = "try-failed",
            request = subject.id(),
            route = subject.route(),
            key = subject.key.map_or(-1, i32::from),
            server = &*upstream.id,
            born = upstream.born,
            zone = &*upstream.zone,
            number,
            reason = failed.reason.as_str(),
            verdict = failed.verdict.as_str(),
            took_ms = millis(took),
            again,
            configuration = subject.basis.configuration,
            term = subject.basis.term,
            table = subject.basis.table
        });
    }

    /// A caller left before its answer was there.
    pub(crate) fn cancelled(&self, subject: Subject<'_>, whole: Duration) {
        self.metrics.cancelled.inc();
        if !self.has_room() {
            return;
        }
        info!("a caller left", kv: {
            event = "request-cancelled",
            request = subject.id(),
            route = subject.route(),
            key = subject.key.map_or(-1, i32::from),
            whole_ms = millis(whole),
            configuration = subject.basis.configuration
        });
    }

    /// Whether one more line about a failure may be written in this second.
    fn has_room(&self) -> bool {
        let now = Instant::now();
        let mut window = self.failures.lock().unwrap_or_else(PoisonError::into_inner);
        if now.saturating_duration_since(window.began) >= SECOND {
            let left_out = window.lines.saturating_sub(FAILURES_MAX);
            window.began = now;
            window.lines = 0;
            if left_out > 0 {
                info!("lines about failures were left out", kv: { event = "log-thinned", count = left_out });
            }
        }
        window.lines += 1;
        let has_room = window.lines <= FAILURES_MAX;
        if !has_room {
            self.metrics.thinned.inc();
        }
        has_room
    }
}

/// Whether a request that goes well is logged.
fn is_kept(id: &HeaderValue) -> bool {
    let bytes = id.as_bytes().iter();
    let sum = bytes.fold(0_u64, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(u64::from(*byte))
    });
    sum.is_multiple_of(KEPT)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
