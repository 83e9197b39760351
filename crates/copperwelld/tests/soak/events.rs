//! What happens in a soak, and when, by its seed.

use std::time::Duration;

use crate::standin::cut::How;
use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::SliceRandom};

/// How long faults begin.
const LENGTH: Duration = Duration::from_secs(14);

/// The number of faults and changes that begin in this time.
const COUNT: usize = 12;

/// The longest cut, pause or fault of the store, in milliseconds.
const LASTS_MAX_MS: u64 = 4_000;

/// Something that happens at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Event {
    /// A daemon gets SIGTERM, and starts again once it has exited.
    Restart(usize),
    /// A daemon gets SIGKILL, and starts again.
    Kill(usize),
    Pause(usize),
    Resume(usize),
    /// These daemons do not reach any server from now on, and no others.
    Cut(Vec<usize>, How),
    /// A configuration with one route more is published.
    Configure,
    /// A server joins and an earlier one begins to leave.
    Replace,
    /// The server that leaves longest ends.
    End,
    /// A server ends without notice, and another one joins.
    Crash,
    StoreFails,
    StoreIsBack,
}

/// Returns the events of a seed, in the order of their times.
pub(crate) fn events(seed: u64, daemons: usize) -> Vec<(Duration, Event)> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut events = Vec::new();
    for _ in 0..COUNT {
        let at = LENGTH.mul_f64(random.random_range(0.0..1.0));
        let lasts = Duration::from_millis(random.random_range(300..LASTS_MAX_MS));
        let daemon = random.random_range(0..daemons);
        let (begins, ends) = match random.random_range(0..8) {
            0 => (Event::Restart(daemon), None),
            1 => (Event::Kill(daemon), None),
            2 => (Event::Pause(daemon), Some(Event::Resume(daemon))),
            3 | 4 => {
                let how = [How::Reset, How::ResetNew, How::Silent][random.random_range(0..3)];
                let cut_off = some(daemons, &mut random);
                (
                    Event::Cut(cut_off, how),
                    Some(Event::Cut(Vec::new(), How::Reset)),
                )
            }
            5 => (Event::Configure, Some(Event::Configure)),
            6 => match random.random() {
                true => (Event::Replace, Some(Event::End)),
                false => (Event::Crash, None),
            },
            _ => (Event::StoreFails, Some(Event::StoreIsBack)),
        };
        events.push((at, begins));
        events.extend(ends.map(|ends| (at + lasts, ends)));
    }
    events.sort_by_key(|(at, _)| *at);
    events
}

/// Returns some of the daemons, but not all.
fn some(daemons: usize, random: &mut SmallRng) -> Vec<usize> {
    let mut all: Vec<_> = (0..daemons).collect();
    all.shuffle(random);
    all.truncate(random.random_range(1..daemons));
    all
}
