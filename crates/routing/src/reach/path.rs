//! What is known of the path to one upstream.

use std::time::Duration;

use super::{Change, LOSSES_MAX, PROBE_INTERVAL, PROBE_INTERVAL_MAX, SILENCE};
use tokio::time::Instant;

/// What is known of the path to one upstream.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Path {
    /// Requests without an answer.
    pub(super) in_flight: u32,
    /// When an answer last arrived, or when the first of those requests was sent, if that was later.
    pub(super) quiet_since: Option<Instant>,
    /// When an answer last arrived.
    pub(super) answered_at: Option<Instant>,
    /// Whether a request has waited in vain since then.
    pub(super) has_timed_out: bool,
    /// Connections that broke under requests since the last answer.
    pub(super) losses: u32,
    /// When a request or a probe was last sent, or a connection could not be opened.
    pub(super) tried_at: Option<Instant>,
    /// Since when no connection can be opened or used; `None` if one can.
    pub(super) lost_since: Option<Instant>,
    /// Whether connections can be opened and stay silent, while they are lost.
    pub(super) is_lost_in_silence: bool,
    pub(super) probed_at: Option<Instant>,
    /// When it was last seen that a new connection, or one that is open, can be used.
    pub(super) good_at: Option<Instant>,
    /// When it was last seen that none can.
    pub(super) bad_at: Option<Instant>,
    /// Whether that was because a health check was not answered in time, on a connection that could be opened.
    pub(super) is_bad_in_silence: bool,
    /// Whether it is to be probed at once.
    pub(super) is_in_doubt: bool,
}

/// What a health check without an answer tells of a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Silence {
    /// The path is lost.
    IsLoss,
    /// The upstream is busy: its connections can be opened, and others answer.
    IsDelay,
}

impl Path {
    pub(super) fn record_answer(&mut self, now: Instant) -> Option<Change> {
        self.quiet_since = Some(now);
        self.answered_at = Some(now);
        self.good_at = Some(now);
        self.has_timed_out = false;
        self.losses = 0;
        if !std::mem::take(&mut self.is_lost_in_silence) {
            return None;
        }
        let since = self.lost_since.take()?;
        Some(Change::Back(now.saturating_duration_since(since)))
    }

    pub(super) fn record_loss(&mut self, now: Instant) -> Option<Change> {
        self.losses += 1;
        self.is_in_doubt = true;
        if self.losses >= LOSSES_MAX {
            self.record_bad(now, false);
        }
        let is_lost = self.losses >= LOSSES_MAX && self.lost_since.is_none();
        is_lost.then(|| {
            self.lost_since = Some(now);
            Change::Lost
        })
    }

    pub(super) fn record_timeout(&mut self, sent_at: Instant) {
        if !self.is_answered_since(sent_at) {
            self.has_timed_out = true;
            self.quiet_since = self.quiet_since.or(Some(sent_at));
        }
        self.is_in_doubt = true;
    }

    pub(super) fn is_answered_since(&self, sent_at: Instant) -> bool {
        self.answered_at.is_some_and(|at| at > sent_at)
    }

    pub(super) fn record_bad(&mut self, now: Instant, is_in_silence: bool) {
        self.bad_at = Some(now);
        self.is_bad_in_silence = is_in_silence;
    }

    /// Returns whether the path was seen to be lost, and not usable, since `since`; `None` if neither was seen.
    ///
    /// A health check without an answer counts as `silence` says: it may wait for a slot.
    pub(super) fn is_bad_since(&self, since: Instant, silence: Silence) -> Option<bool> {
        let last = self.good_at.max(self.bad_at).filter(|at| *at >= since)?;
        let is_bad = self.bad_at == Some(last);
        let counts = !self.is_bad_in_silence || silence == Silence::IsLoss;
        Some(is_bad && counts)
    }

    /// Returns whether nothing was seen of the path since `since`, and it was not probed either.
    pub(super) fn is_unknown_since(&self, since: Instant) -> bool {
        self.is_bad_since(since, Silence::IsLoss).is_none()
            && self.probed_at.is_none_or(|at| at < since)
    }

    /// Returns whether an answer is due, or was.
    pub(super) fn is_in_use(&self) -> bool {
        self.in_flight > 0 || self.has_timed_out || self.is_lost_in_silence
    }

    pub(super) fn is_silent(&self, now: Instant) -> bool {
        let is_quiet = self.quiet_since.is_some_and(|since| now >= since + SILENCE);
        self.is_lost_in_silence || self.is_in_use() && is_quiet
    }

    /// Returns whether the path is lost, and not in silence: no connection can be opened, or they break.
    pub(super) fn is_unconnected(&self) -> bool {
        self.lost_since.is_some() && !self.is_lost_in_silence
    }

    /// Returns whether a probe of the path is due; `is_doubted` says whether it is to be probed because others are lost.
    pub(super) fn is_probe_due(&self, is_doubted: bool, now: Instant) -> bool {
        let interval = match self.lost_since {
            _ if self.is_in_doubt => PROBE_INTERVAL,
            Some(since) => probe_interval(now.saturating_duration_since(since)),
            None if self.is_silent(now) => PROBE_INTERVAL,
            None if is_doubted => PROBE_INTERVAL_MAX,
            None => return false,
        };
        self.probed_at.is_none_or(|at| now >= at + interval)
    }
}

/// Returns the interval of the probes of what has been lost for `time`.
pub(super) fn probe_interval(time: Duration) -> Duration {
    (time / 2).clamp(PROBE_INTERVAL, PROBE_INTERVAL_MAX)
}
