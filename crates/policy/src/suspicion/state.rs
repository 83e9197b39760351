//! The state that a daemon keeps of another one.

use std::time::Duration;

use super::{Liveness, Rumour, Subject, Target};
use copperwell_keyspace::Member;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Time for which direct evidence outranks rumours.
const EVIDENCE_TIME: Duration = Duration::from_secs(1);

/// The state of another daemon, as this one sees it.
#[derive(Debug, Clone)]
pub(super) struct State {
    pub(super) member: Member,
    pub(super) refutation: u32,
    pub(super) leaving: bool,
    pub(super) liveness: Liveness,
    /// When `liveness` last changed.
    pub(super) changed_at: Instant,
    /// When it last answered this daemon or a helper.
    pub(super) last_answer: Option<Instant>,
    /// When a probe of this daemon failed first, including the probes of its helpers.
    pub(super) failed_at: Option<Instant>,
    /// Whether it is lost here while a rumour says that it is live, so that it is probed again.
    pub(super) disputed: bool,
    /// Whether it was in the platform's list and no longer is.
    pub(super) unlisted: bool,
    /// Whether others say that it is gone: it left the platform's list, which this daemon may have
    /// read too late to see it there.
    pub(super) reported_gone: bool,
}

/// How a state became known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Evidence {
    /// The member itself answered a probe.
    Direct,
    /// A message without a probe: a rumour of another daemon, or an unsolicited one of the member.
    Rumour,
}

impl State {
    pub(super) fn set_liveness(&mut self, now: Instant, liveness: Liveness) {
        self.liveness = liveness;
        self.changed_at = now;
        self.disputed = false;
        if liveness != Liveness::Suspect {
            self.failed_at = None;
        }
    }

    /// Returns whether its VM has left the platform's list, as this daemon or others saw it.
    pub(super) fn has_left_list(&self) -> bool {
        self.unlisted || self.reported_gone
    }

    /// Returns whether the member is suspect because of rumours only.
    pub(super) fn is_suspect_by_rumour(&self) -> bool {
        self.liveness == Liveness::Suspect && self.failed_at.is_none()
    }

    /// Returns whether the member answered recently enough to outrank rumours.
    pub(super) fn has_fresh_evidence(&self, now: Instant) -> bool {
        self.last_answer
            .is_some_and(|answered| now < answered + EVIDENCE_TIME)
    }

    pub(super) fn rumour(&self) -> Rumour {
        Rumour {
            member: self.member.clone(),
            refutation: self.refutation,
            leaving: self.leaving,
            liveness: self.liveness,
        }
    }

    pub(super) fn target(&self) -> Target {
        Target {
            control: self.member.control,
            subject: Some(Subject {
                name: self.member.name.clone(),
                incarnation: self.member.incarnation,
            }),
        }
    }
}

pub(super) fn member_digest(member: &Member) -> u64 {
    let name = xxh3_64(member.name.as_bytes());
    xxh3_64(&[name.to_le_bytes(), member.incarnation.to_le_bytes()].concat())
}
