//! A group that this daemon leads, and the end of its task.

use std::sync::{Arc, Mutex};

use crate::{leader::Command, status::Status};
use copperwell_keyspace::Epoch;
use tokio::sync::{mpsc, watch};

/// A group that this daemon leads.
#[derive(Debug)]
pub(super) struct LedGroup {
    pub(super) epoch: Epoch,
    /// The first epoch of the uninterrupted leadership.
    pub(super) leadership_epoch: Epoch,
    pub(super) commands: mpsc::Sender<Command>,
    pub(super) status: Arc<Mutex<Status>>,
    pub(super) end: TaskEnd,
}

/// A channel that closes when a task has ended.
pub(super) type TaskEnd = watch::Receiver<()>;

impl LedGroup {
    pub(super) fn has_ended(&self) -> bool {
        has_ended(&self.end)
    }

    /// Sends a command to the task; returns false if its queue is full or it has ended.
    pub(super) fn send(&self, command: Command) -> bool {
        self.commands.try_send(command).is_ok()
    }
}

/// Returns whether a task has ended.
pub(super) fn has_ended(end: &TaskEnd) -> bool {
    end.has_changed().is_err()
}

/// Waits until a task has ended.
pub(super) async fn wait_for_end(mut end: TaskEnd) {
    while end.changed().await.is_ok() {}
}
