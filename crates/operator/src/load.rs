//! Loads files, manifests from files and the replicated state from the log.

use std::{fmt, path::Path, time::Duration};

use copperwell_keyspace::{
    manifest::{Manifest, YAML_SIZE_MAX},
    reader::{Phase, Reader},
    record::STREAM,
};
use copperwell_log::{Log, http::Client};
use error_stack::{Report, ResultExt};
use tokio::{fs, time::sleep};

/// The time between reads while the log has no new records.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Why a file, a manifest or the state could not be loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The file cannot be read or is no text, or no manifest where one is expected.
    File,
    /// The manifest is inconsistent.
    Manifest,
    /// The log cannot be read.
    Log,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::File => "the file cannot be read",
            Self::Manifest => "the manifest is inconsistent",
            Self::Log => "the log cannot be read",
        })
    }
}

impl std::error::Error for Error {}

/// Reads a manifest from a YAML file and checks it, independently of the manifest in force.
///
/// # Errors
///
/// [`Error::File`] if the file cannot be read or parsed, [`Error::Manifest`] if the manifest is
/// inconsistent.
pub async fn manifest(path: &Path) -> Result<Manifest, Report<Error>> {
    let name = || format!("{}", path.display());
    let text = text(path, YAML_SIZE_MAX as u64).await?;
    let manifest = Manifest::from_yaml(&text).change_context(Error::File);
    let manifest = manifest.attach_with(name)?;
    let checked = manifest.check().change_context(Error::Manifest);
    checked.attach_with(name)?;
    Ok(manifest)
}

/// Reads a file that has at most `size_max` bytes.
///
/// # Errors
///
/// [`Error::File`] if the file cannot be read, is larger or is not UTF-8.
pub async fn text(path: &Path, size_max: u64) -> Result<String, Report<Error>> {
    let name = || format!("{}", path.display());
    let size = fs::metadata(path).await.change_context(Error::File);
    let size = size.attach_with(name)?.len();
    if size > size_max {
        let text = format!(
            "{}: the file has {size} bytes; the limit is {size_max}",
            name()
        );
        return Err(Report::new(Error::File).attach(text));
    }
    let text = fs::read_to_string(path).await.change_context(Error::File);
    text.attach_with(name)
}

/// Reads the log to its end.
///
/// Does not return while retention has removed the first records and the log has no snapshot, so
/// the caller must set a timeout.
///
/// # Errors
///
/// [`Error::Log`] if the platform does not respond.
pub async fn state(log: &Client) -> Result<Reader, Report<Error>> {
    let mut reader = Reader::new();
    loop {
        let end = read_next(log, &mut reader).await?;
        if reader.phase() == Phase::Following && reader.next() >= end {
            return Ok(reader);
        }
        if reader.position() >= end {
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// Reads the next batch of the log and returns the offset of the log's end.
pub(crate) async fn read_next(log: &Client, reader: &mut Reader) -> Result<u64, Report<Error>> {
    let read = log.read(STREAM, reader.position(), Duration::ZERO).await;
    let batch = read.change_context(Error::Log)?;
    reader.apply_batch(&batch);
    Ok(batch.next)
}
