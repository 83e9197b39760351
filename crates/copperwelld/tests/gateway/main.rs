//! Daemons as processes on the users' platform, against its stand-in.

#[path = "../../../../platform/tests/standin/mod.rs"]
mod standin;

mod crash;
mod daemon;
mod harness;
mod http1;
mod keys;
mod requests;
