//! In which order daemons try to lead.
//!
//! The leader's work grows with the fleet, and some VMs have a small part of a processor, so the
//! strongest daemons go first, and one that is much weaker gives way.

use std::time::Duration;

use crate::DaemonName;

/// How long the weakest daemon waits for stronger ones when nobody is known to lead.
const FIRST: Duration = Duration::from_millis(500);

/// The same when the whole system starts for the first time: nobody leads, and machines start some
/// hundred milliseconds apart, so that the strongest go first only if the others wait for longer.
const FIRST_START: Duration = Duration::from_secs(2);

/// How much longer at most a daemon waits then, so that equally strong ones do not all read the store
/// before one of them leads.
const FIRST_SPREAD: Duration = Duration::from_millis(400);

/// The strength of a daemon with a whole processor.
const WHOLE: u32 = 1_000;

/// How long an heir lets the one before it go first.
const TURN: Duration = Duration::from_millis(250);

/// How much longer at most a daemon waits, so that daemons do not read the store at the same moment.
const JITTER: Duration = Duration::from_millis(200);

/// The same for each daemon that is known.
const JITTER_EACH: Duration = Duration::from_millis(10);

/// How many times as strong another daemon must be for a leader to give way.
const MUCH_STRONGER: u32 = 2;

/// How long a daemon waits after its start before it tries to lead.
#[must_use]
pub fn first(strength: u32) -> Duration {
    part(FIRST, strength)
}

/// The same when the whole system starts for the first time; `draw` is evenly random from 0 to 1.
#[must_use]
pub fn first_start(strength: u32, draw: f64) -> Duration {
    part(FIRST_START, strength) + FIRST_SPREAD.mul_f64(draw)
}

/// The part of a time that a daemon lets stronger ones go first.
fn part(of: Duration, strength: u32) -> Duration {
    of * (WHOLE - strength.min(WHOLE)) / WHOLE
}

/// How much longer a daemon waits than the first heir, by its rank among the heirs.
#[must_use]
pub fn later(rank: Option<usize>, heirs: &[DaemonName]) -> Duration {
    let before = rank.unwrap_or(heirs.len());
    TURN * u32::try_from(before).unwrap_or(u32::MAX)
}

/// How much longer at most a daemon waits beyond its turn: the more there are that have none, the
/// longer they spread, since the first of them may lead and be followed by the others.
#[must_use]
pub fn jitter(rank: Option<usize>, heirs: &[DaemonName], daemons: u32) -> Duration {
    match rank {
        Some(_) => TURN / 2,
        None if heirs.is_empty() => JITTER,
        None => JITTER.max(JITTER_EACH * daemons),
    }
}

/// Whether a leader gives way to the strongest daemon that it knows.
#[must_use]
pub fn gives_way(own: u32, strongest: u32) -> bool {
    strongest >= own.max(1).saturating_mul(MUCH_STRONGER)
}
