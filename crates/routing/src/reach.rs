//! Which upstreams this daemon reaches itself.
//!
//! Each path is judged by what happened on it, and by what happened on others that one fault can take away with it.
//!
//! A connection that cannot be opened, or connections that break one after the other, tell that the path to an
//! upstream is lost, or that its process has ended. So does silence: requests are not answered, and a health check
//! on a new connection is not either. An answer proves nothing about new connections, but that those that carry it
//! can be used.

use std::{sync::Arc, time::Duration};

use crate::{UpstreamId, registry::Upstream};
use copperwell_message::{HashMap, HashSet};
use rand::Rng;
use tokio::time::Instant;

use path::Path;
use sample::Groups;

pub use sample::{Group, Verdict};

mod path;
mod sample;

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

/// The least number of lost paths for which the fault may be at this daemon.
const CUT_OFF_MIN: usize = 2;

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
    groups: Groups,
    /// The upstreams that are taken to be lost with others, as nothing shows otherwise.
    presumed: HashSet<UpstreamId>,
    /// Probes that were due and put off since they were last taken.
    deferred_probes: u64,
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

/// What is to be done, and what was found, when paths are looked at.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Update {
    /// The paths that are to be probed now.
    pub probes: Vec<Probe>,
    /// The groups that are taken to be lost now, or not any more.
    pub verdicts: Vec<Verdict>,
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
        if end == End::Answered {
            self.presumed.remove(id);
        }
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
        self.presumed.remove(id);
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
        path.record_bad(now, true);
        if path.lost_since.is_none() && !path.is_silent(now) {
            // It was asked as one of a sample, and owes no answer to a request.
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
        if !is_open {
            path.record_bad(now, false);
        }
        match (is_open, path.lost_since) {
            (false, None) => {
                path.lost_since = Some(now);
                Some(Change::Lost)
            }
            (true, None) => {
                path.good_at = Some(now);
                None
            }
            (true, Some(_)) if path.is_lost_in_silence => None,
            (true, Some(since)) if path.losses < LOSSES_MAX || now >= since + LOSS_HOLD => {
                path.lost_since = None;
                path.good_at = Some(now);
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
        path.is_some_and(|path| path.lost_since.is_some()) || self.presumed.contains(id)
    }

    /// Returns whether a request to an upstream would be lost: its path is lost, or taken to be with others, and no
    /// connection has carried an answer since.
    #[must_use]
    pub fn is_unusable(&self, id: &str) -> bool {
        let path = self.paths.get(id);
        let is_unusable = path.is_some_and(|path| {
            let lost_since = path.lost_since;
            lost_since.is_some_and(|since| path.answered_at.is_none_or(|at| at <= since))
        });
        is_unusable || self.presumed.contains(id)
    }

    /// Returns the upstreams to which no new connection can be opened or used, as far as is known or taken to be, in
    /// order.
    #[must_use]
    pub fn lost(&self) -> Vec<UpstreamId> {
        let paths = self.paths.iter();
        let lost = paths.filter(|(_, path)| path.lost_since.is_some());
        let mut lost: Vec<_> = lost.map(|(id, _)| id.clone()).collect();
        lost.extend(self.presumed.iter().cloned());
        lost.sort_unstable();
        lost.dedup();
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
        let lost = self.lost().len();
        lost >= CUT_OFF_MIN && lost as f64 >= CUT_OFF_SHARE * all as f64
    }

    /// Judges groups of paths by samples of them, and returns the paths that are to be probed now, a few at a time, and
    /// counts them as probed.
    ///
    /// These are the paths in samples, then those that are lost, silent or in doubt, the one first that was not probed
    /// for longest. What is taken to be lost with others is not probed by itself.
    pub fn update<'a>(
        &mut self,
        all: impl IntoIterator<Item = &'a Arc<Upstream>>,
        now: Instant,
        random: &mut impl Rng,
    ) -> Update {
        if !self.is_in_trouble(now) {
            return Update::default();
        }
        let all: Vec<&Arc<Upstream>> = all.into_iter().collect();
        let verdicts = self.groups.update(&all, &self.paths, now, random);
        let is_presumed = |one: &&&Arc<Upstream>| {
            let path = self.paths.get(&one.id);
            self.groups.is_presumed_lost(one, path)
        };
        let presumed = all.iter().filter(is_presumed);
        self.presumed = presumed.map(|one| one.id.clone()).collect();
        Update {
            probes: self.due_probes(&all, now),
            verdicts,
        }
    }

    /// Returns whether any path is lost, silent or in doubt.
    fn is_in_trouble(&self, now: Instant) -> bool {
        let is_bad =
            |path: &Path| path.lost_since.is_some() || path.is_in_doubt || path.is_silent(now);
        self.groups.are_in_doubt() || self.paths.values().any(is_bad)
    }

    fn due_probes(&mut self, all: &[&Arc<Upstream>], now: Instant) -> Vec<Probe> {
        let is_silent = self.is_silent(now);
        let sampled = self.groups.awaited(&self.paths);
        let mut due = Vec::new();
        for upstream in all {
            let path = self.paths.get(&upstream.id);
            let sample = sampled.get(&upstream.id).copied();
            let is_presumed = self.presumed.contains(&upstream.id);
            let is_doubted = self.groups.is_doubted(upstream, path);
            let is_due = |path: Option<&Path>| {
                path.map_or(is_doubted, |path| path.is_probe_due(is_doubted, now))
            };
            if sample.is_some() || !is_presumed && is_due(path) {
                let probed_at = path.and_then(|path| path.probed_at);
                due.push((sample.is_none(), sample, probed_at, *upstream));
            }
        }
        due.sort_by_key(|(is_unsampled, sample, probed_at, _)| {
            (*is_unsampled, *sample, *probed_at)
        });
        let deferred = due.len().saturating_sub(PROBES_MAX) as u64;
        self.deferred_probes += deferred;
        due.truncate(PROBES_MAX);
        let probes = due.into_iter().map(|(_, sample, _, upstream)| {
            let path = self.paths.entry(upstream.id.clone()).or_default();
            path.probed_at = Some(now);
            path.tried_at = Some(now);
            path.is_in_doubt = false;
            Probe {
                upstream: upstream.clone(),
                // A connection that opens does not show that a path is there that was lost in silence.
                asks: sample.map_or(is_silent, |sample| sample.asks) || path.lost_since.is_some(),
            }
        });
        probes.collect()
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
        self.presumed.retain(|id| is_registered(id));
        self.paths
            .retain(|id, path| path.in_flight > 0 || is_registered(id));
    }
}
