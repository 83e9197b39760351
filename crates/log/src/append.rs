//! Appends records and reads their outcomes back from the log.

use std::{sync::Arc, time::Duration};

use crate::{Error, Log, follow::View, metrics::Metrics};
use copperwell_keyspace::{
    id::{DaemonName, Incarnation},
    record::{Body, Id, Record, STREAM},
    replay::Outcome,
};
use error_stack::{Report, ResultExt};
use rand::RngExt;
use tokio::{sync::watch, time::timeout};

/// The first delay before a record is appended again; doubles with each attempt.
const BACKOFF_MIN: Duration = Duration::from_millis(250);
/// The longest delay before a record is appended again.
const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// Appends the records of one writer, one at a time and each with an id of its own.
#[derive(Debug)]
pub struct Appender<L> {
    log: Arc<L>,
    view: watch::Receiver<Arc<View>>,
    writer: DaemonName,
    incarnation: Incarnation,
    sequence: u64,
    metrics: Metrics,
}

impl<L: Log> Appender<L> {
    /// Creates an appender for one run of a writer; `incarnation` must exceed that of earlier runs.
    pub fn new(
        log: Arc<L>,
        view: watch::Receiver<Arc<View>>,
        writer: impl Into<DaemonName>,
        incarnation: Incarnation,
    ) -> Self {
        Self {
            log,
            view,
            writer: writer.into(),
            incarnation,
            sequence: 0,
            metrics: Metrics::default(),
        }
    }

    /// Sets the metrics that count the appends.
    #[must_use]
    pub fn with_metrics(mut self, metrics: Metrics) -> Self {
        self.metrics = metrics;
        self
    }

    /// Appends a record, waits until the follower has read it back and returns its outcome.
    ///
    /// Until then the record is appended again with the same id, so that a lost response neither
    /// loses nor doubles it. Waits as long as the log is unavailable; if the future is dropped, the
    /// outcome stays unknown.
    ///
    /// # Errors
    ///
    /// [`Error::NotAppended`] if the record cannot be encoded; [`Error::Unavailable`] if the
    /// follower has stopped.
    pub async fn append(&mut self, body: Body) -> Result<Outcome, Report<Error>> {
        self.sequence += 1;
        let id = Id {
            writer: self.writer.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
        };
        let record = Record {
            id: id.clone(),
            body,
        };
        let bytes = record.encode().change_context(Error::NotAppended)?;
        let mut backoff = BACKOFF_MIN;
        loop {
            self.metrics.appends.inc();
            // The response is only counted: reading the record back also settles a lost response.
            if let Err(report) = self.log.append(STREAM, bytes.clone()).await {
                self.metrics
                    .record_append_failure(*report.current_context());
            }
            let jitter = rand::rng().random_range(0.5..1.0);
            match timeout(backoff.mul_f64(jitter), self.read_back(&id)).await {
                Ok(outcome) => return outcome,
                Err(_) => backoff = (backoff * 2).min(BACKOFF_MAX),
            }
            self.metrics.appends_repeated.inc();
        }
    }

    async fn read_back(&mut self, id: &Id) -> Result<Outcome, Report<Error>> {
        let is_read = |view: &Arc<View>| view.state.outcome_of(id).is_some();
        let view = self
            .view
            .wait_for(is_read)
            .await
            .change_context(Error::Unavailable)?;
        view.state
            .outcome_of(id)
            .ok_or_else(|| Report::new(Error::Unavailable))
    }
}
