//! Publishes a manifest and follows it until it is in force.

use std::{fmt, net::SocketAddr, time::Duration};

use crate::{
    fleet::{Fleet, Reach},
    load::{self, read_on},
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

/// The pause between two looks at the log or at the daemons.
const PAUSE: Duration = Duration::from_millis(200);
/// How long a record may go unread before it is appended again.
const REPEAT_AFTER: Duration = Duration::from_secs(1);

/// A manifest that is not known to be accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// It replaces a version that is not in force.
    Conflict {
        /// The version that it replaces.
        replaces: ManifestVersion,
        /// The version in force.
        in_force: ManifestVersion,
    },
    /// It does not go with the one in force.
    Invalid(Invalid),
    /// It is surely not in the log.
    NotPublished,
    /// It may be in the log, or come to be there.
    Unknown,
    /// The log tells of an older version than daemons have in force.
    Behind {
        /// The version that the log tells of.
        log: ManifestVersion,
        /// The highest version that a daemon has in force.
        in_force: ManifestVersion,
    },
    /// The log no longer has the records that the state follows from, nor a snapshot.
    NoState,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict { replaces, in_force } => write!(
                f,
                "conflict: the manifest replaces version {replaces}, but version {in_force} is \
                 in force; another one was published first. Build it anew on version {in_force}"
            ),
            Self::Invalid(invalid) => invalid.fmt(f),
            Self::NotPublished => f.write_str(
                "not published: the platform took no append. Nothing has changed; try again when \
                 it answers",
            ),
            Self::Unknown => f.write_str(
                "unknown: the manifest may be in the log, as an answer was lost and the log cannot \
                 be read. Publish the same file again to learn which",
            ),
            Self::Behind { log, in_force } => write!(
                f,
                "not published: the log tells of version {log}, but daemons have version \
                 {in_force} in force. The log lost records, which daemons put back; try again"
            ),
            Self::NoState => f.write_str(
                "the log no longer keeps its first records and has no snapshot yet. Daemons append \
                 one within minutes if any of them holds the state; if all of them were replaced \
                 while the log was away, start anew with --begin-anew",
            ),
        }
    }
}

impl std::error::Error for Error {}

/// How a manifest came to be in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Accepted {
    /// By this publication.
    Now,
    /// By an earlier one of the same manifest.
    Before,
}

/// Publishes a manifest; returns when the log tells what became of it.
///
/// `floor` is the highest version that daemons are known to have in force: a log that tells of an
/// older one has lost records, and nothing is published before it has them back.
///
/// # Errors
///
/// See [`Error`]. A lost answer is no error: the manifest is appended again with the same id, and
/// the log tells.
pub async fn publish(
    log: &Client,
    manifest: &Manifest,
    floor: ManifestVersion,
    deadline: Instant,
) -> Result<Accepted, Report<Error>> {
    let loaded = timeout_at(deadline, load_state(log)).await;
    let mut reader = loaded.unwrap_or_else(|_| Err(Report::new(Error::NoState)))?;
    reach_floor(log, &mut reader, floor, deadline).await?;
    loop {
        if let Some(accepted) = settled(reader.state(), manifest)? {
            return Ok(accepted);
        }
        let parent = reader.state().manifest.as_deref();
        let record = Record {
            id: fresh_id(),
            body: Body::publication(parent, manifest),
        };
        match append(log, &mut reader, &record, deadline).await? {
            Outcome::Applied => return Ok(Accepted::Now),
            // It was published in the same moment, or the log lost the parent that the record is
            // to and has another one of the same version. It is void for good, so that the
            // manifest can be published again.
            Outcome::Repeated | Outcome::Void => {}
        }
    }
}

/// Starts a log anew whose state nobody holds any more; a later manifest may then replace zero.
///
/// # Errors
///
/// [`Error::NotPublished`] or [`Error::Unknown`].
pub async fn begin_anew(log: &Client) -> Result<(), Report<Error>> {
    let mut reader = Reader::new();
    let end = read_on(log, &mut reader)
        .await
        .change_context(Error::NotPublished)?;
    let state = State {
        life: 1,
        ..State::default()
    };
    let record = Record {
        id: fresh_id(),
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

/// Waits until a manifest is in force at every daemon that answers, or the deadline passes.
///
/// Returns how far it came in each data centre; data centres without an answering daemon are
/// not waited for.
pub async fn wait(seeds: &[SocketAddr], manifest: &Manifest, deadline: Instant) -> Vec<Reach> {
    let data_centres = || manifest.data_centres.iter().map(|held| held.name.clone());
    loop {
        let fleet = Fleet::ask(seeds).await;
        let reaches = fleet.reach(manifest.version(), manifest.digest(), data_centres());
        let is_done = |reach: &Reach| reach.is_whole() || reach.is_cut_off();
        let any = reaches.iter().any(Reach::is_whole);
        if (any && reaches.iter().all(is_done)) || Instant::now() + PAUSE > deadline {
            return reaches;
        }
        sleep(PAUSE).await;
    }
}

async fn load_state(log: &Client) -> Result<Reader, Report<Error>> {
    let loaded = load::state(log).await;
    loaded.change_context(Error::NotPublished)
}

/// Reads on until the log tells of a version that daemons have in force.
async fn reach_floor(
    log: &Client,
    reader: &mut Reader,
    floor: ManifestVersion,
    deadline: Instant,
) -> Result<(), Report<Error>> {
    while reader.state().version() < floor {
        if Instant::now() >= deadline {
            return Err(Report::new(Error::Behind {
                log: reader.state().version(),
                in_force: floor,
            }));
        }
        sleep(PAUSE).await;
        let read = read_on(log, reader).await;
        read.change_context(Error::NotPublished)?;
    }
    Ok(())
}

/// Whether the manifest needs no publication; an error if it cannot be published.
fn settled(state: &State, manifest: &Manifest) -> Result<Option<Accepted>, Report<Error>> {
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

/// Appends a record, again after a while with the same id, until the log tells its outcome.
async fn append(
    log: &Client,
    reader: &mut Reader,
    record: &Record,
    deadline: Instant,
) -> Result<Outcome, Report<Error>> {
    let bytes = record.encode().change_context(Error::NotPublished)?;
    let mut may_be_there = false;
    while Instant::now() < deadline {
        match log.append(STREAM, bytes.clone()).await {
            Ok(_) => may_be_there = true,
            Err(report) => may_be_there |= *report.current_context() != PlatformError::NotAppended,
        }
        let until = deadline.min(Instant::now() + REPEAT_AFTER);
        if may_be_there
            && let Ok(outcome) = timeout_at(until, read_back(log, reader, &record.id)).await
        {
            return Ok(outcome);
        }
        sleep(PAUSE).await;
    }
    Err(Report::new(if may_be_there {
        Error::Unknown
    } else {
        Error::NotPublished
    }))
}

async fn read_back(log: &Client, reader: &mut Reader, id: &Id) -> Outcome {
    loop {
        // A read that fails is tried again until the caller's timeout.
        let _ = read_on(log, reader).await;
        if let Some(outcome) = reader.state().outcome_of(id) {
            return outcome;
        }
        sleep(PAUSE / 4).await;
    }
}

/// An id that no other publication has.
fn fresh_id() -> Id {
    let mut random = rand::rng();
    Id {
        writer: format!("operator-{:016x}", random.random::<u64>()).into(),
        incarnation: 1,
        sequence: 1,
    }
}
