//! Which upstreams this daemon reaches itself.
//!
//! A connection that cannot be opened, or connections that break one after the other, tell that the path to an
//! upstream is lost, or that its process has ended. So does silence: requests are not answered, and a health check
//! on a new connection is not either. An answer proves nothing about new connections, but that those that carry it
//! can be used.

use std::{sync::Arc, time::Duration};

use crate::{UpstreamId, registry::Upstream};
use copperwell_message::HashMap;
use tokio::time::Instant;

/// How long requests at an upstream wait without any answer before its path is probed: longer than most take, as each
/// probe opens a connection.
const SILENCE: Duration = Duration::from_secs(1);

/// The share of the paths in use that must be silent before health checks are sent, while no other answers either:
/// silence at some upstreams among others that answer is theirs.
const SILENT_SHARE: f64 = 0.5;

/// The number of connections that break under requests, without any answer in between, from which on a path is lost.
const LOSSES_MAX: u32 = 2;

/// How long a path stays lost at least that was lost so, whatever probes say: its connections can be opened.
const LOSS_HOLD: Duration = Duration::from_secs(2);

/// The interval at which a silent path, or one that was just lost, is probed.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// The interval at which a path is probed that has been lost for long, or that is in doubt only since others are lost.
const PROBE_INTERVAL_MAX: Duration = Duration::from_secs(2);

/// The number of lost paths from which on the others are in doubt.
const LOST_TO_DOUBT: usize = 2;

/// The most probes that are due at once, since each opens a connection.
const PROBES_MAX: usize = 8;

/// How long ago a path was used or probed at most that counts as tried.
const TRIED_TTL: Duration = Duration::from_secs(5);

/// The share of all upstreams whose paths are lost from which on the fault is taken to be at this daemon.
const CUT_OFF_SHARE: f64 = 0.8;

/// The paths to all upstreams.
#[derive(Debug, Default)]
pub struct Reach {
    paths: HashMap<UpstreamId, Path>,
    /// Probes that were due and put off since they were last taken.
    deferred_probes: u64,
}

/// What is known of the path to one upstream.
#[derive(Debug, Clone, Copy, Default)]
struct Path {
    /// Requests without an answer.
    in_flight: u32,
    /// When an answer last arrived, or when the first of those requests was sent, if that was later.
    quiet_since: Option<Instant>,
    /// When an answer last arrived.
    answered_at: Option<Instant>,
    /// Whether a request has waited in vain since then.
    has_timed_out: bool,
    /// Connections that broke under requests since the last answer.
    losses: u32,
    /// When a request or a probe was last sent, or a connection could not be opened.
    tried_at: Option<Instant>,
    /// Since when no connection can be opened or used; `None` if one can.
    lost_since: Option<Instant>,
    /// Whether connections can be opened and stay silent, while they are lost.
    is_lost_in_silence: bool,
    probed_at: Option<Instant>,
    /// Whether it is to be probed at once.
    is_in_doubt: bool,
}

/// How a request at an upstream ended, as far as its path is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The upstream has answered.
    Answered,
    /// The connection broke before any answer.
    ConnectionLost,
    /// No answer arrived in time.
    TimedOut {
        /// When the request was sent.
        sent_at: Instant,
    },
    /// Anything else, such as a caller that left.
    Other,
}

/// How a path changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// No connection can be opened or used any more.
    Lost,
    /// Connections can be used again, after this time.
    Back(Duration),
}

/// A path that is to be probed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Probe {
    /// The upstream.
    pub upstream: Arc<Upstream>,
    /// Whether a health check is to be sent too: a connection that opens does not show that a lost path is back.
    pub asks: bool,
}

impl Reach {
    /// Records that a request is sent to an upstream.
    pub fn record_send(&mut self, id: &UpstreamId, now: Instant) {
        let path = self.paths.entry(id.clone()).or_default();
        if path.in_flight == 0 && !path.has_timed_out {
            path.quiet_since = Some(now);
        }
        path.in_flight += 1;
        path.tried_at = Some(now);
    }

    /// Records how a request has ended; returns how its path changed.
    pub fn record_end(&mut self, id: &str, end: End, now: Instant) -> Option<Change> {
        let path = self.paths.get_mut(id)?;
        path.in_flight = path.in_flight.saturating_sub(1);
        match end {
            End::Answered => return path.record_answer(now),
            End::ConnectionLost => return path.record_loss(now),
            End::TimedOut { sent_at } => path.record_timeout(sent_at),
            End::Other => {}
        }
        None
    }

    /// Records that an order to an upstream has waited in vain since `sent_at`.
    pub fn record_timeout(&mut self, id: &UpstreamId, sent_at: Instant) {
        self.paths
            .entry(id.clone())
            .or_default()
            .record_timeout(sent_at);
    }

