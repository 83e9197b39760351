//! The state machine of a group, over fake servers and counted time.

mod bench;
mod faults;
mod load;
mod rules;
mod server;
mod world;
