//! Tests of the engine with a fake backend and a paused clock.

mod at_most_once;
mod chaos;
mod requests;
mod support;
