//! The slots of one upstream and the queue before them.

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use copperwell_message::Reason;
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{Instant, timeout_at},
};

/// The slots of one upstream and the queue before them.
#[derive(Debug)]
pub(crate) struct Gate {
    slots: Arc<Semaphore>,
    waiting: AtomicU32,
    queue: u32,
}

/// A slot in use, free again when dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    _permit: OwnedSemaphorePermit,
}

impl Gate {
    /// A gate of `slots` slots, before which `queue` requests may wait.
    pub(crate) fn new(slots: u32, queue: u32) -> Self {
        Self {
            slots: Arc::new(Semaphore::new(slots as usize)),
            waiting: AtomicU32::new(0),
            queue,
        }
    }

    /// Waits for a slot until `deadline`.
    pub(crate) async fn enter(&self, deadline: Instant) -> Result<Slot, Reason> {
        if let Ok(permit) = Arc::clone(&self.slots).try_acquire_owned() {
            return Ok(Slot { _permit: permit });
        }
        let _place = self.place()?;
        match timeout_at(deadline, Arc::clone(&self.slots).acquire_owned()).await {
            Ok(Ok(permit)) => Ok(Slot { _permit: permit }),
            Ok(Err(_)) | Err(_) => Err(Reason::DeadlineHopeless),
        }
    }

    fn place(&self) -> Result<Place<'_>, Reason> {
        let before = self.waiting.fetch_add(1, Ordering::AcqRel);
        let place = Place { gate: self };
        if before < self.queue {
            Ok(place)
        } else {
            Err(Reason::QueueFull)
        }
    }
}

/// A place in the queue, given up when dropped.
struct Place<'a> {
    gate: &'a Gate,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.gate.waiting.fetch_sub(1, Ordering::AcqRel);
    }
}
