//! A rate limit of log lines.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use prometheus_client::metrics::counter::Counter;
use spdlog::info;
use tokio::time::Instant;

/// The most log lines in one [`WINDOW`].
const LINES_MAX: u32 = 200;

/// The window in which log lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Limits the rate of log lines.
#[derive(Debug)]
pub(crate) struct LineLimit {
    window: Mutex<Window>,
    suppressed: Counter,
}

#[derive(Debug)]
struct Window {
    started_at: Instant,
    lines: u32,
}

impl LineLimit {
    /// Creates a limit that counts suppressed lines in `suppressed`.
    pub(crate) fn new(suppressed: Counter) -> Self {
        let window = Window {
            started_at: Instant::now(),
            lines: 0,
        };
        Self {
            window: Mutex::new(window),
            suppressed,
        }
    }

    /// Returns whether the limit allows one more line, and counts the line.
    pub(crate) fn allows_line(&self) -> bool {
        let now = Instant::now();
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        if now.saturating_duration_since(window.started_at) >= WINDOW {
            let suppressed = window.lines.saturating_sub(LINES_MAX);
            window.started_at = now;
            window.lines = 0;
            if suppressed > 0 {
                info!("log lines about failures suppressed by rate limit", kv: { event = "log-thinned", count = suppressed });
            }
        }
        window.lines += 1;
        let allows_line = window.lines <= LINES_MAX;
        if !allows_line {
            self.suppressed.inc();
        }
        allows_line
    }
}
