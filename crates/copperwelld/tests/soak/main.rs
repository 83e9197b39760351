//! Gateway daemons as processes under signals, restarts, cuts, changes and store faults that overlap, by seed.
//!
//! `COPPERWELL_SOAK_SEEDS=3..53` plays other seeds, `COPPERWELL_SOAK_DAEMONS=12` more daemons.

#[expect(dead_code, reason = "shared with the other tests of daemons")]
#[path = "../gateway/harness.rs"]
mod harness;
#[path = "../../../../platform/tests/standin/mod.rs"]
mod standin;

mod callers;
mod events;
mod holders;
mod soak;
