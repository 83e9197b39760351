//! What one daemon knows of another.

use std::time::Duration;

use super::{Liveness, Rumour, Subject, Target};
use copperwell_keyspace::Member;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Time for which direct evidence outranks rumours.
const FRESH: Duration = Duration::from_secs(1);

/// What is known of another daemon.
#[derive(Debug, Clone)]
pub(super) struct State {
    pub(super) member: Member,
    pub(super) refutation: u32,
    pub(super) leaving: bool,
    pub(super) liveness: Liveness,
    /// When `liveness` last changed.
    pub(super) since: Instant,
    /// When it last gave a sign of life to this daemon, or through a helper.
    pub(super) heard: Option<Instant>,
    /// When this daemon's own probes failed, helpers' included.
    pub(super) failed: Option<Instant>,
    /// Is lost here, but says that it lives, or others do, so it is probed again.
    pub(super) doubted: bool,
    /// Was in the platform's list and no longer is.
    pub(super) unlisted: bool,
    /// Others say that it is gone: it left the platform's list, which this daemon may have read too
    /// late to see it there.
    pub(super) gone_elsewhere: bool,
}

/// How something became known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Evidence {
    /// The member itself was heard.
    Direct,
    /// Another daemon says so.
    Rumour,
}

impl State {
    pub(super) fn set(&mut self, now: Instant, liveness: Liveness) {
        self.liveness = liveness;
        self.since = now;
        self.doubted = false;
        if liveness != Liveness::Suspect {
            self.failed = None;
        }
    }

    /// Whether its VM is no more, as far as anybody read the list.
    pub(super) fn has_left(&self) -> bool {
        self.unlisted || self.gone_elsewhere
    }

    /// Whether only others doubt the member.
    pub(super) fn is_only_rumoured(&self) -> bool {
        self.liveness == Liveness::Suspect && self.failed.is_none()
    }

    pub(super) fn is_fresh(&self, now: Instant) -> bool {
        self.heard.is_some_and(|heard| now < heard + FRESH)
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

pub(super) fn digest_of(member: &Member) -> u64 {
    let name = xxh3_64(member.name.as_bytes());
    xxh3_64(&[name.to_le_bytes(), member.incarnation.to_le_bytes()].concat())
}
