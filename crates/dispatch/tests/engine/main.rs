//! The engine over a fake server side, on a paused clock.

mod at_most_once;
mod chaos;
mod requests;
mod support;
