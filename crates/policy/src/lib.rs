//! Pure decisions over inputs and a given time; sockets and clocks stay with the callers.

pub mod backoff;
pub mod budget;
pub mod limit;
pub mod quarantine;
pub mod queue;
pub mod retry;
pub mod slots;
pub mod window;