    /// Records that an upstream has answered an order; returns how its path changed.
    pub fn record_order_answer(&mut self, id: &str, now: Instant) -> Option<Change> {
        self.paths.get_mut(id)?.record_answer(now)
    }

    /// Records that a health check on a new connection to an upstream was answered; returns how its path changed.
    pub fn record_health_answer(&mut self, id: &UpstreamId, now: Instant) -> Option<Change> {
        let path = self.paths.entry(id.clone()).or_default();
        match path.is_unconnected() {
            // Connections may break under requests all the same.
            true => self.record_connect(id, true, now),
            false => path.record_answer(now),
        }
    }

    /// Records that a health check on a new connection to an upstream has waited in vain since `sent_at`; returns how
    /// its path changed.
    pub fn record_health_timeout(
        &mut self,
        id: &UpstreamId,
        sent_at: Instant,
        now: Instant,
    ) -> Option<Change> {
        let path = self.paths.entry(id.clone()).or_default();
        if path.is_answered_since(sent_at) {
            // The health check waits for a slot, and requests are answered.
            return None;
        }
        let is_first = path.lost_since.is_none();
        path.lost_since = path.lost_since.or(Some(now));
        path.is_lost_in_silence = true;
        is_first.then_some(Change::Lost)
    }

    /// Records that a connection to an upstream broke under an order; returns how its path changed.
    pub fn record_loss(&mut self, id: &UpstreamId, now: Instant) -> Option<Change> {
        self.paths.entry(id.clone()).or_default().record_loss(now)
    }

    /// Records whether a connection to an upstream could be opened; returns how its path changed.
    pub fn record_connect(
        &mut self,
        id: &UpstreamId,
        is_open: bool,
        now: Instant,
    ) -> Option<Change> {
        let path = self.paths.entry(id.clone()).or_default();
        path.tried_at = Some(now);
        match (is_open, path.lost_since) {
            (false, None) => {
                path.lost_since = Some(now);
                Some(Change::Lost)
            }
            (true, Some(_)) if path.is_lost_in_silence => None,
            (true, Some(since)) if path.losses < LOSSES_MAX || now >= since + LOSS_HOLD => {
                path.lost_since = None;
                // One more loss shows that it is still lost.
                path.losses = path.losses.min(LOSSES_MAX - 1);
                Some(Change::Back(now.saturating_duration_since(since)))
            }
            _ => None,
        }
    }

    /// Forgets the path to an upstream that has started again; returns how it changed.
    pub fn restart(&mut self, id: &str, now: Instant) -> Option<Change> {
        let path = self.paths.get_mut(id)?;
        path.losses = 0;
        path.has_timed_out = false;
        path.is_lost_in_silence = false;
        let since = path.lost_since.take()?;
        Some(Change::Back(now.saturating_duration_since(since)))
    }

    /// Has the path to an upstream probed at once.
    pub fn record_doubt(&mut self, id: &UpstreamId) {
        self.paths.entry(id.clone()).or_default().is_in_doubt = true;
    }

    /// Returns whether connections to an upstream can be opened and are not answered.
    #[must_use]
    pub fn is_lost_in_silence(&self, id: &str) -> bool {
        let path = self.paths.get(id);
        path.is_some_and(|path| path.is_lost_in_silence)
    }

    /// Returns whether no new connection to an upstream can be opened or used.
    #[must_use]
    pub fn is_lost(&self, id: &str) -> bool {
        let path = self.paths.get(id);
        path.is_some_and(|path| path.lost_since.is_some())
    }

    /// Returns whether a request to an upstream would be lost: its path is lost, and no connection has carried an
    /// answer since.
    #[must_use]
    pub fn is_unusable(&self, id: &str) -> bool {
        let path = self.paths.get(id);
        path.is_some_and(|path| {
            let lost_since = path.lost_since;
            lost_since.is_some_and(|since| path.answered_at.is_none_or(|at| at <= since))
        })
    }

    /// Returns the upstreams to which no new connection can be opened or used, in order.
    #[must_use]
    pub fn lost(&self) -> Vec<UpstreamId> {
        let paths = self.paths.iter();
        let lost = paths.filter(|(_, path)| path.lost_since.is_some());
        let mut lost: Vec<_> = lost.map(|(id, _)| id.clone()).collect();
        lost.sort_unstable();
        lost
    }

    /// Returns the number of paths that were used or probed lately.
    #[must_use]
    pub fn tried(&self, now: Instant) -> usize {
        let is_recent = |path: &&Path| path.tried_at.is_some_and(|at| now < at + TRIED_TTL);
        self.paths.values().filter(is_recent).count()
    }

    /// Returns the number of probes that were due and put off since the last call.
    pub fn take_deferred_probes(&mut self) -> u64 {
        std::mem::take(&mut self.deferred_probes)
    }

