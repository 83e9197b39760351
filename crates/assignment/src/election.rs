//! The order in which daemons try to become the leader.
//!
//! The leader's work grows with the size of the fleet, and some VMs have only a small share of a
//! processor. So the strongest daemons try first, and a leader much weaker than another daemon
//! steps down.

use std::time::Duration;

use crate::DaemonName;

/// How long the weakest daemon waits for stronger ones after its start, while no leader is known.
const STARTUP_DELAY: Duration = Duration::from_millis(500);

/// How long the weakest daemon waits when the whole system starts for the first time. There is no
/// leader then, and machines start a few hundred milliseconds apart, so the strongest come first
/// only if the others wait longer than after a restart.
const FIRST_STARTUP_DELAY: Duration = Duration::from_secs(2);

/// The maximum jitter of a daemon's first start, so that equally strong daemons do not all read the
/// store before one of them leads.
const FIRST_STARTUP_JITTER_MAX: Duration = Duration::from_millis(400);

/// The strength of a daemon that has a whole processor.
const FULL_STRENGTH: u32 = 1_000;

/// The delay between one candidate and the next.
const CANDIDATE_DELAY: Duration = Duration::from_millis(250);

/// The maximum jitter of a daemon that is not a candidate, so that daemons do not read the store at
/// the same moment. It is exceeded if [`JITTER_PER_DAEMON`] yields more.
const JITTER_MAX: Duration = Duration::from_millis(200);

/// The maximum jitter of a daemon that is not a candidate, per known daemon, while others are
/// candidates.
const JITTER_PER_DAEMON: Duration = Duration::from_millis(10);

/// How long the weakest daemon leaves a free lead to stronger ones while it knows no candidates.
///
/// Otherwise a daemon that was just started would lead whenever it happens to look before the candidates do.
const VACANCY_PATIENCE: Duration = Duration::from_secs(1);

/// How much longer than the candidates the weakest of the other daemons waits. They try only if no candidate can, as all of
/// them have lost the store, and the strongest of them must be first then.
const OUTSIDER_DELAY: Duration = Duration::from_millis(500);

/// How many times as strong another daemon must be for a leader to step down.
const STEP_DOWN_FACTOR: u32 = 2;

/// How long a leader leads at least before it steps down for a stronger daemon. Until most daemons have found it, they
/// do not know the candidates, and any of them could take over.
const STEP_DOWN_PATIENCE: Duration = Duration::from_secs(4);

/// Returns how long a daemon waits after its start before it tries to lead.
#[must_use]
pub fn startup_delay(strength: u32) -> Duration {
    scale(STARTUP_DELAY, strength)
}

/// Returns how long a daemon waits when the whole system starts for the first time; `draw` is
/// uniformly random from 0 to 1.
#[must_use]
pub fn first_startup_delay(strength: u32, draw: f64) -> Duration {
    scale(FIRST_STARTUP_DELAY, strength) + FIRST_STARTUP_JITTER_MAX.mul_f64(draw)
}

/// Scales a delay: the weaker the daemon, the longer it waits.
fn scale(delay: Duration, strength: u32) -> Duration {
    delay * (FULL_STRENGTH - strength.min(FULL_STRENGTH)) / FULL_STRENGTH
}

/// Returns how much longer a daemon waits than the first candidate, by its rank among the
/// candidates.
#[must_use]
pub fn candidate_delay(rank: Option<usize>, candidates: &[DaemonName]) -> Duration {
    let rank = rank.unwrap_or(candidates.len());
    CANDIDATE_DELAY * u32::try_from(rank).unwrap_or(u32::MAX)
}

/// Returns how much longer a daemon waits that is not among the known candidates.
#[must_use]
pub fn outsider_delay(rank: Option<usize>, candidates: &[DaemonName], strength: u32) -> Duration {
    match rank {
        None if !candidates.is_empty() => scale(OUTSIDER_DELAY, strength),
        _ => Duration::ZERO,
    }
}

/// Returns the maximum jitter of a daemon. Daemons that are not candidates spread out more the more
/// of them there are, so that the first of them can become the leader and the others follow it.
#[must_use]
pub fn max_jitter(rank: Option<usize>, candidates: &[DaemonName], daemons: u32) -> Duration {
    match rank {
        Some(_) => CANDIDATE_DELAY / 2,
        None if candidates.is_empty() => JITTER_MAX,
        None => JITTER_MAX.max(JITTER_PER_DAEMON * daemons),
    }
}

/// Returns whether a daemon whose connection to the leader broke tries that leader again before it reads the store.
///
/// Others find out whether the leader is lost, and this daemon would wait until they have.
#[must_use]
pub fn should_reconnect(rank: Option<usize>, candidates: &[DaemonName]) -> bool {
    rank.is_none() && !candidates.is_empty()
}

/// Returns how long the lead must have been free before a daemon takes over.
#[must_use]
pub fn vacancy_patience(candidates: &[DaemonName], strength: u32) -> Duration {
    match candidates {
        [] => scale(VACANCY_PATIENCE, strength),
        _ => Duration::ZERO,
    }
}

/// Returns whether a leader that has led for `led` steps down in favour of the strongest daemon known to it.
#[must_use]
pub fn should_step_down(own: u32, strongest: u32, led: Duration) -> bool {
    led >= STEP_DOWN_PATIENCE && strongest >= own.max(1).saturating_mul(STEP_DOWN_FACTOR)
}
