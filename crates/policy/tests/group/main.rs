//! Tests of a group's state machine with fake servers and simulated time.

mod bench;
mod faults;
mod load;
mod rules;
mod server;
mod world;
