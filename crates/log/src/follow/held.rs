//! What a follower serves to peers.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use super::{RELAY_AGE_RECENT, View, lock};
use crate::{Batch, Error, Relayed};
use copperwell_keyspace::{id::LogOffset, reader::Reader, record::Snapshot};
use error_stack::Report;
use tokio::{
    sync::watch,
    time::{Instant, timeout_at},
};

/// The records and state that a follower serves to peers: the server side of
/// [`Relay`](crate::Relay).
#[derive(Debug, Clone)]
pub struct Held {
    pub(super) reader: Arc<Mutex<Reader>>,
    pub(super) view: watch::Receiver<Arc<View>>,
}

impl Held {
    /// Returns records starting at an offset; waits up to `wait` for the first one, but returns an
    /// empty batch before the last read of the log becomes too old for the peer.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] if records from that offset on are not kept or the log was never
    /// read.
    pub async fn records(&self, from: LogOffset, wait: Duration) -> Result<Batch, Report<Error>> {
        let mut view = self.view.clone();
        let deadline = Instant::now() + wait;
        loop {
            let current = view.borrow_and_update().clone();
            let until = match current.last_read {
                Some(read) => deadline.min(read + RELAY_AGE_RECENT),
                None => deadline,
            };
            // A wait that ends without a new record gives an empty batch.
            let has_records = current.next > from;
            if has_records || !matches!(timeout_at(until, view.changed()).await, Ok(Ok(()))) {
                break;
            }
        }
        let last_read = view.borrow().last_read;
        let reader = lock(&self.reader);
        let mut batch = reader
            .recent(from)
            .ok_or_else(|| Report::new(Error::Unavailable))?;
        let read_at = last_read.ok_or_else(|| Report::new(Error::Unavailable))?;
        batch.relayed = Some(Relayed {
            generation: reader.state().generation,
            age: read_at.elapsed(),
        });
        Ok(batch)
    }

    /// Returns a snapshot of the state.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] if nothing has been read yet.
    pub fn snapshot(&self) -> Result<Snapshot, Report<Error>> {
        let reader = lock(&self.reader);
        if reader.next() == 0 {
            return Err(Report::new(Error::Unavailable));
        }
        Ok(reader.snapshot())
    }
}
