//! Clocks that also count the time during which the machine is suspended.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// A clock that never stops and never jumps.
///
/// The runtime's clock stops while the machine is suspended, and the wall clock can jump, so
/// neither is fit to end a lease.
pub trait Clock: Send + Sync + 'static {
    /// Returns the time since a fixed moment.
    fn now(&self) -> Duration;
}

/// The time since the machine was booted, suspensions included.
#[derive(Debug, Clone, Copy, Default)]
pub struct Boot;

impl Clock for Boot {
    fn now(&self) -> Duration {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
        Duration::new(seconds, nanos)
    }
}

/// The runtime's clock, which tests can pause, plus the suspensions that tests add.
#[derive(Debug)]
pub struct Simulated {
    started_at: Instant,
    suspended: std::sync::Mutex<Duration>,
}

impl Default for Simulated {
    fn default() -> Self {
        Self {
            started_at: Instant::now(),
            suspended: std::sync::Mutex::default(),
        }
    }
}

impl Simulated {
    /// Advances this clock without the runtime's clock, as a suspension of the machine does.
    pub fn suspend(&self, time: Duration) {
        let mut suspended = self
            .suspended
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        *suspended += time;
    }
}

impl Clock for Simulated {
    fn now(&self) -> Duration {
        let suspended = self
            .suspended
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        self.started_at.elapsed() + *suspended
    }
}

impl<C: Clock> Clock for std::sync::Arc<C> {
    fn now(&self) -> Duration {
        C::now(self)
    }
}
