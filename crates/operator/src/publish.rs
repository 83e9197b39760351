//! Publishes a manifest and waits until it is in force.

use std::{fmt, net::SocketAddr, time::Duration};

use crate::{
    fleet::{Fleet, Reach},
    load::{self, read_next},
};
use copperwell_keyspace::{
    check::Invalid,
    id::ManifestVersion,
    manifest::Manifest,
    reader::Reader,
    record::{Body, Id, Record, STREAM, Snapshot},
    replay::{Outcome, State},
};
use copperwell_log::{Error as PlatformError, Log, http::Client};
use error_stack::{Report, ResultExt};
use rand::RngExt;
use serde::Serialize;
use tokio::time::{Instant, sleep, timeout_at};

/// The time between two reads of the log or of the daemons' status.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// How long to wait until a record is read back before it is appended again.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a manifest was not published, or is not known to be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The manifest replaces a version that is not in force.
    Conflict {
        /// The version that it replaces.
        replaces: ManifestVersion,
        /// The version in force.
        in_force: ManifestVersion,
    },
    /// The manifest is not a valid successor of the one in force.
    Invalid(Invalid),
    /// The manifest is certainly not in the log.
    NotPublished,
    /// The manifest may be in the log, or may still be appended.
    Unknown,
    /// The log has an older version than daemons have in force.
    Behind {
        /// The version in the log.
        log: ManifestVersion,
        /// The highest version that a daemon has in force.
        in_force: ManifestVersion,
    },
    /// The log has neither the first records, from which the state follows, nor a snapshot.
    NoState,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict { replaces, in_force } => write!(
                f,
                "conflict: the manifest replaces version {replaces}, but version {in_force} is \
                 in force; another one was published first. Rebase it on version {in_force}"
            ),
            Self::Invalid(invalid) => invalid.fmt(f),
            Self::NotPublished => f.write_str(
                "not published: the platform accepted no append. Nothing has changed; retry when it \
                 responds",
            ),
            Self::Unknown => f.write_str(
                "unknown: the manifest may be in the log, as a response was lost and the log cannot \
                 be read. Publish the same file again to find out",
            ),
            Self::Behind { log, in_force } => write!(
                f,
                "not published: the log has version {log}, but daemons have version {in_force} in \
                 force. The log lost records, which daemons restore; retry later"
            ),
            Self::NoState => f.write_str(
                "the log no longer keeps its first records and has no snapshot yet. Daemons append \
                 one within minutes if any of them holds the state; if all of them were replaced \
                 while the log was unavailable, start a new state with --begin-anew",
            ),
        }
    }
}

impl std::error::Error for Error {}

/// When a manifest was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Accepted {
    /// With this publication.
    Now,
    /// With an earlier publication of the same manifest.
    Before,
}

/// Publishes a manifest and returns once its outcome has been read from the log.
///
/// `version_min` is the highest version that daemons are known to have in force. A log with an
/// older version has lost records, and nothing is published until they are restored.
///
/// # Errors
///
/// See [`Error`]. A lost response is no error: the manifest is appended again with the same id, and
/// the log gives its outcome.
pub async fn publish(
    log: &Client,
    manifest: &Manifest,
    version_min: ManifestVersion,
    deadline: Instant,
) -> Result<Accepted, Report<Error>> {
    let loaded = timeout_at(deadline, load_state(log)).await;
    let mut reader = loaded.unwrap_or_else(|_| Err(Report::new(Error::NoState)))?;
    catch_up(log, &mut reader, version_min, deadline).await?;
    loop {
        if let Some(accepted) = acceptance(reader.state(), manifest)? {
            return Ok(accepted);
        }
        let parent = reader.state().manifest.as_deref();
        let record = Record {
            id: unique_id(),
            body: Body::publication(parent, manifest),
        };
        match append(log, &mut reader, &record, deadline).await? {
            Outcome::Applied => return Ok(Accepted::Now),
            // Another manifest was published concurrently, or the log lost the parent of this
            // record and has another one of the same version. The record stays void, so the
            // manifest can be published again.
            Outcome::Repeated | Outcome::Void => {}
        }
    }
}

