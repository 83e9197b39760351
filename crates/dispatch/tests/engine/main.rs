//! The engine over a fake server side, on a paused clock.

mod chaos;
mod once;
mod requests;
mod support;
