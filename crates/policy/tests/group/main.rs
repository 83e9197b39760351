//! Tests of a group's state machine with fake servers and simulated time.

mod faults;
mod harness;
mod load;
mod rules;
mod server;
mod simulation;
