//! Appends records and learns from the log what became of them.

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

/// The first pause before a record is appended again.
const PAUSE_FIRST: Duration = Duration::from_millis(250);
/// The longest pause before a record is appended again.
const PAUSE_MAX: Duration = Duration::from_secs(5);

/// Appends the records of one writer, one at a time.
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
    /// An appender for one run of a writer; `incarnation` is higher than that of earlier runs.
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

    /// Counts in these metrics.
    #[must_use]
    pub fn with_metrics(mut self, metrics: Metrics) -> Self {
        self.metrics = metrics;
        self
    }

    /// Appends a record and waits until it is read back.
    ///
    /// A record whose answer was lost is appended again with the same id. Waits as long as the log
    /// is away; whoever drops the future does not learn the outcome.
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
        let mut pause = PAUSE_FIRST;
        loop {
            self.metrics.appends.inc();
            // An answer says nothing that reading does not say better.
            if let Err(report) = self.log.append(STREAM, bytes.clone()).await {
                self.metrics.fail_append(*report.current_context());
            }
            let part = rand::rng().random_range(0.5..1.0);
            match timeout(pause.mul_f64(part), self.read_back(&id)).await {
                Ok(outcome) => return outcome,
                Err(_) => pause = (pause * 2).min(PAUSE_MAX),
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
