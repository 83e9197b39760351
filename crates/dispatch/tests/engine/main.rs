//! Tests of the engine with a fake backend and a paused clock.

mod chaos;
mod once;
mod requests;
mod support;
