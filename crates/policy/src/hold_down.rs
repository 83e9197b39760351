//! Hold-down for the replacement of group leaders.
//!
//! Two daemons of a data centre that cannot reach each other may each consider the other lost while
//! both reach the log. Each would then appoint itself as soon as it reads the other's appointment,
//! without end. So an appointment stands for a minimum time after it was read, and that time
//! doubles with each leader of the group that this daemon has displaced recently.

use std::time::Duration;

use copperwell_keyspace::{Epoch, GroupId, HashMap, record::Appoint, replay::State};
use tokio::time::Instant;

/// Time for which an appointment stands before this daemon may displace its leader.
const HOLD_DOWN_FIRST: Duration = Duration::from_secs(1);

/// Upper bound of the hold-down time, which doubles with each recent displacement.
const HOLD_DOWN_MAX: Duration = Duration::from_secs(60);

/// Once an appointment has stood for this long, earlier displacements no longer count.
const RESET_AFTER: Duration = Duration::from_secs(180);

/// Decides when this daemon may displace the leader of a group.
#[derive(Debug, Default)]
pub struct HoldDown {
    groups: HashMap<GroupId, Observation>,
}

/// The latest appointment of a group that this daemon has read.
#[derive(Debug, Clone, Copy)]
struct Observation {
    epoch: Epoch,
    /// When it was read first.
    read_at: Instant,
    /// Leaders of the group that this daemon has displaced recently.
    displaced: u32,
}

impl HoldDown {
    /// Creates an instance without observations.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the appointments of the replicated state.
    pub fn observe(&mut self, state: &State, now: Instant) {
        self.groups
            .retain(|group, _| state.groups.contains_key(group));
        for (group, appointment) in &state.groups {
            let observed = self.groups.entry(group.clone()).or_insert(Observation {
                epoch: appointment.epoch,
                read_at: now,
                displaced: 0,
            });
            if observed.epoch != appointment.epoch {
                if now >= observed.read_at + RESET_AFTER {
                    observed.displaced = 0;
                }
                observed.epoch = appointment.epoch;
                observed.read_at = now;
            }
        }
    }

    /// Returns whether a proposal may be made now. One that keeps the leader is always allowed.
    #[must_use]
    pub fn allows(&self, state: &State, proposal: &Appoint, now: Instant) -> bool {
        if !displaces(state, proposal) {
            return true;
        }
        self.groups
            .get(&proposal.group)
            .is_none_or(|observed| now >= observed.read_at + hold_down(observed.displaced))
    }

    /// Records that this daemon made a proposal.
    pub fn record_proposal(&mut self, state: &State, proposal: &Appoint) {
        if displaces(state, proposal)
            && let Some(observed) = self.groups.get_mut(&proposal.group)
        {
            observed.displaced = observed.displaced.saturating_add(1);
        }
    }
}

/// Returns whether a proposal replaces the leader with another daemon or incarnation.
fn displaces(state: &State, proposal: &Appoint) -> bool {
    let appointment = state.groups.get(&proposal.group);
    appointment.is_some_and(|appointment| {
        appointment.leader.name != proposal.leader.name
            || appointment.leader.incarnation != proposal.leader.incarnation
    })
}

fn hold_down(displaced: u32) -> Duration {
    let factor = 2u32.saturating_pow(displaced);
    HOLD_DOWN_FIRST.saturating_mul(factor).min(HOLD_DOWN_MAX)
}
