//! Gateway daemons as processes, tested against a stand-in of the users' platform.

#[path = "../../../../platform/tests/standin/mod.rs"]
mod standin;

mod crash;
mod daemon;
mod harness;
mod http1;
mod keys;
mod requests;
