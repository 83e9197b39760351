//! Gateway daemons that are cut off from servers, as processes. They have a test program of their own, since the
//! stand-in reads the sockets of the whole machine for each connection.

use tokio::sync::{Semaphore, SemaphorePermit};

#[expect(dead_code, reason = "shared with the other tests of daemons")]
#[path = "../gateway/harness.rs"]
mod harness;
#[path = "../../../../platform/tests/standin/mod.rs"]
mod standin;
#[path = "../gateway/status_caller.rs"]
mod status_caller;

mod cut;
mod many_servers;
mod relayed_endless;
mod relayed_statuses;

/// Holds back tests that need the machine for themselves, as the stand-in takes much time for each connection.
static ROOM: Semaphore = Semaphore::const_new(ROOM_ALL as usize);

/// The room of a test that runs alone; others take 1.
const ROOM_ALL: u32 = 16;

/// Waits for `room`, which is free again once the permit is dropped.
async fn take_room(room: u32) -> SemaphorePermit<'static> {
    ROOM.acquire_many(room).await.unwrap()
}
