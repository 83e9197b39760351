//! Decision logic without I/O: the result depends only on the inputs and the given time.

pub mod appoint;
pub mod backoff;
pub mod budget;
pub mod group;
pub mod hold_down;
pub mod limit;
pub mod listing;
pub mod placement;
pub mod quarantine;
pub mod queue;
pub mod readers;
pub mod retry;
pub mod schedule;
pub mod sketch;
pub mod slots;
pub mod suspicion;
pub mod unanswered;
pub mod window;