/// Starts a new, empty state in a log whose state no daemon holds; the next manifest then replaces
/// version zero.
///
/// # Errors
///
/// [`Error::NotPublished`] if nothing was appended, [`Error::Unknown`] if it may have been.
pub async fn begin_anew(log: &Client) -> Result<(), Report<Error>> {
    let mut reader = Reader::new();
    let end = read_next(log, &mut reader)
        .await
        .change_context(Error::NotPublished)?;
    let state = State {
        generation: 1,
        ..State::default()
    };
    let record = Record {
        id: unique_id(),
        body: Body::Snapshot(Box::new(Snapshot { next: end, state })),
    };
    let bytes = record.encode().change_context(Error::NotPublished)?;
    match log.append(STREAM, bytes).await {
        Ok(_) => Ok(()),
        Err(report) => Err(match report.current_context() {
            PlatformError::NotAppended => report.change_context(Error::NotPublished),
            _ => report.change_context(Error::Unknown),
        }),
    }
}

/// Waits until a manifest is in force at every daemon that responds, or the deadline passes.
///
/// Returns the progress in each data centre. Does not wait for data centres without a daemon that
/// responds.
pub async fn wait(seeds: &[SocketAddr], manifest: &Manifest, deadline: Instant) -> Vec<Reach> {
    let data_centres = || {
        manifest
            .data_centres
            .iter()
            .map(|data_centre| data_centre.name.clone())
    };
    loop {
        let fleet = Fleet::discover(seeds).await;
        let reaches = fleet.reach(manifest.version(), manifest.digest(), data_centres());
        let is_settled = |reach: &Reach| reach.is_whole() || reach.is_unreachable();
        let has_complete = reaches.iter().any(Reach::is_whole);
        if (has_complete && reaches.iter().all(is_settled))
            || Instant::now() + POLL_INTERVAL > deadline
        {
            return reaches;
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn load_state(log: &Client) -> Result<Reader, Report<Error>> {
    let loaded = load::state(log).await;
    loaded.change_context(Error::NotPublished)
}

/// Reads the log until its version is at least the one that daemons have in force.
async fn catch_up(
    log: &Client,
    reader: &mut Reader,
    version_min: ManifestVersion,
    deadline: Instant,
) -> Result<(), Report<Error>> {
    while reader.state().version() < version_min {
        if Instant::now() >= deadline {
            return Err(Report::new(Error::Behind {
                log: reader.state().version(),
                in_force: version_min,
            }));
        }
        sleep(POLL_INTERVAL).await;
        let read = read_next(log, reader).await;
        read.change_context(Error::NotPublished)?;
    }
    Ok(())
}

/// Returns `Some` if the manifest is already in force, and an error if it cannot be published.
fn acceptance(state: &State, manifest: &Manifest) -> Result<Option<Accepted>, Report<Error>> {
    if state.manifest.as_deref() == Some(manifest) {
        return Ok(Some(Accepted::Before));
    }
    if state.version() != manifest.replaces {
        return Err(conflict(state, manifest));
    }
    let checked = manifest.check_after(state);
    checked.map_err(|report| {
        let invalid = report.current_context().clone();
        report.change_context(Error::Invalid(invalid))
    })?;
    Ok(None)
}

fn conflict(state: &State, manifest: &Manifest) -> Report<Error> {
    Report::new(Error::Conflict {
        replaces: manifest.replaces,
        in_force: state.version(),
    })
}

/// Appends a record, with retries under the same id, until its outcome is read from the log.
async fn append(
    log: &Client,
    reader: &mut Reader,
    record: &Record,
    deadline: Instant,
) -> Result<Outcome, Report<Error>> {
    let bytes = record.encode().change_context(Error::NotPublished)?;
    let mut may_be_appended = false;
    while Instant::now() < deadline {
        match log.append(STREAM, bytes.clone()).await {
            Ok(_) => may_be_appended = true,
            Err(report) => {
                may_be_appended |= *report.current_context() != PlatformError::NotAppended
            }
        }
        let until = deadline.min(Instant::now() + READ_BACK_TIMEOUT);
        if may_be_appended
            && let Ok(outcome) = timeout_at(until, read_back(log, reader, &record.id)).await
        {
            return Ok(outcome);
        }
        sleep(POLL_INTERVAL).await;
    }
    Err(Report::new(if may_be_appended {
        Error::Unknown
    } else {
        Error::NotPublished
    }))
}

async fn read_back(log: &Client, reader: &mut Reader, id: &Id) -> Outcome {
    loop {
        // A failed read is retried until the caller's timeout.
        let _ = read_next(log, reader).await;
        if let Some(outcome) = reader.state().outcome_of(id) {
            return outcome;
        }
        sleep(POLL_INTERVAL / 4).await;
    }
}

/// Returns an id that no other publication has.
fn unique_id() -> Id {
    let mut random = rand::rng();
    Id {
        writer: format!("operator-{:016x}", random.random::<u64>()).into(),
        incarnation: 1,
        sequence: 1,
    }
}
