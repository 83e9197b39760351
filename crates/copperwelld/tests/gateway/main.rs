//! Gateway daemons as processes, tested against a stand-in of the users' platform.

#[path = "../../../../platform/tests/standin/mod.rs"]
mod standin;

mod configuration;
mod contention;
mod crash;
mod crashing_servers;
mod cut_heads;
mod daemon;
mod endless;
mod evacuation;
mod harness;
mod http1;
mod keys;
mod leaving;
mod limits;
mod memory;
mod notices;
mod odd_entries;
mod refusals;
mod requests;
mod rewind;
mod status_caller;
mod statuses;
mod stopping;
mod warmup;
