//! Keeps daemons that cannot reach each other from displacing one another without end.
//!
//! Two daemons of a data centre may each take the other for lost while both reach the log. Each would
//! then appoint itself as soon as it reads that the other did. So a leader stays for a while after
//! its appointment was read, and longer each time that this daemon has displaced one before.

use std::time::Duration;

use copperwell_keyspace::{Epoch, GroupId, HashMap, record::Appoint, replay::State};
use tokio::time::Instant;

/// How long an appointment stands before another daemon may be put in its place.
const PAUSE_FIRST: Duration = Duration::from_secs(1);

/// The longest such time.
const PAUSE_MAX: Duration = Duration::from_secs(60);

/// An appointment that stood for this long makes earlier displacements count no more.
const FORGIVEN: Duration = Duration::from_secs(180);

/// What was seen of the appointments of each group.
#[derive(Debug, Default)]
pub struct Restraint {
    groups: HashMap<GroupId, Seen>,
}

/// The latest appointment of a group.
#[derive(Debug, Clone, Copy)]
struct Seen {
    epoch: Epoch,
    /// When it was first seen.
    at: Instant,
    /// How often this daemon has displaced a leader of the group lately.
    displaced: u32,
}

impl Restraint {
    /// Nothing seen yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in the agreed state.
    pub fn observe(&mut self, state: &State, now: Instant) {
        self.groups
            .retain(|group, _| state.groups.contains_key(group));
        for (group, held) in &state.groups {
            let seen = self.groups.entry(group.clone()).or_insert(Seen {
                epoch: held.epoch,
                at: now,
                displaced: 0,
            });
            if seen.epoch != held.epoch {
                if now >= seen.at + FORGIVEN {
                    seen.displaced = 0;
                }
                seen.epoch = held.epoch;
                seen.at = now;
            }
        }
    }

    /// Whether a proposal may be made now: one that keeps the leader always may.
    #[must_use]
    pub fn allows(&self, state: &State, proposal: &Appoint, now: Instant) -> bool {
        if !displaces(state, proposal) {
            return true;
        }
        self.groups
            .get(&proposal.group)
            .is_none_or(|seen| now >= seen.at + pause(seen.displaced))
    }

    /// Notes that a proposal was made.
    pub fn proposed(&mut self, state: &State, proposal: &Appoint) {
        if displaces(state, proposal)
            && let Some(seen) = self.groups.get_mut(&proposal.group)
        {
            seen.displaced = seen.displaced.saturating_add(1);
        }
    }
}

/// Whether a proposal puts another daemon, or another run of one, in a leader's place.
fn displaces(state: &State, proposal: &Appoint) -> bool {
    let held = state.groups.get(&proposal.group);
    held.is_some_and(|held| {
        held.leader.name != proposal.leader.name
            || held.leader.incarnation != proposal.leader.incarnation
    })
}

fn pause(displaced: u32) -> Duration {
    let factor = 2u32.saturating_pow(displaced);
    PAUSE_FIRST.saturating_mul(factor).min(PAUSE_MAX)
}