    /// Returns whether so many of `all` upstreams are lost that the fault must be at this daemon.
    #[must_use]
    pub fn is_cut_off(&self, all: usize) -> bool {
        let paths = self.paths.values();
        let lost = paths.filter(|path| path.lost_since.is_some()).count();
        lost >= LOST_TO_DOUBT && lost as f64 >= CUT_OFF_SHARE * all as f64
    }

    /// Returns the paths that are to be probed now, a few at a time, and counts them as probed.
    ///
    /// These are lost and silent paths, and all that were used and not probed since another one was lost, while
    /// several are.
    pub fn due_probes<'a>(
        &mut self,
        all: impl IntoIterator<Item = &'a Arc<Upstream>>,
        now: Instant,
    ) -> Vec<Probe> {
        let lost_since = self.paths.values().filter_map(|path| path.lost_since);
        let doubted_since = match lost_since.clone().count() >= LOST_TO_DOUBT {
            true => lost_since.max(),
            false => None,
        };
        let is_silent = self.is_silent(now);
        let mut due = Vec::new();
        for upstream in all {
            let Some(path) = self.paths.get_mut(&upstream.id) else {
                continue;
            };
            if path.is_probe_due(doubted_since, now) {
                if due.len() >= PROBES_MAX {
                    self.deferred_probes += 1;
                    continue;
                }
                path.probed_at = Some(now);
                path.tried_at = Some(now);
                path.is_in_doubt = false;
                due.push(Probe {
                    upstream: upstream.clone(),
                    asks: is_silent || path.lost_since.is_some(),
                });
            }
        }
        due
    }

    /// Returns whether this daemon may have lost its paths in silence: no upstream answers, and most that owe an answer
    /// have owed it for long.
    fn is_silent(&self, now: Instant) -> bool {
        let answered_at = self.paths.values().filter_map(|path| path.answered_at);
        if answered_at.max().is_some_and(|at| now < at + SILENCE) {
            return false;
        }
        let in_use = self.paths.values().filter(|path| path.is_in_use());
        let silent = in_use.clone().filter(|path| path.is_silent(now)).count();
        silent > 0 && silent as f64 >= SILENT_SHARE * in_use.count() as f64
    }

    /// Forgets upstreams that are no longer registered.
    pub fn retain(&mut self, is_registered: impl Fn(&str) -> bool) {
        self.paths
            .retain(|id, path| path.in_flight > 0 || is_registered(id));
    }
}

impl Path {
    fn record_answer(&mut self, now: Instant) -> Option<Change> {
        self.quiet_since = Some(now);
        self.answered_at = Some(now);
        self.has_timed_out = false;
        self.losses = 0;
        if !std::mem::take(&mut self.is_lost_in_silence) {
            return None;
        }
        let since = self.lost_since.take()?;
        Some(Change::Back(now.saturating_duration_since(since)))
    }

    fn record_loss(&mut self, now: Instant) -> Option<Change> {
        self.losses += 1;
        self.is_in_doubt = true;
        let is_lost = self.losses >= LOSSES_MAX && self.lost_since.is_none();
        is_lost.then(|| {
            self.lost_since = Some(now);
            Change::Lost
        })
    }

    fn record_timeout(&mut self, sent_at: Instant) {
        if !self.is_answered_since(sent_at) {
            self.has_timed_out = true;
            self.quiet_since = self.quiet_since.or(Some(sent_at));
        }
        self.is_in_doubt = true;
    }

    fn is_answered_since(&self, sent_at: Instant) -> bool {
        self.answered_at.is_some_and(|at| at > sent_at)
    }

    /// Returns whether an answer is due, or was.
    fn is_in_use(&self) -> bool {
        self.in_flight > 0 || self.has_timed_out || self.is_lost_in_silence
    }

    fn is_silent(&self, now: Instant) -> bool {
        let is_quiet = self.quiet_since.is_some_and(|since| now >= since + SILENCE);
        self.is_lost_in_silence || self.is_in_use() && is_quiet
    }

    /// Returns whether the path is lost, and not in silence: no connection can be opened, or they break.
    fn is_unconnected(&self) -> bool {
        self.lost_since.is_some() && !self.is_lost_in_silence
    }

    fn is_probe_due(&self, doubted_since: Option<Instant>, now: Instant) -> bool {
        let is_doubted = doubted_since
            .is_some_and(|since| self.probed_at.is_none_or(|probed_at| probed_at < since));
        let interval = match self.lost_since {
            _ if self.is_in_doubt => PROBE_INTERVAL,
            Some(since) => {
                (now.saturating_duration_since(since) / 2).clamp(PROBE_INTERVAL, PROBE_INTERVAL_MAX)
            }
            None if self.is_silent(now) => PROBE_INTERVAL,
            None if is_doubted => PROBE_INTERVAL_MAX,
            None => return false,
        };
        self.probed_at.is_none_or(|at| now >= at + interval)
    }
}
