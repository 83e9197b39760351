//! Gateway daemons that are cut off from servers, as processes. They have a test program of their own, since the
//! stand-in reads the sockets of the whole machine for each connection.

#[expect(dead_code, reason = "shared with the other tests of daemons")]
#[path = "../gateway/harness.rs"]
mod harness;
#[path = "../../../../platform/tests/standin/mod.rs"]
mod standin;

mod cut;
mod many_servers;
