//! Pings that find out whether a link went silent.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use h2::{Ping, PingPong};
use tokio::time::{sleep, timeout};

/// Time between an answered ping and the next one.
const INTERVAL: Duration = Duration::from_millis(500);

/// Time to wait for an answer before the link gets no new requests.
const DOUBT: Duration = Duration::from_millis(250);

/// Waits of [`DOUBT`] before the link is given up. One after the other, so that a pause of this
/// process counts as one.
const WAITS: u32 = 4;

/// Pings until an answer stays out.
pub(super) async fn watch(mut pings: PingPong, doubtful: &AtomicBool) {
    loop {
        sleep(INTERVAL).await;
        let mut pong = std::pin::pin!(pings.ping(Ping::opaque()));
        let mut answered = false;
        for _ in 0..WAITS {
            match timeout(DOUBT, &mut pong).await {
                Ok(Ok(_)) => {
                    answered = true;
                    break;
                }
                Ok(Err(_)) => return,
                Err(_) => doubtful.store(true, Ordering::Relaxed),
            }
        }
        if !answered {
            return;
        }
        doubtful.store(false, Ordering::Relaxed);
    }
}
