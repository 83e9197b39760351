//! Tests of routes, slots, queues, retries and verdicts.

mod overload;
mod retries;
mod routes;
mod slots;

use tokio::task::yield_now;

/// Lets spawned tasks run until they wait for the clock.
async fn settle() {
    for _ in 0..64 {
        yield_now().await;
    }
}
